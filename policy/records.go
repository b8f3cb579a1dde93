package policy

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

type kind uint8

const (
	proposed kind = iota + 1
	answered
	abandoned
	postponed
	activated
	settled
)

// record is one of the log's. What a kind does not need is zero.
type record struct {
	_        struct{} `cbor:",toarray"`
	Kind     kind
	Version  uint64
	ID       string
	Who      int
	Base     uint64
	Now, By  time.Duration // Unix time
	Code     Code
	Text     string
	Document []byte
	Floor    []byte
}

const (
	maxID   = 64 // bytes
	maxText = 80 // bytes of a reason
	// furthest is how far ahead a change may be made: guards against a proposer whose clock is years off, whose
	// change would stand in the way of all others until then.
	furthest = time.Hour
)

var encoding, decoding = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err) // of constants
	}
	dec, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: 1 << 10, MaxMapPairs: 16, MaxNestedLevels: 6,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

func marshal(v any) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // the type is wrong, whatever its values
	}
	return data
}

func (f Floor) encode() []byte { return marshal(f) }

// decodeFloor reads a floor of this build's format.
func decodeFloor(data []byte) (f Floor, ok bool) { return f, decoding.Unmarshal(data, &f) == nil }

// Proposal is a change that somebody asks for.
type Proposal struct {
	ID       string // chosen by the caller; the same one again is the same change
	Who      int    // the agent
	Base     uint64 // the version in force that it was made from
	Now, By  time.Duration
	Document []byte
}

// ErrProposal: the fields of a Proposal are not such that it could ever be taken.
var ErrProposal = errors.New("policy: no such change")

// Propose returns the record of a change, for the log. The error is strict.Problems or ErrProposal.
func Propose(p Proposal) ([]byte, error) {
	d, err := Read("policy", p.Document)
	if err != nil {
		return nil, err
	}
	if p.ID == "" || len(p.ID) > maxID || !utf8.ValidString(p.ID) || p.By < p.Now || p.By > p.Now+furthest {
		return nil, fmt.Errorf("%w: a name of 1 to %d bytes, and a time within an hour", ErrProposal, maxID)
	}
	return marshal(record{
		Kind: proposed, ID: p.ID, Who: p.Who, Base: p.Base, Now: p.Now, By: p.By,
		Document: p.Document, Floor: d.Floor().encode(),
	}), nil
}

// Postpones tells whether a record only puts a change off.
func Postpones(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == postponed
}

// Reports tells whether a record is a voter's report that all its holders have promised.
func Reports(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == answered
}

// Note is an agent's answer to a change, as it goes with its requests for leases.
type Note struct {
	Version uint64 // the newest one that it was asked about; zero: none yet
	Code    Code
	Text    string
}

// MaxNote is the most bytes that a Note has.
const MaxNote = 64

// Encode returns the note's bytes, none for the zero Note.
func (n Note) Encode() []byte {
	if n.Version == 0 {
		return nil
	}
	n.Text = clip(n.Text, MaxNote-10-2)
	data := []byte{byte(n.Code)}
	for v := n.Version; ; v >>= 7 {
		if v < 0x80 {
			data = append(data, byte(v))
			break
		}
		data = append(data, byte(v)|0x80)
	}
	return append(data, n.Text...)
}

// DecodeNote reads a note; ok is false where it is none.
func DecodeNote(data []byte) (n Note, ok bool) {
	if len(data) == 0 {
		return Note{}, true
	}
	if len(data) > MaxNote {
		return Note{}, false
	}
	n.Code = Code(data[0])
	for i, b := range data[1:] {
		if i == 9 && b > 1 || i > 9 {
			return Note{}, false
		}
		n.Version |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			n.Text = string(data[2+i:])
			return n, n.Version > 0 && utf8.ValidString(n.Text)
		}
	}
	return Note{}, false
}

// clip cuts a text to so many bytes, not within a letter.
func clip(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}
