package core

// ownDescriptors are those that are no connection: standard streams, listeners, the poller, discovery.
const ownDescriptors = 32

// leastDescriptors is what is shared out at the least, however few the process may hold.
const leastDescriptors = 8

// Up to the first of these parts of all descriptors, idle clients are left alone; from the second one on, no
// connection is kept after an answer.
const frontEasy, frontPressing = 6, 4

// Descriptors shares the process's file descriptors between the front socket and the upstream connections.
// Guards against running out of them, which would fail accepts and dials alike. The front has up to five
// eighths: clients hold a third of the limit for requests, the rest stand idle. An eighth is always its
// own.
type Descriptors struct {
	total           int
	front, upstream int
}

// NewDescriptors shares out what a process that may hold limit descriptors has for connections.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{}
	d.SetLimit(limit)
	return d
}

// SetLimit changes how many descriptors the process may hold; what is open stays open.
func (d *Descriptors) SetLimit(limit int) { d.total = max(limit-ownDescriptors, leastDescriptors) }

// Held is how many descriptors the process may hold at the present count of connections.
func (d *Descriptors) Held() int { return ownDescriptors + d.front + d.upstream }

// TakeFront takes a descriptor for a client. Full tells, with true, that idle clients are to give way, and
// with false, that the front has its whole share.
func (d *Descriptors) TakeFront() (ok, full bool) {
	share := d.total * 5 / 8
	if d.front >= share || d.front+d.upstream >= d.total {
		return false, d.front >= share
	}
	d.front++
	return true, d.front > d.total/frontEasy
}

// Crowded tells whether idle clients are to give way, and whether that is pressing. Guards against
// clients that are kept out by the idle connections of their own machine, long before the front's share is
// used: they may hold a third of the limit, and those that can't connect give no occasion to look.
func (d *Descriptors) Crowded() (crowded, pressing bool) {
	return d.front > d.total/frontEasy, d.front > d.total/frontPressing
}

// ReleaseFront gives back what TakeFront took.
func (d *Descriptors) ReleaseFront() { d.front-- }

// TakeUpstream tells whether one more upstream connection may be held; if so, ReleaseUpstream gives it back.
func (d *Descriptors) TakeUpstream() bool {
	if d.upstream+max(d.front, d.total/8) >= d.total {
		return false
	}
	d.upstream++
	return true
}

// ReleaseUpstream gives back what TakeUpstream took.
func (d *Descriptors) ReleaseUpstream() { d.upstream-- }
