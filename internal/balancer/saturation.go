package balancer

import "math"

const (
	// affinityFraction is a fraction of the latency objective. A server with a lower expected latency than this
	// keeps its keys even above its bounded load, since key affinity saves more than a faster server would.
	affinityFraction = 0.35
	// surgeDeviations is the number of standard deviations above the typical number of requests in flight from
	// which there is a surge. The standard deviation is the square root of the typical number.
	surgeDeviations = 2.0
	// inFlightGain is the weight of a new round in the moving average of requests in flight.
	inFlightGain = 0.1
	// initialInFlight is the assumed number of requests in flight at a server, from all balancers together,
	// until this balancer has measured its own.
	initialInFlight = 8.0
	// sparseFraction is the number of requests in flight, from one balancer at a busy server, below which a
	// balancer is sparse.
	sparseFraction = 0.1
	// sendRateGainUp and sendRateGainDown are the weights of a new round in the moving average of the send rate
	// when the round's rate is higher and lower than the average. The average falls slowly because it sizes the
	// slow-start budget: requests held back because servers look slow or are in slow start would otherwise lower
	// the rate a warm server seems to serve, until servers in slow start got nothing.
	sendRateGainUp   = 0.5
	sendRateGainDown = 0.02
	// idleRoundFraction is the fraction of the average send rate below which a round does not count, since it
	// does not show how much the servers can serve.
	idleRoundFraction = 0.1
)

// hasFewObservations reports whether this balancer sends each server less than one request on average within
// the half-life of an observation. It then relies on probes and load reports, else on its own observations.
func (b *Balancer) hasFewObservations() bool {
	return b.sendRate*seconds(b.observationHalfLife) < b.memberCount()
}

// IsSparse reports whether there are so many balancers, and this one sends so few requests, that its
// requests in flight at a server do not show how busy the server is. With few balancers, limits on each
// one's requests in flight are enough.
func (b *Balancer) IsSparse() bool {
	return initialInFlight < sparseFraction*float64(b.settings.Balancers) && b.hasFewObservations()
}

// memberCount returns the number of servers on the ring, at least one, as a divisor for means.
func (b *Balancer) memberCount() float64 { return float64(max(b.ring.MemberCount(), 1)) }

// isSaturated reports whether the server is too busy for the request, which then goes to the next owner of
// the key. Expected is the server's expected latency; it and the limit are in seconds.
func (b *Balancer) isSaturated(r *request, s *server, expected, latencyLimit float64) bool {
	switch {
	case expected > latencyLimit, b.probeIsLate(r, s), b.hasSurge(r, s):
		return true
	}
	return expected > affinityFraction*seconds(r.class.LatencyObjective) && b.exceedsBoundedLoad(s)
}

// probeIsLate reports whether the server's pending probe has had no response for probeWaitFraction of the
// request's latency objective.
func (b *Balancer) probeIsLate(r *request, s *server) bool {
	return s.probePending && b.trustsProbes() &&
		float64(b.now-s.probeSentAt) >= probeWaitFraction*float64(r.class.LatencyObjective)
}

// hasSurge reports whether far more requests than usual are in flight at the server. Those whose bodies are
// not complete only cost it connections: they count for others of their kind alone.
func (b *Balancer) hasSurge(r *request, s *server) bool {
	requests := s.inFlight
	if r.isBodyPending {
		requests += s.receiving
	}
	return float64(requests) > max(b.typicalInFlight+surgeDeviations*math.Sqrt(b.typicalInFlight), 1)
}

// exceedsBoundedLoad reports whether one more request raises the server's load above BoundedLoadFactor times
// the mean load. The load is the server's own report where that is fresh, else this balancer's requests in
// flight.
func (b *Balancer) exceedsBoundedLoad(s *server) bool {
	load, mean := float64(s.inFlight), float64(b.inFlight+1)/b.memberCount()
	if b.hasFreshReport(s) {
		load, mean = s.reportedInFlight, b.meanReportedInFlight
	}
	return load+1 > b.tuning.BoundedLoadFactor*mean
}

// beginInFlight counts an attempt at its server: as in flight, or as one whose body is not complete.
func (b *Balancer) beginInFlight(a *attempt) {
	if a.isReceiving {
		a.server.receiving++
		return
	}
	if a.server.inFlight == 0 {
		a.server.silentSince = b.now
	}
	a.server.inFlight++
	if a.isResponding {
		a.server.responding++
	}
	b.changeInFlight(1)
}

// endInFlight ends what beginInFlight has begun. An attempt whose response has begun is not counted any more.
func (b *Balancer) endInFlight(a *attempt) {
	switch {
	case a.responseStarted:
	case a.isReceiving:
		a.server.receiving--
	default:
		a.server.inFlight--
		if a.isResponding {
			a.server.responding--
		}
		b.changeInFlight(-1)
	}
}

// changeInFlight changes the total number of requests in flight, after adding the time since the last change
// to the round's sum of time in flight.
func (b *Balancer) changeInFlight(change int) {
	b.inFlightSeconds += float64(b.inFlight) * seconds(b.now-b.inFlightSecondsAt)
	b.inFlightSecondsAt = b.now
	b.inFlight += change
}

// updateSendRate updates the averages of the send rate and of the requests in flight from the round that
// ends, and resets the round's sums.
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
		b.meanLatency /= 2 // includes failures; left high, it would prevent all retries
	}
	b.inFlightSeconds, b.sentThisRound = 0, 0
}
