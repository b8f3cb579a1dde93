// Package contract has the hours of the week in which a clinic group's traffic may be moved for maintenance,
// as its contract with the operators has them: in a named time zone, with days excluded.
//
// # What hours mean
//
// Hours are what the clock on the wall shows in the contract's zone: a moment is allowed where the clock then
// shows a time of a span. On the night when clocks go forward the skipped hour is shown never, so a span that
// begins in it begins at the jump, and one that lies in it is nothing. On the night when they go back the
// doubled hour is shown twice, and both count: a span over it is an hour longer, and one that begins in it
// begins, stops when the clock goes back, and begins again.
//
// A span that goes over midnight belongs to the day on which it begins. On an excluded day nothing is
// allowed: what began the day before ends at its midnight, and what would begin on it does not begin, its
// part after midnight neither.
//
// Zone data of two machines may differ where a zone's rules were changed lately. So a zone's rules are agreed
// on with a contract (ZoneRules, ContractWithRules): who goes by it reads no zone data. Table.Contract alone goes by
// the machine's, and where it has none by those in the program.
//
// It knows no clock, and does no other input or output. A Contract may be used from anywhere at once.
package contract

import (
	"slices"
	"time"
	_ "time/tzdata" // for machines without zone data
)

// Table is a contract as it is written in a policy document. What is zero is as its default says.
type Table struct {
	// Zone names the time zone, as Europe/Bucharest.
	Zone string `toml:"zone,need"`
	// Hours are spans of the week, as "mon-fri 20:00-06:00", "sat 00:00-24:00", "sun,wed 22:00-04:00".
	Hours []string `toml:"hours,need"`
	// Excluded are days without hours, as "2026-12-25".
	Excluded []string `toml:"excluded"`
	// ExcludeDayAfter says that the day after an excluded one is excluded too.
	ExcludeDayAfter bool `toml:"day_after"`
	// NoticeMin is how long before a window it has to be asked for, in minutes; the fleet's least holds beside.
	NoticeMin int `toml:"notice_min" range:"0..43200"`
	// MaxLengthMin is how long a window may be, in minutes.
	MaxLengthMin int `toml:"longest_min" range:"1..1440" default:"480"`
	// MaxPerMonth is how many windows there may be in a calendar month.
	MaxPerMonth int `toml:"monthly" range:"1..100" default:"4"`
	// KeptCapacity is the part of the fleet's agreed capacity that has to remain for the tenant.
	KeptCapacity float64 `toml:"keep" range:"0.05..1" default:"0.7"`
	// MinServed is the least part of its requests that is to be served inside a window.
	MinServed float64 `toml:"served" range:"0.01..1" default:"0.9"`
}

// Contract is a Table that was checked. It is not changed any more.
type Contract struct {
	zone         *time.Location
	earliest     time.Duration // what is before, or after latest, is none of the contract's
	latest       time.Duration
	week         [7][]span // by the day on which they begin, 0: Sunday
	edges        [7][]int  // minutes of that day at which something may begin or end, ascending, from 0
	excluded     []int     // days, ascending
	minNotice    time.Duration
	maxLength    time.Duration
	maxPerMonth  int
	keptCapacity float64
	minServed    float64
}

// span is from a minute of a day up to another, which is over 1440 where it is after midnight.
type span struct{ from, to int }

const (
	minutesPerDay = 24 * 60                    // minutes
	maxRun        = 40 * 24 * time.Hour        // how far a run is followed
	searchAhead   = 400 * 24 * time.Hour       // how far ahead a run is looked for
	latestMoment  = 230 * 365 * 24 * time.Hour // some of 2199; later moments are none of a contract's
)

// MinNotice is how long before a window it has to be asked for; zero: as the fleet says.
func (c *Contract) MinNotice() time.Duration { return c.minNotice }

// MaxLength is how long a window may be.
func (c *Contract) MaxLength() time.Duration { return c.maxLength }

// MaxPerMonth is how many windows may begin in a calendar month.
func (c *Contract) MaxPerMonth() int { return c.maxPerMonth }

// KeptCapacity is the part of the fleet's agreed capacity that has to remain for the tenant, 0 to 1.
func (c *Contract) KeptCapacity() float64 { return c.keptCapacity }

// MinServed is the least part of the tenant's requests that is to be served inside a window, 0 to 1.
func (c *Contract) MinServed() float64 { return c.minServed }

// InZone is a moment (Unix time) as the contract's zone has it.
func (c *Contract) InZone(at time.Duration) time.Time { return time.Unix(0, int64(at)).In(c.zone) }

// RulesEnd is the end of what the contract's rules say, as Unix time.
func (c *Contract) RulesEnd() time.Duration { return c.latest }

// Allows tells whether the tenant's traffic may be moved at a moment (Unix time; none before 1970 or after
// 2198, nor beyond the rules that were agreed).
func (c *Contract) Allows(at time.Duration) bool {
	if at < c.earliest || at > c.latest {
		return false
	}
	date, minute := wallClock(c.InZone(at))
	if c.isExcluded(date) {
		return false
	}
	within := func(date, minute int) bool {
		inside := func(s span) bool { return s.from <= minute && minute < s.to }
		return slices.ContainsFunc(c.week[weekday(date)], inside)
	}
	return within(date, minute) || !c.isExcluded(date-1) && within(date-1, minute+minutesPerDay)
}

func (c *Contract) isExcluded(date int) bool {
	_, found := slices.BinarySearch(c.excluded, date)
	return found
}

// wall is what a clock shows: the day (1970-01-01 is 1) and the minute of it.
func wallClock(t time.Time) (date, minute int) {
	shown := wallSeconds(t)
	date = int(shown / (minutesPerDay * 60))
	return date, int(shown/60) - date*minutesPerDay
}

// shows is what a clock shows, in seconds; 1970-01-01 00:00 is the second day's beginning, as west of
// Greenwich the first moments of 1970 are of the day before.
func wallSeconds(t time.Time) int64 {
	_, offset := t.Zone()
	return t.Unix() + int64(offset) + minutesPerDay*60
}

// weekday is a day's as counted by wall, 0: Sunday. 1970-01-01 was a Thursday, and is day 1.
func weekday(date int) int { return (date + 3) % 7 }
