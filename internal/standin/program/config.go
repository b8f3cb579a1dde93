package program

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"dunestep/decide"
	"dunestep/internal/protocol"
)

// Object is an object of an agent's configuration, or of discovery.
type Object = map[string]any

// SettingsObject writes a deployment's settings as an agent's configuration has them.
func SettingsObject(s protocol.Settings) Object {
	var classes, tenants []Object
	for _, c := range s.Classes {
		effect := "fragile"
		if c.Effect == decide.Safe {
			effect = "retryable"
		}
		classes = append(classes, Object{
			"name": c.Name, "effect": effect, "keyScope": "all",
			"aim": c.Aim.Microseconds(), "deadline": c.Deadline.Microseconds(), "value": c.Worth,
		})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, Object{"name": t.Name, "quotaPerS": t.QuotaPerS, "share": t.Share})
	}
	l, r, p, g := s.Limits, s.Rules, s.Prices, s.Goal
	return Object{
		"balancers": s.Balancers, "ordinal": s.Self, "zone": s.Zone,
		"resolution": s.Tick.Microseconds(), "categories": classes, "customers": tenants,
		"overShareWorth": s.OverShareWorth, "discovery": "on_request",
		"clientHabits": Object{"marksRetry": s.MarksRetry},
		"bounds": Object{
			"cancel": l.Cancel, "mayTell": l.Peers, "retryAfter": l.RetryAfter,
			"secondCopies": l.SecondCopies, "sendCap": l.MaxAttempts,
			"maxRetryAfter": l.MaxRetryAfter.Microseconds(), "connIdle": s.ConnIdle.Microseconds(),
			"connectTimeout": s.ConnectTimeout.Microseconds(),
		},
		"rules": Object{
			"askWithin": r.AskWithin.Microseconds(), "cold": r.ColdFor.Microseconds(),
			"fall": r.FallWindow.Microseconds(), "stopSendingWithin": r.DrainGrace.Microseconds(),
			"fallMultiple": r.FallMultiple, "startCapacity": r.ColdShare,
		},
		"prices": Object{"crossZone": p.CrossZone, "waste": p.Waste, "peer": p.Peer, "lateFail": p.LateFail},
		"goal": Object{
			"whole": g.Whole, "worstWindow": g.WorstWindow, "worstClass": g.WorstClass,
			"worstTenant": g.WorstTenant,
		},
	}
}

var stateWords = map[decide.ServerState]string{
	decide.Ready: "active", decide.Draining: "leaving", decide.Gone: "left",
}

// ListObject writes discovery's object. Where tells at which address an agent finds a booking server, since
// what each one of them does is to be told apart; started is in milliseconds of Unix time.
func ListObject(c protocol.PoolConfig, where func(netip.AddrPort) string,
	started func(time.Duration) int64,
) Object {
	entries := []Object{}
	for _, s := range c.Servers {
		entries = append(entries, Object{
			"id": s.ID, "addr": where(s.Addr), "zone": s.Zone, "kind": s.Kind,
			"cell": s.Cell, "state": stateWords[s.State], "weight": s.Weight, "started_ms": started(s.Started),
		})
	}
	return Object{"version": c.Version, "full": c.Full, "servers": entries}
}

// Line is an object in JSON; all that it is used for can be written so.
func Line(o Object) string {
	text, err := json.Marshal(o)
	if err != nil {
		panic(fmt.Sprint("program: ", err))
	}
	return string(text)
}
