package overload

import (
	"errors"
	"math"
	"reflect"
	"time"
)

// Config are the open figures of the storm module. The operator file's table [storm] sets them.
type Config struct {
	// Disabled lets all through.
	Disabled bool
	// EpisodeFactor is how many times the usual work must take, at every server at once, to be a slow spell.
	EpisodeFactor float64
	// SheddingFraction is the part of what the servers carried that a purge lets through.
	SheddingFraction float64
	// MaxShedding is how long a purge lasts at most, and MinShedding how long before it may have helped.
	MaxShedding, MinShedding time.Duration
	// SheddingBackoff is how long a spell that was purged in vain is left alone, twice as long each time.
	SheddingBackoff time.Duration
	// TrialFraction is how many requests go on for each first try while nothing is served.
	TrialFraction float64
	// RecoveryHeadroom is how many times the usual may be in flight while what was down comes back.
	RecoveryHeadroom float64
	// WastedFraction is the part of its attempts in vain at which an agent of a large fleet lets in hardly more than
	// what is answered; from 1 on it lets all in.
	WastedFraction float64
	// SheddingWhenSparse has agents of a large fleet purge slow spells as well.
	SheddingWhenSparse bool
	// ReportQuota has refusals tell of the tenant's quota.
	ReportQuota bool
	// FairnessRotation is the time in which each key moves once through the order in which requests are let in.
	FairnessRotation time.Duration
}

// DefaultConfig are the figures in service. Those of the purge follow the deployment's record of incidents:
// some spells ended once the servers were only about half busy for 2 to 3.5 s, and those were 2 to 2.8 times
// slower.
func DefaultConfig() Config {
	return Config{
		EpisodeFactor: 1.65, SheddingFraction: 0.5, MaxShedding: 3800 * time.Millisecond,
		MinShedding: 2 * time.Second, SheddingBackoff: 30 * time.Second, TrialFraction: 0.1, RecoveryHeadroom: 1.25, WastedFraction: 0.25,
		FairnessRotation: time.Minute,
	}
}

// withDefaults gives the defaults for the zero value, switched off or not, and refuses what can't be counted
// with.
func (f Config) withDefaults() (Config, error) {
	if f == (Config{Disabled: f.Disabled}) {
		d := DefaultConfig()
		d.Disabled = f.Disabled
		return d, nil
	}
	for v, i := reflect.ValueOf(f), 0; i < v.NumField(); i++ {
		x := 1.0
		if field := v.Field(i); field.CanInt() {
			x = float64(field.Int())
		} else if field.CanFloat() {
			x = field.Float()
		}
		if !(x > 0) || math.IsInf(x, 1) {
			return f, errors.New("storm: the figure " + v.Type().Field(i).Name + " must be above zero")
		}
	}
	return f, nil
}
