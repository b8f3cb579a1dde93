// Package lossy is a small world in virtual time for what agents say to each other: datagrams that are lost,
// late, doubled and out of order, ways that are cut in one direction, nodes that stand still, and clocks that
// are off, step and drift. The same seed and calls give the same course. It is for trying protocols that do
// no input or output themselves; their tests and the fleet's hunts use it.
package lossy

import (
	"math/rand/v2"
	"time"

	"dunestep/internal/agenda"
)

// Faults are those of every way.
type Faults struct {
	Loss, Double float64       // shares of messages
	Least, Most  time.Duration // on the way; a message's time is drawn evenly between them
	Late         float64       // the share that takes up to LateBy longer
	LateBy       time.Duration
}

// World has nodes 0 to n-1, and a true time that none of them can read.
type World struct {
	Faults Faults
	// Deliver is called with each message that arrives, Tick as a node's timer ends, both when the node runs.
	Deliver func(to, from int, data []byte)
	Tick    func(node int)
	// Sent counts messages, Bytes their data, by sender.
	Sent, Bytes []int

	rng    *rand.Rand
	now    time.Duration
	queue  agenda.Agenda[event]
	order  uint64
	cut    []bool          // by from and to
	paused []time.Duration // until when
	timers []uint64        // the order of the event that is the node's present timer
	clocks []clock
}

// clock is a node's: both readings are told by how they differ from the true time.
type clock struct {
	offset     time.Duration // of the Unix time
	rate       float64       // of the steady one
	mono, from time.Duration // its reading at a true time
}

type event struct {
	node int // that has to run for it; below zero: none
	do   func()
}

// New returns a world that begins at a true time.
func New(seed uint64, nodes int, begin time.Duration, faults Faults) *World {
	w := &World{
		Faults: faults,
		rng:    rand.New(rand.NewPCG(seed, 0x10557)), now: begin, cut: make([]bool, nodes*nodes),
		Sent: make([]int, nodes), Bytes: make([]int, nodes), paused: make([]time.Duration, nodes),
		timers: make([]uint64, nodes), clocks: make([]clock, nodes),
	}
	for i := range w.clocks {
		w.clocks[i] = clock{rate: 1, from: begin}
	}
	return w
}

// Rand is the world's chance, for scripts of faults.
func (w *World) Rand() *rand.Rand { return w.rng }

// Now is the true time.
func (w *World) Now() time.Duration { return w.now }

// At has something done at a true time, whatever nodes do.
func (w *World) At(at time.Duration, do func()) { w.add(at, -1, do) }

func (w *World) add(at time.Duration, node int, do func()) {
	w.order++
	w.queue.Add(agenda.Item[event]{At: max(at, w.now), Order: w.order, Do: event{node, do}})
}

// Send puts a message on its way.
func (w *World) Send(from, to int, data []byte) {
	w.Sent[from]++
	w.Bytes[from] += len(data)
	for copies := 0; copies == 0 || copies == 1 && w.rng.Float64() < w.Faults.Double; copies++ {
		if w.IsCut(from, to) || w.rng.Float64() < w.Faults.Loss {
			continue
		}
		delay := w.Faults.Least + w.upTo(w.Faults.Most-w.Faults.Least)
		if w.rng.Float64() < w.Faults.Late {
			delay += w.upTo(w.Faults.LateBy)
		}
		w.add(w.now+delay, to, func() { w.Deliver(to, from, data) })
	}
}

func (w *World) upTo(most time.Duration) time.Duration {
	if most <= 0 {
		return 0
	}
	return time.Duration(w.rng.Int64N(int64(most)))
}

// Cut closes or opens the way from one node to another; the way back is another one.
func (w *World) Cut(from, to int, closed bool) { w.cut[from*len(w.clocks)+to] = closed }

// IsCut tells whether the way from one node to another is closed.
func (w *World) IsCut(from, to int) bool { return w.cut[from*len(w.clocks)+to] }

// Pause has a node stand still until a true time. What would have been done before comes right after.
func (w *World) Pause(node int, until time.Duration) { w.paused[node] = max(w.paused[node], until) }

// Paused tells whether a node stands still.
func (w *World) Paused(node int) bool { return w.paused[node] > w.now }

// Wake sets a node's timer to a time of its steady clock, in place of the former.
func (w *World) Wake(node int, mono time.Duration) {
	c := w.clocks[node]
	at := c.from + time.Duration(float64(mono-c.mono)/c.rate) + 1
	order := w.order + 1
	w.timers[node] = order
	w.add(at, node, func() {
		if w.timers[node] == order {
			w.Tick(node)
		}
	})
}

// Unix and Mono read a node's clocks: the one that can be set, and the one that runs on steadily.
func (w *World) Unix(node int) time.Duration { return w.now + w.clocks[node].offset }

// Mono is the steady clock, which begins at zero and runs while the node stands still.
func (w *World) Mono(node int) time.Duration {
	c := w.clocks[node]
	return c.mono + time.Duration(float64(w.now-c.from)*c.rate)
}

// SetClock sets how far a node's Unix time is off from now on, and how fast its steady clock runs.
func (w *World) SetClock(node int, offset time.Duration, rate float64) {
	w.clocks[node] = clock{offset: offset, rate: rate, mono: w.Mono(node), from: w.now}
}

// Run plays until a true time.
func (w *World) Run(until time.Duration) {
	for e, ok := w.queue.Next(until); ok; e, ok = w.queue.Next(until) {
		w.now = e.At
		if e.Do.node >= 0 && w.Paused(e.Do.node) {
			e.At = w.paused[e.Do.node]
			w.queue.Add(e)
			continue
		}
		e.Do.do()
	}
	w.now = max(w.now, until)
}
