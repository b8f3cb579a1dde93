package raftlog

import (
	"encoding/binary"
	"time"
)

// What is sent between voters begins with a version and a kind.
const (
	wireVersion = 1

	wireRaft    = 1 // a message of raft's
	wireHello   = 2 // who one is, and what one has
	wireWelcome = 3 // to a store that was added: its number
	wireRemoved = 4 // to one that was removed
	wireRelay   = 5 // a hello of another agent's that has nothing, passed on to the leader
)

// reader takes numbers off the front; bad says that there were too few bytes.
type reader struct {
	b        []byte
	tooShort bool
}

func (r *reader) take(n int) []byte {
	if r.tooShort || len(r.b) < n {
		r.tooShort = true
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

// envelope goes around a message of raft's. Round is the instant at which a leader began a round of
// heartbeats, in the heartbeat and in the answer to it. Life and at are a reading of the other voter's
// own clock and which of its processes read it: in an answer to a heartbeat, and told again by the leader
// once all that had been agreed by then is within index (see fresh.go).
type envelope struct {
	epoch, round, incarnation, reading, index uint64
}

func (e envelope) append(b []byte) []byte {
	b = append(b, wireVersion, wireRaft)
	for _, n := range [...]uint64{e.epoch, e.round, e.incarnation, e.reading, e.index} {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	return b
}

func timeStamp(t time.Time) uint64 { return uint64(t.UnixNano()) }

func stampTime(s uint64) time.Time {
	if s == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(s))
}

// hello says who one is. To a member that asks, the others say hello too.
type hello struct {
	nonce, epoch, id, promisedNonce, highestEpochSeen uint64
	state                                             storeState
	isReply                                           bool
}

// standing is what a store has.
type storeState uint8

const (
	noLog storeState = iota // and may begin a log with the others
	hasLog
	stuckLog // a majority of its voters is gone for good, and it may be given up
)

const helloBytes = 2 + 5*8 + 2

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

func (h hello) encodeRelay(from uint32) []byte {
	b := binary.BigEndian.AppendUint32([]byte{wireVersion, wireRelay}, from)
	return append(b, h.encode()[2:]...)
}

// welcome gives a store its number in the log of an epoch. Founders come with it, if the store is one.
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

// gone tells a store that its number is not of the log any more.
type removed struct{ epoch, id uint64 }

func (g removed) encode() []byte {
	b := binary.BigEndian.AppendUint64([]byte{wireVersion, wireRemoved}, g.epoch)
	return binary.BigEndian.AppendUint64(b, g.id)
}
