package world

import (
	"math"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Maintenance windows: each agent follows a plan that it has known in advance, by an exact clock. Whether a
// window is admitted or paused is not simulated here.

const (
	// windowSteps is the number of steps in which keys leave the servers, and in which they return.
	windowSteps = 20
	// windowMargin is added to the longest deadline: after that no attempt of a moved key is under way.
	windowMargin = time.Second
)

// newWindow returns the injection's maintenance window. Keys take the time moves to leave, and to return.
func (t *injection) newWindow(moves time.Duration) *maintenance.Window {
	from, to := clockStart+t.start, clockStart+t.start+t.duration
	return &maintenance.Window{
		ID: t.name, Tenants: t.config.Tenants, Steps: windowSteps, From: from,
		DrainedAt: from + moves, ReturnFrom: to - moves, To: to,
	}
}

// startWindow starts moving the window's keys off its servers.
func (t *injection) startWindow() {
	t.servers = t.pickServers()
	longest := time.Duration(0)
	for i := range t.w.scenario.Classes {
		longest = max(longest, t.w.scenario.Classes[i].Deadline)
	}
	if emptyAt := t.window.DrainedAt + longest + windowMargin; emptyAt < t.window.ReturnFrom {
		t.w.schedule(emptyAt-clockStart, rankEnvironment, (*windowDrained)(t))
		t.w.schedule(t.window.ReturnFrom-clockStart, rankEnvironment, (*windowReturns)(t))
	}
	(*windowStep)(t).fire()
}

// The events of a maintenance window.
type (
	windowStep    injection // keys move; the exclusions are computed again
	windowDrained injection // no attempt of a moved key is under way any more
	windowReturns injection // the first keys return
)

func (s *windowStep) fire() {
	w, p := s.w, s.window
	w.excludeWindowed()
	if clockStart+w.now < p.To {
		w.scheduleAfter((p.DrainedAt-p.From)/windowSteps, rankEnvironment, s)
	}
}

func (e *windowDrained) fire() {
	for _, s := range e.servers {
		e.w.record.window(record.WindowEmptied, (*injection)(e), s)
	}
}

func (r *windowReturns) fire() {
	for _, s := range r.servers {
		r.w.record.window(record.WindowReturning, (*injection)(r), s)
	}
}

// excludeWindowed computes the exclusions at this time from all active windows.
func (w *world) excludeWindowed() {
	w.exclusions = nil
	for _, t := range w.active {
		if t.window == nil {
			continue
		}
		fraction := t.window.PlannedFraction(clockStart + w.now)
		below := uint32(math.MaxUint32) // all keys
		if fraction < 1 {
			below = uint32(fraction * (1 << 32))
		}
		if below == 0 {
			continue
		}
		if w.exclusions == nil {
			w.exclusions = &balancer.Exclusions{Tenants: map[string]map[string]uint32{}}
		}
		for _, name := range w.windowTenants(t.config) {
			if w.exclusions.Tenants[name] == nil {
				w.exclusions.Tenants[name] = map[string]uint32{}
			}
			for _, s := range t.servers {
				w.exclusions.Tenants[name][s.id] = max(w.exclusions.Tenants[name][s.id], below)
			}
		}
	}
}

// windowTenants returns the tenants that a window moves.
func (w *world) windowTenants(config *scenario.FaultSpec) (names []string) {
	for _, name := range config.Tenants {
		if name != maintenance.AllTenants {
			names = append(names, name)
			continue
		}
		names = append(append(names, w.tenantNames()...), maintenance.NoTenant)
	}
	return names
}

func (w *world) tenantNames() (names []string) {
	for i := range w.scenario.Tenants {
		names = append(names, w.scenario.Tenants[i].Name)
	}
	return names
}

// updateExclusions applies the present exclusions to the router before the next message.
func (l *agentProcess) updateExclusions() {
	if v := l.w.exclusions; v != l.appliedExclusions {
		l.appliedExclusions = v
		l.router.SetExclusions(v)
	}
}
