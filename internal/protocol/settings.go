package protocol

import (
	"encoding/json"
	"fmt"
	"time"

	"dunestep/decide"
)

type env struct {
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
	decide.Settings
	ConnIdle       time.Duration // an idle connection is closed by the other machine after this
	ConnectTimeout time.Duration // a connection that is not up by then has failed
}

// DecodeSettings decodes an instance's settings; those it does not know are passed over. The simulator's
// adapter and the real agent both read them here.
func DecodeSettings(raw []byte) (Settings, error) {
	var e env
	if err := json.Unmarshal(raw, &e); err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	s := decide.Settings{
		Self: e.Ordinal, Balancers: e.Balancers, Zone: e.Zone, OverShareWorth: e.OverShareWorth,
		Limits: decide.Limits{
			MaxAttempts: e.Bounds.SendCap, SecondCopies: e.Bounds.SecondCopies,
			Cancel: e.Bounds.Cancel, Probes: e.Bounds.Probes, Peers: e.Bounds.MayTell,
			RetryAfter: e.Bounds.RetryAfter, MaxRetryAfter: micros(e.Bounds.MaxRetryAfter),
		},
		Rules: decide.Rules{
			DrainGrace: micros(e.Rules.StopSendingWithin), AskWithin: micros(e.Rules.AskWithin),
			ColdShare: e.Rules.StartCapacity, ColdFor: micros(e.Rules.Cold), FallMultiple: e.Rules.FallMultiple,
			FallWindow: micros(e.Rules.Fall), OnlyDrainingBind: e.Rules.OnlyDrainingBinds,
		},
		Prices: decide.Prices{
			CrossZone: e.Prices.CrossZone, Waste: e.Prices.Waste, Probe: e.Prices.Probe,
			Peer: e.Prices.Peer, LateFail: e.Prices.LateFail,
		},
		Goal: decide.Goal{
			Whole: e.Goal.Whole, WorstWindow: e.Goal.WorstWindow,
			WorstClass: e.Goal.WorstClass, WorstTenant: e.Goal.WorstTenant,
			SlowEnd: e.Goal.SlowEnd, TailMiss: e.Goal.TailMiss,
		},
		OnRequest: e.Discovery == "on_request", MarksRetry: e.ClientHabits.MarksRetry, Tick: micros(e.Resolution),
	}
	for _, c := range e.Categories {
		k := decide.Class{
			Name: c.Name, Aim: micros(c.Aim), AimStretch: c.AimStretch, Deadline: micros(c.Deadline),
			LateWorth: c.LateWorth, Memory: micros(c.MemorySpan), Worth: c.Value, Stream: c.Stream,
		}
		switch c.Effect {
		case "retryable":
			k.Effect = decide.Safe
		case "dedup":
			k.Effect = decide.Keyed
		default: // what is not known to be repeatable is not repeated
			k.Effect = decide.Unsafe
		}
		switch c.KeyScope {
		case "all":
			k.Scope = decide.ScopeAll
		case "zone":
			k.Scope = decide.ScopeZone
		default:
			k.Scope = decide.ScopeCell
		}
		s.Classes = append(s.Classes, k)
	}
	for _, t := range e.Customers {
		s.Tenants = append(s.Tenants, decide.Tenant{Name: t.Name, QuotaPerS: t.QuotaPerS, Share: t.Share})
	}
	return Settings{
		Settings: s, ConnIdle: micros(e.Bounds.ConnIdle),
		ConnectTimeout: micros(e.Bounds.ConnectTimeout),
	}, nil
}

func micros(v int64) time.Duration { return time.Duration(v) * time.Microsecond }
