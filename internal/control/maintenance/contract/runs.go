package contract

import "time"

// RunAt is the unbroken run of allowed time that a moment (Unix time) lies in, joined over spans that touch:
// from its first moment up to the first one that is not allowed. It is followed for 40 days to either side.
// False: the moment is not allowed.
func (c *Contract) RunAt(at time.Duration) (from, to time.Duration, ok bool) {
	if !c.Allows(at) {
		return 0, 0, false
	}
	return c.runStart(at), c.runEnd(at), true
}

// NextRun is the first run that ends after a moment (Unix time): the one that it lies in, or the first to
// begin after it. False: there is none within 400 days.
func (c *Contract) NextRun(at time.Duration) (from, to time.Duration, ok bool) {
	if at = max(at, c.earliest); at > c.latest {
		return 0, 0, false
	}
	for t := at; t < at+searchAhead; t = c.edgeAfter(t) {
		if c.Allows(t) {
			return c.RunAt(t)
		}
	}
	return 0, 0, false
}

// runEnd is the end of the run that an allowed moment lies in.
func (c *Contract) runEnd(at time.Duration) time.Duration {
	for t := at; t < at+maxRun; {
		if t = min(c.edgeAfter(t), c.latest+1); !c.Allows(t) {
			return t
		}
	}
	return at + maxRun
}

// runStart is the first moment of the run that an allowed moment lies in.
func (c *Contract) runStart(at time.Duration) time.Duration {
	for t := at; t > at-maxRun && t > c.earliest; t-- {
		if t = max(c.edgeUpTo(t), c.earliest); !c.Allows(t - 1) {
			return t
		}
	}
	return max(at-maxRun, c.earliest)
}

// edgeAfter is the first moment after another at which something may begin or end: an edge of the hours, a
// midnight, or a change of the zone's offset.
func (c *Contract) edgeAfter(at time.Duration) time.Duration {
	t := c.InZone(at)
	shown, second := wallSeconds(t), int64(minutesPerDay*60)
	for _, m := range c.edges[weekday(int(shown/second))] {
		if int64(m*60) > shown%second {
			second = int64(m * 60)
			break
		}
	}
	next := t.Unix() + second - shown%(minutesPerDay*60)
	if _, changes := t.ZoneBounds(); !changes.IsZero() {
		next = min(next, changes.Unix())
	}
	return time.Duration(next) * time.Second
}

// edgeUpTo is the last such moment that is not after another.
func (c *Contract) edgeUpTo(at time.Duration) time.Duration {
	t := c.InZone(at)
	shown, second := wallSeconds(t), int64(0)
	for _, m := range c.edges[weekday(int(shown/(minutesPerDay*60)))] {
		if int64(m*60) <= shown%(minutesPerDay*60) {
			second = int64(m * 60)
		}
	}
	last := t.Unix() + second - shown%(minutesPerDay*60)
	if changed, _ := t.ZoneBounds(); !changed.IsZero() {
		last = max(last, changed.Unix())
	}
	return time.Duration(last) * time.Second
}

// Month is the calendar month of the zone that a moment (Unix time, 1970 to 2198) lies in, up to the first
// moment of the next one.
func (c *Contract) Month(at time.Duration) (from, to time.Duration) {
	year, month, _ := c.InZone(min(max(at, c.earliest), c.latest)).Date()
	return c.monthStart(year, month), c.monthStart(year, month+1)
}

// monthStart is the first moment of a month, or the first after its midnight where clocks skip that.
func (c *Contract) monthStart(year int, month time.Month) time.Duration {
	shown := time.Date(year, month, 1, 0, 0, 0, 0, time.UTC).Unix()
	t := time.Unix(shown, 0).Add(-15 * time.Hour).In(c.zone) // no zone is further ahead
	for {
		_, offset := t.Zone()
		midnight := time.Unix(shown-int64(offset), 0)
		_, changes := t.ZoneBounds()
		if changes.IsZero() || midnight.Before(changes) {
			return time.Duration(max(midnight.Unix(), t.Unix())) * time.Second
		}
		t = changes
	}
}
