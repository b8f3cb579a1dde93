package fleet

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/raftlog"
)

const (
	// defaultReadyTimeout is the default of Settings.ReadyTimeout.
	defaultReadyTimeout = 2 * time.Second
	// maxVoters is the maximum number of voters of a fleet.
	maxVoters = 7
)

// ClockReading is what the machine's clocks show; see lease.ClockReading.
type ClockReading = lease.ClockReading

// Settings are the settings of one agent. Agents, Voters, Terms and Machines have to be the same at all
// agents.
type Settings struct {
	Self, Agents int
	Voters       []int // the agents that keep the log; none: the node does nothing
	// NonVoting reports that this agent is configured as a voter and is none, as its store cannot be used.
	NonVoting bool
	// Incarnation numbers this process: its start in Unix milliseconds, or anything higher than before.
	Incarnation uint64
	Seed        uint64 // different at each process
	Terms       lease.Terms
	// ReadyTimeout is after what time an agent that has found no log, or reaches nobody who has it, reports that
	// it is ready nevertheless; default 2 s.
	ReadyTimeout time.Duration
	// IsDurable reports that what Persist requests is written to a folder that outlives the process. Otherwise a
	// voter that is restarted is a new one.
	IsDurable bool
	Stored    raftlog.Stored // what that folder contains
	// MemoryBytes bounds the messages in flight; BytesPerSecond and BurstBytes pace what is sent. 0: the
	// defaults of package fragment.
	MemoryBytes, BytesPerSecond, BurstBytes int
	// Machines are by their number in records; those of later builds follow.
	Machines    []StateMachine
	Application Application // nil: none
}

func (s Settings) withDefaults() Settings {
	s.Terms = s.Terms.WithDefaults()
	if s.ReadyTimeout <= 0 {
		s.ReadyTimeout = defaultReadyTimeout
	}
	return s
}

// IsVoter reports whether this agent is one of the voters, and can be.
func (s Settings) IsVoter() bool { return slices.Contains(s.Voters, s.Self) && !s.NonVoting }

// Validate returns an error that describes the first invalid setting.
func (s Settings) Validate() error {
	if s.Agents < 1 || s.Self < 0 || s.Self >= s.Agents {
		return fmt.Errorf("fleet: agent %d is not one of %d agents", s.Self, s.Agents)
	}
	for i, v := range s.Voters {
		if v < 0 || v >= s.Agents || slices.Contains(s.Voters[:i], v) {
			return fmt.Errorf("fleet: voter %d is not an agent, or is configured twice", v)
		}
	}
	if n := len(s.Voters); n > 0 && n%2 == 0 || n > maxVoters {
		return fmt.Errorf("fleet: %d voters are configured: need 1, 3, 5 or 7", n)
	}
	if err := s.Terms.WithDefaults().Validate(); err != nil {
		return fmt.Errorf("fleet: %w", err)
	}
	return nil
}
