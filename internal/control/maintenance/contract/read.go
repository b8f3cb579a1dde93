package contract

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

const (
	maxHours    = 64
	maxExcluded = 400
	maxZone     = 64 // bytes
)

// Problem is one thing that is wrong with a Table.
type Problem struct {
	Key  string // of the table, as hours[1]
	Text string
}

func (p Problem) Error() string { return p.Key + ": " + p.Text }

// Problems is all that is wrong with a Table.
type Problems []Problem

func (p Problems) Error() string {
	texts := make([]string, len(p))
	for i, one := range p {
		texts[i] = one.Error()
	}
	return strings.Join(texts, "\n")
}

func (p *Problems) add(key, format string, args ...any) {
	*p = append(*p, Problem{key, fmt.Sprintf(format, args...)})
}

// Contract is what the table says, or Problems.
func (t Table) Contract() (*Contract, error) {
	var wrong Problems
	c := &Contract{
		latest:      latestMoment,
		minNotice:   time.Duration(t.NoticeMin) * time.Minute,
		maxLength:   time.Duration(cmp.Or(t.MaxLengthMin, 480)) * time.Minute,
		maxPerMonth: cmp.Or(t.MaxPerMonth, 4), keptCapacity: cmp.Or(t.KeptCapacity, 0.7), minServed: cmp.Or(t.MinServed, 0.9),
	}
	wrong.checkRange("notice_min", t.NoticeMin, 0, 43200)
	wrong.checkRange("longest_min", cmp.Or(t.MaxLengthMin, 480), 1, 1440)
	wrong.checkRange("monthly", c.maxPerMonth, 1, 100)
	if !(c.keptCapacity >= 0.05 && c.keptCapacity <= 1) {
		wrong.add("keep", "must be a number from 0.05 to 1")
	}
	if !(c.minServed >= 0.01 && c.minServed <= 1) {
		wrong.add("served", "must be a number from 0.01 to 1")
	}
	c.parseZone(t.Zone, &wrong)
	c.parseHours(t.Hours, &wrong)
	c.parseExcluded(t.Excluded, t.ExcludeDayAfter, &wrong)
	if len(wrong) > 0 {
		return nil, wrong
	}
	return c, nil
}

func (p *Problems) checkRange(key string, n, least, most int) {
	if n < least || n > most {
		p.add(key, "must be a whole number from %d to %d", least, most)
	}
}

// parseZone refuses InZone, which is another one at each machine.
func (c *Contract) parseZone(name string, wrong *Problems) {
	var err error
	if c.zone, err = loadZone(name); err != nil {
		wrong.add("zone", "%s", err)
	}
}

// find is a zone by this machine's data.
func loadZone(name string) (zone *time.Location, err error) {
	if isPlausibleZone(name) {
		if zone, err = time.LoadLocation(name); err == nil {
			return zone, nil
		}
	}
	return nil, fmt.Errorf("%.80q is no time zone; one is as Europe/Bucharest", name)
}

func isPlausibleZone(name string) bool { return name != "" && name != "Local" && len(name) <= maxZone }

func (c *Contract) parseHours(hours []string, wrong *Problems) {
	if len(hours) == 0 || len(hours) > maxHours {
		wrong.add("hours", "must have 1 to %d entries", maxHours)
		return
	}
	for i, text := range hours {
		days, s, ok := parseSpan(text)
		if !ok {
			wrong.add(fmt.Sprintf("hours[%d]", i), "%.80q must be as mon-fri 20:00-06:00 or sat,sun 00:00-24:00", text)
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

// findEdges notes the minutes of each day at which something may begin or end. Midnight is always one: an
// excluded day may begin or end.
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

var dayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// parseSpan reads days and the hours on them.
func parseSpan(text string) (days [7]bool, s span, ok bool) {
	names, hours, _ := strings.Cut(text, " ")
	for one := range strings.SplitSeq(names, ",") {
		first, last, several := strings.Cut(one, "-")
		if !several {
			last = first
		}
		d, end := slices.Index(dayNames, first), slices.Index(dayNames, last)
		if d < 0 || end < 0 {
			return days, s, false
		}
		for days[d] = true; d != end; days[d] = true {
			d = (d + 1) % 7
		}
	}
	begin, end, _ := strings.Cut(hours, "-")
	from, fine := parseClock(begin)
	to, fineToo := parseClock(end)
	if !fine || !fineToo || from == minutesPerDay || from == to {
		return days, s, false
	}
	if to < from {
		to += minutesPerDay
	}
	return days, span{from, to}, true
}

// parseClock reads a time of the day, 00:00 to 24:00, as a minute of it.
func parseClock(text string) (minute int, ok bool) {
	if text == "24:00" {
		return minutesPerDay, true
	}
	t, err := time.Parse("15:04", text)
	return t.Hour()*60 + t.Minute(), err == nil && len(text) == 5
}

func (c *Contract) parseExcluded(days []string, after bool, wrong *Problems) {
	if len(days) > maxExcluded {
		wrong.add("excluded", "must have at most %d entries", maxExcluded)
		return
	}
	for i, text := range days {
		t, err := time.Parse(time.DateOnly, text)
		if err != nil || t.Year() < 1970 || t.Year() > 2199 {
			wrong.add(fmt.Sprintf("excluded[%d]", i), "%.80q must be a day as 2026-12-25", text)
			continue
		}
		date, _ := wallClock(t)
		if c.excluded = append(c.excluded, date); after {
			c.excluded = append(c.excluded, date+1)
		}
	}
	slices.Sort(c.excluded)
	c.excluded = slices.Compact(c.excluded)
}
