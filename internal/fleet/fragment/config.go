package fragment

import "time"

// Config bounds what a Transport holds and sends. Zero fields stand for the defaults.
type Config struct {
	// Agents is the number of agents: their numbers are below it.
	Agents int
	// Incarnation numbers this process, higher at each start, such as its start in Unix milliseconds.
	Incarnation uint64
	// MemoryBytes bounds the long messages being sent and received, half for each; default 1 MiB.
	MemoryBytes int
	// BytesPerSecond and BurstBytes pace what is sent; defaults 128 KiB and 64 KiB.
	BytesPerSecond, BurstBytes int
	// ResendAfter is the maximum time without an acknowledgement until a long message is first resent; it is
	// shorter where acknowledgements come sooner, and doubles with each resend. Default 200 ms.
	ResendAfter time.Duration
	// GiveUpAfter is how long the delivery of a long message is tried; default 10 s.
	GiveUpAfter time.Duration
}

// Defaults of Config.
const (
	defaultMemoryBytes    = 1 << 20
	defaultBytesPerSecond = 128 << 10
	defaultBurstBytes     = 64 << 10
	defaultResendAfter    = 200 * time.Millisecond
	defaultGiveUpAfter    = 10 * time.Second
)

func (c Config) withDefaults() Config {
	setDefault := func(v *int, d int) {
		if *v <= 0 {
			*v = d
		}
	}
	setDefault(&c.MemoryBytes, defaultMemoryBytes)
	setDefault(&c.BytesPerSecond, defaultBytesPerSecond)
	setDefault(&c.BurstBytes, defaultBurstBytes)
	if c.ResendAfter <= 0 {
		c.ResendAfter = defaultResendAfter
	}
	if c.GiveUpAfter <= 0 {
		c.GiveUpAfter = defaultGiveUpAfter
	}
	return c
}
