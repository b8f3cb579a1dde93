package program

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// Object is an object of an agent's configuration, or of discovery.
type Object = map[string]any

// SettingsObject writes a deployment's settings as an agent's configuration has them.
func SettingsObject(s protocol.Settings) Object {
	var classes, tenants []Object
	for _, c := range s.Classes {
		effect := "fragile"
		if c.Idempotency == balancer.Idempotent {
			effect = "retryable"
		}
		classes = append(classes, Object{
			"name": c.Name, "effect": effect, "keyScope": "all",
			"aim": c.LatencyObjective.Microseconds(), "deadline": c.Deadline.Microseconds(), "value": c.PriorityWeight,
		})
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, Object{"name": t.Name, "quotaPerS": t.QuotaPerSecond, "share": t.Share})
	}
	l, r, p, g := s.Limits, s.Rules, s.Costs, s.ScoreWeights
	return Object{
		"balancers":      s.Balancers,
		"ordinal":        s.Self,
		"zone":           s.Zone,
		"resolution":     s.Tick.Microseconds(),
		"categories":     classes,
		"customers":      tenants,
		"overShareWorth": s.OverQuotaWeight,
		"discovery":      "on_request",
		"clientHabits":   Object{"marksRetry": s.ClientsMarkRetries},
		"bounds": Object{
			"cancel": l.Cancel, "mayTell": l.Gossip, "retryAfter": l.RetryAfter,
			"secondCopies": l.Hedging, "sendCap": l.MaxAttempts,
			"maxRetryAfter": l.MaxRetryAfter.Microseconds(), "connIdle": s.ConnIdleTimeout.Microseconds(),
			"connectTimeout": s.ConnectTimeout.Microseconds(),
		},
		"rules": Object{
			"askWithin": r.MaxPollInterval.Microseconds(), "cold": r.SlowStartDuration.Microseconds(),
			"fall": r.OverloadWindow.Microseconds(), "stopSendingWithin": r.DrainGrace.Microseconds(),
			"fallMultiple": r.OverloadMultiple, "startCapacity": r.SlowStartCapacity,
		},
		"prices": Object{
			"crossZone": p.CrossZone,
			"waste":     p.WastedWork,
			"peer":      p.PeerMessage,
			"lateFail":  p.LateFailure,
		},
		"goal": Object{
			"whole": g.Total, "worstWindow": g.WorstWindow, "worstClass": g.WorstClass,
			"worstTenant": g.WorstTenant,
		},
	}
}

var stateWords = map[balancer.ServerState]string{
	balancer.Ready: "active", balancer.Draining: "leaving", balancer.Gone: "left",
}

// ListObject writes discovery's object. Where tells at which address an agent finds a booking server, since
// what each one of them does is to be told apart; started is in milliseconds of Unix time.
func ListObject(c protocol.EndpointList, where func(netip.AddrPort) string,
	started func(time.Duration) int64,
) Object {
	entries := []Object{}
	for _, s := range c.Endpoints {
		entries = append(entries, Object{
			"id": s.ID, "addr": where(s.Addr), "zone": s.Zone, "kind": s.MachineKind,
			"cell": s.Cell, "state": stateWords[s.State], "weight": s.Weight, "started_ms": started(s.StartedAt),
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
