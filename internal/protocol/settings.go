package protocol

import (
	"encoding/json"
	"fmt"
	"time"

	"dunestep/decide"
)

type env struct {
	Balancers  int
	Ordinal    int
	Zone       string
	Resolution int64
	Categories []struct {
		Name, Effect, KeyScope       string
		Aim, Deadline, MemorySpan    int64
		AimStretch, LateWorth, Value float64
		Stream                       bool
	}
	Customers []struct {
		Name             string
		QuotaPerS, Share float64
	}
	OverShareWorth float64
	Discovery      string
	ClientHabits   struct{ MarksRetry bool }
	Bounds         struct {
		Cancel, MayTell, Probes, RetryAfter, SecondCopies bool
		SendCap                                           int
		MaxRetryAfter                                     int64
		ConnIdle, ConnectTimeout                          int64
	}
	Rules struct {
		AskWithin, Cold, Fall, StopSendingWithin int64
		FallMultiple, StartCapacity              float64
		OnlyDrainingBinds                        bool
	}
	Prices struct{ CrossZone, Waste, Probe, Peer, LateFail float64 }
	Goal   struct{ Whole, WorstWindow, WorstClass, WorstTenant, SlowEnd, TailMiss float64 }
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
