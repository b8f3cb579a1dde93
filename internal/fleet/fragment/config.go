package fragment

import "time"

// Config bounds the memory and the traffic of a Transport. Zero values select the defaults.
type Config struct {
	// Agents is the number of agents, which are numbered from 0.
	Agents int
	// Incarnation identifies this process. It is higher at each start, such as the start in Unix milliseconds.
	Incarnation uint64
	// MemoryBytes bounds the long messages being sent and received, half for each; default 1 MiB.
	MemoryBytes int
	// BytesPerSecond and BurstBytes bound the bytes sent; defaults 128 KiB and 64 KiB.
	BytesPerSecond, BurstBytes int
	// ResendAfter is the maximum time without an acknowledgement after which a long message is resent for the
	// first time. The time is shorter if earlier acknowledgements arrived sooner, and doubles with each resend.
	// Default 200 ms.
	ResendAfter time.Duration
	// GiveUpAfter is the time after which an incomplete long message is given up; default 10 s.
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
