package world

import (
	"cmp"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// healCheckInterval is the time between two checks whether a shared slowdown ends early.
const healCheckInterval = 100 * time.Millisecond

// injection is one fault injection of the run, as drawn.
type injection struct {
	w      *world
	index  int // in the scenario
	name   string
	config *scenario.FaultSpec
	rng    stream

	start, duration     time.Duration
	onTime, offTime     time.Duration // of an intermittent fault; zero: continuous
	share, size         float64       // affected fraction; strength, in the unit of its kind
	idleTime, drainTime time.Duration
	delayRNG            stream  // decides which connections are delayed
	sameAddress         float64 // probability that a successor keeps the address
	healThreshold       float64
	healTime            time.Duration
	servers             []*server // affected
	processes           []*serverProcess
	ended               bool
	batchSize, handled  int                 // of a deploy or rolling restart: per step, and so far
	calmTime            time.Duration       // how long the servers have been below the heal threshold
	lastBusy            map[int]float64     // by server: core seconds used at the last heal check
	datagramFault       mishap.Fault        // on datagrams
	datagramFaultID     int                 // ID in world.datagramFaults
	paused              []*agentProcess     // that it has paused
	window              *maintenance.Window // of a maintenance window; otherwise nil
}

// newInjection draws a fault injection. Its name is its kind and its index within that kind, so that
// adding or removing faults of another kind does not change its draws.
func newInjection(w *world, index, nth int) *injection {
	config := &w.scenario.Faults[index]
	t := &injection{w: w, index: index, config: config, name: fmt.Sprint("trouble ", config.Kind, " ", nth)}
	t.rng = newStream(w.seed, t.name)
	draw := func(v scenario.Span) float64 { return v.Draw(t.rng.Rand) }
	span := func(v scenario.TimeSpan) time.Duration { return v.Draw(t.rng.Rand) }
	t.start, t.duration, t.share, t.size = span(config.At), span(config.For),
		draw(config.Part), draw(config.Size)
	t.idleTime, t.drainTime, t.sameAddress = span(config.Idle), span(config.Drain), draw(config.SameAddress)
	t.healThreshold, t.healTime = draw(config.HealsBelow), span(config.HealsRest)
	t.onTime, t.offTime = span(config.On), span(config.Off)
	if config.Kind == scenario.Window {
		t.window = t.newWindow(span(config.MoveTime))
	}
	if config.Kind == scenario.LateConnections {
		t.delayRNG = newStream(w.seed, t.name+" connections")
	}
	if config.Kind == scenario.Datagrams {
		t.datagramFault = mishap.FromFaultSpec(config, t.rng.Rand)
	}
	return t
}

// The events of an injection. An intermittent fault starts and ends several times.
type (
	injectionStarts injection
	injectionEnds   injection
)

func (b *injectionStarts) fire() {
	t := (*injection)(b)
	w := t.w
	w.record.fault(record.FaultBegan, t.index)
	w.active = append(w.active, t)
	w.addFaultEntry(t.description())
	duration := t.duration
	if t.onTime > 0 {
		duration = min(t.onTime, t.start+t.duration-w.now)
	}
	w.scheduleAfter(duration, rankEnvironment, (*injectionEnds)(t))
	switch t.config.Kind {
	case scenario.Silent, scenario.Failing, scenario.Refusing, scenario.UnreadableAnswers,
		scenario.FewConnections, scenario.FaultyAnswers:
		t.servers = t.pickServers()
		t.updateServers()
	case scenario.Deploy:
		t.servers = t.pickServers()
		t.batchSize = max(int(math.Round(t.size*float64(w.scenario.Fleet.Servers))), 1)
		(*deployStep)(t).fire()
	case scenario.MachinesUnreachable:
		t.servers = t.pickServers()
		for _, s := range t.servers {
			s.cutUntil = max(s.cutUntil, w.now+t.duration)
			w.discovery.learnAfter(s.entry(balancer.Gone), w.discovery.silentNoticeDelay)
		}
	case scenario.Crashed:
		t.servers, t.processes = t.pickServers(), nil
		for _, s := range t.servers {
			t.processes = append(t.processes, s.process)
			s.stop()
		}
	case scenario.AgentsKilled, scenario.AgentsRestarted:
		if t.size > 0 {
			t.batchSize = max(int(math.Round(t.size*float64(len(t.targets())))), 1)
			(*restartStep)(t).fire()
			break
		}
		for _, a := range t.targets() {
			a.downFaults++
			if t.config.Kind == scenario.AgentsKilled {
				a.kill()
				if t.config.StateDir == "empty" {
					a.savedState = nil
				}
			} else if a.proc != nil {
				a.proc.drain()
			}
		}
	case scenario.ServersTakenOut:
		t.servers = t.pickServers()
		for _, a := range w.agents {
			a.disableServers(t.servers)
		}
		w.scheduleAfter(t.duration/2, rankEnvironment, (*operatorRestart)(t))
	case scenario.AgentsUpgraded:
		for _, a := range w.agents[:min(t.config.Count, len(w.agents))] {
			a.upgrade()
		}
	case scenario.ClientsRedirected:
		for _, a := range w.agents[:min(t.config.Count, len(w.agents))] {
			a.sendClientsAway()
		}
	case scenario.Window:
		t.startWindow()
	case scenario.DiscoveryDown:
		w.discovery.stop()
	case scenario.WatchesSilent:
		t.silenceWatches()
	case scenario.EmptyList:
		w.discovery.clearList()
	case scenario.Surge:
		t.surge()
	case scenario.ClientsLeave:
		t.clientsLeave()
	case scenario.Partition:
		zone := slices.Index(w.scenario.Network.Zones, t.config.Zone)
		w.zoneCut[zone] = max(w.zoneCut[zone], w.now+t.duration)
	default:
		t.startAgentFault()
	}
	w.updateShared()
	if t.config.Kind == scenario.SlowPeriod && t.healTime > 0 {
		t.lastBusy = map[int]float64{}
		(*healCheck)(t).fire()
	}
}

func (e *injectionEnds) fire() { (*injection)(e).end() }

// end ends the injection, unless it has already ended.
func (t *injection) end() {
	w := t.w
	if t.ended {
		return
	}
	t.ended = true
	w.active = slices.DeleteFunc(w.active, func(u *injection) bool { return u == t })
	w.record.fault(record.FaultEnded, t.index)
	w.addFaultEntry("over: " + t.description())
	switch t.config.Kind {
	case scenario.Silent, scenario.Failing, scenario.Refusing, scenario.UnreadableAnswers,
		scenario.FewConnections, scenario.FaultyAnswers:
		t.updateServers()
	case scenario.MachinesUnreachable:
		for _, s := range t.servers {
			if s.process.state != processDown && s.cutUntil <= w.now {
				w.discovery.learnAfter(s.entry(s.listState()), w.discovery.joinDelay)
			}
		}
	case scenario.Crashed:
		t.restartServers()
	case scenario.AgentsKilled, scenario.AgentsRestarted:
		if t.size > 0 {
			break
		}
		for _, a := range t.targets() {
			a.downFaults--
			a.restart()
		}
	case scenario.ServersTakenOut:
		t.restartServers()
		for _, a := range w.agents {
			a.enableServers(t.servers)
		}
	case scenario.ClientsRedirected:
		for _, a := range w.agents[:min(t.config.Count, len(w.agents))] {
			a.acceptClients()
		}
	case scenario.DiscoveryDown:
		w.discovery.start()
	case scenario.EmptyList:
		w.discovery.restoreList()
	default:
		t.endAgentFault()
	}
	w.updateShared()
	if t.offTime > 0 && w.now+t.offTime < t.start+t.duration {
		t.ended = false
		w.scheduleAfter(t.offTime, rankEnvironment, (*injectionStarts)(t))
	}
}

// restartServers starts the servers whose processes the fault has ended, except those that were
// replaced meanwhile. The new processes are warming up.
func (t *injection) restartServers() {
	for i, s := range t.servers[:len(t.processes)] {
		if s.process == t.processes[i] && !s.leaving {
			s.start(true)
			t.w.discovery.learnAfter(s.entry(balancer.Ready), t.w.discovery.joinDelay)
		}
	}
}

// pickServers returns the affected share of the running servers, at least one. The order in
// which they are picked is hashed from each server's ID, so that one more server does not change the
// others' order.
func (t *injection) pickServers() []*server {
	var running []*server
	zone := slices.Index(t.w.scenario.Network.Zones, t.config.Zone) // negative: servers of all zones
	for _, s := range t.w.servers {
		if s.running() && (zone < 0 || s.zone == zone) {
			running = append(running, s)
		}
	}
	order := make(map[*server]uint64, len(running))
	for _, s := range running {
		order[s] = nameSeed(t.w.seed, t.name+" "+s.id)
	}
	slices.SortFunc(running, func(a, b *server) int { return cmp.Compare(order[a], order[b]) })
	n := max(int(math.Round(t.share*float64(len(running)))), 1)
	return running[:min(n, len(running))]
}

// updateServers recomputes the state of the injection's servers from all active faults.
func (t *injection) updateServers() {
	for _, s := range t.servers {
		silent := s.silent
		s.silent, s.refusing, s.ignoringConnects = false, false, false
		s.fault, s.faultShare = "", 0
		sound, readable := 1.0, 1.0
		s.connShare = 1
		for _, u := range t.w.active {
			if !slices.Contains(u.servers, s) {
				continue
			}
			switch u.config.Kind {
			case scenario.Silent:
				s.silent = true
			case scenario.Refusing:
				s.refusing = true
			case scenario.Failing:
				sound *= 1 - u.size
			case scenario.UnreadableAnswers:
				readable *= 1 - u.size
			case scenario.FewConnections:
				s.connShare *= u.size
			case scenario.FaultyAnswers:
				s.fault, s.faultShare = u.config.Fault, u.size
				s.ignoringConnects = s.ignoringConnects || u.config.Fault == scenario.NoAccept
			}
		}
		s.failing, s.unreadable = 1-sound, 1-readable
		if p := s.process; p.state != processDown {
			p.change(func() {})
			if silent && !s.silent {
				p.readPending()
			}
		}
	}
}

// updateShared recomputes the effects that are the same for all servers and agents.
func (w *world) updateShared() {
	slow := 1.0
	w.resetShare, w.idleForgetting, w.trafficKept = 0, 0, 1
	w.datagramLossByZone = make([]float64, len(w.scenario.Network.Zones))
	for _, t := range w.active {
		switch t.config.Kind {
		case scenario.SlowPeriod:
			slow *= t.size
		case scenario.Reset:
			w.resetShare = 1 - (1-w.resetShare)*(1-t.size)
		case scenario.IdleConnectionsLost:
			if w.idleForgetting == 0 || t.idleTime < w.idleForgetting {
				w.idleForgetting = t.idleTime
			}
		case scenario.DatagramsLost:
			for i, zone := range w.scenario.Network.Zones {
				if t.config.Zone == "" || t.config.Zone == zone {
					w.datagramLossByZone[i] = max(w.datagramLossByZone[i], t.size)
				}
			}
		case scenario.Surge:
			w.trafficKept = min(w.trafficKept, t.size)
		}
	}
	if slow == w.slowdown {
		return
	}
	for _, s := range w.servers {
		if s.process.state != processDown {
			s.process.advance()
		}
	}
	w.slowdown = slow
	for _, s := range w.servers {
		if s.process.state != processDown {
			s.process.replan()
		}
	}
}

// surge adds request sources for the extra traffic.
func (t *injection) surge() {
	for _, a := range t.w.agents {
		s := &source{
			client: a.client, rng: newStream(t.w.seed, t.name+" "+a.name),
			perS: (t.size - 1) * t.w.perS * a.share, from: t.w.now,
			until: min(t.w.now+t.duration, t.w.scenario.Run.Length),
		}
		s.start()
	}
}

// deployStep drains the next batch of a deploy and schedules its replacements.
type deployStep injection

func (d *deployStep) fire() {
	t := (*injection)(d)
	w := t.w
	for range t.batchSize {
		if t.handled == len(t.servers) {
			return
		}
		s := t.servers[t.handled]
		t.handled++
		if s.running() {
			s.drain()
			w.discovery.learnAfter(s.entry(balancer.Draining), w.discovery.noticeDelay)
			w.scheduleAfter(t.drainTime, rankEnvironment, &successor{injection: t, server: s})
		}
	}
	batches := (len(t.servers) + t.batchSize - 1) / t.batchSize
	w.scheduleAfter(t.duration/time.Duration(batches), rankEnvironment, d)
}

// restartStep restarts the next batch of agents of a rolling restart.
type restartStep injection

func (r *restartStep) fire() {
	t := (*injection)(r)
	w, all := t.w, t.targets()
	for range t.batchSize {
		if t.handled == len(all) {
			return
		}
		if a := all[t.handled]; a.proc != nil {
			a.proc.drain()
		}
		t.handled++
	}
	w.scheduleAfter(t.duration/time.Duration((len(all)+t.batchSize-1)/t.batchSize), rankEnvironment, r)
}

// successor replaces a drained server by a new one.
type successor struct {
	injection *injection
	server    *server
}

func (n *successor) fire() {
	w, old := n.injection.w, n.server
	if old.process.state != processDown {
		old.stop()
	}
	var addr netip.AddrPort
	if n.injection.rng.Float64() < n.injection.sameAddress {
		addr = old.addr
	}
	s := w.newServer(old.zone, old.machine, addr)
	s.start(true)
	w.discovery.learnAfter(s.entry(balancer.Ready), w.discovery.joinDelay)
}

// healCheck measures the servers' utilization. A slowdown that heals ends once utilization has been
// below its threshold for its rest time; a higher load keeps it going.
type healCheck injection

func (h *healCheck) fire() {
	t := (*injection)(h)
	w := t.w
	if t.ended {
		return
	}
	used, cores := 0.0, 0.0
	for _, s := range w.servers {
		if p := s.process; p.state != processDown {
			p.advance()
			used += max(p.busy-t.lastBusy[s.number], 0)
			t.lastBusy[s.number] = p.busy
			cores += float64(s.machine.cores)
		}
	}
	if used < t.healThreshold*cores*healCheckInterval.Seconds() {
		t.calmTime += healCheckInterval
	} else {
		t.calmTime = 0
	}
	if t.calmTime > t.healTime {
		t.end()
		return
	}
	w.scheduleAfter(healCheckInterval, rankEnvironment, h)
}
