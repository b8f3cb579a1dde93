package overload

import (
	"fmt"
	"math"
	"reflect"
	"time"
)

// Config is what an operator may set of the overload control: the operator file's table [storm]. Each number
// must be above zero and finite.
type Config struct {
	// Disabled forwards every request.
	Disabled bool
	// EpisodeFactor is how many times the usual service time responses must take, at every server at once, to be
	// a latency episode.
	EpisodeFactor float64
	// SheddingFraction is the fraction of what the servers carried that is admitted while load is shed.
	SheddingFraction float64
	// MaxShedding is how long load is shed at most; MinShedding how long before an improvement counts as its
	// effect.
	MaxShedding, MinShedding time.Duration
	// SheddingBackoff is for how long no load is shed again after shedding that did not end an episode; it
	// doubles each time.
	SheddingBackoff time.Duration
	// TrialFraction is how many trial requests are forwarded for each first attempt during an outage.
	TrialFraction float64
	// RecoveryHeadroom is how many times the usual number of requests may be in flight during recovery.
	RecoveryHeadroom float64
	// WastedFraction is the fraction of wasted attempts at which an agent of a large fleet admits hardly more
	// than what is answered; from 1 on there is no throttle.
	WastedFraction float64
	// SheddingWhenSparse has agents of a large fleet that send little each shed load as well.
	SheddingWhenSparse bool
	// ReportQuota has rejections carry the tenant's quota.
	ReportQuota bool
	// FairnessRotation is the time in which each key moves once through the order of admission.
	FairnessRotation time.Duration
}

// DefaultConfig returns what holds without an operator file.
func DefaultConfig() Config {
	return Config{
		EpisodeFactor: 1.65, SheddingFraction: 0.5, MaxShedding: 3800 * time.Millisecond,
		MinShedding: 2 * time.Second, SheddingBackoff: 30 * time.Second, TrialFraction: 0.1,
		RecoveryHeadroom: 1.25, WastedFraction: 0.25, FairnessRotation: time.Minute,
	}
}

// withDefaults returns the defaults for the zero value, disabled or not, and an error for a number that
// cannot be used.
func (c Config) withDefaults() (Config, error) {
	if c == (Config{Disabled: c.Disabled}) {
		defaults := DefaultConfig()
		defaults.Disabled = c.Disabled
		return defaults, nil
	}
	fields := reflect.ValueOf(c)
	for i := range fields.NumField() {
		number := 1.0
		if field := fields.Field(i); field.CanInt() {
			number = float64(field.Int())
		} else if field.CanFloat() {
			number = field.Float()
		}
		if !(number > 0) || math.IsInf(number, 1) {
			return c, fmt.Errorf("overload: config: %s must be above zero and finite", fields.Type().Field(i).Name)
		}
	}
	return c, nil
}
