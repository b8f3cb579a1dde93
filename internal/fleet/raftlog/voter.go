// Package raftlog is a voter of the fleet's log: a few named agents that agree on one order of records.
//
// The agreement is go.etcd.io/raft's (pre-vote, check-quorum, joint changes of voters). This package drives
// it without clock, network, disk or randomness of its own making: Step takes one input with its time, and
// returns what is to be written, sent and applied. The same inputs give the same outputs. Added to raft are
// what it leaves to its user:
//
//   - Who a voter is. An agent's number is not its number in raft: that is given by the log, once, to one
//
// store (told by its nonce). A store that is lost, or a process that keeps nothing, comes back as a new
// one, which the others add and let replace the old one. See hello.go, also for how a log is begun.   -
// Proposals that may be asked for again: done once, and told taken, not taken or not known. See table.go.
// - An instant up to which a voter has applied all that was agreed: FreshAsOf. See fresh.go.
//
// Epochs: a log that is begun has a number, higher than those before it. A new one is begun only by all the
// named voters together, when each of them has nothing, or knows that its log can't go on; hello.go has the
// rule. What is promised: with stores that last, nothing that was told as taken is lost while a majority of
// the stores is there, however often processes end. Volatile, it is not lost while a majority of the
// processes runs; if a majority ends at once the log is lost, and a new one begins, empty, under a higher
// epoch.
//
// An agent must not run two voters at once: the earlier one ends before the later one starts (a lock on the
// folder, or the handover at an upgrade). A process that was replaced and goes on all the same does no harm
// to what is agreed in a log that has a majority, but may to a volatile one that is given up.
//
// Memory is bounded. Messages from outside are checked; one that raft itself can't bear stops the
// voter (Status says Broken), not the process. A Voter is not safe for concurrent use.
package raftlog

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"go.etcd.io/raft/v3"
	"go.etcd.io/raft/v3/raftpb"
)

const (
	// MaxProposalBytes is the most that a proposal may have, in bytes.
	MaxProposalBytes = 48 << 10
	// MaxSnapshotBytes is the most that a snapshot of the state above may have, in bytes, so that with what is known
	// of proposals it goes in one message of 160 KiB. Policies may take 50 KiB of it, orders 32, windows 16 and
	// the ring 22.
	MaxSnapshotBytes = 124 << 10
	// MaxVoters is the most that may be named.
	MaxVoters = 9
	// ProposalWindow is for how many records a proposal may be asked for again: one with an ProposalID.Base is taken up to
	// Base+ProposalWindow, or never.
	ProposalWindow = 256

	maxEntryBytesPerMessage = 4 << 10
	// One message of records is on its way to a voter at a time: what goes in pieces is overtaken by what
	// does not, and raft would take that for a loss, and send all of it again.
	maxInFlightAppends  = 1
	maxUncommittedBytes = 256 << 10
	// snapshotAfterBytes is the size of records in memory after which a snapshot is asked for; retainedBytes is what
	// is kept of those that it replaces, for voters that are a little behind.
	snapshotAfterBytes = 192 << 10
	retainedBytes      = 32 << 10
	// longMessageBytes is the size from which a message is sent again only after some time, as it goes in pieces,
	// which are resent by themselves.
	longMessageBytes = 200
)

// What Step says of an input that it can't take.
var (
	ErrNoLeader      = errors.New("consensus: no leader is known, ask again")
	ErrTooLong       = errors.New("consensus: too long")
	ErrTooOld        = errors.New("consensus: the proposal is too old")
	ErrBusy          = errors.New("consensus: too much is waiting to be agreed")
	ErrStaleSnapshot = errors.New("consensus: the snapshot is not of the last record that was given out")
)

// Config says who a voter is and how fast it is.
type Config struct {
	// Agent is this agent's number, Voters those of all that are named, the same everywhere. An agent that is
	// not named takes part only until it is replaced.
	Agent  uint32
	Voters []uint32
	// Nonce is for a store that has none yet: higher than any that this agent had before, by the Unix time in
	// milliseconds or finer, and never used by another process. Epochs go by it.
	Nonce uint64
	// Seed spreads the times at which voters stand for election.
	Seed uint64
	// Tick is the unit of time; a leader is heard every HeartbeatTicks, and given up after ElectionTicks to
	// twice that. Defaults 100 ms, 2 and 10.
	Tick                          time.Duration
	HeartbeatTicks, ElectionTicks int
	// Volatile says that stores do not last: if a majority of voters is gone for good, those that remain give
	// their log up, so that a new one can begin. Else that is left to staff (AbandonLog).
	Volatile bool
	// FoundingQuietPeriod is how long no living log must have been heard of (LiveLogSeen) before a new one begins. Default 10 s.
	FoundingQuietPeriod time.Duration
}

func (c *Config) applyDefaults() error {
	if c.Tick <= 0 {
		c.Tick = 100 * time.Millisecond
	}
	if c.HeartbeatTicks <= 0 {
		c.HeartbeatTicks = 2
	}
	if c.ElectionTicks <= c.HeartbeatTicks {
		c.ElectionTicks = max(10, 2*c.HeartbeatTicks)
	}
	if c.FoundingQuietPeriod <= 0 {
		c.FoundingQuietPeriod = 10 * time.Second
	}
	return c.setVoters(c.Voters)
}

// name takes the named voters.
func (c *Config) setVoters(voters []uint32) error {
	v := slices.Clone(voters)
	slices.Sort(v)
	if v = slices.Compact(v); len(v) == 0 || len(v) > MaxVoters || len(v) != len(voters) {
		return fmt.Errorf("consensus: %d voters named, some twice or not 1 to %d", len(voters), MaxVoters)
	}
	c.Voters = v
	return nil
}

func (c *Config) electionTimeout() time.Duration { return time.Duration(c.ElectionTicks) * c.Tick }

// Identity is what a store is to the others. Its zero value is that of a store that was never used.
type Identity struct {
	Nonce            uint64 // tells this store from all others, earlier and later ones of the same agent too
	Epoch            uint64 // the log's that it belongs to; 0: none
	ID               uint64 // its number in raft there
	PromisedNonce    uint64 // the nonce of the one voter that may begin a log with it, as long as it has none
	HighestEpochSeen uint64 // the highest epoch that it has heard of
}

// Stored is what was written before the process ended. Its zero value is a new store, or a volatile one.
type Stored struct {
	Identity  Identity
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	Entries   []*raftpb.Entry // in order, without gaps; those up to the snapshot may be missing
}

// Persist is to be written as one, and to be safe on disk, before Persisted with its token is told. The
// next one comes after that. Without a disk, Persisted is told at once.
type Persist struct {
	Token     uint64
	Identity  *Identity
	Reset     bool // all that was written before is void
	HardState *raftpb.HardState
	Snapshot  *raftpb.Snapshot
	// ReplaceEntries says that all entries written before are void: the snapshot came from another voter.
	ReplaceEntries bool
	// DropThrough is the index up to which entries are void, as the snapshot has them.
	DropThrough uint64
	// Entries are appended; those written before at the first one's index and above are void.
	Entries []*raftpb.Entry
}

// Input is one of TimePassed, MessageReceived, Propose, Withdraw, Persisted, Compact, SetVoters, LiveLogSeen and AbandonLog.
type Input interface{}

// TimePassed says that time has passed, no more. It is due at Next.
type TimePassed struct{}

// MessageReceived is a message from another agent's voter.
type MessageReceived struct {
	From  uint32
	Bytes []byte
}

// Propose asks for a record. It may be asked for again with the same ProposalID until Outcome is known.
type Propose struct {
	ID   ProposalID
	Data []byte
}

// Withdraw asks that a proposal be not taken any more if it was not yet: after it, Outcome becomes known
// soon.
type Withdraw struct{ ID ProposalID }

// Persisted says that a Persist is safe.
type Persisted struct{ Token uint64 }

// Compact gives the state above as of the last record that was given out, with its index: on SnapshotWanted.
type Compact struct {
	Index uint64
	Data  []byte
}

// SetVoters gives the named voters, where they have changed.
type SetVoters struct{ Voters []uint32 }

// LiveLogSeen says that a log was heard of, by any way, that was fresh at the time.
type LiveLogSeen struct{ Epoch uint64 }

// AbandonLog is staff's word that this voter's log, which can't go on for want of a majority, is given up.
type AbandonLog struct{}

// Message is one to another agent's voter.
type Message struct {
	To    uint32
	Bytes []byte
}

// Entry is a record that is agreed.
type Entry struct {
	Index, Term uint64
	ID          ProposalID
	Data        []byte
}

// Restore is a state above that replaces all before it: at a start, and where a voter was far behind.
type Restore struct {
	Epoch, Index uint64
	Data         []byte // nil: empty, a log that begins
}

// Output is what follows from an input. Restore comes before Committed.
type Output struct {
	Persist        *Persist
	Messages       []Message
	Restore        *Restore
	Committed      []Entry
	SnapshotWanted bool  // Compact is asked for
	Err            error // the input was not taken, and why
}

// Voter is one agent's.
type Voter struct {
	config   Config
	rng      *rand.Rand
	identity Identity
	now      time.Time
	failure  error

	raftNode     *raft.RawNode // nil: belongs to no log
	storage      *storage
	confState    *raftpb.ConfState
	appliedIndex uint64
	state        logState

	lastLedTerm  uint64    // the last one that this voter led
	lastTick     time.Time // a leader's
	lastContact  time.Time // from a leader, or of another term, or voted
	leaderSeenAt time.Time // heard from a leader, or led
	campaignAt   time.Time

	isWritePending      bool // for Persisted
	writeToken          uint64
	pendingReady        *raft.Ready
	isIdentityUnwritten bool // the identity is to be written
	isResetPending      bool
	pendingSnapshot     *raftpb.Snapshot
	deferredMessages    []Message // not sent before all is written
	resends             []resend
	pendingRestore      *Restore

	joining         joinState
	fresh           freshness
	droppedMessages uint64
}

// New returns a voter with what was stored, or an error if that does not fit together.
func New(cfg Config, now time.Time, stored Stored) (*Voter, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	v := &Voter{config: cfg, now: now, identity: stored.Identity}
	if v.identity.Nonce == 0 {
		if cfg.Nonce == 0 {
			return nil, errors.New("consensus: a new store needs a nonce")
		}
		v.identity.Nonce, v.isIdentityUnwritten, v.isResetPending = cfg.Nonce, true, true
	}
	v.rng = rand.New(rand.NewPCG(cfg.Seed, v.identity.Nonce))
	v.fresh.incarnation = v.rng.Uint64()
	v.joining.hellos = map[uint32]peerHello{}
	if v.identity.ID == 0 {
		return v, nil
	}
	if err := v.recoverPanic(func() error { return v.startRaft(stored) }); err != nil {
		return nil, fmt.Errorf("consensus: what was stored: %w", err)
	}
	return v, nil
}

// Next returns when Step is due without other cause.
func (v *Voter) Next() time.Time {
	if v.failure != nil {
		return v.now.Add(time.Hour)
	}
	next := v.joining.nextHello
	if len(v.resends) > 0 && v.resends[0].at.Before(next) {
		next = v.resends[0].at
	}
	if v.raftNode != nil {
		at := v.campaignAt
		if v.isLeader() {
			at = v.lastTick.Add(v.config.Tick)
		} else if forget := v.lastContact.Add(v.config.electionTimeout()); v.leaderID() != 0 && forget.Before(at) {
			at = forget
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// Step takes one input. Times are this agent's alone, of any clock that goes on while the process stands
// still; they are compared with no other agent's. Times that go backwards stand still.
func (v *Voter) Step(now time.Time, in Input) (out Output) {
	if now.After(v.now) {
		v.now = now
	}
	if v.failure != nil {
		out.Err = v.failure
		return out
	}
	if err := v.recoverPanic(func() error { return v.step(in, &out) }); err != nil {
		out.Err = err
	}
	return out
}

func (v *Voter) step(in Input, out *Output) error {
	err := v.dispatch(in, out)
	v.runDue()
	v.fresh.advance(v.appliedIndex)
	v.drainReady(out)
	if v.pendingRestore != nil {
		out.Restore, v.pendingRestore = v.pendingRestore, nil
	}
	out.SnapshotWanted = v.needsSnapshot()
	return err
}

func (v *Voter) dispatch(in Input, out *Output) error {
	switch in := in.(type) {
	case TimePassed:
	case MessageReceived:
		v.handleMessage(in)
	case Propose:
		return v.propose(kindProposal, in.ID, in.Data)
	case Withdraw:
		return v.propose(kindWithdrawal, in.ID, nil)
	case Persisted:
		v.handlePersisted(in.Token, out)
	case Compact:
		return v.handleCompact(in)
	case SetVoters:
		err := v.config.setVoters(in.Voters)
		for a := range v.joining.hellos {
			if !slices.Contains(v.config.Voters, a) {
				delete(v.joining.hellos, a)
			}
		}
		return err
	case LiveLogSeen:
		v.handleLiveLog(in.Epoch)
	case AbandonLog:
		v.joining.isAbandonRequested = true
	default:
		return fmt.Errorf("consensus: unknown input %T", in)
	}
	return nil
}

// guard turns a panic of raft's, which is how it says that it was given what can't be, into an error, and
// stops the voter: it takes no part any more, as its state may be wrong.
func (v *Voter) recoverPanic(do func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			v.failure = fmt.Errorf("consensus: stopped: %v", p)
			v.raftNode, err = nil, v.failure
		}
	}()
	return do()
}

// Phase is how far a voter is.
type Phase uint8

const (
	// Seeking: it belongs to no log, and asks the others.
	Seeking Phase = iota
	// Learning: it was added, and gets what it lacks.
	Learning
	// Voting: it is a voter, with a leader.
	Voting
	// Leading: it is the leader.
	Leading
	// Leaderless: it is a voter, and knows no leader.
	Leaderless
	// Stuck: a majority of the voters of its log is gone for good. Nothing is agreed any more.
	Stuck
	// Broken: it stopped, as its state or a message was not what it can be.
	Broken
)

var phaseNames = [...]string{"seeking", "learning", "voting", "leading", "leaderless", "stuck", "broken"}

func (p Phase) String() string { return phaseNames[p] }

// Member is a voter, or one that is to be, of the log.
type Member struct {
	ID    uint64
	Agent uint32
	Nonce uint64
	Votes bool
}

// Status is what a voter knows.
type Status struct {
	Phase                     Phase
	Identity                  Identity
	Term                      uint64
	Leader                    uint32 // its agent; HasLeader says that there is one
	HasLeader                 bool
	AppliedIndex, CommitIndex uint64
	Members                   []Member
	IsJointConfig             bool // a change of voters is under way: two majorities are needed
	// FreshAsOf: all that was told as taken anywhere up to then is applied here, by the clock of Step.
	FreshAsOf time.Time
	// Dropped messages could not be read, or were not for this voter.
	Dropped uint64
	Err     error
}

// Status returns what the voter knows.
func (v *Voter) Status() Status {
	s := Status{Identity: v.identity, AppliedIndex: v.appliedIndex, FreshAsOf: v.fresh.freshAsOf, Dropped: v.droppedMessages, Err: v.failure}
	if s.Phase = v.phase(); v.raftNode == nil {
		return s
	}
	b := v.raftNode.BasicStatus()
	s.Term, s.CommitIndex, s.IsJointConfig = b.GetTerm(), b.GetCommit(), len(v.confState.GetVotersOutgoing()) > 0
	if m := v.state.member(b.Lead); m != nil {
		s.Leader, s.HasLeader = m.agent, true
	}
	for _, m := range v.state.members {
		s.Members = append(s.Members, Member{m.id, m.agent, m.nonce, slices.Contains(v.confState.GetVoters(), m.id)})
	}
	return s
}

func (v *Voter) phase() Phase {
	switch {
	case v.failure != nil:
		return Broken
	case v.raftNode == nil:
		return Seeking
	case v.isStuck():
		return Stuck
	case v.isLeader():
		return Leading
	case !v.isVoter():
		return Learning
	case v.leaderID() == 0:
		return Leaderless
	}
	return Voting
}

// Outcome returns what became of a proposal, as far as this voter has applied the log, and the index if
// taken.
func (v *Voter) Outcome(id ProposalID) (Outcome, uint64) { return v.state.outcome(id, v.appliedIndex) }

func (v *Voter) leaderID() uint64 {
	if v.raftNode == nil {
		return 0
	}
	return v.raftNode.BasicStatus().Lead
}

func (v *Voter) isLeader() bool {
	return v.raftNode != nil && v.raftNode.BasicStatus().RaftState == raft.StateLeader
}

func (v *Voter) isVoter() bool {
	return slices.Contains(v.confState.GetVoters(), v.identity.ID) ||
		slices.Contains(v.confState.GetVotersOutgoing(), v.identity.ID)
}
