// Package compact encodes the messages between the agents of a fleet as CBOR arrays without field names.
// Messages are decoded strictly and within bounds: decoding allocates at most a few times the size of the
// message. The package has no state and is safe for concurrent use.
package compact

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed reports that a message cannot be decoded.
var ErrMalformed = errors.New("malformed message")

// Bounds of a message.
const (
	maxArrayElements = 1 << 12
	maxMapPairs      = 16
	maxNestedLevels  = 6
)

var encoding, decoding = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	dec, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs, MaxNestedLevels: maxNestedLevels,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Marshal encodes a struct with the tag "toarray" whose fields are numbers, byte slices, such structs, or
// slices of these. It panics if the type cannot be encoded.
func Marshal(message any) []byte {
	data, err := encoding.Marshal(message)
	if err != nil {
		panic(err) // a programming error: it depends on the type alone, not on the values
	}
	return data
}

// Unmarshal decodes data, which must be exactly one message, into a struct of the type given to Marshal. It
// returns an error wrapping ErrMalformed.
func Unmarshal(data []byte, message any) error {
	if err := decoding.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
