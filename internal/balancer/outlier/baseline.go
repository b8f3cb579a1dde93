package outlier

const (
	priorAttempts   = 100.0 // weight of the least usual ratios beside the fleet's own attempts
	minPartialRatio = 0.02  // failures of a kind: the least that is taken for usual
	maxPartialRatio = 0.9   // the most

	baselineDecay       = 0.75  // in a round: what is usual changes within seconds,
	minBaselineAttempts = 500.0 // but rests on this many attempts, where so many come
	maxBaselineDecay    = 0.977 // in a round: and on those of half a minute at the most
)

// minUsualRatio is the least ratio that is taken for usual, so that the first failures after a quiet hour
// prove little by themselves: two refused connects, or three failures of another cause, eject a server.
var minUsualRatio = [causeCount]float64{
	causeConnectionRefused: 0.0008, causeConnectTimeout: 0.007, causeStaleConnection: 0.3,
	causeConnectionReset: 0.007, causeServerError: 0.007, causeInvalidResponse: 0.007, causeNoResponse: 0.007,
	causeLateResponse: 0.02, causeRejected: 0.02,
}

// decayingCounts counts ended attempts; those long past decay with the rounds.
type decayingCounts struct {
	total   float64
	byCause [causeCount]float64
}

func (c *decayingCounts) add(more decayingCounts) {
	c.total += more.total
	for i := range c.byCause {
		c.byCause[i] += more.byCause[i]
	}
}

// failureKind parts the failures of a server that fails in part.
type failureKind int

const (
	failureResponse   failureKind = iota // the server answers with failures
	failureNoResponse                    // something keeps its responses from coming
)

func kindOf(c cause) failureKind {
	if c == causeServerError || c == causeInvalidResponse {
		return failureResponse
	}
	return failureNoResponse
}

// count counts the end of an attempt. An ejected server's do not count: they are unusual.
func (d *Detector) count(s *Server, c cause) {
	if s.isEjected {
		return
	}
	s.recent.total++
	d.fleet.total++
	if c < causeCount {
		s.recent.byCause[c]++
		d.fleet.byCause[c]++
	}
}

// removeFromFleet takes a server's counts out of the fleet's: what is unusual must not make itself usual.
func (d *Detector) removeFromFleet(s *Server) {
	d.fleet.total -= s.recent.total
	for c := range s.recent.byCause {
		d.fleet.byCause[c] = max(d.fleet.byCause[c]-s.recent.byCause[c], 0)
	}
	s.recent = decayingCounts{}
}

// usualRatio is the usual ratio of a cause among the attempts at the other servers.
func (d *Detector) usualRatio(s *Server, c cause) float64 {
	all := d.fleet.total - s.recent.total
	by := d.fleet.byCause[c] - s.recent.byCause[c]
	return max(minUsualRatio[c], (priorAttempts*minUsualRatio[c]+by)/(priorAttempts+all))
}

// usualPartialRatio is the usual ratio of a kind of failures among the attempts at the other servers.
func (d *Detector) usualPartialRatio(s *Server, kind failureKind) float64 {
	fleet, own := &d.fleet.byCause, &s.recent.byCause
	var n float64
	if kind == failureResponse {
		n = fleet[causeServerError] + fleet[causeInvalidResponse] -
			own[causeServerError] - own[causeInvalidResponse]
	} else {
		n = -own[causeConnectionRefused] - own[causeConnectTimeout] - own[causeStaleConnection] -
			own[causeConnectionReset] - own[causeNoResponse] - own[causeLateResponse]
		n += fleet[causeConnectionRefused] + fleet[causeConnectTimeout] + fleet[causeStaleConnection] +
			fleet[causeConnectionReset] + fleet[causeNoResponse] + fleet[causeLateResponse]
	}
	ratio := (priorAttempts*minPartialRatio + n) / (priorAttempts + d.fleet.total - s.recent.total)
	return min(ratio, maxPartialRatio)
}

// usualTimeoutRatio is the usual ratio of timeouts of either cause among the attempts at the other servers.
func (d *Detector) usualTimeoutRatio(s *Server) float64 {
	fleet, own := &d.fleet.byCause, &s.recent.byCause
	n := fleet[causeNoResponse] + fleet[causeLateResponse] - own[causeNoResponse] - own[causeLateResponse]
	least := minUsualRatio[causeNoResponse]
	return max(least, (priorAttempts*least+n)/(priorAttempts+d.fleet.total-s.recent.total))
}

// decayBaseline has the counts of a round decay.
func (d *Detector) decayBaseline() {
	factor := min(max(baselineDecay, minBaselineAttempts/max(d.fleet.total, 1)), maxBaselineDecay)
	d.fleet = decayingCounts{}
	for _, s := range d.servers {
		s.recent.total *= factor
		d.fleet.total += s.recent.total
		for c := range s.recent.byCause {
			s.recent.byCause[c] *= factor
			d.fleet.byCause[c] += s.recent.byCause[c]
		}
	}
}
