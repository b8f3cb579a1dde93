package world

import (
	"cmp"
	"errors"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
)

// listEntry is an upstream server's entry in the endpoint list.
type listEntry struct {
	server  *server
	state   balancer.ServerState
	started time.Duration // zero: before the run
}

// discovery keeps the endpoint list and answers calls. It learns of process changes with a delay,
// handles its calls one after another, and sends changes to its watches periodically.
type discovery struct {
	w             *world
	learned       []listEntry // by server number: the state that it has learned
	version       int64
	changes       []change    // all published changes
	published     []listEntry // by server number: the published state
	appliedUpdate []int       // by server number: the last update that it has applied
	lastUpdate    []int       // by server number: the last update that was sent to it
	emptyFaults   int         // active faults that empty the list
	downFaults    int         // active faults that keep it down

	// noticeDelay, silentNoticeDelay and joinDelay are the times until it learns that a process has ended, that
	// a machine has vanished, and that a server has started. Watches get updates every updatePeriod, each up to
	// updateSpread late. A call fails if it would wait for longer than callTimeout.
	noticeDelay, silentNoticeDelay, joinDelay,
	updatePeriod, updateSpread, callTimeout time.Duration

	callCost   time.Duration // processing time of a call
	freeAt     time.Duration
	calls      []*call // waiting calls and open watches, by arrival
	flushing   bool
	cachedFull protocol.EndpointList // last one built
}

// change is a published entry with the list version that published it.
type change struct {
	listEntry
	version int64
	at      time.Duration
}

// call is an agent's call. It waits until discovery handles it; a watch then stays open.
type call struct {
	discovery   *discovery
	proc        *agentProcess
	number      int
	watch       bool
	sentVersion int64 // the list version that was sent last
	accepted    bool
	ended       bool
	updateDelay time.Duration // delay of its updates, up to updateSpread
	lastSent    time.Duration // last message on it, keep-alive lines excluded
	silent      bool          // nothing more is sent on it
	wire        CallConn      // of a real agent
}

var (
	errDown        = errors.New("discovery is down")
	errCallTimeout = errors.New("the call timed out in the queue")
	errCanceled    = errors.New("the call was canceled")
	errReset       = errors.New("the call was reset")
)

func newDiscovery(w *world) *discovery {
	s := &w.scenario.Discovery
	rng := newStream(w.seed, "discovery")
	d := &discovery{
		w: w, noticeDelay: s.Notice.Draw(rng.Rand), silentNoticeDelay: s.SilentNotice.Draw(rng.Rand),
		joinDelay: s.Join.Draw(rng.Rand), updatePeriod: s.Period.Draw(rng.Rand),
		updateSpread: s.Spread.Draw(rng.Rand),
		callTimeout:  s.Timeout, version: 1,
	}
	d.callCost = time.Duration(float64(time.Second) / s.CallsPerS.Draw(rng.Rand))
	return d
}

// publishInitial lists the servers that run at the start.
func (d *discovery) publishInitial() {
	for _, s := range d.w.servers {
		d.grow(s)
		d.learned[s.number] = s.entry(balancer.Ready)
		d.published[s.number] = d.learned[s.number]
		d.changes = append(d.changes, change{listEntry: d.learned[s.number], version: d.version})
	}
}

// grow extends the lists to include a server; it counts as gone until discovery learns of it.
func (d *discovery) grow(s *server) {
	for len(d.learned) <= s.number {
		gone := listEntry{server: d.w.servers[len(d.learned)], state: balancer.Gone}
		d.learned, d.published = append(d.learned, gone), append(d.published, gone)
		d.appliedUpdate, d.lastUpdate = append(d.appliedUpdate, 0), append(d.lastUpdate, 0)
	}
}

// learnAfter makes discovery learn of a server's state after a delay. An older update that arrives
// later is ignored.
func (d *discovery) learnAfter(l listEntry, after time.Duration) {
	d.grow(l.server)
	d.lastUpdate[l.server.number]++
	d.w.scheduleAfter(after, rankEnvironment,
		&pendingUpdate{discovery: d, listEntry: l, number: d.lastUpdate[l.server.number]})
}

// pendingUpdate is the moment at which discovery learns of a server's state.
type pendingUpdate struct {
	discovery *discovery
	listEntry
	number int
}

func (n *pendingUpdate) fire() {
	d := n.discovery
	i := n.server.number
	if n.number < d.appliedUpdate[i] {
		return
	}
	d.appliedUpdate[i] = n.number
	d.learned[i] = n.listEntry
	if d.emptyFaults == 0 {
		d.publish(n.listEntry)
	}
}

// clearList publishes a list without servers.
func (d *discovery) clearList() {
	d.emptyFaults++
	for _, l := range d.published {
		if l.state != balancer.Gone {
			l.state = balancer.Gone
			d.publish(l)
		}
	}
}

// restoreList ends clearList and publishes the learned state.
func (d *discovery) restoreList() {
	if d.emptyFaults--; d.emptyFaults == 0 {
		for _, l := range d.learned {
			d.publish(l)
		}
	}
}

// publish changes an entry of the list and schedules the update of the watches.
func (d *discovery) publish(l listEntry) {
	i := l.server.number
	if d.published[i] == l {
		return
	}
	d.published[i] = l
	d.version++
	d.changes = append(d.changes, change{listEntry: l, version: d.version, at: d.w.now})
	d.w.record.listed(record.ListChanged, nil, l)
	if !d.flushing {
		d.flushing = true
		wait := time.Duration(0)
		if d.updatePeriod > 0 {
			wait = d.updatePeriod - d.w.now%d.updatePeriod
		}
		d.w.scheduleAfter(wait, rankServer, (*watchFlush)(d))
	}
}

// watchFlush sends pending changes to all watches.
type watchFlush discovery

func (f *watchFlush) fire() {
	d := (*discovery)(f)
	d.flushing = false
	for _, c := range d.calls {
		if c.watch && c.accepted {
			d.w.scheduleAfter(c.updateDelay, rankServer, (*watchUpdate)(c))
		}
	}
}

// stop takes discovery down and ends all calls.
func (d *discovery) stop() {
	d.downFaults++
	calls := d.calls
	d.calls = nil
	for _, c := range calls {
		c.fail(errDown)
	}
	d.freeAt = d.w.now
}

func (d *discovery) start() { d.downFaults-- }

// asOf returns the list as it was published at a time, and its version.
func (d *discovery) asOf(at time.Duration) (list []listEntry, version int64) {
	list = make([]listEntry, len(d.published))
	for _, c := range d.changes {
		if c.at <= at {
			list[c.server.number], version = c.listEntry, c.version
		}
	}
	return list, version
}

// asOfVersion returns the list as it was at a version.
func (d *discovery) asOfVersion(version int64) []listEntry {
	list := make([]listEntry, len(d.published))
	for _, c := range d.changes {
		if c.version <= version {
			list[c.server.number] = c.listEntry
		}
	}
	return list
}

// endpointList returns a full list, or changes, in the form that agents receive. A full list omits
// servers that are gone; agents that get the same one share it.
func (d *discovery) endpointList(list []listEntry, version int64, full bool) protocol.EndpointList {
	if full && d.cachedFull.Version == version {
		return d.cachedFull
	}
	out := protocol.EndpointList{Version: version, Full: full}
	for _, l := range list {
		if l.server == nil || full && l.state == balancer.Gone {
			continue
		}
		s := l.server
		e := balancer.Server{
			ID: s.id, Zone: d.w.scenario.Network.Zones[s.zone], MachineKind: s.machine.kind, Cell: s.cell,
			State: l.state, Weight: s.weight,
		}
		if l.started > 0 {
			e.StartedAt = clockStart + l.started
		}
		out.Endpoints = append(out.Endpoints, protocol.Endpoint{Server: e, Addr: s.addr})
	}
	if full {
		d.cachedFull = out
	}
	return out
}

// changesSince returns the entries that changed after a version, each server once.
func (d *discovery) changesSince(version int64) []listEntry {
	var out []listEntry
	from, _ := slices.BinarySearchFunc(d.changes, version+1,
		func(c change, v int64) int { return cmp.Compare(c.version, v) })
	for _, c := range d.changes[from:] {
		if d.published[c.server.number] == c.listEntry && !slices.Contains(out, c.listEntry) {
			out = append(out, c.listEntry)
		}
	}
	return out
}

// The events of a call.
type (
	callArrives  call // it reaches discovery
	callHandled  call // discovery has processed it
	callTimesOut call // it has waited for callTimeout
	watchUpdate  call // changes are sent on it
)

func (r *callArrives) fire() {
	c := (*call)(r)
	d := c.discovery
	switch {
	case c.ended:
	case d.downFaults > 0:
		c.fail(errDown)
	case c.proc.agent.toDiscovery.reset > d.w.now:
		c.fail(errReset)
	default:
		d.calls = append(d.calls, c)
		startAt := max(d.freeAt, d.w.now)
		if startAt-d.w.now > d.callTimeout {
			d.w.scheduleAfter(d.callTimeout, rankServer, (*callTimesOut)(c))
			return
		}
		d.freeAt = startAt + d.callCost
		d.w.schedule(d.freeAt, rankServer, (*callHandled)(c))
	}
}

func (e *callTimesOut) fire() {
	if c := (*call)(e); !c.ended {
		c.fail(errCallTimeout)
	}
}

func (t *callHandled) fire() {
	c := (*call)(t)
	d := c.discovery
	if c.ended || c.deferIfBlocked(t) {
		return
	}
	c.accepted, c.lastSent = true, d.w.now
	if !c.watch {
		d.w.record.agent(record.ListRequested, c.proc.agent)
		c.sendList(d.published, true)
		c.finish(nil)
		return
	}
	d.w.record.agent(record.WatchOpened, c.proc.agent)
	c.send(message{kind: callAccepted, number: c.number})
	if c.sentVersion == 0 {
		c.sendList(d.published, true)
	} else {
		c.sendList(d.changesSince(c.sentVersion), false)
	}
}

func (t *watchUpdate) fire() {
	if c := (*call)(t); !c.ended && !c.deferIfBlocked(t) {
		c.sendList(c.discovery.changesSince(c.sentVersion), false)
	}
}

// deferIfBlocked reports whether nothing reaches the agent at present, and then reschedules the event.
func (c *call) deferIfBlocked(ev event) bool {
	back := c.proc.agent.toDiscovery.back
	if back > c.discovery.w.now {
		c.discovery.w.schedule(back, rankServer, ev)
	}
	return back > c.discovery.w.now
}

// callArrival returns when a call that the agent makes now reaches discovery.
func (a *agent) callArrival(d *discovery) time.Duration {
	return max(a.w.now, a.toDiscovery.out) + d.delay(a)
}

// sendList sends a full list or changes to the agent.
func (c *call) sendList(list []listEntry, full bool) {
	d := c.discovery
	if c.silent {
		return
	}
	c.sentVersion = d.version
	if len(list) == 0 {
		return
	}
	c.lastSent = d.w.now
	c.proc.recordList(list, full)
	c.send(message{kind: callReceived, number: c.number, list: d.endpointList(list, d.version, full)})
}

// recordList records what an agent is sent: each entry, and for a full list also the servers that are
// missing and that the agent had. A server that operators have disabled drains for this agent, whatever
// its state on the list is.
func (l *agentProcess) recordList(list []listEntry, full bool) {
	for _, e := range list {
		if e.server == nil {
			continue
		}
		for len(l.sentServers) <= e.server.number {
			l.sentServers = append(l.sentServers, false)
		}
		if e.state == balancer.Ready && l.agent.disabledServers[e.server] {
			e.state = balancer.Draining
		}
		wasListed, isListed := l.sentServers[e.server.number], e.state != balancer.Gone
		l.sentServers[e.server.number] = isListed
		if !full || isListed || wasListed {
			l.w.record.listed(record.Notified, l.agent, e)
		}
	}
}

// fail ends a call from discovery's side.
func (c *call) fail(err error) {
	c.discovery.w.record.agent(record.CallFailed, c.proc.agent)
	c.finish(err)
}

// finish ends a call with a result for the agent.
func (c *call) finish(err error) {
	c.remove()
	c.send(message{kind: callEnded, number: c.number, err: err})
}

// remove ends a call without notifying the agent.
func (c *call) remove() {
	c.ended = true
	if i := slices.Index(c.discovery.calls, c); i >= 0 {
		c.discovery.calls = slices.Delete(c.discovery.calls, i, i+1)
	}
}

// send sends a message to the agent.
func (c *call) send(m message) {
	m.proc = c.proc
	a := c.proc.agent
	c.discovery.w.schedule(max(c.discovery.w.now, a.toDiscovery.back)+c.discovery.delay(a), rankArrival, &m)
}

// delay is the one-way delay between an agent and discovery, which runs in the first zone. It has no
// jitter, so that messages keep their order.
func (d *discovery) delay(a *agent) time.Duration { return d.w.network.oneWay[a.zone][0] }
