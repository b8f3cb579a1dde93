// Package fragment carries messages of up to 160 KiB between agents in datagrams of at most 256 bytes that may
// be lost, late, doubled, reordered or corrupted.
//
// A message that fits into one datagram is sent once and forgotten: it may be lost, and come twice. A longer
// one is cut into pieces that are resent by what the receiver says it has, until all are there or it is given
// up: it comes once or never, to one process. Whoever needs an answer asks again above.
//
// What is delivered is what was sent: each datagram has a checksum, and a longer message another over the
// whole. These guard against damage on the way, not against an agent that lies.
//
// A process numbers itself (its incarnation, higher at each start); pieces of an earlier one are dropped, so
// that what was begun before a restart is not mixed with what comes after.
//
// It does no input or output, and knows no clock: every call brings the time, Out returns what is to be sent.
// The same calls give the same answers. MemoryBytes is bounded by Config. A Transport is not safe for concurrent
// use.
package fragment

import (
	"encoding/binary"
	"errors"
	"hash/crc32"
	"time"
)

const (
	// FirstByte is the first byte of each datagram: others between agents begin with other bytes, and agents that
	// do not know it drop it.
	FirstByte = 0xF1
	// Version is the second byte. What has another is dropped and counted.
	Version = 1
	// MaxDatagramBytes is the longest datagram, in bytes.
	MaxDatagramBytes = 256

	headerBytes         = 2 + 4 // FirstByte, Version, checksum of the rest
	shortHeaderBytes    = 3     // kind, channel, length
	fragmentHeaderBytes = shortHeaderBytes + 8 + 4 + 2 + 2 + 4
	ackHeaderBytes      = shortHeaderBytes + 8 + 4
	// fragmentBytes is what a piece carries; all but the last are full.
	fragmentBytes = MaxDatagramBytes - headerBytes - fragmentHeaderBytes
	// MaxShortBytes is the longest message that goes in one datagram.
	MaxShortBytes = MaxDatagramBytes - headerBytes - shortHeaderBytes
	// MaxMessageBytes is the longest message, in bytes.
	MaxMessageBytes = 160 << 10
	maxFragments    = (MaxMessageBytes + fragmentBytes - 1) / fragmentBytes

	kindShort      = 0
	kindFragment   = 1
	kindAckRequest = 2 // a piece whose receiver is to say at once what it has
	kindAck        = 3
)

// ErrTooLong is returned for a message of more than MaxMessageBytes bytes, ErrEmpty for one of none.
var (
	ErrTooLong      = errors.New("pieces: message too long")
	ErrEmpty        = errors.New("pieces: empty message")
	ErrUnknownAgent = errors.New("pieces: no such agent")
	ErrQueueFull    = errors.New("pieces: too much is waiting to be sent")
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// Config bounds what a Transport holds and sends. Zero fields stand for the defaults.
type Config struct {
	// Agents is how many there may be: peers are numbered below it.
	Agents int
	// Incarnation numbers this process, higher at each start: the time of it in milliseconds will do.
	Incarnation uint64
	// MemoryBytes is the most that messages being sent and received may take, in bytes, half for each. Default 1 MiB.
	MemoryBytes int
	// BytesPerSecond and BurstBytes pace what is sent: bytes a second and at once. Defaults 128 KiB and 64 KiB.
	BytesPerSecond, BurstBytes int
	// ResendAfter is how long nothing may be heard of a long message before it is asked for again, less where answers
	// come sooner; it doubles with each time. Default 200 ms.
	ResendAfter time.Duration
	// GiveUpAfter is how long a long message is tried. Default 10 s.
	GiveUpAfter time.Duration
}

func (c Config) withDefaults() Config {
	fill := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	fill(&c.MemoryBytes, 1<<20)
	fill(&c.BytesPerSecond, 128<<10)
	fill(&c.BurstBytes, 64<<10)
	if c.ResendAfter <= 0 {
		c.ResendAfter = 200 * time.Millisecond
	}
	if c.GiveUpAfter <= 0 {
		c.GiveUpAfter = 10 * time.Second
	}
	return c
}

// Message is one that arrived.
type Message struct {
	From    uint32
	Channel uint8
	Bytes   []byte
}

// Datagram is one to be sent.
type Datagram struct {
	To    uint32
	Bytes []byte
}

// Stats is what was given up or dropped since the start.
type Stats struct {
	Damaged          uint64 // datagrams that cannot be read
	StaleIncarnation uint64 // of a process that has been restarted since
	Duplicates       uint64 // pieces of messages that were delivered or given up
	OutOfMemory      uint64 // messages given up, on either side, for want of memory
	Expired          uint64 // long messages given up after GiveUpAfter
	RateLimited      uint64 // short messages not sent, as the pace was exceeded twice over
}

// Transport is one agent's.
type Transport struct {
	config  Config
	stats   Stats
	pacer   tokenBucket
	batches batches
	outbox  outbox
	inbox   inbox
	pending []Datagram
}

// New returns the Transport of a process that has just started.
func New(cfg Config) *Transport {
	cfg = cfg.withDefaults()
	return &Transport{
		config: cfg, pacer: newTokenBucket(cfg), outbox: newOutbox(), inbox: newInbox(),
		batches: batches{open: map[uint32][]byte{}},
	}
}

// Stats returns what was given up or dropped.
func (c *Transport) Stats() Stats { return c.stats }

// InFlightBytes returns the bytes of messages on their way out and in.
func (c *Transport) InFlightBytes() (out, in int) { return c.outbox.bytes, c.inbox.bytes }

// Send takes a message for an agent; the channel tells the parts above from each other. The message is
// copied.
func (c *Transport) Send(now time.Time, to uint32, channel uint8, msg []byte) error {
	switch {
	case int64(to) >= int64(c.config.Agents):
		return ErrUnknownAgent
	case len(msg) == 0:
		return ErrEmpty
	case len(msg) > MaxMessageBytes:
		return ErrTooLong
	case len(msg) <= MaxShortBytes:
		c.queueFrame(now, to, append([]byte{kindShort, channel, byte(len(msg))}, msg...))
		return nil
	}
	if fragmentCount(len(msg))*fragmentBytes > c.config.MemoryBytes/2 {
		return ErrQueueFull
	}
	for c.outbox.bytes+len(msg) > c.config.MemoryBytes/2 || c.outbox.perAgent[to] >= maxPerAgent {
		c.outbox.dropOldest(to, c.outbox.perAgent[to] >= maxPerAgent)
		c.stats.OutOfMemory++
	}
	c.outbox.add(now, to, channel, msg, c.config)
	return nil
}

// frame puts one into the datagram that is open to an agent, which goes out with the next Out: what is sent
// to the same agent in one step shares datagrams. Short ones are not held back by the pace, as they are worth
// nothing later; they are not sent at all where it is exceeded twice over.
func (c *Transport) queueFrame(now time.Time, to uint32, frame []byte) {
	if !c.pacer.takeWithDebt(now, len(frame)+headerBytes) {
		c.stats.RateLimited++
		return
	}
	if full := c.batches.add(to, frame); full != nil {
		c.pending = append(c.pending, Datagram{to, full})
	}
}

// Out returns what is to be sent now, and empties it.
func (c *Transport) Out(now time.Time) []Datagram {
	c.expire(now)
	c.sendFragments(now)
	c.pending = c.batches.flush(c.pending)
	out := c.pending
	c.pending = nil
	return out
}

// Next returns when Out is to be called without other cause; the zero time, if not at all.
func (c *Transport) Next() time.Time {
	if len(c.pending) > 0 || len(c.batches.order) > 0 {
		return c.pacer.updatedAt
	}
	next := c.inbox.nextExpiry(c.config.GiveUpAfter)
	for _, m := range c.outbox.messages {
		at := c.pacer.availableAt(MaxDatagramBytes)
		if !m.isInPass() && m.resendAt.After(at) {
			at = m.resendAt
		}
		if give := m.startedAt.Add(c.config.GiveUpAfter); give.Before(at) {
			at = give
		}
		if next.IsZero() || at.Before(next) {
			next = at
		}
	}
	return next
}

func (c *Transport) expire(now time.Time) {
	late := c.outbox.expire(now, c.config.GiveUpAfter) + c.inbox.expire(now, c.config.GiveUpAfter)
	c.stats.Expired += uint64(late)
}

// pieces sends what the pace allows, one piece of each message in turn.
func (c *Transport) sendFragments(now time.Time) {
	for sent := true; sent; {
		sent = false
		for _, m := range c.outbox.messages {
			m.resendIfDue(now)
			if !m.isInPass() {
				continue
			}
			if !c.pacer.take(now, MaxDatagramBytes) {
				return
			}
			c.pending = append(c.pending, Datagram{m.to, seal(m.nextFragment(now))})
			sent = true
		}
	}
}

// Receive takes a datagram from an agent, and returns the messages that it completes.
func (c *Transport) Receive(now time.Time, from uint32, datagram []byte) []Message {
	body, ok := unseal(datagram)
	if !ok || int64(from) >= int64(c.config.Agents) {
		c.stats.Damaged++
		return nil
	}
	var got []Message
	for len(body) > 0 {
		f, rest, ok := readFrame(body)
		if !ok {
			c.stats.Damaged++
			return got
		}
		body = rest
		if m, ok := c.handleFrame(now, from, f); ok {
			got = append(got, m)
		}
	}
	return got
}

func (c *Transport) handleFrame(now time.Time, from uint32, f frame) (Message, bool) {
	switch f.kind {
	case kindShort:
		return Message{from, f.channel, append([]byte(nil), f.data...)}, true
	case kindAck:
		if f.incarnation == c.config.Incarnation {
			c.outbox.handleAck(now, from, f)
		}
		return Message{}, false
	}
	res := c.inbox.handleFragment(now, from, f, c.config.MemoryBytes/2)
	c.stats.StaleIncarnation += res.staleIncarnation
	c.stats.Duplicates += res.duplicates
	c.stats.OutOfMemory += res.outOfMemory
	if res.ack != nil {
		c.queueFrame(now, from, res.ack)
	}
	return Message{from, f.channel, res.message}, res.message != nil
}

func seal(frames []byte) []byte {
	d := make([]byte, headerBytes, headerBytes+len(frames))
	d[0], d[1] = FirstByte, Version
	binary.BigEndian.PutUint32(d[2:], crc32.Checksum(frames, castagnoli))
	return append(d, frames...)
}

func unseal(d []byte) (body []byte, ok bool) {
	if len(d) <= headerBytes || len(d) > MaxDatagramBytes || d[0] != FirstByte || d[1] != Version {
		return nil, false
	}
	body = d[headerBytes:]
	return body, crc32.Checksum(body, castagnoli) == binary.BigEndian.Uint32(d[2:])
}

// batches are datagrams of short frames that are not full yet, by agent, in the order in which they were
// begun.
type batches struct {
	open  map[uint32][]byte
	order []uint32
}

func (b *batches) add(to uint32, frame []byte) (full []byte) {
	d, is := b.open[to]
	if !is {
		b.order = append(b.order, to)
	}
	if len(d)+len(frame) > MaxDatagramBytes-headerBytes {
		full, d = seal(d), nil
	}
	b.open[to] = append(d, frame...)
	return full
}

func (b *batches) flush(to []Datagram) []Datagram {
	for _, agent := range b.order {
		to = append(to, Datagram{agent, seal(b.open[agent])})
		delete(b.open, agent)
	}
	b.order = b.order[:0]
	return to
}
