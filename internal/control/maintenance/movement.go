package maintenance

import "time"

func (w *storedWindow) schedule() schedule {
	return schedule{w.From, w.DrainedAt, w.ReturnFrom, w.To, w.Steps}
}

// plannedSteps is how many of the steps are moved at a time by the plan alone.
func (w *storedWindow) plannedSteps(at time.Duration) int { return w.schedule().stepsAt(at) }

// movedSteps is how many steps are moved at a time by the plan and what was agreed since. It is never more
// than plannedSteps.
func (w *storedWindow) movedSteps(at time.Duration) int {
	planned := w.plannedSteps(at)
	switch w.State {
	case Ended, Stopped:
		return 0
	case Paused:
		return min(planned, w.HeldSteps)
	case Returning:
		return min(planned, max(w.HeldSteps-w.stepsDown(at), 0))
	}
	if w.StateSince == 0 {
		return planned
	}
	return min(planned, w.HeldSteps+w.stepsUp(at)) // resumed
}

// movedStepsWithoutLease is movedSteps for an agent without a lease. It may not know that a paused window was
// resumed, so it follows the plan; but nothing resumes a window that returns. It falls from the planned steps
// then, as these are what such an agent has moved.
func (w *storedWindow) movedStepsWithoutLease(at time.Duration) int {
	planned := w.plannedSteps(at)
	if w.State == Returning || w.isOver() {
		return min(planned, max(w.plannedSteps(w.StateSince)-w.stepsDown(at), 0))
	}
	return planned
}

// stepsUp is how many steps were added since StateSince, stepsDown how many were taken back.
func (w *storedWindow) stepsUp(at time.Duration) int { return w.stepsSince(at, w.DrainedAt-w.From) }

func (w *storedWindow) stepsDown(at time.Duration) int { return w.stepsSince(at, w.To-w.ReturnFrom) }

// stepsSince is how many steps lie between StateSince and a time, where all steps take a duration.
func (w *storedWindow) stepsSince(at, allSteps time.Duration) int {
	passed := min(max(at-w.StateSince, 0), allSteps)
	return int(passed * time.Duration(w.Steps) / allSteps)
}

// fullyMovedAt is the moment from which all steps are moved, as far as is known now; false where they never
// will be.
func (w *storedWindow) fullyMovedAt() (at time.Duration, ok bool) {
	switch {
	case w.State == Paused || w.State == Returning || w.isOver():
		return 0, false
	case w.StateSince == 0:
		return w.DrainedAt, w.DrainedAt < w.ReturnFrom
	}
	remaining := time.Duration(w.Steps - w.HeldSteps)
	allSteps := w.DrainedAt - w.From
	at = max(w.StateSince+(remaining*allSteps+time.Duration(w.Steps)-1)/time.Duration(w.Steps), w.DrainedAt)
	return at, at < w.ReturnFrom
}

// nextChange is a time after at until which neither movedSteps nor plannedSteps change.
func (w *storedWindow) nextChange(at time.Duration) time.Duration {
	next := at + time.Hour
	sooner := func(edge time.Duration) {
		if edge > at {
			next = min(next, edge)
		}
	}
	for _, edge := range [...]time.Duration{w.From, w.DrainedAt, w.ReturnFrom, w.To} {
		sooner(edge)
	}
	sooner(w.nextStep(w.From, w.DrainedAt-w.From, at))
	sooner(w.nextStep(w.ReturnFrom, w.To-w.ReturnFrom, at))
	if w.StateSince != 0 {
		sooner(w.nextStep(w.StateSince, w.DrainedAt-w.From, at))
		sooner(w.nextStep(w.StateSince, w.To-w.ReturnFrom, at))
	}
	return next
}

// nextStep is the next step after a time, of all steps that are made in a span from a beginning on.
func (w *storedWindow) nextStep(begin, span, at time.Duration) time.Duration {
	if at < begin || at >= begin+span {
		return begin
	}
	steps := time.Duration(w.Steps)
	k := (at-begin)*steps/span + 1
	return begin + (k*span+steps-1)/steps
}
