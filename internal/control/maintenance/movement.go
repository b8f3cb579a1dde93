package maintenance

import "time"

func (w *storedWindow) schedule() schedule {
	return schedule{w.From, w.DrainedAt, w.ReturnFrom, w.To, w.Steps}
}

// plannedSteps returns how many steps are moved at a time according to the plan alone.
func (w *storedWindow) plannedSteps(at time.Duration) int { return w.schedule().stepsAt(at) }

// movedSteps returns how many steps are moved at a time according to the plan and the records agreed since.
// It is at most plannedSteps.
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

// movedStepsWithoutLease returns the steps that an agent without a lease moves. Such an agent may not know
// that a paused window was resumed, so it follows the plan. A window that returns is never resumed, so it
// follows an early return; the count then decreases from the planned steps, which are those that the agent
// has moved.
func (w *storedWindow) movedStepsWithoutLease(at time.Duration) int {
	planned := w.plannedSteps(at)
	if w.State == Returning || w.isOver() {
		return min(planned, max(w.plannedSteps(w.StateSince)-w.stepsDown(at), 0))
	}
	return planned
}

// stepsUp returns how many steps were moved since StateSince.
func (w *storedWindow) stepsUp(at time.Duration) int { return w.stepsSince(at, w.DrainedAt-w.From) }

// stepsDown returns how many steps have returned since StateSince.
func (w *storedWindow) stepsDown(at time.Duration) int { return w.stepsSince(at, w.To-w.ReturnFrom) }

// stepsSince returns how many steps lie between StateSince and a time, if all steps together take allSteps.
func (w *storedWindow) stepsSince(at, allSteps time.Duration) int {
	passed := min(max(at-w.StateSince, 0), allSteps)
	return int(passed * time.Duration(w.Steps) / allSteps)
}

// fullyMovedAt returns the Unix time from which all steps are moved according to the present state; ok is
// false if that does not happen before ReturnFrom.
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

// nextChange returns a time after at, by at most an hour, until which neither movedSteps nor plannedSteps
// changes.
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

// nextStep returns the time of the first step after at, if all steps are spread evenly over a span that
// starts at begin. It returns begin if at lies outside the span.
func (w *storedWindow) nextStep(begin, span, at time.Duration) time.Duration {
	if at < begin || at >= begin+span {
		return begin
	}
	steps := time.Duration(w.Steps)
	k := (at-begin)*steps/span + 1
	return begin + (k*span+steps-1)/steps
}
