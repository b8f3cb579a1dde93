// Package compact encodes the fleet's own messages between agents: CBOR arrays without names. Data of other
// agents is decoded strictly and within bounds: nothing that an agent sends makes it allocate more than a few
// times the size of the message. It has no state and is safe for concurrent use.
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

// Marshal encodes a struct with the tag "toarray", of numbers, bytes and such structs. It panics for other
// types.
func Marshal(message any) []byte {
	data, err := encoding.Marshal(message)
	if err != nil {
		panic(err) // the type is wrong, whatever its values
	}
	return data
}

// Unmarshal decodes all of data into a struct of Marshal. It returns an error wrapping ErrMalformed.
func Unmarshal(data []byte, message any) error {
	if err := decoding.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
