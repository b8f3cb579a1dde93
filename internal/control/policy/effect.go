package policy

import (
	"time"

	"dunestep/internal/control/maintenance/contract"
)

// Effect is a policy evaluated with one agent's settings. It is shared by pointer and must not be modified.
type Effect struct {
	// Quota has an entry for each tenant of the settings, in requests per second over the whole fleet; zero
	// means no quota.
	Quota   []float64
	Classes []ClassEffect // one for each class of the settings
	// MaxFailedRatio is the fraction of failed attempts at which the adaptive throttle begins to reject
	// requests, 0.05 to 1; at 1 it never does.
	MaxFailedRatio float64
	// Contracts, by tenant, and Capacity are those of the version whose policy or floor is acted on. They are
	// nil and zero for the lowest floor, for version 0, and for a floor whose document this build cannot read.
	// The traffic of a tenant without a contract may never be moved; "-" is the contract of requests that
	// belong to no tenant of the settings.
	Contracts map[string]*contract.Contract
	Capacity  Capacity
}

// ClassEffect is the part of an Effect for one class.
type ClassEffect struct {
	MaxAttempts        int           // attempts of a request, 1 or more
	Hedging            bool          // whether two attempts of a request may be in flight at once
	MinAttemptInterval time.Duration // from the start of an attempt to the start of its retry
}

// Capacity is the agreed capacity of the servers. Its tags are those of the document's table.
type Capacity struct {
	// PeakLoad is the fraction of the fleet's total capacity that all tenants together use at peak load.
	PeakLoad float64 `toml:"load" range:"0.05..1" default:"0.7"`
	// MaxUtilization is the fraction of a server's capacity that may be used during a maintenance window.
	MaxUtilization float64 `toml:"most" range:"0.1..1" default:"0.9"`
	// ByKind and ByServer are multiples of a standard server's capacity, by machine kind and by server id. A
	// server's own value takes precedence over its kind's.
	ByKind   map[string]float64 `toml:"kinds" range:"0.01..100"`
	ByServer map[string]float64 `toml:"servers" range:"0.01..100"`
}

// Of returns a server's capacity as a multiple of a standard server's: its own value, its kind's or 1.
func (c Capacity) Of(id, kind string) float64 {
	if capacity, given := c.ByServer[id]; given {
		return capacity
	}
	if capacity, given := c.ByKind[kind]; given {
		return capacity
	}
	return 1
}

// Allows reports whether e allows everything that the other effect, made from the same settings, allows.
func (e *Effect) Allows(other *Effect) bool {
	for i, q := range other.Quota {
		if e.Quota[i] > 0 && (q <= 0 || q > e.Quota[i]*(1+shareTolerance)) {
			return false
		}
	}
	for i, c := range other.Classes {
		if !e.Classes[i].allows(c) {
			return false
		}
	}
	return other.MaxFailedRatio <= e.MaxFailedRatio
}

func (c ClassEffect) allows(other ClassEffect) bool {
	return other.MaxAttempts <= c.MaxAttempts && (!other.Hedging || c.Hedging) &&
		other.MinAttemptInterval >= c.MinAttemptInterval
}

// firstViolated returns the name, for operators, of the first part of a floor's effect that e does not allow,
// or "" if e allows all of it.
func (e *Effect) firstViolated(local LocalSettings, floor *Effect) string {
	if e.Allows(floor) {
		return ""
	}
	for i, t := range local.Settings.Tenants {
		if e.Quota[i] > 0 && floor.Quota[i] > e.Quota[i]*(1+shareTolerance) {
			return "the share of tenant " + t.Name
		}
	}
	for i, c := range local.Settings.Classes {
		switch allowed, needed := e.Classes[i], floor.Classes[i]; {
		case needed.MaxAttempts > allowed.MaxAttempts:
			return "attempts of class " + c.Name
		case needed.Hedging && !allowed.Hedging:
			return "hedged requests (copies) of class " + c.Name
		case needed.MinAttemptInterval < allowed.MinAttemptInterval:
			return "pace_ms of class " + c.Name
		}
	}
	return "in_vain"
}
