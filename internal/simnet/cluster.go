package simnet

import (
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/eventqueue"
)

// Datagram is a datagram to be sent.
type Datagram struct {
	To    uint32 // the agent
	Bytes []byte
}

// Process is the process of an agent. Times are by the agent's own clock.
type Process interface {
	// Receive processes a datagram.
	Receive(now time.Time, from uint32, datagram []byte)
	// Wake is called when Next is due.
	Wake(now time.Time)
	// Next returns when Wake is due; the zero time: never.
	Next() time.Time
	// Out returns the datagrams to send since its last call. It is called after the start and each input.
	Out(now time.Time) []Datagram
}

// Link is one direction between two agents.
type Link struct {
	Loss, Duplicate, Corrupt float64 // fractions of all datagrams, from 0 to 1
	Delay, Jitter            time.Duration
	Late                     float64       // fraction of the datagrams that are delayed by up to Lateness more
	Lateness                 time.Duration // maximum additional delay, with which later datagrams overtake
	Cut                      bool
}

// Traffic counts sent datagrams and their bytes.
type Traffic struct{ Datagrams, Bytes uint64 }

func (t *Traffic) add(d Datagram) {
	t.Datagrams++
	t.Bytes += uint64(len(d.Bytes))
}

// maxBuffered is the number of buffered calls of a paused process at which further datagrams are lost, as in
// a full socket buffer.
const maxBuffered = 256

// clusterStream selects the stream of a cluster's random numbers for a seed.
const clusterStream = 0xa7e4a

// Cluster is a number of agents and the links between them.
type Cluster struct {
	// AfterStep is called after each step of a process, for checks; nil: not used.
	AfterStep func(agent uint32)

	rng         *rand.Rand
	begin       time.Time
	now         time.Time
	start       func(agent uint32, now time.Time) Process
	agents      []agent
	defaultLink Link                     // Link of all directions while links is nil
	links       []Link                   // by the sender and the receiver; nil: all are the default link
	events      eventqueue.Queue[func()] // by the time since begin
	serial      uint64                   // order of the last event
	traffic     Traffic
}

type agent struct {
	process        Process // nil: not running
	incarnation    uint64
	clockOffset    time.Duration
	isPaused       bool
	buffer         []func()  // buffered calls of a paused process
	wakeAt         time.Time // scheduled time of Wake, by the agent's clock; the zero time: none
	sent, received Traffic
}

// NewCluster returns a cluster of agents, none of which is running. start creates an agent's process.
func NewCluster(
	seed uint64, now time.Time, agents int, start func(agent uint32, now time.Time) Process,
) *Cluster {
	return &Cluster{
		rng: rand.New(rand.NewPCG(seed, clusterStream)), begin: now, now: now, start: start,
		agents: make([]agent, agents),
	}
}

// Now returns the cluster's time.
func (c *Cluster) Now() time.Time { return c.now }

// Traffic returns the traffic of all agents since the start, including lost datagrams.
func (c *Cluster) Traffic() Traffic { return c.traffic }

// TrafficOf returns the traffic that an agent has sent and the traffic that was sent to it, including lost
// datagrams, over all its processes.
func (c *Cluster) TrafficOf(a uint32) (sent, received Traffic) {
	return c.agents[a].sent, c.agents[a].received
}

// Random returns the cluster's random source, for scripts of faults that follow the seed.
func (c *Cluster) Random() *rand.Rand { return c.rng }

// Link returns the Link of a direction, which the caller may change. From the first call on, each direction
// has a Link of its own, of some 70 bytes; clusters of thousands of agents should use only ChangeAll.
func (c *Cluster) Link(from, to uint32) *Link {
	if c.links == nil {
		c.links = slices.Repeat([]Link{c.defaultLink}, len(c.agents)*len(c.agents))
	}
	return &c.links[int(from)*len(c.agents)+int(to)]
}

// ChangeAll applies the same change to all directions.
func (c *Cluster) ChangeAll(change func(l *Link)) {
	change(&c.defaultLink)
	for i := range c.links {
		change(&c.links[i])
	}
}

// ChangeEach calls change for each direction, with its sending and receiving agent.
func (c *Cluster) ChangeEach(change func(from, to uint32, l *Link)) {
	for from := range c.agents {
		for to := range c.agents {
			change(uint32(from), uint32(to), c.Link(uint32(from), uint32(to)))
		}
	}
}

func (c *Cluster) link(from, to uint32) Link {
	if c.links == nil {
		return c.defaultLink
	}
	return *c.Link(from, to)
}

// SetClock sets the offset by which an agent's clock is ahead of the cluster's.
func (c *Cluster) SetClock(a uint32, offset time.Duration) { c.agents[a].clockOffset = offset }

// ClockOffset returns the offset by which an agent's clock is ahead of the cluster's.
func (c *Cluster) ClockOffset(a uint32) time.Duration { return c.agents[a].clockOffset }

// IsRunning reports whether an agent has a process, paused or not.
func (c *Cluster) IsRunning(a uint32) bool { return c.agents[a].process != nil }

// IsPaused reports whether an agent's process is paused.
func (c *Cluster) IsPaused(a uint32) bool { return c.agents[a].isPaused }

// Start starts an agent's process if there is none.
func (c *Cluster) Start(a uint32) {
	if g := &c.agents[a]; g.process == nil {
		g.incarnation++
		g.process, g.wakeAt = c.start(a, c.now.Add(g.clockOffset)), time.Time{}
		c.settle(a)
	}
}

// Kill ends an agent's process at once. Its buffered calls are lost.
func (c *Cluster) Kill(a uint32) {
	g := &c.agents[a]
	g.process, g.isPaused, g.buffer = nil, false, nil
	g.incarnation++
}

// Pause pauses an agent's process; calls of Receive and Wake are buffered meanwhile.
func (c *Cluster) Pause(a uint32) { c.agents[a].isPaused = c.agents[a].process != nil }

// Resume continues an agent's process, and first makes its buffered calls.
func (c *Cluster) Resume(a uint32) {
	g := &c.agents[a]
	g.isPaused = false
	buffer := g.buffer
	g.buffer = nil
	for _, do := range buffer {
		do()
	}
}

// At schedules a call of do at a time, or now if that is past.
func (c *Cluster) At(at time.Time, do func()) {
	c.serial++
	c.events.Add(eventqueue.Item[func()]{DueAt: at.Sub(c.begin), Order: c.serial, Event: do})
}

// Call calls a process from outside, as a client does, unless it is not running or paused, and reports
// whether it did.
func (c *Cluster) Call(a uint32, do func(p Process, now time.Time)) bool {
	g := &c.agents[a]
	if g.process == nil || g.isPaused {
		return false
	}
	do(g.process, c.now.Add(g.clockOffset))
	c.settle(a)
	return true
}

// Run runs the cluster until a time.
func (c *Cluster) Run(until time.Time) {
	end := until.Sub(c.begin)
	for e, hasNext := c.events.Next(end); hasNext; e, hasNext = c.events.Next(end) {
		if at := c.begin.Add(e.DueAt); at.After(c.now) {
			c.now = at
		}
		e.Event()
	}
	if until.After(c.now) {
		c.now = until
	}
}

// settle sends the datagrams of a process, and schedules its next Wake.
func (c *Cluster) settle(a uint32) {
	g := &c.agents[a]
	for _, d := range g.process.Out(c.now.Add(g.clockOffset)) {
		c.send(a, d)
	}
	if next := g.process.Next(); !next.IsZero() && !next.Equal(g.wakeAt) {
		g.wakeAt = next
		incarnation := g.incarnation
		c.At(next.Add(-g.clockOffset), func() { c.wake(a, incarnation, next) })
	}
	if c.AfterStep != nil {
		c.AfterStep(a)
	}
}

func (c *Cluster) wake(a uint32, incarnation uint64, at time.Time) {
	c.deliver(a, incarnation, func() {
		g := &c.agents[a]
		if !g.wakeAt.Equal(at) {
			return // another time was set since
		}
		g.wakeAt = time.Time{}
		g.process.Wake(c.now.Add(g.clockOffset))
		c.settle(a)
	})
}

// anyIncarnation matches whichever process an agent has.
const anyIncarnation = 0

// deliver calls do if the agent's process has this incarnation, and buffers the call while the process is
// paused. Datagrams, which are for any incarnation, are lost if the buffer is full.
func (c *Cluster) deliver(a uint32, incarnation uint64, do func()) {
	switch g := &c.agents[a]; {
	case g.process == nil || incarnation != anyIncarnation && g.incarnation != incarnation:
	case !g.isPaused:
		do()
	case len(g.buffer) < maxBuffered || incarnation != anyIncarnation:
		g.buffer = append(g.buffer, func() { c.deliver(a, incarnation, do) })
	}
}

func (c *Cluster) send(from uint32, d Datagram) {
	c.traffic.add(d)
	c.agents[from].sent.add(d)
	if int(d.To) >= len(c.agents) {
		return
	}
	c.agents[d.To].received.add(d)
	l := c.link(from, d.To)
	for again := true; again; again = c.rng.Float64() < l.Duplicate {
		if l.Cut || c.rng.Float64() < l.Loss {
			continue
		}
		at := c.now.Add(l.Delay)
		if l.Jitter > 0 {
			at = at.Add(time.Duration(c.rng.Int64N(int64(l.Jitter))))
		}
		if c.rng.Float64() < l.Late && l.Lateness > 0 {
			at = at.Add(time.Duration(c.rng.Int64N(int64(l.Lateness))))
		}
		b := append([]byte(nil), d.Bytes...)
		if c.rng.Float64() < l.Corrupt {
			b[c.rng.IntN(len(b))] ^= byte(1 + c.rng.IntN(255))
		}
		c.At(at, func() { c.arrive(from, d.To, b) })
	}
}

func (c *Cluster) arrive(from, to uint32, b []byte) {
	c.deliver(to, anyIncarnation, func() {
		g := &c.agents[to]
		g.process.Receive(c.now.Add(g.clockOffset), from, b)
		c.settle(to)
	})
}
