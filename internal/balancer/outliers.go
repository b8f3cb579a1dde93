package balancer

import "dunestep/internal/balancer/outlier"

// outlierOutcome is an outcome as the outlier detector knows it.
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
		return outlier.NotSent
	case ConnectionLost:
		return outlier.ConnectionLost
	}
	return outlier.NoEvidence
}

// updateDetector tells the detector which servers are members, and which of them are damped.
func (b *Balancer) updateDetector() {
	for _, s := range b.ring.Members() {
		b.detector.SetPlacement(s.outlier, true, s.isDamped(b.now))
	}
}

// detectEnd tells the detector how an attempt ended.
func (b *Balancer) detectEnd(a *attempt, e *AttemptDone, c *class) {
	found := b.detector.AttemptEnded(b.now, a.server.outlier, a.outlier, outlierOutcome(e.Outcome),
		e.Latency, &e.Evidence)
	b.onOutlierChange(a.server, found, c)
}

// onOutlierChange logs what the detector found. The class is that of the attempt that showed it; nil: a
// round's end did. A server that went down or came back starts with a new slow-start budget.
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
	b.logDistrust()
}

// logDistrust logs when the detector begins or ends to distrust its verdicts.
func (b *Balancer) logDistrust() {
	reason := b.detector.DistrustReason()
	if reason == b.loggedDistrust {
		return
	}
	b.loggedDistrust = reason
	if reason == "" {
		b.logf("outlier verdicts apply again")
	} else {
		b.logf("outlier verdicts ignored: %s", reason)
	}
}
