package raftlog

import (
	"encoding/binary"
	"time"
)

// The first two bytes of each message between voters: the version and the kind.
const (
	wireVersion = 1

	wireRaft    = 1 // an envelope and a message of raft's
	wireHello   = 2
	wireWelcome = 3
	wireRemoved = 4
	wireRelay   = 5 // a hello of another agent's store without a log, forwarded to the leader

	wireHeaderBytes = 2
)

// reader reads big-endian numbers from the front of b. If there are too few bytes, it returns zeros and sets
// isTooShort.
type reader struct {
	b          []byte
	isTooShort bool
}

func (r *reader) take(n int) []byte {
	if r.isTooShort || len(r.b) < n {
		r.isTooShort = true
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) u8() byte    { return r.take(1)[0] }
func (r *reader) u16() uint16 { return binary.BigEndian.Uint16(r.take(2)) }
func (r *reader) u32() uint32 { return binary.BigEndian.Uint32(r.take(4)) }
func (r *reader) u64() uint64 { return binary.BigEndian.Uint64(r.take(8)) }

// envelope precedes a message of raft's, with the data of freshness.
type envelope struct {
	epoch uint64
	// round is the stamp of a round of heartbeats, in the heartbeat and in its answer.
	round uint64
	// incarnation and reading are a reading of the follower's clock and the process that read it: in an answer
	// to a heartbeat, and returned by the leader once everything that was committed by then is within index.
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

// timeStamp is a time in Unix nanoseconds; stampTime is the reverse, of which 0 is the zero time.
func timeStamp(t time.Time) uint64 { return uint64(t.UnixNano()) }

func stampTime(stamp uint64) time.Time {
	if stamp == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(stamp))
}

// hello introduces a store: its identity and the state of its log.
type hello struct {
	nonce, epoch, id, promisedNonce, highestEpochSeen uint64
	state                                             storeState
	isReply                                           bool // not to be answered
}

// storeState is the state of a store's log.
type storeState uint8

const (
	noLog    storeState = iota // may found a log together with the others
	hasLog                     // the log can continue as far as the store knows
	stuckLog                   // a majority of the log's voters is gone for good
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

// encodeRelay encodes a hello that came from an agent, to be forwarded.
func (h hello) encodeRelay(from uint32) []byte {
	b := binary.BigEndian.AppendUint32([]byte{wireVersion, wireRelay}, from)
	return append(b, h.encode()[wireHeaderBytes:]...)
}

// welcome tells a store its raft ID in the log of an epoch, and the log's founders if the store is one of
// them.
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

// removed tells a store that its raft ID is not a member of the log any more.
type removed struct{ epoch, id uint64 }

func (m removed) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{wireVersion, wireRemoved}, m.epoch)
	return binary.BigEndian.AppendUint64(b, m.id)
}

func readRemoved(r *reader) removed { return removed{epoch: r.u64(), id: r.u64()} }
