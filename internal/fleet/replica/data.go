package replica

import (
	"crypto/sha256"
	"encoding/binary"
)

// Position is a position in a log: the sequence number of the last record, and the sum over all records up to
// it.
type Position struct {
	Epoch, Seq, Sum uint64
}

// Covers reports whether a replica at position p has everything that was agreed on up to another position: p
// is not before it in the same epoch, or is of a later epoch, which replaced it. Sums are not compared; see
// Log.Compare.
func (p Position) Covers(other Position) bool {
	return p.Epoch > other.Epoch || p.Epoch == other.Epoch && p.Seq >= other.Seq
}

// Record is one agreed record. The first one of an epoch has the sequence number 1.
type Record struct {
	Seq  uint64
	Data []byte
}

// Snapshot is the state that results from all records up to sequence number Seq.
type Snapshot struct {
	Epoch, Seq, Sum uint64 // Sum is the log's sum at that record, not one over Data
	Data            []byte
}

// Position returns the position of the last record that the snapshot covers.
func (s Snapshot) Position() Position { return Position{Epoch: s.Epoch, Seq: s.Seq, Sum: s.Sum} }

// Digest returns a sum over the complete snapshot, which verifies it after a transfer.
func (s Snapshot) Digest() uint64 { return chainSum(s.Sum, s.Epoch, s.Seq, s.Data) }

// InitialSnapshot returns the empty snapshot with which an epoch begins.
func InitialSnapshot(epoch uint64) Snapshot {
	return Snapshot{Epoch: epoch, Sum: chainSum(0, epoch, 0, nil)}
}

// Segment is a sequence of records of a replica, with the sums before and after it.
type Segment struct {
	Epoch, First  uint64 // First is the sequence number of the first record
	PriorSum, Sum uint64 // before the first and after the last record
	Records       [][]byte
}

// hasInvalidNumbers reports whether no log can have records of these numbers: the first number is 0, or the
// numbers overflow.
func (s Segment) hasInvalidNumbers() bool {
	return s.First == 0 || s.First+uint64(len(s.Records)) < s.First
}

// hasValidSums reports whether the sums match the records.
func (s Segment) hasValidSums() bool {
	sum := s.PriorSum
	for i, data := range s.Records {
		sum = chainSum(sum, s.Epoch, s.First+uint64(i), data)
	}
	return sum == s.Sum
}

// chainSum returns the sum after a record: 64 bits of SHA-256 over the sum before it and the complete record.
func chainSum(prior, epoch, seq uint64, data []byte) uint64 {
	h := sha256.New()
	var header [32]byte
	for i, v := range []uint64{prior, epoch, seq, uint64(len(data))} {
		binary.BigEndian.PutUint64(header[8*i:], v)
	}
	h.Write(header[:])
	h.Write(data)
	return binary.BigEndian.Uint64(h.Sum(nil))
}
