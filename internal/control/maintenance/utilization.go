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

// utilization is what servers carry while the requested window and others are on. It changes only where one
// of the others begins or ends, so each time between two such edges is checked once.
type utilization struct {
	planner   *planner
	edges     []time.Duration // where other windows begin or end, in order
	checked   []bool          // by the time between edges; the first is before all edges
	conflicts []*Conflict     // the same

	tenantNames     []string // of all tenants
	loads           []float64
	totalCapacity   float64 // of all servers
	presentCapacity float64 // of those that are not absent
	tenantIndex     map[string]int
	serverIndex     map[string]int

	moved     []bool    // by tenant and server, of the time that is being checked
	remaining []float64 // capacity, by tenant, of the time that is being checked
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

// setLoads lists all tenants with their loads. NoTenant has what the others leave.
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

// conflictDuring is the first conflict within a time; nil: there is none.
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

// checkBefore is the conflict in the time before an edge; nil: there is none.
func (u *utilization) checkBefore(edge int) *Conflict {
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
				return doubleMove(open, tenant, id)
			}
		}
	}
	return cmp.Or(u.keptCapacityConflict(open), u.utilizationConflict(open))
}

// move moves a tenant off a server; false: it is off already.
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

// doubleMove names the window that has a tenant off a server already.
func doubleMove(open []*Window, tenant, id string) *Conflict {
	c := &Conflict{Kind: MovedTwice, Tenant: tenant}
	for _, w := range open {
		if slices.Contains(w.Tenants, tenant) && slices.Contains(w.Nodes, id) {
			until := time.Unix(0, int64(w.To)).UTC().Format(time.DateTime + " MST")
			c.Reason = fmt.Sprintf("tenant %s: is off node %s by window %s until %s", tenant, id, w.ID, until)
			return c
		}
	}
	c.Reason = fmt.Sprintf("node %s is listed twice", id)
	return c
}

// keptCapacityConflict names a tenant that has less capacity left than its contract keeps.
func (u *utilization) keptCapacityConflict(open []*Window) *Conflict {
	for i, tenant := range u.planner.tenants {
		remaining := u.remaining[u.tenantIndex[tenant]]
		if remaining <= u.totalCapacity*tolerance {
			return u.planner.tenantConflict(KeptCapacityMissed, i, "is left without a node%s", withWindows(open))
		}
		fraction, kept := remaining/u.totalCapacity, u.planner.contracts[i].KeptCapacity()
		if fraction < kept-tolerance {
			return u.planner.tenantConflict(KeptCapacityMissed, i,
				"%.3g of the capacity remains, its contract keeps %.3g%s", fraction, kept, withWindows(open))
		}
	}
	return nil
}

// utilizationConflict names the server that is used most, if it is used too much.
func (u *utilization) utilizationConflict(open []*Window) *Conflict {
	perTenant := make([]float64, len(u.loads)) // fraction of a server's capacity that the tenant uses
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
			"node %s is used to %.3g of what it can, %.3g at most may be%s", id, highest,
			u.planner.input.MaxUtilization, withWindows(open))}
	}
	return nil
}

// withWindows names other windows for a conflict's reason, at most four of them.
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
