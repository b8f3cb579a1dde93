package main

import (
	"context"
	"log/slog"
	"math"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/maintenancelog"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
)

// windowControl carries out maintenance windows at this agent. Only the fleet's actor accesses it, except for
// lastStats.
type windowControl struct {
	adapter   *maintenancelog.Adapter
	logged    map[string]windowLog            // the last logged state of each window, by id
	lastStats map[string]balancer.TenantStats // the previous counts, by tenant; accessed only by watchEndpoints
}

// windowLog is the last logged state of a window.
type windowLog struct {
	state  maintenance.State
	reason string
}

// endpointListInterval is how often this agent's list is read for windows and the ring, and how often
// tenants' requests are counted while a window moves traffic.
const endpointListInterval = 2 * time.Second

// startMaintenance enables maintenance windows, and returns their adapter.
func (f *fleetMember) startMaintenance(n *fleet.Settings) *maintenancelog.Adapter {
	o := f.settings.operator.Fleet
	f.maintenance = &windowControl{logged: map[string]windowLog{}, lastStats: map[string]balancer.TenantStats{}}
	f.maintenance.adapter = maintenancelog.New(maintenancelog.Settings{
		Self: n.Self, IsVoter: n.IsVoter(), Incarnation: n.Incarnation, MachineNumber: maintenanceMachine,
		Times: f.policyTimes(n.Terms), Groups: int(o.MaintenanceGroups), MaxInFlight: seconds(o.MaxRequestS),
		ClockMargin: seconds(o.SafetyMarginS), MinNotice: seconds(o.MinNoticeS),
		InForce: f.policyInForce, View: f.leaderView,
	})
	return f.maintenance.adapter
}

// leaderView returns what a leader's decisions depend on at this agent. The fleet's actor calls it.
func (f *fleetMember) leaderView(now fleet.ClockReading) maintenance.LeaderView {
	s := f.policies.State()
	v := maintenance.LeaderView{InForce: s.InForce.Number, ChangeOpen: s.OpenChange != nil}
	if actor := f.actor.Load(); actor != nil {
		v.Standing = actor.LeaseStanding(now)
	}
	v.Active = f.policies.Active(now, v.Standing)
	v.Servers = f.maintenanceServers(v.Active.Effect)
	return v
}

// maintenanceServers returns the servers of this agent's own list that are not gone.
func (f *fleetMember) maintenanceServers(e *policy.Effect) (servers []maintenance.Server) {
	for _, s := range f.endpoints {
		if s.State != balancer.Gone {
			servers = append(servers, maintenance.Server{
				ID: s.ID, Zone: s.Zone, Capacity: e.Capacity.Of(s.ID, s.MachineKind),
				Absent: s.State != balancer.Ready,
			})
		}
	}
	return servers
}

// watchEndpoints reports this agent's endpoint list and counts to windows and ring. It does not return.
func (f *fleetMember) watchEndpoints(actor *agent.FleetActor) {
	for {
		f.updateView(actor)
		f.reportPaces(actor)
		f.watchRing(actor, time.Now().Add(endpointListInterval))
	}
}

// updateView reads this agent's list, and reports the counts of tenants' requests while a window moves
// traffic.
func (f *fleetMember) updateView(actor *agent.FleetActor) {
	ctx, cancel := context.WithTimeout(context.Background(), endpointListInterval)
	defer cancel()
	endpoints, known := f.manual.agent.Endpoints(ctx)
	moving := false
	actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		if known {
			f.endpoints = endpoints
			f.updateRingView(n, now)
		}
		moving = f.maintenance != nil && f.maintenance.adapter.MovesTraffic(now)
		f.logWindows()
	})
	if moving {
		f.reportTenants(ctx, actor)
	} else if f.maintenance != nil {
		clear(f.maintenance.lastStats)
	}
}

// reportTenants reports the outcomes of the tenants' requests to the windows.
func (f *fleetMember) reportTenants(ctx context.Context, actor *agent.FleetActor) {
	stats, shedding := f.manual.agent.TenantStats(ctx)
	if stats == nil {
		return
	}
	counts := f.maintenance.countsSince(stats)
	actor.Do(ctx, func(_ *fleet.Node, now fleet.ClockReading) {
		f.maintenance.adapter.SetOverloaded(shedding)
		f.maintenance.adapter.AddCounts(now, counts)
	})
}

// countsSince returns the counts since the last call. The first call while a window moves traffic returns
// nil.
func (c *windowControl) countsSince(stats []balancer.TenantStats) (counts []maintenance.TenantCounts) {
	isFirst := len(c.lastStats) == 0
	for _, s := range stats {
		before := c.lastStats[s.Tenant]
		if c.lastStats[s.Tenant] = s; isFirst {
			continue
		}
		since := func(now, before uint64) uint32 { return uint32(min(now-before, math.MaxUint32)) }
		counts = append(counts, maintenance.TenantCounts{
			Tenant: s.Tenant, Requests: since(s.Requests, before.Requests), Served: since(s.Served, before.Served),
			ExclusionOverrides: since(s.ExclusionOverrides, before.ExclusionOverrides),
			Failed:             since(s.Failed, before.Failed) + since(s.Rejected, before.Rejected),
		})
	}
	return counts
}

// logWindows logs each change of a window's state once. The fleet's actor calls it after records were
// applied, and as time passes.
func (f *fleetMember) logWindows() {
	if f.maintenance == nil {
		return
	}
	logged := map[string]windowLog{}
	for _, w := range f.maintenance.adapter.Windows(agent.ReadClocks()) {
		now := windowLog{w.State, w.Reason}
		logged[w.ID] = now
		if before, ok := f.maintenance.logged[w.ID]; ok && before == now {
			continue
		}
		level := slog.LevelInfo
		if w.Reason != "" {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "fleet: maintenance window changed state", "id", w.ID,
			"state", w.State.String(), "nodes", w.Nodes, "tenants", w.Tenants, "from", formatTime(unixTime(w.From)),
			"to", formatTime(unixTime(w.To)), "reason", w.Reason)
	}
	for _, o := range f.maintenance.adapter.Outcomes() {
		if o.Status != policy.StatusRejected {
			continue
		}
		now := windowLog{reason: o.Reason()}
		if logged[o.ID] = now; f.maintenance.logged[o.ID] != now {
			slog.Info("fleet: maintenance window rejected", "id", o.ID, "reason", o.Reason())
		}
	}
	f.maintenance.logged = logged
}
