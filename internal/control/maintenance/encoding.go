package maintenance

import (
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
)

// encoding and decoding are the CBOR modes for records, snapshots and reports: bounded sizes, no tags, no
// indefinite lengths. They are never changed after initialization.
var encoding, decoding = cborModes()

func cborModes() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.EncMode()
	if err != nil {
		panic(err) // the options are constants
	}
	dec, err := cbor.DecOptions{
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		MaxArrayElements: 1 << 10, MaxMapPairs: 16, MaxNestedLevels: 6,
	}.DecMode()
	if err != nil {
		panic(err) // the options are constants
	}
	return enc, dec
}

func marshal(v any) []byte {
	data, err := encoding.Marshal(v)
	if err != nil {
		panic(err) // programming error: the type itself cannot be encoded
	}
	return data
}

// truncate returns text cut to at most maxBytes bytes, never within a UTF-8 sequence.
func truncate(text string, maxBytes int) string {
	if len(text) <= maxBytes {
		return text
	}
	for maxBytes > 0 && !utf8.RuneStart(text[maxBytes]) {
		maxBytes--
	}
	return text[:maxBytes]
}
