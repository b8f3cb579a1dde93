package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
)

// A file is a fixed part, a header, the content and a checksum over all that is before it:
//
//	8 bytes  magic
//	2        version of the format
//	2        length of the header
//	4        length of the content
//	8        generation
//	         header and content, as CBOR
//	4        CRC-32C
//
// All numbers are big-endian. Magic, version and checksum stand where they are in every version of the
// format. The checksum finds every change of up to 32 bits in a row, so each damaged byte for certain.
//
// Format 1 had no generation, and its content had no sections. It is read, and never written.
const (
	magic             = "DUNESTEP"
	currentFormat     = 2
	fixedBytes        = 24
	fixedBytesFormat1 = 16
	checksumBytes     = 4
	maxHeaderBytes    = 1<<16 - 1
	// MaxFileBytes is the longest file that is written or read.
	MaxFileBytes = 4 << 20
)

// Bounds of the CBOR that is read.
const (
	maxArrayElements = 1 << 16
	maxMapPairs      = 1 << 10
	maxNesting       = 16
)

// The ways in which a file can't be read or written.
var (
	// ErrNotAStateFile means that this program never wrote the file.
	ErrNotAStateFile = errors.New("state: not a file of this program")
	// ErrDamaged means that the file is not as it was written.
	ErrDamaged = errors.New("state: damaged")
	// ErrNewer means that a later build wrote the file, in a format that this one can't read.
	ErrNewer = errors.New("state: written by a later build")
	// ErrOtherOwner means that the file is another agent's, or this agent's in another deployment.
	ErrOtherOwner = errors.New("state: of another agent or another deployment")
	// ErrTooLong means that the content does not fit into MaxFileBytes.
	ErrTooLong = errors.New("state: longer than a file may be")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli) // never changed

var encoding, decoding = newCodec() // never changed, and safe for concurrent use

// newCodec returns the modes in which CBOR is written and read.
func newCodec() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		panic(err) // the options above are invalid
	}
	// Keys that a later build of the same version added are ignored; anything else unexpected is an error.
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

// Encode returns the bytes of a file, in the current format. ErrTooLong: it has more than MaxFileBytes.
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

// Decode reads a file from its bytes: all of it or, with an error that wraps one of those above, nothing. A
// file of an earlier format is converted to the current one.
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

// checkFrame checks magic, length and checksum of a file, and returns what the checksum covers.
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
