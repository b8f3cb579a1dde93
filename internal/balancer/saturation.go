package balancer

import "math"

const (
	// affinityFraction of the objective: below this expected latency a key's owner keeps its keys, since
	// affinity saves more than another server would.
	affinityFraction = 0.35
	// surgeDeviations above the typical number in flight, in its square root, is a surge.
	surgeDeviations = 2.0
	// inFlightGain is the weight of a new round in the typical number in flight.
	inFlightGain = 0.1
	// initialInFlight is the typical number in flight at a server, of all balancers together, until this one
	// has seen its own part.
	initialInFlight = 8.0
	// sparseFraction of a request in flight at a busy server: with less, a balancer is sparse.
	sparseFraction = 0.1
	// sendRateGainUp and sendRateGainDown are the weights of a new round in the rate, where it is more and less
	// than before. Down slowly: what is held back because servers look slow or are in slow start must not make
	// it look as if a warm server carried that little, or those in slow start would get nothing for good.
	sendRateGainUp   = 0.5
	sendRateGainDown = 0.02
	// idleRoundFraction of the rate: a round that sends less shows nothing of what servers carry.
	idleRoundFraction = 0.1
)

// hasFewObservations reports whether this balancer sends a server less than one request in the time that an
// observation lasts. Then it depends on what servers say in probes and reports, else on its own observations.
func (b *Balancer) hasFewObservations() bool {
	return b.sendRate*seconds(b.observationHalfLife) < b.memberCount()
}

// IsSparse reports whether this balancer is one of so many, and sends so little, that what it has in flight
// at a server says nothing of how busy the server is. With few balancers, limits on its own requests in
// flight are enough.
func (b *Balancer) IsSparse() bool {
	return initialInFlight < sparseFraction*float64(b.settings.Balancers) && b.hasFewObservations()
}

// memberCount is the number of servers on the ring, for means: at least one.
func (b *Balancer) memberCount() float64 { return float64(max(len(b.ring.Members()), 1)) }

// isSaturated reports whether an owner passes the request on. Expected is the server's expected latency, in
// seconds as the limit.
func (b *Balancer) isSaturated(r *request, s *server, expected, latencyLimit float64) bool {
	switch {
	case expected > latencyLimit, b.probeIsLate(r, s), b.hasSurge(s):
		return true
	}
	return expected > affinityFraction*seconds(r.class.LatencyObjective) && b.exceedsBoundedLoad(s)
}

// probeIsLate reports whether the server has not answered its probe while the request waited for it.
func (b *Balancer) probeIsLate(r *request, s *server) bool {
	return s.probePending && b.trustsProbes() &&
		float64(b.now-s.probeSentAt) >= probeWaitFraction*float64(r.class.LatencyObjective)
}

// hasSurge reports whether far more than usual is in flight at the server.
func (b *Balancer) hasSurge(s *server) bool {
	return float64(s.inFlight) > max(b.typicalInFlight+surgeDeviations*math.Sqrt(b.typicalInFlight), 1)
}

// exceedsBoundedLoad reports whether one more request puts the server above its bound over the mean load, by
// its own report where that is fresh.
func (b *Balancer) exceedsBoundedLoad(s *server) bool {
	load, mean := float64(s.inFlight), float64(b.inFlight+1)/b.memberCount()
	if b.hasFreshReport(s) {
		load, mean = s.reportedInFlight, b.meanReportedInFlight
	}
	return load+1 > b.tuning.BoundedLoadFactor*mean
}

// addInFlight counts the start or the end of waiting for an attempt's answer. One whose answer has begun is
// not waited for.
func (b *Balancer) addInFlight(a *attempt, change int) {
	if !a.responseStarted {
		a.server.inFlight += change
		b.changeInFlight(change)
	}
}

// changeInFlight changes the number in flight, and sums up the time in flight until now.
func (b *Balancer) changeInFlight(change int) {
	b.inFlightSeconds += float64(b.inFlight) * seconds(b.now-b.inFlightSecondsAt)
	b.inFlightSecondsAt = b.now
	b.inFlight += change
}

// updateSendRate ends the round's counts.
func (b *Balancer) updateSendRate() {
	gain := sendRateGainUp
	if b.sentThisRound < b.sendRate {
		gain = sendRateGainDown
	}
	b.changeInFlight(0)
	if b.sentThisRound >= idleRoundFraction*b.sendRate {
		b.sendRate += gain * (b.sentThisRound - b.sendRate)
		mean := b.inFlightSeconds / seconds(roundInterval) / b.memberCount()
		b.typicalInFlight += inFlightGain * (mean - b.typicalInFlight)
	} else {
		b.meanLatency /= 2 // it includes failures, and would keep anything from being retried
	}
	b.inFlightSeconds, b.sentThisRound = 0, 0
}
