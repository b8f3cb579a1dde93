package balancer

// Tuning are the open figures that the protections rest on. A rehearsal may set them beside their defaults,
// and take a protection out by a figure so large (1e9) or, for OverQuotaQueueFraction, so plain (1) that it never binds.
type Tuning struct {
	SuppressLimit          float64 // swings, decayed: a penalty over this damps the server
	SlowStartMargin        float64 // of the fall multiple: what this balancer uses of its part of a cold server
	SlowStartMax           float64 // of a warm server's mean: the most that a cold one gets, however large its part
	BoundedLoadFactor      float64 // times the mean in flight: an owner over this passes its keys on
	RetryRatio             float64 // further attempts for each request
	RetryBurst             float64 // further attempts: the most that can be saved up
	UnprocessedRetryRatio  float64 // the same after attempts that never ran, at servers that are well
	UnprocessedRetryBurst  float64
	OverQuotaQueueFraction float64 // of the queue that quick answers leave: for traffic beyond its tenant's quota
}

// DefaultTuning are the figures in service.
func DefaultTuning() Tuning {
	return Tuning{
		SuppressLimit: 2.5, SlowStartMargin: 0.4, SlowStartMax: 1, BoundedLoadFactor: 2, RetryRatio: 0.2,
		RetryBurst: 20, UnprocessedRetryRatio: 1, UnprocessedRetryBurst: 40, OverQuotaQueueFraction: 0.3,
	}
}
