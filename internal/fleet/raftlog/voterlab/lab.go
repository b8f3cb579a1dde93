package voterlab

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/simnet"

	"github.com/anishathalye/porcupine"
)

// Options determine a run. Zero fields stand for the defaults.
type Options struct {
	Seed     uint64
	Voters   int     // default 3
	Agents   int     // of which the first are voters; default Voters and one that may be configured later
	Volatile bool    // stores do not outlive processes
	Loss     float64 // between all agents, from 0 to 1
	// WriteTime is the maximum duration of a write; default 5 ms.
	WriteTime time.Duration
	// SnapshotAfter is the number of records after which a snapshot is made; default 20.
	SnapshotAfter int
	// Pace is the mean time between two calls of a client; default 200 ms, negative: no clients.
	Pace time.Duration
}

// Lab is a run.
type Lab struct {
	World *simnet.Cluster

	opts         Options
	rng          *rand.Rand
	configured   []uint32 // the voters
	disks        []*raftlog.Stored
	hosts        []*host
	incarnations uint64
	messages     uint64
	violations   []string

	chains           map[place]uint64                        // the hash over all records at an index
	results          map[raftlog.ProposalID]uint64           // what a read returned
	leaders          map[place]uint64                        // IDs by the epoch and the term
	applied          map[place]map[raftlog.ProposalID]uint64 // indexes by the epoch
	acknowledgements []acknowledged
	calls            []*call
	epochs           map[uint64]bool
	lastNumber       uint64 // of the proposals
}

// place is an index or a term of an epoch.
type place struct{ epoch, at uint64 }

// acknowledged is a proposal that was reported to a client as committed, and when.
type acknowledged struct {
	at time.Time
	place
}

// call is an operation of a client.
type call struct {
	op           op
	id           raftlog.ProposalID
	client       int
	from, to     time.Time
	done, absent bool // it has a known outcome, and was not committed
	result       uint64
}

// Start is when all runs begin.
var Start = time.Unix(1_800_000_000, 0)

// New returns a run that has not begun.
func New(o Options) *Lab {
	if o.Voters == 0 {
		o.Voters = 3
	}
	if o.Agents == 0 {
		o.Agents = o.Voters + 1
	}
	if o.WriteTime == 0 {
		o.WriteTime = 5 * time.Millisecond
	}
	if o.SnapshotAfter == 0 {
		o.SnapshotAfter = 20
	}
	if o.Pace == 0 {
		o.Pace = 200 * time.Millisecond
	}
	l := &Lab{
		opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0x1ab)), disks: make([]*raftlog.Stored, o.Agents),
		hosts: make([]*host, o.Agents), chains: map[place]uint64{}, results: map[raftlog.ProposalID]uint64{},
		leaders: map[place]uint64{}, applied: map[place]map[raftlog.ProposalID]uint64{}, epochs: map[uint64]bool{},
	}
	for a := range o.Voters {
		l.configured = append(l.configured, uint32(a))
	}
	l.World = simnet.NewCluster(o.Seed, Start, o.Agents, l.start)
	l.World.AfterStep = l.check
	l.Calm()
	for a := range uint32(o.Agents) {
		l.World.SetClock(a, clockOffset(a))
	}
	for _, a := range l.configured {
		l.World.Start(a)
	}
	if o.Pace > 0 {
		for c := range 3 {
			l.World.At(Start.Add(time.Second), func() { l.client(c) })
		}
	}
	return l
}

// Calm ends all faults of the network except for the loss of the options.
func (l *Lab) Calm() {
	l.World.ChangeAll(func(k *simnet.Link) {
		*k = simnet.Link{Loss: l.opts.Loss, Delay: 500 * time.Microsecond, Jitter: time.Millisecond}
	})
}

func (l *Lab) writeTime() time.Duration {
	return time.Duration(l.rng.Int64N(int64(l.opts.WriteTime))) + time.Microsecond
}

func (l *Lab) addViolation(format string, args ...any) {
	if len(l.violations) < 20 {
		l.violations = append(l.violations, l.World.Now().Sub(Start).String()+" "+fmt.Sprintf(format, args...))
	}
}

// Violations returns descriptions of what violated a guarantee, with the times.
func (l *Lab) Violations() []string { return l.violations }

// Messages returns how many messages voters have sent each other.
func (l *Lab) Messages() uint64 { return l.messages }

// Status returns the status of an agent's voter; false: it is not running.
func (l *Lab) Status(a uint32) (s raftlog.Status, isRunning bool) {
	if !l.World.IsRunning(a) {
		return s, false
	}
	return l.hosts[a].voter.Status(), true
}

// Leader returns the agent that leads in the highest epoch and term, of those that are not paused; false:
// there is none.
func (l *Lab) Leader() (agent uint32, hasLeader bool) {
	var best raftlog.Status
	for a := range l.hosts {
		s, isRunning := l.Status(uint32(a))
		if isRunning && s.Phase == raftlog.Leading && !l.World.IsPaused(uint32(a)) &&
			(s.Identity.Epoch > best.Identity.Epoch || s.Identity.Epoch == best.Identity.Epoch && s.Term > best.Term) {
			agent, best, hasLeader = uint32(a), s, true
		}
	}
	return agent, hasLeader
}

// Healthy reports whether exactly the configured voters are voters of one log with a leader, and each of them
// knows that.
func (l *Lab) Healthy() bool {
	var first raftlog.Status
	for i, a := range l.configured {
		s, isRunning := l.Status(a)
		if i == 0 {
			first = s
		}
		isInLog := s.Phase == raftlog.Voting || s.Phase == raftlog.Leading
		if !isRunning || !isInLog || len(s.Members) != len(l.configured) ||
			s.Identity.Epoch != first.Identity.Epoch || !slices.Equal(s.Members, first.Members) {
			return false
		}
		for _, m := range s.Members {
			if !m.Votes || !slices.Contains(l.configured, m.Agent) {
				return false
			}
		}
	}
	return true
}

// Configure replaces the configured voters; each agent sees that when it next runs.
func (l *Lab) Configure(voters []uint32) {
	l.configured = voters
	for _, a := range voters {
		l.World.Start(a)
	}
}

// Lose ends an agent's process and deletes its disk.
func (l *Lab) Lose(a uint32) {
	l.World.Kill(a)
	l.disks[a] = nil
}

// Propose has an agent propose a write, and returns its ID.
func (l *Lab) Propose(a uint32, key uint8, value uint64) (id raftlog.ProposalID, err error) {
	l.lastNumber++
	id = raftlog.ProposalID{Origin: 99, Number: l.lastNumber, Base: l.hosts[a].index()}
	l.World.Call(a, func(p simnet.Process, now time.Time) {
		err = p.(*host).try(now, raftlog.Propose{ID: id, Data: op{true, key, value}.encode()})
	})
	return id, err
}

// Outcome returns what an agent's voter knows of a proposal.
func (l *Lab) Outcome(a uint32, id raftlog.ProposalID) raftlog.Outcome {
	if !l.World.IsRunning(a) {
		return raftlog.Unknown
	}
	o, _ := l.hosts[a].voter.Outcome(id)
	return o
}

// client makes one call after another while the run lasts. It repeats a call at one agent after the other.
func (l *Lab) client(n int) {
	l.lastNumber++
	c := &call{
		op: op{l.rng.IntN(3) > 0, uint8(l.rng.IntN(keys)), l.lastNumber}, client: n, from: l.World.Now(),
	}
	a := l.configured[l.rng.IntN(len(l.configured))]
	if !l.World.IsRunning(a) || l.hosts[a].epoch == 0 {
		l.World.At(l.World.Now().Add(l.opts.Pace), func() { l.client(n) })
		return
	}
	c.id = raftlog.ProposalID{Origin: uint64(n), Number: l.lastNumber, Base: l.hosts[a].index()}
	l.calls = append(l.calls, c)
	l.poll(c, a, 0)
}

const (
	// pollInterval is the time between two polls of a call's outcome.
	pollInterval = 20 * time.Millisecond
	// maxPolls is the number of polls after which the client continues without knowing the outcome.
	maxPolls = 60
	// pollsPerAgent is the number of polls at an agent before the call is repeated at another one.
	pollsPerAgent = 10
	// withdrawAtPoll is the poll at which the call is withdrawn.
	withdrawAtPoll = 45
)

// poll proposes a call if that is due, and polls its outcome.
func (l *Lab) poll(c *call, a uint32, polls int) {
	again := func() { l.client(c.client) }
	var o raftlog.Outcome
	var index uint64
	l.World.Call(a, func(p simnet.Process, now time.Time) {
		h := p.(*host)
		if polls%pollsPerAgent == 0 {
			h.step(now, raftlog.Propose{ID: c.id, Data: c.op.encode()})
		} else if polls == withdrawAtPoll {
			h.step(now, raftlog.Withdraw{ID: c.id})
		}
		if o, index = h.voter.Outcome(c.id); o == raftlog.Committed {
			l.acknowledgements = append(l.acknowledgements, acknowledged{l.World.Now(), place{h.epoch, index}})
		}
	})
	switch {
	case o == raftlog.Committed:
		c.done, c.result = true, l.results[c.id]
	case o == raftlog.NotCommitted:
		c.done, c.absent = true, true
	case polls >= maxPolls:
	default:
		if polls%pollsPerAgent == pollsPerAgent-1 {
			a = l.configured[l.rng.IntN(len(l.configured))]
		}
		l.World.At(l.World.Now().Add(pollInterval), func() { l.poll(c, a, polls+1) })
		return
	}
	c.to = l.World.Now()
	wait := time.Duration(l.rng.Int64N(int64(2 * l.opts.Pace)))
	l.World.At(l.World.Now().Add(wait), again)
}

// Outcomes returns how many calls were reported as committed and as not committed, and how many have no known
// outcome.
func (l *Lab) Outcomes() (committed, notCommitted, unknown int) {
	for _, c := range l.calls {
		switch {
		case c.done && !c.absent:
			committed++
		case c.done:
			notCommitted++
		default:
			unknown++
		}
	}
	return committed, notCommitted, unknown
}

// Latencies returns how long the committed calls took.
func (l *Lab) Latencies() (all []time.Duration) {
	for _, c := range l.calls {
		if c.done && !c.absent {
			all = append(all, c.to.Sub(c.from))
		}
	}
	return all
}

// Epochs returns how many logs were founded.
func (l *Lab) Epochs() int { return len(l.epochs) }

type input struct {
	write bool
	key   uint8
	value uint64
}

// register is the model of one register.
var register = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, keys)
		for _, o := range history {
			k := o.Input.(input).key
			parts[k] = append(parts[k], o)
		}
		return parts
	},
	Init: func() any { return uint64(0) },
	Step: func(state, in, out any) (bool, any) {
		if i := in.(input); i.write {
			return true, i.value
		}
		return out == state, state
	},
}

// Linearizable reports whether the registers were linearizable for the clients. It means nothing if a log was
// lost.
func (l *Lab) Linearizable() bool {
	var history []porcupine.Operation
	end := l.World.Now().Add(time.Hour).Sub(Start)
	for i, c := range l.calls {
		if c.absent || !c.done && !c.op.write {
			continue
		}
		o := porcupine.Operation{
			ClientId: i, Input: input{c.op.write, c.op.key, c.op.value}, Output: c.result,
			Call: int64(c.from.Sub(Start)), Return: int64(c.to.Sub(Start)),
		}
		if !c.done {
			o.Return = int64(end)
		}
		history = append(history, o)
	}
	return porcupine.CheckOperationsTimeout(register, history, 10*time.Second) != porcupine.Illegal
}
