package balancer

import (
	"time"

	"dunestep/internal/balancer/inflight"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/probation"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/balancer/slowstart"
)

// server is the state of a listed server, or of one that left the list recently.
type server struct {
	Server
	hash          uint32
	sawDraining   bool                 // draining, or gone after draining
	ringPlace     *ring.Place[*server] // nil: never on the ring
	outsidePlace  *ring.Place[*server] // place on outsideRing; nil: never there
	leftRingAt    time.Duration        // zero: never
	excludedBelow []uint32             // excluded key ranks by tenant number: see Exclusions; nil: none

	// From this balancer's attempts.
	inFlight        int              // requests whose bodies are complete
	responding      int              // of inFlight, those whose responses have begun
	receiving       int              // requests whose clients are still sending their bodies
	silentSince     time.Duration    // when the server last responded or its first request in flight was sent
	lastServedAt    time.Duration    // last served attempt
	lastResponseAt  time.Duration    // last response to an attempt or a probe
	latency         float64          // seconds, mean; zero: not measured
	latencyInFlight float64          // mean number of requests in flight when the latency was measured
	latencyAt       time.Duration    // last measurement of the latency
	kindBaseline    *baselineLatency // baseline of the server's machine kind
	account         inflight.Account // fair share of this balancer's requests
	counted         countedWeight    // what Balancer.weights includes of the server

	// From probes and load reports.
	reportedInFlight float64       // requests
	reportedAt       time.Duration // zero: never
	probePending     bool
	probeSentAt      time.Duration
	probeOutcome     Outcome       // outcome of the last probe
	probeLatency     time.Duration // latency of the last probe; zero after a served attempt
	probeFailedAt    time.Duration // zero: the last probe was served
	awaitingProbe    []*request    // requests that wait for the pending probe

	// Ejection and recovery.
	outlier         *outlier.Server
	isWatched       bool          // in Balancer.watched
	wasDown         bool          // ejected at the end of the last round
	recoveredAt     time.Duration // recovery from failed connections; zero: never
	flapPenalty     float64       // value at flapPenaltyAt
	flapPenaltyAt   time.Duration
	dampedUntil     time.Duration
	dampRequestedAt time.Duration // last damp request to peers; zero: never
	slowStart       slowstart.Budget
	probation       *probation.Server // nil: not on probation
}
