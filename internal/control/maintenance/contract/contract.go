// Package contract has the hours of the week in which a tenant's traffic may be moved for maintenance, as its
// contract with the operators states them: in a named time zone, with days excluded.
//
// # Meaning of hours
//
// Hours are local time in the contract's zone: a moment is allowed where the local time lies in a span. On
// the night when clocks go forward the skipped hour does not exist: a span that begins in it begins at the
// jump, and one that lies in it is empty. On the night when clocks go back the repeated hour exists twice,
// and both count: a span over it is an hour longer, and one that begins in it begins, ends when the clock
// goes back, and begins again.
//
// A span that crosses midnight belongs to the day on which it begins. Nothing is allowed on an excluded day:
// a span of the day before ends at its midnight, and one that would begin on it does not, including its part
// after midnight.
//
// Zone data of two machines may differ where a zone's rules were changed lately. So the rules of a zone are
// agreed on together with a contract (ZoneRules, Table.ContractWithRules), and agents read no zone data. Only
// Table.Contract uses the machine's zone data, and the program's own copy where the machine has none.
//
// # Concurrency and determinism
//
// The package reads no clock, and does no input or output other than to read zone data. A Contract is never
// changed and may be used from any goroutine.
package contract

import (
	"slices"
	"time"
	_ "time/tzdata" // for machines without zone data
)

// Contract is a Table that was checked.
type Contract struct {
	zone         *time.Location
	earliest     time.Duration // Unix time; the contract says nothing of moments before it, or after latest
	latest       time.Duration
	week         [7][]span // by the day on which they begin, 0: Sunday
	edges        [7][]int  // minutes of the day at which something may begin or end, ascending, from 0
	excluded     []int     // days as wallClock counts them, ascending
	minNotice    time.Duration
	maxLength    time.Duration
	maxPerMonth  int
	keptCapacity float64
	minServed    float64
}

// span is from a minute of a day up to another one, which is over minutesPerDay where it is after midnight.
type span struct{ from, to int }

const (
	minutesPerDay = 24 * 60
	// maxRun is how far a run is followed to either side.
	maxRun = 40 * 24 * time.Hour
	// searchAhead is how far ahead a run is looked for.
	searchAhead = 400 * 24 * time.Hour
	// latestMoment is the last Unix time that a contract covers, some day of 2199.
	latestMoment = 230 * 365 * 24 * time.Hour
)

// MinNotice is how long before a window it has to be asked for; zero: the fleet's notice applies.
func (c *Contract) MinNotice() time.Duration { return c.minNotice }

// MaxLength is how long a window may be.
func (c *Contract) MaxLength() time.Duration { return c.maxLength }

// MaxPerMonth is how many windows may begin in a calendar month.
func (c *Contract) MaxPerMonth() int { return c.maxPerMonth }

// KeptCapacity is the fraction of the fleet's agreed capacity that has to remain for the tenant, 0 to 1.
func (c *Contract) KeptCapacity() float64 { return c.keptCapacity }

// MinServed is the fraction of the tenant's requests that has to be served during a window, 0 to 1.
func (c *Contract) MinServed() float64 { return c.minServed }

// InZone is a moment (Unix time) in the contract's zone.
func (c *Contract) InZone(at time.Duration) time.Time { return time.Unix(0, int64(at)).In(c.zone) }

// RulesEnd is the last moment (Unix time) that the contract's zone rules cover.
func (c *Contract) RulesEnd() time.Duration { return c.latest }

// Allows tells whether the tenant's traffic may be moved at a moment (Unix time). Nothing is allowed before
// 1970, after 2198, or beyond the agreed rules of the zone.
func (c *Contract) Allows(at time.Duration) bool {
	if at < c.earliest || at > c.latest {
		return false
	}
	date, minute := wallClock(c.InZone(at))
	if c.isExcluded(date) {
		return false
	}
	lies := func(date, minute int) bool {
		inside := func(s span) bool { return s.from <= minute && minute < s.to }
		return slices.ContainsFunc(c.week[weekday(date)], inside)
	}
	return lies(date, minute) || !c.isExcluded(date-1) && lies(date-1, minute+minutesPerDay)
}

func (c *Contract) isExcluded(date int) bool {
	_, found := slices.BinarySearch(c.excluded, date)
	return found
}

// wallClock is what a clock shows: the day, 1970-01-01 being 1, and the minute of it.
func wallClock(t time.Time) (date, minute int) {
	shown := wallSeconds(t)
	date = int(shown / (minutesPerDay * 60))
	return date, int(shown/60) - date*minutesPerDay
}

// wallSeconds is what a clock shows, in seconds. 1970-01-01 00:00 is the beginning of the second day: west of
// Greenwich the first moments of 1970 are on the day before.
func wallSeconds(t time.Time) int64 {
	_, offset := t.Zone()
	return t.Unix() + int64(offset) + minutesPerDay*60
}

// weekday is the weekday of a day that wallClock counts, 0: Sunday. 1970-01-01, day 1, was a Thursday.
func weekday(date int) int { return (date + 3) % 7 }
