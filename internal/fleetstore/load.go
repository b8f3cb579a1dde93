package fleetstore

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"
)

// maxMarkerBytes bounds what is read of the marker file, which is empty.
const maxMarkerBytes = 16

// openStore reads the store of a directory, which becomes the store's to close if there is no error.
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

// load takes over the content of a log file.
func (s *Store) load(content []byte) error {
	if err := checkHeader(content); err != nil {
		return err
	}
	acknowledged, length := readCommitMark(content)
	if len(content) < firstRecordOffset || uint64(len(content)) < length {
		return fmt.Errorf("%w: it is shorter than it was", ErrDamaged)
	}
	s.fileID = binary.BigEndian.Uint64(content[12:])
	// What follows the last whole step of growth was being added, and is written again.
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

// checkHeader checks the header of a log file.
func checkHeader(content []byte) error {
	switch {
	case len(content) < headerBytes || string(content[:len(fileMagic)]) != fileMagic:
		return ErrNotAStore
	case crc32.Checksum(content[:headerBytes-4], castagnoli) != binary.BigEndian.Uint32(content[headerBytes-4:]):
		return fmt.Errorf("%w: its header's checksum is wrong", ErrDamaged)
	}
	if version := binary.BigEndian.Uint32(content[len(fileMagic):]); version != formatVersion {
		return fmt.Errorf("%w: %d, not %d", ErrVersion, version, formatVersion)
	}
	return nil
}

// hasLaterRecord tells whether a complete record follows the last one that was read. Then what is between
// them is damage, and not a write that was under way.
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
