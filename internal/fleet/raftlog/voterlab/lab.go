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

// Options determine a run. Zero fields select the defaults.
type Options struct {
	Seed     uint64
	Voters   int     // default 3
	Agents   int     // the first ones are voters; default Voters + 1, with one spare to be configured later
	Volatile bool    // stores do not outlive processes
	Loss     float64 // fraction of the messages lost between any two agents, 0 to 1
	// WriteTime is the maximum duration of a write; default 5 ms.
	WriteTime time.Duration
	// SnapshotAfter is the number of records after which a snapshot is made; default 20.
	SnapshotAfter int
	// CallInterval is the mean time between two calls of a client; default 200 ms; negative: no clients.
	CallInterval time.Duration
}

// Lab is a run of a simulated cluster of voters.
type Lab struct {
	World *simnet.Cluster

	opts         Options
	rng          *rand.Rand
	configured   []uint32 // configured voters
	disks        []*raftlog.Stored
	hosts        []*host
	incarnations uint64
	messages     uint64
	violations   []string

	chains           map[epochPosition]uint64                        // hash over all records, by the index
	results          map[raftlog.ProposalID]uint64                   // result of a read, by its proposal
	leaders          map[epochPosition]uint64                        // raft IDs by the epoch and the term
	applied          map[epochPosition]map[raftlog.ProposalID]uint64 // indexes of the proposals, by the epoch
	acknowledgements []acknowledgement
	calls            []*call
	epochs           map[uint64]bool
	lastNumber       uint64 // last number of a proposal
}

// epochPosition is an index or a term in an epoch.
type epochPosition struct{ epoch, at uint64 }

// acknowledgement is the report to a client that a proposal was committed: its time, and the record's index.
type acknowledgement struct {
	at time.Time
	epochPosition
}

// call is an operation of a client.
type call struct {
	op                         op
	id                         raftlog.ProposalID
	client                     int
	from, to                   time.Time // start and end
	hasOutcome, isNotCommitted bool      // its outcome is known; it was not committed
	result                     uint64
}

// Start is the time at which all runs begin.
var Start = time.Unix(1_800_000_000, 0)

// New returns a run that has not started yet.
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
	if o.CallInterval == 0 {
		o.CallInterval = 200 * time.Millisecond
	}
	l := &Lab{
		opts: o, rng: rand.New(rand.NewPCG(o.Seed, 0x1ab)), disks: make([]*raftlog.Stored, o.Agents),
		hosts: make([]*host, o.Agents), chains: map[epochPosition]uint64{},
		results: map[raftlog.ProposalID]uint64{}, leaders: map[epochPosition]uint64{},
		applied: map[epochPosition]map[raftlog.ProposalID]uint64{}, epochs: map[uint64]bool{},
	}
	for a := range o.Voters {
		l.configured = append(l.configured, uint32(a))
	}
	l.World = simnet.NewCluster(o.Seed, Start, o.Agents, l.start)
	l.World.AfterStep = l.check
	l.ClearNetworkFaults()
	for a := range uint32(o.Agents) {
		l.World.SetClock(a, clockOffset(a))
	}
	for _, a := range l.configured {
		l.World.Start(a)
	}
	if o.CallInterval > 0 {
		for c := range 3 {
			l.World.At(Start.Add(time.Second), func() { l.startCall(c) })
		}
	}
	return l
}

// ClearNetworkFaults ends all faults of the network except for the loss set by the options.
func (l *Lab) ClearNetworkFaults() {
	l.World.ChangeAll(func(link *simnet.Link) {
		*link = simnet.Link{Loss: l.opts.Loss, Delay: 500 * time.Microsecond, Jitter: time.Millisecond}
	})
}

// writeTime draws the duration of a write.
func (l *Lab) writeTime() time.Duration {
	return time.Duration(l.rng.Int64N(int64(l.opts.WriteTime))) + time.Microsecond
}

func (l *Lab) addViolation(format string, args ...any) {
	if len(l.violations) < 20 {
		l.violations = append(l.violations, l.World.Now().Sub(Start).String()+" "+fmt.Sprintf(format, args...))
	}
}

// Violations returns descriptions of the violated guarantees, with their times; at most 20 are kept.
func (l *Lab) Violations() []string { return l.violations }

// Messages returns the number of messages that voters have sent each other.
func (l *Lab) Messages() uint64 { return l.messages }

// Status returns the status of an agent's voter, or false if it is not running.
func (l *Lab) Status(a uint32) (s raftlog.Status, isRunning bool) {
	if !l.World.IsRunning(a) {
		return s, false
	}
	return l.hosts[a].voter.Status(), true
}

// Leader returns the agent that leads in the highest epoch and term, of those that are not paused, or false
// if there is none.
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

// AreVotersHealthy reports whether every configured voter is running, knows a leader, and sees exactly the
// configured voters as the members of one log.
func (l *Lab) AreVotersHealthy() bool {
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

// Configure replaces the configured voters. Each agent adopts the change when it next runs.
func (l *Lab) Configure(voters []uint32) {
	l.configured = voters
	for _, a := range voters {
		l.World.Start(a)
	}
}

// KillAndEraseDisk ends an agent's process and erases its disk.
func (l *Lab) KillAndEraseDisk(a uint32) {
	l.World.Kill(a)
	l.disks[a] = nil
}

// Propose lets an agent propose a write. It returns the ID of the proposal, and an error if it is rejected.
func (l *Lab) Propose(a uint32, key uint8, value uint64) (id raftlog.ProposalID, err error) {
	l.lastNumber++
	id = raftlog.ProposalID{Origin: 99, Number: l.lastNumber, Base: l.hosts[a].index()}
	l.World.Call(a, func(p simnet.Process, now time.Time) {
		err = p.(*host).stepErr(now, raftlog.Propose{ID: id, Data: op{true, key, value}.encode()})
	})
	return id, err
}

// Outcome returns the outcome of a proposal as an agent's voter knows it; Unknown if the agent is not
// running.
func (l *Lab) Outcome(a uint32, id raftlog.ProposalID) raftlog.Outcome {
	if !l.World.IsRunning(a) {
		return raftlog.Unknown
	}
	o, _ := l.hosts[a].voter.Outcome(id)
	return o
}

// startCall starts the next call of a client. When a call ends, the client starts another one. A call is
// repeated at one agent after the other.
func (l *Lab) startCall(n int) {
	l.lastNumber++
	c := &call{
		op: op{l.rng.IntN(3) > 0, uint8(l.rng.IntN(registerCount)), l.lastNumber}, client: n, from: l.World.Now(),
	}
	a := l.configured[l.rng.IntN(len(l.configured))]
	if !l.World.IsRunning(a) || l.hosts[a].epoch == 0 {
		l.World.At(l.World.Now().Add(l.opts.CallInterval), func() { l.startCall(n) })
		return
	}
	c.id = raftlog.ProposalID{Origin: uint64(n), Number: l.lastNumber, Base: l.hosts[a].index()}
	l.calls = append(l.calls, c)
	l.poll(c, a, 0)
}

const (
	// pollInterval is the time between two polls for a call's outcome.
	pollInterval = 20 * time.Millisecond
	// maxPolls is the number of polls after which the client continues without knowing the outcome.
	maxPolls = 60
	// pollsPerAgent is the number of polls at an agent before the call is repeated at another one.
	pollsPerAgent = 10
	// withdrawAtPoll is the number of the poll at which the call is withdrawn.
	withdrawAtPoll = 45
)

// poll proposes or withdraws a call if that is due, and polls for its outcome.
func (l *Lab) poll(c *call, a uint32, polls int) {
	nextCall := func() { l.startCall(c.client) }
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
			l.acknowledgements = append(l.acknowledgements,
				acknowledgement{l.World.Now(), epochPosition{h.epoch, index}})
		}
	})
	switch {
	case o == raftlog.Committed:
		c.hasOutcome, c.result = true, l.results[c.id]
	case o == raftlog.NotCommitted:
		c.hasOutcome, c.isNotCommitted = true, true
	case polls >= maxPolls:
	default:
		if polls%pollsPerAgent == pollsPerAgent-1 {
			a = l.configured[l.rng.IntN(len(l.configured))]
		}
		l.World.At(l.World.Now().Add(pollInterval), func() { l.poll(c, a, polls+1) })
		return
	}
	c.to = l.World.Now()
	wait := time.Duration(l.rng.Int64N(int64(2 * l.opts.CallInterval)))
	l.World.At(l.World.Now().Add(wait), nextCall)
}

// Outcomes returns the numbers of calls that were reported as committed, that were reported as not committed,
// and whose outcome is unknown.
func (l *Lab) Outcomes() (committed, notCommitted, unknown int) {
	for _, c := range l.calls {
		switch {
		case c.hasOutcome && !c.isNotCommitted:
			committed++
		case c.hasOutcome:
			notCommitted++
		default:
			unknown++
		}
	}
	return committed, notCommitted, unknown
}

// Latencies returns the durations of the committed calls.
func (l *Lab) Latencies() (all []time.Duration) {
	for _, c := range l.calls {
		if c.hasOutcome && !c.isNotCommitted {
			all = append(all, c.to.Sub(c.from))
		}
	}
	return all
}

// Epochs returns the number of logs in which a record was applied.
func (l *Lab) Epochs() int { return len(l.epochs) }

// input is the input of an operation in the model.
type input struct {
	write bool
	key   uint8
	value uint64
}

// registerModel is the linearizability model of the registers, each checked by itself.
var registerModel = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		parts := make([][]porcupine.Operation, registerCount)
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

// Linearizable reports whether the calls of the clients were linearizable. The result is meaningless if a log
// was lost.
func (l *Lab) Linearizable() bool {
	var history []porcupine.Operation
	end := l.World.Now().Add(time.Hour).Sub(Start)
	for i, c := range l.calls {
		if c.isNotCommitted || !c.hasOutcome && !c.op.write {
			continue
		}
		o := porcupine.Operation{
			ClientId: i, Input: input{c.op.write, c.op.key, c.op.value}, Output: c.result,
			Call: int64(c.from.Sub(Start)), Return: int64(c.to.Sub(Start)),
		}
		if !c.hasOutcome {
			o.Return = int64(end)
		}
		history = append(history, o)
	}
	return porcupine.CheckOperationsTimeout(registerModel, history, 10*time.Second) != porcupine.Illegal
}
