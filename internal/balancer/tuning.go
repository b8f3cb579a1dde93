package balancer

import (
	"fmt"
	"math"
	"reflect"
)

// Tuning holds the parameters of the protections. A simulation may set them, and take a protection out by a
// value so large (1e9) or, for OverQuotaQueueFraction, so plain (1) that it never applies. All are finite and
// not negative; OverQuotaQueueFraction is positive.
type Tuning struct {
	SuppressLimit          float64 // flap penalty above which a server is damped
	SlowStartMargin        float64 // fraction of the overload multiple that this balancer uses of its part
	SlowStartMax           float64 // most that a server in slow start gets, in the mean of a warm one
	BoundedLoadFactor      float64 // times the mean in flight: above this, a key's owner is saturated
	RetryRatio             float64 // retry tokens for each request
	RetryBurst             float64 // retry tokens that can be saved up
	UnprocessedRetryRatio  float64 // the same for retries of unprocessed attempts, at healthy servers
	UnprocessedRetryBurst  float64
	OverQuotaQueueFraction float64 // of the queueing time that other requests accept
}

// DefaultTuning returns the parameters in production.
func DefaultTuning() Tuning {
	return Tuning{
		SuppressLimit: 2.5, SlowStartMargin: 0.4, SlowStartMax: 1, BoundedLoadFactor: 2, RetryRatio: 0.2,
		RetryBurst: 20, UnprocessedRetryRatio: 1, UnprocessedRetryBurst: 40, OverQuotaQueueFraction: 0.3,
	}
}

// withDefaults returns the defaults for the zero value, and an error that names a parameter out of range.
func (t Tuning) withDefaults() (Tuning, error) {
	if t == (Tuning{}) {
		return DefaultTuning(), nil
	}
	for v, i := reflect.ValueOf(t), 0; i < v.NumField(); i++ {
		if x := v.Field(i).Float(); !(x >= 0) || math.IsInf(x, 1) {
			return t, fmt.Errorf("balancer: the tuning's %s is %v, it must be finite and not negative",
				v.Type().Field(i).Name, x)
		}
	}
	if t.OverQuotaQueueFraction == 0 {
		return t, fmt.Errorf("balancer: the tuning's OverQuotaQueueFraction is 0, it must be positive")
	}
	return t, nil
}
