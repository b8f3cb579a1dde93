package world

import (
	"math"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Maintenance windows: each agent goes by the plan alone, which it has known for long, by a clock that is
// right. Whether one may be is not asked here, nor is one ever paused: package window/lab has that.

const (
	// windowSteps are those in which keys leave, and come back.
	windowSteps = 20
	// windowLingers is on top of the longest deadline, after which nothing can be on its way any more.
	windowLingers = time.Second
)

// planWindow is the plan of the trouble that is a window.
func (t *trouble) planWindow(moves time.Duration) *maintenance.Window {
	from, to := clockStart+t.at, clockStart+t.at+t.lasts
	return &maintenance.Window{
		ID: t.name, Tenants: t.set.Tenants, Steps: windowSteps, From: from,
		DrainedAt: from + moves, ReturnFrom: to - moves, To: to,
	}
}

// beginWindow has the keys leave.
func (t *trouble) beginWindow() {
	t.servers = t.pick()
	longest := time.Duration(0)
	for i := range t.w.set.Classes {
		longest = max(longest, t.w.set.Classes[i].Deadline)
	}
	if free := t.window.DrainedAt + longest + windowLingers; free < t.window.ReturnFrom {
		t.w.enter(free-clockStart, rankTrouble, (*windowEmptied)(t))
		t.w.enter(t.window.ReturnFrom-clockStart, rankTrouble, (*windowReturns)(t))
	}
	(*windowStep)(t).happen()
}

type (
	windowStep    trouble
	windowEmptied trouble
	windowReturns trouble
)

func (s *windowStep) happen() {
	w, p := s.w, s.window
	w.keepOff()
	if clockStart+w.now < p.To {
		w.after((p.DrainedAt-p.From)/windowSteps, rankTrouble, s)
	}
}

func (e *windowEmptied) happen() {
	for _, s := range e.servers {
		e.w.record.window(record.Emptied, (*trouble)(e), s)
	}
}

func (r *windowReturns) happen() {
	for _, s := range r.servers {
		r.w.record.window(record.Returns, (*trouble)(r), s)
	}
}

// keepOff finds what is to be kept off now, by all windows.
func (w *world) keepOff() {
	w.avoid = nil
	for _, t := range w.active {
		if t.window == nil {
			continue
		}
		part := t.window.PlannedFraction(clockStart + w.now)
		below := uint32(math.MaxUint32) // all
		if part < 1 {
			below = uint32(part * (1 << 32))
		}
		if below == 0 {
			continue
		}
		if w.avoid == nil {
			w.avoid = &balancer.Exclusions{Tenants: map[string]map[string]uint32{}}
		}
		for _, name := range w.movedBy(t.set) {
			if w.avoid.Tenants[name] == nil {
				w.avoid.Tenants[name] = map[string]uint32{}
			}
			for _, s := range t.servers {
				w.avoid.Tenants[name][s.id] = max(w.avoid.Tenants[name][s.id], below)
			}
		}
	}
}

// movedBy are the tenants of a window.
func (w *world) movedBy(set *scenario.Trouble) (names []string) {
	for _, name := range set.Tenants {
		if name != maintenance.AllTenants {
			names = append(names, name)
			continue
		}
		names = append(append(names, w.tenantNames()...), maintenance.NoTenant)
	}
	return names
}

func (w *world) tenantNames() (names []string) {
	for i := range w.set.Tenants {
		names = append(names, w.set.Tenants[i].Name)
	}
	return names
}

// keepsOff has an agent go by the plans of this moment, before it is told of anything.
func (l *life) keepsOff() {
	if v := l.w.avoid; v != l.avoids {
		l.avoids = v
		l.router.SetExclusions(v)
	}
}
