package routing

// reservedDescriptors are those of no connection: standard streams, listeners, the poller, discovery.
const reservedDescriptors = 32

// minDescriptors is what connections get at least, however few the process may hold.
const minDescriptors = 8

// Up to a sixth of all descriptors, idle clients are left alone; from a quarter on, no client connection is
// kept after an answer.
const relaxedDivisor, pressingDivisor = 6, 4

// Descriptors divides the process's file descriptors between client connections and connections to endpoints:
// without any left, accepts and dials would fail alike. Clients have up to five eighths: a third of the limit
// is for requests, the rest for idle connections. An eighth is always theirs.
type Descriptors struct {
	total                int
	downstream, upstream int
}

// NewDescriptors divides what a process that may hold limit descriptors has for connections.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{}
	d.SetLimit(limit)
	return d
}

// SetLimit changes how many descriptors the process may hold; what is open stays open.
func (d *Descriptors) SetLimit(limit int) { d.total = max(limit-reservedDescriptors, minDescriptors) }

// InUse is how many descriptors the process holds at most, with the present connections.
func (d *Descriptors) InUse() int { return reservedDescriptors + d.downstream + d.upstream }

// AcquireDownstream takes a descriptor for a client. Full says, where ok, that idle clients are to be closed,
// and else that clients have their whole quota.
func (d *Descriptors) AcquireDownstream() (ok, full bool) {
	quota := d.total * 5 / 8
	if d.downstream >= quota || d.downstream+d.upstream >= d.total {
		return false, d.downstream >= quota
	}
	d.downstream++
	return true, d.downstream > d.total/relaxedDivisor
}

// Pressure reports whether idle clients are to be closed, and whether that is pressing. It is asked also
// while no client connects: the idle connections of a client's own machine can keep others out long before
// the quota is used, and those that can't connect give no occasion to ask.
func (d *Descriptors) Pressure() (closeIdle, pressing bool) {
	return d.downstream > d.total/relaxedDivisor, d.downstream > d.total/pressingDivisor
}

// ReleaseDownstream returns what AcquireDownstream took.
func (d *Descriptors) ReleaseDownstream() { d.downstream-- }

// AcquireUpstream takes a descriptor for a connection to an endpoint and reports whether there was one.
func (d *Descriptors) AcquireUpstream() bool {
	if d.upstream+max(d.downstream, d.total/8) >= d.total {
		return false
	}
	d.upstream++
	return true
}

// ReleaseUpstream returns what AcquireUpstream took.
func (d *Descriptors) ReleaseUpstream() { d.upstream-- }
