package routing

// reservedDescriptors are those that are no connection: standard streams, listeners, the poller, discovery.
const reservedDescriptors = 32

// minDescriptors is what is shared out at the least, however few the process may hold.
const minDescriptors = 8

// Connected to the first of these parts of all descriptors, idle clients are left alone; from the second one on, no
// connection is kept after an answer.
const relaxedPart, pressingPart = 6, 4

// Descriptors shares the process's file descriptors between the front socket and the upstream connections.
// Guards against running out of them, which would fail accepts and dials alike. The front has up to five
// eighths: clients hold a third of the limit for requests, the rest stand idle. An eighth is always its
// own.
type Descriptors struct {
	total                int
	downstream, upstream int
}

// NewDescriptors shares out what a process that may hold limit descriptors has for connections.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{}
	d.SetLimit(limit)
	return d
}

// SetLimit changes how many descriptors the process may hold; what is open stays open.
func (d *Descriptors) SetLimit(limit int) { d.total = max(limit-reservedDescriptors, minDescriptors) }

// InUse is how many descriptors the process may hold at the present count of connections.
func (d *Descriptors) InUse() int { return reservedDescriptors + d.downstream + d.upstream }

// AcquireDownstream takes a descriptor for a client. Full tells, with true, that idle clients are to give way, and
// with false, that the front has its whole share.
func (d *Descriptors) AcquireDownstream() (ok, full bool) {
	share := d.total * 5 / 8
	if d.downstream >= share || d.downstream+d.upstream >= d.total {
		return false, d.downstream >= share
	}
	d.downstream++
	return true, d.downstream > d.total/relaxedPart
}

// Pressure tells whether idle clients are to give way, and whether that is pressing. Guards against
// clients that are kept out by the idle connections of their own machine, long before the front's share is
// used: they may hold a third of the limit, and those that can't connect give no occasion to look.
func (d *Descriptors) Pressure() (crowded, pressing bool) {
	return d.downstream > d.total/relaxedPart, d.downstream > d.total/pressingPart
}

// ReleaseDownstream gives back what AcquireDownstream took.
func (d *Descriptors) ReleaseDownstream() { d.downstream-- }

// AcquireUpstream tells whether one more upstream connection may be held; if so, ReleaseUpstream gives it back.
func (d *Descriptors) AcquireUpstream() bool {
	if d.upstream+max(d.downstream, d.total/8) >= d.total {
		return false
	}
	d.upstream++
	return true
}

// ReleaseUpstream gives back what AcquireUpstream took.
func (d *Descriptors) ReleaseUpstream() { d.upstream-- }
