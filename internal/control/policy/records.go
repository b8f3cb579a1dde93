package policy

import (
	"errors"
	"fmt"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

type recordKind uint8

const (
	kindProposed recordKind = iota + 1
	kindPromised
	kindAbandoned
	kindPostponed
	kindActivated
	kindFloorReleased
)

// record is one of the log's. What a kind does not need is zero.
type record struct {
	_                struct{} `cbor:",toarray"`
	Kind             recordKind
	Version          uint64
	ID               string
	Agent            int
	BaseVersion      uint64
	Now, EffectiveAt time.Duration // Unix time
	Code             AnswerCode
	Text             string
	Document         []byte
	Floor            []byte
}

const (
	maxIDSize   = 64 // bytes
	maxTextSize = 80 // bytes of a reason
	// furthest is how far ahead a change may be made: guards against a proposer whose clock is years off, whose
	// change would stand in the way of all others until then.
	maxLeadTime = time.Hour
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
	ID               string // chosen by the caller; the same one again is the same change
	Agent            int    // the agent
	BaseVersion      uint64 // the version in force that it was made from
	Now, EffectiveAt time.Duration
	Document         []byte
}

// ErrProposal: the fields of a Proposal are not such that it could ever be taken.
var ErrProposal = errors.New("policy: no such change")

// EncodeProposal returns the record of a change, for the log. The error is stricttoml.Problems or ErrProposal.
func EncodeProposal(p Proposal) ([]byte, error) {
	d, err := ParseDocument("policy", p.Document)
	if err != nil {
		return nil, err
	}
	if p.ID == "" || len(p.ID) > maxIDSize || !utf8.ValidString(p.ID) || p.EffectiveAt < p.Now || p.EffectiveAt > p.Now+maxLeadTime {
		return nil, fmt.Errorf("%w: a name of 1 to %d bytes, and a time within an hour", ErrProposal, maxIDSize)
	}
	return marshal(record{
		Kind: kindProposed, ID: p.ID, Agent: p.Agent, BaseVersion: p.BaseVersion, Now: p.Now, EffectiveAt: p.EffectiveAt,
		Document: p.Document, Floor: d.Floor().encode(),
	}), nil
}

// IsPostponement tells whether a record only puts a change off.
func IsPostponement(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == kindPostponed
}

// IsPromiseReport tells whether a record is a voter's report that all its holders have promised.
func IsPromiseReport(data []byte) bool {
	var r record
	return decoding.Unmarshal(data, &r) == nil && r.Kind == kindPromised
}

// EncodedAnswer is an agent's answer to a change, as it goes with its requests for leases.
type Answer struct {
	Version uint64 // the newest one that it was asked about; zero: none yet
	Code    AnswerCode
	Text    string
}

// MaxAnswerSize is the most bytes that an EncodedAnswer has.
const MaxAnswerSize = 64

// Encode returns the note's bytes, none for the zero EncodedAnswer.
func (n Answer) Encode() []byte {
	if n.Version == 0 {
		return nil
	}
	n.Text = truncate(n.Text, MaxAnswerSize-10-2)
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

// DecodeAnswer reads a note; ok is false where it is none.
func DecodeAnswer(data []byte) (n Answer, ok bool) {
	if len(data) == 0 {
		return Answer{}, true
	}
	if len(data) > MaxAnswerSize {
		return Answer{}, false
	}
	n.Code = AnswerCode(data[0])
	for i, b := range data[1:] {
		if i == 9 && b > 1 || i > 9 {
			return Answer{}, false
		}
		n.Version |= uint64(b&0x7f) << (7 * i)
		if b < 0x80 {
			n.Text = string(data[2+i:])
			return n, n.Version > 0 && utf8.ValidString(n.Text)
		}
	}
	return Answer{}, false
}

// clip cuts a text to so many bytes, not within a letter.
func truncate(text string, most int) string {
	if len(text) <= most {
		return text
	}
	for most > 0 && !utf8.RuneStart(text[most]) {
		most--
	}
	return text[:most]
}
