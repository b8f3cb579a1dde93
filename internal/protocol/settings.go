package protocol

import (
	"encoding/json"
	"fmt"
	"time"

	"dunestep/internal/balancer"
)

// settingsForm is the settings object as encoded. Its field names are those on the wire;
// DecodeSettings converts it.
type settingsForm struct {
	Balancers  int            `json:"balancers"`
	Ordinal    int            `json:"ordinal"`
	Zone       string         `json:"zone"`
	Resolution int64          `json:"resolution"`
	Categories []categoryForm `json:"categories"`
	Customers  []struct {
		Name      string  `json:"name"`
		QuotaPerS float64 `json:"quotaPerS"`
		Share     float64 `json:"share"`
	} `json:"customers"`
	OverShareWorth float64 `json:"overShareWorth"`
	Discovery      string  `json:"discovery"`
	ClientHabits   struct {
		MarksRetry bool `json:"marksRetry"`
	} `json:"clientHabits"`
	Bounds struct {
		Cancel         bool  `json:"cancel"`
		MayTell        bool  `json:"mayTell"`
		Probes         bool  `json:"probes"`
		RetryAfter     bool  `json:"retryAfter"`
		SecondCopies   bool  `json:"secondCopies"`
		SendCap        int   `json:"sendCap"`
		MaxRetryAfter  int64 `json:"maxRetryAfter"`
		ConnIdle       int64 `json:"connIdle"`
		ConnectTimeout int64 `json:"connectTimeout"`
	} `json:"bounds"`
	Rules struct {
		AskWithin         int64   `json:"askWithin"`
		Cold              int64   `json:"cold"`
		Fall              int64   `json:"fall"`
		StopSendingWithin int64   `json:"stopSendingWithin"`
		FallMultiple      float64 `json:"fallMultiple"`
		StartCapacity     float64 `json:"startCapacity"`
		OnlyDrainingBinds bool    `json:"onlyDrainingBinds"`
	} `json:"rules"`
	Prices struct {
		CrossZone float64 `json:"crossZone"`
		Waste     float64 `json:"waste"`
		Probe     float64 `json:"probe"`
		Peer      float64 `json:"peer"`
		LateFail  float64 `json:"lateFail"`
	} `json:"prices"`
	Goal struct {
		Whole       float64 `json:"whole"`
		WorstWindow float64 `json:"worstWindow"`
		WorstClass  float64 `json:"worstClass"`
		WorstTenant float64 `json:"worstTenant"`
		SlowEnd     float64 `json:"slowEnd"`
		TailMiss    float64 `json:"tailMiss"`
	} `json:"goal"`
}

// categoryForm is a request class as encoded.
type categoryForm struct {
	Name       string  `json:"name"`
	Effect     string  `json:"effect"`
	KeyScope   string  `json:"keyScope"`
	Aim        int64   `json:"aim"`
	Deadline   int64   `json:"deadline"`
	MemorySpan int64   `json:"memorySpan"`
	AimStretch float64 `json:"aimStretch"`
	LateWorth  float64 `json:"lateWorth"`
	Value      float64 `json:"value"`
	Stream     bool    `json:"stream"`
}

// Settings describe the deployment: the settings of the balancer and those of upstream connections.
type Settings struct {
	balancer.Settings
	ConnIdleTimeout time.Duration // idle time after which upstream servers close a connection
	ConnectTimeout  time.Duration // timeout for connecting to an upstream server
}

// DecodeSettings decodes an agent's settings; unknown keys are ignored. Both the agent and the simulator's
// adapter use it.
func DecodeSettings(raw []byte) (Settings, error) {
	var e settingsForm
	if err := json.Unmarshal(raw, &e); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := balancer.Settings{
		Self: e.Ordinal, Balancers: e.Balancers, Zone: e.Zone, OverQuotaWeight: e.OverShareWorth,
		Limits: e.limits(), Rules: e.rules(), Costs: e.costs(), ScoreWeights: e.scoreWeights(),
		DiscoveryOnDemand: e.Discovery == "on_request", ClientsMarkRetries: e.ClientHabits.MarksRetry,
		Tick: microseconds(e.Resolution),
	}
	for _, c := range e.Categories {
		s.Classes = append(s.Classes, c.class())
	}
	for _, t := range e.Customers {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, QuotaPerSecond: t.QuotaPerS, Share: t.Share})
	}
	return Settings{
		Settings: s, ConnIdleTimeout: microseconds(e.Bounds.ConnIdle),
		ConnectTimeout: microseconds(e.Bounds.ConnectTimeout),
	}, nil
}

// limits returns the permissions and limits for attempts.
func (e *settingsForm) limits() balancer.Limits {
	return balancer.Limits{
		MaxAttempts: e.Bounds.SendCap, Hedging: e.Bounds.SecondCopies,
		Cancel: e.Bounds.Cancel, Probes: e.Bounds.Probes, Gossip: e.Bounds.MayTell,
		RetryAfter: e.Bounds.RetryAfter, MaxRetryAfter: microseconds(e.Bounds.MaxRetryAfter),
	}
}

// rules returns the operators' rules on drains, polls and slow start.
func (e *settingsForm) rules() balancer.Rules {
	return balancer.Rules{
		DrainGrace:        microseconds(e.Rules.StopSendingWithin),
		MaxPollInterval:   microseconds(e.Rules.AskWithin),
		SlowStartCapacity: e.Rules.StartCapacity,
		SlowStartDuration: microseconds(e.Rules.Cold),
		OverloadMultiple:  e.Rules.FallMultiple,
		OverloadWindow:    microseconds(e.Rules.Fall),
		GoneUsable:        e.Rules.OnlyDrainingBinds,
	}
}

// costs returns the costs of cross-zone attempts, wasted work and messages, in units of an answer's weight.
func (e *settingsForm) costs() balancer.Costs {
	return balancer.Costs{
		CrossZone: e.Prices.CrossZone, WastedWork: e.Prices.Waste, Probe: e.Prices.Probe,
		PeerMessage: e.Prices.Peer, LateFailure: e.Prices.LateFail,
	}
}

// scoreWeights returns the weights of the operators' score.
func (e *settingsForm) scoreWeights() balancer.ScoreWeights {
	return balancer.ScoreWeights{
		Total: e.Goal.Whole, WorstWindow: e.Goal.WorstWindow,
		WorstClass: e.Goal.WorstClass, WorstTenant: e.Goal.WorstTenant,
		TailLatency: e.Goal.SlowEnd, TailMissRatio: e.Goal.TailMiss,
	}
}

// class returns the balancer's request class. A class that is not known to be idempotent is not retried.
func (c *categoryForm) class() balancer.Class {
	class := balancer.Class{
		Name: c.Name, LatencyObjective: microseconds(c.Aim), ObjectivePerWork: c.AimStretch,
		Deadline: microseconds(c.Deadline), LateWeight: c.LateWorth, DedupWindow: microseconds(c.MemorySpan),
		PriorityWeight: c.Value, Streaming: c.Stream,
		Idempotency: balancer.NotIdempotent, DedupScope: balancer.DedupScopeCell,
	}
	switch c.Effect {
	case "retryable":
		class.Idempotency = balancer.Idempotent
	case "dedup":
		class.Idempotency = balancer.IdempotentWithKey
	}
	switch c.KeyScope {
	case "all":
		class.DedupScope = balancer.DedupScopeAll
	case "zone":
		class.DedupScope = balancer.DedupScopeZone
	}
	return class
}

// microseconds converts a duration on the wire.
func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
