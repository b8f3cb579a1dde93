package membership

import "time"

// Settings are the settings of one agent. Zero values stand for the defaults.
type Settings struct {
	Agents         int // numbers 0 to Agents-1, at most 65535
	Self           int
	StartedAt      time.Duration // of the process, in Unix time: it determines the incarnation
	Seed           uint64
	SilenceTimeout time.Duration // without contact; default 25 s and 200 ms for each agent
	ShrinkDelay    time.Duration // until PresentCount reports fewer agents; default 10 s
}

const (
	maxAgents             = 1<<16 - 1
	baseSilenceTimeout    = 25 * time.Second
	silenceTimeoutOfAgent = 200 * time.Millisecond // added for each agent
	defaultShrinkDelay    = 10 * time.Second
)

func (s Settings) withDefaults() Settings {
	s.Agents = min(max(s.Agents, 1), maxAgents)
	s.Self = min(max(s.Self, 0), s.Agents-1)
	if s.SilenceTimeout <= 0 {
		s.SilenceTimeout = baseSilenceTimeout + time.Duration(s.Agents)*silenceTimeoutOfAgent
	}
	if s.ShrinkDelay <= 0 {
		s.ShrinkDelay = defaultShrinkDelay
	}
	return s
}

// Stats counts since the start.
type Stats struct {
	Dropped  uint64 // updates and events that were malformed, or from or of unknown agents
	Refuted  uint64 // false reports about this agent
	Restarts uint64 // of other agents, seen
}
