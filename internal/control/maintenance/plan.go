package maintenance

import (
	"fmt"
	"time"

	"dunestep/internal/control/maintenance/contract"
)

// Server is an upstream server as the asking agent's own endpoint list has it.
type Server struct {
	ID, Zone string
	Capacity float64 // as agreed; 1 for a usual server
	// Absent says that the server is listed but not ready: its capacity is part of the fleet's, but it carries
	// nothing.
	Absent bool
}

// PlanInput is everything that a plan depends on.
type PlanInput struct {
	Now       time.Duration                 // Unix time
	Servers   []Server                      // all that are listed
	Contracts map[string]*contract.Contract // by tenant, NoTenant's too
	// TenantLoads are the tenants' fractions of the load at their peak, at most 1 together; the rest is
	// NoTenant's.
	TenantLoads map[string]float64
	// PeakLoad is the fraction of the fleet's capacity that all tenants use at their peak; zero: 0.7.
	PeakLoad float64
	// MaxUtilization is the fraction of a server's capacity that may be used; zero: 0.9.
	MaxUtilization float64
	Windows        []*Window // those that are not over
	// CountWindows counts a tenant's windows, over or not, that begin in a time; nil: none.
	CountWindows func(tenant string, from, to time.Duration) int
	// MinNotice is the fleet's; zero: the constant MinNotice. Contracts may ask for more.
	MinNotice time.Duration
	// ClockMargin is kept free at both ends of the contracts' hours, for clocks that differ; zero: 10 s.
	ClockMargin time.Duration
	// MinDrained is how long the servers are to be without keys; zero: the constant MinDrained.
	MinDrained time.Duration
	// IsInTurn tells whether a server may be in a window at a time; nil: at any. Turns begin at 12:00 UTC.
	IsInTurn      func(server Server, from, to time.Duration) bool
	PolicyVersion uint64 // the version that the contracts are of
}

// ConflictKind is the rule that a request breaks.
type ConflictKind uint8

const (
	// TooShort means that keys have no time to leave and to return.
	TooShort ConflictKind = iota + 1
	// NoContract means that a tenant has no contract.
	NoContract
	// TooLong means longer than a contract allows.
	TooLong
	// NoticeTooShort means that the window begins too soon.
	NoticeTooShort
	// RulesExpired means that a zone's rules are not agreed that far ahead.
	RulesExpired
	// HoursForbid means that a contract does not allow the beginning.
	HoursForbid
	// HoursMargin means that the window does not lie within a contract's hours with the margin at both ends.
	HoursMargin
	// MonthFull means that a tenant has all its windows of the month.
	MonthFull
	// NotInTurn means that a server is not in its turn.
	NotInTurn
	// MovedTwice means that another window has the same tenant off the same server.
	MovedTwice
	// KeptCapacityMissed means that less capacity is left for a tenant than its contract keeps.
	KeptCapacityMissed
	// Overutilized means that a server would be used beyond MaxUtilization.
	Overutilized
)

// Conflict is the error of a request that cannot be met.
type Conflict struct {
	Kind   ConflictKind
	Reason string // for operators
	Tenant string // whose contract or load it is about; empty: no tenant's
	// NextFit is the first beginning, not before the one asked for, at which the same request would fit (Unix
	// time); zero: none was found within 60 days.
	NextFit time.Duration
}

func (c Conflict) Error() string { return c.Reason }

// Plan makes the window that a request is for. The error is a Conflict, or says why the request makes no
// sense. A request fits where
//
//   - each of its tenants has a contract, whose hours allow the window with ClockMargin at either end, and
//     whose notice, greatest length and number of windows in the month in which it begins are kept;
//   - keys have time to leave and to return at the move rate, and the servers are free of them for
//     MinDrained;
//   - no other window has the same tenant off the same server, each server is in its turn, and at each moment
//     each of its tenants has the capacity left that its contract keeps, and no server is used beyond
//     MaxUtilization.
//
// A server counts as moved from From to To, whatever fraction of its keys is. Each tenant's load is spread
// over the servers that are left to it by their capacity. The fleet's agreed capacity is that of the listed
// servers, absent ones too, and of those that other windows hold. A server that a window holds now is taken
// to be back after it, with the mean capacity if it is on no list; any other absent server stays away.
// Conflict.NextFit is the first of all times that would fit, and leaves two minutes to ask again.
func Plan(request WindowRequest, input PlanInput) (*Window, error) {
	p, err := newPlanner(request, input)
	if err != nil {
		return nil, err
	}
	conflict := p.permanentConflict()
	if conflict == nil {
		if conflict = p.conflictAt(request.From); conflict == nil {
			return p.window(), nil
		}
		conflict.NextFit = p.nextFit()
	}
	return nil, *conflict
}

// permanentConflict is why the request fits at no time; nil: it may.
func (p *planner) permanentConflict() *Conflict {
	if p.length < 2*p.moveTime()+p.input.MinDrained {
		return &Conflict{Kind: TooShort, Reason: fmt.Sprintf("%v is too short: keys take %v to leave at this pace "+
			"and as long to return, and the nodes are to be free of them for %v", p.length, p.moveTime(),
			p.input.MinDrained)}
	}
	for i, c := range p.contracts {
		if c == nil {
			return p.tenantConflict(NoContract, i, "has no contract, so it may not be moved")
		}
		if p.length > c.MaxLength() {
			return p.tenantConflict(TooLong, i, "by its contract a window lasts %v at most", c.MaxLength())
		}
	}
	return nil
}

// conflictAt is why the request does not fit with a beginning; nil: it does.
func (p *planner) conflictAt(from time.Duration) *Conflict {
	steps := []func(from time.Duration) *Conflict{p.noticeConflict, p.contractConflict, p.turnConflict}
	for _, step := range steps {
		if conflict := step(from); conflict != nil {
			return conflict
		}
	}
	return p.utilization.conflictDuring(from, from+p.length)
}

func (p *planner) noticeConflict(from time.Duration) *Conflict {
	for i, c := range p.contracts {
		if notice := max(c.MinNotice(), p.input.MinNotice); from < p.input.Now+notice {
			return p.tenantConflict(NoticeTooShort, i, "a window has to be asked for %v ahead", notice)
		}
	}
	return nil
}

func (p *planner) contractConflict(from time.Duration) *Conflict {
	margin := p.input.ClockMargin
	for i, c := range p.contracts {
		begin, end, ok := c.RunAt(from)
		switch {
		case from > c.RulesEnd():
			return p.tenantConflict(RulesExpired, i, "what clocks show in its zone is agreed on until %s: "+
				"propose the policy anew", p.localTime(i, c.RulesEnd()))
		case !ok:
			return p.tenantConflict(HoursForbid, i, "its contract's hours do not allow %s", p.localTime(i, from))
		case from < begin+margin || from+p.length > end-margin:
			return p.tenantConflict(HoursMargin, i, "its contract's hours are %s to %s, and %v of them are left "+
				"at both ends", p.localTime(i, begin), p.localTime(i, end), margin)
		case p.countInMonth(i, from) >= c.MaxPerMonth():
			return p.tenantConflict(MonthFull, i, "it has its %d windows of %s", c.MaxPerMonth(),
				c.InZone(from).Format("2006-01"))
		}
	}
	return nil
}

func (p *planner) turnConflict(from time.Duration) *Conflict {
	if p.input.IsInTurn == nil {
		return nil
	}
	for _, i := range p.requestedServers {
		if s := p.input.Servers[i]; !p.input.IsInTurn(s, from, from+p.length) {
			return &Conflict{Kind: NotInTurn, Reason: "node " + s.ID + " is not in its turn then"}
		}
	}
	return nil
}

// tenantConflict is a conflict that a tenant of the request has, by its index.
func (p *planner) tenantConflict(kind ConflictKind, tenant int, format string, args ...any) *Conflict {
	name := p.tenants[tenant]
	return &Conflict{Kind: kind, Reason: "tenant " + name + ": " + fmt.Sprintf(format, args...), Tenant: name}
}

// localTime is a moment for operators, as the zone of a tenant's contract shows it.
func (p *planner) localTime(tenant int, at time.Duration) string {
	return p.contracts[tenant].InZone(at).Format("Mon 2006-01-02 15:04:05 MST")
}
