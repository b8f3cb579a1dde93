package fleetstore

import (
	"encoding/binary"
	"hash/crc32"
)

// The log file: a header, a commit mark, and from firstRecordOffset on the records, one after the other. All
// numbers are big-endian, all checksums CRC-32C.
const (
	fileMagic     = "DSFLEET\n"
	formatVersion = 1

	// The header: magic, version, the file's identifier, and a checksum over these.
	headerBytes = 8 + 4 + 8 + 4
	// The commit mark: how many records were acknowledged, the file's length then, and a checksum over both. It
	// is not synced by itself, so that a power cut may lose it. The end of the process does not: with the mark,
	// damage to the last record differs from a write that was under way.
	commitMarkBytes   = 8 + 8 + 4
	firstRecordOffset = 64

	// A record's header: the file's identifier, the record's number, the body's length, and a checksum over
	// these and the body.
	recordHeaderBytes = 8 + 8 + 4 + 4

	// growBytes is by how much the file grows. It grows before a record is written, so that a file that was cut
	// short shows, and a full disk is found before a record has begun.
	growBytes = 256 << 10
	// maxFileBytes is the longest file that is read or written.
	maxFileBytes = 64 << 20
	// rewriteThresholdBytes is the length from which a snapshot has the file rewritten.
	rewriteThresholdBytes = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli) // never changed

// encodeHeader returns the header of the file.
func (s *Store) encodeHeader() []byte {
	b := binary.BigEndian.AppendUint32([]byte(fileMagic), formatVersion)
	b = binary.BigEndian.AppendUint64(b, s.fileID)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// encodeCommitMark returns the mark that all records so far are acknowledged.
func (s *Store) encodeCommitMark() []byte {
	b := binary.BigEndian.AppendUint64(nil, s.lastRecord)
	b = binary.BigEndian.AppendUint64(b, uint64(s.fileBytes))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// readCommitMark returns how many records were acknowledged, and the file's length at that time; zero where
// the mark can't be read.
func readCommitMark(content []byte) (records, length uint64) {
	if len(content) < headerBytes+commitMarkBytes {
		return 0, 0
	}
	mark := content[headerBytes : headerBytes+commitMarkBytes]
	if crc32.Checksum(mark[:16], castagnoli) != binary.BigEndian.Uint32(mark[16:]) {
		return 0, 0
	}
	return binary.BigEndian.Uint64(mark), binary.BigEndian.Uint64(mark[8:])
}

// encodeRecord returns a record with its header.
func (s *Store) encodeRecord(number uint64, body []byte) []byte {
	b := make([]byte, 0, recordHeaderBytes+len(body))
	b = binary.BigEndian.AppendUint64(b, s.fileID)
	b = binary.BigEndian.AppendUint64(b, number)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, checksum(b, body))
	return append(b, body...)
}

// readRecord returns the body of the record with a number, if a complete one stands at the offset.
func (s *Store) readRecord(content []byte, offset int64, number uint64) (body []byte, found bool) {
	if int64(len(content)) < offset+recordHeaderBytes {
		return nil, false
	}
	header := content[offset : offset+recordHeaderBytes]
	length := int64(binary.BigEndian.Uint32(header[16:]))
	if binary.BigEndian.Uint64(header) != s.fileID || binary.BigEndian.Uint64(header[8:]) != number ||
		length > int64(len(content))-offset-recordHeaderBytes {
		return nil, false
	}
	body = content[offset+recordHeaderBytes : offset+recordHeaderBytes+length]
	return body, checksum(header[:20], body) == binary.BigEndian.Uint32(header[20:])
}

// checksum is over a record's header, without its checksum, and its body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, body)
}
