package simnet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// echoer counts what comes, and sends one datagram to agent 1 each second.
type echoer struct {
	got  []time.Duration
	next time.Time
	out  []Datagram
}

var start = time.Unix(1_800_000_000, 0)

func (e *echoer) Receive(now time.Time, _ uint32, d []byte) { e.got = append(e.got, now.Sub(start)) }
func (e *echoer) Next() time.Time                           { return e.next }
func (e *echoer) Wake(now time.Time) {
	e.next = now.Add(time.Second)
	e.out = append(e.out, Datagram{1, []byte{1, 2}})
}

func (e *echoer) Out(time.Time) []Datagram {
	out := e.out
	e.out = nil
	return out
}

func play(seed uint64, faults func(w *Cluster)) []time.Duration {
	lives := map[uint32]*echoer{}
	w := NewCluster(seed, start, 2, func(a uint32, now time.Time) Process {
		lives[a] = &echoer{}
		if a == 0 {
			lives[a].next = now
		}
		return lives[a]
	})
	w.Start(0)
	w.Start(1)
	faults(w)
	w.Run(start.Add(10500 * time.Millisecond))
	return lives[1].got
}

func TestWorld(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	whole := play(1, func(w *Cluster) { w.Link(0, 1).Delay = time.Millisecond })
	require.Len(t, whole, 11)
	require.Equal(t, time.Second+time.Millisecond, whole[1])

	for name, c := range map[string]struct {
		faults func(w *Cluster)
		came   int
	}{
		"cut":       {func(w *Cluster) { w.Link(0, 1).Cut = true }, 0},
		"other way": {func(w *Cluster) { w.Link(1, 0).Cut = true }, 11},
		"killed":    {func(w *Cluster) { w.At(at(4.5), func() { w.Kill(0) }) }, 5},
		"receiver paused": {func(w *Cluster) {
			w.At(at(2.5), func() { w.Pause(1) })
			w.At(at(8.5), func() { w.Resume(1) })
		}, 11},
		"sender paused": {func(w *Cluster) {
			w.At(at(2.5), func() { w.Pause(0) })
			w.At(at(8.5), func() { w.Resume(0) })
		}, 6},
		"restarted": {func(w *Cluster) {
			w.At(at(4.5), func() { w.Kill(0) })
			w.At(at(4.7), func() { w.Start(0) })
		}, 11},
		"receiver restarted": {func(w *Cluster) {
			w.At(at(4.5), func() { w.Kill(1); w.Start(1) })
		}, 6},
	} {
		require.Len(t, play(1, c.faults), c.came, name)
	}
	lossy := func(seed uint64) []time.Duration {
		return play(seed, func(w *Cluster) { *w.Link(0, 1) = Link{Loss: 0.4, Duplicate: 0.4, Jitter: time.Second} })
	}
	require.Equal(t, lossy(7), lossy(7))
	require.NotEqual(t, lossy(7), lossy(8))
}
