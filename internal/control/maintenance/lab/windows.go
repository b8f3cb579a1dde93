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

// recordAgreed counts the agreed changes of windows, and passes them to the judge.
func (l *Lab) recordAgreed() {
	for _, w := range l.windows() {
		former, known := l.lastStates[w.ID]
		l.lastStates[w.ID] = w.State
		if !known {
			l.Accepted++
			l.Judge.WindowAccepted(w, l.moveRates[w.ID])
		}
		if known && former == w.State {
			continue
		}
		if w.Reason != "" && former != w.State {
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
		if l.onStateChange != nil {
			l.onStateChange(w.ID, former, w.State)
		}
	}
}

// windows returns the agreed windows in their agreed states.
func (l *Lab) windows() []*maintenance.Window {
	return l.AgreedApplication().(*application).AgreedWindows()
}

// openWindows returns the windows that are neither ended nor stopped.
func openWindows(all []*maintenance.Window) []*maintenance.Window {
	return slices.DeleteFunc(all, func(w *maintenance.Window) bool {
		return w.State == maintenance.Ended || w.State == maintenance.Stopped
	})
}

// isRunning reports whether a node's process runs and is not paused.
func (l *Lab) isRunning(n int) bool { return l.Incarnation(n) > 0 && !l.IsPaused(n) }

// RequestWindow requests a window at random voters until its outcome is known, 30 times at most.
func (l *Lab) RequestWindow(request maintenance.WindowRequest) {
	l.requestCount++
	request.ID = fmt.Sprint("window ", l.requestCount)
	l.moveRates[request.ID] = request.MoveRate
	attempts := 0
	var retry func()
	retry = func() {
		if attempts++; attempts > 30 || l.isOutcomeKnown(request.ID) || !l.proposeWindow(&request) {
			return
		}
		l.At(l.Now()+400*time.Millisecond, retry)
	}
	retry()
}

// isOutcomeKnown reports whether the outcome of a request is agreed.
func (l *Lab) isOutcomeKnown(id string) bool {
	return l.AgreedApplication().(*application).Outcome(id).Status != policy.StatusUnknown
}

// proposeWindow proposes a window at a random voter, if that holds a lease. If the window does not fit and
// the next fitting time is less than 8 h later, it moves the request there. It reports whether to try
// again.
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
