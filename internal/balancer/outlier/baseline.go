package outlier

const (
	priorAttempts   = 100.0 // weight of the minimum usual ratios, in attempts
	minPartialRatio = 0.02  // minimum usual ratio of a kind of failures
	maxPartialRatio = 0.9   // maximum usual ratio of a kind of failures

	baselineDecay       = 0.75  // factor per round: the usual ratios follow a change within seconds
	minBaselineAttempts = 500.0 // attempts that are kept in the counts where the traffic suffices
	maxBaselineDecay    = 0.977 // factor per round: the counts cover about half a minute at most
)

// minUsualRatio is the minimum usual ratio of each cause. It limits the evidence of the first failures after
// a quiet hour: it takes two refused connects, or three failures of most other causes, to eject a server.
var minUsualRatio = [causeCount]float64{
	causeConnectionRefused: 0.0008, causeConnectTimeout: 0.007, causeStaleConnection: 0.3,
	causeConnectionReset: 0.007, causeServerError: 0.007, causeInvalidResponse: 0.007, causeNoResponse: 0.007,
	causeLateResponse: 0.02, causeRejected: 0.02,
}

// decayingCounts counts ended attempts by cause, each by Detector.attemptWeight at its end. Relative to that
// weight, the counts decay each round.
type decayingCounts struct {
	total   float64
	byCause [causeCount]float64
}

// scale multiplies the counts by a factor.
func (c *decayingCounts) scale(factor float64) {
	c.total *= factor
	for i := range c.byCause {
		c.byCause[i] *= factor
	}
}

func (c *decayingCounts) add(other decayingCounts) {
	c.total += other.total
	for i := range c.byCause {
		c.byCause[i] += other.byCause[i]
	}
}

// failureKind classifies the failures of a server that fails a fraction of its attempts.
type failureKind int

const (
	failureResponse   failureKind = iota // the server responds with an error or an invalid response
	failureNoResponse                    // no complete response arrives
)

func kindOf(c cause) failureKind {
	if c == causeServerError || c == causeInvalidResponse {
		return failureResponse
	}
	return failureNoResponse
}

// count counts the end of an attempt. Attempts at an ejected server are not counted, as they are unusual.
func (d *Detector) count(s *Server, c cause) {
	if s.isEjected {
		return
	}
	s.recent.total += d.attemptWeight
	d.fleet.total += d.attemptWeight
	if c < causeCount {
		s.recent.byCause[c] += d.attemptWeight
		d.fleet.byCause[c] += d.attemptWeight
	}
}

// removeFromFleet removes a server's counts from the fleet's, so that its failures do not become usual.
func (d *Detector) removeFromFleet(s *Server) {
	d.fleet.total = max(d.fleet.total-s.recent.total, 0)
	for c := range s.recent.byCause {
		d.fleet.byCause[c] = max(d.fleet.byCause[c]-s.recent.byCause[c], 0)
	}
	s.recent = decayingCounts{}
}

// usualRatio returns the usual ratio of a cause among the attempts at the other servers.
func (d *Detector) usualRatio(s *Server, c cause) float64 {
	attempts := d.fleet.total - s.recent.total
	failures := d.fleet.byCause[c] - s.recent.byCause[c]
	prior := priorAttempts * d.attemptWeight
	return max(minUsualRatio[c], (prior*minUsualRatio[c]+failures)/(prior+attempts))
}

// usualPartialRatio returns the usual ratio of a kind of failures among the attempts at the other servers.
func (d *Detector) usualPartialRatio(s *Server, kind failureKind) float64 {
	fleet, own := &d.fleet.byCause, &s.recent.byCause
	var failures float64
	if kind == failureResponse {
		failures = fleet[causeServerError] + fleet[causeInvalidResponse] -
			own[causeServerError] - own[causeInvalidResponse]
	} else {
		failures = -own[causeConnectionRefused] - own[causeConnectTimeout] - own[causeStaleConnection] -
			own[causeConnectionReset] - own[causeNoResponse] - own[causeLateResponse]
		failures += fleet[causeConnectionRefused] + fleet[causeConnectTimeout] + fleet[causeStaleConnection] +
			fleet[causeConnectionReset] + fleet[causeNoResponse] + fleet[causeLateResponse]
	}
	prior := priorAttempts * d.attemptWeight
	ratio := (prior*minPartialRatio + failures) / (prior + d.fleet.total - s.recent.total)
	return min(ratio, maxPartialRatio)
}

// usualTimeoutRatio returns the usual ratio of timeouts, with causeNoResponse or causeLateResponse, among the
// attempts at the other servers.
func (d *Detector) usualTimeoutRatio(s *Server) float64 {
	fleet, own := &d.fleet.byCause, &s.recent.byCause
	timeouts := fleet[causeNoResponse] + fleet[causeLateResponse] - own[causeNoResponse] - own[causeLateResponse]
	minRatio := minUsualRatio[causeNoResponse]
	prior := priorAttempts * d.attemptWeight
	return max(minRatio, (prior*minRatio+timeouts)/(prior+d.fleet.total-s.recent.total))
}

// maxAttemptWeight is the weight of an attempt from which the counts are scaled down, so that they stay
// finite.
const maxAttemptWeight = 1e100

// decayBaseline applies the decay of one round to the counts. Instead of all counts becoming smaller, each
// later attempt weighs more, so that the cost does not depend on the number of servers.
func (d *Detector) decayBaseline() {
	attempts := d.fleet.total / d.attemptWeight
	factor := min(max(baselineDecay, minBaselineAttempts/max(attempts, 1)), maxBaselineDecay)
	d.attemptWeight /= factor
	if d.attemptWeight > maxAttemptWeight {
		d.rescaleBaseline()
	}
}

// rescaleBaseline makes an attempt weigh one again.
func (d *Detector) rescaleBaseline() {
	d.fleet = decayingCounts{}
	for _, s := range d.servers {
		s.recent.scale(1 / d.attemptWeight)
		d.fleet.add(s.recent)
	}
	d.attemptWeight = 1
}
