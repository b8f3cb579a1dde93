package maintenance

import (
	"slices"
	"time"

	"dunestep/internal/control/maintenance/contract"
)

// stretch is a time from its first moment to its last, both of it.
type interval struct{ from, to time.Duration }

// next is the first beginning, not before the one asked for, that fits; zero: there is none. What an ask
// depends on is for each rule a number of stretches of time in which it may begin, so the first moment at
// which all allow it is the first of one of them.
func (p *planner) nextFit() time.Duration {
	lead := p.input.MinNotice
	for _, c := range p.contracts {
		lead = max(lead, c.MinNotice())
	}
	first := max(p.request.From, roundUp(p.input.Now+lead+replyTime, time.Minute))
	last := min(first+searchHorizon, p.input.Now+maxLeadTime)
	hours := p.allowedHours(first, last)
	for _, from := range p.candidates(hours, first, last) {
		within := func(h interval) bool { return h.from <= from && from+p.length <= h.to }
		if slices.ContainsFunc(hours, within) && p.conflictAt(from) == nil {
			return from
		}
	}
	return 0
}

func roundUp(d, to time.Duration) time.Duration { return (d + to - 1) / to * to }

// candidates are the moments from which on one of the rules may allow the ask, in order.
func (p *planner) candidates(hours []interval, first, last time.Duration) []time.Duration {
	all := []time.Duration{first}
	for _, h := range hours {
		all = append(all, h.from)
	}
	for _, w := range p.input.Windows {
		// One that begins takes load off its nodes too, from which there may be room beside a third.
		all = append(all, w.From, w.To)
	}
	for _, c := range p.distinctContracts() {
		for _, at := c.Month(first); at <= last; _, at = c.Month(at) {
			all = append(all, at)
		}
	}
	if p.input.IsInTurn != nil {
		for at := (first-noon)/day*day + noon; at <= last; at += day {
			all = append(all, at, at+TurnMargin)
		}
	}
	all = slices.DeleteFunc(all, func(at time.Duration) bool { return at < first || at > last })
	slices.Sort(all)
	return slices.Compact(all)
}

// distinct are the contracts, each once.
func (p *planner) distinctContracts() (all []*contract.Contract) {
	for _, c := range p.contracts {
		if !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	return all
}

// hours are the stretches that all contracts allow, with the margin taken off.
func (p *planner) allowedHours(first, last time.Duration) []interval {
	all := []interval{{0, 1<<63 - 1}}
	for _, c := range p.distinctContracts() {
		all = intersect(all, p.marginalRuns(c, first, last))
	}
	return all
}

func (p *planner) marginalRuns(c *contract.Contract, first, last time.Duration) (all []interval) {
	for at := first; at <= last; {
		from, to, ok := c.NextRun(at)
		if !ok {
			break
		}
		// One that goes on for longer than the contract follows it is one all the same.
		if n := len(all); n > 0 && from <= all[n-1].to+p.input.ClockMargin {
			all[n-1].to = to - p.input.ClockMargin
		} else {
			all = append(all, interval{from + p.input.ClockMargin, to - p.input.ClockMargin})
		}
		at = to
	}
	return all
}

// common are the stretches that are in both.
func intersect(a, b []interval) (all []interval) {
	for len(a) > 0 && len(b) > 0 {
		if both := (interval{max(a[0].from, b[0].from), min(a[0].to, b[0].to)}); both.from < both.to {
			all = append(all, both)
		}
		if a[0].to < b[0].to {
			a = a[1:]
		} else {
			b = b[1:]
		}
	}
	return all
}
