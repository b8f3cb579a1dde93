package fleetstore

import (
	"encoding/binary"
	"hash/crc32"
)

// The log file consists of a header, a commit mark, and consecutive records from firstRecordOffset on. All
// numbers are big-endian, all checksums CRC-32C.
const (
	fileMagic     = "DSFLEET\n"
	formatVersion = 1

	// The header consists of magic, version, the file's identifier, and a checksum over these.
	headerBytes = 8 + 4 + 8 + 4
	// The commit mark consists of the number of acknowledged records, the file's length at that time, and a
	// checksum over both. It is not synced separately, so a power cut may lose it, but the end of the process
	// does not. With the mark, damage to the last record can be distinguished from an interrupted write.
	commitMarkBytes   = 8 + 8 + 4
	firstRecordOffset = 64

	// A record's header consists of the file's identifier, the record's number, the body's length, and a
	// checksum over these and the body.
	recordHeaderBytes = 8 + 8 + 4 + 4

	// growBytes is the step by which the file grows. It grows before a record is written, so that a truncated
	// file is detected, and a full disk is detected before a record is partly written.
	growBytes = 256 << 10
	// maxFileBytes is the maximum length of a file that is read or written.
	maxFileBytes = 64 << 20
	// rewriteThresholdBytes is the used length of the file above which a write with a snapshot rewrites it.
	rewriteThresholdBytes = 1 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli) // never changed

// encodeHeader returns the encoded header of the log file.
func (s *Store) encodeHeader() []byte {
	b := binary.BigEndian.AppendUint32([]byte(fileMagic), formatVersion)
	b = binary.BigEndian.AppendUint64(b, s.fileID)
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// encodeCommitMark returns the commit mark for all records written so far.
func (s *Store) encodeCommitMark() []byte {
	b := binary.BigEndian.AppendUint64(nil, s.lastRecord)
	b = binary.BigEndian.AppendUint64(b, uint64(s.fileBytes))
	return binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
}

// readCommitMark returns the number of acknowledged records and the file's length at that time; both are zero
// if the mark is missing or damaged.
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

// encodeRecord returns the record with this number and body, including its header.
func (s *Store) encodeRecord(number uint64, body []byte) []byte {
	b := make([]byte, 0, recordHeaderBytes+len(body))
	b = binary.BigEndian.AppendUint64(b, s.fileID)
	b = binary.BigEndian.AppendUint64(b, number)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, checksum(b, body))
	return append(b, body...)
}

// readRecord returns the body of the record at the offset. found is false unless it is an undamaged record of
// this file with this number.
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

// checksum returns the checksum of a record's header, without the checksum field, and its body.
func checksum(header, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(header, castagnoli), castagnoli, body)
}
