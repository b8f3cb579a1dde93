// Package fleetstore keeps what a voter of the fleet's log has written (raftlog.Persist) in a folder that
// lasts: who it is, its votes, its records and the last snapshot.
//
// It is one file that grows by records, each a Persist as a whole, with a checksum; and is written anew,
// beside the old one, when it has grown. Write returns when it is safe. What is found at a start is one of:
// nothing, in a folder that never held a store; a store, from which at most a write was lost that nobody was
// told of; or an error that says what is wrong. A store that is damaged is never taken for an empty one: a
// voter that forgot a vote could break the log. SetAside puts it aside, after which the voter is a new one,
// that the others add.
//
// The file's room is written ahead in chunks, so that a file that was cut short is seen, and a full disk too,
// before a record is begun. A mark in its head says how many records were told as safe; it is not itself
// waited for, so a power cut may lose it, the end of a process does not. With it, damage to the last record
// is told from a write that was under way.
//
// After an error of Write nothing more is written: what is on disk is not known any more. The voter has to
// end.
package fleetstore

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"math/rand/v2"
	"slices"

	"dunestep/internal/fleet/raftlog"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

const (
	logName     = "fleet.log"
	newName     = "fleet.log.new"
	damagedName = "fleet.log.damaged"
	// markerName is there as soon as there was a store in the folder.
	markerName = "fleet.begun"

	fileMagic     = "DSFLEET\n"
	formatVersion = 1

	// The head: magic, version, stamp, checksum of these, then the mark: how many
	// records were told as safe, the file's size then, and a checksum.
	headerBytes       = 8 + 4 + 8 + 4
	commitMarkBytes   = 8 + 8 + 4
	firstRecordOffset = 64

	// A record: the file's stamp, its number, the body's length, and a checksum over the rest and the body.
	recordHeaderBytes = 8 + 8 + 4 + 4

	growBytes = 256 << 10
	// most is the longest file that is read.
	maxFileBytes = 64 << 20
	// rewriteThresholdBytes is the size from which the file is written anew, if that makes it less than half.
	rewriteThresholdBytes = 1 << 20
)

// What Open says of a folder that can't be used.
var (
	ErrLocked      = errors.New("fleetstore: another process uses the folder")
	ErrNotAStore   = errors.New("fleetstore: the file is not a store")
	ErrVersion     = errors.New("fleetstore: the file is of another version")
	ErrDamaged     = errors.New("fleetstore: the file is damaged")
	ErrMissing     = errors.New("fleetstore: there was a store, and it is gone")
	ErrClosed      = errors.New("fleetstore: a write failed before")
	ErrFileTooLong = errors.New("fleetstore: no room")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Store is one voter's. It is not safe for concurrent use.
type Store struct {
	dir        directory
	file       file
	stored     raftlog.Stored
	fileID     uint64
	lastRecord uint64 // of the last record
	nextOffset int64  // where the next one begins
	fileBytes  int64  // of the file
	failure    error
}

// Open locks a folder, which must be there, and reads its store. Where there never was one, Stored is the
// zero value.
func Open(folder string) (*Store, error) {
	d, err := lockDirectory(folder)
	if err != nil {
		return nil, err
	}
	s, err := openStore(d)
	if err != nil {
		d.close()
	}
	return s, err
}

// SetAside puts a store aside that can't be used, if there is one, so that the next Open finds none. Only the
// last one is kept.
func SetAside(folder string) error {
	d, err := lockDirectory(folder)
	if err != nil {
		return err
	}
	defer d.close()
	if err := d.rename(logName, damagedName); err != nil && !isMissing(err) {
		return err
	}
	if err := d.remove(markerName); err != nil && !isMissing(err) {
		return err
	}
	return d.syncNames()
}

// Stored returns what was written.
func (s *Store) Stored() raftlog.Stored { return s.stored }

// Close lets go of the folder.
func (s *Store) Close() error {
	if s.failure == nil {
		s.failure = ErrClosed
	}
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	s.dir.close()
	return err
}

func openStore(d directory) (*Store, error) {
	s := &Store{dir: d}
	b, err := d.read(logName, maxFileBytes)
	if isMissing(err) {
		if _, err := d.read(markerName, 16); !isMissing(err) {
			return nil, ErrMissing
		}
		return s, nil
	}
	if err != nil {
		return nil, err
	}
	if err := s.load(b); err != nil {
		return nil, err
	}
	if s.file, err = d.open(logName); err != nil {
		return nil, err
	}
	return s, nil
}

// load reads a file.
func (s *Store) load(b []byte) error {
	switch {
	case len(b) < headerBytes || string(b[:8]) != fileMagic:
		return ErrNotAStore
	case crc32.Checksum(b[:headerBytes-4], castagnoli) != binary.BigEndian.Uint32(b[headerBytes-4:]):
		return fmt.Errorf("%w: its head", ErrDamaged)
	case binary.BigEndian.Uint32(b[8:]) != formatVersion:
		return fmt.Errorf("%w: %d, not %d", ErrVersion, binary.BigEndian.Uint32(b[8:]), formatVersion)
	}
	number, size := readCommitMark(b)
	if len(b) < firstRecordOffset || uint64(len(b)) < size {
		return fmt.Errorf("%w: it was cut short", ErrDamaged)
	}
	// What is beyond the last whole chunk was being added, and is written again.
	s.fileID, s.fileBytes, s.nextOffset = binary.BigEndian.Uint64(b[12:]), int64(len(b)/growBytes*growBytes), firstRecordOffset
	for {
		body, ok := s.readRecord(b, s.nextOffset, s.lastRecord+1)
		if !ok {
			break
		}
		p, err := decode(body)
		if err != nil {
			return fmt.Errorf("%w: record %d: %w", ErrDamaged, s.lastRecord+1, err)
		}
		applyWrite(&s.stored, p)
		s.lastRecord++
		s.nextOffset += recordHeaderBytes + int64(len(body))
	}
	if s.lastRecord == 0 || s.lastRecord < number || s.hasLaterRecord(b) {
		return fmt.Errorf("%w: after record %d", ErrDamaged, s.lastRecord)
	}
	return nil
}

// told returns how many records the mark says were told as safe, and the size of the file, or 0 if the mark
// can't be read.
func readCommitMark(b []byte) (number, size uint64) {
	if len(b) < headerBytes+commitMarkBytes {
		return 0, 0
	}
	m := b[headerBytes : headerBytes+commitMarkBytes]
	if crc32.Checksum(m[:16], castagnoli) != binary.BigEndian.Uint32(m[16:]) {
		return 0, 0
	}
	return binary.BigEndian.Uint64(m), binary.BigEndian.Uint64(m[8:])
}

// record returns the body of a record at a place, if a whole one is there, of that number.
func (s *Store) readRecord(b []byte, at int64, number uint64) ([]byte, bool) {
	if int64(len(b)) < at+recordHeaderBytes {
		return nil, false
	}
	h := b[at : at+recordHeaderBytes]
	n := int64(binary.BigEndian.Uint32(h[16:]))
	if binary.BigEndian.Uint64(h) != s.fileID || binary.BigEndian.Uint64(h[8:]) != number ||
		n > int64(len(b))-at-recordHeaderBytes {
		return nil, false
	}
	body := b[at+recordHeaderBytes : at+recordHeaderBytes+n]
	return body, checksum(h[:20], body) == binary.BigEndian.Uint32(h[20:])
}

// more says whether there is a whole record after the last one that was read: what is between is damage, and
// not a write that was under way.
func (s *Store) hasLaterRecord(b []byte) bool {
	for at := s.nextOffset + 1; at+recordHeaderBytes <= int64(len(b)); at++ {
		if binary.BigEndian.Uint64(b[at:]) != s.fileID {
			continue
		}
		if _, ok := s.readRecord(b, at, binary.BigEndian.Uint64(b[at+8:])); ok {
			return true
		}
	}
	return false
}

func checksum(head, body []byte) uint32 {
	return crc32.Update(crc32.Checksum(head, castagnoli), castagnoli, body)
}

// Write writes, and returns when it is safe on disk.
func (s *Store) Write(p *raftlog.Persist) error {
	if s.failure != nil {
		return s.failure
	}
	body, err := encode(p)
	if err != nil {
		return err
	}
	next := s.stored
	applyWrite(&next, p)
	if s.file == nil || p.Reset || s.nextOffset > rewriteThresholdBytes && p.Snapshot != nil {
		err = s.rewrite(next)
	} else {
		err = s.appendRecord(body)
	}
	if err != nil {
		s.failure = fmt.Errorf("%w: %w", ErrClosed, err)
		return err
	}
	s.stored = next
	return nil
}

func (s *Store) appendRecord(body []byte) error {
	if err := s.extend(s.nextOffset + recordHeaderBytes + int64(len(body))); err != nil {
		return err
	}
	if _, err := s.file.WriteAt(s.encodeRecord(s.lastRecord+1, body), s.nextOffset); err != nil {
		return err
	}
	if err := s.file.Sync(); err != nil {
		return err
	}
	s.lastRecord++
	s.nextOffset += recordHeaderBytes + int64(len(body))
	return s.writeCommitMark()
}

func (s *Store) encodeRecord(number uint64, body []byte) []byte {
	b := make([]byte, 0, recordHeaderBytes+len(body))
	b = binary.BigEndian.AppendUint64(b, s.fileID)
	b = binary.BigEndian.AppendUint64(b, number)
	b = binary.BigEndian.AppendUint32(b, uint32(len(body)))
	b = binary.BigEndian.AppendUint32(b, checksum(b, body))
	return append(b, body...)
}

// mark says how many records are safe.
func (s *Store) writeCommitMark() error {
	b := binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(nil, s.lastRecord), uint64(s.fileBytes))
	b = binary.BigEndian.AppendUint32(b, crc32.Checksum(b, castagnoli))
	_, err := s.file.WriteAt(b, headerBytes)
	return err
}

// grow makes room ahead: zeros that are on disk.
func (s *Store) extend(to int64) error {
	for s.fileBytes < to {
		if s.fileBytes+growBytes > maxFileBytes {
			return ErrFileTooLong
		}
		if _, err := s.file.WriteAt(make([]byte, growBytes), s.fileBytes); err != nil {
			return err
		}
		s.fileBytes += growBytes
		if err := s.file.Sync(); err != nil {
			return err
		}
	}
	return nil
}

// rewrite writes all anew in a file beside, and puts it in the place of the old one.
func (s *Store) rewrite(st raftlog.Stored) error {
	body, err := encode(&raftlog.Persist{
		Reset: true, Identity: &st.Identity, HardState: st.HardState, Snapshot: st.Snapshot, Entries: st.Entries,
	})
	if err != nil {
		return err
	}
	n := &Store{dir: s.dir, fileID: rand.Uint64() | 1}
	if n.file, err = s.dir.create(newName); err != nil {
		return err
	}
	if err = n.writeNewFile(body); err != nil {
		_ = n.file.Close()
		_ = s.dir.remove(newName)
		return err
	}
	if s.file != nil {
		_ = s.file.Close()
	}
	s.file, s.fileID, s.lastRecord, s.nextOffset, s.fileBytes = n.file, n.fileID, n.lastRecord, n.nextOffset, n.fileBytes
	return nil
}

// begin writes a new file with one record, and gives it its name.
func (s *Store) writeNewFile(body []byte) error {
	s.nextOffset = firstRecordOffset
	if err := s.extend(s.nextOffset + recordHeaderBytes + int64(len(body))); err != nil {
		return err
	}
	h := binary.BigEndian.AppendUint32([]byte(fileMagic), formatVersion)
	h = binary.BigEndian.AppendUint64(h, s.fileID)
	h = binary.BigEndian.AppendUint32(h, crc32.Checksum(h, castagnoli))
	if _, err := s.file.WriteAt(h, 0); err != nil {
		return err
	}
	if err := s.appendRecord(body); err != nil {
		return err
	}
	if err := s.dir.rename(newName, logName); err != nil {
		return err
	}
	if err := s.dir.touch(markerName); err != nil {
		return err
	}
	return s.dir.syncNames()
}

// apply does to what is stored what a Persist says.
func applyWrite(s *raftlog.Stored, p *raftlog.Persist) {
	if p.Reset {
		*s = raftlog.Stored{Identity: s.Identity}
	}
	if p.Identity != nil {
		s.Identity = *p.Identity
	}
	if p.HardState != nil {
		s.HardState = p.HardState
	}
	if p.Snapshot != nil {
		s.Snapshot = p.Snapshot
	}
	if p.ReplaceEntries {
		s.Entries = nil
	}
	if last := len(s.Entries); p.DropThrough == 0 && (len(p.Entries) == 0 || last == 0 ||
		s.Entries[last-1].GetIndex() < p.Entries[0].GetIndex()) {
		s.Entries = append(s.Entries, p.Entries...)
		return
	}
	keep := slices.DeleteFunc(slices.Clone(s.Entries), func(e *raftpb.Entry) bool {
		return e.GetIndex() <= p.DropThrough || len(p.Entries) > 0 && e.GetIndex() >= p.Entries[0].GetIndex()
	})
	s.Entries = append(keep, p.Entries...)
}

// The body of a record: which parts follow, then each with its length.
const (
	hasReset = 1 << iota
	hasReplace
	hasIdentity
	hasHardState
	hasSnapshot
)

func encode(p *raftlog.Persist) ([]byte, error) {
	b := []byte{0}
	b = binary.BigEndian.AppendUint64(b, p.DropThrough)
	flag := func(bit byte, set bool) {
		if set {
			b[0] |= bit
		}
	}
	flag(hasReset, p.Reset)
	flag(hasReplace, p.ReplaceEntries)
	flag(hasIdentity, p.Identity != nil)
	flag(hasHardState, p.HardState != nil)
	flag(hasSnapshot, p.Snapshot != nil)
	if id := p.Identity; id != nil {
		for _, n := range [...]uint64{id.Nonce, id.Epoch, id.ID, id.PromisedNonce, id.HighestEpochSeen} {
			b = binary.BigEndian.AppendUint64(b, n)
		}
	}
	var all []proto.Message
	if p.HardState != nil {
		all = append(all, p.HardState)
	}
	if p.Snapshot != nil {
		all = append(all, p.Snapshot)
	}
	for _, e := range p.Entries {
		all = append(all, e)
	}
	for _, m := range all {
		m, err := proto.Marshal(m)
		if err != nil {
			return nil, err
		}
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(m))), m...)
	}
	return b, nil
}

var errTruncated = errors.New("too short")

func decode(b []byte) (*raftlog.Persist, error) {
	if len(b) < 9 {
		return nil, errTruncated
	}
	flags := b[0]
	p := &raftlog.Persist{
		Reset: flags&hasReset != 0, ReplaceEntries: flags&hasReplace != 0, DropThrough: binary.BigEndian.Uint64(b[1:]),
	}
	b = b[9:]
	if flags&hasIdentity != 0 {
		if len(b) < 40 {
			return nil, errTruncated
		}
		n := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
		p.Identity = &raftlog.Identity{Nonce: n(0), Epoch: n(1), ID: n(2), PromisedNonce: n(3), HighestEpochSeen: n(4)}
		b = b[40:]
	}
	var err error
	if flags&hasHardState != 0 {
		p.HardState = &raftpb.HardState{}
		if b, err = decodePart(b, p.HardState); err != nil {
			return nil, err
		}
	}
	if flags&hasSnapshot != 0 {
		p.Snapshot = &raftpb.Snapshot{}
		if b, err = decodePart(b, p.Snapshot); err != nil {
			return nil, err
		}
	}
	for len(b) > 0 {
		e := &raftpb.Entry{}
		if b, err = decodePart(b, e); err != nil {
			return nil, err
		}
		p.Entries = append(p.Entries, e)
	}
	return p, nil
}

func decodePart(b []byte, m proto.Message) (rest []byte, err error) {
	if len(b) < 4 {
		return nil, errTruncated
	}
	n := int(binary.BigEndian.Uint32(b))
	if b = b[4:]; n > len(b) {
		return nil, errTruncated
	}
	return b[n:], proto.Unmarshal(b[:n], m)
}
