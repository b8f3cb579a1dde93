// Package fleetlab simulates a fleet of complete nodes in virtual time: voters, followers, leases and
// proposals, with fault injection in the network, the clocks, the disks and the processes. It checks the
// guarantees of package fleet; see Lab.Violations. A run is determined by its options and calls. The package
// is for tests and fault searches only. A Lab is not safe for concurrent use.
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
	Volatile       bool // voters have no store
	Seed           uint64
	Terms          lease.Terms
	// MaxClockOffset is the maximum offset of the Unix clocks in a RunWithRandomFaults; default 5 s.
	MaxClockOffset time.Duration
	// Weaken changes the settings of each process so that a protection is missing, to check that violations are
	// found; nil: no change.
	Weaken func(*fleet.Settings)
	// Application adds an application to the settings of each process that starts, and its state machines after
	// the lab's own; nil: no application.
	Application func(set *fleet.Settings, now fleet.ClockReading)
	// OnDecision is called whenever an agent could decide: after each of its steps, and by CheckDecisions;
	// nil: not called.
	OnDecision func(agent int, at time.Time, now fleet.ClockReading, n *fleet.Node)
	// Act lets the application of an agent perform an action; it is called for the fault ApplicationAct.
	Act func(agent int)
}

// Lab is a simulated fleet.
type Lab struct {
	World   *simnet.Cluster
	opts    Options
	rng     *rand.Rand
	hosts   []*host
	checker checker
	begin   time.Time
	script  []Fault
}

// host is the machine of an agent. It persists when the agent's process ends.
type host struct {
	lab         *Lab
	self        int
	incarnation uint64
	disk        raftlog.Stored
	node        *fleet.Node // nil: no process
	counter     *proposalCounter
	writing     *raftlog.Persist // write in progress; nil: none
	writes      uint64           // number of completed writes of all processes of the agent
}

// maxWriteTime is the maximum duration of a write.
const maxWriteTime = 8 * time.Millisecond

// New returns a fleet with no running processes.
func New(o Options) *Lab {
	l := &Lab{opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0xf1ee7)), begin: time.Unix(1_700_000_000, 0)}
	l.opts.Terms = o.Terms.WithDefaults()
	if o.MaxClockOffset == 0 {
		l.opts.MaxClockOffset = 5 * time.Second
	}
	for i := range o.Agents {
		l.hosts = append(l.hosts, &host{lab: l, self: i})
	}
	l.checker = newChecker(l)
	l.World = simnet.NewCluster(o.Seed, l.begin, o.Agents, l.process)
	l.World.AfterStep = func(a uint32) { l.checker.check(l.hosts[a]) }
	l.ClearNetworkFaults()
	return l
}

// ClearNetworkFaults ends all faults of the network: each direction then has a delay of 1 to 5 ms and no
// loss.
func (l *Lab) ClearNetworkFaults() {
	l.World.ChangeAll(func(k *simnet.Link) {
		*k = simnet.Link{Delay: time.Millisecond, Jitter: 4 * time.Millisecond}
	})
}

// SetLoss sets that all directions lose and duplicate the given fractions of datagrams, and delay a tenth of
// them by up to lateness.
func (l *Lab) SetLoss(loss, duplicate float64, lateness time.Duration) {
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

// Run runs the fleet for the given time.
func (l *Lab) Run(length time.Duration) { l.World.Run(l.World.Now().Add(length)) }

// voters returns the voters, which are spread evenly over the agents' numbers, as they would be over zones.
func (l *Lab) voters() (v []int) {
	for i := range l.opts.Voters {
		v = append(v, i*l.opts.Agents/l.opts.Voters)
	}
	return v
}

// process starts a process of an agent, with a new node.
func (l *Lab) process(a uint32, now time.Time) simnet.Process {
	h := l.hosts[a]
	h.incarnation++
	h.counter = &proposalCounter{}
	h.writing = nil
	set := fleet.Settings{
		Self: h.self, Agents: l.opts.Agents, Voters: l.voters(),
		Seed:        l.opts.Seed*7919 + uint64(h.self),
		Incarnation: h.incarnation, Terms: l.opts.Terms, IsDurable: !l.opts.Volatile,
		Machines: []fleet.StateMachine{h.counter},
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

// reading returns the reading of the machine's clocks. The Unix time has the offset that the cluster has set,
// and the steady clock has a different origin at each machine.
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
	h.lab.checker.checkEvents(h, out.Events)
	return sent
}

// write writes to the disk after a random time of up to maxWriteTime, and notifies the process. It does
// nothing if the process has ended before.
func (h *host) write(p *raftlog.Persist) {
	incarnation := h.incarnation
	h.writing = p
	duration := time.Duration(h.lab.rng.Int64N(int64(maxWriteTime)))
	h.lab.World.At(h.lab.World.Now().Add(duration), func() {
		if h.incarnation != incarnation || h.writing != p || !h.lab.World.IsRunning(uint32(h.self)) {
			return
		}
		h.flush()
		h.notifyWritten(incarnation, p.Token)
	})
}

// notifyWritten notifies the process that a write is durable. If the process is paused, it tries again later.
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

// Kill ends a process at once. A write in progress is completed with a probability of 1/2, without a
// notification.
func (l *Lab) Kill(a int) {
	if h := l.hosts[a]; h.writing != nil && l.rng.IntN(2) == 0 {
		h.flush()
	}
	l.World.Kill(uint32(a))
	l.hosts[a].node = nil
}

// KillAndEraseDisk ends a process and erases the agent's disk.
func (l *Lab) KillAndEraseDisk(a int) {
	l.Kill(a)
	l.hosts[a].disk = raftlog.Stored{}
}

// Node returns an agent's node, or nil if its process is not running.
func (l *Lab) Node(a int) *fleet.Node { return l.hosts[a].node }

// Reading returns a reading of an agent's clocks.
func (l *Lab) Reading(a int) fleet.ClockReading {
	return l.hosts[a].reading(l.World.Now().Add(l.World.ClockOffset(uint32(a))))
}

// Leader returns the leader of the voters, or -1 if there is none or several agents take themselves for the
// leader.
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

// Isolate disconnects an agent from all others in both directions, or reconnects it if cut is false.
func (l *Lab) Isolate(a int, cut bool) {
	l.World.ChangeEach(func(from, to uint32, k *simnet.Link) {
		if int(from) == a || int(to) == a {
			k.Cut = cut
		}
	})
}

// Partition disconnects some agents from all others, or reconnects them if cut is false.
func (l *Lab) Partition(some []int, cut bool) {
	l.World.ChangeEach(func(from, to uint32, k *simnet.Link) {
		if slices.Contains(some, int(from)) != slices.Contains(some, int(to)) {
			k.Cut = cut
		}
	})
}
