package program

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// Object is a JSON object of an agent's configuration or of discovery.
type Object = map[string]any

// ConfigObject returns an agent's configuration with a deployment's settings.
func ConfigObject(s protocol.Settings) Object {
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

var stateNames = map[balancer.ServerState]string{
	balancer.Ready: "active", balancer.Draining: "leaving", balancer.Gone: "left",
}

// EndpointsObject returns discovery's object for an endpoint list. addrOf returns the address at which the
// agent reaches an upstream server, so that each agent can have addresses of its own; startedMS returns a
// start time in milliseconds of Unix time.
func EndpointsObject(c protocol.EndpointList, addrOf func(netip.AddrPort) string,
	startedMS func(time.Duration) int64,
) Object {
	entries := []Object{}
	for _, s := range c.Endpoints {
		entries = append(entries, Object{
			"id": s.ID, "addr": addrOf(s.Addr), "zone": s.Zone, "kind": s.MachineKind,
			"cell": s.Cell, "state": stateNames[s.State], "weight": s.Weight, "started_ms": startedMS(s.StartedAt),
		})
	}
	return Object{"version": c.Version, "full": c.Full, "servers": entries}
}

// JSON returns an object as JSON on one line. It panics if the object cannot be encoded.
func JSON(o Object) string {
	text, err := json.Marshal(o)
	if err != nil {
		panic(fmt.Sprint("program: ", err))
	}
	return string(text)
}
