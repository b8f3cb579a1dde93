package fragment

import "time"

// maxPerAgent is how many long messages may be on their way to one agent. It is well under completedWindow, so that
// the receiver still knows of each whether it has had it.
const maxPerAgent = 8

// outbox are the long messages on their way out, in the order in which they were given.
type outbox struct {
	messages   []*outMessage
	bytes      int
	lastNumber map[uint32]uint32 // the last message's, by agent
	perAgent   map[uint32]int    // how many are on their way
	roundTrip  time.Duration     // from a piece that asks to its answer, smoothed; zero: none came yet
}

// minResendDivisor is how long an answer is waited for at the least, as a part of Config.ResendAfter: a receiver may be
// busy for a moment.
const minResendDivisor = 6

// resend is how long the first answer of a message is waited for: for as long as answers take.
func (o *outbox) initialResend(cfg Config) time.Duration {
	if o.roundTrip == 0 {
		return cfg.ResendAfter
	}
	return min(max(4*o.roundTrip, cfg.ResendAfter/minResendDivisor), cfg.ResendAfter)
}

// took takes in how long an answer took.
func (o *outbox) noteRoundTrip(d time.Duration) {
	if o.roundTrip == 0 {
		o.roundTrip = d
	}
	o.roundTrip = max(o.roundTrip+(d-o.roundTrip)/8, 1)
}

// sending is one of them. It goes in passes: all pieces that the receiver is not known to have, the last of
// which asks it for what it has. If no answer comes, one piece asks again.
type outMessage struct {
	to          uint32
	channel     byte
	data        []byte
	header      frame
	acked       fragmentSet
	cursor      int // the next piece of the pass
	end         int // one after its last
	startedAt   time.Time
	passEndedAt time.Time // when a pass has ended
	resendAt    time.Time // for an answer, after a pass
	resendAfter time.Duration
	minResend   time.Duration
	maxResend   time.Duration
}

func newOutbox() outbox { return outbox{lastNumber: map[uint32]uint32{}, perAgent: map[uint32]int{}} }

func (o *outbox) add(now time.Time, to uint32, channel uint8, msg []byte, cfg Config) {
	o.lastNumber[to]++
	count := fragmentCount(len(msg))
	m := &outMessage{
		to: to, channel: channel, data: append([]byte(nil), msg...), acked: newFragmentSet(count), end: count, startedAt: now,
		header: frame{
			incarnation: cfg.Incarnation, number: o.lastNumber[to], count: uint16(count), checksum: checksum(msg),
		},
		resendAfter: o.initialResend(cfg), minResend: o.initialResend(cfg), maxResend: 8 * cfg.ResendAfter,
	}
	o.messages = append(o.messages, m)
	o.bytes += len(msg)
	o.perAgent[to]++
}

// remove takes the one at i out.
func (o *outbox) remove(i int) {
	m := o.messages[i]
	o.bytes -= len(m.data)
	if o.perAgent[m.to]--; o.perAgent[m.to] == 0 {
		delete(o.perAgent, m.to)
	}
	o.messages = append(o.messages[:i], o.messages[i+1:]...)
}

// dropOldest gives up the oldest message, or the oldest to one agent.
func (o *outbox) dropOldest(to uint32, only bool) {
	for i, m := range o.messages {
		if !only || m.to == to {
			o.remove(i)
			return
		}
	}
}

func (o *outbox) expire(now time.Time, after time.Duration) (n int) {
	for i := 0; i < len(o.messages); {
		if now.Before(o.messages[i].startedAt.Add(after)) {
			i++
			continue
		}
		o.remove(i)
		n++
	}
	return n
}

// acked takes what the receiver says it has: it may be less than before, where it had to make room. An answer
// in the middle of a pass begins no new one, as it may be older than what was sent since.
func (o *outbox) handleAck(now time.Time, from uint32, f frame) {
	for i, m := range o.messages {
		if m.to != from || m.header.number != f.number {
			continue
		}
		if !m.isInPass() {
			o.noteRoundTrip(now.Sub(m.passEndedAt))
		}
		if len(f.data) == 0 {
			o.remove(i)
			return
		}
		if have := fragmentSet(f.data); len(have) != len(m.acked) || have.count(int(m.header.count)) == int(m.header.count) {
			return
		}
		copy(m.acked, f.data)
		if !m.isInPass() {
			m.beginPass(now)
		}
		return
	}
}

func (m *outMessage) isInPass() bool { return m.cursor < m.end }

// pass begins one with all pieces that are missing.
func (m *outMessage) beginPass(now time.Time) {
	m.cursor, m.end = m.nextMissing(0), int(m.header.count)
	m.resendAfter = max(m.resendAfter/2, m.minResend)
	m.resendAt = now
}

// wake asks again, with the first piece that is missing, if no answer came in time.
func (m *outMessage) resendIfDue(now time.Time) {
	if m.isInPass() || now.Before(m.resendAt) {
		return
	}
	m.cursor = m.nextMissing(0)
	m.end = min(m.cursor+1, int(m.header.count))
	m.resendAfter = min(2*m.resendAfter, m.maxResend)
}

// missing returns the first piece from i on that the receiver is not known to have.
func (m *outMessage) nextMissing(i int) int {
	for i < int(m.header.count) && m.acked.has(i) {
		i++
	}
	return i
}

// next returns the next piece of the pass, as a frame.
func (m *outMessage) nextFragment(now time.Time) []byte {
	f := m.header
	f.index = uint16(m.cursor)
	lo := m.cursor * fragmentBytes
	f.data = m.data[lo:min(lo+fragmentBytes, len(m.data))]
	kind := byte(kindFragment)
	if m.cursor = m.nextMissing(m.cursor + 1); m.cursor >= m.end {
		kind = kindAckRequest
		m.cursor = m.end
		m.passEndedAt, m.resendAt = now, now.Add(m.resendAfter)
	}
	return encodeFragment(kind, m.channel, f)
}
