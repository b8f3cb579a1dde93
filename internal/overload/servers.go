package overload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dunestep/internal/balancer"
)

const (
	serverHalfLife    = time.Second
	deadAfterFailures = 3 // consecutive failures after which a server counts as not working
	recentResponse    = 2 * time.Second
	slowServerFactor  = 1.2                    // multiple of the usual service time that counts as slow
	minCapacity       = 0.1                    // minimum result of serverCapacityFraction
	capacityInterval  = 100 * time.Millisecond // time for which serverCapacityFraction is not calculated again
)

// server is the state of an upstream server: its list entry and its recent responses.
type server struct {
	entry               balancer.Server // as passed to the balancer
	serviceTime         *serviceTimeEstimate
	isReady             bool
	startOffset         time.Duration // added to its start, so that the balancer treats it as a new process
	logFactors          decayingSum   // sum over its responses of log(latency / usual service time)
	samples             decayingSum   // number of these responses
	lastResponseAt      time.Duration
	inFlightLimit       float64 // requests allowed in flight during recovery or slow start
	lastSuccessAt       time.Duration
	consecutiveFailures int
	consecutiveFaults   int           // of these, other than rejections
	inFlight            int           // this agent's requests
	holdUntil           time.Duration // end of the pause after a failure; applies in slow start
	counted             serverCounts  // what Controller.serverCounts includes of the server
}

// serverCounts has the numbers of servers by state. They are kept instead of counted, since they are needed
// for each attempt and a list may have thousands of servers.
type serverCounts struct {
	ready   int
	working int // ready, without deadAfterFailures consecutive failures
	// provenCapacity is how many requests in flight the ready servers have proved able to serve, each at least
	// one.
	provenCapacity float64
}

// counts returns what the server contributes to the counts.
func (s *server) counts() (n serverCounts) {
	if s.isReady {
		n.ready, n.provenCapacity = 1, max(s.inFlightLimit, 1)
		if s.consecutiveFailures < deadAfterFailures {
			n.working = 1
		}
	}
	return n
}

// recount updates the counts after isReady, consecutiveFailures or inFlightLimit of a server has changed.
func (c *Controller) recount(s *server) {
	before := s.counted
	s.counted = s.counts()
	c.serverCounts.ready += s.counted.ready - before.ready
	c.serverCounts.working += s.counted.working - before.working
	c.serverCounts.provenCapacity += s.counted.provenCapacity - before.provenCapacity
}

// server returns the server with an ID; an unlisted one is added as not ready.
func (c *Controller) server(id string) *server {
	s := c.servers[id]
	if s == nil {
		s = &server{
			entry: balancer.Server{ID: id}, serviceTime: c.serviceTimeOf(""),
			logFactors: decayingSum{halfLife: serverHalfLife}, samples: decayingSum{halfLife: serverHalfLife},
		}
		c.servers[id] = s
		at, _ := slices.BinarySearchFunc(c.serversByID, id, compareID)
		c.serversByID = slices.Insert(c.serversByID, at, s)
	}
	return s
}

// compareID orders servers by their ids.
func compareID(s *server, id string) int { return cmp.Compare(s.entry.ID, id) }

func (c *Controller) removeServer(id string) {
	if s := c.servers[id]; s != nil {
		s.isReady = false
		c.recount(s)
		delete(c.servers, id)
		if at, found := slices.BinarySearchFunc(c.serversByID, id, compareID); found {
			c.serversByID = slices.Delete(c.serversByID, at, at+1)
		}
	}
}

// serviceTimeOf returns the estimate of a machine kind, creating it if necessary.
func (c *Controller) serviceTimeOf(kind string) *serviceTimeEstimate {
	estimate := c.serviceTimes[kind]
	if estimate == nil {
		estimate = &serviceTimeEstimate{}
		c.serviceTimes[kind] = estimate
	}
	return estimate
}

// onServerListUpdate applies an update of the server list and returns the event to pass to the balancer. In
// it, servers that were reset keep the offset of their start.
func (c *Controller) onServerListUpdate(e *balancer.ServerListUpdate) balancer.Event {
	if e.Kind == balancer.UpdateFailed {
		return e
	}
	c.capacityFractionAt = 0
	update := &balancer.ServerListUpdate{Kind: e.Kind, Watch: e.Watch, Servers: slices.Clone(e.Servers)}
	listed := make(map[string]bool, len(e.Servers))
	for i := range update.Servers {
		entry := &update.Servers[i]
		listed[entry.ID] = true
		if entry.State == balancer.Gone {
			c.removeServer(entry.ID)
			continue
		}
		s := c.server(entry.ID)
		entry.StartedAt += s.startOffset
		s.entry, s.serviceTime = *entry, c.serviceTimeOf(entry.MachineKind)
		s.isReady = entry.State == balancer.Ready
		c.recount(s)
	}
	if e.Kind != balancer.UpdateIncremental {
		for _, s := range slices.Clone(c.serversByID) {
			if !listed[s.entry.ID] {
				c.removeServer(s.entry.ID)
			}
		}
	}
	return update
}

// resetServers makes the balancer treat servers as new but warm processes, because its statistics of them
// date from the outage.
func (c *Controller) resetServers(servers ...*server) {
	update := &balancer.ServerListUpdate{
		Kind: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Local: true},
	}
	for _, s := range servers {
		if s.isReady && !c.isInSlowStart(s) { // one in slow start is new to the balancer anyway
			s.startOffset++
			s.entry.StartedAt++
			update.Servers = append(update.Servers, s.entry)
		}
	}
	c.pendingEvents = append(c.pendingEvents, update)
}

// isInSlowStart reports whether a server is in slow start.
func (c *Controller) isInSlowStart(s *server) bool {
	return s.entry.StartedAt > s.startOffset && c.now-s.entry.StartedAt < c.settings.Rules.SlowStartDuration
}

// isAtProvenLimit reports whether a server in slow start has as many requests in flight as it has proved
// able to serve, or has just failed.
func (c *Controller) isAtProvenLimit(s *server) bool {
	return c.now < s.holdUntil || float64(s.inFlight) >= max(s.inFlightLimit, 1)
}

// concurrency returns the recent mean number of this agent's requests in flight per ten working servers:
// when some servers stop responding, the load of the others rises.
func (c *Controller) concurrency() float64 {
	return c.inFlight.mean(c.now) * 10 / float64(max(c.serverCounts.working, 1))
}

// recentPeakServers returns the recent maximum of ready servers, which decays to the current number.
func (c *Controller) recentPeakServers() float64 {
	c.peakServers.decay(c.now)
	c.peakServers.weight = max(c.peakServers.weight, float64(c.serverCounts.ready))
	return c.peakServers.weight
}

// serverCapacityFraction returns the capacity of the ready servers as a fraction of the usual capacity,
// from 0.1 to 1. With many servers missing or in slow start, work takes longer everywhere for lack
// of capacity, and shedding load does not help.
func (c *Controller) serverCapacityFraction() float64 {
	if c.capacityFractionAt == 0 || c.now >= c.capacityFractionAt+capacityInterval {
		c.capacityFraction, c.capacityFractionAt = c.sumCapacityFraction(), c.now
	}
	return c.capacityFraction
}

// sumCapacityFraction calculates serverCapacityFraction over all servers.
func (c *Controller) sumCapacityFraction() float64 {
	capacity := 0.0
	for _, s := range c.serversByID {
		if !s.isReady {
			continue
		}
		warmth := 1.0
		age, slowStart := c.now-s.entry.StartedAt, c.settings.Rules.SlowStartDuration
		if s.entry.StartedAt > 0 && age < slowStart {
			initial := c.settings.Rules.SlowStartCapacity
			warmth = initial + (1-initial)*max(float64(age)/float64(slowStart), 0)
		}
		capacity += warmth
	}
	return min(max(capacity/max(c.recentPeakServers(), 1), minCapacity), 1)
}

// slowServerFraction returns the fraction of slow servers among those with recent responses.
func (c *Controller) slowServerFraction() float64 {
	slow, all := 0.0, 0.0
	for _, s := range c.serversByID {
		if !s.isReady || s.lastResponseAt == 0 || c.now-s.lastResponseAt >= recentResponse {
			continue
		}
		all++
		if s.logFactors.weight > s.samples.weight*math.Log(slowServerFactor) { // both sums have the same half-life
			slow++
		}
	}
	return slow / max(all, 1)
}

// forwardedFraction returns the fraction of requests for which the balancer finds capacity.
func (c *Controller) forwardedFraction() float64 {
	return c.forwarded.perSecond(c.now) / max(c.arrivals.perSecond(c.now), 1)
}
