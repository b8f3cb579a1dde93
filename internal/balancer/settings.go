package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Idempotency says what repeating a request may do.
type Idempotency uint8

const (
	// Idempotent requests can be repeated at will.
	Idempotent Idempotency = iota
	// IdempotentWithKey requests can be repeated only where servers drop the repeats by the request's key: see
	// DedupScope.
	IdempotentWithKey
	// NotIdempotent requests must not be repeated once an attempt may have been processed.
	NotIdempotent
)

// DedupScope says which servers share the memory that drops repeats of IdempotentWithKey requests.
type DedupScope uint8

const (
	// DedupScopeAll means that all servers share it.
	DedupScopeAll DedupScope = iota
	// DedupScopeZone means that the servers of a zone share it.
	DedupScopeZone
	// DedupScopeCell means that the servers of a cell share it.
	DedupScopeCell
)

// Class is a kind of request.
type Class struct {
	Name string
	// an answer inside this has full weight; not positive, or beyond Deadline: Deadline
	LatencyObjective time.Duration
	ObjectivePerWork float64       // added to the objective, times the request's WorkHint
	Deadline         time.Duration // must be positive
	LateWeight       float64       // fraction of the weight, from 0 to 1, that an answer after the objective has
	Idempotency      Idempotency
	DedupScope       DedupScope    // of IdempotentWithKey
	DedupWindow      time.Duration // how long servers drop repeats
	PriorityWeight   float64       // compared with the other classes'
	Streaming        bool          // the server works until the end of the answer
}

// Tenant is a customer with a quota over all balancers together.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests; not positive: none
	Share          float64 // of all traffic, from 0 to 1
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int           // of a request, the first one included; at least one
	Hedging       bool          // two attempts of a request may be outstanding at once
	Cancel        bool          // attempts may be canceled
	Probes        bool          // servers may be probed
	Gossip        bool          // balancers may send messages to one another
	RetryAfter    bool          // a rejection may say when to return
	MaxRetryAfter time.Duration // the longest that it may say
}

// Rules are the deployment's invariants.
type Rules struct {
	DrainGrace        time.Duration // after the notice of a drain, nothing may be sent any more
	MaxPollInterval   time.Duration // discovery on demand must be polled at least this often
	SlowStartCapacity float64       // of a server that just started, as a fraction of its full capacity
	SlowStartDuration time.Duration // after which a server has its full capacity
	// a server in slow start fails when it gets more than this times its capacity
	OverloadMultiple float64
	OverloadWindow   time.Duration // for this long
	GoneUsable       bool          // servers listed as gone may still be used, draining ones may not
}

// Costs are deductions for each unit of what they name.
type Costs struct{ CrossZone, WastedWork, Probe, PeerMessage, LateFailure float64 }

// ScoreWeights weighs the parts of the result. TailMissRatio is no weight: it is the fraction of a class's
// requests, from 0 to 1, that may miss the objective before the part that TailLatency weighs shrinks.
type ScoreWeights struct{ Total, WorstWindow, WorstClass, WorstTenant, TailLatency, TailMissRatio float64 }

// Settings is what a Balancer is given at its start.
type Settings struct {
	Self               int // this balancer's number, from 0
	Balancers          int // how many there are; at least one
	Zone               string
	Classes            []Class // at least one
	Tenants            []Tenant
	OverQuotaWeight    float64 // of requests beyond their tenant's quota
	Limits             Limits
	Rules              Rules
	Costs              Costs
	ScoreWeights       ScoreWeights
	DiscoveryOnDemand  bool          // discovery sends updates only when subscribed to
	ClientsMarkRetries bool          // clients mark their own retries
	Tick               time.Duration // shortest time between steps; must be positive
	Tuning             Tuning        // zero: DefaultTuning
}

// validate rejects settings that cannot be served and completes the others, without changing what the caller
// still holds.
func (s *Settings) validate() error {
	if len(s.Classes) == 0 {
		return errors.New("balancer: the settings have no request classes")
	}
	if s.Tick <= 0 {
		return fmt.Errorf("balancer: the settings' resolution is %v, it must be positive", s.Tick)
	}
	s.Balancers = max(s.Balancers, 1)
	s.Limits.MaxAttempts = max(s.Limits.MaxAttempts, 1)
	var err error
	if s.Tuning, err = s.Tuning.withDefaults(); err != nil {
		return err
	}
	s.Classes = slices.Clone(s.Classes)
	for i := range s.Classes {
		c := &s.Classes[i]
		if c.Deadline <= 0 {
			return fmt.Errorf("balancer: the settings' class %q has no deadline", c.Name)
		}
		if c.LatencyObjective <= 0 || c.LatencyObjective > c.Deadline {
			c.LatencyObjective = c.Deadline
		}
	}
	return nil
}
