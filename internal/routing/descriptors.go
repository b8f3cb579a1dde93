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
//
// Client connections also hold memory, which is bounded as well: none is accepted beyond the bound. What
// open ones need in addition is counted, but not refused.
type Descriptors struct {
	total                int
	downstream, upstream int

	memoryLimit, memory int64 // of client connections, in bytes; limit zero: none
}

// NewDescriptors returns the Descriptors of a process that may have limit open descriptors.
func NewDescriptors(limit int) *Descriptors {
	d := &Descriptors{}
	d.SetLimit(limit)
	return d
}

// SetLimit changes how many descriptors the process may have open. Connections that are open stay open.
func (d *Descriptors) SetLimit(limit int) { d.total = max(limit-reservedDescriptors, minDescriptors) }

// SetMemoryLimit changes how many bytes client connections may hold; zero: any number.
func (d *Descriptors) SetMemoryLimit(bytes int64) { d.memoryLimit = bytes }

// AddMemory records that client connections hold more bytes, or less.
func (d *Descriptors) AddMemory(bytes int64) { d.memory += bytes }

// Memory returns how many bytes client connections hold.
func (d *Descriptors) Memory() int64 { return d.memory }

// IsMemoryFull reports whether client connections hold their whole memory.
func (d *Descriptors) IsMemoryFull() bool {
	return d.memoryLimit > 0 && d.memory+ConnectionBytes > d.memoryLimit
}

// InUse returns an upper bound of the process's open descriptors: the reserved ones and the connections.
func (d *Descriptors) InUse() int { return reservedDescriptors + d.downstream + d.upstream }

// AcquireDownstream acquires a descriptor for a client connection and reports whether there was
// one. If ok, full means that idle client connections should be closed; else full means that
// clients use their whole quota.
func (d *Descriptors) AcquireDownstream() (ok, full bool) {
	quota := d.total * 5 / 8
	isShare := d.downstream >= quota || d.IsMemoryFull()
	if isShare || d.downstream+d.upstream >= d.total {
		return false, isShare
	}
	d.downstream++
	d.memory += ConnectionBytes
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
func (d *Descriptors) ReleaseDownstream() {
	d.downstream--
	d.memory -= ConnectionBytes
}

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
