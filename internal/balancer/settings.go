package balancer

import (
	"errors"
	"fmt"
	"slices"
	"time"
)

// Idempotency is what repeating a request may do.
type Idempotency uint8

const (
	// Idempotent means that the request can be repeated without limit.
	Idempotent Idempotency = iota
	// IdempotentWithKey means that the request can be repeated only where servers drop duplicates by its key:
	// see DedupScope.
	IdempotentWithKey
	// NotIdempotent means that the request must not be repeated once an attempt may have been processed.
	NotIdempotent
)

// DedupScope is the group of servers that share the state by which they drop duplicates of IdempotentWithKey
// requests.
type DedupScope uint8

const (
	// DedupScopeAll means that all servers share it.
	DedupScopeAll DedupScope = iota
	// DedupScopeZone means that the servers of a zone share it.
	DedupScopeZone
	// DedupScopeCell means that the servers of a cell share it.
	DedupScopeCell
)

// Class is a class of requests.
type Class struct {
	Name string
	// time within which an answer has its full value; if not positive or beyond Deadline, Deadline is used
	LatencyObjective time.Duration
	ObjectivePerWork float64       // multiple of the request's WorkHint that is added to the objective
	Deadline         time.Duration // must be positive
	LateWeight       float64       // fraction of its weight, from 0 to 1, that an answer after the objective has
	Idempotency      Idempotency
	DedupScope       DedupScope    // used with IdempotentWithKey
	DedupWindow      time.Duration // how long servers drop duplicates
	PriorityWeight   float64       // relative to the other classes
	Streaming        bool          // the server works until the end of the response
}

// AllowsRejectionAfter reports whether a request of the class may be rejected although an attempt that began
// this long ago may have been processed: a repeat by the client then does no harm.
func (c *Class) AllowsRejectionAfter(age time.Duration) bool {
	switch c.Idempotency {
	case Idempotent:
		return true
	case IdempotentWithKey: // the client's repeat may reach any server
		return c.DedupScope == DedupScopeAll && age < c.DedupWindow
	default:
		return false
	}
}

// Tenant is a customer with a quota over all balancers together.
type Tenant struct {
	Name           string
	QuotaPerSecond float64 // requests; not positive: no quota
	Share          float64 // fraction of all traffic, from 0 to 1
}

// Limits is what the deployment permits.
type Limits struct {
	MaxAttempts   int           // attempts of a request, including the first; at least one
	Hedging       bool          // two attempts of a request may be in flight at once
	Cancel        bool          // attempts may be canceled
	Probes        bool          // servers may be probed
	Gossip        bool          // balancers may send messages to one another
	RetryAfter    bool          // a rejection may have a retry-after
	MaxRetryAfter time.Duration // maximum retry-after
}

// Rules are the properties of the deployment that the Balancer must respect.
type Rules struct {
	DrainGrace        time.Duration // time from the notice of a drain until the server must get no more requests
	MaxPollInterval   time.Duration // maximum time between polls of discovery on demand
	SlowStartCapacity float64       // capacity of a server that just started, as a fraction of its full capacity
	SlowStartDuration time.Duration // time from a server's start until it has its full capacity
	// load, as a multiple of its capacity, above which a server in slow start fails after OverloadWindow
	OverloadMultiple float64
	OverloadWindow   time.Duration // see OverloadMultiple
	GoneUsable       bool          // servers listed as gone may still be used; draining ones may not
}

// Costs are the deductions from the score for each unit of what the field names.
type Costs struct{ CrossZone, WastedWork, Probe, PeerMessage, LateFailure float64 }

// ScoreWeights are the weights of the parts of the score. TailMissRatio is not a weight: it is the fraction
// of a class's requests, from 0 to 1, that may miss the objective before the TailLatency part decreases.
type ScoreWeights struct{ Total, WorstWindow, WorstClass, WorstTenant, TailLatency, TailMissRatio float64 }

// Settings are the settings of a Balancer, which New validates.
type Settings struct {
	Self               int // this balancer's number, from 0
	Balancers          int // number of balancers; at least one
	Zone               string
	Classes            []Class // at least one
	Tenants            []Tenant
	OverQuotaWeight    float64 // weight of requests beyond their tenant's quota
	Limits             Limits
	Rules              Rules
	Costs              Costs
	ScoreWeights       ScoreWeights
	DiscoveryOnDemand  bool          // discovery sends updates only when subscribed to
	ClientsMarkRetries bool          // clients mark their retries: see Request.ClientRetry
	Tick               time.Duration // minimum time between steps; must be positive
	Tuning             Tuning        // zero: DefaultTuning
}

// validate returns an error for invalid settings. Else it replaces missing and out-of-range values by
// defaults, without changing the caller's slices.
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
