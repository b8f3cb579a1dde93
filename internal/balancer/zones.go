package balancer

// Of a zone that is cut off a sparse balancer would learn server by server: package reach has it learn by
// zone.

// isZoneCutOff tells whether a server's zone is not reached while others are. With few balancers each knows its
// servers soon enough by themselves.
func (b *Balancer) isZoneCutOff(s *server) bool {
	return b.zoneReach.IsUnreachable(s.Zone) && b.sparse()
}

// reached takes in what an attempt's end says of its server's zone. A refused connection says that the
// machine is there, and comes at once: that server alone is left out.
func (b *Balancer) observeZone(s *server, a *attempt, e *AttemptDone) {
	switch {
	case e.Evidence.LocalShortage:
	case e.Outcome == Served, e.Outcome == Rejected, e.Outcome == ServerError:
		b.zoneReach.Answered(b.now, s.Zone)
	case e.Outcome == TimedOut, e.Outcome == ConnectFailed && !e.Evidence.ConnectionRefused:
		b.zoneReach.Unanswered(a.outlier.StartedAt, s.Zone, s.ID)
	}
}
