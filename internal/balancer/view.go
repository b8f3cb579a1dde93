package balancer

import "time"

// EjectedServers is how many listed booking servers get nothing of the ordinary path now, by choice: those down,
// damped, or passed over for turning requests away. What drains or is gone is not among them.
func (b *Balancer) EjectedServers() (n int) {
	for _, s := range b.servers {
		if s.State == Ready && (s.outlier.IsEjected() || b.now < s.dampedUntil || s.outlier.IsAvoided(b.now)) {
			n++
		}
	}
	return n
}

// Sparse tells whether this balancer is one of so many, and sends so little, that what it has in flight at
// a server says nothing of how busy that is.
func (b *Balancer) Sparse() bool { return b.sparse() }

// BaselineLatency is how quick a kind of server was: the time below which a quarter of its answers came, as the later
// ones show it, and how many there were since the start.
type BaselineLatency struct {
	MachineKind string
	Latency     time.Duration
	Samples     float64
}

// BaselineLatencies are those of all kinds that were ever listed, of which there are answers, in any order.
func (b *Balancer) BaselineLatencies() (all []BaselineLatency) {
	for name, k := range b.kindBaselines {
		if k.samples > 0 {
			all = append(all, BaselineLatency{name, time.Duration(k.seconds * float64(time.Second)), k.samples})
		}
	}
	return all
}
