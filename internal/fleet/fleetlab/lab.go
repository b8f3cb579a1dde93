// Package fleetlab runs complete nodes of a fleet in virtual time: voters, followers, leases and proposals,
// with fault injection in the network, the clocks, the disks and the processes. It checks from the outside
// what is guaranteed: see Lab.Violations. A run is determined by its options and calls. It is for tests and
// searches only, and not safe for concurrent use.
package fleetlab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/simnet"
)

// Options determine a run.
type Options struct {
	Agents, Voters int
	Volatile       bool // voters store nothing
	Seed           uint64
	Terms          lease.Terms
	// ClocksWithin is how far the Unix clocks may be off in a Hunt; default 5 s.
	ClocksWithin time.Duration
	// Weaken removes a protection, to check that violations are found; nil: none.
	Weaken func(*fleet.Settings)
	// Application adds an application to a process that starts, with state machines after the lab's; nil: none.
	Application func(set *fleet.Settings, now fleet.ClockReading)
	// OnDecision is called whenever an agent could decide: after each of its steps, and by Decide; nil: not
	// used.
	OnDecision func(agent int, at time.Time, now fleet.ClockReading, n *fleet.Node)
	// Act has the application of an agent do something: the fault ApplicationAct.
	Act func(agent int)
}

// Lab is a simulated fleet.
type Lab struct {
	World  *simnet.Cluster
	opts   Options
	rng    *rand.Rand
	hosts  []*host
	judge  judge
	begin  time.Time
	script []Fault
}

// host is the machine of an agent; it outlives processes.
type host struct {
	lab         *Lab
	self        int
	incarnation uint64
	disk        raftlog.Stored
	node        *fleet.Node // nil: no process
	tally       *tally
	writing     *raftlog.Persist
	writes      uint64 // so far, of all processes
}

// maxWriteTime is the maximum duration of a write.
const maxWriteTime = 8 * time.Millisecond

// New returns a fleet without running processes.
func New(o Options) *Lab {
	l := &Lab{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0xf1ee7)), begin: time.Unix(1_700_000_000, 0)}
	l.opts.Terms = o.Terms.WithDefaults()
	if o.ClocksWithin == 0 {
		l.opts.ClocksWithin = 5 * time.Second
	}
	for i := range o.Agents {
		l.hosts = append(l.hosts, &host{lab: l, self: i})
	}
	l.judge = newJudge(l)
	l.World = simnet.NewCluster(o.Seed, l.begin, o.Agents, l.process)
	l.World.AfterStep = func(a uint32) { l.judge.check(l.hosts[a]) }
	l.Calm()
	return l
}

// Calm ends all faults of the network: one to five milliseconds in each direction, no loss.
func (l *Lab) Calm() {
	l.World.ChangeAll(func(k *simnet.Link) {
		*k = simnet.Link{Delay: time.Millisecond, Jitter: 4 * time.Millisecond}
	})
}

// Lossy has all directions lose and duplicate fractions of the datagrams, and delay a tenth by up to a time.
func (l *Lab) Lossy(loss, duplicate float64, lateness time.Duration) {
	l.World.ChangeAll(func(k *simnet.Link) {
		*k = simnet.Link{
			Cut: k.Cut, Loss: loss, Duplicate: duplicate, Delay: time.Millisecond,
			Jitter: 4 * time.Millisecond,
			Late:   0.1, Lateness: lateness,
		}
	})
}

// StartAll starts all processes that are not running.
func (l *Lab) StartAll() {
	for a := range l.hosts {
		l.World.Start(uint32(a))
	}
}

// Run runs the fleet for a time.
func (l *Lab) Run(length time.Duration) { l.World.Run(l.World.Now().Add(length)) }

// voters returns the voters, which are spread over the agents' numbers as over zones.
func (l *Lab) voters() (v []int) {
	for i := range l.opts.Voters {
		v = append(v, i*l.opts.Agents/l.opts.Voters)
	}
	return v
}

func (l *Lab) process(a uint32, now time.Time) simnet.Process {
	h := l.hosts[a]
	h.incarnation++
	h.tally = &tally{}
	h.writing = nil
	set := fleet.Settings{
		Self: h.self, Agents: l.opts.Agents, Voters: l.voters(),
		Seed:        l.opts.Seed*7919 + uint64(h.self),
		Incarnation: h.incarnation, Terms: l.opts.Terms, IsDurable: !l.opts.Volatile,
		Machines: []fleet.StateMachine{h.tally},
	}
	if !l.opts.Volatile {
		set.Stored = h.disk
	}
	if l.opts.Application != nil {
		l.opts.Application(&set, h.reading(now))
	}
	if l.opts.Weaken != nil {
		l.opts.Weaken(&set)
	}
	node, err := fleet.New(set, h.reading(now))
	if err != nil {
		panic(fmt.Sprintf("agent %d: %v", a, err))
	}
	h.node = node
	return h
}

// reading returns what the machine's clocks show: the Unix time has the offset that the cluster has set, and
// the steady clock has another origin at each machine.
func (h *host) reading(now time.Time) fleet.ClockReading {
	steady := h.lab.World.Now().Sub(h.lab.begin) + time.Duration(h.self+1)*time.Hour
	return fleet.ClockReading{Unix: time.Duration(now.UnixNano()), Mono: steady}
}

// Receive implements simnet.Process.
func (h *host) Receive(now time.Time, from uint32, b []byte) {
	h.node.Receive(h.reading(now), int(from), b)
}

// Wake implements simnet.Process.
func (h *host) Wake(now time.Time) { h.node.Wake(h.reading(now)) }

// Next implements simnet.Process.
func (h *host) Next() time.Time {
	now := h.lab.World.Now()
	delay := h.node.Next() - h.reading(now).Mono
	return now.Add(max(delay, 0) + h.lab.World.ClockOffset(uint32(h.self)))
}

// Out implements simnet.Process.
func (h *host) Out(now time.Time) (sent []simnet.Datagram) {
	out := h.node.Out(h.reading(now))
	for _, d := range out.Datagrams {
		sent = append(sent, simnet.Datagram{To: d.To, Bytes: d.Bytes})
	}
	if out.Persist != nil {
		h.write(out.Persist)
	}
	h.lab.judge.checkEvents(h, out.Events)
	return sent
}

// write writes to the disk after a while, and notifies the process if it still runs.
func (h *host) write(p *raftlog.Persist) {
	incarnation := h.incarnation
	h.writing = p
	took := time.Duration(h.lab.rng.Int64N(int64(maxWriteTime)))
	h.lab.World.At(h.lab.World.Now().Add(took), func() {
		if h.incarnation != incarnation || h.writing != p || !h.lab.World.IsRunning(uint32(h.self)) {
			return
		}
		h.flush()
		h.notifyWritten(incarnation, p.Token)
	})
}

// notifyWritten reports to the process that a write is durable, once the process is not paused.
func (h *host) notifyWritten(incarnation, token uint64) {
	if h.incarnation != incarnation {
		return
	}
	if !h.lab.World.Call(uint32(h.self), func(_ simnet.Process, now time.Time) {
		h.node.Persisted(h.reading(now), token)
	}) && h.lab.World.IsPaused(uint32(h.self)) {
		h.lab.World.At(h.lab.World.Now().Add(50*time.Millisecond), func() { h.notifyWritten(incarnation, token) })
	}
}

// flush completes the write in progress.
func (h *host) flush() {
	h.disk.Apply(h.writing)
	h.writing = nil
	h.writes++
}

// Kill ends a process at once. A write in progress may be completed without being reported.
func (l *Lab) Kill(a int) {
	if h := l.hosts[a]; h.writing != nil && l.rng.IntN(2) == 0 {
		h.flush()
	}
	l.World.Kill(uint32(a))
	l.hosts[a].node = nil
}

// Lose ends a process and deletes its disk.
func (l *Lab) Lose(a int) {
	l.Kill(a)
	l.hosts[a].disk = raftlog.Stored{}
}

// Node returns an agent's node; nil: its process is not running.
func (l *Lab) Node(a int) *fleet.Node { return l.hosts[a].node }

// Reading returns what an agent's clocks show now.
func (l *Lab) Reading(a int) fleet.ClockReading {
	return l.hosts[a].reading(l.World.Now().Add(l.World.ClockOffset(uint32(a))))
}

// Leader returns the agent that leads the voters; negative: none does, or several take themselves for it.
func (l *Lab) Leader() int {
	leader := -1
	for _, v := range l.voters() {
		if n := l.hosts[v].node; n != nil && n.Status(l.Reading(v)).Voter.Phase == raftlog.Leading {
			if leader >= 0 {
				return -1
			}
			leader = v
		}
	}
	return leader
}

// Isolate cuts an agent off from all others, in both directions, or reconnects it.
func (l *Lab) Isolate(a int, cut bool) {
	l.World.ChangeEach(func(from, to uint32, k *simnet.Link) {
		if int(from) == a || int(to) == a {
			k.Cut = cut
		}
	})
}

// Partition cuts some agents off from all others.
func (l *Lab) Partition(some []int, cut bool) {
	l.World.ChangeEach(func(from, to uint32, k *simnet.Link) {
		if slices.Contains(some, int(from)) != slices.Contains(some, int(to)) {
			k.Cut = cut
		}
	})
}
