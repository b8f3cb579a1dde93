package lease

import (
	"errors"
	"fmt"
	"time"

	"dunestep/internal/fleet/internal/compact"
)

// MaxNoteBytes is the maximum size of a request's note.
const MaxNoteBytes = 64

var errNoteTooLong = errors.New("the note of a lease request is too long")

// Request asks a voter for a lease.
type Request struct {
	_           struct{} `cbor:",toarray"`
	Agent       int
	Incarnation uint64 // of the agent's process
	Nonce       uint64 // returned in the Grant
	Epoch, Seq  uint64 // position up to which the agent has applied the log
	Note        []byte // data of the application, at most MaxNoteBytes
}

// Grant is a voter's reply to a request.
type Grant struct {
	_          struct{} `cbor:",toarray"`
	Nonce      uint64
	Epoch, Seq uint64 // position that the holder has to have applied
	Rejected   bool
	Unix       time.Duration // the voter's Unix clock at the grant; see Holder.IsClockOff
}

// Encode returns the encoded message, which has fewer than 60 bytes plus the note.
func (r Request) Encode() []byte { return compact.Marshal(r) }

// Encode returns the encoded message, which has fewer than 50 bytes.
func (g Grant) Encode() []byte { return compact.Marshal(g) }

// DecodeRequest decodes a Request. It returns an error wrapping compact.ErrMalformed if the data is not one,
// and another error if the note is too long.
func DecodeRequest(data []byte) (r Request, err error) {
	if err = compact.Unmarshal(data, &r); err != nil {
		return r, fmt.Errorf("cannot decode a lease request: %w", err)
	}
	if len(r.Note) > MaxNoteBytes {
		return r, errNoteTooLong
	}
	return r, nil
}

// DecodeGrant decodes a Grant. It returns an error wrapping compact.ErrMalformed if the data is not one.
func DecodeGrant(data []byte) (g Grant, err error) {
	if err = compact.Unmarshal(data, &g); err != nil {
		return g, fmt.Errorf("cannot decode a lease grant: %w", err)
	}
	return g, nil
}
