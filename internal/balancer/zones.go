package balancer

// isZoneCutOff reports whether a server's zone is unreachable while others are reached. A fleet of few
// balancers knows its servers soon enough one by one.
func (b *Balancer) isZoneCutOff(s *server) bool {
	return b.zoneReach.IsUnreachable(s.Zone) && b.IsSparse()
}

// observeZone records what an attempt's end says of its server's zone. A refused connection shows that the
// machine is reachable, so it concerns that server alone.
func (b *Balancer) observeZone(s *server, a *attempt, e *AttemptDone) {
	switch {
	case e.Evidence.LocalShortage:
	case e.Outcome == Served, e.Outcome == Rejected, e.Outcome == ServerError:
		b.zoneReach.Answered(b.now, s.Zone)
	case e.Outcome == TimedOut, e.Outcome == ConnectFailed && !e.Evidence.ConnectionRefused:
		b.zoneReach.Unanswered(a.outlier.StartedAt, s.Zone, s.ID)
	}
}
