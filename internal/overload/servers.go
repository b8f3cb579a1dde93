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
	deadAfterFailures = 3 // attempts in a row: the server is not expected to serve anything
	recentResponse    = 2 * time.Second
	slowServerFactor  = 1.2 // times the usual service time: the server is slow
	minCapacity       = 0.1 // fraction: the least that serverCapacityFraction returns
)

// server is a server of the list, and how its responses compare with the usual.
type server struct {
	entry               balancer.Server // as the balancer knows it
	serviceTime         *serviceTimeEstimate
	isReady             bool
	startOffset         time.Duration // added to its start, so that the balancer takes it for a new process
	logFactors          decayingSum   // of its responses: logarithms of how many times the usual time they took
	samples             decayingSum   // number of these responses
	lastResponseAt      time.Duration
	inFlightLimit       float64 // requests it may have in flight during recovery, or while it warms up
	lastSuccessAt       time.Duration
	consecutiveFailures int
	consecutiveFaults   int           // of these, not rejected
	inFlight            int           // requests of this agent
	holdUntil           time.Duration // while it warms up: nothing is sent before, after a failure
}

// server returns a server; one that is not on the list is added, not ready.
func (c *Controller) server(id string) *server {
	s := c.servers[id]
	if s == nil {
		s = &server{
			entry: balancer.Server{ID: id}, serviceTime: c.serviceTimeOf(""),
			logFactors: decayingSum{halfLife: serverHalfLife}, samples: decayingSum{halfLife: serverHalfLife},
		}
		c.servers[id] = s
		at, _ := slices.BinarySearchFunc(c.serversByID, id,
			func(s *server, id string) int { return cmp.Compare(s.entry.ID, id) })
		c.serversByID = slices.Insert(c.serversByID, at, s)
	}
	return s
}

func (c *Controller) removeServer(id string) {
	if s := c.servers[id]; s != nil {
		s.isReady = false
		delete(c.servers, id)
		c.serversByID = slices.DeleteFunc(c.serversByID, func(other *server) bool { return other == s })
	}
}

// serviceTimeOf returns the estimate of a kind of machine.
func (c *Controller) serviceTimeOf(kind string) *serviceTimeEstimate {
	estimate := c.serviceTimes[kind]
	if estimate == nil {
		estimate = &serviceTimeEstimate{}
		c.serviceTimes[kind] = estimate
	}
	return estimate
}

// onServerListUpdate takes in an update of the list, and returns what the balancer is to see of it: servers
// that were reset keep the offset of their start.
func (c *Controller) onServerListUpdate(e *balancer.ServerListUpdate) balancer.Event {
	if e.Kind == balancer.UpdateFailed {
		return e
	}
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

// resetServers has the balancer take servers for new processes that are warm: what it saw of them is of the
// outage.
func (c *Controller) resetServers(servers ...*server) {
	update := &balancer.ServerListUpdate{
		Kind: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Local: true},
	}
	for _, s := range servers {
		if s.isReady && !c.isWarmingUp(s) { // one that warms up is new to the balancer anyway
			s.startOffset++
			s.entry.StartedAt++
			update.Servers = append(update.Servers, s.entry)
		}
	}
	c.pendingEvents = append(c.pendingEvents, update)
}

// isWarmingUp reports whether a server is slow because it has just started.
func (c *Controller) isWarmingUp(s *server) bool {
	return s.entry.StartedAt > s.startOffset && c.now-s.entry.StartedAt < c.settings.Rules.SlowStartDuration
}

// isAtProvenLimit reports whether a server that warms up has as much in flight as it has proved to serve, or
// has just failed.
func (c *Controller) isAtProvenLimit(s *server) bool {
	return c.now < s.holdUntil || float64(s.inFlight) >= max(s.inFlightLimit, 1)
}

// concurrency is how many requests this agent has had in flight of late for each ten servers: where some
// servers respond no more, the others are more loaded.
func (c *Controller) concurrency() float64 {
	return c.inFlight.mean(c.now) * 10 / float64(max(c.workingServers(), 1))
}

// readyServers counts the servers that take requests.
func (c *Controller) readyServers() (n int) {
	for _, s := range c.serversByID {
		if s.isReady {
			n++
		}
	}
	return n
}

// workingServers counts the servers that take requests and do not fail them all.
func (c *Controller) workingServers() (n int) {
	for _, s := range c.serversByID {
		if s.isReady && s.consecutiveFailures < deadAfterFailures {
			n++
		}
	}
	return n
}

// recentPeakServers is the largest number of ready servers of late; it decays to the present one.
func (c *Controller) recentPeakServers() float64 {
	c.peakServers.decay(c.now)
	c.peakServers.weight = max(c.peakServers.weight, float64(c.readyServers()))
	return c.peakServers.weight
}

// serverCapacityFraction is what the ready servers can do, as a fraction of the usual, from 0.1 to 1. With
// many servers missing or warming up, work takes longer everywhere for want of capacity, and shedding load
// does not help.
func (c *Controller) serverCapacityFraction() float64 {
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

// slowServerFraction is the fraction of the servers with recent responses that are slow.
func (c *Controller) slowServerFraction() float64 {
	slow, all := 0.0, 0.0
	for _, s := range c.serversByID {
		if !s.isReady || s.lastResponseAt == 0 || c.now-s.lastResponseAt >= recentResponse {
			continue
		}
		all++
		if s.logFactors.weight > s.samples.weight*math.Log(slowServerFactor) { // both decay alike
			slow++
		}
	}
	return slow / max(all, 1)
}

// forwardedFraction is the fraction of requests that the balancer finds capacity for.
func (c *Controller) forwardedFraction() float64 {
	return c.forwarded.perSecond(c.now) / max(c.arrivals.perSecond(c.now), 1)
}
