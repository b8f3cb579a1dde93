package balancer

import (
	"math/rand/v2"
	"time"

	"dunestep/internal/balancer/inflight"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/probation"
	"dunestep/internal/balancer/quota"
	"dunestep/internal/balancer/ring"
	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/balancer/zonereach"
	"dunestep/internal/discovery/backoff"
)

// Balancer makes the decisions of one agent's load balancer. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	tuning   Tuning
	classes  map[string]*class
	rng      *rand.Rand
	now      time.Duration // time of the current step
	actions  []Action      // actions of the current step
	skipped  SkipCounts    // of the latest selection, if it found no server

	// The server list and the ring.
	started          bool // the first server list has arrived
	servers          map[string]*server
	byHash           map[uint32]*server
	ring             *ring.Ring[*server]  // members: the ready servers, see updateRing
	outsideRing      *ring.Ring[*server]  // ready servers without points in the active assignment
	givenAssignment  *RingAssignment      // last argument of SetRingAssignment
	activeAssignment *RingAssignment      // the given one, or nil if it has no usable server
	placedAssignment *RingAssignment      // the assignment that the ring follows
	moved            []*server            // servers whose state has changed since the last updateRing
	departed         map[*server]struct{} // servers that are gone and not forgotten yet
	maxMemberPoints  int                  // largest number of points of a member; at least one
	discovery        backoff.Schedule     // schedule of the calls to discovery
	pollTimerAt      time.Duration        // when the timer for the next call is due; zero: none is set

	// Requests and retries.
	requests               map[uint32]*request
	blamedKeys             map[uint32]*blamedKey
	retryTokens            float64
	unprocessedRetryTokens float64

	// Server health and latency.
	detector             *outlier.Detector
	watched              map[*server]struct{} // see watched.go
	penalized            []*server            // those with a flap penalty, in the order in which they got it
	loggedDistrustReason string               // reason for distrusting verdicts that was last logged
	probation            probation.List
	zoneReach            zonereach.Tracker
	zoneReports          map[string]*zoneReport      // by zone
	kindBaselines        map[string]*baselineLatency // by machine kind
	baseline             baselineLatency             // of all responses
	meanLatency          float64                     // seconds, over all servers, including failures
	failureFraction      float64                     // moving average over all attempts
	observationHalfLife  time.Duration               // half-life of the weight of an observation
	meanReportedInFlight float64                     // requests, mean of the servers' load reports
	falseProbeFraction   float64                     // fraction of failed probes that a request contradicted
	meanProbeWait        float64                     // seconds

	// Load and its limits.
	longestObjective     time.Duration     // maximum latency objective of all classes
	latencyLimitFraction float64           // fraction of the latency objective: see setLatencyLimits
	inFlight             int               // requests in flight at all servers
	inFlightSeconds      float64           // sum of the time in flight over the requests of this round
	inFlightSecondsAt    time.Duration     // end of the time included in the sum
	typicalInFlight      float64           // mean number of requests in flight at a server
	sendRate             float64           // work units a second
	sentThisRound        float64           // work units
	meanWork             float64           // seconds, mean of the requests' work hints
	accounts             inflight.Accounts // fairness between servers
	quotas               *quota.Tracker
	lowestBaseline       float64 // seconds, baseline latency of the fastest machine kind; zero: unknown
	largestWeight        float64 // largest effective weight of a member
	weightSum            float64 // sum of the traffic weights of the members that are up
	weights              memberWeights

	// Slow start.
	slowStart            slowstart.Params
	slowStartSaturated   slowstart.Params // parameters while warm servers are saturated
	warmServersSaturated bool             // see SetWarmServersSaturated
	anyWarmingUp         bool             // at least one member is in slow start

	// Tenants.
	exclusions exclusionState
}

// New returns a Balancer without servers. The seed determines its random choices. The error names the invalid
// setting.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: set, tuning: set.Tuning, rng: rand.New(rand.NewPCG(seed, 0x5072656c)),
		classes: map[string]*class{}, servers: map[string]*server{}, byHash: map[uint32]*server{},
		ring: ring.New[*server](pointsPerServer), outsideRing: ring.New[*server](pointsPerServer),
		watched: map[*server]struct{}{}, departed: map[*server]struct{}{},
		requests: map[uint32]*request{}, blamedKeys: map[uint32]*blamedKey{},
		zoneReports: map[string]*zoneReport{}, kindBaselines: map[string]*baselineLatency{},
		typicalInFlight: initialInFlight / float64(set.Balancers),
		retryTokens:     set.Tuning.RetryBurst, unprocessedRetryTokens: set.Tuning.UnprocessedRetryBurst,
		exclusions: newExclusionState(set.Tenants),
		quotas:     quota.New(set.Balancers, set.Limits.Gossip),
	}
	b.discovery = backoff.New(backoff.Settings{
		Agents: set.Balancers, MaxPollInterval: set.Rules.MaxPollInterval,
		DrainGrace: set.Rules.DrainGrace,
	})
	b.setSlowStartParams(slowstart.Params{
		InitialCapacity: set.Rules.SlowStartCapacity, Duration: set.Rules.SlowStartDuration,
		OverloadMultiple: set.Rules.OverloadMultiple, OverloadWindow: set.Rules.OverloadWindow,
		Margin: b.tuning.SlowStartMargin, MaxWarmMultiple: b.tuning.SlowStartMax, Balancers: set.Balancers,
	})
	shortest := set.Classes[0].LatencyObjective
	for i, c := range set.Classes {
		b.classes[c.Name] = &class{Class: c, index: i}
		b.classes[c.Name].applyPolicy(set.Limits, nil)
		b.longestObjective = max(b.longestObjective, c.LatencyObjective)
		shortest = min(shortest, c.LatencyObjective)
	}
	b.detector = outlier.New(shortest, len(set.Classes))
	halfLife := time.Duration(halfLifeObjectives * float64(b.longestObjective))
	b.observationHalfLife = min(halfLife, maxObservationHalfLife)
	b.setLatencyLimits()
	for _, t := range set.Tenants {
		b.quotas.Add(t.Name, t.QuotaPerSecond)
	}
	return b, nil
}

// Step handles one event and returns the actions to carry out, which are valid until the next Step. If now is
// before the time of an earlier step, the earlier step's time is used.
func (b *Balancer) Step(now time.Duration, ev Event) []Action {
	b.actions = b.actions[:0]
	b.now = max(b.now, now)
	switch e := ev.(type) {
	case *Request:
		b.onRequest(e)
	case *BodyComplete:
		b.onBodyComplete(e)
	case *AttemptDone:
		b.onAttemptDone(e)
	case *StreamStarted:
		b.onStreamStarted(e)
	case *ResponseBegun:
		b.onResponseBegun(e)
	case *AttemptOverdue:
		b.onAttemptOverdue(e)
	case *ClientGone:
		if r := b.requests[e.ID]; r != nil {
			b.closeRequest(r)
		}
	case *ServerListUpdate:
		b.onServerListUpdate(e)
	case *ProbeDone:
		b.onProbeDone(e)
	case *PeerMessage:
		b.onPeerMessage(e)
	case *TimerDue:
		b.onTimer(e.Tag)
	}
	return b.actions
}

// seconds returns d in seconds. It is faster than Duration.Seconds, which divides twice.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
