package maintenance

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// use is what nodes carry while the ask's window and others are on. It changes only where one of the others
// begins or ends, so each time between two such edges is looked at once.
type utilization struct {
	planner         *planner
	edges           []time.Duration
	checked         []bool // by the time between edges: the first is before all of them
	conflicts       []*Conflict
	tenantNames     []string // all tenants
	loadShares      []float64
	totalCapacity   float64 // capacity of all nodes
	presentCapacity float64 // and of those that are not absent
	tenantIndex     map[string]int
	serverIndex     map[string]int
	moved           []bool    // by tenant and node: moved away
	remaining       []float64 // capacity, by tenant
}

func newUtilization(p *planner) utilization {
	u := utilization{planner: p, tenantIndex: map[string]int{}, serverIndex: map[string]int{}}
	for _, w := range p.input.Windows {
		u.edges = append(u.edges, w.From, w.To)
	}
	slices.Sort(u.edges)
	u.edges = slices.Compact(u.edges)
	u.checked, u.conflicts = make([]bool, len(u.edges)+1), make([]*Conflict, len(u.edges)+1)
	rest := 1.0
	u.tenantNames = append(slices.Collect(maps.Keys(p.input.TenantLoads)), p.tenants...)
	u.tenantNames = append(u.tenantNames, NoTenant)
	slices.Sort(u.tenantNames)
	u.tenantNames = slices.Compact(u.tenantNames)
	for i, name := range u.tenantNames {
		u.tenantIndex[name] = i
		share := finiteOrZero(p.input.TenantLoads[name])
		if name == NoTenant {
			share = 0
		}
		u.loadShares, rest = append(u.loadShares, share), rest-share
	}
	u.loadShares[u.tenantIndex[NoTenant]] = max(rest, 0)
	for i, n := range p.input.Servers {
		u.serverIndex[n.ID] = i
		if u.totalCapacity += n.Capacity; !n.Absent {
			u.presentCapacity += n.Capacity
		}
	}
	u.moved, u.remaining = make([]bool, len(u.tenantNames)*len(p.input.Servers)), make([]float64, len(u.tenantNames))
	return u
}

// misfit is the first thing that is wrong in a time; nil: nothing is.
func (u *utilization) conflictDuring(from, to time.Duration) *Conflict {
	after := func(edge, at time.Duration) int {
		if edge <= at {
			return -1
		}
		return 1
	}
	i, _ := slices.BinarySearchFunc(u.edges, from, after) // the time up to the first edge after from
	for ; i < len(u.checked); i++ {
		if !u.checked[i] {
			u.checked[i], u.conflicts[i] = true, u.checkBefore(i)
		}
		if u.conflicts[i] != nil {
			return u.conflicts[i]
		}
		if i == len(u.edges) || u.edges[i] >= to {
			break
		}
	}
	return nil
}

// look tells what is wrong in the time before an edge.
func (u *utilization) checkBefore(before int) *Conflict {
	var open []*Window
	if before > 0 {
		at := u.edges[before-1]
		for _, w := range u.planner.input.Windows {
			if w.From <= at && at < w.To {
				open = append(open, w)
			}
		}
	}
	clear(u.moved)
	for i := range u.remaining {
		u.remaining[i] = u.presentCapacity
	}
	for _, w := range open {
		for _, tenant := range w.Tenants {
			for _, id := range w.Nodes {
				u.move(tenant, id)
			}
		}
	}
	for _, i := range u.planner.requestedServers {
		id := u.planner.input.Servers[i].ID
		for _, tenant := range u.planner.tenants {
			if !u.move(tenant, id) {
				return u.doubleMove(open, tenant, id)
			}
		}
	}
	return cmp.Or(u.keptCapacityConflict(open), u.utilizationConflict(open))
}

// move takes a tenant off a node. False: it is off already.
func (u *utilization) move(tenant, id string) bool {
	t, known := u.tenantIndex[tenant]
	n, there := u.serverIndex[id]
	if !known || !there {
		return true
	}
	at := t*len(u.planner.input.Servers) + n
	if u.moved[at] {
		return false
	}
	u.moved[at] = true
	if node := u.planner.input.Servers[n]; !node.Absent {
		u.remaining[t] -= node.Capacity
	}
	return true
}

func (u *utilization) doubleMove(open []*Window, tenant, id string) *Conflict {
	for _, w := range open {
		if slices.Contains(w.Tenants, tenant) && slices.Contains(w.Nodes, id) {
			until := time.Unix(0, int64(w.To)).UTC().Format(time.DateTime + " MST")
			return &Conflict{Tenant: tenant, Reason: fmt.Sprintf("tenant %s: is off node %s by window %s until %s",
				tenant, id, w.ID, until)}
		}
	}
	return &Conflict{Tenant: tenant, Reason: fmt.Sprintf("node %s is listed twice", id)}
}

// kept tells which tenant has less capacity left than its contract keeps.
func (u *utilization) keptCapacityConflict(open []*Window) *Conflict {
	for i, tenant := range u.planner.tenants {
		left := u.remaining[u.tenantIndex[tenant]]
		if left <= u.totalCapacity*tolerance {
			return u.planner.tenantConflict(i, "is left without a node%s", withWindows(open))
		}
		if part, keep := left/u.totalCapacity, u.planner.contracts[i].KeptCapacity(); part < keep-tolerance {
			return u.planner.tenantConflict(i, "%.3g of the capacity remains, its contract keeps %.3g%s", part, keep, withWindows(open))
		}
	}
	return nil
}

// most tells which node is used too much.
func (u *utilization) utilizationConflict(open []*Window) *Conflict {
	per := make([]float64, len(u.loadShares)) // of a node's capacity, by tenant
	all := 0.0
	for t, share := range u.loadShares {
		if share == 0 {
			continue
		}
		if u.remaining[t] <= u.totalCapacity*tolerance {
			return &Conflict{Tenant: u.tenantNames[t], Reason: "tenant " + u.tenantNames[t] + ": has no node left" + withWindows(open)}
		}
		per[t] = share * u.planner.input.PeakLoad * u.totalCapacity / u.remaining[t]
		all += per[t]
	}
	fullest, id := math.Inf(-1), ""
	for n, node := range u.planner.input.Servers {
		used := all
		for t := range per {
			if u.moved[t*len(u.planner.input.Servers)+n] {
				used -= per[t]
			}
		}
		if used > fullest && node.Capacity > 0 && !node.Absent {
			fullest, id = used, node.ID
		}
	}
	if fullest > u.planner.input.MaxUtilization+tolerance {
		return &Conflict{Reason: fmt.Sprintf("node %s is used to %.3g of what it can, %.3g at most may be%s", id,
			fullest, u.planner.input.MaxUtilization, withWindows(open))}
	}
	return nil
}

// beside names other windows, some of them.
func withWindows(open []*Window) string {
	var names []string
	for i, w := range open {
		if i == 4 {
			names = append(names, fmt.Sprintf("and %d more", len(open)-i))
			break
		}
		names = append(names, w.ID)
	}
	if names == nil {
		return ""
	}
	return ", with windows " + strings.Join(names, ", ")
}
