package maintenance

// applyRecord applies a later record to the window; false: it does not fit the state. A record that was made
// from an older state never gets here: a kindTrafficFree that is on its way while the window is paused and
// resumed would otherwise count for agents that missed the pause.
func (w *storedWindow) applyRecord(r *record) bool {
	switch r.Kind {
	case kindConfirmed:
		return w.confirm(r)
	case kindTrafficFree:
		return w.declareFree(r)
	case kindPaused:
		return w.pause(r)
	case kindResumed:
		return w.resume(r)
	case kindReturned, kindStopped:
		return w.returnEarly(r)
	case kindEnded:
		return w.end(r)
	}
	return false
}

// confirm notes when a leader had applied the acceptance; a window that is confirmed too late is ended.
func (w *storedWindow) confirm(r *record) bool {
	if w.ConfirmedAt != 0 || r.Now <= 0 {
		return false
	}
	w.ConfirmedAt = r.Now
	if r.Now > w.From-w.MinNotice+w.MinNotice/confirmFraction {
		w.State, w.StateSince, w.Reason = Ended, r.Now, "it was agreed on too late for its notice"
	}
	return true
}

func (w *storedWindow) declareFree(r *record) bool {
	if w.State != Planned || w.ConfirmedAt == 0 || w.movedSteps(r.Now) < w.Steps || r.Now >= w.ReturnFrom {
		return false
	}
	w.State = Free // StateSince still is the start of a resumed window's rise, which is over
	return true
}

func (w *storedWindow) pause(r *record) bool {
	if w.State != Planned || w.plannedSteps(r.Now) == 0 || r.Now >= w.ReturnFrom {
		return false
	}
	w.HeldSteps, w.State, w.StateSince = w.movedSteps(r.Now), Paused, r.Now
	return true
}

func (w *storedWindow) resume(r *record) bool {
	if w.State != Paused {
		return false
	}
	w.State, w.StateSince = Planned, r.Now
	return true
}

// returnEarly has the window return from now on, or end where no key is moved.
func (w *storedWindow) returnEarly(r *record) bool {
	if w.State == Returning {
		return false
	}
	w.HeldSteps = w.movedSteps(r.Now)
	w.State, w.StateSince = Returning, r.Now
	if w.HeldSteps == 0 && (r.Now < w.From || r.Now >= w.To) {
		w.State = Ended
		if r.Kind == kindStopped {
			w.State = Stopped
		}
	}
	return true
}

func (w *storedWindow) end(r *record) bool {
	if r.Now < w.To && (w.State != Returning || w.movedSteps(r.Now) != 0) {
		return false
	}
	if w.State != Returning { // agents without a lease fall from StateSince on
		w.StateSince = r.Now
	}
	w.State = Ended
	return true
}
