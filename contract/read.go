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
		latest:  latest,
		notice:  time.Duration(t.NoticeMin) * time.Minute,
		longest: time.Duration(cmp.Or(t.LongestMin, 480)) * time.Minute,
		monthly: cmp.Or(t.Monthly, 4), keep: cmp.Or(t.Keep, 0.7), served: cmp.Or(t.Served, 0.9),
	}
	wrong.within("notice_min", t.NoticeMin, 0, 43200)
	wrong.within("longest_min", cmp.Or(t.LongestMin, 480), 1, 1440)
	wrong.within("monthly", c.monthly, 1, 100)
	if !(c.keep >= 0.05 && c.keep <= 1) {
		wrong.add("keep", "must be a number from 0.05 to 1")
	}
	if !(c.served >= 0.01 && c.served <= 1) {
		wrong.add("served", "must be a number from 0.01 to 1")
	}
	c.readZone(t.Zone, &wrong)
	c.readHours(t.Hours, &wrong)
	c.readExcluded(t.Excluded, t.DayAfter, &wrong)
	if len(wrong) > 0 {
		return nil, wrong
	}
	return c, nil
}

func (p *Problems) within(key string, n, least, most int) {
	if n < least || n > most {
		p.add(key, "must be a whole number from %d to %d", least, most)
	}
}

// readZone refuses Local, which is another one at each machine.
func (c *Contract) readZone(name string, wrong *Problems) {
	var err error
	if c.zone, err = find(name); err != nil {
		wrong.add("zone", "%s", err)
	}
}

// find is a zone by this machine's data.
func find(name string) (zone *time.Location, err error) {
	if plausible(name) {
		if zone, err = time.LoadLocation(name); err == nil {
			return zone, nil
		}
	}
	return nil, fmt.Errorf("%.80q is no time zone; one is as Europe/Bucharest", name)
}

func plausible(name string) bool { return name != "" && name != "Local" && len(name) <= maxZone }

func (c *Contract) readHours(hours []string, wrong *Problems) {
	if len(hours) == 0 || len(hours) > maxHours {
		wrong.add("hours", "must have 1 to %d entries", maxHours)
		return
	}
	for i, text := range hours {
		days, s, ok := readSpan(text)
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
			edges = append(edges, s.from-day, s.to-day)
		}
		edges = slices.DeleteFunc(edges, func(m int) bool { return m < 0 || m >= day })
		slices.Sort(edges)
		c.edges[d] = slices.Compact(edges)
	}
}

var dayNames = []string{"sun", "mon", "tue", "wed", "thu", "fri", "sat"}

// readSpan reads days and the hours on them.
func readSpan(text string) (days [7]bool, s span, ok bool) {
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
	from, fine := readClock(begin)
	to, fineToo := readClock(end)
	if !fine || !fineToo || from == day || from == to {
		return days, s, false
	}
	if to < from {
		to += day
	}
	return days, span{from, to}, true
}

// readClock reads a time of the day, 00:00 to 24:00, as a minute of it.
func readClock(text string) (minute int, ok bool) {
	if text == "24:00" {
		return day, true
	}
	t, err := time.Parse("15:04", text)
	return t.Hour()*60 + t.Minute(), err == nil && len(text) == 5
}

func (c *Contract) readExcluded(days []string, after bool, wrong *Problems) {
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
		date, _ := wall(t)
		if c.excluded = append(c.excluded, date); after {
			c.excluded = append(c.excluded, date+1)
		}
	}
	slices.Sort(c.excluded)
	c.excluded = slices.Compact(c.excluded)
}
