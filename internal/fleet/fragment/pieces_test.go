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

// body returns a message that tells its own number, and could be no other.
func body(n uint32, size int) []byte {
	b := make([]byte, max(size, 4))
	r := rand.New(rand.NewPCG(uint64(n), 1))
	for i := range b {
		b[i] = byte(r.Uint32())
	}
	binary.BigEndian.PutUint32(b, n)
	return b
}

// way is a network between two carriers that does what a seed says.
type way struct {
	r                            *rand.Rand
	loss, double, corrupt, shift float64
	flying                       []flight
}

type flight struct {
	at   time.Time
	from uint32
	d    Datagram
}

func (w *way) put(now time.Time, from uint32, out []Datagram) {
	for _, d := range out {
		for again := true; again; again = w.r.Float64() < w.double {
			if w.r.Float64() < w.loss {
				continue
			}
			at := now.Add(time.Millisecond)
			if w.r.Float64() < w.shift {
				at = at.Add(time.Duration(w.r.IntN(2000)) * time.Millisecond)
			}
			b := append([]byte(nil), d.Bytes...)
			if w.r.Float64() < w.corrupt {
				b[w.r.IntN(len(b))] ^= byte(1 + w.r.IntN(255))
			}
			w.flying = append(w.flying, flight{at, from, Datagram{d.To, b}})
		}
	}
}

func (w *way) due(now time.Time) (due []flight) {
	var rest []flight
	for _, f := range w.flying {
		if f.at.After(now) {
			rest = append(rest, f)
		} else {
			due = append(due, f)
		}
	}
	w.flying = rest
	return due
}

// What is delivered is what was sent, long messages at most once to a process, within memory; and all long ones
// are delivered where the network loses no more than a third and nobody restarts.
func TestWhatIsDeliveredWasSent(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &way{r: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 2))}
		w.loss = rapid.SampledFrom([]float64{0, 0.1, 0.3, 0.9}).Draw(t, "loss")
		w.double = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "double")
		w.corrupt = rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "corrupt")
		w.shift = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "shift")
		restarts := rapid.Bool().Draw(t, "restarts")
		const memory = 200 << 10
		fresh := func(inc uint64) *Transport {
			return New(Config{Agents: 2, Incarnation: inc, MemoryBytes: memory, GiveUpAfter: 30 * time.Second})
		}
		at := []*Transport{fresh(1), fresh(1)}
		sent, times, long := map[uint32]uint32{}, map[uint32]int{}, 0
		for step := range 2000 {
			now := start.Add(time.Duration(step) * 20 * time.Millisecond)
			for _, f := range w.due(now) {
				for _, m := range at[f.d.To].Receive(now, f.from, f.d.Bytes) {
					n := binary.BigEndian.Uint32(m.Bytes)
					require.Equal(t, body(n, len(m.Bytes)), m.Bytes)
					require.Equal(t, f.from, m.From)
					require.Equal(t, uint8(n), m.Channel)
					require.Contains(t, sent, n)
					if len(m.Bytes) > MaxShortBytes {
						times[n]++
						require.Equal(t, 1, times[n], "a long message came twice")
					}
				}
			}
			if step < 300 && step%10 == 0 {
				n := uint32(step)
				from, size := w.r.IntN(2), []int{10, MaxShortBytes, MaxShortBytes + 1, 5000, 30000}[w.r.IntN(5)]
				require.NoError(t, at[from].Send(now, uint32(1-from), uint8(n), body(n, size)))
				if sent[n] = uint32(size); size > MaxShortBytes {
					long++
				}
			}
			if restarts && step%97 == 50 {
				// The receiver of this test remembers over its restarts what came, so only senders restart.
				at[0] = New(Config{Agents: 2, Incarnation: uint64(step), MemoryBytes: memory, GiveUpAfter: 30 * time.Second})
				at[0].inbox = newInbox()
				times = map[uint32]int{}
			}
			for i, c := range at {
				w.put(now, uint32(i), c.Out(now))
				out, in := c.InFlightBytes()
				require.LessOrEqual(t, out, memory/2)
				require.LessOrEqual(t, in, memory/2)
			}
		}
		if !restarts && w.loss < 0.5 && at[0].Stats().OutOfMemory+at[1].Stats().OutOfMemory == 0 {
			require.Len(t, times, long, "%+v %+v", at[0].Stats(), at[1].Stats())
		}
	})
}

// Pieces from before a restart are not mixed with those after, though they have the same number.
func TestARestartIsNotMixed(t *testing.T) {
	receiver := New(Config{Agents: 2})
	cutUp := func(inc uint64, n uint32) []Datagram {
		c := New(Config{Agents: 2, Incarnation: inc})
		require.NoError(t, c.Send(start, 1, 7, body(n, 3*fragmentBytes)))
		return c.Out(start)
	}
	old, young := cutUp(1, 100), cutUp(2, 200)
	require.Empty(t, receiver.Receive(start, 0, old[0].Bytes))
	require.Empty(t, receiver.Receive(start, 0, young[1].Bytes))
	require.Empty(t, receiver.Receive(start, 0, old[1].Bytes))
	require.Empty(t, receiver.Receive(start, 0, old[2].Bytes))
	require.Empty(t, receiver.Receive(start, 0, young[0].Bytes))
	got := receiver.Receive(start, 0, young[2].Bytes)
	require.Len(t, got, 1)
	require.Equal(t, body(200, 3*fragmentBytes), got[0].Bytes)
	require.EqualValues(t, 2, receiver.Stats().StaleIncarnation)
}

// The pace: long messages never exceed the burst and the rate, short ones in a step share datagrams.
func TestPace(t *testing.T) {
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
	// Nothing is due at once when the pace has no room, though the others' answers are overdue.
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

func TestRefused(t *testing.T) {
	c := New(Config{Agents: 2, MemoryBytes: 100_000})
	require.ErrorIs(t, c.Send(start, 2, 0, []byte{1}), ErrUnknownAgent)
	require.ErrorIs(t, c.Send(start, 1, 0, nil), ErrEmpty)
	require.ErrorIs(t, c.Send(start, 1, 0, make([]byte, MaxMessageBytes+1)), ErrTooLong)
	require.ErrorIs(t, c.Send(start, 1, 0, make([]byte, 60_000)), ErrQueueFull)
	require.Less(t, ackHeaderBytes+len(newFragmentSet(maxFragments))+headerBytes, MaxDatagramBytes)
	for _, bad := range [][]byte{nil, {FirstByte}, {FirstByte, Version, 0, 0, 0, 0, 1}, make([]byte, 300), seal([]byte{9, 9, 9})} {
		require.Empty(t, c.Receive(start, 1, bad))
	}
	require.EqualValues(t, 5, c.Stats().Damaged)
}

// FuzzReceive: nothing that comes makes it panic, or hold more than it may.
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
		c.Receive(start, 1, seal(frames))
		c.Out(start.Add(time.Second))
		_, in := c.InFlightBytes()
		require.LessOrEqual(t, in, 32<<10)
	})
}

// A long message of which nothing is heard is asked for again as soon as answers took before, and ever more slowly.
func TestAsksAgainAsSoonAsAnswersCome(t *testing.T) {
	here, there := New(Config{Agents: 2, Incarnation: 1}), New(Config{Agents: 2, Incarnation: 1})
	now := start
	again := func() time.Duration {
		require.NoError(t, here.Send(now, 1, 1, body(1, 600)))
		here.Out(now)
		return here.Next().Sub(now)
	}
	require.Equal(t, 200*time.Millisecond, again(), "no answer came yet")
	here = New(Config{Agents: 2, Incarnation: 2})
	require.NoError(t, here.Send(now, 1, 1, body(1, 600)))
	for _, d := range here.Out(now) {
		there.Receive(now, 0, d.Bytes)
	}
	now = now.Add(10 * time.Millisecond)
	for _, d := range there.Out(now) {
		here.Receive(now, 1, d.Bytes)
	}
	require.Equal(t, 40*time.Millisecond, again())
	now = here.Next()
	here.Out(now)
	require.Equal(t, 80*time.Millisecond, here.Next().Sub(now))
}
