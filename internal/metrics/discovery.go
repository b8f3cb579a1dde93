package metrics

import (
	"net/netip"
	"time"
)

// Discovery is the state of the calls to discovery.
type Discovery struct {
	Address       netip.AddrPort // of the latest watch
	Watches       int            // accepted by discovery and not ended
	CallsUnderWay int            // accepted or not
	ReceivedAt    time.Time      // latest list or empty line on a call under way; zero: none yet
}

// SetDiscovery sets the current state of the calls to discovery.
func (c *Counters) SetDiscovery(d Discovery) { c.discovery.Store(&d) }

// ReadDiscovery returns the current state of the calls to discovery.
func (c *Counters) ReadDiscovery() Discovery { return *c.discovery.Load() }
