package main

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"math"
	"net/http"
	"slices"
	"time"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	windowseat "dunestep/internal/control/maintenance/maintenancelog"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/protocol"
)

// windowControl is what this agent has for maintenance windows; nil: they do not hold here.
type windowControl struct {
	seat   *windowseat.Adapter
	before map[string]balancer.TenantStats // what was counted when it was last looked at
	told   map[string]toldOf               // what the log has of each window
}

type toldOf struct {
	state  maintenance.State
	reason string
}

// watchEvery is how often this agent's list is looked at for windows, and what its tenants' requests come to
// while one moves something.
const watchEvery = 2 * time.Second

// sitWindows has maintenance windows hold here.
func (p *fleetMember) sitWindows(n *fleet.Settings) *windowseat.Adapter {
	f := p.told.operator.Fleet
	p.windows = &windowControl{told: map[string]toldOf{}, before: map[string]balancer.TenantStats{}}
	p.windows.seat = windowseat.New(windowseat.Settings{
		Self: n.Self, IsVoter: n.IsVoter(),
		Incarnation: n.Incarnation, MachineNumber: windowMachine, Times: p.policyTimes(n.Terms), Turns: int(f.Turns),
		MaxInFlight: seconds(f.LingerS),
		ClockMargin: seconds(f.MarginS), MinNotice: seconds(f.NoticeS),
		InForce: p.inForce,
		View:    p.view,
	})
	return p.windows.seat
}

// view is what the leader's council sees here. It is asked by the actor.
func (p *fleetMember) view(now fleet.ClockReading) maintenance.LeaderView {
	s := p.seat.State()
	v := maintenance.LeaderView{InForce: s.InForce.Number, ChangeOpen: s.OpenChange != nil}
	if actor := p.actor.Load(); actor != nil {
		v.Standing = actor.LeaseStanding(now)
	}
	v.Active = p.seat.Active(now, v.Standing)
	v.Servers = p.nodes(v.Active.Effect)
	return v
}

// nodes are the servers of the own list that are not gone.
func (p *fleetMember) nodes(e *policy.Effect) (nodes []maintenance.Server) {
	for _, s := range p.servers {
		if s.State != balancer.Gone {
			nodes = append(nodes, maintenance.Server{
				ID: s.ID, Zone: s.Zone, Capacity: e.Capacity.Of(s.ID, s.MachineKind),
				Absent: s.State != balancer.Ready,
			})
		}
	}
	return nodes
}

// watch tells what stands above the node what this agent sees, again and again.
func (p *fleetMember) watch(actor *agent.FleetActor) {
	for {
		p.lookOnce(actor)
		p.tellPaces(actor)
		p.lookAtRing(actor, time.Now().Add(watchEvery))
	}
}

func (p *fleetMember) lookOnce(actor *agent.FleetActor) {
	ctx, cancel := context.WithTimeout(context.Background(), watchEvery)
	defer cancel()
	servers, known := p.hand.agent.Endpoints(ctx)
	moving := false
	actor.Do(ctx, func(n *fleet.Node, now fleet.ClockReading) {
		if known {
			p.servers = servers
			p.see(n, now)
		}
		moving = p.windows != nil && p.windows.seat.MovesTraffic(now)
		p.tellWindows()
	})
	if moving {
		p.tellStrain(ctx, actor)
	} else if p.windows != nil {
		clear(p.windows.before)
	}
}

// tellStrain tells how the tenants' requests fare.
func (p *fleetMember) tellStrain(ctx context.Context, actor *agent.FleetActor) {
	strain, damps := p.hand.agent.TenantStats(ctx)
	if strain == nil {
		return
	}
	counts := p.windows.counts(strain)
	actor.Do(ctx, func(_ *fleet.Node, now fleet.ClockReading) {
		p.windows.seat.SetOverloaded(damps)
		p.windows.seat.AddCounts(now, counts)
	})
}

// counts are what came since it was last called; of the first call while something moves: nothing.
func (w *windowControl) counts(all []balancer.TenantStats) (counts []maintenance.TenantCounts) {
	first := len(w.before) == 0
	for _, s := range all {
		b := w.before[s.Tenant]
		if w.before[s.Tenant] = s; first {
			continue
		}
		since := func(now, before uint64) uint32 { return uint32(min(now-before, math.MaxUint32)) }
		counts = append(counts, maintenance.TenantCounts{
			Tenant: s.Tenant, Requests: since(s.Requests, b.Requests),
			Served: since(s.Served, b.Served), ExclusionOverrides: since(s.ExclusionOverrides, b.ExclusionOverrides),
			Failed: since(s.Failed, b.Failed) + since(s.Rejected, b.Rejected),
		})
	}
	return counts
}

// tellWindows writes to the log what has become of windows, each change once. The actor calls it as records
// were applied, and as time passes.
func (p *fleetMember) tellWindows() {
	if p.windows == nil {
		return
	}
	known := map[string]toldOf{}
	for _, w := range p.windows.seat.Windows(agent.ReadClocks()) {
		now := toldOf{w.State, w.Reason}
		known[w.ID] = now
		if was, is := p.windows.told[w.ID]; is && was == now {
			continue
		}
		level := slog.LevelInfo
		if w.Reason != "" {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "fleet: maintenance window changed state", "id", w.ID, "state", w.State.String(),
			"nodes", w.Nodes, "tenants", w.Tenants, "from", local(unixTime(w.From)),
			"to", local(unixTime(w.To)), "reason", w.Reason)
	}
	for _, o := range p.windows.seat.Outcomes() {
		if o.Status != policy.StatusRejected {
			continue
		}
		if known[o.ID] = (toldOf{reason: o.Reason()}); p.windows.told[o.ID] != known[o.ID] {
			slog.Info("fleet: maintenance window rejected", "id", o.ID, "reason", o.Reason())
		}
	}
	p.windows.told = known
}

// windowsCall answers a call about windows.
func (p *fleetMember) windowsCall(ctx context.Context, actor *agent.FleetActor, call protocol.OpsCall) (status int,
	body []byte,
) {
	if p.windows == nil {
		return http.StatusNotFound, nil
	}
	answer := func(*fleet.Node, fleet.ClockReading) {}
	switch call.Kind {
	case protocol.OpsWindows:
		answer = func(n *fleet.Node, now fleet.ClockReading) {
			status, body = answerJSON(http.StatusOK, p.windowsState(n, now))
		}
	case protocol.OpsWindowOutcome:
		answer = func(n *fleet.Node, now fleet.ClockReading) {
			status, body = answerJSON(http.StatusOK, p.windowOutcome(now, call.ID))
		}
	case protocol.OpsWindowCheck, protocol.OpsWindowRequest:
		// Its own list as it is now, not as it was seconds ago.
		if servers, known := p.hand.agent.Endpoints(ctx); known {
			answer = func(n *fleet.Node, now fleet.ClockReading) {
				p.servers = servers
				status, body = p.askWindow(n, now, call)
			}
		} else {
			return late()
		}
	case protocol.OpsWindowStop:
		answer = func(n *fleet.Node, now fleet.ClockReading) { status, body = p.stopWindow(n, now, call.ID) }
	}
	if !actor.Do(ctx, answer) {
		return late()
	}
	return status, body
}

// askWindow plans what is asked for by what is known here, and, unless it is only to be checked, proposes it.
func (p *fleetMember) askWindow(n *fleet.Node, now fleet.ClockReading, call protocol.OpsCall) (int, []byte) {
	asks := call.Kind == protocol.OpsWindowRequest
	if asks {
		// The same call again: it is known what came of it.
		if o := p.windowOutcome(now, call.ID); o.End != policy.StatusUnknown.String() {
			return answerJSON(http.StatusOK, o)
		}
	}
	standing := n.Standing(now)
	acting := p.seat.Active(now, standing)
	switch {
	case standing != lease.Full:
		return http.StatusServiceUnavailable, []byte("this agent holds no lease: ask another\n")
	case acting.Mode != policy.ModeFull: // between two versions
		return answerJSON(http.StatusOK, windowOutcome{End: policy.StatusUnknown.String(), Reason: takesHold})
	}
	ask := maintenance.WindowRequest{
		ID: call.ID, Agent: p.told.Settings.Self, Nodes: call.Window.Nodes, Zone: call.Window.Zone,
		Tenants: call.Window.Tenants, From: time.Duration(call.Window.From.UnixNano()),
		To: time.Duration(call.Window.To.UnixNano()), MoveRate: call.Window.Pace,
	}
	if !asks {
		ask.ID = "check"
		w, err := p.windows.seat.Plan(now, ask, p.scene(acting))
		return p.planned(endFits, now, w, err)
	}
	record, w, err := p.windows.seat.EncodeProposal(now, ask, p.scene(acting))
	if err == nil {
		if _, err := n.Propose(now, windowMachine, record, proposeWithin); err != nil {
			return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
		}
		slog.Info("fleet: maintenance window proposed", "id", call.ID, "nodes", w.Nodes, "tenants", w.Tenants)
	}
	return p.planned(policy.StatusUnknown.String(), now, w, err)
}

// planned answers with a window that fits, or with why there is none.
func (p *fleetMember) planned(end string, now fleet.ClockReading, w *maintenance.Window, err error) (int, []byte) {
	var misfit maintenance.Conflict
	switch {
	case errors.As(err, &misfit):
		return answerJSON(http.StatusOK, windowOutcome{
			End: policy.StatusRejected.String(), Reason: misfit.Reason,
			Tenant: misfit.Tenant, Next: unixTime(misfit.NextFit),
		})
	case errors.Is(err, windowseat.ErrPolicyChanged):
		return answerJSON(http.StatusOK, windowOutcome{End: policy.StatusUnknown.String(), Reason: takesHold})
	case err != nil:
		return http.StatusBadRequest, []byte(err.Error() + "\n")
	}
	s := windowOf(w, now)
	return answerJSON(http.StatusOK, windowOutcome{ID: w.ID, End: end, Window: &s})
}

// scene is what a plan depends on, as this agent sees it.
func (p *fleetMember) scene(acting policy.Active) maintenance.PlanInput {
	e, f := acting.Effect, p.told.operator.Fleet
	return maintenance.PlanInput{
		Servers: p.nodes(e), Contracts: e.Contracts, TenantLoads: p.loads(e), PeakLoad: e.Capacity.PeakLoad,
		MaxUtilization: e.Capacity.MaxUtilization, ClockMargin: seconds(f.MarginS), MinNotice: seconds(f.NoticeS),
		MinDrained: drainedMargins * seconds(f.MarginS), PolicyVersion: acting.Version,
	}
}

// drainedMargins is for how many times the clocks' margin nodes are to be without keys at the least: a minute
// by the usual one.
const drainedMargins = 6

// loads are the tenants' parts of the load: by the settings, and as the policy's shares have changed them.
func (p *fleetMember) loads(e *policy.Effect) map[string]float64 {
	loads, sum := map[string]float64{}, 0.0
	for i, t := range p.told.Settings.Tenants {
		part := t.Share
		if quota := e.Quota[i]; quota > 0 && t.QuotaPerSecond > 0 {
			part *= quota / t.QuotaPerSecond
		}
		loads[t.Name] = part
		sum += part
	}
	if sum > 1 {
		for name := range loads {
			loads[name] /= sum
		}
	}
	return loads
}

// stopWindow has a window end early.
func (p *fleetMember) stopWindow(n *fleet.Node, now fleet.ClockReading, id string) (int, []byte) {
	all := p.windows.seat.Windows(now)
	i := slices.IndexFunc(all, func(w *maintenance.Window) bool { return w.ID == id })
	if i < 0 {
		return http.StatusNotFound, []byte("no such window\n")
	}
	switch all[i].State {
	case maintenance.Returning, maintenance.Ended, maintenance.Stopped:
		return answerJSON(http.StatusOK, windowOutcome{ID: id, End: policy.StatusAccepted.String()})
	}
	record := p.windows.seat.EncodeStop(now, id, fmt.Sprintf("stopped at agent %d", p.told.Settings.Self))
	if _, err := n.Propose(now, windowMachine, record, proposeWithin); err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
	}
	slog.Info("fleet: stop of maintenance window proposed by operator", "id", id)
	return answerJSON(http.StatusAccepted, windowOutcome{ID: id, End: policy.StatusUnknown.String()})
}

// windowOutcome is what is known here of a call.
func (p *fleetMember) windowOutcome(now fleet.ClockReading, id string) windowOutcome {
	o := p.windows.seat.Outcome(id)
	out := windowOutcome{ID: id, End: o.Status.String()}
	if o.Status == policy.StatusRejected {
		out.Reason = o.Reason()
	}
	for _, w := range p.windows.seat.Windows(now) {
		if w.ID == id {
			s := windowOf(w, now)
			out.Window = &s
		}
	}
	return out
}

func (p *fleetMember) windowsState(n *fleet.Node, now fleet.ClockReading) windowsState {
	standing := n.Standing(now)
	acting := p.seat.Active(now, standing)
	avoid := p.windows.seat.Exclusions(now, standing, acting)
	s := windowsState{Policy: acting.Version, Windows: []windowState{}, Calls: []windowOutcome{}}
	for _, w := range p.windows.seat.Windows(now) {
		one := windowOf(w, now)
		one.Moved = movedOf(w, avoid)
		s.Windows = append(s.Windows, one)
	}
	for _, o := range p.windows.seat.Outcomes() {
		s.Calls = append(s.Calls, p.windowOutcome(now, o.ID))
	}
	return s
}

// movedOf is the least part of the keys that keeps off any of a window's servers here.
func movedOf(w *maintenance.Window, a *balancer.Exclusions) float64 {
	least := uint32(math.MaxUint32)
	for _, t := range w.Tenants {
		for _, n := range w.Nodes {
			below := uint32(0)
			if a != nil {
				below = a.Tenants[t][n]
			}
			least = min(least, below)
		}
	}
	return float64(least) / math.MaxUint32
}

func windowOf(w *maintenance.Window, now fleet.ClockReading) windowState {
	s := windowState{
		ID: w.ID, Who: w.Agent, Nodes: w.Nodes, Tenants: w.Tenants, From: unixTime(w.From),
		Drained: unixTime(w.DrainedAt), Back: unixTime(w.ReturnFrom), To: unixTime(w.To), State: w.State.String(),
		Since: unixTime(w.StateSince), Reason: w.Reason, Waits: waitsFor(w),
	}
	if w.State == maintenance.Free {
		s.FreeUntil = unixTime(w.ReturnFrom)
	}
	return s
}

// waitsFor is what a window waits for, for staff.
func waitsFor(w *maintenance.Window) string {
	switch w.State {
	case maintenance.Planned:
		return "its beginning"
	case maintenance.Draining:
		return "the traffic to leave, until " + local(unixTime(w.DrainedAt))
	case maintenance.Drained:
		return "what may be on its way, and all agents' leases"
	case maintenance.Paused:
		return "enough to be served elsewhere"
	case maintenance.Returning:
		return "the traffic to be back"
	}
	return ""
}
