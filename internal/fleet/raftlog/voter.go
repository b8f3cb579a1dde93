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

// Voter is the voter of one agent.
type Voter struct {
	config   Config
	rng      *rand.Rand
	identity Identity
	now      time.Time
	failure  error // reason why the voter has stopped; nil: it runs

	// The log. raftNode is nil while the store belongs to no log.
	raftNode     *raft.RawNode
	storage      *storage
	confState    *raftpb.ConfState
	appliedIndex uint64
	state        logState

	// Elections.
	lastLedTerm  uint64    // last term that this voter led
	lastTick     time.Time // last raft tick as the leader
	lastContact  time.Time // last message of the leader or of another term, or last vote
	leaderSeenAt time.Time // last message of the leader, or last time as the leader
	campaignAt   time.Time

	// Writes: one at a time.
	isWritePending      bool
	writeToken          uint64
	pendingReady        *raft.Ready
	isIdentityUnwritten bool
	isResetPending      bool
	pendingSnapshot     *raftpb.Snapshot // own snapshot that is not written yet
	pendingRestore      *Restore         // not returned yet

	deferredMessages []Message // waiting until the state that they depend on is written
	resends          []resend
	routes           routes
	longAppends      map[uint64]longAppend // last long append, by the receiver's raft ID
	snapshotsSentAt  map[uint64]time.Time  // snapshots in flight, by the receiver's raft ID

	joining         joinState
	fresh           freshness
	droppedMessages uint64
}

// New returns a voter that continues from a store. It returns an error for an invalid configuration or an
// inconsistent store.
func New(cfg Config, now time.Time, stored Stored) (*Voter, error) {
	if err := cfg.applyDefaults(); err != nil {
		return nil, err
	}
	v := &Voter{config: cfg, now: now, identity: stored.Identity}
	if v.identity.Nonce == 0 {
		if cfg.Nonce == 0 {
			return nil, errors.New("raftlog: a new store needs a nonce")
		}
		v.identity.Nonce, v.isIdentityUnwritten, v.isResetPending = cfg.Nonce, true, true
	}
	v.rng = rand.New(rand.NewPCG(cfg.Seed, v.identity.Nonce))
	v.fresh.incarnation = v.rng.Uint64()
	v.joining.hellos = map[uint32]receivedHello{}
	if v.identity.ID == 0 {
		return v, nil
	}
	if err := v.recoverPanic(func() error { return v.startRaft(stored) }); err != nil {
		return nil, fmt.Errorf("raftlog: cannot continue from the store: %w", err)
	}
	return v, nil
}

// Next returns the time at which Step is due with TimePassed if no other input arrives earlier.
func (v *Voter) Next() time.Time {
	if v.failure != nil {
		return v.now.Add(time.Hour)
	}
	next := v.joining.nextHello
	if len(v.resends) > 0 && v.resends[0].at.Before(next) {
		next = v.resends[0].at
	}
	if v.raftNode != nil {
		if at := v.nextRaftTimer(); at.Before(next) {
			next = at
		}
	}
	return next
}

// Step processes one input at the time now, and returns the resulting output. The time is of any clock of
// this agent that keeps running while the process is suspended, and is never compared with another agent's. A
// time before that of the previous Step counts as equal to it.
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
	v.runTimers()
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
		v.handlePersisted(in, out)
	case Compact:
		return v.handleCompact(in)
	case SetVoters:
		return v.handleSetVoters(in)
	case LiveLogSeen:
		v.handleLiveLogSeen(in)
	case AbandonLog:
		v.joining.isAbandonRequested = true
	default:
		return fmt.Errorf("raftlog: unknown input %T", in)
	}
	return nil
}

func (v *Voter) handleSetVoters(in SetVoters) error {
	err := v.config.setVoters(in.Voters)
	for a := range v.joining.hellos {
		if !slices.Contains(v.config.Voters, a) {
			delete(v.joining.hellos, a)
		}
	}
	return err
}

// recoverPanic calls do and turns a panic into an error: raft panics on input that contradicts its state. The
// voter then stops, as its state may be wrong.
func (v *Voter) recoverPanic(do func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			v.failure = fmt.Errorf("raftlog: stopped: %v", p)
			v.raftNode, err = nil, v.failure
		}
	}()
	return do()
}

// Outcome returns the outcome of a proposal as far as this voter has applied the log, and its index if it was
// committed.
func (v *Voter) Outcome(id ProposalID) (Outcome, uint64) { return v.state.outcome(id, v.appliedIndex) }

// leaderID returns the raft ID of the leader, or 0 if none is known.
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
