package simnet

import (
	"math/rand/v2"
	"time"

	"dunestep/internal/eventqueue"
)

// Faults are the faults of every direction of a Network.
type Faults struct {
	Loss, Duplicate    float64       // fractions of the messages
	MinDelay, MaxDelay time.Duration // the delay of a message is uniformly distributed between them
	Late               float64       // fraction of the messages that take up to Lateness longer
	Lateness           time.Duration
}

// networkStream selects the stream of a network's random numbers for a seed.
const networkStream = 0x10557

// Network has nodes 0 to n-1, and a true time that none of them can read.
type Network struct {
	Faults Faults
	// OnMessage is called with each message that arrives, OnTimer when a node's timer is due. Calls for a paused
	// node are made at the end of its pause.
	OnMessage func(to, from int, data []byte)
	OnTimer   func(node int)
	// SentMessages counts the sent messages, and SentBytes the bytes of their data, by the sender.
	SentMessages, SentBytes []int

	rng         *rand.Rand
	now         time.Duration
	events      eventqueue.Queue[nodeEvent]
	lastOrder   uint64
	isCut       []bool          // by the sender and the receiver
	pausedUntil []time.Duration // by the node
	timers      []uint64        // by the node: the order of the event that is its current timer
	clocks      []nodeClock
}

// nodeClock describes how a node's two clocks differ from the true time.
type nodeClock struct {
	unixOffset time.Duration
	rate       float64 // of the steady clock
	steady     time.Duration
	setAt      time.Duration // the true time at which the steady clock showed steady
}

// nodeEvent is a call that is made while a node is not paused.
type nodeEvent struct {
	node int // noNode: the call does not depend on a node
	do   func()
}

const noNode = -1

// NewNetwork returns a network that begins at a true time.
func NewNetwork(seed uint64, nodes int, begin time.Duration, faults Faults) *Network {
	n := &Network{
		Faults: faults,
		rng:    rand.New(rand.NewPCG(seed, networkStream)), now: begin, isCut: make([]bool, nodes*nodes),
		SentMessages: make([]int, nodes), SentBytes: make([]int, nodes), pausedUntil: make([]time.Duration, nodes),
		timers: make([]uint64, nodes), clocks: make([]nodeClock, nodes),
	}
	for i := range n.clocks {
		n.clocks[i] = nodeClock{rate: 1, setAt: begin}
	}
	return n
}

// Rand returns the network's random source, for scripts of faults that follow the seed.
func (n *Network) Rand() *rand.Rand { return n.rng }

// Now returns the true time.
func (n *Network) Now() time.Duration { return n.now }

// At schedules a call of do at a true time, whether or not nodes are paused.
func (n *Network) At(at time.Duration, do func()) { n.add(at, noNode, do) }

func (n *Network) add(at time.Duration, node int, do func()) {
	n.lastOrder++
	n.events.Add(
		eventqueue.Item[nodeEvent]{DueAt: max(at, n.now), Order: n.lastOrder, Event: nodeEvent{node, do}},
	)
}

// Send sends a message.
func (n *Network) Send(from, to int, data []byte) {
	n.SentMessages[from]++
	n.SentBytes[from] += len(data)
	for copies := 0; copies == 0 || copies == 1 && n.rng.Float64() < n.Faults.Duplicate; copies++ {
		if n.IsCut(from, to) || n.rng.Float64() < n.Faults.Loss {
			continue
		}
		delay := n.Faults.MinDelay + n.randomUpTo(n.Faults.MaxDelay-n.Faults.MinDelay)
		if n.rng.Float64() < n.Faults.Late {
			delay += n.randomUpTo(n.Faults.Lateness)
		}
		n.add(n.now+delay, to, func() { n.OnMessage(to, from, data) })
	}
}

func (n *Network) randomUpTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(n.rng.Int64N(int64(limit)))
}

// SetCut cuts the direction from one node to another, or restores it.
func (n *Network) SetCut(from, to int, isCut bool) { n.isCut[from*len(n.clocks)+to] = isCut }

// IsCut reports whether the direction from one node to another is cut.
func (n *Network) IsCut(from, to int) bool { return n.isCut[from*len(n.clocks)+to] }

// Pause pauses a node until a true time. Its messages and timers due before are handled then.
func (n *Network) Pause(node int, until time.Duration) {
	n.pausedUntil[node] = max(n.pausedUntil[node], until)
}

// IsPaused reports whether a node is paused.
func (n *Network) IsPaused(node int) bool { return n.pausedUntil[node] > n.now }

// SetTimer sets a node's timer to a time of its steady clock, in place of the former one.
func (n *Network) SetTimer(node int, steady time.Duration) {
	c := n.clocks[node]
	at := c.setAt + time.Duration(float64(steady-c.steady)/c.rate) + 1
	order := n.lastOrder + 1
	n.timers[node] = order
	n.add(at, node, func() {
		if n.timers[node] == order {
			n.OnTimer(node)
		}
	})
}

// UnixTime returns a node's Unix time.
func (n *Network) UnixTime(node int) time.Duration { return n.now + n.clocks[node].unixOffset }

// SteadyTime returns a node's steady clock, which begins at 0 and keeps running while the node is paused.
func (n *Network) SteadyTime(node int) time.Duration {
	c := n.clocks[node]
	return c.steady + time.Duration(float64(n.now-c.setAt)*c.rate)
}

// SetClock sets the offset of a node's Unix time, and the rate of its steady clock, from now on.
func (n *Network) SetClock(node int, unixOffset time.Duration, rate float64) {
	n.clocks[node] = nodeClock{unixOffset: unixOffset, rate: rate, steady: n.SteadyTime(node), setAt: n.now}
}

// Run runs the network until a true time.
func (n *Network) Run(until time.Duration) {
	for e, hasNext := n.events.Next(until); hasNext; e, hasNext = n.events.Next(until) {
		n.now = e.DueAt
		if e.Event.node != noNode && n.IsPaused(e.Event.node) {
			e.DueAt = n.pausedUntil[e.Event.node]
			n.events.Add(e)
			continue
		}
		e.Event.do()
	}
	n.now = max(n.now, until)
}
