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

// ClockReading is a reading of the machine's clocks; see lease.ClockReading.
type ClockReading = lease.ClockReading

// Settings are the settings of one agent. Agents, Voters, Terms and Machines must be the same at all agents.
type Settings struct {
	Self, Agents int
	Voters       []int // the agents that keep the log; empty: the node does nothing
	// NonVoting excludes this agent from voting although it is configured as a voter, as its store cannot be
	// used.
	NonVoting bool
	// Incarnation identifies this process. It is higher than that of the agent's previous process, such as the
	// start time in Unix milliseconds.
	Incarnation uint64
	Seed        uint64 // different for each process
	Terms       lease.Terms
	// ReadyTimeout is the time after which an agent reports that it is ready, even if it has found no log or
	// reaches no agent that has it; default 2 s.
	ReadyTimeout time.Duration
	// IsDurable means that the data of Output.Persist is written to a folder that outlives the process.
	// Otherwise a voter that is restarted counts as a new voter.
	IsDurable bool
	Stored    raftlog.Stored // contents of that folder
	// MemoryBytes bounds the messages in flight, and BytesPerSecond and BurstBytes the bytes sent. Zero values
	// select the defaults of package fragment.
	MemoryBytes, BytesPerSecond, BurstBytes int
	// Machines are the state machines, in the order of their numbers in records. Later builds append theirs.
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

// IsVoter reports whether this agent is configured as a voter and not excluded by NonVoting.
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
