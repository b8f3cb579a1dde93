package state

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// A file is a fixed beginning, a header, the content and a checksum over all that is before it:
//
//	8 bytes  magic
//	2        version of the format
//	2        length of the header
//	4        length of the content
//	8        generation
//	         header and content, as CBOR
//	4        CRC-32C
//
// All numbers are big-endian. CRC-32C finds every change of up to 32 bits in a row, so every damaged byte,
// for certain; a hash of 64 bits only in all likelihood. It comes with the standard library, and the
// processor has an instruction for it. Magic, version and checksum stand where they are in every version of
// the format.
//
// Format 1 had no generation, so that the time told which of two files was the later one, which a clock that
// was set back turned round; and its content had no sections, so that one part could not change without all.
const (
	magic             = "DUNESTEP"
	currentFormat     = 2
	fixedBytes        = 24
	fixedBytesFormat1 = 16 // of format 1
	checksumBytes     = 4
	// MaxFileBytes is the longest file in bytes that is written or read: several times what 5,000 servers need.
	MaxFileBytes = 4 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Owner is whose memory a file holds.
type Owner struct {
	Deployment string `cbor:"1,keyasint" json:"deployment"`
	Agent      string `cbor:"2,keyasint" json:"agent"`
}

// Header is what a file says of itself.
type Header struct {
	Owner     Owner `cbor:"1,keyasint" json:"owner"`
	WrittenMS int64 `cbor:"2,keyasint" json:"written_ms"` // Unix milliseconds
	// Generation is one more than that of the file before.
	Generation uint64 `cbor:"-" json:"generation"`
}

// File is a whole file.
type File struct {
	Header  `json:"header"`
	Content `json:"content"`
	// Format is the version that the file had when it was read.
	Format int `json:"format"`
	// SkippedSections tells of the sections that a later build wrote and this one does not know how to read.
	SkippedSections []string `json:"skipped,omitempty"`
}

// What can be wrong with a file.
var (
	// ErrNotAStateFile is of a file that this program never wrote.
	ErrNotAStateFile = errors.New("state: not a file of this program")
	// ErrDamaged is of a file that is not as it was written.
	ErrDamaged = errors.New("state: damaged")
	// ErrNewer is of a file that a later build wrote.
	ErrNewer = errors.New("state: written by a later build")
	// ErrOtherOwner is of a file with the memory of another agent, or of this one in another deployment.
	ErrOtherOwner = errors.New("state: another agent's, or another deployment's")
	// ErrTooLong is of content that does not fit into MaxFileBytes.
	ErrTooLong = errors.New("state: more than a file may hold")
)

var encoding, decoding = codec()

func codec() (cbor.EncMode, cbor.DecMode) {
	enc, err := cbor.EncOptions{
		Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16,
		IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
	}.EncMode()
	if err != nil {
		panic(err) // the options above are wrong
	}
	// What a later build of the same version adds is passed over; all else that is odd is an error.
	dec, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		TagsMd: cbor.TagsForbidden, MaxArrayElements: 1 << 16, MaxMapPairs: 1 << 10, MaxNestedLevels: 16,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return enc, dec
}

// Encode returns a file as bytes.
func Encode(f *File) ([]byte, error) {
	header, err := encoding.Marshal(f.Header)
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	content, err := f.Content.encodeSections()
	if err != nil {
		return nil, fmt.Errorf("state: %w", err)
	}
	whole := fixedBytes + len(header) + len(content) + checksumBytes
	if whole > MaxFileBytes || len(header) > 1<<16-1 {
		return nil, fmt.Errorf("%w: %d bytes", ErrTooLong, whole)
	}
	raw := make([]byte, 0, whole)
	raw = append(raw, magic...)
	raw = binary.BigEndian.AppendUint16(raw, currentFormat)
	raw = binary.BigEndian.AppendUint16(raw, uint16(len(header)))
	raw = binary.BigEndian.AppendUint32(raw, uint32(len(content)))
	raw = binary.BigEndian.AppendUint64(raw, f.Generation)
	raw = append(append(raw, header...), content...)
	return binary.BigEndian.AppendUint32(raw, crc32.Checksum(raw, castagnoli)), nil
}

// Decode reads a file from its bytes: all of it or, with an error that wraps one of those above, nothing. One
// of an earlier format is turned into the present one.
func Decode(raw []byte) (*File, error) {
	if len(raw) < len(magic) || string(raw[:len(magic)]) != magic {
		return nil, ErrNotAStateFile
	}
	if len(raw) < fixedBytesFormat1+checksumBytes || len(raw) > MaxFileBytes {
		return nil, fmt.Errorf("%w: %d bytes", ErrDamaged, len(raw))
	}
	sum := len(raw) - checksumBytes
	if crc32.Checksum(raw[:sum], castagnoli) != binary.BigEndian.Uint32(raw[sum:]) {
		return nil, fmt.Errorf("%w: the checksum is wrong", ErrDamaged)
	}
	f := &File{Format: int(binary.BigEndian.Uint16(raw[8:]))}
	begin, read := fixedBytes, f.decodeSections
	switch {
	case f.Format > currentFormat:
		return nil, fmt.Errorf("%w: format %d, known are up to %d", ErrNewer, f.Format, currentFormat)
	case f.Format == 1:
		begin, read = fixedBytesFormat1, f.decodeFormat1
	case f.Format < 1 || sum < fixedBytes:
		return nil, fmt.Errorf("%w: format %d", ErrDamaged, f.Format)
	default:
		f.Generation = binary.BigEndian.Uint64(raw[16:])
	}
	header, content := int(binary.BigEndian.Uint16(raw[10:])), int(binary.BigEndian.Uint32(raw[12:]))
	if begin+header+content != sum {
		return nil, fmt.Errorf("%w: the lengths are wrong", ErrDamaged)
	}
	err := decoding.Unmarshal(raw[begin:begin+header], &f.Header)
	if err == nil {
		err = read(raw[begin+header : sum])
	}
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrDamaged, err)
	}
	return f, nil
}

// Age is how old a file is. Below zero: it is from the future, as the clock says, so its age is not known.
func (h *Header) Age(now time.Time) time.Duration { return now.Sub(time.UnixMilli(h.WrittenMS)) }

// IsNewerThan tells which of two files was written later. Files of format 1 have only the time to tell.
func (f *File) IsNewerThan(than *File) bool {
	if f.Generation != than.Generation {
		return f.Generation > than.Generation
	}
	return f.WrittenMS > than.WrittenMS
}
