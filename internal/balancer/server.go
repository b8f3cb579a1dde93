package balancer

import (
	"time"

	"dunestep/internal/balancer/inflight"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/probation"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/balancer/slowstart"
)

// server is a listed server, or one that left the list a while ago, with what was learned of it.
type server struct {
	Server
	hash          uint32
	sawDraining   bool                 // draining, or gone after it was
	ringPlace     *ring.Place[*server] // nil: never on the ring
	outsidePlace  *ring.Place[*server] // on the ring of servers without points; nil: never
	leftRingAt    time.Duration        // zero: never
	excludedBelow []uint32             // key ranks excluded from it, by tenant number: see Exclusions; nil: none

	// By this balancer's attempts.
	inFlight        int
	silentSince     time.Duration // since when nothing has come of what is in flight
	lastServedAt    time.Duration
	lastResponseAt  time.Duration    // to an attempt or a probe
	latency         float64          // seconds, mean; zero: none seen
	latencyInFlight float64          // mean number in flight when it was seen
	latencyAt       time.Duration    // last seen
	kindBaseline    *baselineLatency // of its machine kind
	account         inflight.Account // its fair share of this balancer's requests

	// By its own answers to probes and reports.
	reportedInFlight float64 // requests
	reportedAt       time.Duration
	probePending     bool
	probeSentAt      time.Duration
	probeOutcome     Outcome       // of the last probe
	probeLatency     time.Duration // of the last probe; zero after a request was served
	probeFailedAt    time.Duration // zero: the last probe was answered
	awaitingProbe    []*request

	// Ejection and recovery.
	outlier         *outlier.Server
	wasDown         bool // at the end of the last round
	recoveredAt     time.Duration
	flapPenalty     float64 // at flapPenaltyAt
	flapPenaltyAt   time.Duration
	dampedUntil     time.Duration
	dampRequestedAt time.Duration // from peers
	slowStart       slowstart.Budget
	probation       *probation.Server // nil: none
}
