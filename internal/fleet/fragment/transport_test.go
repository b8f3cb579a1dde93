package fragment

import (
	"encoding/binary"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

var start = time.Unix(1_800_000_000, 0)

// body returns a message that contains its number and is unique to it.
func body(n uint32, size int) []byte {
	b := make([]byte, max(size, 4))
	r := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	binary.BigEndian.PutUint32(b, n)
	return b
}

// network is a simulated network between two transports, whose faults are determined by a seed.
type network struct {
	rng                             *rand.Rand
	loss, duplicate, corrupt, delay float64
	inFlight                        []packet
}

type packet struct {
	at       time.Time
	from     uint32
	datagram Datagram
}

func (n *network) send(now time.Time, from uint32, out []Datagram) {
	for _, d := range out {
		for again := true; again; again = n.rng.Float64() < n.duplicate {
			if n.rng.Float64() < n.loss {
				continue
			}
			at := now.Add(time.Millisecond)
			if n.rng.Float64() < n.delay {
				at = at.Add(time.Duration(n.rng.IntN(2000)) * time.Millisecond)
			}
			b := append([]byte(nil), d.Bytes...)
			if n.rng.Float64() < n.corrupt {
				b[n.rng.IntN(len(b))] ^= byte(1 + n.rng.IntN(255))
			}
			n.inFlight = append(n.inFlight, packet{at, from, Datagram{d.To, b}})
		}
	}
}

func (n *network) due(now time.Time) (due []packet) {
	var rest []packet
	for _, f := range n.inFlight {
		if f.at.After(now) {
			rest = append(rest, f)
		} else {
			due = append(due, f)
		}
	}
	n.inFlight = rest
	return due
}

// Delivered messages equal the messages sent, long messages are delivered at most once to a process, and the memory stays
// within its limits. All long messages are delivered if the network loses at most 30% and no process is restarted.
func TestDelivery(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nw := &network{rng: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))}
		nw.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.9}).Draw(t, "loss")
		nw.duplicate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "duplicate")
		nw.corrupt = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "corrupt")
		nw.delay = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "delay")
		restarts := rapid.Bool().Draw(t, "restarts")
		const memory = 200 << 10
		newTransport := func(incarnation uint64) *Transport {
			return New(Config{Agents: 2, Incarnation: incarnation, MemoryBytes: memory, GiveUpAfter: 30 * time.Second})
		}
		ends := []*Transport{newTransport(1), newTransport(1)}
		sent, deliveries, longCount := map[uint32]uint32{}, map[uint32]int{}, 0
		for step := range 2000 {
			now := start.Add(time.Duration(step) * 20 * time.Millisecond)
			for _, f := range nw.due(now) {
				for _, m := range ends[f.datagram.To].Receive(now, f.from, f.datagram.Bytes) {
					n := binary.BigEndian.Uint32(m.Bytes)
					require.Equal(t, body(n, len(m.Bytes)), m.Bytes)
					require.Equal(t, f.from, m.From)
					require.Equal(t, uint8(n), m.Channel)
					require.Contains(t, sent, n)
					if len(m.Bytes) > MaxShortBytes {
						deliveries[n]++
						require.Equal(t, 1, deliveries[n], "a long message is delivered at most once")
					}
				}
			}
			if step < 300 && step%10 == 0 {
				n := uint32(step)
				from, size := nw.rng.IntN(2), []int{10, MaxShortBytes, MaxShortBytes + 1, 5000, 30000}[nw.rng.IntN(5)]
				require.NoError(t, ends[from].Send(now, uint32(1-from), uint8(n), body(n, size)))
				if sent[n] = uint32(size); size > MaxShortBytes {
					longCount++
				}
			}
			if restarts && step%97 == 50 {
				// Only agent 0 restarts, with a higher incarnation. The count of deliveries begins again, as each process may
				// deliver a long message once.
				ends[0] = New(Config{Agents: 2, Incarnation: uint64(step), MemoryBytes: memory, GiveUpAfter: 30 * time.Second})
				ends[0].inbox = newInbox()
				deliveries = map[uint32]int{}
			}
			for i, c := range ends {
				nw.send(now, uint32(i), c.Out(now))
				out, in := c.InFlightBytes()
				require.LessOrEqual(t, out, memory/2)
				require.LessOrEqual(t, in, memory/2)
			}
		}
		if !restarts && nw.loss < 0.5 && ends[0].Stats().OutOfMemory+ends[1].Stats().OutOfMemory == 0 {
			require.Len(t, deliveries, longCount, "%+v %+v", ends[0].Stats(), ends[1].Stats())
		}
	})
}

// Fragments from before and after a restart are not mixed, although the messages have the same number.
func TestFragmentsOfTwoIncarnations(t *testing.T) {
	receiver := New(Config{Agents: 2})
	fragmentsOf := func(incarnation uint64, n uint32) []Datagram {
		c := New(Config{Agents: 2, Incarnation: incarnation})
		require.NoError(t, c.Send(start, 1, 7, body(n, 3*fragmentBytes)))
		return c.Out(start)
	}
	before, after := fragmentsOf(1, 100), fragmentsOf(2, 200)
	require.Empty(t, receiver.Receive(start, 0, before[0].Bytes))
	require.Empty(t, receiver.Receive(start, 0, after[1].Bytes))
	require.Empty(t, receiver.Receive(start, 0, before[1].Bytes))
	require.Empty(t, receiver.Receive(start, 0, before[2].Bytes))
	require.Empty(t, receiver.Receive(start, 0, after[0].Bytes))
	got := receiver.Receive(start, 0, after[2].Bytes)
	require.Len(t, got, 1)
	require.Equal(t, body(200, 3*fragmentBytes), got[0].Bytes)
	require.EqualValues(t, 2, receiver.Stats().StaleIncarnation)
}

// Long messages never exceed the burst and the rate. Short messages share datagrams, and are dropped above the rate.
func TestPacing(t *testing.T) {
	c := New(Config{Agents: 9, BytesPerSecond: 10_000, BurstBytes: 2_000})
	require.NoError(t, c.Send(start, 1, 1, body(1, 100_000)))
	bytes, now := 0, start
	for range 100 {
		for _, d := range c.Out(now) {
			bytes += len(d.Bytes)
		}
		now = now.Add(10 * time.Millisecond)
	}
	require.LessOrEqual(t, bytes, 12_000)
	require.Greater(t, bytes, 9_000)
	// Next is later than the present time while the rate limit is exhausted, although acknowledgements are overdue.
	for range 5 {
		require.NoError(t, c.Send(now, 1, 1, body(1, 300)))
	}
	for range 200 {
		c.Out(now)
		require.True(t, c.Next().After(now))
		now = c.Next()
	}

	c = New(Config{Agents: 9, BytesPerSecond: 1000, BurstBytes: 1000})
	for range 20 {
		require.NoError(t, c.Send(start, 3, 1, body(1, 20)))
	}
	require.Len(t, c.Out(start), 2)
	for range 200 {
		require.NoError(t, c.Send(start, 3, 1, body(1, 20)))
	}
	require.Greater(t, c.Stats().RateLimited, uint64(100))
}

// TestRejectedMessages checks what Send rejects and Receive drops.
func TestRejectedMessages(t *testing.T) {
	c := New(Config{Agents: 2, MemoryBytes: 100_000})
	require.ErrorIs(t, c.Send(start, 2, 0, []byte{1}), ErrUnknownAgent)
	require.ErrorIs(t, c.Send(start, 1, 0, nil), ErrEmpty)
	require.ErrorIs(t, c.Send(start, 1, 0, make([]byte, MaxMessageBytes+1)), ErrTooLong)
	require.ErrorIs(t, c.Send(start, 1, 0, make([]byte, 60_000)), ErrQueueFull)
	require.Less(t, ackHeaderBytes+len(newFragmentSet(maxFragments))+headerBytes, MaxDatagramBytes)
	for _, damaged := range [][]byte{nil, {FirstByte}, {FirstByte, Version, 0, 0, 0, 0, 1}, make([]byte, 300), encodeDatagram([]byte{9, 9, 9})} {
		require.Empty(t, c.Receive(start, 1, damaged))
	}
	require.EqualValues(t, 5, c.Stats().Damaged)
}

// FuzzReceive checks that arbitrary frames cause no panic and do not exceed the memory limit.
func FuzzReceive(f *testing.F) {
	c := New(Config{Agents: 2})
	_ = c.Send(start, 1, 3, body(1, 1000))
	_ = c.Send(start, 1, 3, body(1, 10))
	for _, d := range c.Out(start) {
		f.Add(d.Bytes[headerBytes:])
	}
	f.Add(encodeAck(frame{number: 1}, []byte{1}))
	f.Fuzz(func(t *testing.T, frames []byte) {
		c := New(Config{Agents: 2, MemoryBytes: 64 << 10})
		_ = c.Send(start, 1, 3, body(1, 1000))
		c.Receive(start, 1, encodeDatagram(frames))
		c.Out(start.Add(time.Second))
		_, in := c.InFlightBytes()
		require.LessOrEqual(t, in, 32<<10)
	})
}

// A long message that is not acknowledged is resent after a timeout that follows the round-trip time and doubles with each
// resend.
func TestResendFollowsRoundTrip(t *testing.T) {
	sender, receiver := New(Config{Agents: 2, Incarnation: 1}), New(Config{Agents: 2, Incarnation: 1})
	now := start
	resendDelay := func() time.Duration {
		require.NoError(t, sender.Send(now, 1, 1, body(1, 600)))
		sender.Out(now)
		return sender.Next().Sub(now)
	}
	require.Equal(t, 200*time.Millisecond, resendDelay(), "the timeout is the maximum before the first acknowledgement")
	sender = New(Config{Agents: 2, Incarnation: 2})
	require.NoError(t, sender.Send(now, 1, 1, body(1, 600)))
	for _, d := range sender.Out(now) {
		receiver.Receive(now, 0, d.Bytes)
	}
	now = now.Add(10 * time.Millisecond)
	for _, d := range receiver.Out(now) {
		sender.Receive(now, 1, d.Bytes)
	}
	require.Equal(t, 40*time.Millisecond, resendDelay())
	now = sender.Next()
	sender.Out(now)
	require.Equal(t, 80*time.Millisecond, sender.Next().Sub(now))
}
