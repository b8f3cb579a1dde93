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

// Balancer decides for one client-side balancer. It is not safe for concurrent use.
type Balancer struct {
	settings Settings
	tuning   Tuning
	classes  map[string]*class
	rng      *rand.Rand
	now      time.Duration // of the present step
	actions  []Action      // of the present step

	// The server list and the ring.
	started          bool // the first list has come
	servers          map[string]*server
	byHash           map[uint32]*server
	ring             *ring.Ring[*server] // its members are the ready servers: see updateRing
	outsideRing      *ring.Ring[*server] // ready servers without points in the active assignment
	givenAssignment  *RingAssignment     // as given by SetRingAssignment
	activeAssignment *RingAssignment     // the given one, or nil where that leaves no usable server
	maxMemberPoints  int                 // most points of a member; at least one
	discovery        backoff.Schedule    // of the calls to discovery
	pollAgainAt      time.Duration       // zero: not to be polled again
	pollScheduled    bool                // a timer for the next call is set

	// Requests and retries.
	requests               map[uint32]*request
	blamedKeys             map[uint32]*blamedKey
	retryTokens            float64
	unprocessedRetryTokens float64

	// What was learned of servers.
	detector             *outlier.Detector
	loggedDistrust       string // why verdicts are distrusted, as last logged
	probation            probation.List
	zoneReach            zonereach.Tracker
	zoneReports          map[string]*zoneReport      // by zone
	kindBaselines        map[string]*baselineLatency // by machine kind
	baseline             baselineLatency             // of all answers
	meanLatency          float64                     // seconds, over all servers, failures included
	failureFraction      float64                     // of the latest attempts
	observationHalfLife  time.Duration               // in which an observation of a server loses half its weight
	meanReportedInFlight float64                     // requests, by the servers' reports
	falseProbeFraction   float64                     // of failed probes, those that a request contradicted
	meanProbeWait        float64                     // seconds

	// Load and its limits.
	longestObjective     time.Duration // of all classes
	latencyLimitFraction float64       // of the objective: see setLatencyLimits
	inFlight             int
	inFlightSeconds      float64           // sum of time in flight, of this round
	inFlightSecondsAt    time.Duration     // up to which it is summed
	typicalInFlight      float64           // mean in flight at a server
	sendRate             float64           // work units a second
	sentThisRound        float64           // work units
	meanWork             float64           // seconds, of the requests' hints
	accounts             inflight.Accounts // fairness between servers
	quotas               *quota.Tracker
	lowestBaseline       float64 // seconds, of the fastest machine kind; zero: not known
	largestWeight        float64 // effective, of the members
	weightSum            float64 // traffic weights of the members that are up

	// Slow start.
	slowStart          slowstart.Params
	slowStartSaturated slowstart.Params // the same while warm servers are saturated
	warmSaturated      bool             // see SetWarmServersSaturated
	anyWarmingUp       bool             // at least one member is in slow start

	// Tenants.
	exclusions exclusionState
}

// New returns a Balancer that knows no servers yet. The seed fixes its random choices. The error names the
// setting that cannot be served.
func New(set Settings, seed uint64) (*Balancer, error) {
	if err := set.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings: set, tuning: set.Tuning, rng: rand.New(rand.NewPCG(seed, 0x5072656c)),
		classes: map[string]*class{}, servers: map[string]*server{}, byHash: map[uint32]*server{},
		ring: ring.New[*server](pointsPerServer), outsideRing: ring.New[*server](pointsPerServer),
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
	b.setSlowStartTerms(slowstart.Params{
		InitialCapacity: set.Rules.SlowStartCapacity, Duration: set.Rules.SlowStartDuration,
		OverloadMultiple: set.Rules.OverloadMultiple, OverloadWindow: set.Rules.OverloadWindow,
		Margin: b.tuning.SlowStartMargin, MaxOfWarm: b.tuning.SlowStartMax, Balancers: set.Balancers,
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

// Step handles one event and returns the actions to take, valid until the next Step. A time before that of an
// earlier step counts as that.
func (b *Balancer) Step(now time.Duration, ev Event) []Action {
	b.actions = b.actions[:0]
	b.now = max(b.now, now)
	switch e := ev.(type) {
	case *Request:
		b.onRequest(e)
	case *AttemptDone:
		b.onAttemptDone(e)
	case *StreamStarted:
		b.onStreamStarted(e)
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

// seconds is what Duration.Seconds is, without its two divisions.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
