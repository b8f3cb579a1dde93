// Package simnet plays processes of agents in virtual time, with a network between each pair that fails on
// purpose, one direction at a time, and processes that are paused, killed and started again.
//
// A process is anything that has Process's four methods: a voter with its pieces, or a whole agent. The arena
// has one clock, from which each agent's may be off; nothing in it depends on the machine. The same seed and
// calls give the same run.
package simnet

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/eventqueue"
)

// Datagram is one to be sent.
type Datagram struct {
	To    uint32
	Bytes []byte
}

// Process is an agent's. Times are by the agent's own clock.
type Process interface {
	// Receive takes a datagram.
	Receive(now time.Time, from uint32, datagram []byte)
	// Wake is called when Next is due.
	Wake(now time.Time)
	// Next is when Wake is due; the zero time is never.
	Next() time.Time
	// Out returns what is to be sent, and empties it. It is called after each of the others.
	Out(now time.Time) []Datagram
}

// Link is one direction between two agents.
type Link struct {
	Loss, Duplicate, Corrupt float64 // parts of all datagrams, from 0 to 1
	Delay, Jitter            time.Duration
	Late                     float64       // the part that comes later by up to Lateness
	Lateness                 time.Duration // so that it is overtaken by others
	Cut                      bool
}

// Traffic is what went over the network since the start.
type Traffic struct{ Datagrams, Bytes uint64 }

func (c *Traffic) add(d Datagram) {
	c.Datagrams++
	c.Bytes += uint64(len(d.Bytes))
}

// maxBuffered is how many datagrams wait at a process that is paused; more are lost, as at a socket.
const maxBuffered = 256

// Cluster is an arena.
type Cluster struct {
	// AfterStep is called after each step of a process, for checks.
	AfterStep func(agent uint32)

	rng         *rand.Rand
	begin       time.Time
	now         time.Time
	start       func(agent uint32, now time.Time) Process
	agents      []agent
	defaultLink Link                      // of all directions, as long as none is another one
	links       []Link                    // nil: all are usual
	events      eventqueue.Agenda[func()] // by the time since the beginning
	serial      uint64
	traffic     Traffic
}

type agent struct {
	process     Process // nil: killed
	incarnation uint64
	clockOffset time.Duration
	paused      bool
	buffer      []func()
	wakeAt      time.Time // by the agent's clock, as it is in events
	sent        Traffic
	received    Traffic
}

// NewCluster returns an arena of so many agents, none of which is started. Start makes an agent's process.
func NewCluster(seed uint64, now time.Time, agents int, start func(agent uint32, now time.Time) Process) *Cluster {
	return &Cluster{
		rng: rand.New(rand.NewPCG(seed, 0xa7e4a)), begin: now, now: now, start: start,
		agents: make([]agent, agents),
	}
}

// Now is the arena's time.
func (w *Cluster) Now() time.Time { return w.now }

// Traffic returns what was sent so far.
func (w *Cluster) Traffic() Traffic { return w.traffic }

// TrafficOf returns what an agent has sent and what was sent to it, lost or not, over all its processes.
func (w *Cluster) TrafficOf(a uint32) (sent, heard Traffic) {
	return w.agents[a].sent, w.agents[a].received
}

// Random is the arena's source, for scripts of faults that are to be the same for the same seed.
func (w *Cluster) Random() *rand.Rand { return w.rng }

// Link returns a direction, to be changed. From then on each direction has a place of its own, of some 70
// bytes: thousands of agents are played with ChangeAll alone.
func (w *Cluster) Link(from, to uint32) *Link {
	if w.links == nil {
		w.links = slices.Repeat([]Link{w.defaultLink}, len(w.agents)*len(w.agents))
	}
	return &w.links[int(from)*len(w.agents)+int(to)]
}

// ChangeAll changes all directions alike, whichever they are.
func (w *Cluster) ChangeAll(change func(l *Link)) {
	change(&w.defaultLink)
	for i := range w.links {
		change(&w.links[i])
	}
}

func (w *Cluster) link(from, to uint32) Link {
	if w.links == nil {
		return w.defaultLink
	}
	return *w.Link(from, to)
}

// ChangeEach changes all directions, each by its ends.
func (w *Cluster) ChangeEach(change func(from, to uint32, l *Link)) {
	for from := range w.agents {
		for to := range w.agents {
			change(uint32(from), uint32(to), w.Link(uint32(from), uint32(to)))
		}
	}
}

// SetClock sets by how much an agent's clock is ahead of the arena's.
func (w *Cluster) SetClock(a uint32, ahead time.Duration) { w.agents[a].clockOffset = ahead }

// ClockOffset is by how much it is.
func (w *Cluster) ClockOffset(a uint32) time.Duration { return w.agents[a].clockOffset }

// IsRunning says whether an agent has a process, paused or not.
func (w *Cluster) IsRunning(a uint32) bool { return w.agents[a].process != nil }

// IsPaused says whether it is paused.
func (w *Cluster) IsPaused(a uint32) bool { return w.agents[a].paused }

// Start starts an agent's process, if there is none.
func (w *Cluster) Start(a uint32) {
	if g := &w.agents[a]; g.process == nil {
		g.incarnation++
		g.process, g.wakeAt = w.start(a, w.now.Add(g.clockOffset)), time.Time{}
		w.settle(a)
	}
}

// Kill ends it, at once. What was in its buffer is lost.
func (w *Cluster) Kill(a uint32) {
	g := &w.agents[a]
	g.process, g.paused, g.buffer = nil, false, nil
	g.incarnation++
}

// Pause stops it; what comes waits in its buffer.
func (w *Cluster) Pause(a uint32) { w.agents[a].paused = w.agents[a].process != nil }

// Resume lets it go on, with what came meanwhile.
func (w *Cluster) Resume(a uint32) {
	g := &w.agents[a]
	g.paused = false
	buffer := g.buffer
	g.buffer = nil
	for _, do := range buffer {
		do()
	}
}

// At has something done at a time, or now if that is past.
func (w *Cluster) At(at time.Time, do func()) {
	w.serial++
	w.events.Add(eventqueue.Item[func()]{At: at.Sub(w.begin), Order: w.serial, Do: do})
}

// Call calls a process from outside (as a client does), unless it is killed or paused, and says whether it did.
func (w *Cluster) Call(a uint32, do func(p Process, now time.Time)) bool {
	g := &w.agents[a]
	if g.process == nil || g.paused {
		return false
	}
	do(g.process, w.now.Add(g.clockOffset))
	w.settle(a)
	return true
}

// Run plays until a time.
func (w *Cluster) Run(until time.Time) {
	by := until.Sub(w.begin)
	for e, ok := w.events.Next(by); ok; e, ok = w.events.Next(by) {
		if at := w.begin.Add(e.At); at.After(w.now) {
			w.now = at
		}
		e.Do()
	}
	if until.After(w.now) {
		w.now = until
	}
}

// settle takes what a process has to send, and notes when it is to be woken.
func (w *Cluster) settle(a uint32) {
	g := &w.agents[a]
	now := w.now.Add(g.clockOffset)
	for _, d := range g.process.Out(now) {
		w.send(a, d)
	}
	if next := g.process.Next(); !next.IsZero() && !next.Equal(g.wakeAt) {
		g.wakeAt = next
		life := g.incarnation
		w.At(next.Add(-g.clockOffset), func() { w.wake(a, life, next) })
	}
	if w.AfterStep != nil {
		w.AfterStep(a)
	}
}

func (w *Cluster) wake(a uint32, life uint64, at time.Time) {
	w.deliver(a, life, func() {
		g := &w.agents[a]
		if !g.wakeAt.Equal(at) {
			return // another time was asked for since
		}
		g.wakeAt = time.Time{}
		g.process.Wake(w.now.Add(g.clockOffset))
		w.settle(a)
	})
}

// deliver does something to a process, or has it wait while that is paused.
func (w *Cluster) deliver(a uint32, life uint64, do func()) {
	switch g := &w.agents[a]; {
	case g.process == nil || life != 0 && g.incarnation != life:
	case !g.paused:
		do()
	case len(g.buffer) < maxBuffered || life != 0:
		g.buffer = append(g.buffer, func() { w.deliver(a, life, do) })
	}
}

func (w *Cluster) send(from uint32, d Datagram) {
	w.traffic.add(d)
	w.agents[from].sent.add(d)
	if int(d.To) >= len(w.agents) {
		return
	}
	w.agents[d.To].received.add(d)
	l := w.link(from, d.To)
	for again := true; again; again = w.rng.Float64() < l.Duplicate {
		if l.Cut || w.rng.Float64() < l.Loss {
			continue
		}
		at := w.now.Add(l.Delay)
		if l.Jitter > 0 {
			at = at.Add(time.Duration(w.rng.Int64N(int64(l.Jitter))))
		}
		if w.rng.Float64() < l.Late && l.Lateness > 0 {
			at = at.Add(time.Duration(w.rng.Int64N(int64(l.Lateness))))
		}
		b := append([]byte(nil), d.Bytes...)
		if w.rng.Float64() < l.Corrupt {
			b[w.rng.IntN(len(b))] ^= byte(1 + w.rng.IntN(255))
		}
		w.At(at, func() { w.arrive(from, d.To, b) })
	}
}

func (w *Cluster) arrive(from, to uint32, b []byte) {
	w.deliver(to, 0, func() {
		g := &w.agents[to]
		g.process.Receive(w.now.Add(g.clockOffset), from, b)
		w.settle(to)
	})
}
