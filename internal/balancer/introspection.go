package balancer

import "time"

// EjectedServerCount returns the number of ready servers that get no ordinary requests now because they are
// ejected, damped, or have been rejecting requests.
func (b *Balancer) EjectedServerCount() (n int) {
	for s := range b.watched {
		if s.State == Ready && (s.outlier.IsEjected() || s.isDamped(b.now) || s.outlier.IsAvoided(b.now)) {
			n++
		}
	}
	return n
}

// BaselineLatency is an estimate of the 25th percentile of a machine kind's response latencies.
type BaselineLatency struct {
	MachineKind string
	Latency     time.Duration
	Samples     float64 // number of responses since the start
}

// BaselineLatencies returns the baselines of all machine kinds with at least one response, in any order.
func (b *Balancer) BaselineLatencies() (all []BaselineLatency) {
	for name, k := range b.kindBaselines {
		if k.samples > 0 {
			all = append(all, BaselineLatency{name, time.Duration(k.seconds * float64(time.Second)), k.samples})
		}
	}
	return all
}

// ArrivalFraction returns this balancer's part of the arrivals at all balancers, from 0 to 1.
func (b *Balancer) ArrivalFraction() float64 { return b.quotas.ArrivalFraction(b.now) }
