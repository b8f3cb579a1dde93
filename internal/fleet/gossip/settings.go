package gossip

import "time"

// Settings are the settings of one agent. Zero values stand for the defaults.
type Settings struct {
	Agents    int // numbers 0 to Agents-1
	Self      int
	Voters    []int
	Seed      uint64 // different at each agent and process
	NeverPull bool   // for a voter whose replica is filled by consensus

	Fanout          int           // agents to which new records are pushed at once; default 3
	PushInterval    time.Duration // between the first pushes of new records, doubled with each; default 50 ms
	IdleInterval    time.Duration // between pushes when nothing changes; default 1.5 s
	ReplyTimeout    time.Duration // maximum wait for a reply; default 150 ms
	MaxMessageBytes int           // of records or of a snapshot in one message; default 1024
	MaxPushBytes    int           // of a message that pushes the newest records; default 200
	BytesPerSecond  int           // served, and pulled, each by itself; default 64 KiB
	AgentQuorum     int           // replies of agents that count as much as one voter's; default 3
	CatchUpDeadline time.Duration // for catching up at the start; default 3 s
}

// Defaults of Settings.
const (
	defaultFanout          = 3
	defaultPushInterval    = 50 * time.Millisecond
	defaultIdleInterval    = 1500 * time.Millisecond
	defaultReplyTimeout    = 150 * time.Millisecond
	defaultMaxMessageBytes = 1024
	defaultMaxPushBytes    = 200
	defaultBytesPerSecond  = 64 << 10
	defaultAgentQuorum     = 3
	defaultCatchUpDeadline = 3 * time.Second
)

func (s Settings) withDefaults() Settings {
	setNumber := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setDuration := func(v *time.Duration, d time.Duration) {
		if *v <= 0 {
			*v = d
		}
	}
	setNumber(&s.Fanout, defaultFanout)
	setNumber(&s.MaxMessageBytes, defaultMaxMessageBytes)
	setNumber(&s.MaxPushBytes, defaultMaxPushBytes)
	setNumber(&s.BytesPerSecond, defaultBytesPerSecond)
	setNumber(&s.AgentQuorum, defaultAgentQuorum)
	setDuration(&s.PushInterval, defaultPushInterval)
	setDuration(&s.IdleInterval, defaultIdleInterval)
	setDuration(&s.ReplyTimeout, defaultReplyTimeout)
	setDuration(&s.CatchUpDeadline, defaultCatchUpDeadline)
	return s
}
