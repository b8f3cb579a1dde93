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

// Plan tells whether an ask fits into a scene by going through each rule at each moment. It goes by the
// tables of the contracts and by what they allow at a moment, and has nothing else from maintenance.Plan. Moments
// are multiples of Grid, and so have to be all times in it.
type Plan struct {
	Scene  maintenance.PlanInput // with its Margin
	Tables map[string]contract.Table
	Begun  []*maintenance.Window // all, over or not
	Grid   time.Duration
}

// Rule is one that an ask may break.
type Rule string

// The rules.
const (
	Short    Rule = "short" // too short to move all and back
	Contract Rule = "contract"
	Longest  Rule = "longest"
	Notice   Rule = "notice"
	Hours    Rule = "hours"
	Monthly  Rule = "monthly"
	Turn     Rule = "turn"
	Twice    Rule = "twice" // a tenant is off the node already
	Capacity Rule = "capacity"
)

// Breaks is the rule that an ask breaks; empty: it fits.
func (p Plan) Breaks(a maintenance.WindowRequest) Rule {
	tenants := p.tenants(a)
	steps := math.Ceil(1/cmp.Or(a.MoveRate, 0.01) - 1e-9)
	if a.To-a.From < 2*time.Duration(steps)*time.Second+cmp.Or(p.Scene.MinDrained, maintenance.MinDrained) {
		return Short
	}
	for _, name := range tenants {
		if table, is := p.Tables[name]; !is {
			return Contract
		} else if a.To-a.From > time.Duration(cmp.Or(table.MaxLengthMin, 480))*time.Minute {
			return Longest
		}
	}
	for _, name := range tenants {
		least := max(time.Duration(p.Tables[name].NoticeMin)*time.Minute, maintenance.MinNotice)
		if a.From-p.Scene.Now < least {
			return Notice
		}
	}
	for _, name := range tenants {
		if broken := p.calendar(a, name); broken != "" {
			return broken
		}
	}
	nodes := p.nodes(a)
	for _, n := range nodes {
		if p.Scene.IsInTurn != nil && !p.Scene.IsInTurn(n, a.From, a.To) {
			return Turn
		}
	}
	for at := a.From; at < a.To; at += p.Grid {
		if broken := p.moment(at, tenants, nodes); broken != "" {
			return broken
		}
	}
	return ""
}

func (p Plan) tenants(a maintenance.WindowRequest) []string {
	if a.Tenants[0] != maintenance.AllTenants {
		return a.Tenants
	}
	all := map[string]bool{maintenance.NoTenant: true}
	for name := range p.Scene.TenantLoads {
		all[name] = true
	}
	for name := range p.Tables {
		all[name] = true
	}
	return slices.Sorted(maps.Keys(all))
}

func (p Plan) nodes(a maintenance.WindowRequest) (nodes []maintenance.Server) {
	for _, n := range p.Scene.Servers {
		if slices.Contains(a.Nodes, n.ID) || a.Zone != "" && n.Zone == a.Zone {
			nodes = append(nodes, n)
		}
	}
	return nodes
}

// calendar goes through what a tenant's contract says of times.
func (p Plan) calendar(a maintenance.WindowRequest, tenant string) Rule {
	for at := a.From - p.Scene.ClockMargin; at < a.To+p.Scene.ClockMargin; at += p.Grid {
		if !p.Scene.Contracts[tenant].Allows(at) {
			return Hours
		}
	}
	zone, err := time.LoadLocation(p.Tables[tenant].Zone)
	if err != nil {
		return Contract
	}
	month := func(at time.Duration) string { return time.Unix(0, int64(at)).In(zone).Format("2006-01") }
	count := 0
	for _, w := range p.Begun {
		if slices.Contains(w.Tenants, tenant) && month(w.From) == month(a.From) {
			count++
		}
	}
	if count >= cmp.Or(p.Tables[tenant].MaxPerMonth, 4) {
		return Monthly
	}
	return ""
}

// moment looks at what each node carries at one.
func (p Plan) moment(at time.Duration, tenants []string, asked []maintenance.Server) Rule {
	listed, total := p.listed()
	used := map[string]float64{} // part of what a node can do
	for tenant, share := range p.shares(tenants) {
		var mine []maintenance.Server
		if slices.Contains(tenants, tenant) {
			mine = asked
		}
		left, broken := p.left(at, tenant, listed, mine)
		if broken != "" {
			return broken
		}
		capacity := sum(left)
		if mine != nil && capacity < total*cmp.Or(p.Tables[tenant].KeptCapacity, 0.7)-1e-6 ||
			capacity < 1e-6 && (mine != nil || share > 0) {
			return Capacity
		}
		for _, n := range left {
			used[n.ID] += share * cmp.Or(p.Scene.PeakLoad, 0.7) * total / capacity
		}
	}
	for _, n := range listed {
		if n.Capacity > 0 && used[n.ID] > cmp.Or(p.Scene.MaxUtilization, 0.9)+1e-6 {
			return Capacity
		}
	}
	return ""
}

// shares are all tenants' parts of the load.
func (p Plan) shares(tenants []string) map[string]float64 {
	all, rest := map[string]float64{}, 1.0
	for _, name := range tenants {
		all[name] = 0
	}
	for name, share := range p.Scene.TenantLoads {
		all[name], rest = share, rest-share
	}
	all[maintenance.NoTenant] = rest
	return all
}

// listed are the nodes that the fleet has: those of the list, and those that windows hold.
func (p Plan) listed() (all []maintenance.Server, total float64) {
	all = slices.Clone(p.Scene.Servers)
	usual := sum(all) / float64(len(all))
	for _, w := range p.Scene.Windows {
		for _, id := range w.Nodes {
			if !slices.ContainsFunc(all, func(n maintenance.Server) bool { return n.ID == id }) {
				all = append(all, maintenance.Server{ID: id, Capacity: usual})
			}
		}
	}
	return all, sum(all)
}

func sum(nodes []maintenance.Server) (total float64) {
	for _, n := range nodes {
		total += n.Capacity
	}
	return total
}

// left are the nodes that a tenant may go to at a moment, beside those asked for.
func (p Plan) left(at time.Duration, tenant string, listed, asked []maintenance.Server) ([]maintenance.Server, Rule) {
	var left []maintenance.Server
	for _, n := range listed {
		off, held := false, false
		for _, w := range p.Scene.Windows {
			has := slices.Contains(w.Nodes, n.ID)
			off = off || has && w.From <= at && at < w.To && slices.Contains(w.Tenants, tenant)
			held = held || has && w.From <= p.Scene.Now && p.Scene.Now < w.To
		}
		switch mine := slices.Contains(asked, n); {
		case mine && off:
			return nil, Twice
		case !mine && !off && (held || !n.Absent):
			left = append(left, n)
		}
	}
	return left, ""
}
