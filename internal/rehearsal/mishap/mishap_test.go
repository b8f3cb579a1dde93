package mishap

import (
	"bytes"
	"math/bits"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/rehearsal/scenario"
)

const ms = time.Millisecond

func delayRange(low, high time.Duration) scenario.TimeSpan {
	return scenario.TimeSpan{Low: low, High: high}
}

func begin(t require.TestingT, n *Network, f Fault) int {
	id, err := n.Begin(f)
	require.NoError(t, err)
	return id
}

// datagram is a datagram that a test sends.
type datagram struct {
	at       time.Duration
	from, to int
	data     []byte
}

// For any faults, a datagram that is not lost is delivered, or delivered twice if duplicated; each copy's delay is in range,
// and a copy is unchanged unless bits are flipped or it is truncated. The same seed gives the same copies, and the
// datagrams of one sender do not change those of another.
func TestCopiesMatchFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		share := func(name string) float64 { return rapid.SampledFrom([]float64{0, 0.3, 1}).Draw(t, name) }
		span := func(name string) scenario.TimeSpan {
			low := time.Duration(rapid.IntRange(0, 50).Draw(t, name)) * ms
			return delayRange(low, low+time.Duration(rapid.IntRange(0, 50).Draw(t, name))*ms)
		}
		w := Impairment{
			Cut: rapid.Bool().Draw(t, "cut"), Loss: share("loss"), Delay: span("delay"), Reorder: share("reorder"),
			HoldTime: span("held"), Duplicate: share("double"), Flip: share("flip"), Truncate: share("shorten"),
			Burst: Burst{Calm: 20 * ms, Bad: 10 * ms, Loss: share("burst")},
		}
		from := rapid.SampledFrom([][]int{nil, {0}, {1, 2}}).Draw(t, "from")
		seed := rapid.Uint64().Draw(t, "seed")
		var datagrams []datagram
		at := time.Duration(0)
		for range rapid.IntRange(1, 60).Draw(t, "n") {
			at += time.Duration(rapid.IntRange(0, 20).Draw(t, "gap")) * ms
			datagrams = append(datagrams, datagram{
				at, rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to"),
				bytes.Repeat([]byte{0x5a}, rapid.IntRange(0, 40).Draw(t, "length")),
			})
		}
		run := func(only int) (out [][]Delivery, c Counts) {
			n := New(seed, 3)
			begin(t, n, Fault{Impairment: w, From: from})
			for _, s := range datagrams {
				if only < 0 || s.from == only {
					out = append(out, n.Transmit(s.at, s.from, s.to, s.data))
				}
			}
			return out, n.Counts()
		}
		first, counts := run(-1)
		again, _ := run(-1)
		require.Equal(t, first, again)
		f := Fault{From: from}
		copies, sent := 0, 0
		var fromOne [][]Delivery
		for i, s := range datagrams {
			if s.from == 1 {
				fromOne = append(fromOne, first[i])
			}
			if !f.appliesTo(s.from, s.to) {
				require.Equal(t, []Delivery{{Data: s.data}}, first[i])
				continue
			}
			sent++
			copies += len(first[i])
			require.LessOrEqual(t, len(first[i]), 2)
			for _, c := range first[i] {
				requireCopy(t, &w, s.data, c)
			}
		}
		alone, _ := run(1)
		require.Equal(t, fromOne, alone)
		require.Equal(t, sent, counts.Sent)
		require.Equal(t, copies, counts.Copies)
		require.Equal(t, sent-counts.Cut-counts.Lost+counts.Duplicated, copies)
		if w.Cut {
			require.Zero(t, copies)
		}
	})
}

func requireCopy(t *rapid.T, w *Impairment, data []byte, c Delivery) {
	low, high := w.Delay.Low, w.Delay.High
	if w.Reorder > 0 {
		high += w.HoldTime.High
	}
	if w.Reorder == 1 {
		low += w.HoldTime.Low
	}
	require.True(t, c.Delay >= low && c.Delay <= high, "%v", c.Delay)
	if w.Truncate == 0 {
		require.Len(t, c.Data, len(data))
	}
	flipped := 0
	for i := range c.Data {
		flipped += bits.OnesCount8(c.Data[i] ^ 0x5a)
	}
	require.LessOrEqual(t, flipped, maxFlips)
	if w.Flip == 0 {
		require.Zero(t, flipped)
	}
	if w.Flip == 1 && len(c.Data) > 0 {
		require.Positive(t, flipped)
	}
	require.Equal(t, bytes.Repeat([]byte{0x5a}, len(data)), data, "the sender's data is unchanged")
}

// Over many datagrams the observed share of each fault is close to the configured one.
func TestObservedSharesMatchFault(t *testing.T) {
	const many = 20_000
	count := func(f Fault) Counts {
		n := New(9, 2)
		begin(t, n, f)
		for i := range many {
			n.Transmit(time.Duration(i)*ms, 0, 1, []byte("book"))
		}
		return n.Counts()
	}
	for name, c := range map[string]struct {
		way  Impairment
		of   func(Counts) int
		want float64
	}{
		"loss":    {Impairment{Loss: 0.3}, func(c Counts) int { return c.Lost }, 0.3},
		"double":  {Impairment{Duplicate: 0.2}, func(c Counts) int { return c.Duplicated }, 0.2},
		"reorder": {Impairment{Reorder: 0.1, HoldTime: delayRange(ms, ms)}, func(c Counts) int { return c.HeldBack }, 0.1},
		"flip":    {Impairment{Flip: 0.4}, func(c Counts) int { return c.Flipped }, 0.4},
		"shorten": {Impairment{Truncate: 0.25}, func(c Counts) int { return c.Truncated }, 0.25},
		"bursts": {
			Impairment{Burst: Burst{Calm: 300 * ms, Bad: 100 * ms, Loss: 0.8}},
			func(c Counts) int { return c.Lost }, 0.25 * 0.8,
		},
	} {
		t.Run(name, func(t *testing.T) {
			require.InDelta(t, c.want, float64(c.of(count(Fault{Impairment: c.way})))/many, 0.03)
		})
	}
}

// Burst losses are correlated: after a loss, the next datagram is lost much more often than the average.
func TestBurstLossesAreCorrelated(t *testing.T) {
	n := New(3, 2)
	begin(t, n, Fault{Impairment: Impairment{Burst: Burst{Calm: 900 * ms, Bad: 100 * ms, Loss: 1}}})
	lost, pairs, before := 0, 0, false
	for i := range 50_000 {
		isLost := len(n.Transmit(time.Duration(i)*10*ms, 0, 1, nil)) == 0
		if isLost {
			lost++
			if before {
				pairs++
			}
		}
		before = isLost
	}
	require.InDelta(t, 0.1, float64(lost)/50_000, 0.02)
	// After 10 ms, exp(-10 ms/90 ms) of the deviation from the mean remains: 0.1 + 0.9 * 0.895.
	require.InDelta(t, 0.905, float64(pairs)/float64(lost), 0.03)
}

// Concurrent faults add up, end separately and apply only to their own direction.
func TestConcurrentFaultsAddUp(t *testing.T) {
	n := New(1, 3)
	delay := func(from, to int) time.Duration {
		c := n.Transmit(0, from, to, []byte("x"))
		if len(c) == 0 {
			return -1
		}
		return c[0].Delay
	}
	a := begin(t, n, Fault{From: []int{0}, To: []int{1}, Impairment: Impairment{Delay: delayRange(ms, ms)}})
	b := begin(t, n, Fault{From: []int{0}, Impairment: Impairment{Delay: delayRange(5*ms, 5*ms)}})
	c := begin(t, n, Fault{To: []int{2}, Impairment: Impairment{Cut: true}})
	require.Equal(t, []time.Duration{6 * ms, 0, -1, -1}, []time.Duration{delay(0, 1), delay(1, 0), delay(0, 2), delay(1, 2)})
	n.End(a)
	n.End(c)
	require.Equal(t, []time.Duration{5 * ms, 5 * ms, 0}, []time.Duration{delay(0, 1), delay(0, 2), delay(1, 2)})
	n.End(b)
	require.Zero(t, delay(0, 1))
	require.Empty(t, n.states)
}

// Directions draw independently, and so does a second fault after the first has ended.
func TestDirectionsAndGenerationsAreIndependent(t *testing.T) {
	n := New(1, 3)
	seen := map[[64]bool]bool{}
	for range 2 {
		id := begin(t, n, Fault{Impairment: Impairment{Loss: 0.5}})
		for _, way := range [][2]int{{0, 1}, {1, 0}, {0, 2}, {2, 1}} {
			var lost [64]bool
			for i := range lost {
				lost[i] = len(n.Transmit(0, way[0], way[1], nil)) == 0
			}
			seen[lost] = true
		}
		n.End(id)
	}
	require.Len(t, seen, 8)
}

func TestCheckRejectsOutOfRangeFaults(t *testing.T) {
	n := New(1, 2)
	for want, f := range map[string]Fault{
		"loss is 1.5":     {Impairment: Impairment{Loss: 1.5}},
		"flip is -1":      {Impairment: Impairment{Flip: -1}},
		"a delay from 2":  {Impairment: Impairment{Delay: delayRange(2*ms, ms)}},
		"allowed: 0 to":   {Impairment: Impairment{HoldTime: delayRange(0, time.Hour)}},
		"no agent 2 of 2": {To: []int{2}},
		"bursts need":     {Impairment: Impairment{Burst: Burst{Loss: 0.5, Bad: ms}}},
	} {
		_, err := n.Begin(f)
		require.ErrorContains(t, err, want)
	}
	require.Equal(t, []Delivery{{Data: []byte("x")}}, n.Transmit(0, 0, 1, []byte("x")))
}

func BenchmarkTransmit(b *testing.B) {
	n := New(1, 50)
	begin(b, n, Fault{Impairment: Impairment{
		Loss: 0.1, Duplicate: 0.1, Reorder: 0.1, Delay: delayRange(ms, 30*ms), Flip: 0.01,
		Burst: Burst{Calm: time.Second, Bad: 100 * ms, Loss: 0.9},
	}})
	data := make([]byte, 256)
	for i := 0; b.Loop(); i++ {
		n.Transmit(time.Duration(i)*ms, i%50, (i+7)%50, data)
	}
}
