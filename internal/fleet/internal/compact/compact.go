// Package compact is the form in which the fleet's own messages go from agent to agent: CBOR arrays, without
// names. What comes from the way is decoded strictly and within bounds: nothing that another agent sends
// makes it set aside more than some times the message's own length.
package compact

import (
	"errors"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// ErrMalformed: a message is not of the form expected.
var ErrMalformed = errors.New("malformed message")

// mostElements bounds the arrays of a message.
const mostElements = 1 << 12

var encoding, decoding = modes()

func modes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err) // of constants
	}
	dec, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: mostElements, MaxMapPairs: 16, MaxNestedLevels: 6,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Marshal encodes a struct whose fields are marked as an array's ("toarray"): numbers, bytes and structs.
func Marshal(message any) []byte {
	data, err := encoding.Marshal(message)
	if err != nil {
		panic(err) // the type is wrong, whatever its values
	}
	return data
}

// Unmarshal decodes all of data into a struct of Marshal's, or gives ErrMalformed.
func Unmarshal(data []byte, message any) error {
	if err := decoding.Unmarshal(data, message); err != nil {
		return fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	return nil
}
