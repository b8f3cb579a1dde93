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

// utilization computes the load of servers and the capacity left to tenants while the requested window and
// others are in progress. These change only where another window begins or ends, so each interval between two
// such edges is checked once.
type utilization struct {
	planner   *planner
	edges     []time.Duration // where other windows begin or end, ascending
	checked   []bool          // by interval; interval i ends at edges[i], the last has no end
	conflicts []*Conflict     // by interval

	tenantNames     []string // of all tenants
	loads           []float64
	totalCapacity   float64 // of all servers
	presentCapacity float64 // of the servers that are not absent
	tenantIndex     map[string]int
	serverIndex     map[string]int

	moved     []bool    // by tenant and server, in the interval being checked
	remaining []float64 // capacity by tenant, in the interval being checked
}

func newUtilization(p *planner) utilization {
	u := utilization{planner: p, tenantIndex: map[string]int{}, serverIndex: map[string]int{}}
	for _, w := range p.input.Windows {
		u.edges = append(u.edges, w.From, w.To)
	}
	slices.Sort(u.edges)
	u.edges = slices.Compact(u.edges)
	u.checked, u.conflicts = make([]bool, len(u.edges)+1), make([]*Conflict, len(u.edges)+1)
	u.setLoads()
	for i, s := range p.input.Servers {
		u.serverIndex[s.ID] = i
		if u.totalCapacity += s.Capacity; !s.Absent {
			u.presentCapacity += s.Capacity
		}
	}
	u.moved = make([]bool, len(u.tenantNames)*len(p.input.Servers))
	u.remaining = make([]float64, len(u.tenantNames))
	return u
}

// setLoads sets the tenants and their loads. NoTenant has the load that the others leave.
func (u *utilization) setLoads() {
	loads, rest := u.planner.input.TenantLoads, 1.0
	u.tenantNames = append(slices.Collect(maps.Keys(loads)), u.planner.tenants...)
	u.tenantNames = append(u.tenantNames, NoTenant)
	slices.Sort(u.tenantNames)
	u.tenantNames = slices.Compact(u.tenantNames)
	for i, name := range u.tenantNames {
		u.tenantIndex[name] = i
		load := finiteOrZero(loads[name])
		if name == NoTenant {
			load = 0
		}
		u.loads, rest = append(u.loads, load), rest-load
	}
	u.loads[u.tenantIndex[NoTenant]] = max(rest, 0)
}

// conflictDuring returns the first conflict in [from, to); nil if there is none.
func (u *utilization) conflictDuring(from, to time.Duration) *Conflict {
	after := func(edge, at time.Duration) int {
		if edge <= at {
			return -1
		}
		return 1
	}
	i, _ := slices.BinarySearchFunc(u.edges, from, after) // interval up to the first edge after from
	for ; i < len(u.checked); i++ {
		if !u.checked[i] {
			u.checked[i], u.conflicts[i] = true, u.conflictBefore(i)
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

// conflictBefore returns the conflict in the interval that ends at an edge, given by its index; nil if there
// is none.
func (u *utilization) conflictBefore(edge int) *Conflict {
	var open []*Window
	if edge > 0 {
		at := u.edges[edge-1]
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
				return movedTwiceConflict(open, tenant, id)
			}
		}
	}
	return cmp.Or(u.keptCapacityConflict(open), u.utilizationConflict(open))
}

// move moves a tenant off a server. It returns false if the tenant was moved off it before.
func (u *utilization) move(tenant, id string) bool {
	t, known := u.tenantIndex[tenant]
	s, listed := u.serverIndex[id]
	if !known || !listed {
		return true
	}
	at := t*len(u.planner.input.Servers) + s
	if u.moved[at] {
		return false
	}
	u.moved[at] = true
	if server := u.planner.input.Servers[s]; !server.Absent {
		u.remaining[t] -= server.Capacity
	}
	return true
}

// movedTwiceConflict returns a conflict that names the window that already moves a tenant off a server.
func movedTwiceConflict(open []*Window, tenant, id string) *Conflict {
	c := &Conflict{Kind: MovedTwice, Tenant: tenant}
	for _, w := range open {
		if slices.Contains(w.Tenants, tenant) && slices.Contains(w.Nodes, id) {
			until := time.Unix(0, int64(w.To)).UTC().Format(time.DateTime + " MST")
			c.Reason = fmt.Sprintf("tenant %s: moved off node %s by window %s until %s", tenant, id, w.ID, until)
			return c
		}
	}
	c.Reason = fmt.Sprintf("node %s is listed twice", id)
	return c
}

// keptCapacityConflict returns a conflict for a requested tenant that would have less capacity left than its
// contract requires; nil if there is none.
func (u *utilization) keptCapacityConflict(open []*Window) *Conflict {
	for i, tenant := range u.planner.tenants {
		remaining := u.remaining[u.tenantIndex[tenant]]
		if remaining <= u.totalCapacity*tolerance {
			return u.planner.tenantConflict(KeptCapacityMissed, i, "is left without a node%s", withWindows(open))
		}
		fraction, kept := remaining/u.totalCapacity, u.planner.contracts[i].KeptCapacity()
		if fraction < kept-tolerance {
			return u.planner.tenantConflict(KeptCapacityMissed, i,
				"%.3g of the capacity remains, its contract requires %.3g%s", fraction, kept, withWindows(open))
		}
	}
	return nil
}

// utilizationConflict returns a conflict for the most utilized server if its utilization exceeds
// MaxUtilization, or for a tenant that has load and no server; nil if there is none.
func (u *utilization) utilizationConflict(open []*Window) *Conflict {
	perTenant := make([]float64, len(u.loads)) // fraction of a server's capacity used by the tenant
	all := 0.0
	for t, load := range u.loads {
		if load == 0 {
			continue
		}
		if u.remaining[t] <= u.totalCapacity*tolerance {
			return &Conflict{
				Kind: KeptCapacityMissed, Tenant: u.tenantNames[t],
				Reason: "tenant " + u.tenantNames[t] + ": has no node left" + withWindows(open),
			}
		}
		perTenant[t] = load * u.planner.input.PeakLoad * u.totalCapacity / u.remaining[t]
		all += perTenant[t]
	}
	highest, id := math.Inf(-1), ""
	for s, server := range u.planner.input.Servers {
		used := all
		for t := range perTenant {
			if u.moved[t*len(u.planner.input.Servers)+s] {
				used -= perTenant[t]
			}
		}
		if used > highest && server.Capacity > 0 && !server.Absent {
			highest, id = used, server.ID
		}
	}
	if highest > u.planner.input.MaxUtilization+tolerance {
		return &Conflict{Kind: Overutilized, Reason: fmt.Sprintf(
			"node %s would use %.3g of its capacity, which exceeds the limit of %.3g%s", id, highest,
			u.planner.input.MaxUtilization, withWindows(open))}
	}
	return nil
}

// withWindows returns a suffix for a conflict's reason that names up to four other windows; empty if none.
func withWindows(open []*Window) string {
	const maxNamed = 4
	var names []string
	for i, w := range open {
		if i == maxNamed {
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
