package lease

import "time"

// clockCheck compares this machine's Unix clock with those of the voters.
type clockCheck struct {
	self          int
	voters        []int
	maxClockError time.Duration

	// unixOffset is the offset of the Unix clock to the steady clock when a voter's grant last confirmed the
	// Unix clock.
	unixOffset        time.Duration
	isUnixOffsetKnown bool
	differingVoters   map[int]bool // voters whose last grant contradicted this machine's Unix clock
}

func newClockCheck(settings HolderSettings) clockCheck {
	return clockCheck{
		self: settings.Self, voters: settings.Voters, maxClockError: settings.Terms.MaxClockError,
		differingVoters: map[int]bool{},
	}
}

// compare checks the Unix clock against the reading in a voter's grant, which was taken between the request
// and now. A grant by this agent itself is ignored, as it is of the same clock.
func (c *clockCheck) compare(now ClockReading, o outstandingRequest, g Grant) {
	if o.voter == c.self {
		return
	}
	slack := 2*c.maxClockError + now.Mono - o.sent.Mono
	earliest, latest := o.sent.Unix-slack, now.Unix+slack
	c.differingVoters[o.voter] = g.Unix < earliest || g.Unix > latest
	if !c.differingVoters[o.voter] {
		c.unixOffset, c.isUnixOffsetKnown = now.Unix-now.Mono, true
	}
}

// isOff reports whether the Unix clock was set since it was last confirmed, or differs from the clocks of
// most other voters.
func (c *clockCheck) isOff(now ClockReading) bool {
	if c.isUnixOffsetKnown && (now.Unix-now.Mono-c.unixOffset).Abs() > c.maxClockError {
		return true // the clock was set since then
	}
	off, others := 0, 0
	for _, v := range c.voters {
		if v != c.self {
			others++
			if c.differingVoters[v] {
				off++
			}
		}
	}
	return 2*off > others
}
