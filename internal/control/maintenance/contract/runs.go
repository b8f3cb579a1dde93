package contract

import "time"

// RunAt returns the unbroken run of allowed time that contains a moment (Unix time), joined over adjacent
// spans: from its first moment up to the first one that is not allowed. It is followed for at most 40 days in
// each direction. The result ok is false if the moment is not allowed.
func (c *Contract) RunAt(at time.Duration) (from, to time.Duration, ok bool) {
	if !c.Allows(at) {
		return 0, 0, false
	}
	return c.runStart(at), c.runEnd(at), true
}

// NextRun returns the first run that ends after a moment (Unix time): the run that contains the moment, or
// the first that begins after it. The result ok is false if there is none within 400 days.
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

// runEnd returns the end of the run that contains an allowed moment, or maxRun later if it is longer.
func (c *Contract) runEnd(at time.Duration) time.Duration {
	for t := at; t < at+maxRun; {
		if t = min(c.edgeAfter(t), c.latest+1); !c.Allows(t) {
			return t
		}
	}
	return at + maxRun
}

// runStart returns the first moment of the run that contains an allowed moment, or maxRun earlier if it is
// longer.
func (c *Contract) runStart(at time.Duration) time.Duration {
	for t := at; t > at-maxRun && t > c.earliest; t-- {
		if t = max(c.edgeUpTo(t), c.earliest); !c.Allows(t - 1) {
			return t
		}
	}
	return max(at-maxRun, c.earliest)
}

// edgeAfter returns the first moment after another at which a run may begin or end: an edge of the hours, a
// midnight, or a change of the zone's offset.
func (c *Contract) edgeAfter(at time.Duration) time.Duration {
	t := c.InZone(at)
	wall, second := wallSeconds(t), int64(minutesPerDay*60)
	for _, m := range c.edges[weekday(int(wall/second))] {
		if int64(m*60) > wall%second {
			second = int64(m * 60)
			break
		}
	}
	next := t.Unix() + second - wall%(minutesPerDay*60)
	if _, changes := t.ZoneBounds(); !changes.IsZero() {
		next = min(next, changes.Unix())
	}
	return time.Duration(next) * time.Second
}

// edgeUpTo returns the last moment, not after the given one, at which a run may begin or end; see edgeAfter.
func (c *Contract) edgeUpTo(at time.Duration) time.Duration {
	t := c.InZone(at)
	wall, second := wallSeconds(t), int64(0)
	for _, m := range c.edges[weekday(int(wall/(minutesPerDay*60)))] {
		if int64(m*60) <= wall%(minutesPerDay*60) {
			second = int64(m * 60)
		}
	}
	last := t.Unix() + second - wall%(minutesPerDay*60)
	if changed, _ := t.ZoneBounds(); !changed.IsZero() {
		last = max(last, changed.Unix())
	}
	return time.Duration(last) * time.Second
}

// Month returns the calendar month, in the contract's zone, that contains a moment (Unix time, 1970 to 2198):
// its first moment and that of the next month.
func (c *Contract) Month(at time.Duration) (from, to time.Duration) {
	year, month, _ := c.InZone(min(max(at, c.earliest), c.latest)).Date()
	return c.monthStart(year, month), c.monthStart(year, month+1)
}

// monthStart returns the first moment of a month, which is after midnight if clocks skip midnight.
func (c *Contract) monthStart(year int, month time.Month) time.Duration {
	wall := time.Date(year, month, 1, 0, 0, 0, 0, time.UTC).Unix()
	t := time.Unix(wall, 0).Add(-15 * time.Hour).In(c.zone) // no zone is further ahead of UTC
	for {
		_, offset := t.Zone()
		midnight := time.Unix(wall-int64(offset), 0)
		_, changes := t.ZoneBounds()
		if changes.IsZero() || midnight.Before(changes) {
			return time.Duration(max(midnight.Unix(), t.Unix())) * time.Second
		}
		t = changes
	}
}
