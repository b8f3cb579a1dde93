package maintenance

// applyRecord applies a record other than kindAccepted to the window. It returns false, without a change, if
// the record is not valid in the present state. The caller must not pass a record that was proposed from an
// older state: otherwise a kindTrafficFree that is in flight while the window is paused and resumed would
// take effect although some agents missed the pause.
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

// confirm records when a leader applied the acceptance. A window that is confirmed too late is ended.
func (w *storedWindow) confirm(r *record) bool {
	if w.ConfirmedAt != 0 || r.Now <= 0 {
		return false
	}
	w.ConfirmedAt = r.Now
	if r.Now > w.From-w.MinNotice+w.MinNotice/confirmNoticeDivisor {
		w.State, w.StateSince, w.Reason = Ended, r.Now, "it was agreed on too late for its notice"
	}
	return true
}

func (w *storedWindow) declareFree(r *record) bool {
	if w.State != Planned || w.ConfirmedAt == 0 || w.movedSteps(r.Now) < w.Steps || r.Now >= w.ReturnFrom {
		return false
	}
	w.State = Free // StateSince remains the time of the last resume
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

// returnEarly makes the window return from now on, or ends it if it has not begun or is past its end.
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
	if w.State != Returning { // agents without a lease return their keys from StateSince on
		w.StateSince = r.Now
	}
	w.State = Ended
	return true
}
