package judge

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
)

// PlanChecker checks whether a window request fits by evaluating each rule at each moment. It is
// independent of maintenance.Plan, except for the tables of the contracts and Contract.Allows. Moments are
// multiples of Grid, and all times of the input must be, too.
type PlanChecker struct {
	Input   maintenance.PlanInput // including its ClockMargin
	Tables  map[string]contract.Table
	Windows []*maintenance.Window // all windows, including past ones
	Grid    time.Duration
}

// Rule names a rule that a request may violate; empty: none.
type Rule string

// The rules.
const (
	RuleLength     Rule = "short" // too short to move all keys and return them
	RuleContract   Rule = "contract"
	RuleMaxLength  Rule = "longest"
	RuleNotice     Rule = "notice"
	RuleHours      Rule = "hours"
	RuleMonthly    Rule = "monthly"
	RuleTurn       Rule = "turn"
	RuleMovedTwice Rule = "twice" // the tenant is already moved off the server by another window
	RuleCapacity   Rule = "capacity"
)

// Defaults of a request, a contract's table and a plan's input. They repeat those of the code under test so
// that the check is independent.
const (
	defaultMoveRate       = 0.01
	defaultMaxLengthMin   = 480
	defaultMaxPerMonth    = 4
	defaultKeptCapacity   = 0.7
	defaultPeakLoad       = 0.7
	defaultMaxUtilization = 0.9

	tolerance = 1e-6 // rounding tolerance of capacities
)

// FirstViolatedRule returns the first rule that a request violates, or an empty Rule if it fits.
func (p PlanChecker) FirstViolatedRule(r maintenance.WindowRequest) Rule {
	tenants := p.tenants(r)
	steps := math.Ceil(1/cmp.Or(r.MoveRate, defaultMoveRate) - 1e-9)
	if r.To-r.From < 2*time.Duration(steps)*time.Second+cmp.Or(p.Input.MinDrained, maintenance.MinDrained) {
		return RuleLength
	}
	for _, name := range tenants {
		if table, known := p.Tables[name]; !known {
			return RuleContract
		} else if r.To-r.From > time.Duration(cmp.Or(table.MaxLengthMin, defaultMaxLengthMin))*time.Minute {
			return RuleMaxLength
		}
	}
	for _, name := range tenants {
		minNotice := max(time.Duration(p.Tables[name].NoticeMin)*time.Minute, maintenance.MinNotice)
		if r.From-p.Input.Now < minNotice {
			return RuleNotice
		}
	}
	for _, name := range tenants {
		if rule := p.checkContractTimes(r, name); rule != "" {
			return rule
		}
	}
	nodes := p.requestedServers(r)
	for _, n := range nodes {
		if p.Input.IsInTurn != nil && !p.Input.IsInTurn(n, r.From, r.To) {
			return RuleTurn
		}
	}
	for at := r.From; at < r.To; at += p.Grid {
		if rule := p.checkMoment(at, tenants, nodes); rule != "" {
			return rule
		}
	}
	return ""
}

// tenants returns the request's tenants without duplicates.
func (p PlanChecker) tenants(request maintenance.WindowRequest) []string {
	if request.Tenants[0] != maintenance.AllTenants {
		return request.Tenants
	}
	all := map[string]bool{maintenance.NoTenant: true}
	for name := range p.Input.TenantLoads {
		all[name] = true
	}
	for name := range p.Tables {
		all[name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

// requestedServers returns the request's servers.
func (p PlanChecker) requestedServers(request maintenance.WindowRequest) (servers []maintenance.Server) {
	for _, n := range p.Input.Servers {
		if slices.Contains(request.Nodes, n.ID) || request.Zone != "" && n.Zone == request.Zone {
			servers = append(servers, n)
		}
	}
	return servers
}

// checkContractTimes returns the rule on hours or on the number of windows a month that a request violates
// for a tenant, or an empty Rule.
func (p PlanChecker) checkContractTimes(request maintenance.WindowRequest, tenant string) Rule {
	for at := request.From - p.Input.ClockMargin; at < request.To+p.Input.ClockMargin; at += p.Grid {
		if !p.Input.Contracts[tenant].Allows(at) {
			return RuleHours
		}
	}
	zone, err := time.LoadLocation(p.Tables[tenant].Zone)
	if err != nil {
		return RuleContract
	}
	month := func(at time.Duration) string { return time.Unix(0, int64(at)).In(zone).Format("2006-01") }
	count := 0
	for _, w := range p.Windows {
		if slices.Contains(w.Tenants, tenant) && month(w.From) == month(request.From) {
			count++
		}
	}
	if count >= cmp.Or(p.Tables[tenant].MaxPerMonth, defaultMaxPerMonth) {
		return RuleMonthly
	}
	return ""
}

// checkMoment returns the rule on capacity that is violated at a moment, or an empty Rule.
func (p PlanChecker) checkMoment(at time.Duration, tenants []string, requested []maintenance.Server) Rule {
	listed, total := p.allServers()
	used := map[string]float64{} // fraction of each server's capacity
	for tenant, share := range p.loads(tenants) {
		var moved []maintenance.Server
		if slices.Contains(tenants, tenant) {
			moved = requested
		}
		remaining, rule := p.remainingServers(at, tenant, listed, moved)
		if rule != "" {
			return rule
		}
		capacity := sumCapacity(remaining)
		if moved != nil && capacity < total*cmp.Or(p.Tables[tenant].KeptCapacity, defaultKeptCapacity)-tolerance ||
			capacity < tolerance && (moved != nil || share > 0) {
			return RuleCapacity
		}
		for _, n := range remaining {
			used[n.ID] += share * cmp.Or(p.Input.PeakLoad, defaultPeakLoad) * total / capacity
		}
	}
	for _, n := range listed {
		if n.Capacity > 0 && used[n.ID] > cmp.Or(p.Input.MaxUtilization, defaultMaxUtilization)+tolerance {
			return RuleCapacity
		}
	}
	return ""
}

// loads returns the fraction of the load by tenant, for tenants, those with a load and NoTenant.
func (p PlanChecker) loads(tenants []string) map[string]float64 {
	all, remaining := map[string]float64{}, 1.0
	for _, name := range tenants {
		all[name] = 0
	}
	for name, share := range p.Input.TenantLoads {
		all[name], remaining = share, remaining-share
	}
	all[maintenance.NoTenant] = remaining
	return all
}

// allServers returns the listed servers and those in windows, and their total capacity. A server that is not
// listed counts with the mean capacity.
func (p PlanChecker) allServers() (all []maintenance.Server, total float64) {
	all = slices.Clone(p.Input.Servers)
	mean := sumCapacity(all) / float64(len(all))
	for _, w := range p.Input.Windows {
		for _, id := range w.Nodes {
			if !slices.ContainsFunc(all, func(n maintenance.Server) bool { return n.ID == id }) {
				all = append(all, maintenance.Server{ID: id, Capacity: mean})
			}
		}
	}
	return all, sumCapacity(all)
}

func sumCapacity(nodes []maintenance.Server) (total float64) {
	for _, n := range nodes {
		total += n.Capacity
	}
	return total
}

// remainingServers returns the servers that a tenant may use at a moment, without those of the request. It
// returns RuleMovedTwice if the tenant is already moved off one of these.
func (p PlanChecker) remainingServers(at time.Duration, tenant string,
	listed, requested []maintenance.Server,
) ([]maintenance.Server, Rule) {
	var remaining []maintenance.Server
	for _, n := range listed {
		isMoved, inWindow := false, false
		for _, w := range p.Input.Windows {
			contains := slices.Contains(w.Nodes, n.ID)
			isMoved = isMoved || contains && w.From <= at && at < w.To && slices.Contains(w.Tenants, tenant)
			inWindow = inWindow || contains && w.From <= p.Input.Now && p.Input.Now < w.To
		}
		switch isRequested := slices.Contains(requested, n); {
		case isRequested && isMoved:
			return nil, RuleMovedTwice
		case !isRequested && !isMoved && (inWindow || !n.Absent):
			remaining = append(remaining, n)
		}
	}
	return remaining, ""
}
