package decide

// Of a zone that is cut off a sparse balancer would learn server by server: package reach has it learn by
// zone.

// isZoneCutOff tells whether a server's zone is not reached while others are. With few balancers each knows its
// servers soon enough by themselves.
func (b *Balancer) isZoneCutOff(s *server) bool { return b.zoneReach.Cut(s.Zone) && b.sparse() }

// reached takes in what an attempt's end says of its server's zone. A refused connection says that the
// machine is there, and comes at once: that server alone is left out.
func (b *Balancer) observeZone(s *server, a *attempt, e *AttemptDone) {
	switch {
	case e.Evidence.Ours:
	case e.Outcome == Served, e.Outcome == Rejected, e.Outcome == ServerError:
		b.zoneReach.Heard(b.now, s.Zone)
	case e.Outcome == TimedOut, e.Outcome == ConnectFailed && !e.Evidence.Refused:
		b.zoneReach.Unheard(a.outlier.At, s.Zone, s.ID)
	}
}
