// Package contract implements maintenance contracts: the hours of the week, in a named time zone and except
// for excluded days, in which a tenant's traffic may be moved for maintenance, and related limits.
//
// # Semantics of hours
//
// Hours are local time in the contract's zone: a moment is allowed if its local time lies in a span. On the
// night when clocks go forward, the skipped hour does not exist: a span that begins in it begins at the jump,
// and a span that lies within it is empty. On the night when clocks go back, the repeated hour exists twice
// and both count: a span over it is an hour longer, and a span that begins in it begins, ends when the clock
// goes back, and begins again.
//
// A span that crosses midnight belongs to the day on which it begins. Nothing is allowed on an excluded day:
// a span of the previous day ends at midnight, and a span that would begin on the excluded day is dropped,
// including its part after midnight.
//
// The zone data of two machines may differ after a recent change of a zone's rules. Therefore the rules of a
// zone are agreed on together with a contract (ZoneRules, Table.ContractWithRules), and agents do not read
// zone data. Only Table.Contract uses the machine's zone data, or the copy in the program if the machine has
// none.
//
// # Concurrency and determinism
//
// The package reads no clock and does no I/O except for reading zone data. A Contract is immutable and safe
// for concurrent use.
package contract

import (
	"slices"
	"time"
	_ "time/tzdata" // for machines without zone data
)

// Contract is the validated form of a Table.
type Contract struct {
	zone         *time.Location
	earliest     time.Duration // first Unix time that the contract covers
	latest       time.Duration // last Unix time that the contract covers
	week         [7][]span     // spans by the weekday on which they begin, 0: Sunday
	edges        [7][]int      // by weekday: minutes at which a run may begin or end, ascending, first 0
	excluded     []int         // days as numbered by wallClock, ascending
	minNotice    time.Duration
	maxLength    time.Duration
	maxPerMonth  int
	keptCapacity float64
	minServed    float64
}

// span is a half-open interval in minutes of a day; to exceeds minutesPerDay if the span crosses midnight.
type span struct{ from, to int }

const (
	minutesPerDay = 24 * 60
	// maxRun is the maximum time for which a run is followed in each direction.
	maxRun = 40 * 24 * time.Hour
	// searchAhead is the maximum time ahead for which a run is searched.
	searchAhead = 400 * 24 * time.Hour
	// latestMoment is the last Unix time that a contract covers, in 2199.
	latestMoment = 230 * 365 * 24 * time.Hour
)

// MinNotice returns the minimum time between the request for a window and its beginning; zero: only the
// fleet's notice applies.
func (c *Contract) MinNotice() time.Duration { return c.minNotice }

// MaxLength returns the maximum length of a window.
func (c *Contract) MaxLength() time.Duration { return c.maxLength }

// MaxPerMonth returns the maximum number of windows that begin in a calendar month.
func (c *Contract) MaxPerMonth() int { return c.maxPerMonth }

// KeptCapacity returns the minimum fraction, 0 to 1, of the fleet's agreed capacity that remains for the
// tenant.
func (c *Contract) KeptCapacity() float64 { return c.keptCapacity }

// MinServed returns the minimum fraction, 0 to 1, of the tenant's requests that is served during a window.
func (c *Contract) MinServed() float64 { return c.minServed }

// InZone returns a moment (Unix time) as local time in the contract's zone.
func (c *Contract) InZone(at time.Duration) time.Time { return time.Unix(0, int64(at)).In(c.zone) }

// RulesEnd returns the last moment (Unix time) that the contract's zone rules cover.
func (c *Contract) RulesEnd() time.Duration { return c.latest }

// Allows reports whether the tenant's traffic may be moved at a moment (Unix time). Nothing is allowed before
// 1970, after 2198, or beyond the agreed rules of the zone.
func (c *Contract) Allows(at time.Duration) bool {
	if at < c.earliest || at > c.latest {
		return false
	}
	date, minute := wallClock(c.InZone(at))
	if c.isExcluded(date) {
		return false
	}
	isInSpan := func(date, minute int) bool {
		contains := func(s span) bool { return s.from <= minute && minute < s.to }
		return slices.ContainsFunc(c.week[weekday(date)], contains)
	}
	return isInSpan(date, minute) || !c.isExcluded(date-1) && isInSpan(date-1, minute+minutesPerDay)
}

func (c *Contract) isExcluded(date int) bool {
	_, found := slices.BinarySearch(c.excluded, date)
	return found
}

// wallClock returns the local date as a day number, 1 for 1970-01-01, and the minute of that day.
func wallClock(t time.Time) (date, minute int) {
	seconds := wallSeconds(t)
	date = int(seconds / (minutesPerDay * 60))
	return date, int(seconds/60) - date*minutesPerDay
}

// wallSeconds returns the local time in seconds since 1969-12-31 00:00 local time. It starts a day before
// 1970 because, west of Greenwich, the first moments of 1970 UTC are on the previous day.
func wallSeconds(t time.Time) int64 {
	_, offset := t.Zone()
	return t.Unix() + int64(offset) + minutesPerDay*60
}

// weekday returns the weekday of a day number of wallClock, 0: Sunday. 1970-01-01, day 1, was a Thursday.
func weekday(date int) int { return (date + 3) % 7 }
