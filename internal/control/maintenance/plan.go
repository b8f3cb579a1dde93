package maintenance

import (
	"fmt"
	"time"

	"dunestep/internal/control/maintenance/contract"
)

// Server is an upstream server, as listed in the endpoint list of the agent that plans the window.
type Server struct {
	ID, Zone string
	Capacity float64 // relative capacity by the fleet policy; 1: a standard server
	// Absent means that the server is listed but not ready: its capacity counts as part of the fleet's, but
	// it receives no requests.
	Absent bool
}

// PlanInput is everything that a plan depends on.
type PlanInput struct {
	Now       time.Duration                 // Unix time
	Servers   []Server                      // all listed servers
	Contracts map[string]*contract.Contract // by tenant, including NoTenant
	// TenantLoads are the tenants' fractions of the peak load; their sum is at most 1, and NoTenant has the
	// rest.
	TenantLoads map[string]float64
	// PeakLoad is the fraction of the fleet's capacity used by all tenants at their peak; zero: 0.7.
	PeakLoad float64
	// MaxUtilization is the maximum fraction of a server's capacity that may be used; zero: 0.9.
	MaxUtilization float64
	Windows        []*Window // those that are not over
	// CountWindows returns the number of a tenant's windows, including those that are over, that begin in
	// [from, to); nil: there are none.
	CountWindows func(tenant string, from, to time.Duration) int
	// MinNotice is the fleet's minimum notice; zero: the constant MinNotice. Contracts may require more.
	MinNotice time.Duration
	// ClockMargin is left free at both ends of the contracts' hours, because clocks differ; zero: 10 s.
	ClockMargin time.Duration
	// MinDrained is the minimum time for which the servers are without keys; zero: the constant MinDrained.
	MinDrained time.Duration
	// IsInTurn reports whether a server may be in a window during a time; nil: it always may. Turns begin at
	// 12:00 UTC.
	IsInTurn      func(server Server, from, to time.Duration) bool
	PolicyVersion uint64 // version of the policy that has the contracts
}

// ConflictKind is the rule that a request violates.
type ConflictKind uint8

const (
	// TooShort means that the window leaves no time to move keys away, drain the servers and move keys back.
	TooShort ConflictKind = iota + 1
	// NoContract means that a tenant has no contract.
	NoContract
	// TooLong means that the window is longer than a contract allows.
	TooLong
	// NoticeTooShort means that the window begins before the minimum notice has passed.
	NoticeTooShort
	// RulesExpired means that the window begins after the end of the agreed rules of a contract's time zone.
	RulesExpired
	// HoursForbid means that the window begins outside a contract's hours.
	HoursForbid
	// HoursMargin means that the window does not lie within a contract's hours less the margin at both ends.
	HoursMargin
	// MonthFull means that a tenant already has the maximum number of windows in the month.
	MonthFull
	// NotInTurn means that it is not the turn of one of the servers.
	NotInTurn
	// MovedTwice means that another window moves the same tenant off the same server at that time.
	MovedTwice
	// KeptCapacityMissed means that less capacity would remain for a tenant than its contract requires.
	KeptCapacityMissed
	// Overutilized means that the utilization of a server would exceed MaxUtilization.
	Overutilized
)

// Conflict is the error for a request that violates a rule.
type Conflict struct {
	Kind   ConflictKind
	Reason string // for operators
	Tenant string // tenant whose contract or load is violated; empty: not specific to a tenant
	// NextFit is the first beginning (Unix time), not before the requested one, at which the same request
	// would fit; zero: none was found within 60 days.
	NextFit time.Duration
}

func (c Conflict) Error() string { return c.Reason }

// Plan returns the window for a request. The error is a Conflict if a rule is violated; any other error
// describes an invalid request. A request fits if
//
//   - each of its tenants has a contract, the contract's hours include the window with ClockMargin at both
//     ends, and the contract's notice, maximum length and maximum number of windows per month are respected,
//     where a window counts for the month in which it begins;
//   - there is time for keys to leave and to return at the move rate, and for the servers to be without keys
//     for MinDrained in between;
//   - no other window moves the same tenant off the same server at that time, each server is in its turn, and
//     throughout the window each of its tenants has the capacity left that its contract requires and no
//     server's utilization exceeds MaxUtilization.
//
// A server counts as unavailable to the tenants from From to To, whatever fraction of its keys is moved. Each
// tenant's load is spread over its remaining servers in proportion to their capacity. The fleet's agreed
// capacity is that of the listed servers, including absent ones, and of the servers in other windows. A
// server that is in a window now is assumed to return after it, with the mean capacity if it is not listed;
// any other absent server is assumed to stay absent. Conflict.NextFit is the first beginning that fits, and
// is at least two minutes after the minimum notice so that the operator can repeat the request.
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

// permanentConflict returns a conflict that no other beginning can resolve; nil if there is none.
func (p *planner) permanentConflict() *Conflict {
	if p.length < 2*p.moveTime()+p.input.MinDrained {
		return &Conflict{Kind: TooShort, Reason: fmt.Sprintf("%v is too short: at this move rate keys take %v to "+
			"leave and as long to return, and the nodes must be without keys for %v", p.length, p.moveTime(),
			p.input.MinDrained)}
	}
	for i, c := range p.contracts {
		if c == nil {
			return p.tenantConflict(NoContract, i, "has no contract, so its traffic may not be moved")
		}
		if p.length > c.MaxLength() {
			return p.tenantConflict(TooLong, i, "its contract limits a window to %v", c.MaxLength())
		}
	}
	return nil
}

// conflictAt returns the conflict of the request with a beginning; nil if it fits.
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
			return p.tenantConflict(NoticeTooShort, i, "a window must be requested %v in advance", notice)
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
			return p.tenantConflict(RulesExpired, i, "the rules of its time zone are agreed only until %s: "+
				"propose the policy again", p.localTime(i, c.RulesEnd()))
		case !ok:
			return p.tenantConflict(HoursForbid, i, "its contract's hours do not allow %s", p.localTime(i, from))
		case from < begin+margin || from+p.length > end-margin:
			return p.tenantConflict(HoursMargin, i, "its contract's hours are %s to %s, and a window must leave "+
				"%v free at both ends", p.localTime(i, begin), p.localTime(i, end), margin)
		case p.countInMonth(i, from) >= c.MaxPerMonth():
			return p.tenantConflict(MonthFull, i, "it already has its maximum of %d windows in %s",
				c.MaxPerMonth(), c.InZone(from).Format("2006-01"))
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
			return &Conflict{Kind: NotInTurn, Reason: "node " + s.ID + " is not in its turn at that time"}
		}
	}
	return nil
}

// tenantConflict returns a conflict about a tenant of the request; tenant is its index in planner.tenants.
func (p *planner) tenantConflict(kind ConflictKind, tenant int, format string, args ...any) *Conflict {
	name := p.tenants[tenant]
	return &Conflict{Kind: kind, Reason: "tenant " + name + ": " + fmt.Sprintf(format, args...), Tenant: name}
}

// localTime formats a moment for operators, in the time zone of a tenant's contract.
func (p *planner) localTime(tenant int, at time.Duration) string {
	return p.contracts[tenant].InZone(at).Format("Mon 2006-01-02 15:04:05 MST")
}
