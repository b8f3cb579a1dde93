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

// listed is a booking server as discovery lists it.
type listed struct {
	server  *server
	state   balancer.ServerState
	started time.Duration // zero: long ago
}

// discovery keeps the list and answers when asked. It learns late what the processes do, works through
// its calls one after another, and tells its watches what has changed now and then.
type discovery struct {
	w       *world
	known   []listed // by the server's number: what it holds to be so
	version int64
	log     []change // all that was ever published
	listing []listed // as published, by the server's number
	learnt  []int    // the number of the latest news of each server that it has taken in
	news    []int    // that there is
	emptied int      // troubles that empty the list
	down    int      // troubles that keep it down

	notice, silentNotice, join, period, spread, timeout time.Duration
	each                                                time.Duration // that a call takes
	freeAt                                              time.Duration
	calls                                               []*call // waiting or watching, in the order they came
	flushing                                            bool
	whole                                               protocol.EndpointList // put together last
}

// change is an entry of the list as it changed with a version.
type change struct {
	listed
	version int64
	at      time.Duration
}

// call is an agent's call, which waits for its turn and then, where it is a watch, stays.
type call struct {
	d      *discovery
	life   *life
	number int
	watch  bool
	told   int64 // the version that the agent has
	taken  bool
	over   bool
	lag    time.Duration // after the first watches are told
	spoke  time.Duration // when something last came on it, but for the lines that say that nothing changes
	silent bool          // nothing comes any more
	wire   ListConn      // of a real agent's
}

var (
	errDown      = errors.New("discovery is down")
	errWaited    = errors.New("the call waited too long")
	errCancelled = errors.New("the call was ended")
	errReset     = errors.New("the call was reset")
)

func newDiscovery(w *world) *discovery {
	s := &w.set.Discovery
	chance := newStream(w.seed, "discovery")
	d := &discovery{
		w: w, notice: s.Notice.Draw(chance.Rand), silentNotice: s.SilentNotice.Draw(chance.Rand),
		join: s.Join.Draw(chance.Rand), period: s.Period.Draw(chance.Rand), spread: s.Spread.Draw(chance.Rand),
		timeout: s.Timeout, version: 1,
	}
	d.each = time.Duration(float64(time.Second) / s.CallsPerS.Draw(chance.Rand))
	return d
}

// begin lists the servers that run when the day begins.
func (d *discovery) begin() {
	for _, s := range d.w.servers {
		d.room(s)
		d.known[s.number] = s.entry(balancer.Ready)
		d.listing[s.number] = d.known[s.number]
		d.log = append(d.log, change{listed: d.known[s.number], version: d.version})
	}
}

// room makes room for a server; until it is known it counts as gone.
func (d *discovery) room(s *server) {
	for len(d.known) <= s.number {
		gone := listed{server: d.w.servers[len(d.known)], state: balancer.Gone}
		d.known, d.listing = append(d.known, gone), append(d.listing, gone)
		d.learnt, d.news = append(d.learnt, 0), append(d.news, 0)
	}
}

// hears has discovery learn of a server after a time. Older news that comes later is passed over.
func (d *discovery) hears(l listed, after time.Duration) {
	d.room(l.server)
	d.news[l.server.number]++
	d.w.after(after, rankTrouble, &notice{d: d, listed: l, number: d.news[l.server.number]})
}

type notice struct {
	d *discovery
	listed
	number int
}

func (n *notice) happen() {
	d := n.d
	i := n.server.number
	if n.number < d.learnt[i] {
		return
	}
	d.learnt[i] = n.number
	d.known[i] = n.listed
	if d.emptied == 0 {
		d.publish(n.listed)
	}
}

// empty has the list name no server as there; refill ends that.
func (d *discovery) empty() {
	d.emptied++
	for _, l := range d.listing {
		if l.state != balancer.Gone {
			l.state = balancer.Gone
			d.publish(l)
		}
	}
}

func (d *discovery) refill() {
	if d.emptied--; d.emptied == 0 {
		for _, l := range d.known {
			d.publish(l)
		}
	}
}

// publish puts an entry on the list, and has the watches told soon.
func (d *discovery) publish(l listed) {
	i := l.server.number
	if d.listing[i] == l {
		return
	}
	d.listing[i] = l
	d.version++
	d.log = append(d.log, change{listed: l, version: d.version, at: d.w.now})
	d.w.record.listed(record.Changed, nil, l)
	if !d.flushing {
		d.flushing = true
		wait := time.Duration(0)
		if d.period > 0 {
			wait = d.period - d.w.now%d.period
		}
		d.w.after(wait, rankServer, (*watchesTold)(d))
	}
}

type watchesTold discovery

func (f *watchesTold) happen() {
	d := (*discovery)(f)
	d.flushing = false
	for _, c := range d.calls {
		if c.watch && c.taken {
			d.w.after(c.lag, rankServer, (*watchTold)(c))
		}
	}
}

// stop ends all calls: discovery goes down.
func (d *discovery) stop() {
	d.down++
	calls := d.calls
	d.calls = nil
	for _, c := range calls {
		c.fail(errDown)
	}
	d.freeAt = d.w.now
}

func (d *discovery) start() { d.down-- }

// asOf is the list as it was published at a time, and its version.
func (d *discovery) asOf(at time.Duration) (list []listed, version int64) {
	list = make([]listed, len(d.listing))
	for _, c := range d.log {
		if c.at <= at {
			list[c.server.number], version = c.listed, c.version
		}
	}
	return list, version
}

// asOfVersion is the list as it was with a version.
func (d *discovery) asOfVersion(version int64) []listed {
	list := make([]listed, len(d.listing))
	for _, c := range d.log {
		if c.version <= version {
			list[c.server.number] = c.listed
		}
	}
	return list
}

// config is a list, or what changed, in the form that agents get. A whole list leaves out what is gone;
// agents that get the same one share it.
func (d *discovery) config(list []listed, version int64, full bool) protocol.EndpointList {
	if full && d.whole.Version == version {
		return d.whole
	}
	config := protocol.EndpointList{Version: version, Full: full}
	for _, l := range list {
		if l.server == nil || full && l.state == balancer.Gone {
			continue
		}
		s := l.server
		e := balancer.Server{
			ID: s.id, Zone: d.w.set.Network.Zones[s.zone], MachineKind: s.machine.kind, Cell: s.cell,
			State: l.state, Weight: s.weight,
		}
		if l.started > 0 {
			e.StartedAt = clockStart + l.started
		}
		config.Endpoints = append(config.Endpoints, protocol.Endpoint{Server: e, Addr: s.addr})
	}
	if full {
		d.whole = config
	}
	return config
}

// since is what changed after a version, each server once.
func (d *discovery) since(version int64) []listed {
	var out []listed
	from, _ := slices.BinarySearchFunc(d.log, version+1,
		func(c change, v int64) int { return cmp.Compare(c.version, v) })
	for _, c := range d.log[from:] {
		if d.listing[c.server.number] == c.listed && !slices.Contains(out, c.listed) {
			out = append(out, c.listed)
		}
	}
	return out
}

// The happenings of a call.
type (
	callReaches call
	callTurn    call
	callWaited  call
	watchTold   call
)

func (r *callReaches) happen() {
	c := (*call)(r)
	d := c.d
	switch {
	case c.over:
	case d.down > 0:
		c.fail(errDown)
	case c.life.agent.toDiscovery.reset > d.w.now:
		c.fail(errReset)
	default:
		d.calls = append(d.calls, c)
		begin := max(d.freeAt, d.w.now)
		if begin-d.w.now > d.timeout {
			d.w.after(d.timeout, rankServer, (*callWaited)(c))
			return
		}
		d.freeAt = begin + d.each
		d.w.enter(d.freeAt, rankServer, (*callTurn)(c))
	}
}

func (e *callWaited) happen() {
	if c := (*call)(e); !c.over {
		c.fail(errWaited)
	}
}

func (t *callTurn) happen() {
	c := (*call)(t)
	d := c.d
	if c.over || c.unheard(t) {
		return
	}
	c.taken, c.spoke = true, d.w.now
	if !c.watch {
		d.w.record.agent(record.Asking, c.life.agent)
		c.tell(d.listing, true)
		c.finish(nil)
		return
	}
	d.w.record.agent(record.Watching, c.life.agent)
	c.send(message{kind: callBegun, number: c.number})
	if c.told == 0 {
		c.tell(d.listing, true)
	} else {
		c.tell(d.since(c.told), false)
	}
}

func (t *watchTold) happen() {
	if c := (*call)(t); !c.over && !c.unheard(t) {
		c.tell(c.d.since(c.told), false)
	}
}

// unheard tells whether nothing reaches the agent at present, and then has what was to be said wait.
func (c *call) unheard(says happening) bool {
	back := c.life.agent.toDiscovery.back
	if back > c.d.w.now {
		c.d.w.enter(back, rankServer, says)
	}
	return back > c.d.w.now
}

// callArrives is when what an agent says now is at discovery.
func (a *agent) callArrives(d *discovery) time.Duration {
	return max(a.w.now, a.toDiscovery.out) + d.distance(a)
}

// tell writes an object of the list to the agent.
func (c *call) tell(list []listed, full bool) {
	d := c.d
	if c.silent {
		return
	}
	c.told = d.version
	if len(list) == 0 {
		return
	}
	c.spoke = d.w.now
	c.life.writes(list, full)
	c.send(message{kind: callSays, number: c.number, config: d.config(list, d.version, full)})
}

// writes records what an agent is told: each entry, and of a whole list also which servers it lacks that
// the agent had. What staff have taken out drains for this agent, whatever it is told.
func (l *life) writes(list []listed, full bool) {
	for _, e := range list {
		if e.server == nil {
			continue
		}
		for len(l.told) <= e.server.number {
			l.told = append(l.told, false)
		}
		if e.state == balancer.Ready && l.agent.out[e.server] {
			e.state = balancer.Draining
		}
		had, there := l.told[e.server.number], e.state != balancer.Gone
		l.told[e.server.number] = there
		if !full || there || had {
			l.w.record.listed(record.Told, l.agent, e)
		}
	}
}

// fail ends a call from discovery's side.
func (c *call) fail(err error) {
	c.d.w.record.agent(record.CallFailed, c.life.agent)
	c.finish(err)
}

func (c *call) finish(err error) {
	c.forget()
	c.send(message{kind: callEnded, number: c.number, err: err})
}

func (c *call) forget() {
	c.over = true
	if i := slices.Index(c.d.calls, c); i >= 0 {
		c.d.calls = slices.Delete(c.d.calls, i, i+1)
	}
}

// send has a message arrive at the agent.
func (c *call) send(m message) {
	m.life = c.life
	a := c.life.agent
	c.d.w.enter(max(c.d.w.now, a.toDiscovery.back)+c.d.distance(a), rankArrival, &m)
}

// distance is the way between an agent and discovery, which stands in the first zone. All messages take
// as long: they keep their order.
func (d *discovery) distance(a *agent) time.Duration { return d.w.network.oneWay[a.zone][0] }
