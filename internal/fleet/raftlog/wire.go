package raftlog

import (
	"encoding/binary"
	"time"
)

// The first two bytes of each message between voters: the version and the kind.
const (
	wireVersion = 1

	wireRaft    = 1 // an envelope and a raft message
	wireHello   = 2
	wireWelcome = 3
	wireRemoved = 4
	wireRelay   = 5 // a hello of another agent's store that has no log, forwarded to the leader

	wireHeaderBytes = 2
)

// reader reads big-endian numbers from the front of b. If too few bytes are left, it returns zeros and sets
// isTruncated.
type reader struct {
	b           []byte
	isTruncated bool
}

// next removes the first n bytes of b and returns them.
func (r *reader) next(n int) []byte {
	if r.isTruncated || len(r.b) < n {
		r.isTruncated = true
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) u8() byte    { return r.next(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.next(2)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.next(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.next(8)) }

// envelope precedes a raft message and carries the freshness data.
type envelope struct {
	epoch uint64
	// round is the stamp of a round of heartbeats, in the heartbeat and in its answer.
	round uint64
	// reading is a reading of the follower's clock, and incarnation identifies the process that took it. A
	// follower sends them in its answer to a heartbeat. The leader returns them with the index that covers
	// everything that was committed before the reading.
	incarnation, reading, index uint64
}

func (e envelope) encode() []byte {
	b := []byte{wireVersion, wireRaft}
	for _, n := range [...]uint64{e.epoch, e.round, e.incarnation, e.reading, e.index} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

func readEnvelope(r *reader) envelope {
	return envelope{epoch: r.u64(), round: r.u64(), incarnation: r.u64(), reading: r.u64(), index: r.u64()}
}

// toStamp returns a time as a stamp, in Unix nanoseconds.
func toStamp(t time.Time) uint64 { return uint64(t.UnixNano()) }

// fromStamp returns the time of a stamp. The stamp 0 is the zero time.
func fromStamp(stamp uint64) time.Time {
	if stamp == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(stamp))
}

// hello introduces a store: its identity and the state of its log.
type hello struct {
	nonce, epoch, id, promisedNonce, highestEpochSeen uint64
	state                                             storeState
	isReply                                           bool // the receiver does not answer it
}

// storeState is the state of a store's log.
type storeState uint8

const (
	noLog    storeState = iota // the store may found a log together with others
	hasLog                     // the log can continue, as far as the store knows
	stuckLog                   // a majority of the log's voters is permanently lost
)

const helloBytes = wireHeaderBytes + 5*8 + 2

func (h hello) encode() []byte {
	b := append(make([]byte, 0, helloBytes), wireVersion, wireHello)
	for _, n := range [...]uint64{h.nonce, h.epoch, h.id, h.promisedNonce, h.highestEpochSeen} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	b = append(b, byte(h.state), 0)
	if h.isReply {
		b[len(b)-1] = 1
	}
	return b
}

func readHello(r *reader) hello {
	return hello{
		nonce: r.u64(), epoch: r.u64(), id: r.u64(), promisedNonce: r.u64(), highestEpochSeen: r.u64(),
		state: storeState(r.u8()), isReply: r.u8() == 1,
	}
}

// encodeRelay encodes a hello that was received from an agent, so that it can be forwarded.
func (h hello) encodeRelay(from uint32) []byte {
	b := binary.BigEndian.AppendUint32([]byte{wireVersion, wireRelay}, from)
	return append(b, h.encode()[wireHeaderBytes:]...)
}

// welcome notifies a store of its raft ID in the log of an epoch, and of the log's founders if the store is
// one of them.
type welcome struct {
	nonce, epoch, id uint64
	founders         []member
}

func (w welcome) encode() []byte {
	b := []byte{wireVersion, wireWelcome}
	for _, n := range [...]uint64{w.nonce, w.epoch, w.id} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return appendMembers(b, w.founders)
}

func readWelcome(r *reader) welcome {
	return welcome{nonce: r.u64(), epoch: r.u64(), id: r.u64(), founders: readMembers(r)}
}

// removed notifies a store that its raft ID is not a member of the log any more.
type removed struct{ epoch, id uint64 }

func (m removed) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{wireVersion, wireRemoved}, m.epoch)
	return binary.BigEndian.AppendUint64(b, m.id)
}

func readRemoved(r *reader) removed { return removed{epoch: r.u64(), id: r.u64()} }
