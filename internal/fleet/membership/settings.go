package membership

import "time"

// Settings are the settings of one agent. Zero values select the defaults.
type Settings struct {
	Agents         int // number of agents, which are numbered from 0; at most 65535
	Self           int
	StartedAt      time.Duration // start of the process in Unix time, which determines the incarnation
	Seed           uint64
	SilenceTimeout time.Duration // time without contact of Silent agents; default 25 s + 200 ms per agent
	ShrinkDelay    time.Duration // time until PresentCount reports a decrease; default 10 s
}

const (
	maxAgents              = 1<<16 - 1
	baseSilenceTimeout     = 25 * time.Second
	silenceTimeoutPerAgent = 200 * time.Millisecond // added to the base for each agent of the fleet
	defaultShrinkDelay     = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	s.Agents = min(max(s.Agents, 1), maxAgents)
	s.Self = min(max(s.Self, 0), s.Agents-1)
	if s.SilenceTimeout <= 0 {
		s.SilenceTimeout = baseSilenceTimeout + time.Duration(s.Agents)*silenceTimeoutPerAgent
	}
	if s.ShrinkDelay <= 0 {
		s.ShrinkDelay = defaultShrinkDelay
	}
	return s
}

// Stats contains counters since the start.
type Stats struct {
	Dropped  uint64 // updates and events that were malformed, or from or about unknown agents
	Refuted  uint64 // false reports about this agent that it refuted
	Restarts uint64 // detected restarts of other agents
}
