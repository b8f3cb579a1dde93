package lab

import (
	"errors"
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// recordAgreed follows the agreed windows from the outside.
func (l *Lab) recordAgreed() {
	for _, w := range l.windows() {
		was, known := l.lastStates[w.ID]
		l.lastStates[w.ID] = w.State
		if !known {
			l.Accepted++
			l.Judge.WindowAccepted(w, l.moveRates[w.ID])
		}
		if known && was == w.State {
			continue
		}
		if w.Reason != "" && was != w.State {
			l.Reasons[w.Reason]++
		}
		switch w.State {
		case maintenance.Free:
			l.Freed++
			l.Judge.SetFree(l.Now(), w.ID, true)
		case maintenance.Returning:
			l.ReturnedEarly++
			l.Judge.SetFree(l.Now(), w.ID, false)
		case maintenance.Ended, maintenance.Stopped:
			l.Ended++
			l.Judge.SetFree(l.Now(), w.ID, false)
		}
		if l.onState != nil {
			l.onState(w.ID, was, w.State)
		}
	}
}

// windows are the agreed ones, in the agreed states.
func (l *Lab) windows() []*maintenance.Window {
	return l.AgreedApplication().(*application).AgreedWindows()
}

// openWindows are those that are not over.
func openWindows(all []*maintenance.Window) []*maintenance.Window {
	return slices.DeleteFunc(all, func(w *maintenance.Window) bool {
		return w.State == maintenance.Ended || w.State == maintenance.Stopped
	})
}

// isRunning tells whether a node takes part now.
func (l *Lab) isRunning(n int) bool { return l.Incarnation(n) > 0 && !l.IsPaused(n) }

// RequestWindow has some node that can ask for a window, until the outcome is known.
func (l *Lab) RequestWindow(request maintenance.WindowRequest) {
	l.requested++
	request.ID = fmt.Sprint("window ", l.requested)
	l.moveRates[request.ID] = request.MoveRate
	attempts := 0
	var again func()
	again = func() {
		if attempts++; attempts > 30 || l.isOutcomeKnown(request.ID) || !l.proposeWindow(&request) {
			return
		}
		l.At(l.Now()+400*time.Millisecond, again)
	}
	again()
}

// isOutcomeKnown tells whether the outcome of a request is agreed.
func (l *Lab) isOutcomeKnown(id string) bool {
	return l.AgreedApplication().(*application).Outcome(id).Status != policy.StatusUnknown
}

// proposeWindow has one node that holds a lease propose a window. Where it does not fit, the next time that
// fits is asked for, if that is in the same night.
func (l *Lab) proposeWindow(request *maintenance.WindowRequest) (again bool) {
	n := l.Rand().IntN(voters)
	if !l.isRunning(n) {
		return true
	}
	standing, active := l.Active(n)
	if standing != lease.Full || active.Mode != policy.ModeFull {
		return true
	}
	p, now := l.Application(n).(*application), l.Reading(n)
	if l.setup.Without == withoutNotice {
		now.Unix -= maintenance.MinNotice
	}
	data, _, err := p.EncodeProposal(now, *request, maintenance.PlanInput{
		Servers: l.listedServers(), Contracts: active.Effect.Contracts,
		PeakLoad: 0.5, TenantLoads: map[string]float64{"east": 0.5, "west": 0.3}, PolicyVersion: active.Version,
		ClockMargin: clockMargin,
	})
	var conflict maintenance.Conflict
	if errors.As(err, &conflict) {
		l.Rejected[conflict.Tenant]++
		if d := conflict.NextFit - request.From; conflict.NextFit > 0 && d < 8*time.Hour {
			request.From, request.To = request.From+d, request.To+d
			return true
		}
		return false
	}
	if err == nil {
		l.SubmitApplicationRecord(n, data)
	}
	return true
}
