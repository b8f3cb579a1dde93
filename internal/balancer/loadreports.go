package balancer

const (
	// reportGain is the weight of a new load report in the means.
	reportGain = 0.05
	// reportPrior is the initial wait for each reported request in a zone, as a fraction of the baseline
	// latency.
	reportPrior = 0.25
	// minReportedInFlight is the minimum mean of reported requests as a divisor, which keeps the wait for each
	// reported request finite.
	minReportedInFlight = 0.1
)

// zoneReport calibrates the load reports of a zone's servers. It has the means of the wait, in seconds
// beyond the baseline, of attempts sent after a report, and of the requests in flight in those reports. So
// reports of a full server lose their weight if fast responses follow. In a zone with both true and false
// reports, all count by the mean of both.
type zoneReport struct{ wait, inFlight float64 }

// zoneReport returns the calibration of the server's zone, which it adds if there is none.
func (b *Balancer) zoneReport(s *server) *zoneReport {
	z := b.zoneReports[s.Zone]
	if z == nil {
		z = &zoneReport{wait: reportPrior * b.baseline.seconds, inFlight: 1}
		b.zoneReports[s.Zone] = z
	}
	return z
}

// recordLoadReport stores the requests in flight of a load report, if it has them.
func (b *Balancer) recordLoadReport(s *server, l *LoadReport) {
	if l != nil && l.InFlight >= 0 {
		s.reportedInFlight, s.reportedAt = l.InFlight, b.now
		b.meanReportedInFlight += reportGain * (s.reportedInFlight - b.meanReportedInFlight)
	}
}

// observeReport updates the zone's calibration with the latency of an attempt that was sent with a fresh load
// report.
func (b *Balancer) observeReport(a *attempt, e *AttemptDone) {
	if a.reportedInFlight >= 0 && (e.Outcome == Served || e.Outcome == TimedOut) {
		z := b.zoneReport(a.server)
		z.wait += reportGain * (max(seconds(e.Latency)-b.baseline.seconds, 0) - z.wait)
		z.inFlight += reportGain * (a.reportedInFlight - z.inFlight)
	}
}

// hasFreshReport reports whether the server's load report is recent enough to use, and this balancer has too
// few observations of its own.
func (b *Balancer) hasFreshReport(s *server) bool {
	return s.reportedAt > 0 && b.now-s.reportedAt < b.observationHalfLife && b.hasFewObservations()
}

// latencyByReports returns the expected latency, in seconds, raised to at least the baseline plus the wait
// that the server's fresh load report suggests.
func (b *Balancer) latencyByReports(s *server, expected float64) float64 {
	if !b.hasFreshReport(s) {
		return expected
	}
	z := b.zoneReport(s)
	return max(expected, b.baseline.seconds+z.wait/max(z.inFlight, minReportedInFlight)*s.reportedInFlight)
}
