package maintenance

import "time"

// planned is how many of a window's steps are moved at a time by the plan alone. Whole numbers, as a product
// of fractions differs between machines, and the state that all agents share rests on it.
func (f *storedWindow) plannedSteps(at time.Duration) int {
	switch {
	case at < f.From || at >= f.To:
		return 0
	case at < f.DrainedAt:
		return int((at - f.From) * time.Duration(f.Steps) / (f.DrainedAt - f.From))
	case at < f.ReturnFrom:
		return f.Steps
	}
	return f.Steps - int((at-f.ReturnFrom)*time.Duration(f.Steps)/(f.To-f.ReturnFrom))
}

// moved is how many are moved at a time by the plan and by what was agreed since. It is never more than by
// the plan alone.
func (f *storedWindow) movedSteps(at time.Duration) int {
	most := f.plannedSteps(at)
	switch f.State {
	case Ended, Stopped:
		return 0
	case Paused:
		return min(most, f.HeldSteps)
	case Returning:
		return min(most, max(f.HeldSteps-f.stepsDown(at), 0))
	}
	if f.StateSince == 0 {
		return most
	}
	return min(most, f.HeldSteps+f.stepsUp(at)) // resumed
}

// final is moved without what may have been taken back since: an agent without a lease may not know that a
// window that was paused goes on, but nothing has it go on once it returns. It falls from what is planned
// then, as that is what such an agent has moved.
func (f *storedWindow) movedStepsWithoutLease(at time.Duration) int {
	most := f.plannedSteps(at)
	if f.State == Returning || f.isOver() {
		return min(most, max(f.plannedSteps(f.StateSince)-f.stepsDown(at), 0))
	}
	return most
}

func (f *storedWindow) stepsUp(at time.Duration) int { return f.stepsSince(at, f.DrainedAt-f.From) }

func (f *storedWindow) stepsDown(at time.Duration) int { return f.stepsSince(at, f.To-f.ReturnFrom) }

// run is how many steps lie between StateSince and a time where all take so long.
func (f *storedWindow) stepsSince(at, all time.Duration) int {
	past := min(max(at-f.StateSince, 0), all)
	return int(past * time.Duration(f.Steps) / all)
}

// full is the moment from which all is moved, as it looks now; ok is false where it never will be.
func (f *storedWindow) fullyMovedAt() (at time.Duration, ok bool) {
	switch {
	case f.State == Paused || f.State == Returning || f.isOver():
		return 0, false
	case f.StateSince == 0:
		return f.DrainedAt, f.DrainedAt < f.ReturnFrom
	}
	left := time.Duration(f.Steps - f.HeldSteps)
	all := f.DrainedAt - f.From
	at = max(f.StateSince+(left*all+time.Duration(f.Steps)-1)/time.Duration(f.Steps), f.DrainedAt)
	return at, at < f.ReturnFrom
}

// next is a time after at until which neither moved nor planned change.
func (f *storedWindow) nextChange(at time.Duration) time.Duration {
	next := at + time.Hour
	sooner := func(edge time.Duration) {
		if edge > at {
			next = min(next, edge)
		}
	}
	for _, edge := range [...]time.Duration{f.From, f.DrainedAt, f.ReturnFrom, f.To} {
		sooner(edge)
	}
	sooner(f.nextStep(f.From, f.DrainedAt-f.From, at))
	sooner(f.nextStep(f.ReturnFrom, f.To-f.ReturnFrom, at))
	if f.StateSince != 0 {
		sooner(f.nextStep(f.StateSince, f.DrainedAt-f.From, at))
		sooner(f.nextStep(f.StateSince, f.To-f.ReturnFrom, at))
	}
	return next
}

// edge is the next step after a time of all that are made from a beginning in a span.
func (f *storedWindow) nextStep(begin, span, at time.Duration) time.Duration {
	if at < begin || at >= begin+span {
		return begin
	}
	steps := time.Duration(f.Steps)
	k := (at-begin)*steps/span + 1
	return begin + (k*span+steps-1)/steps
}

// StateAt is the state to be shown at a time: what follows from the clock alone, and what was agreed.
func (w *Window) StateAt(at time.Duration) State {
	switch {
	case w.State != Planned && w.State != Free && w.State != Paused:
		return w.State
	case at >= w.To:
		return Ended
	case at >= w.ReturnFrom:
		return Returning
	case w.State != Planned || at < w.From:
		return w.State
	case at < w.DrainedAt, w.StateSince != 0 && w.HeldFraction+float64(at-w.StateSince)/float64(w.DrainedAt-w.From) < 1:
		return Draining
	}
	return Drained
}
