package decide

// Figures are the open figures that the protections rest on. A rehearsal may set them beside their defaults,
// and take a protection out by a figure so large (1e9) or, for LowShare, so plain (1) that it never binds.
type Figures struct {
	SuppressLimit float64 // swings, decayed: a penalty over this damps the server
	ColdMargin    float64 // of the fall multiple: what this balancer uses of its part of a cold server
	ColdMost      float64 // of a warm server's mean: the most that a cold one gets, however large its part
	BoundedLoad   float64 // times the mean in flight: an owner over this passes its keys on
	RetryRatio    float64 // further attempts for each request
	RetryReserve  float64 // further attempts: the most that can be saved up
	SpareRatio    float64 // the same after attempts that never ran, at servers that are well
	SpareReserve  float64
	LowShare      float64 // of the queue that quick answers leave: for traffic beyond its tenant's quota
}

// DefaultFigures are the figures in service.
func DefaultFigures() Figures {
	return Figures{
		SuppressLimit: 2.5, ColdMargin: 0.4, ColdMost: 1, BoundedLoad: 2, RetryRatio: 0.2,
		RetryReserve: 20, SpareRatio: 1, SpareReserve: 40, LowShare: 0.3,
	}
}
