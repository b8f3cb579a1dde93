package maintenance

import (
	"math"
	"slices"
	"time"

	"dunestep/internal/control/maintenance/contract"
)

const (
	replyTime     = 2 * time.Minute     // time for the operator to repeat the request
	searchHorizon = 60 * 24 * time.Hour // time ahead for which a beginning is searched
)

// interval is a half-open interval of Unix time: from is in it, to is not.
type interval struct{ from, to time.Duration }

// nextFit returns the first beginning, not before the requested one, at which the request fits; zero if there
// is none. Each rule allows beginnings in a number of intervals, so the first moment that all rules allow is
// the start of one of these intervals.
func (p *planner) nextFit() time.Duration {
	notice := p.input.MinNotice
	for _, c := range p.contracts {
		notice = max(notice, c.MinNotice())
	}
	first := max(p.request.From, roundUp(p.input.Now+notice+replyTime, time.Minute))
	last := min(first+searchHorizon, p.input.Now+maxLeadTime)
	hours := p.allowedIntervals(first, last)
	for _, from := range p.candidates(hours, first, last) {
		within := func(h interval) bool { return h.from <= from && from+p.length <= h.to }
		if slices.ContainsFunc(hours, within) && p.conflictAt(from) == nil {
			return from
		}
	}
	return 0
}

func roundUp(d, to time.Duration) time.Duration { return (d + to - 1) / to * to }

// candidates returns, in ascending order, the moments at which one of the rules may start to allow the
// request.
func (p *planner) candidates(hours []interval, first, last time.Duration) []time.Duration {
	all := []time.Duration{first}
	for _, h := range hours {
		all = append(all, h.from)
	}
	for _, w := range p.input.Windows {
		// A beginning window also takes load off its servers, which may make room beside another window.
		all = append(all, w.From, w.To)
	}
	for _, c := range p.distinctContracts() {
		for _, at := c.Month(first); at <= last; _, at = c.Month(at) {
			all = append(all, at)
		}
	}
	if p.input.IsInTurn != nil {
		for at := (first-turnStart)/day*day + turnStart; at <= last; at += day {
			all = append(all, at, at+TurnMargin)
		}
	}
	all = slices.DeleteFunc(all, func(at time.Duration) bool { return at < first || at > last })
	slices.Sort(all)
	return slices.Compact(all)
}

// distinctContracts returns the contracts of the request's tenants without duplicates.
func (p *planner) distinctContracts() (all []*contract.Contract) {
	for _, c := range p.contracts {
		if !slices.Contains(all, c) {
			all = append(all, c)
		}
	}
	return all
}

// allowedIntervals returns the intervals that all contracts allow, less the margin at both ends.
func (p *planner) allowedIntervals(first, last time.Duration) []interval {
	all := []interval{{0, math.MaxInt64}}
	for _, c := range p.distinctContracts() {
		all = intersect(all, p.runsWithinMargin(c, first, last))
	}
	return all
}

// runsWithinMargin returns a contract's runs of allowed time, less the margin at both ends.
func (p *planner) runsWithinMargin(c *contract.Contract, first, last time.Duration) (all []interval) {
	margin := p.input.ClockMargin
	for at := first; at <= last; {
		from, to, ok := c.NextRun(at)
		if !ok {
			break
		}
		// NextRun returns a very long run in parts, as it follows a run for a limited time; join them.
		if n := len(all); n > 0 && from <= all[n-1].to+margin {
			all[n-1].to = to - margin
		} else {
			all = append(all, interval{from + margin, to - margin})
		}
		at = to
	}
	return all
}

// intersect returns the intersection of two lists of intervals, which are in ascending order.
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
