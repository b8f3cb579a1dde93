package fleetstore

import (
	"encoding/binary"
	"errors"
	"fmt"

	"dunestep/internal/fleet/raftlog"

	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

// The body of a record consists of a byte of flags for the parts that follow, the index through which
// entries are dropped, the identity as numbers of fixed length, and then hard state, snapshot and entries,
// each preceded by its length.
const (
	hasReset = 1 << iota
	hasReplace
	hasIdentity
	hasHardState
	hasSnapshot
)

const (
	bodyHeaderBytes = 1 + 8
	identityBytes   = 5 * 8
	partHeaderBytes = 4
)

var errTruncated = errors.New("the record is too short")

// encode returns persist encoded as the body of a record.
func encode(persist *raftlog.Persist) ([]byte, error) {
	b := []byte{0}
	b = binary.BigEndian.AppendUint64(b, persist.DropThrough)
	setFlag := func(flag byte, present bool) {
		if present {
			b[0] |= flag
		}
	}
	setFlag(hasReset, persist.Reset)
	setFlag(hasReplace, persist.ReplaceEntries)
	setFlag(hasIdentity, persist.Identity != nil)
	setFlag(hasHardState, persist.HardState != nil)
	setFlag(hasSnapshot, persist.Snapshot != nil)
	if id := persist.Identity; id != nil {
		for _, n := range [...]uint64{id.Nonce, id.Epoch, id.ID, id.PromisedNonce, id.HighestEpochSeen} {
			b = binary.BigEndian.AppendUint64(b, n)
		}
	}
	var parts []proto.Message
	if persist.HardState != nil {
		parts = append(parts, persist.HardState)
	}
	if persist.Snapshot != nil {
		parts = append(parts, persist.Snapshot)
	}
	for _, e := range persist.Entries {
		parts = append(parts, e)
	}
	for _, part := range parts {
		raw, err := proto.Marshal(part)
		if err != nil {
			return nil, fmt.Errorf("cannot encode a %T: %w", part, err)
		}
		b = append(binary.BigEndian.AppendUint32(b, uint32(len(raw))), raw...)
	}
	return b, nil
}

// decode decodes the body of a record. It returns errTruncated if the body is too short.
func decode(b []byte) (*raftlog.Persist, error) {
	if len(b) < bodyHeaderBytes {
		return nil, errTruncated
	}
	flags := b[0]
	persist := &raftlog.Persist{
		Reset: flags&hasReset != 0, ReplaceEntries: flags&hasReplace != 0,
		DropThrough: binary.BigEndian.Uint64(b[1:]),
	}
	b = b[bodyHeaderBytes:]
	if flags&hasIdentity != 0 {
		if len(b) < identityBytes {
			return nil, errTruncated
		}
		number := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
		persist.Identity = &raftlog.Identity{
			Nonce: number(0), Epoch: number(1), ID: number(2), PromisedNonce: number(3), HighestEpochSeen: number(4),
		}
		b = b[identityBytes:]
	}
	var err error
	if flags&hasHardState != 0 {
		persist.HardState = &raftpb.HardState{}
		if b, err = decodePart(b, persist.HardState); err != nil {
			return nil, err
		}
	}
	if flags&hasSnapshot != 0 {
		persist.Snapshot = &raftpb.Snapshot{}
		if b, err = decodePart(b, persist.Snapshot); err != nil {
			return nil, err
		}
	}
	for len(b) > 0 {
		entry := &raftpb.Entry{}
		if b, err = decodePart(b, entry); err != nil {
			return nil, err
		}
		persist.Entries = append(persist.Entries, entry)
	}
	return persist, nil
}

// decodePart decodes one length-prefixed part into a message, and returns the bytes after it.
func decodePart(b []byte, into proto.Message) (rest []byte, err error) {
	if len(b) < partHeaderBytes {
		return nil, errTruncated
	}
	length := int(binary.BigEndian.Uint32(b))
	if b = b[partHeaderBytes:]; length > len(b) {
		return nil, errTruncated
	}
	if err := proto.Unmarshal(b[:length], into); err != nil {
		return nil, fmt.Errorf("cannot decode a %T: %w", into, err)
	}
	return b[length:], nil
}
