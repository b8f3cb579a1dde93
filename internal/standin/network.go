package standin

import (
	"container/heap"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestep/internal/rehearsal/mishap"
)

// Network is the network between the agents of a fleet, with the faults of a mishap.Network: it forwards the
// datagrams of Peers, at once or with a delay. ListenNetwork creates one. Its methods are safe for concurrent
// use.
type Network struct {
	agents    int
	peers     *Peers
	startedAt time.Time

	mu         sync.Mutex
	faults     *mishap.Network
	delayed    copyHeap
	overflowed int // copies dropped because maxDelayed were delayed
	datagrams  int // received; a broadcast counts once for each receiver
	lateness   *hdrhistogram.Histogram
	closed     bool
	wake       chan struct{}
	wait       sync.WaitGroup
}

// maxDelayed is the maximum number of delayed copies; more are dropped, as by a full queue.
const maxDelayed = 1 << 16

// ListenNetwork opens the network between the agents that listen at these addresses. Its own sockets are at
// ip, at which no agent listens. The seed determines which datagrams the faults affect.
func ListenNetwork(ip string, agents []netip.AddrPort, seed uint64) (*Network, error) {
	n := &Network{
		agents: len(agents), startedAt: time.Now(), faults: mishap.New(seed, len(agents)),
		wake: make(chan struct{}, 1), lateness: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	var err error
	n.mu.Lock() // receive waits until n.peers is set
	n.peers, err = ListenPeers(ip, agents, n.receive)
	n.mu.Unlock()
	if err != nil {
		return nil, err
	}
	n.wait.Go(n.deliver)
	return n, nil
}

// Addrs returns the addresses for an agent's configuration, as Peers.Addrs does.
func (n *Network) Addrs(agent int) (each []string, all string) { return n.peers.Addrs(agent) }

// BeginFault starts a fault and returns its id, with which EndFault ends it. It returns an error if the
// fault is invalid.
func (n *Network) BeginFault(f mishap.Fault) (id int, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.Begin(f)
}

// EndFault ends a fault. Copies that it has delayed stay delayed.
func (n *Network) EndFault(id int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.End(id)
}

// NetworkStats counts what the network has carried.
type NetworkStats struct {
	mishap.Counts     // of datagrams affected by faults
	Datagrams     int // all datagrams, with or without faults; a broadcast counts once for each receiver
	Overflowed    int // copies dropped because too many were delayed
	// Lateness has how long after their due time delayed copies were sent, in microseconds.
	Lateness *hdrhistogram.Histogram
}

// Stats returns what the network has carried so far.
func (n *Network) Stats() NetworkStats {
	n.mu.Lock()
	defer n.mu.Unlock()
	return NetworkStats{
		Counts: n.faults.Counts(), Datagrams: n.datagrams, Overflowed: n.overflowed,
		Lateness: hdrhistogram.Import(n.lateness.Export()),
	}
}

// receive handles a datagram from an agent to another one or to AllAgents.
func (n *Network) receive(from, to int, data []byte) {
	if to != AllAgents {
		n.forward(from, to, data)
		return
	}
	for i := range n.agents {
		if i != from {
			n.forward(from, i, data)
		}
	}
}

func (n *Network) forward(from, to int, data []byte) {
	now := time.Since(n.startedAt)
	n.mu.Lock()
	n.datagrams++
	var immediate []mishap.Delivery // without a delay
	for _, c := range n.faults.Transmit(now, from, to, data) {
		if c.Delay == 0 {
			immediate = append(immediate, c)
		} else if len(n.delayed) < maxDelayed {
			heap.Push(&n.delayed, delayedCopy{now + c.Delay, from, to, c.Data})
		} else {
			n.overflowed++
		}
	}
	n.mu.Unlock()
	for _, c := range immediate {
		n.peers.Send(from, to, c.Data)
	}
	n.wakeDeliverer()
}

func (n *Network) wakeDeliverer() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// deliver sends delayed copies when they are due, until Close.
func (n *Network) deliver() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait, closed := n.deliverDue()
		if closed {
			return
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-n.wake:
		}
	}
}

// deliverDue sends the copies that are due and returns the time until the next one is.
func (n *Network) deliverDue() (wait time.Duration, closed bool) {
	for {
		due, wait, closed := n.takeDue()
		for _, u := range due { // without the lock, which receive needs
			n.peers.Send(u.from, u.to, u.data)
		}
		if len(due) == 0 || closed {
			return wait, closed
		}
	}
}

// takeDue removes and returns the copies that are due, the time until the next one is, and whether the
// network is closed.
func (n *Network) takeDue() (due []delayedCopy, wait time.Duration, closed bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Since(n.startedAt)
	for len(n.delayed) > 0 && n.delayed[0].dueAt <= now {
		u := heap.Pop(&n.delayed).(delayedCopy)
		_ = n.lateness.RecordValue(max((now - u.dueAt).Microseconds(), 1))
		due = append(due, u)
	}
	if len(n.delayed) > 0 {
		return due, n.delayed[0].dueAt - now, n.closed
	}
	return due, time.Hour, n.closed
}

// Close closes the network; delayed copies are lost.
func (n *Network) Close() {
	n.peers.Close()
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.wakeDeliverer()
	n.wait.Wait()
}

// delayedCopy is a copy of a datagram that is sent later.
type delayedCopy struct {
	dueAt    time.Duration
	from, to int
	data     []byte
}

// copyHeap is a heap of copies, the one due first at its root.
type copyHeap []delayedCopy

func (d copyHeap) Len() int           { return len(d) }
func (d copyHeap) Less(i, j int) bool { return d[i].dueAt < d[j].dueAt }
func (d copyHeap) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *copyHeap) Push(x any) { *d = append(*d, x.(delayedCopy)) }

// Pop implements heap.Interface.
func (d *copyHeap) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = delayedCopy{}
	*d = old[:len(old)-1]
	return last
}
