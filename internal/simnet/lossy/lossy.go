// Package lossy is a small world in virtual time for what agents say to each other: datagrams that are lost,
// late, doubled and out of order, ways that are cut in one direction, nodes that stand still, and clocks that
// are off, step and drift. The same seed and calls give the same course. It is for trying protocols that do
// no input or output themselves; their tests and the fleet's hunts use it.
package lossy

import (
	"math/rand/v2"
	"time"

	"dunestep/internal/eventqueue"
)

// Faults are those of every way.
type Faults struct {
	Loss, Duplicate    float64       // shares of messages
	MinDelay, MaxDelay time.Duration // on the way; a message's time is drawn evenly between them
	Late               float64       // the share that takes up to Lateness longer
	Lateness           time.Duration
}

// Network has nodes 0 to n-1, and a true time that none of them can read.
type Network struct {
	Faults Faults
	// OnMessage is called with each message that arrives, OnTimer as a node's timer ends, both when the node runs.
	OnMessage func(to, from int, data []byte)
	OnTimer   func(node int)
	// SentMessages counts messages, SentBytes their data, by sender.
	SentMessages, SentBytes []int

	rng       *rand.Rand
	now       time.Duration
	queue     eventqueue.Agenda[event]
	lastOrder uint64
	cut       []bool          // by from and to
	paused    []time.Duration // until when
	timers    []uint64        // the order of the event that is the node's present timer
	clocks    []clock
}

// clock is a node's: both readings are told by how they differ from the true time.
type clock struct {
	offset     time.Duration // of the UnixTime time
	rate       float64       // of the steady one
	mono, from time.Duration // its reading at a true time
}

type event struct {
	node int // that has to run for it; below zero: none
	do   func()
}

// NewNetwork returns a world that begins at a true time.
func NewNetwork(seed uint64, nodes int, begin time.Duration, faults Faults) *Network {
	w := &Network{
		Faults: faults,
		rng:    rand.New(rand.NewPCG(seed, 0x10557)), now: begin, cut: make([]bool, nodes*nodes),
		SentMessages: make([]int, nodes), SentBytes: make([]int, nodes), paused: make([]time.Duration, nodes),
		timers: make([]uint64, nodes), clocks: make([]clock, nodes),
	}
	for i := range w.clocks {
		w.clocks[i] = clock{rate: 1, from: begin}
	}
	return w
}

// Rand is the world's chance, for scripts of faults.
func (w *Network) Rand() *rand.Rand { return w.rng }

// Now is the true time.
func (w *Network) Now() time.Duration { return w.now }

// At has something done at a true time, whatever nodes do.
func (w *Network) At(at time.Duration, do func()) { w.add(at, -1, do) }

func (w *Network) add(at time.Duration, node int, do func()) {
	w.lastOrder++
	w.queue.Add(eventqueue.Item[event]{At: max(at, w.now), Order: w.lastOrder, Do: event{node, do}})
}

// Send puts a message on its way.
func (w *Network) Send(from, to int, data []byte) {
	w.SentMessages[from]++
	w.SentBytes[from] += len(data)
	for copies := 0; copies == 0 || copies == 1 && w.rng.Float64() < w.Faults.Duplicate; copies++ {
		if w.IsCut(from, to) || w.rng.Float64() < w.Faults.Loss {
			continue
		}
		delay := w.Faults.MinDelay + w.randomUpTo(w.Faults.MaxDelay-w.Faults.MinDelay)
		if w.rng.Float64() < w.Faults.Late {
			delay += w.randomUpTo(w.Faults.Lateness)
		}
		w.add(w.now+delay, to, func() { w.OnMessage(to, from, data) })
	}
}

func (w *Network) randomUpTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(most)))
}

// SetCut closes or opens the way from one node to another; the way back is another one.
func (w *Network) SetCut(from, to int, closed bool) { w.cut[from*len(w.clocks)+to] = closed }

// IsCut tells whether the way from one node to another is closed.
func (w *Network) IsCut(from, to int) bool { return w.cut[from*len(w.clocks)+to] }

// Pause has a node stand still until a true time. What would have been done before comes right after.
func (w *Network) Pause(node int, until time.Duration) { w.paused[node] = max(w.paused[node], until) }

// IsPaused tells whether a node stands still.
func (w *Network) IsPaused(node int) bool { return w.paused[node] > w.now }

// SetTimer sets a node's timer to a time of its steady clock, in place of the former.
func (w *Network) SetTimer(node int, mono time.Duration) {
	c := w.clocks[node]
	at := c.from + time.Duration(float64(mono-c.mono)/c.rate) + 1
	order := w.lastOrder + 1
	w.timers[node] = order
	w.add(at, node, func() {
		if w.timers[node] == order {
			w.OnTimer(node)
		}
	})
}

// UnixTime and SteadyTime read a node's clocks: the one that can be set, and the one that runs on steadily.
func (w *Network) UnixTime(node int) time.Duration { return w.now + w.clocks[node].offset }

// SteadyTime is the steady clock, which begins at zero and runs while the node stands still.
func (w *Network) SteadyTime(node int) time.Duration {
	c := w.clocks[node]
	return c.mono + time.Duration(float64(w.now-c.from)*c.rate)
}

// SetClock sets how far a node's UnixTime time is off from now on, and how fast its steady clock runs.
func (w *Network) SetClock(node int, offset time.Duration, rate float64) {
	w.clocks[node] = clock{offset: offset, rate: rate, mono: w.SteadyTime(node), from: w.now}
}

// Run plays until a true time.
func (w *Network) Run(until time.Duration) {
	for e, ok := w.queue.Next(until); ok; e, ok = w.queue.Next(until) {
		w.now = e.At
		if e.Do.node >= 0 && w.IsPaused(e.Do.node) {
			e.At = w.paused[e.Do.node]
			w.queue.Add(e)
			continue
		}
		e.Do.do()
	}
	w.now = max(w.now, until)
}
