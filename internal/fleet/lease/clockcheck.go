package lease

import "time"

// clockCheck compares this machine's Unix clock with those of the voters.
type clockCheck struct {
	self          int
	voters        []int
	maxClockError time.Duration

	// unixOffset is the offset of the Unix to the steady clock when a voter's grant last confirmed the Unix
	// clock.
	unixOffset        time.Duration
	isUnixOffsetKnown bool
	offVoters         map[int]bool // by the voter: its last grant differed from this machine's Unix clock
}

func newClockCheck(settings HolderSettings) clockCheck {
	return clockCheck{
		self: settings.Self, voters: settings.Voters, maxClockError: settings.Terms.MaxClockError,
		offVoters: map[int]bool{},
	}
}

// compare checks the Unix clock against the one in a voter's grant, which was read between the request and
// now. A grant by this agent itself says nothing.
func (c *clockCheck) compare(now ClockReading, o outstandingRequest, g Grant) {
	if o.voter == c.self {
		return
	}
	slack := 2*c.maxClockError + now.Mono - o.sent.Mono
	earliest, latest := o.sent.Unix-slack, now.Unix+slack
	c.offVoters[o.voter] = g.Unix < earliest || g.Unix > latest
	if !c.offVoters[o.voter] {
		c.unixOffset, c.isUnixOffsetKnown = now.Unix-now.Mono, true
	}
}

func (c *clockCheck) isOff(now ClockReading) bool {
	if c.isUnixOffsetKnown && (now.Unix-now.Mono-c.unixOffset).Abs() > c.maxClockError {
		return true // set since
	}
	off, others := 0, 0
	for _, v := range c.voters {
		if v != c.self {
			others++
			if c.offVoters[v] {
				off++
			}
		}
	}
	return 2*off > others
}
