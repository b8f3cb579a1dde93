package standin

import (
	"container/heap"
	"net/netip"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dunestep/internal/rehearsal/mishap"
)

// Network is the network between the agents of a fleet, with the faults that a mishap.Net has: Peers, and
// what is on its way meanwhile. Use ListenNetwork. Its methods may be called from any goroutine.
type Network struct {
	agents int
	peers  *Peers
	began  time.Time

	mu      sync.Mutex
	faults  *mishap.Net
	waiting delayed
	full    int // copies that there was no room for
	passed  int // datagrams from one agent to one other that came to the network
	late    *hdrhistogram.Histogram
	closed  bool
	wake    chan struct{}
	wait    sync.WaitGroup
}

// maxDelayed bounds the copies that are on their way; what comes then is dropped, as a full queue's would be.
const maxDelayed = 1 << 16

// ListenNetwork opens the network between the agents that listen at these addresses, on an IP address at
// which none of them does. The seed is for the fate of the datagrams.
func ListenNetwork(ip string, agents []netip.AddrPort, seed uint64) (*Network, error) {
	n := &Network{
		agents: len(agents), began: time.Now(), faults: mishap.New(seed, len(agents)),
		wake: make(chan struct{}, 1), late: hdrhistogram.New(1, int64(time.Hour/time.Microsecond), 3),
	}
	var err error
	n.mu.Lock() // until there are peers to tell
	n.peers, err = ListenPeers(ip, agents, n.told)
	n.mu.Unlock()
	if err != nil {
		return nil, err
	}
	n.wait.Go(n.deliver)
	return n, nil
}

// Addrs are the addresses that an agent is told, as Peers has them.
func (n *Network) Addrs(agent int) (each []string, all string) { return n.peers.Addrs(agent) }

// Begin has a fault come over the network; End with its number takes it away. The error is that it makes no
// sense.
func (n *Network) Begin(f mishap.Fault) (id int, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.faults.Begin(f)
}

// End takes a fault away. What it has made late still is.
func (n *Network) End(id int) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.faults.End(id)
}

// Figures is what the network has carried.
type Figures struct {
	mishap.Counts     // under faults
	Passed        int // datagrams from one agent to one other, also without
	Full          int // copies that there was no room for
	// Late is by how many microseconds copies with a delay came later than they should.
	Late *hdrhistogram.Histogram
}

// Figures tells what the network has carried so far.
func (n *Network) Figures() Figures {
	n.mu.Lock()
	defer n.mu.Unlock()
	return Figures{
		Counts: n.faults.Counts(), Passed: n.passed, Full: n.full,
		Late: hdrhistogram.Import(n.late.Export()),
	}
}

// told takes in what an agent says to another, or to all.
func (n *Network) told(from, to int, data []byte) {
	if to != Everyone {
		n.pass(from, to, data)
		return
	}
	for i := range n.agents {
		if i != from {
			n.pass(from, i, data)
		}
	}
}

func (n *Network) pass(from, to int, data []byte) {
	now := time.Since(n.began)
	n.mu.Lock()
	n.passed++
	var at []mishap.Copy // once
	for _, c := range n.faults.Pass(now, from, to, data) {
		if c.After == 0 {
			at = append(at, c)
		} else if len(n.waiting) < maxDelayed {
			heap.Push(&n.waiting, underway{now + c.After, from, to, c.Data})
		} else {
			n.full++
		}
	}
	n.mu.Unlock()
	for _, c := range at {
		n.peers.Tell(from, to, c.Data)
	}
	n.nudge()
}

func (n *Network) nudge() {
	select {
	case n.wake <- struct{}{}:
	default:
	}
}

// deliver hands over what was late, when it is due.
func (n *Network) deliver() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		wait, done := n.hand()
		if done {
			return
		}
		timer.Reset(wait)
		select {
		case <-timer.C:
		case <-n.wake:
		}
	}
}

// hand hands over what is due, and tells how long it is until more is.
func (n *Network) hand() (wait time.Duration, done bool) {
	for {
		due, wait, done := n.due()
		for _, u := range due { // without the lock, for which what comes would wait
			n.peers.Tell(u.from, u.to, u.data)
		}
		if len(due) == 0 || done {
			return wait, done
		}
	}
}

// due takes out what is due.
func (n *Network) due() (due []underway, wait time.Duration, done bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Since(n.began)
	for len(n.waiting) > 0 && n.waiting[0].due <= now {
		u := heap.Pop(&n.waiting).(underway)
		_ = n.late.RecordValue(max((now - u.due).Microseconds(), 1))
		due = append(due, u)
	}
	if len(n.waiting) > 0 {
		return due, n.waiting[0].due - now, n.closed
	}
	return due, time.Hour, n.closed
}

// Close ends the network; what is on its way is lost.
func (n *Network) Close() {
	n.peers.Close()
	n.mu.Lock()
	n.closed = true
	n.mu.Unlock()
	n.nudge()
	n.wait.Wait()
}

// underway is a copy on its way.
type underway struct {
	due      time.Duration
	from, to int
	data     []byte
}

// delayed is a heap of copies, the next to come first.
type delayed []underway

func (d delayed) Len() int           { return len(d) }
func (d delayed) Less(i, j int) bool { return d[i].due < d[j].due }
func (d delayed) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }

// Push implements heap.Interface.
func (d *delayed) Push(x any) { *d = append(*d, x.(underway)) }

// Pop implements heap.Interface.
func (d *delayed) Pop() any {
	old := *d
	last := old[len(old)-1]
	old[len(old)-1] = underway{}
	*d = old[:len(old)-1]
	return last
}
