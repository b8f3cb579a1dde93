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

	"dunestep/decide"
	"dunestep/fleet"
	"dunestep/fleet/lease"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/policy"
	"dunestep/window"
	windowseat "dunestep/window/seat"
)

// windowsPart is what this agent has for maintenance windows; nil: they do not hold here.
type windowsPart struct {
	seat   *windowseat.Seat
	before map[string]decide.Strain // what was counted when it was last looked at
	told   map[string]toldOf        // what the log has of each window
}

type toldOf struct {
	state  window.State
	reason string
}

// watchEvery is how often this agent's list is looked at for windows, and what its tenants' requests come to
// while one moves something.
const watchEvery = 2 * time.Second

// sitWindows has maintenance windows hold here.
func (p *fleetPart) sitWindows(n *fleet.Settings) *windowseat.Seat {
	f := p.told.operator.Fleet
	p.windows = &windowsPart{told: map[string]toldOf{}, before: map[string]decide.Strain{}}
	p.windows.seat = windowseat.New(windowseat.Settings{
		Self: n.Self, Votes: n.Votes(),
		Incarnation: n.Incarnation, Machine: windowMachine, Times: p.policyTimes(n.Terms), Turns: int(f.Turns),
		Linger: seconds(f.LingerS),
		Margin: seconds(f.MarginS), Notice: seconds(f.NoticeS),
		InForce: p.inForce,
		See:     p.view,
	}, routing.ReadClocks())
	return p.windows.seat
}

// view is what the leader's council sees here. It is asked by the actor.
func (p *fleetPart) view(now fleet.Reading) window.View {
	s := p.seat.State()
	v := window.View{InForce: s.Now.Number, Open: s.Open != nil}
	if actor := p.actor.Load(); actor != nil {
		v.Standing = actor.Standing(now)
	}
	v.Acting = p.seat.Acting(now, v.Standing)
	v.Nodes = p.nodes(v.Acting.Effect)
	return v
}

// nodes are the servers of the own list that are not gone.
func (p *fleetPart) nodes(e *policy.Effect) (nodes []window.Node) {
	for _, s := range p.servers {
		if s.State != decide.Gone {
			nodes = append(nodes, window.Node{
				ID: s.ID, Zone: s.Zone, Capacity: e.Capacity.Of(s.ID, s.Kind),
				Absent: s.State != decide.Ready,
			})
		}
	}
	return nodes
}

// watch tells what stands above the node what this agent sees, again and again.
func (p *fleetPart) watch(actor *routing.Fleet) {
	for {
		p.lookOnce(actor)
		p.tellPaces(actor)
		p.lookAtRing(actor, time.Now().Add(watchEvery))
	}
}

func (p *fleetPart) lookOnce(actor *routing.Fleet) {
	ctx, cancel := context.WithTimeout(context.Background(), watchEvery)
	defer cancel()
	servers, known := p.hand.agent.Servers(ctx)
	moving := false
	actor.Do(ctx, func(n *fleet.Node, now fleet.Reading) {
		if known {
			p.servers = servers
			p.see(n, now)
		}
		moving = p.windows != nil && p.windows.seat.Moving(now)
		p.tellWindows()
	})
	if moving {
		p.tellStrain(ctx, actor)
	} else if p.windows != nil {
		clear(p.windows.before)
	}
}

// tellStrain tells how the tenants' requests fare.
func (p *fleetPart) tellStrain(ctx context.Context, actor *routing.Fleet) {
	strain, damps := p.hand.agent.Strain(ctx)
	if strain == nil {
		return
	}
	counts := p.windows.counts(strain)
	actor.Do(ctx, func(_ *fleet.Node, now fleet.Reading) { p.windows.seat.Counts(now, counts, damps) })
}

// counts are what came since it was last called; of the first call while something moves: nothing.
func (w *windowsPart) counts(all []decide.Strain) (counts []window.Count) {
	first := len(w.before) == 0
	for _, s := range all {
		b := w.before[s.Tenant]
		if w.before[s.Tenant] = s; first {
			continue
		}
		since := func(now, before uint64) uint32 { return uint32(min(now-before, math.MaxUint32)) }
		counts = append(counts, window.Count{
			Tenant: s.Tenant, Asked: since(s.Asked, b.Asked),
			Served: since(s.Served, b.Served), First: since(s.First, b.First),
			Failed: since(s.Failed, b.Failed) + since(s.Refused, b.Refused),
		})
	}
	return counts
}

// tellWindows writes to the log what has become of windows, each change once. The actor calls it as records
// were applied, and as time passes.
func (p *fleetPart) tellWindows() {
	if p.windows == nil {
		return
	}
	known := map[string]toldOf{}
	for _, w := range p.windows.seat.State(routing.ReadClocks()) {
		now := toldOf{w.State, w.Reason}
		known[w.ID] = now
		if was, is := p.windows.told[w.ID]; is && was == now {
			continue
		}
		level := slog.LevelInfo
		if w.Reason != "" {
			level = slog.LevelWarn
		}
		slog.Log(context.Background(), level, "fleet: window", "id", w.ID, "state", w.State.String(),
			"nodes", w.Nodes, "tenants", w.Tenants, "from", local(unixTime(w.From)),
			"to", local(unixTime(w.To)), "reason", w.Reason)
	}
	for _, o := range p.windows.seat.Outcomes() {
		if o.End != policy.NotTaken {
			continue
		}
		if known[o.ID] = (toldOf{reason: o.Text()}); p.windows.told[o.ID] != known[o.ID] {
			slog.Info("fleet: window not accepted", "id", o.ID, "reason", o.Text())
		}
	}
	p.windows.told = known
}

// windowsCall answers a call about windows.
func (p *fleetPart) windowsCall(ctx context.Context, actor *routing.Fleet, call protocol.OpsCall) (status int,
	body []byte,
) {
	if p.windows == nil {
		return http.StatusNotFound, nil
	}
	answer := func(*fleet.Node, fleet.Reading) {}
	switch call.Kind {
	case protocol.OpsWindows:
		answer = func(n *fleet.Node, now fleet.Reading) {
			status, body = answerJSON(http.StatusOK, p.windowsState(n, now))
		}
	case protocol.OpsWindowOutcome:
		answer = func(n *fleet.Node, now fleet.Reading) {
			status, body = answerJSON(http.StatusOK, p.windowOutcome(now, call.ID))
		}
	case protocol.OpsWindowCheck, protocol.OpsWindowAsk:
		// Its own list as it is now, not as it was seconds ago.
		if servers, known := p.hand.agent.Servers(ctx); known {
			answer = func(n *fleet.Node, now fleet.Reading) {
				p.servers = servers
				status, body = p.askWindow(n, now, call)
			}
		} else {
			return late()
		}
	case protocol.OpsWindowStop:
		answer = func(n *fleet.Node, now fleet.Reading) { status, body = p.stopWindow(n, now, call.ID) }
	}
	if !actor.Do(ctx, answer) {
		return late()
	}
	return status, body
}

// askWindow plans what is asked for by what is known here, and, unless it is only to be checked, proposes it.
func (p *fleetPart) askWindow(n *fleet.Node, now fleet.Reading, call protocol.OpsCall) (int, []byte) {
	asks := call.Kind == protocol.OpsWindowAsk
	if asks {
		// The same call again: it is known what came of it.
		if o := p.windowOutcome(now, call.ID); o.End != policy.AskAgain.String() {
			return answerJSON(http.StatusOK, o)
		}
	}
	standing := n.Standing(now)
	acting := p.seat.Acting(now, standing)
	switch {
	case standing != lease.Full:
		return http.StatusServiceUnavailable, []byte("this agent holds no lease: ask another\n")
	case acting.How != policy.Full: // between two versions
		return answerJSON(http.StatusOK, windowOutcome{End: policy.AskAgain.String(), Reason: takesHold})
	}
	ask := window.Ask{
		ID: call.ID, Who: p.told.Settings.Self, Nodes: call.Window.Nodes, Zone: call.Window.Zone,
		Tenants: call.Window.Tenants, From: time.Duration(call.Window.From.UnixNano()),
		To: time.Duration(call.Window.To.UnixNano()), Pace: call.Window.Pace,
	}
	if !asks {
		ask.ID = "check"
		w, err := p.windows.seat.Plan(now, ask, p.scene(acting))
		return p.planned(endFits, now, w, err)
	}
	record, w, err := p.windows.seat.Record(now, ask, p.scene(acting))
	if err == nil {
		if _, err := n.Propose(now, windowMachine, record, proposeWithin); err != nil {
			return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
		}
		slog.Info("fleet: window asked for", "id", call.ID, "nodes", w.Nodes, "tenants", w.Tenants)
	}
	return p.planned(policy.AskAgain.String(), now, w, err)
}

// planned answers with a window that fits, or with why there is none.
func (p *fleetPart) planned(end string, now fleet.Reading, w *window.Window, err error) (int, []byte) {
	var misfit window.Misfit
	switch {
	case errors.As(err, &misfit):
		return answerJSON(http.StatusOK, windowOutcome{
			End: policy.NotTaken.String(), Reason: misfit.Reason,
			Tenant: misfit.Tenant, Next: unixTime(misfit.Next),
		})
	case errors.Is(err, windowseat.ErrPolicy):
		return answerJSON(http.StatusOK, windowOutcome{End: policy.AskAgain.String(), Reason: takesHold})
	case err != nil:
		return http.StatusBadRequest, []byte(err.Error() + "\n")
	}
	s := windowOf(w, now)
	return answerJSON(http.StatusOK, windowOutcome{ID: w.ID, End: end, Window: &s})
}

// scene is what a plan depends on, as this agent sees it.
func (p *fleetPart) scene(acting policy.Acting) window.Scene {
	e, f := acting.Effect, p.told.operator.Fleet
	return window.Scene{
		Nodes: p.nodes(e), Contracts: e.Contracts, Tenants: p.loads(e), Load: e.Capacity.Load,
		Most: e.Capacity.Most, Margin: seconds(f.MarginS), Notice: seconds(f.NoticeS),
		Drained: drainedMargins * seconds(f.MarginS), Policy: acting.Version,
	}
}

// drainedMargins is for how many times the clocks' margin nodes are to be without keys at the least: a minute
// by the usual one.
const drainedMargins = 6

// loads are the tenants' parts of the load: by the settings, and as the policy's shares have changed them.
func (p *fleetPart) loads(e *policy.Effect) map[string]float64 {
	loads, sum := map[string]float64{}, 0.0
	for i, t := range p.told.Settings.Tenants {
		part := t.Share
		if quota := e.Quota[i]; quota > 0 && t.QuotaPerS > 0 {
			part *= quota / t.QuotaPerS
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
func (p *fleetPart) stopWindow(n *fleet.Node, now fleet.Reading, id string) (int, []byte) {
	all := p.windows.seat.State(now)
	i := slices.IndexFunc(all, func(w *window.Window) bool { return w.ID == id })
	if i < 0 {
		return http.StatusNotFound, []byte("no such window\n")
	}
	switch all[i].State {
	case window.Returning, window.Ended, window.Stopped:
		return answerJSON(http.StatusOK, windowOutcome{ID: id, End: policy.Taken.String()})
	}
	record := p.windows.seat.Stop(now, id, fmt.Sprintf("stopped at agent %d", p.told.Settings.Self))
	if _, err := n.Propose(now, windowMachine, record, proposeWithin); err != nil {
		return http.StatusServiceUnavailable, []byte(err.Error() + "\n")
	}
	slog.Info("fleet: window stopped by hand", "id", id)
	return answerJSON(http.StatusAccepted, windowOutcome{ID: id, End: policy.AskAgain.String()})
}

// windowOutcome is what is known here of a call.
func (p *fleetPart) windowOutcome(now fleet.Reading, id string) windowOutcome {
	o := p.windows.seat.Outcome(id)
	out := windowOutcome{ID: id, End: o.End.String()}
	if o.End == policy.NotTaken {
		out.Reason = o.Text()
	}
	for _, w := range p.windows.seat.State(now) {
		if w.ID == id {
			s := windowOf(w, now)
			out.Window = &s
		}
	}
	return out
}

func (p *fleetPart) windowsState(n *fleet.Node, now fleet.Reading) windowsState {
	standing := n.Standing(now)
	acting := p.seat.Acting(now, standing)
	avoid := p.windows.seat.Avoid(now, standing, acting)
	s := windowsState{Policy: acting.Version, Windows: []windowState{}, Calls: []windowOutcome{}}
	for _, w := range p.windows.seat.State(now) {
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
func movedOf(w *window.Window, a *decide.Avoid) float64 {
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

func windowOf(w *window.Window, now fleet.Reading) windowState {
	s := windowState{
		ID: w.ID, Who: w.Who, Nodes: w.Nodes, Tenants: w.Tenants, From: unixTime(w.From),
		Drained: unixTime(w.Drained), Back: unixTime(w.Back), To: unixTime(w.To), State: w.State.String(),
		Since: unixTime(w.Since), Reason: w.Reason, Waits: waitsFor(w),
	}
	if w.State == window.Free {
		s.FreeUntil = unixTime(w.Back)
	}
	return s
}

// waitsFor is what a window waits for, for staff.
func waitsFor(w *window.Window) string {
	switch w.State {
	case window.Planned:
		return "its beginning"
	case window.Draining:
		return "the traffic to leave, until " + local(unixTime(w.Drained))
	case window.Drained:
		return "what may be on its way, and all agents' leases"
	case window.Paused:
		return "enough to be served elsewhere"
	case window.Returning:
		return "the traffic to be back"
	}
	return ""
}
