package simnet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sender records what it receives, and sends one datagram to agent 1 each second.
type sender struct {
	received []time.Duration
	next     time.Time
	out      []Datagram
}

var start = time.Unix(1_800_000_000, 0)

func (s *sender) Receive(now time.Time, _ uint32, d []byte) {
	s.received = append(s.received, now.Sub(start))
}
func (s *sender) Next() time.Time { return s.next }
func (s *sender) Wake(now time.Time) {
	s.next = now.Add(time.Second)
	s.out = append(s.out, Datagram{1, []byte{1, 2}})
}

func (s *sender) Out(time.Time) []Datagram {
	out := s.out
	s.out = nil
	return out
}

// simulate runs two senders for 10.5 s, and returns when agent 1 received a datagram.
func simulate(seed uint64, inject func(c *Cluster)) []time.Duration {
	processes := map[uint32]*sender{}
	c := NewCluster(seed, start, 2, func(a uint32, now time.Time) Process {
		processes[a] = &sender{}
		if a == 0 {
			processes[a].next = now
		}
		return processes[a]
	})
	c.Start(0)
	c.Start(1)
	inject(c)
	c.Run(start.Add(10500 * time.Millisecond))
	return processes[1].received
}

// TestClusterAppliesFaultsAndFollowsSeed checks the faults of links and processes, and that a run follows its seed.
func TestClusterAppliesFaultsAndFollowsSeed(t *testing.T) {
	at := func(s float64) time.Time { return start.Add(time.Duration(s * float64(time.Second))) }
	complete := simulate(1, func(c *Cluster) { c.Link(0, 1).Delay = time.Millisecond })
	require.Len(t, complete, 11)
	require.Equal(t, time.Second+time.Millisecond, complete[1])

	for name, test := range map[string]struct {
		inject   func(c *Cluster)
		received int
	}{
		"cut":             {func(c *Cluster) { c.Link(0, 1).Cut = true }, 0},
		"other direction": {func(c *Cluster) { c.Link(1, 0).Cut = true }, 11},
		"killed":          {func(c *Cluster) { c.At(at(4.5), func() { c.Kill(0) }) }, 5},
		"receiver paused": {func(c *Cluster) {
			c.At(at(2.5), func() { c.Pause(1) })
			c.At(at(8.5), func() { c.Resume(1) })
		}, 11},
		"sender paused": {func(c *Cluster) {
			c.At(at(2.5), func() { c.Pause(0) })
			c.At(at(8.5), func() { c.Resume(0) })
		}, 6},
		"restarted": {func(c *Cluster) {
			c.At(at(4.5), func() { c.Kill(0) })
			c.At(at(4.7), func() { c.Start(0) })
		}, 11},
		"receiver restarted": {func(c *Cluster) {
			c.At(at(4.5), func() { c.Kill(1); c.Start(1) })
		}, 6},
	} {
		require.Len(t, simulate(1, test.inject), test.received, name)
	}
	runLossy := func(seed uint64) []time.Duration {
		return simulate(seed, func(c *Cluster) { *c.Link(0, 1) = Link{Loss: 0.4, Duplicate: 0.4, Jitter: time.Second} })
	}
	first, again := runLossy(7), runLossy(7)
	require.Equal(t, first, again)
	require.NotEqual(t, runLossy(7), runLossy(8))
}
