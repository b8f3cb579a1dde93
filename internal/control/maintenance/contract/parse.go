package contract

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Bounds of a Table.
const (
	maxHours    = 64  // entries
	maxExcluded = 400 // entries
	maxZoneSize = 64  // bytes
)

// parseZone sets the time zone. It rejects Local, which differs between machines.
func (c *Contract) parseZone(name string, problems *Problems) {
	var err error
	if c.zone, err = loadZone(name); err != nil {
		problems.add("zone", "%s", err)
	}
}

// loadZone returns a time zone from this machine's zone data.
func loadZone(name string) (zone *time.Location, err error) {
	if isPlausibleZone(name) {
		if zone, err = time.LoadLocation(name); err == nil {
			return zone, nil
		}
	}
	return nil, fmt.Errorf("%.80q is no time zone; use a name such as Europe/Bucharest", name)
}

func isPlausibleZone(name string) bool {
	return name != "" && name != "Local" && len(name) <= maxZoneSize
}

func (c *Contract) parseHours(hours []string, problems *Problems) {
	if len(hours) == 0 || len(hours) > maxHours {
		problems.add("hours", "must have 1 to %d entries", maxHours)
		return
	}
	for i, text := range hours {
		days, s, ok := parseSpan(text)
		if !ok {
			problems.add(fmt.Sprintf("hours[%d]", i),
				"%.80q must be as in mon-fri 20:00-06:00 or sat,sun 00:00-24:00", text)
			continue
		}
		for d := range c.week {
			if days[d] {
				c.week[d] = append(c.week[d], s)
			}
		}
	}
	c.findEdges()
}

// findEdges sets, for each weekday, the minutes at which a run may begin or end. Midnight is always one of
// them, as an excluded day may begin or end there.
func (c *Contract) findEdges() {
	for d := range c.week {
		edges := []int{0}
		for _, s := range c.week[d] {
			edges = append(edges, s.from, s.to)
		}
		for _, s := range c.week[(d+6)%7] {
			edges = append(edges, s.from-minutesPerDay, s.to-minutesPerDay)
		}
		edges = slices.DeleteFunc(edges, func(m int) bool { return m < 0 || m >= minutesPerDay })
		slices.Sort(edges)
		c.edges[d] = slices.Compact(edges)
	}
}

// dayNames are the names of the weekdays in a Table, from Sunday; they are never changed.
var dayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// parseSpan parses days and a span of hours on them; ok is false if text is malformed.
func parseSpan(text string) (days [7]bool, s span, ok bool) {
	names, hours, _ := strings.Cut(text, " ")
	if days, ok = parseDays(names); !ok {
		return days, s, false
	}
	begin, end, _ := strings.Cut(hours, "-")
	from, fromOK := parseClock(begin)
	to, toOK := parseClock(end)
	if !fromOK || !toOK || from == minutesPerDay || from == to {
		return days, s, false
	}
	if to < from {
		to += minutesPerDay
	}
	return days, span{from, to}, true
}

// parseDays parses a list of days and ranges of days such as sat,mon-wed.
func parseDays(names string) (days [7]bool, ok bool) {
	for part := range strings.SplitSeq(names, ",") {
		first, last, isRange := strings.Cut(part, "-")
		if !isRange {
			last = first
		}
		d, end := slices.Index(dayNames, first), slices.Index(dayNames, last)
		if d < 0 || end < 0 {
			return days, false
		}
		for days[d] = true; d != end; days[d] = true {
			d = (d + 1) % 7
		}
	}
	return days, true
}

// parseClock parses a time of day, 00:00 to 24:00, and returns it in minutes.
func parseClock(text string) (minute int, ok bool) {
	if text == "24:00" {
		return minutesPerDay, true
	}
	t, err := time.Parse("15:04", text)
	return t.Hour()*60 + t.Minute(), err == nil && len(text) == 5
}

func (c *Contract) parseExcluded(days []string, problems *Problems) {
	if len(days) > maxExcluded {
		problems.add("excluded", "must have at most %d entries", maxExcluded)
		return
	}
	for i, text := range days {
		t, err := time.Parse(time.DateOnly, text)
		if err != nil || t.Year() < 1970 || t.Year() > 2199 {
			problems.add(fmt.Sprintf("excluded[%d]", i), "%.80q must be a date such as 2026-12-25", text)
			continue
		}
		date, _ := wallClock(t)
		c.excluded = append(c.excluded, date)
	}
	slices.Sort(c.excluded)
	c.excluded = slices.Compact(c.excluded)
}

// excludeDaysAfter also excludes the day after each excluded day.
func (c *Contract) excludeDaysAfter() {
	for _, date := range slices.Clone(c.excluded) {
		c.excluded = append(c.excluded, date+1)
	}
	slices.Sort(c.excluded)
	c.excluded = slices.Compact(c.excluded)
}
