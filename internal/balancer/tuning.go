package balancer

import (
	"fmt"
	"math"
	"reflect"
)

// Tuning has the parameters of the protection mechanisms. All must be finite and not negative, and
// OverQuotaQueueFraction positive. A simulation can disable a mechanism by a value so large (1e9) that it
// never applies, or by 1 for OverQuotaQueueFraction.
type Tuning struct {
	SuppressLimit          float64 // flap penalty above which a server is damped
	SlowStartMargin        float64 // fraction of the deployment's overload multiple that is used
	SlowStartMax           float64 // maximum load of a server in slow start, as a multiple of a warm one's mean
	BoundedLoadFactor      float64 // multiple of the mean load above which a slow server is saturated
	RetryRatio             float64 // retry tokens earned by each request
	RetryBurst             float64 // maximum number of saved retry tokens
	UnprocessedRetryRatio  float64 // like RetryRatio, for retries of unprocessed attempts at healthy servers
	UnprocessedRetryBurst  float64 // like RetryBurst, for the same retries
	OverQuotaQueueFraction float64 // fraction of the normal queueing time that requests over quota accept
}

// DefaultTuning returns the parameters for production.
func DefaultTuning() Tuning {
	return Tuning{
		SuppressLimit: 2.5, SlowStartMargin: 0.4, SlowStartMax: 1, BoundedLoadFactor: 2, RetryRatio: 0.2,
		RetryBurst: 20, UnprocessedRetryRatio: 1, UnprocessedRetryBurst: 40, OverQuotaQueueFraction: 0.3,
	}
}

// withDefaults returns t, or the defaults if t is the zero value. The error names a parameter out of range.
func (t Tuning) withDefaults() (Tuning, error) {
	if t == (Tuning{}) {
		return DefaultTuning(), nil
	}
	for v, i := reflect.ValueOf(t), 0; i < v.NumField(); i++ {
		if x := v.Field(i).Float(); !(x >= 0) || math.IsInf(x, 1) {
			return t, fmt.Errorf("balancer: Tuning.%s is %v, must be finite and not negative",
				v.Type().Field(i).Name, x)
		}
	}
	if t.OverQuotaQueueFraction == 0 {
		return t, fmt.Errorf("balancer: Tuning.OverQuotaQueueFraction is 0, must be positive")
	}
	return t, nil
}
