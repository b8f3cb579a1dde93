package policy

import (
	"time"

	"dunestep/internal/control/maintenance/contract"
)

// Effect is what a policy means for one agent. It is made once and shared by pointer: nobody changes it.
type Effect struct {
	// Quota is by the settings' tenants, in requests per second over the fleet; zero: no quota.
	Quota   []float64
	Classes []ClassEffect // by the settings' classes
	// MaxFailedRatio is the fraction of failed attempts at which the adaptive throttle begins to reject, 0.05 to
	// 1; 1: it never does.
	MaxFailedRatio float64
	// Contracts, by tenant, and Capacity are those of the version that is acted on, or of the one whose floor
	// is. They are nil and zero for the lowest floor and for version 0, and nil too where the document of a
	// floor cannot be read here. A tenant without a contract may never be moved; "-" stands for requests of no
	// tenant of the settings.
	Contracts map[string]*contract.Contract
	Capacity  Capacity
}

// ClassEffect is what a policy means for one class.
type ClassEffect struct {
	MaxAttempts        int           // of a request, 1 or more
	Hedging            bool          // whether two attempts of a request may be in flight at once
	MinAttemptInterval time.Duration // from the start of an attempt to the start of its retry
}

// Capacity is what is agreed about the servers' capacity. Its tags are those of the document's table.
type Capacity struct {
	// PeakLoad is the fraction of the whole fleet's capacity that all tenants use at their peak.
	PeakLoad float64 `toml:"load" range:"0.05..1" default:"0.7"`
	// MaxUtilization is the fraction of a server's capacity that may be used during a maintenance window.
	MaxUtilization float64 `toml:"most" range:"0.1..1" default:"0.9"`
	// ByKind and ByServer are multiples of a usual server's capacity, by machine kind and by server id. The
	// server's own value goes before its kind's.
	ByKind   map[string]float64 `toml:"kinds" range:"0.01..100"`
	ByServer map[string]float64 `toml:"servers" range:"0.01..100"`
}

// Of is a server's capacity as a multiple of a usual server's: its own, else its kind's, else 1.
func (c Capacity) Of(id, kind string) float64 {
	if capacity, given := c.ByServer[id]; given {
		return capacity
	}
	if capacity, given := c.ByKind[kind]; given {
		return capacity
	}
	return 1
}

// Allows tells whether e allows everything that an agent does which acts by another effect with the same
// settings.
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

// firstViolated names, for operators, the first part of a floor's effect that e does not allow; empty: none.
func (e *Effect) firstViolated(own LocalSettings, floor *Effect) string {
	if e.Allows(floor) {
		return ""
	}
	for i, t := range own.Settings.Tenants {
		if e.Quota[i] > 0 && floor.Quota[i] > e.Quota[i]*(1+shareTolerance) {
			return "the share of tenant " + t.Name
		}
	}
	for i, c := range own.Settings.Classes {
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
