package policy

import (
	"time"

	"dunestep/internal/control/maintenance/contract"
)

// Effect is what a policy means to one agent. It is not to be changed.
type Effect struct {
	Quota          []float64     // by the settings' tenants: requests a second over the fleet; none is never exceeded
	Classes        []ClassEffect // by the settings' classes
	MaxFailedRatio float64       // the throttle's: overload.Config.MaxFailedRatio; 1: it lets all in
	// Contracts and Capacity are of the version that is acted on, or whose floor it is: none by the bottom and
	// by version 0, and nil too where a floor's document cannot be read here. A tenant without a contract ("-":
	// requests of none of the settings' tenants) may never be moved.
	Contracts map[string]*contract.Contract
	Capacity  Capacity
}

// Capacity is what is agreed on what servers can do. Its tags are those of the document's table.
type Capacity struct {
	// PeakLoad is the part of the whole fleet's capacity that all tenants use at their peak.
	PeakLoad float64 `toml:"load" range:"0.05..1" default:"0.7"`
	// MaxUtilization is how much of a server may be used in a maintenance window.
	MaxUtilization float64 `toml:"most" range:"0.1..1" default:"0.9"`
	// ByKind are by a server's kind, as a multiple of a usual one; ByServer by id go before them.
	ByKind   map[string]float64 `toml:"kinds" range:"0.01..100"`
	ByServer map[string]float64 `toml:"servers" range:"0.01..100"`
}

// Of is a server's capacity as a multiple of a usual one's: its own, else its kind's, else 1.
func (c Capacity) Of(id, kind string) float64 {
	if own, is := c.ByServer[id]; is {
		return own
	}
	if its, is := c.ByKind[kind]; is {
		return its
	}
	return 1
}

// ClassEffect is what a policy means for one class.
type ClassEffect struct {
	MaxAttempts        int           // of a request, at most
	Hedging            bool          // whether two of them may be out at once
	MinAttemptInterval time.Duration // the least time from an attempt's beginning to the one after it has failed
}

// FloorValidity is what every later version has to allow, so that an agent that is cut off can do it. Its tags are
// those of the document's table; the defaults are the floor of version 0, the settings as they are.
type Floor struct {
	_ struct{} `cbor:",toarray"`
	// QuotaShare is the part of its quota in the settings that each tenant keeps.
	QuotaShare float64 `toml:"share" range:"0.001..1" default:"0.5"`
	// MaxAttempts of a request, as far as the settings permit them.
	MaxAttempts int `toml:"attempts" range:"1..10" default:"2"`
	// Hedging says whether second copies have to be allowed, where the settings do.
	Hedging bool `toml:"copies"`
	// MinAttemptInterval is the longest wait before a further attempt that a policy may ask for.
	MinAttemptInterval time.Duration `toml:"pace_ms" range:"0..1000" default:"100"`
	// MaxFailedRatio is the lowest that a policy may ask for.
	MaxFailedRatio float64 `toml:"in_vain" range:"0.05..1" default:"0.1"`
}

// InitialFloor is the floor before any was agreed.
func InitialFloor() Floor {
	return Floor{QuotaShare: 0.5, MaxAttempts: 2, MinAttemptInterval: 100 * time.Millisecond, MaxFailedRatio: 0.1}
}

// bottom is what no document can forbid, by the ranges of its keys.
func lowestFloor() Floor {
	return Floor{QuotaShare: 0.001, MaxAttempts: 1, MinAttemptInterval: time.Second, MaxFailedRatio: 0.05}
}

// plain is what the settings permit.
func (o LocalSettings) unrestricted() *Effect {
	e := &Effect{MaxFailedRatio: o.maxFailedRatio()}
	for _, t := range o.Settings.Tenants {
		e.Quota = append(e.Quota, t.QuotaPerSecond)
	}
	for range o.Settings.Classes {
		e.Classes = append(e.Classes, ClassEffect{MaxAttempts: o.maxAttempts(), Hedging: o.Settings.Limits.Hedging})
	}
	return e
}

// Effect is what an agent does that goes by the floor alone.
func (f Floor) Effect(own LocalSettings) *Effect {
	e := own.unrestricted()
	for i := range e.Quota {
		if e.Quota[i] > 0 {
			e.Quota[i] *= f.QuotaShare
		}
	}
	for i := range e.Classes {
		c := &e.Classes[i]
		c.MaxAttempts, c.Hedging, c.MinAttemptInterval = min(c.MaxAttempts, f.MaxAttempts), c.Hedging && f.Hedging, f.MinAttemptInterval
	}
	e.MaxFailedRatio = min(e.MaxFailedRatio, f.MaxFailedRatio)
	return e
}

// within is the effect of the floor of a version with this document (nil: one that this build cannot read).
// What it says of contracts and capacities holds, also where it cannot be used otherwise.
func (f Floor) withDocument(d *Document, own LocalSettings) *Effect {
	e := f.Effect(own)
	if d != nil {
		e.Contracts, e.Capacity = d.contracts, d.file.Capacity
	}
	return e
}

func (e *Effect) tenantNames(own LocalSettings) (names []string) {
	for _, t := range own.Settings.Tenants {
		names = append(names, t.Name)
	}
	return names
}

// Allows tells whether all that an agent does by another effect, with the same settings, is allowed by e.
func (e *Effect) Allows(other *Effect) bool {
	for i, q := range other.Quota {
		if e.Quota[i] > 0 && (q <= 0 || q > e.Quota[i]*(1+shareTolerance)) {
			return false
		}
	}
	for i, c := range other.Classes {
		if mine := e.Classes[i]; c.MaxAttempts > mine.MaxAttempts || c.Hedging && !mine.Hedging || c.MinAttemptInterval < mine.MinAttemptInterval {
			return false
		}
	}
	return other.MaxFailedRatio <= e.MaxFailedRatio
}

// lacks tells what of a floor's effect is not allowed; empty: all is.
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
		switch mine, its := e.Classes[i], floor.Classes[i]; {
		case its.MaxAttempts > mine.MaxAttempts:
			return "attempts of class " + c.Name
		case its.Hedging && !mine.Hedging:
			return "second copies of class " + c.Name
		case its.MinAttemptInterval < mine.MinAttemptInterval:
			return "pace_ms of class " + c.Name
		}
	}
	return "in_vain"
}
