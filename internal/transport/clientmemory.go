package transport

import "dunestep/internal/routing"

// chargeMemory updates what the connection holds beside its fixed cost: the header of its request, and the
// request in flight. The caller holds mu. It reports whether all connections hold more than they may
// together.
func (c *downstreamConn) chargeMemory() (isOver bool) {
	held := int64(0)
	switch c.state {
	case connReading: // a body has a budget of its own
		held = c.headerMemory()
	case connBusy:
		held = c.headerMemory() + routing.InFlightBytes
	case connNew, connIdle, connClosing, connClosed:
	}
	if held == c.heldMemory || c.conns == nil {
		return false
	}
	added := held - c.heldMemory
	c.heldMemory = held
	return c.conns.descriptors.addMemory(added) && added > 0
}

func (c *downstreamConn) headerMemory() int64 {
	return routing.HeaderBytes(c.framing.headerBytes, int64(c.framing.header.lines))
}
