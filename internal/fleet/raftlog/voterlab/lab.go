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

// Options say what is played. Zero fields stand for the defaults.
type Options struct {
	Seed   uint64
	Voters int // default 3
	Agents int // of which the first are voters; default Voters and one that may be named later
	// Volatile: nothing is kept over a restart.
	Volatile bool
	Loss     float64 // between all, from 0 to 1
	// WriteTime is how long a write takes at the most. Default 5 ms.
	WriteTime time.Duration
	// SnapshotAfter records. Default 20.
	SnapshotAfter int
	// Pace is the mean time between a client's calls. Default 200 ms; below 0: no clients.
	Pace time.Duration
}

// Lab is a run.
type Lab struct {
	World *simnet.Cluster

	opts         Options
	random       *rand.Rand
	named        []uint32
	disks        []*Disk
	hosts        []*host
	incarnations uint64
	messages     uint64
	violations   []string

	chains       map[place]uint64                        // of the record at an index
	results      map[raftlog.ProposalID]uint64           // what a read found
	leaders      map[place]uint64                        // ids, by epoch and term
	done         map[place]map[raftlog.ProposalID]uint64 // indexes, by epoch
	acknowledged []acknowledged
	calls        []*call
	epochs       map[uint64]bool
	number       uint64
}

type place struct{ epoch, at uint64 }

// told is what a client was told as taken, and when.
type acknowledged struct {
	at time.Time
	place
}

// call is a client's.
type call struct {
	op           op
	id           raftlog.ProposalID
	client       int
	from, to     time.Time
	done, absent bool
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
		opts: o, random: rand.New(rand.NewPCG(o.Seed, 0x1ab)), disks: make([]*Disk, o.Agents),
		hosts: make([]*host, o.Agents), chains: map[place]uint64{}, results: map[raftlog.ProposalID]uint64{},
		leaders: map[place]uint64{}, done: map[place]map[raftlog.ProposalID]uint64{}, epochs: map[uint64]bool{},
	}
	for a := range o.Voters {
		l.named = append(l.named, uint32(a))
	}
	l.World = simnet.NewCluster(o.Seed, Start, o.Agents, l.start)
	l.World.AfterStep = l.check
	l.Calm()
	for a := range uint32(o.Agents) {
		l.World.SetClock(a, clockOffset(a))
	}
	for _, a := range l.named {
		l.World.Start(a)
	}
	if o.Pace > 0 {
		for c := range 3 {
			l.World.At(Start.Add(time.Second), func() { l.client(c) })
		}
	}
	return l
}

// Calm ends all faults of the network but the loss that the options ask for.
func (l *Lab) Calm() {
	l.World.ChangeAll(func(k *simnet.Link) {
		*k = simnet.Link{Loss: l.opts.Loss, Delay: 500 * time.Microsecond, Jitter: time.Millisecond}
	})
}

func (l *Lab) writeTime() time.Duration {
	return time.Duration(l.random.Int64N(int64(l.opts.WriteTime))) + time.Microsecond
}

func (l *Lab) addViolation(format string, args ...any) {
	if len(l.violations) < 20 {
		l.violations = append(l.violations, l.World.Now().Sub(Start).String()+" "+fmt.Sprintf(format, args...))
	}
}

// Violations are what was seen of promises that were not kept, with their times.
func (l *Lab) Violations() []string { return l.violations }

// Messages returns how many messages voters have sent each other.
func (l *Lab) Messages() uint64 { return l.messages }

// Status returns what an agent's voter says; ok is false if there is none.
func (l *Lab) Status(a uint32) (s raftlog.Status, ok bool) {
	if !l.World.IsRunning(a) {
		return s, false
	}
	return l.hosts[a].voter.Status(), true
}

// Leader returns the agent that leads in the highest epoch and term, if it is not paused.
func (l *Lab) Leader() (agent uint32, ok bool) {
	var best raftlog.Status
	for a := range l.hosts {
		s, is := l.Status(uint32(a))
		if is && s.Phase == raftlog.Leading && !l.World.IsPaused(uint32(a)) &&
			(s.Identity.Epoch > best.Identity.Epoch || s.Identity.Epoch == best.Identity.Epoch && s.Term > best.Term) {
			agent, best, ok = uint32(a), s, true
		}
	}
	return agent, ok
}

// Healthy says whether all that are named are voters of one log, with a leader, and nobody else is, and
// each of them knows that.
func (l *Lab) Healthy() bool {
	var first raftlog.Status
	for i, a := range l.named {
		s, ok := l.Status(a)
		if i == 0 {
			first = s
		}
		if !ok || s.Phase != raftlog.Voting && s.Phase != raftlog.Leading || len(s.Members) != len(l.named) ||
			s.Identity.Epoch != first.Identity.Epoch || !slices.Equal(s.Members, first.Members) {
			return false
		}
		for _, m := range s.Members {
			if !m.Votes || !slices.Contains(l.named, m.Agent) {
				return false
			}
		}
	}
	return true
}

// Name names the voters anew; each agent sees that when it next runs.
func (l *Lab) Name(voters []uint32) {
	l.named = voters
	for _, a := range voters {
		l.World.Start(a)
	}
}

// Lose takes an agent's disk away, and its process.
func (l *Lab) Lose(a uint32) {
	l.World.Kill(a)
	l.disks[a] = nil
}

// Ask has an agent propose a write, and returns its ID; call Propose again with it to ask again.
func (l *Lab) Ask(a uint32, key uint8, value uint64) (id raftlog.ProposalID, err error) {
	l.number++
	id = raftlog.ProposalID{Origin: 99, Number: l.number, Base: l.hosts[a].index()}
	l.World.Call(a, func(p simnet.Process, now time.Time) {
		err = p.(*host).step(now, raftlog.Propose{ID: id, Data: op{true, key, value}.encode()})
	})
	return id, err
}

// Outcome is what an agent's voter knows of a proposal.
func (l *Lab) Outcome(a uint32, id raftlog.ProposalID) raftlog.Outcome {
	if !l.World.IsRunning(a) {
		return raftlog.Unknown
	}
	o, _ := l.hosts[a].voter.Outcome(id)
	return o
}

// client makes one call after another, as long as the run lasts. It asks again at one agent after the other.
func (l *Lab) client(n int) {
	l.number++
	c := &call{
		op: op{l.random.IntN(3) > 0, uint8(l.random.IntN(keys)), l.number}, client: n, from: l.World.Now(),
	}
	a := l.named[l.random.IntN(len(l.named))]
	if !l.World.IsRunning(a) || l.hosts[a].epoch == 0 {
		l.World.At(l.World.Now().Add(l.opts.Pace), func() { l.client(n) })
		return
	}
	c.id = raftlog.ProposalID{Origin: uint64(n), Number: l.number, Base: l.hosts[a].index()}
	l.calls = append(l.calls, c)
	l.ask(c, a, 0)
}

const (
	askEvery = 100 * time.Millisecond
	// askMost times it is asked; then the client goes on, and does not know.
	askMost = 60
)

func (l *Lab) ask(c *call, a uint32, times int) {
	again := func() { l.client(c.client) }
	var o raftlog.Outcome
	var index uint64
	l.World.Call(a, func(p simnet.Process, now time.Time) {
		h := p.(*host)
		if times%10 == 0 {
			_ = h.step(now, raftlog.Propose{ID: c.id, Data: c.op.encode()})
		} else if times == 45 {
			_ = h.step(now, raftlog.Withdraw{ID: c.id})
		}
		if o, index = h.voter.Outcome(c.id); o == raftlog.Committed {
			l.acknowledged = append(l.acknowledged, acknowledged{l.World.Now(), place{h.epoch, index}})
		}
	})
	switch {
	case o == raftlog.Committed:
		c.done, c.result = true, l.results[c.id]
	case o == raftlog.NotCommitted:
		c.done, c.absent = true, true
	case times >= askMost:
	default:
		if times%10 == 9 {
			a = l.named[l.random.IntN(len(l.named))]
		}
		l.World.At(l.World.Now().Add(askEvery/5), func() { l.ask(c, a, times+1) })
		return
	}
	c.to = l.World.Now()
	wait := time.Duration(l.random.Int64N(int64(2 * l.opts.Pace)))
	l.World.At(l.World.Now().Add(wait), again)
}

// Taken returns how many calls were told as taken, not taken, and not known.
func (l *Lab) Taken() (taken, not, unknown int) {
	for _, c := range l.calls {
		switch {
		case c.done && !c.absent:
			taken++
		case c.done:
			not++
		default:
			unknown++
		}
	}
	return taken, not, unknown
}

// Latencies returns how long the calls that were taken took.
func (l *Lab) Latencies() (all []time.Duration) {
	for _, c := range l.calls {
		if c.done && !c.absent {
			all = append(all, c.to.Sub(c.from))
		}
	}
	return all
}

// Epochs returns how many logs were begun.
func (l *Lab) Epochs() int { return len(l.epochs) }

type input struct {
	write bool
	key   uint8
	value uint64
}

// register is a model of one register.
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

// Linearizable says whether clients saw what one register after the other would have shown them. It is of
// no use where a log was lost.
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
