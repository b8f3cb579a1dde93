package balancer

const (
	// reportGain is the weight of a new report in the means.
	reportGain = 0.05
	// reportPrior is a zone's wait for each reported request before any was seen, in the baseline latency.
	reportPrior = 0.25
	// minReportedInFlight keeps the wait for each reported request finite.
	minReportedInFlight = 0.1
)

// zoneReport is what the reports of a zone's servers have been worth: the means of the wait that followed, in
// seconds beyond the baseline, and of the requests in flight that they said. Reports of a full server with
// fast answers after them so lose their weight; a zone of truthful and wrong servers is believed by the mean
// of both.
type zoneReport struct{ wait, inFlight float64 }

// zoneReport returns that of a server's zone.
func (b *Balancer) zoneReport(s *server) *zoneReport {
	z := b.zoneReports[s.Zone]
	if z == nil {
		z = &zoneReport{wait: reportPrior * b.baseline.seconds, inFlight: 1}
		b.zoneReports[s.Zone] = z
	}
	return z
}

// recordLoadReport stores a server's own count of requests in flight.
func (b *Balancer) recordLoadReport(s *server, l *LoadReport) {
	if l != nil && l.InFlight >= 0 {
		s.reportedInFlight, s.reportedAt = l.InFlight, b.now
		b.meanReportedInFlight += reportGain * (s.reportedInFlight - b.meanReportedInFlight)
	}
}

// observeReport compares the report that an attempt was sent by with the attempt's latency.
func (b *Balancer) observeReport(a *attempt, e *AttemptDone) {
	if a.reportedInFlight >= 0 && (e.Outcome == Served || e.Outcome == TimedOut) {
		z := b.zoneReport(a.server)
		z.wait += reportGain * (max(seconds(e.Latency)-b.baseline.seconds, 0) - z.wait)
		z.inFlight += reportGain * (a.reportedInFlight - z.inFlight)
	}
}

// hasFreshReport reports whether the server has reported lately how many requests it has, and that counts.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < b.observationHalfLife && b.hasFewObservations()
}

// latencyByReports raises the expected latency, in seconds, to what the server's own report says.
func (b *Balancer) latencyByReports(s *server, expected float64) float64 {
	if !b.hasFreshReport(s) {
		return expected
	}
	z := b.zoneReport(s)
	return max(expected, b.baseline.seconds+z.wait/max(z.inFlight, minReportedInFlight)*s.reportedInFlight)
}
