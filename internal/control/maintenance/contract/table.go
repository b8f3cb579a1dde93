package contract

import (
	"cmp"
	"fmt"
	"strings"
	"time"
)

// Table is a contract as written in a policy document. A zero value means the default in the field's tag.
type Table struct {
	// Zone is the name of the time zone, such as Europe/Bucharest.
	Zone string `toml:"zone,need"`
	// Hours are spans of the week, such as "mon-fri 20:00-06:00", "sat 00:00-24:00", "sun,wed 22:00-04:00".
	Hours []string `toml:"hours,need"`
	// Excluded are days on which nothing is allowed, such as "2026-12-25".
	Excluded []string `toml:"excluded"`
	// ExcludeDayAfter also excludes the day after each excluded day.
	ExcludeDayAfter bool `toml:"day_after"`
	// NoticeMin is the minimum time between the request for a window and its beginning, in minutes. The
	// fleet's notice applies too.
	NoticeMin int `toml:"notice_min" range:"0..43200"`
	// MaxLengthMin is the maximum length of a window, in minutes.
	MaxLengthMin int `toml:"longest_min" range:"1..1440" default:"480"`
	// MaxPerMonth is the maximum number of windows that begin in a calendar month.
	MaxPerMonth int `toml:"monthly" range:"1..100" default:"4"`
	// KeptCapacity is the minimum fraction of the fleet's agreed capacity that remains for the tenant.
	KeptCapacity float64 `toml:"keep" range:"0.05..1" default:"0.7"`
	// MinServed is the minimum fraction of the tenant's requests that is served during a window.
	MinServed float64 `toml:"served" range:"0.01..1" default:"0.9"`
}

// Defaults; the tags of Table must have the same values.
const (
	defaultMaxLengthMin = 480
	defaultMaxPerMonth  = 4
	defaultKeptCapacity = 0.7
	defaultMinServed    = 0.9
)

// Problem is one invalid value in a Table.
type Problem struct {
	Key  string // key in the table, such as hours[1]
	Text string // description for operators
}

func (p Problem) Error() string { return p.Key + ": " + p.Text }

// Problems is the error for an invalid Table and lists all its invalid values.
type Problems []Problem

func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, problem := range p {
		texts[i] = problem.Error()
	}
	return strings.Join(texts, "\n")
}

func (p *Problems) add(key, format string, args ...any) {
	*p = append(*p, Problem{key, fmt.Sprintf(format, args...)})
}

func (p *Problems) checkRange(key string, n, lowest, highest int) {
	if n < lowest || n > highest {
		p.add(key, "must be a whole number from %d to %d", lowest, highest)
	}
}

// Contract returns the contract that the table describes, using this machine's zone data. The error is
// Problems.
func (t Table) Contract() (*Contract, error) {
	var problems Problems
	maxLengthMin := cmp.Or(t.MaxLengthMin, defaultMaxLengthMin)
	c := &Contract{
		latest:       latestMoment,
		minNotice:    time.Duration(t.NoticeMin) * time.Minute,
		maxLength:    time.Duration(maxLengthMin) * time.Minute,
		maxPerMonth:  cmp.Or(t.MaxPerMonth, defaultMaxPerMonth),
		keptCapacity: cmp.Or(t.KeptCapacity, defaultKeptCapacity),
		minServed:    cmp.Or(t.MinServed, defaultMinServed),
	}
	problems.checkRange("notice_min", t.NoticeMin, 0, 43200)
	problems.checkRange("longest_min", maxLengthMin, 1, 1440)
	problems.checkRange("monthly", c.maxPerMonth, 1, 100)
	if !(c.keptCapacity >= 0.05 && c.keptCapacity <= 1) { //nolint:staticcheck // QF1001: also rejects NaN
		problems.add("keep", "must be a number from 0.05 to 1")
	}
	if !(c.minServed >= 0.01 && c.minServed <= 1) { //nolint:staticcheck // QF1001: also rejects NaN
		problems.add("served", "must be a number from 0.01 to 1")
	}
	c.parseZone(t.Zone, &problems)
	c.parseHours(t.Hours, &problems)
	c.parseExcluded(t.Excluded, &problems)
	if t.ExcludeDayAfter {
		c.excludeDaysAfter()
	}
	if len(problems) > 0 {
		return nil, problems
	}
	return c, nil
}
