package protocol

import (
	"encoding/json"
	"fmt"
	"time"

	"dunestep/internal/balancer"
)

type settingsForm struct {
	Balancers  int    `json:"balancers"`
	Ordinal    int    `json:"ordinal"`
	Zone       string `json:"zone"`
	Resolution int64  `json:"resolution"`
	Categories []struct {
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
	} `json:"categories"`
	Customers []struct {
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

// Settings is what an agent is told of its deployment: what the module goes by, and what sockets go by.
type Settings struct {
	balancer.Settings
	ConnIdleTimeout time.Duration // an idle connection is closed by the other machine after this
	ConnectTimeout  time.Duration // a connection that is not up by then has failed
}

// DecodeSettings decodes an instance's settings; those it does not know are passed over. The simulator's
// adapter and the real agent both read them here.
func DecodeSettings(raw []byte) (Settings, error) {
	var e settingsForm
	if err := json.Unmarshal(raw, &e); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := balancer.Settings{
		Self: e.Ordinal, Balancers: e.Balancers, Zone: e.Zone, OverQuotaWeight: e.OverShareWorth,
		Limits: balancer.Limits{
			MaxAttempts: e.Bounds.SendCap, Hedging: e.Bounds.SecondCopies,
			Cancel: e.Bounds.Cancel, Probes: e.Bounds.Probes, Gossip: e.Bounds.MayTell,
			RetryAfter: e.Bounds.RetryAfter, MaxRetryAfter: microseconds(e.Bounds.MaxRetryAfter),
		},
		Rules: balancer.Rules{
			DrainGrace: microseconds(e.Rules.StopSendingWithin), MaxPollInterval: microseconds(e.Rules.AskWithin),
			SlowStartCapacity: e.Rules.StartCapacity, SlowStartDuration: microseconds(e.Rules.Cold), OverloadMultiple: e.Rules.FallMultiple,
			OverloadWindow: microseconds(e.Rules.Fall), GoneUsable: e.Rules.OnlyDrainingBinds,
		},
		Costs: balancer.Costs{
			CrossZone: e.Prices.CrossZone, WastedWork: e.Prices.Waste, Probe: e.Prices.Probe,
			PeerMessage: e.Prices.Peer, LateFailure: e.Prices.LateFail,
		},
		ScoreWeights: balancer.ScoreWeights{
			Total: e.Goal.Whole, WorstWindow: e.Goal.WorstWindow,
			WorstClass: e.Goal.WorstClass, WorstTenant: e.Goal.WorstTenant,
			TailLatency: e.Goal.SlowEnd, TailMissRatio: e.Goal.TailMiss,
		},
		DiscoveryOnDemand: e.Discovery == "on_request", ClientsMarkRetries: e.ClientHabits.MarksRetry, Tick: microseconds(e.Resolution),
	}
	for _, c := range e.Categories {
		k := balancer.Class{
			Name: c.Name, LatencyObjective: microseconds(c.Aim), ObjectivePerWork: c.AimStretch, Deadline: microseconds(c.Deadline),
			LateWeight: c.LateWorth, DedupWindow: microseconds(c.MemorySpan), PriorityWeight: c.Value, Streaming: c.Stream,
		}
		switch c.Effect {
		case "retryable":
			k.Idempotency = balancer.Idempotent
		case "dedup":
			k.Idempotency = balancer.IdempotentWithKey
		default: // what is not known to be repeatable is not repeated
			k.Idempotency = balancer.NotIdempotent
		}
		switch c.KeyScope {
		case "all":
			k.DedupScope = balancer.DedupScopeAll
		case "zone":
			k.DedupScope = balancer.DedupScopeZone
		default:
			k.DedupScope = balancer.DedupScopeCell
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range e.Customers {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, QuotaPerSecond: t.QuotaPerS, Share: t.Share})
	}
	return Settings{
		Settings: s, ConnIdleTimeout: microseconds(e.Bounds.ConnIdle),
		ConnectTimeout: microseconds(e.Bounds.ConnectTimeout),
	}, nil
}

func microseconds(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
