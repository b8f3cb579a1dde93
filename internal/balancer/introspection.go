package balancer

import "time"

// EjectedServers counts the listed, ready servers that get no ordinary requests now: those ejected, damped,
// or skipped because they have been rejecting requests.
func (b *Balancer) EjectedServers() (n int) {
	for _, s := range b.servers {
		if s.State == Ready && (s.outlier.IsEjected() || s.isDamped(b.now) || s.outlier.IsAvoided(b.now)) {
			n++
		}
	}
	return n
}

// BaselineLatency is the latency of a machine kind's fast answers: that which a quarter of its answers stay
// below.
type BaselineLatency struct {
	MachineKind string
	Latency     time.Duration
	Samples     float64 // answers since the start
}

// BaselineLatencies returns those of all machine kinds that were ever listed and have answered, in any order.
func (b *Balancer) BaselineLatencies() (all []BaselineLatency) {
	for name, k := range b.kindBaselines {
		if k.samples > 0 {
			all = append(all, BaselineLatency{name, time.Duration(k.seconds * float64(time.Second)), k.samples})
		}
	}
	return all
}

// ArrivalFraction is this balancer's part of all arrivals, from 0 to 1.
func (b *Balancer) ArrivalFraction() float64 { return b.quotas.ArrivalFraction(b.now) }
