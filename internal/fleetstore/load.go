package fleetstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// maxMarkerBytes limits how many bytes are read of the marker file, which is normally empty.
const maxMarkerBytes = 16

// openStore loads the store in a directory. On success the Store owns the directory and closes it.
func openStore(dir directory) (*Store, error) {
	s := &Store{dir: dir}
	content, err := dir.read(logName, maxFileBytes)
	if isMissing(err) {
		if _, markerErr := dir.read(markerName, maxMarkerBytes); !isMissing(markerErr) {
			return nil, ErrMissing
		}
		return s, nil
	}
	if err != nil {
		return nil, fmt.Errorf("cannot read %s: %w", logName, err)
	}
	if err = s.load(content); err != nil {
		return nil, fmt.Errorf("cannot load %s: %w", logName, err)
	}
	if s.file, err = dir.open(logName); err != nil {
		return nil, fmt.Errorf("cannot open %s for writing: %w", logName, err)
	}
	return s, nil
}

// load sets the Store's fields from the content of a log file.
func (s *Store) load(content []byte) error {
	if err := checkHeader(content); err != nil {
		return err
	}
	acknowledged, length := readCommitMark(content)
	if len(content) < firstRecordOffset || uint64(len(content)) < length {
		return fmt.Errorf("%w: it is shorter than when it was written", ErrDamaged)
	}
	s.fileID = binary.BigEndian.Uint64(content[12:])
	// Bytes after the last full multiple of growBytes are from an interrupted extension, which is repeated.
	s.fileBytes, s.nextOffset = int64(len(content)/growBytes*growBytes), firstRecordOffset
	for {
		body, found := s.readRecord(content, s.nextOffset, s.lastRecord+1)
		if !found {
			break
		}
		persist, err := decode(body)
		if err != nil {
			return fmt.Errorf("%w: cannot decode record %d: %w", ErrDamaged, s.lastRecord+1, err)
		}
		applyWrite(&s.stored, persist)
		s.lastRecord++
		s.nextOffset += recordHeaderBytes + int64(len(body))
	}
	if s.lastRecord == 0 || s.lastRecord < acknowledged || s.hasLaterRecord(content) {
		return fmt.Errorf("%w: after record %d", ErrDamaged, s.lastRecord)
	}
	return nil
}

// checkHeader checks a log file's header. Its error wraps ErrNotAStore, ErrDamaged or ErrVersion.
func checkHeader(content []byte) error {
	switch {
	case len(content) < headerBytes || string(content[:len(fileMagic)]) != fileMagic:
		return ErrNotAStore
	case crc32.Checksum(content[:headerBytes-4], castagnoli) != binary.BigEndian.Uint32(content[headerBytes-4:]):
		return fmt.Errorf("%w: the header's checksum is wrong", ErrDamaged)
	}
	if version := binary.BigEndian.Uint32(content[len(fileMagic):]); version != formatVersion {
		return fmt.Errorf("%w: %d, not %d", ErrVersion, version, formatVersion)
	}
	return nil
}

// hasLaterRecord reports whether a complete record follows somewhere after the last one read. If so, the
// bytes between them are damaged rather than left by an interrupted write.
func (s *Store) hasLaterRecord(content []byte) bool {
	for offset := s.nextOffset + 1; offset+recordHeaderBytes <= int64(len(content)); offset++ {
		if binary.BigEndian.Uint64(content[offset:]) != s.fileID {
			continue
		}
		if _, found := s.readRecord(content, offset, binary.BigEndian.Uint64(content[offset+8:])); found {
			return true
		}
	}
	return false
}
