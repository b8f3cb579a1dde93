package lease

import (
	"errors"
	"time"

	"dunestep/internal/fleet/internal/compact"
)

var errNoteTooLong = errors.New("the note of a request for a lease is too long")

// Request asks a voter for a lease.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Agent       int
	Incarnation uint64
	Nonce       uint64 // told again in the Grant
	Epoch, Seq  uint64 // how far the agent has applied the log
	Note        []byte // of the parts above, at most MaxNoteBytes bytes
}

// MaxNoteBytes is how long a note is at the most, in bytes.
const MaxNoteBytes = 64

// Grant is a voter's answer.
type Grant struct {
	_          struct{} `cbor:",toarray"`
	Nonce      uint64
	Epoch, Seq uint64 // what the holder has to have applied
	Rejected   bool
	Unix       time.Duration // the voter's clock as it granted; see Holder.IsClockOff
}

// Encode returns the message's bytes, fewer than 60 and the note.
func (r Request) Encode() []byte { return compact.Marshal(r) }

// Encode returns the message's bytes, fewer than 50.
func (g Grant) Encode() []byte { return compact.Marshal(g) }

// DecodeRequest gives an error for what is no Request.
func DecodeRequest(data []byte) (r Request, err error) {
	if err = compact.Unmarshal(data, &r); err == nil && len(r.Note) > MaxNoteBytes {
		err = errNoteTooLong
	}
	return r, err
}

// DecodeGrant gives an error for what is no Grant.
func DecodeGrant(data []byte) (g Grant, err error) {
	err = compact.Unmarshal(data, &g)
	return g, err
}
