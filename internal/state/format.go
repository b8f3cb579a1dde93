package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A file consists of a fixed part, a header, the content and a checksum over all preceding bytes:
//
//	8 bytes  magic
//	2        format version
//	2        header length in bytes
//	4        content length in bytes
//	8        generation
//	         header and content in CBOR
//	4        CRC-32C
//
// All numbers are big-endian. Magic, version and checksum have the same position in every version of the
// format. The checksum detects every burst error of up to 32 bits, and therefore any single damaged byte.
//
// Format 1 has no generation, and its content has no sections. It is read but never written.
const (
	magic             = "DUNESTEP"
	currentFormat     = 2
	fixedBytes        = 24
	fixedBytesFormat1 = 16
	checksumBytes     = 4
	maxHeaderBytes    = 1<<16 - 1
	// MaxFileBytes is the maximum size of a file that is written or read, in bytes.
	MaxFileBytes = 4 << 20
)

// Limits for decoded CBOR.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNesting       = 16
)

// Errors of Encode and Decode.
var (
	// ErrNotAStateFile means that the file was not written by this program.
	ErrNotAStateFile = errors.New("state: not a state file")
	// ErrDamaged means that the file differs from what was written.
	ErrDamaged = errors.New("state: damaged")
	// ErrNewer means that a later build wrote the file in a format that this build can't read.
	ErrNewer = errors.New("state: written by a later build")
	// ErrOtherOwner means that the file belongs to another agent, or to this agent in another deployment.
	ErrOtherOwner = errors.New("state: belongs to another agent or another deployment")
	// ErrTooLong means that the encoded file would exceed MaxFileBytes.
	ErrTooLong = errors.New("state: the encoded file is too long")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli) // never changed

var encoding, decoding = newCodec() // never changed, and safe for concurrent use

// newCodec returns the CBOR encoding and decoding modes.
func newCodec() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		panic(err) // the options above are invalid
	}
	// Unknown map keys are ignored, since a later build may add some within a version. Anything else unexpected
	// is an error.
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxArrayElements: maxArrayElements, MaxMapPairs: maxMapPairs,
		MaxNestedLevels: maxNesting,
	}.DecMode()
	if err != nil {
		panic(err) // the options above are invalid
	}
	return enc, dec
}

// Encode returns a file encoded in the current format. It returns ErrTooLong if that exceeds MaxFileBytes.
func Encode(f *File) ([]byte, error) {
	header, err := encoding.Marshal(f.Header)
	if err != nil {
		return nil, fmt.Errorf("state: cannot encode the header: %w", err)
	}
	content, err := f.encodeSections()
	if err != nil {
		return nil, fmt.Errorf("state: cannot encode the content: %w", err)
	}
	length := fixedBytes + len(header) + len(content) + checksumBytes
	if length > MaxFileBytes || len(header) > maxHeaderBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, length)
	}
	raw := make([]byte, 0, length)
	raw = append(raw, magic...)
	raw = binary.BigEndian.AppendUint16(raw, currentFormat)
	raw = binary.BigEndian.AppendUint16(raw, uint16(len(header)))
	raw = binary.BigEndian.AppendUint32(raw, uint32(len(content)))
	raw = binary.BigEndian.AppendUint64(raw, f.Generation)
	raw = append(append(raw, header...), content...)
	return binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoli)), nil
}

// Decode decodes a complete file. On failure it returns nil and an error that wraps ErrNotAStateFile,
// ErrDamaged or ErrNewer. A file of an earlier format is converted to the current one.
func Decode(raw []byte) (*File, error) {
	body, err := checkFrame(raw)
	if err != nil {
		return nil, err
	}
	f := &File{Format: int(binary.BigEndian.Uint16(raw[8:]))}
	headerStart, decodeContent := fixedBytes, f.decodeSections
	switch {
	case f.Format > currentFormat:
		return nil, fmt.Errorf("%w: format %d, this build reads up to %d", ErrNewer, f.Format, currentFormat)
	case f.Format == 1:
		headerStart, decodeContent = fixedBytesFormat1, f.decodeFormat1
	case f.Format < 1 || len(body) < fixedBytes:
		return nil, fmt.Errorf("%w: format %d", ErrDamaged, f.Format)
	default:
		f.Generation = binary.BigEndian.Uint64(raw[16:])
	}
	headerLength, contentLength := int(binary.BigEndian.Uint16(raw[10:])), int(binary.BigEndian.Uint32(raw[12:]))
	if headerStart+headerLength+contentLength != len(body) {
		return nil, fmt.Errorf("%w: the lengths of header and content are wrong", ErrDamaged)
	}
	contentStart := headerStart + headerLength
	if err := decoding.Unmarshal(body[headerStart:contentStart], &f.Header); err != nil {
		return nil, fmt.Errorf("%w: cannot decode the header: %w", ErrDamaged, err)
	}
	if err := decodeContent(body[contentStart:]); err != nil {
		return nil, fmt.Errorf("%w: cannot decode the content: %w", ErrDamaged, err)
	}
	return f, nil
}

// checkFrame checks a file's magic, length and checksum, and returns the bytes that the checksum covers.
func checkFrame(raw []byte) (body []byte, err error) {
	if len(raw) < len(magic) || string(raw[:len(magic)]) != magic {
		return nil, ErrNotAStateFile
	}
	if len(raw) < fixedBytesFormat1+checksumBytes || len(raw) > MaxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrDamaged, len(raw))
	}
	body = raw[:len(raw)-checksumBytes]
	if crc32.Checksum(body, castagnoli) != binary.BigEndian.Uint32(raw[len(body):]) {
		return nil, fmt.Errorf("%w: the checksum is wrong", ErrDamaged)
	}
	return body, nil
}
