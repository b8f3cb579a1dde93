package fragment

import (
	"math"
	"time"
)

// completedWindow is of how many message numbers, up to the highest one that was delivered, it is known which
// were.
// What is below it is not taken any more.
const completedWindow = 64

// inbox are the long messages on their way in.
type inbox struct {
	senders  map[uint32]*sender
	messages []*inMessage // in the order in which they began
	bytes    int
}

// peer is what is known of an agent's process.
type sender struct {
	incarnation      uint64
	highestCompleted uint32 // the highest number that is done: delivered, or given up
	completed        uint64 // bit n: highest-n is done
}

// coming is a message of which some pieces are there.
type inMessage struct {
	from      uint32
	header    frame
	buf       []byte
	size      int // known once the last piece is there
	received  fragmentSet
	missing   int // pieces that are missing
	startedAt time.Time
}

type fragmentResult struct {
	message                                   []byte
	ack                                       []byte
	staleIncarnation, duplicates, outOfMemory uint64
}

func newInbox() inbox { return inbox{senders: map[uint32]*sender{}} }

// piece takes one. The number of peers is bounded by the caller, as they are numbered.
func (in *inbox) handleFragment(now time.Time, from uint32, f frame, most int) (t fragmentResult) {
	p := in.senders[from]
	if p == nil {
		p = &sender{incarnation: f.incarnation}
		in.senders[from] = p
	}
	if f.incarnation < p.incarnation {
		return fragmentResult{staleIncarnation: 1}
	}
	if f.incarnation > p.incarnation {
		*p = sender{incarnation: f.incarnation}
		in.dropSender(from)
	}
	if p.isCompleted(f.number) {
		// The answer that all is there was lost, or the message was given up: nothing more is wanted of it.
		if t.duplicates = 1; f.kind == kindAckRequest {
			t.ack = encodeAck(f, nil)
		}
		return t
	}
	m := in.find(from, f.number)
	if m == nil {
		if m, t.outOfMemory = in.begin(now, from, f, most); m == nil {
			return t
		}
	}
	if !m.matches(f) {
		return t
	}
	if m.store(f); m.missing > 0 {
		if f.kind == kindAckRequest {
			t.ack = encodeAck(f, m.received)
		}
		return t
	}
	in.remove(m)
	if checksum(m.buf[:m.size]) != m.header.checksum {
		return t // damaged in a way that the pieces' checksums did not show: begun anew by what is resent
	}
	p.markCompleted(f.number)
	t.message, t.ack = m.buf[:m.size], encodeAck(f, nil)
	return t
}

func (in *inbox) find(from uint32, number uint32) *inMessage {
	for _, m := range in.messages {
		if m.from == from && m.header.number == number {
			return m
		}
	}
	return nil
}

// begin makes room for a message, if need be by giving up the oldest ones: its sender asks again, and it is
// begun anew.
func (in *inbox) begin(now time.Time, from uint32, f frame, most int) (m *inMessage, given uint64) {
	size := int(f.count) * fragmentBytes
	if size > most {
		return nil, 1
	}
	if mine, n := in.oldestFrom(from); n >= maxPerAgent {
		in.remove(mine)
		given++
	}
	for in.bytes+size > most {
		in.remove(in.messages[0])
		given++
	}
	m = &inMessage{
		from: from, header: f, buf: make([]byte, size), received: newFragmentSet(int(f.count)), missing: int(f.count), startedAt: now,
	}
	m.header.data = nil
	in.messages = append(in.messages, m)
	in.bytes += size
	return m, given
}

// of returns the oldest message from an agent, and how many there are.
func (in *inbox) oldestFrom(from uint32) (oldest *inMessage, n int) {
	for i := len(in.messages) - 1; i >= 0; i-- {
		if in.messages[i].from == from {
			oldest = in.messages[i]
			n++
		}
	}
	return oldest, n
}

func (in *inbox) remove(m *inMessage) {
	for i, o := range in.messages {
		if o == m {
			in.messages = append(in.messages[:i], in.messages[i+1:]...)
			in.bytes -= len(m.buf)
			return
		}
	}
}

// forget drops what an earlier process of an agent had begun to send.
func (in *inbox) dropSender(from uint32) {
	for i := 0; i < len(in.messages); {
		if in.messages[i].from == from {
			in.remove(in.messages[i])
		} else {
			i++
		}
	}
}

func (in *inbox) expire(now time.Time, after time.Duration) (n int) {
	for len(in.messages) > 0 && !now.Before(in.messages[0].startedAt.Add(after)) {
		in.remove(in.messages[0])
		n++
	}
	return n
}

// next returns when the first one is given up.
func (in *inbox) nextExpiry(after time.Duration) time.Time {
	if len(in.messages) == 0 {
		return time.Time{}
	}
	return in.messages[0].startedAt.Add(after)
}

func (m *inMessage) matches(f frame) bool {
	return f.count == m.header.count && f.checksum == m.header.checksum && f.channel == m.header.channel
}

func (m *inMessage) store(f frame) {
	i := int(f.index)
	if m.received.has(i) {
		return
	}
	m.received.set(i)
	m.missing--
	copy(m.buf[i*fragmentBytes:], f.data)
	if f.index+1 == f.count {
		m.size = i*fragmentBytes + len(f.data)
	}
}

func (p *sender) isCompleted(n uint32) bool {
	switch {
	case n > p.highestCompleted:
		return false
	case p.highestCompleted-n >= completedWindow:
		return true
	}
	return p.completed&(1<<(p.highestCompleted-n)) != 0
}

func (p *sender) markCompleted(n uint32) {
	if n > p.highestCompleted {
		if n-p.highestCompleted >= completedWindow {
			p.completed = 0
		} else {
			p.completed <<= n - p.highestCompleted
		}
		p.highestCompleted = n
	}
	p.completed |= 1 << (p.highestCompleted - n)
}

// bucket is the pace: tokens are bytes.
type tokenBucket struct {
	rate, burst, tokens float64
	updatedAt           time.Time
}

func newTokenBucket(cfg Config) tokenBucket {
	return tokenBucket{rate: float64(cfg.BytesPerSecond), burst: float64(cfg.BurstBytes), tokens: float64(cfg.BurstBytes)}
}

func (b *tokenBucket) refill(now time.Time) {
	if b.updatedAt.IsZero() {
		b.updatedAt = now
	}
	if d := now.Sub(b.updatedAt); d > 0 {
		b.tokens = min(b.tokens+b.rate*d.Seconds(), b.burst)
		b.updatedAt = now
	}
}

// take pays for n bytes, if there is enough.
func (b *tokenBucket) take(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens < float64(n) {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// owe pays for n bytes, if need be out of what comes later, up to one burst.
func (b *tokenBucket) takeWithDebt(now time.Time, n int) bool {
	b.refill(now)
	if b.tokens-float64(n) < -b.burst {
		return false
	}
	b.tokens -= float64(n)
	return true
}

// ready returns when there is enough for n bytes.
func (b *tokenBucket) availableAt(n int) time.Time {
	if b.tokens >= float64(n) {
		return b.updatedAt
	}
	return b.updatedAt.Add(time.Duration(math.Ceil((float64(n) - b.tokens) / b.rate * float64(time.Second))))
}
