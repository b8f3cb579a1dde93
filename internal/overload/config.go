package overload

import (
	"fmt"
	"math"
	"reflect"
	"time"
)

// Config has the operator's settings of overload control: the table [storm] of the operator file. Each
// number must be above zero and finite.
type Config struct {
	// Disabled turns overload control off: every request is forwarded.
	Disabled bool
	// EpisodeFactor is the ratio of response times to the usual service time from which a latency episode
	// begins, provided that most servers are slow at once.
	EpisodeFactor float64
	// SheddingFraction is the fraction of the previously served rate that is admitted while load is shed.
	SheddingFraction float64
	// MaxShedding is the maximum duration of load shedding. MinShedding is the duration after which an
	// improvement counts as an effect of shedding.
	MaxShedding, MinShedding time.Duration
	// SheddingBackoff is the time without load shedding after shedding that did not end an episode; it doubles
	// each time.
	SheddingBackoff time.Duration
	// TrialFraction is the number of trial requests forwarded per first attempt during an outage.
	TrialFraction float64
	// RecoveryHeadroom is the limit of requests in flight during recovery, as a multiple of the usual number.
	RecoveryHeadroom float64
	// WastedFraction is the fraction of wasted attempts at which an agent of a large fleet admits hardly more
	// than is answered. From 1 on, the throttle is off.
	WastedFraction float64
	// SheddingWhenSparse makes the agents of a large fleet shed load although each sends only a few requests.
	SheddingWhenSparse bool
	// ReportQuota adds the tenant's quota to rejections.
	ReportQuota bool
	// FairnessRotation is the time in which each key moves once through the fairness order.
	FairnessRotation time.Duration
}

// DefaultConfig returns the configuration that applies without an operator file.
func DefaultConfig() Config {
	return Config{
		EpisodeFactor: 1.65, SheddingFraction: 0.5, MaxShedding: 3800 * time.Millisecond,
		MinShedding: 2 * time.Second, SheddingBackoff: 30 * time.Second, TrialFraction: 0.1,
		RecoveryHeadroom: 1.25, WastedFraction: 0.25, FairnessRotation: time.Minute,
	}
}

// withDefaults returns DefaultConfig for a Config that sets nothing but Disabled, which is kept. Otherwise
// it returns c, with an error if a number is not above zero and finite.
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
