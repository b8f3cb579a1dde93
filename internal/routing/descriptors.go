package routing

// reservedDescriptors is the number of descriptors set aside for everything but client and endpoint
// connections: standard streams, listeners, the poller, discovery.
const reservedDescriptors = 32

// minDescriptors is the minimum number of descriptors for connections, however low the process's limit is.
const minDescriptors = 8

// Idle client connections are closed once clients use more than total/idleCloseDivisor descriptors. Above
// total/urgentDivisor, each client connection is closed after its response.
const idleCloseDivisor, urgentDivisor = 6, 4

// Descriptors divides the process's file descriptors between client connections and connections to endpoints:
// if all were used up, both accepting and dialing would fail. Clients may use up to five eighths: a third of
// the limit for requests, the rest for idle connections. An eighth is reserved for clients.
type Descriptors struct {
	total                int
	downstream, upstream int
}

// NewDescriptors returns the Descriptors of a process that may have limit open descriptors.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{}
	d.SetLimit(limit)
	return d
}

// SetLimit changes how many descriptors the process may have open. Connections that are open stay open.
func (d *Descriptors) SetLimit(limit int) { d.total = max(limit-reservedDescriptors, minDescriptors) }

// InUse returns an upper bound of the process's open descriptors: the reserved ones and the connections.
func (d *Descriptors) InUse() int { return reservedDescriptors + d.downstream + d.upstream }

// AcquireDownstream acquires a descriptor for a client connection and reports whether there was
// one. If ok, full means that idle client connections should be closed; else full means that
// clients use their whole quota.
func (d *Descriptors) AcquireDownstream() (ok, full bool) {
	quota := d.total * 5 / 8
	if d.downstream >= quota || d.downstream+d.upstream >= d.total {
		return false, d.downstream >= quota
	}
	d.downstream++
	return true, d.downstream > d.total/idleCloseDivisor
}

// Pressure reports whether idle client connections should be closed, and whether client connections should
// also be closed after each response. The caller polls it even while no client connects: idle connections can
// exhaust a limit on the clients' own machine long before the quota here is used, and clients that can't
// connect cause no call to AcquireDownstream.
func (d *Descriptors) Pressure() (closeIdle, urgent bool) {
	return d.downstream > d.total/idleCloseDivisor, d.downstream > d.total/urgentDivisor
}

// ReleaseDownstream releases a descriptor that AcquireDownstream acquired.
func (d *Descriptors) ReleaseDownstream() { d.downstream-- }

// AcquireUpstream acquires a descriptor for a connection to an endpoint and reports whether there was one.
func (d *Descriptors) AcquireUpstream() bool {
	if d.upstream+max(d.downstream, d.total/8) >= d.total {
		return false
	}
	d.upstream++
	return true
}

// ReleaseUpstream releases a descriptor that AcquireUpstream acquired.
func (d *Descriptors) ReleaseUpstream() { d.upstream-- }
