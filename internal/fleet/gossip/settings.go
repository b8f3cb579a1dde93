package gossip

import "time"

// Settings are the settings of one agent. Zero values select the defaults.
type Settings struct {
	Agents    int // number of agents, which are numbered from 0
	Self      int
	Voters    []int
	Seed      uint64 // different for each agent and process
	NeverPull bool   // for a voter whose replica is filled by consensus

	Fanout          int           // number of agents that a push of new records is sent to; default 3
	PushInterval    time.Duration // first interval between pushes of new records, then doubled; default 50 ms
	IdleInterval    time.Duration // interval between pushes without new records; default 1.5 s
	ReplyTimeout    time.Duration // maximum timeout of a pull; default 150 ms
	MaxMessageBytes int           // maximum size of the records or of a chunk in a message; default 1024
	MaxPushBytes    int           // maximum size of a message that pushes the newest records; default 200
	BytesPerSecond  int           // maximum rate of the bytes served, and of those pulled; default 64 KiB
	AgentQuorum     int           // number of trusted replies that replace the reply of a voter; default 3
	CatchUpDeadline time.Duration // maximum time in the state Asking after the start; default 3 s
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
