package balancer

import "dunestep/internal/balancer/outlier"

// outlierOutcome converts an outcome to that of the outlier detector.
func outlierOutcome(o Outcome) outlier.Outcome {
	switch o {
	case Served:
		return outlier.Answered
	case ServerError:
		return outlier.ServerError
	case Rejected:
		return outlier.Rejected
	case TimedOut:
		return outlier.TimedOut
	case ConnectFailed:
		return outlier.ConnectFailed
	case ConnectionLost:
		return outlier.ConnectionLost
	}
	return outlier.NoEvidence
}

// reportToDetector reports the end of an attempt to the outlier detector and handles the resulting change.
func (b *Balancer) reportToDetector(a *attempt, e *AttemptDone, c *class) {
	outcome := outlierOutcome(e.Outcome)
	if a.isOverdue && outcome == outlier.TimedOut { // it has been counted
		outcome = outlier.NoEvidence
	}
	found := b.detector.AttemptEnded(b.now, a.server.outlier, a.outlier, outcome, e.Latency, &e.Evidence)
	b.onOutlierChange(a.server, found, c)
	b.watch(a.server)
}

// onOutlierChange logs a change of a server's verdict, and starts a new slow-start budget for a server that
// was ejected or readmitted. The class is that of the attempt that caused the change, or nil at the end of
// a round.
func (b *Balancer) onOutlierChange(s *server, found outlier.Change, c *class) {
	switch found {
	case outlier.Unchanged:
		return
	case outlier.ClassEjected:
		b.logf("server %s ejected for class %s: %s", s.ID, c.Name, s.outlier.Reason())
		return
	case outlier.ClassReadmitted:
		b.logf("server %s readmitted for class %s: %s", s.ID, c.Name, s.outlier.Reason())
		return
	case outlier.ServerEjected:
		b.logf("server %s ejected: %s", s.ID, s.outlier.Reason())
	case outlier.ServerReadmitted:
		if s.outlier.IsNotListening() {
			s.recoveredAt = b.now
		}
		b.logf("server %s readmitted: %s", s.ID, s.outlier.Reason())
	}
	s.slowStart.Start(b.now, b.rng.Float64())
	b.weights.isStale = true
	b.logDistrust()
}

// logDistrust logs when the detector starts or stops distrusting its verdicts, or the reason changes.
func (b *Balancer) logDistrust() {
	reason := b.detector.DistrustReason()
	if reason == b.loggedDistrustReason {
		return
	}
	b.loggedDistrustReason = reason
	if reason == "" {
		b.logf("outlier verdicts apply again")
	} else {
		b.logf("outlier verdicts ignored: %s", reason)
	}
}
