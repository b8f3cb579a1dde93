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

// PlanChecker checks whether a request fits, by going through each rule at each moment. It uses the tables of
// the contracts and what they allow at a moment, and shares nothing else with maintenance.Plan. Moments are
// multiples of Grid, and so have to be all times of the input.
type PlanChecker struct {
	Input   maintenance.PlanInput // with its ClockMargin
	Tables  map[string]contract.Table
	Windows []*maintenance.Window // all, over or not
	Grid    time.Duration
}

// Rule is one that a request may break; empty: none.
type Rule string

// The rules.
const (
	RuleLength     Rule = "short" // too short to move all keys and back
	RuleContract   Rule = "contract"
	RuleMaxLength  Rule = "longest"
	RuleNotice     Rule = "notice"
	RuleHours      Rule = "hours"
	RuleMonthly    Rule = "monthly"
	RuleTurn       Rule = "turn"
	RuleMovedTwice Rule = "twice" // a tenant is off the server already
	RuleCapacity   Rule = "capacity"
)

// Defaults of a request, a contract's table and a plan's input, written down again here.
const (
	defaultMoveRate       = 0.01
	defaultMaxLengthMin   = 480
	defaultMaxPerMonth    = 4
	defaultKeptCapacity   = 0.7
	defaultPeakLoad       = 0.7
	defaultMaxUtilization = 0.9

	tolerance = 1e-6 // of capacities, for rounding
)

// FirstBroken is the first rule that a request breaks; empty: it fits.
func (p PlanChecker) FirstBroken(a maintenance.WindowRequest) Rule {
	tenants := p.tenants(a)
	steps := math.Ceil(1/cmp.Or(a.MoveRate, defaultMoveRate) - 1e-9)
	if a.To-a.From < 2*time.Duration(steps)*time.Second+cmp.Or(p.Input.MinDrained, maintenance.MinDrained) {
		return RuleLength
	}
	for _, name := range tenants {
		if table, is := p.Tables[name]; !is {
			return RuleContract
		} else if a.To-a.From > time.Duration(cmp.Or(table.MaxLengthMin, defaultMaxLengthMin))*time.Minute {
			return RuleMaxLength
		}
	}
	for _, name := range tenants {
		least := max(time.Duration(p.Tables[name].NoticeMin)*time.Minute, maintenance.MinNotice)
		if a.From-p.Input.Now < least {
			return RuleNotice
		}
	}
	for _, name := range tenants {
		if broken := p.checkContractTimes(a, name); broken != "" {
			return broken
		}
	}
	nodes := p.requestedServers(a)
	for _, n := range nodes {
		if p.Input.IsInTurn != nil && !p.Input.IsInTurn(n, a.From, a.To) {
			return RuleTurn
		}
	}
	for at := a.From; at < a.To; at += p.Grid {
		if broken := p.checkMoment(at, tenants, nodes); broken != "" {
			return broken
		}
	}
	return ""
}

// tenants are the request's tenants, each once.
func (p PlanChecker) tenants(a maintenance.WindowRequest) []string {
	if a.Tenants[0] != maintenance.AllTenants {
		return a.Tenants
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

// requestedServers are the request's servers.
func (p PlanChecker) requestedServers(a maintenance.WindowRequest) (nodes []maintenance.Server) {
	for _, n := range p.Input.Servers {
		if slices.Contains(a.Nodes, n.ID) || a.Zone != "" && n.Zone == a.Zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// checkContractTimes checks what a tenant's contract says of times.
func (p PlanChecker) checkContractTimes(a maintenance.WindowRequest, tenant string) Rule {
	for at := a.From - p.Input.ClockMargin; at < a.To+p.Input.ClockMargin; at += p.Grid {
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
		if slices.Contains(w.Tenants, tenant) && month(w.From) == month(a.From) {
			count++
		}
	}
	if count >= cmp.Or(p.Tables[tenant].MaxPerMonth, defaultMaxPerMonth) {
		return RuleMonthly
	}
	return ""
}

// checkMoment checks what each server carries at a moment.
func (p PlanChecker) checkMoment(at time.Duration, tenants []string, asked []maintenance.Server) Rule {
	listed, total := p.allServers()
	used := map[string]float64{} // fraction of a server's capacity
	for tenant, share := range p.loads(tenants) {
		var mine []maintenance.Server
		if slices.Contains(tenants, tenant) {
			mine = asked
		}
		remaining, broken := p.remainingServers(at, tenant, listed, mine)
		if broken != "" {
			return broken
		}
		capacity := sumCapacity(remaining)
		if mine != nil && capacity < total*cmp.Or(p.Tables[tenant].KeptCapacity, defaultKeptCapacity)-tolerance ||
			capacity < tolerance && (mine != nil || share > 0) {
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

// loads are all tenants' fractions of the load.
func (p PlanChecker) loads(tenants []string) map[string]float64 {
	all, rest := map[string]float64{}, 1.0
	for _, name := range tenants {
		all[name] = 0
	}
	for name, share := range p.Input.TenantLoads {
		all[name], rest = share, rest-share
	}
	all[maintenance.NoTenant] = rest
	return all
}

// allServers are the servers that the fleet has: those of the list, and those that windows hold.
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

// remainingServers are the servers that a tenant may use at a moment, without those of the request.
func (p PlanChecker) remainingServers(at time.Duration, tenant string,
	listed, asked []maintenance.Server,
) ([]maintenance.Server, Rule) {
	var left []maintenance.Server
	for _, n := range listed {
		off, held := false, false
		for _, w := range p.Input.Windows {
			has := slices.Contains(w.Nodes, n.ID)
			off = off || has && w.From <= at && at < w.To && slices.Contains(w.Tenants, tenant)
			held = held || has && w.From <= p.Input.Now && p.Input.Now < w.To
		}
		switch mine := slices.Contains(asked, n); {
		case mine && off:
			return nil, RuleMovedTwice
		case !mine && !off && (held || !n.Absent):
			left = append(left, n)
		}
	}
	return left, ""
}
