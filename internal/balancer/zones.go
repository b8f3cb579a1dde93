package balancer

// isZoneUnreachable reports whether the server's zone is unreachable while other zones are not. It applies
// only to a sparse balancer: others detect unreachable servers one by one soon enough.
func (b *Balancer) isZoneUnreachable(s *server) bool {
	return b.zoneReach.IsUnreachable(s.Zone) && b.IsSparse()
}

// observeZone records whether the end of an attempt shows the server's zone as reachable or unreachable. A
// refused connection counts as neither: the machine is reachable, and only the server is down.
func (b *Balancer) observeZone(s *server, a *attempt, e *AttemptDone) {
	switch {
	case e.Evidence.LocalShortage:
	case e.Outcome == Served, e.Outcome == Rejected, e.Outcome == ServerError:
		b.zoneReach.Answered(b.now, s.Zone)
	case e.Outcome == TimedOut, e.Outcome == ConnectFailed && !e.Evidence.ConnectionRefused:
		b.zoneReach.Unanswered(a.outlier.StartedAt, s.Zone, s.ID)
	}
}
