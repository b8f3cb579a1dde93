package decide

// Avoided is how many listed booking servers get nothing of the ordinary path now, by choice: those down,
// damped, or passed over for turning requests away. What drains or is gone is not among them.
func (b *Balancer) Avoided() (n int) {
	for _, s := range b.servers {
		if s.State == Ready && (s.record.IsDown() || b.now < s.dampedUntil || s.record.NotNow(b.now)) {
			n++
		}
	}
	return n
}

// Sparse tells whether this balancer is one of so many, and sends so little, that what it has in flight at
// a server says nothing of how busy that is.
func (b *Balancer) Sparse() bool { return b.sparse() }
