package raftlog

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Limits of a log.
const (
	// MaxProposalBytes is the maximum size of a proposal's data.
	MaxProposalBytes = 48 << 10
	// MaxSnapshotBytes is the maximum size of the application's state in a snapshot. Together with the log's own
	// state, it has to fit into one fragmented message of 160 KiB.
	MaxSnapshotBytes = 124 << 10
	// MaxVoters is the maximum number of configured voters.
	MaxVoters = 9
	// ProposalWindow is the number of records within which a proposal has to be committed: a proposal is
	// committed at an index of at most ProposalID.Base+ProposalWindow, or never.
	ProposalWindow = 256
)

// Reasons for which Step rejects an input.
var (
	// ErrNoLeader reports that no leader is known. The caller may retry the input.
	ErrNoLeader = errors.New("raftlog: no leader is known, retry")
	// ErrTooLong reports that a proposal or a snapshot exceeds its maximum size.
	ErrTooLong = errors.New("raftlog: data exceeds the maximum size")
	// ErrTooOld reports that a proposal's window has passed, or that the proposal was withdrawn.
	ErrTooOld = errors.New("raftlog: the proposal is too old")
	// ErrBusy reports that too many bytes are waiting to be committed.
	ErrBusy = errors.New("raftlog: too much data is waiting to be committed")
	// ErrStaleSnapshot reports that a snapshot does not end at the last applied record.
	ErrStaleSnapshot = errors.New("raftlog: the snapshot does not end at the last applied record")
)

// Defaults of Config.
const (
	defaultTick                = 100 * time.Millisecond
	defaultHeartbeatTicks      = 2
	defaultMinElectionTicks    = 10
	defaultFoundingQuietPeriod = 10 * time.Second
)

// Config is the configuration of one voter. Zero durations and tick counts select the defaults.
type Config struct {
	// Agent is this agent's number.
	Agent uint32
	// Voters are the numbers of all configured voters, 1 to MaxVoters of them, the same at every agent. An agent
	// that is not among them takes part in the log only until it is replaced.
	Voters []uint32
	// Nonce identifies a store that has no nonce yet. It has to be higher than any nonce that this agent used
	// before (the Unix time in milliseconds or finer) and must not be used by another process. Epochs are
	// derived from it.
	Nonce uint64
	// Seed is the seed of the random election timeouts.
	Seed uint64
	// Tick is raft's unit of time; default 100 ms.
	Tick time.Duration
	// HeartbeatTicks is the number of ticks between a leader's heartbeats; default 2. ElectionTicks is the
	// minimum election timeout in ticks, and the maximum is twice that; default 10, or twice HeartbeatTicks if
	// that is more. It has to exceed HeartbeatTicks.
	HeartbeatTicks, ElectionTicks int
	// Volatile reports that stores do not outlive processes: if a majority of the voters is permanently lost,
	// the remaining ones abandon their log, so that a new one can be founded. Without Volatile, a log is
	// abandoned only with an operator's consent (AbandonLog).
	Volatile bool
	// FoundingQuietPeriod is the minimum time between the last observation of a live log (LiveLogSeen) and the
	// founding of a new one; default 10 s.
	FoundingQuietPeriod time.Duration
}

func (c *Config) applyDefaults() error {
	if c.Tick <= 0 {
		c.Tick = defaultTick
	}
	if c.HeartbeatTicks <= 0 {
		c.HeartbeatTicks = defaultHeartbeatTicks
	}
	if c.ElectionTicks <= c.HeartbeatTicks {
		c.ElectionTicks = max(defaultMinElectionTicks, 2*c.HeartbeatTicks)
	}
	if c.FoundingQuietPeriod <= 0 {
		c.FoundingQuietPeriod = defaultFoundingQuietPeriod
	}
	return c.setVoters(c.Voters)
}

// setVoters replaces the configured voters, sorted by number.
func (c *Config) setVoters(voters []uint32) error {
	sorted := slices.Clone(voters)
	slices.Sort(sorted)
	sorted = slices.Compact(sorted)
	if len(sorted) == 0 || len(sorted) > MaxVoters || len(sorted) != len(voters) {
		return fmt.Errorf("raftlog: cannot use %d voters: need 1 to %d different ones", len(voters), MaxVoters)
	}
	c.Voters = sorted
	return nil
}

func (c *Config) electionTimeout() time.Duration { return time.Duration(c.ElectionTicks) * c.Tick }
