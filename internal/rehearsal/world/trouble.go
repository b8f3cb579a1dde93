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

// healStep is how often it is looked whether a shared slowdown heals.
const healStep = 100 * time.Millisecond

// trouble is something that goes wrong, as drawn for the day.
type trouble struct {
	w      *world
	number int // in the scenario
	name   string
	set    *scenario.Trouble
	chance stream

	at, lasts       time.Duration
	on, off         time.Duration // of one that comes and goes
	part, size      float64
	idle, drain     time.Duration
	late            stream // by which each connection is late, or not
	sameAddress     float64
	healsBelow      float64
	healsRest       time.Duration
	servers         []*server // that it has come over
	processes       []*process
	over            bool
	batch, replaced int                 // of a deploy, or of agents that are restarted in turn
	calm            time.Duration       // for which the servers have been less busy
	busy            map[int]float64     // of each server's process, when last looked at
	fault           mishap.Fault        // between agents
	fate            int                 // its number in the network
	lives           []*life             // that it has paused
	window          *maintenance.Window // that it is
}

// newTrouble draws a trouble. Its name is its kind and how many of that kind came before, so that others
// can be left out or added without changing it.
func newTrouble(w *world, number, nth int) *trouble {
	set := &w.set.Troubles[number]
	t := &trouble{w: w, number: number, set: set, name: fmt.Sprint("trouble ", set.Kind, " ", nth)}
	t.chance = newStream(w.seed, t.name)
	draw := func(v scenario.Span) float64 { return v.Draw(t.chance.Rand) }
	span := func(v scenario.TimeSpan) time.Duration { return v.Draw(t.chance.Rand) }
	t.at, t.lasts, t.part, t.size = span(set.At), span(set.For), draw(set.Part), draw(set.Size)
	t.idle, t.drain, t.sameAddress = span(set.Idle), span(set.Drain), draw(set.SameAddress)
	t.healsBelow, t.healsRest = draw(set.HealsBelow), span(set.HealsRest)
	t.on, t.off = span(set.On), span(set.Off)
	if set.Kind == scenario.Window {
		t.window = t.planWindow(span(set.Moves))
	}
	if set.Kind == scenario.LateConnections {
		t.late = newStream(w.seed, t.name+" connections")
	}
	if set.Kind == scenario.Datagrams {
		t.fault = mishap.FromTrouble(set, t.chance.Rand)
	}
	return t
}

type (
	troubleBegins trouble
	troubleEnds   trouble
)

func (b *troubleBegins) happen() {
	t := (*trouble)(b)
	w := t.w
	w.record.trouble(record.Began, t.number)
	w.active = append(w.active, t)
	w.mark(t.words())
	stays := t.lasts
	if t.on > 0 {
		stays = min(t.on, t.at+t.lasts-w.now)
	}
	w.after(stays, rankTrouble, (*troubleEnds)(t))
	switch t.set.Kind {
	case scenario.Silent, scenario.Failing, scenario.Refusing, scenario.Spoilt, scenario.FewConnections,
		scenario.OnWire:
		t.servers = t.pick()
		t.weigh()
	case scenario.Deploy:
		t.servers = t.pick()
		t.batch = max(int(math.Round(t.size*float64(w.set.Fleet.Servers))), 1)
		(*deployStep)(t).happen()
	case scenario.Vanished:
		t.servers = t.pick()
		for _, s := range t.servers {
			s.cutUntil = max(s.cutUntil, w.now+t.lasts)
			w.discovery.hears(s.entry(balancer.Gone), w.discovery.silentNotice)
		}
	case scenario.Crashed:
		t.servers, t.processes = t.pick(), nil
		for _, s := range t.servers {
			t.processes = append(t.processes, s.process)
			s.stop()
		}
	case scenario.AgentsKilled, scenario.AgentsRestarted:
		if t.size > 0 {
			t.batch = max(int(math.Round(t.size*float64(len(t.agents())))), 1)
			(*restartStep)(t).happen()
			break
		}
		for _, a := range t.agents() {
			a.kept++
			if t.set.Kind == scenario.AgentsKilled {
				a.kill()
				if t.set.Folder == "empty" {
					a.disk = nil
				}
			} else if a.life != nil {
				a.life.drain()
			}
		}
	case scenario.TakenOut:
		t.servers = t.pick()
		for _, a := range w.agents {
			a.takeOut(t.servers)
		}
		w.after(t.lasts/2, rankTrouble, (*restartByHand)(t))
	case scenario.Upgraded:
		for _, a := range w.agents[:min(t.set.Count, len(w.agents))] {
			a.upgrade()
		}
	case scenario.SentAway:
		for _, a := range w.agents[:min(t.set.Count, len(w.agents))] {
			a.sendAway()
		}
	case scenario.Window:
		t.beginWindow()
	case scenario.DiscoveryDown:
		w.discovery.stop()
	case scenario.WatchesSilent:
		t.silence()
	case scenario.EmptyList:
		w.discovery.empty()
	case scenario.Surge:
		t.surge()
	case scenario.ClientsLeave:
		t.leave()
	case scenario.Partition:
		zone := slices.Index(w.set.Network.Zones, t.set.Zone)
		w.zoneCut[zone] = max(w.zoneCut[zone], w.now+t.lasts)
	default:
		t.hinder()
	}
	w.weigh()
	if t.set.Kind == scenario.Slow && t.healsRest > 0 {
		t.busy = map[int]float64{}
		(*healLook)(t).happen()
	}
}

func (e *troubleEnds) happen() { (*trouble)(e).end() }

// end ends the trouble, unless it has ended before its time.
func (t *trouble) end() {
	w := t.w
	if t.over {
		return
	}
	t.over = true
	w.active = slices.DeleteFunc(w.active, func(u *trouble) bool { return u == t })
	w.record.trouble(record.Over, t.number)
	w.mark("over: " + t.words())
	switch t.set.Kind {
	case scenario.Silent, scenario.Failing, scenario.Refusing, scenario.Spoilt, scenario.FewConnections,
		scenario.OnWire:
		t.weigh()
	case scenario.Vanished:
		for _, s := range t.servers {
			if s.process.state != processDown && s.cutUntil <= w.now {
				w.discovery.hears(s.entry(s.standing()), w.discovery.join)
			}
		}
	case scenario.Crashed:
		t.startAgain()
	case scenario.AgentsKilled, scenario.AgentsRestarted:
		if t.size > 0 {
			break
		}
		for _, a := range t.agents() {
			a.kept--
			a.rise()
		}
	case scenario.TakenOut:
		t.startAgain()
		for _, a := range w.agents {
			a.putBack(t.servers)
		}
	case scenario.SentAway:
		for _, a := range w.agents[:min(t.set.Count, len(w.agents))] {
			a.takeAgain()
		}
	case scenario.DiscoveryDown:
		w.discovery.start()
	case scenario.EmptyList:
		w.discovery.refill()
	default:
		t.relieve()
	}
	w.weigh()
	if t.off > 0 && w.now+t.off < t.at+t.lasts {
		t.over = false
		w.after(t.off, rankTrouble, (*troubleBegins)(t))
	}
}

// startAgain starts the servers whose processes the trouble has ended, cold, but for those that were replaced
// meanwhile.
func (t *trouble) startAgain() {
	for i, s := range t.servers[:len(t.processes)] {
		if s.process == t.processes[i] && !s.left {
			s.start(true)
			t.w.discovery.hears(s.entry(balancer.Ready), t.w.discovery.join)
		}
	}
}

// pick chooses the trouble's part of the servers that run: by lots of their own, so that one more server
// does not change how the others stand.
func (t *trouble) pick() []*server {
	var running []*server
	zone := slices.Index(t.w.set.Network.Zones, t.set.Zone) // below zero: of all
	for _, s := range t.w.servers {
		if s.running() && (zone < 0 || s.zone == zone) {
			running = append(running, s)
		}
	}
	lots := make(map[*server]uint64, len(running))
	for _, s := range running {
		lots[s] = nameSeed(t.w.seed, t.name+" "+s.id)
	}
	slices.SortFunc(running, func(a, b *server) int { return cmp.Compare(lots[a], lots[b]) })
	n := max(int(math.Round(t.part*float64(len(running)))), 1)
	return running[:min(n, len(running))]
}

// weigh finds anew how the trouble's servers stand under all that has come over them.
func (t *trouble) weigh() {
	for _, s := range t.servers {
		silent := s.silent
		s.silent, s.refusing, s.mute = false, false, false
		s.fault, s.faulty = "", 0
		sound, readable := 1.0, 1.0
		s.accepting = 1
		for _, u := range t.w.active {
			if !slices.Contains(u.servers, s) {
				continue
			}
			switch u.set.Kind {
			case scenario.Silent:
				s.silent = true
			case scenario.Refusing:
				s.refusing = true
			case scenario.Failing:
				sound *= 1 - u.size
			case scenario.Spoilt:
				readable *= 1 - u.size
			case scenario.FewConnections:
				s.accepting *= u.size
			case scenario.OnWire:
				s.fault, s.faulty = u.set.Fault, u.size
				s.mute = s.mute || u.set.Fault == scenario.NoAccept
			}
		}
		s.failing, s.spoiling = 1-sound, 1-readable
		if p := s.process; p.state != processDown {
			p.change(func() {})
			if silent && !s.silent {
				p.thaw()
			}
		}
	}
}

// weigh finds anew how things stand that are alike for all.
func (w *world) weigh() {
	slow := 1.0
	w.resetting, w.forgetsAfter, w.keeps = 0, 0, 1
	w.datagramsLost = make([]float64, len(w.set.Network.Zones))
	for _, t := range w.active {
		switch t.set.Kind {
		case scenario.Slow:
			slow *= t.size
		case scenario.Reset:
			w.resetting = 1 - (1-w.resetting)*(1-t.size)
		case scenario.Forgotten:
			if w.forgetsAfter == 0 || t.idle < w.forgetsAfter {
				w.forgetsAfter = t.idle
			}
		case scenario.DatagramsLost:
			for i, zone := range w.set.Network.Zones {
				if t.set.Zone == "" || t.set.Zone == zone {
					w.datagramsLost[i] = max(w.datagramsLost[i], t.size)
				}
			}
		case scenario.Surge:
			w.keeps = min(w.keeps, t.size)
		}
	}
	if slow == w.slow {
		return
	}
	for _, s := range w.servers {
		if s.process.state != processDown {
			s.process.reckon()
		}
	}
	w.slow = slow
	for _, s := range w.servers {
		if s.process.state != processDown {
			s.process.replan()
		}
	}
}

// surge has more requests come, from sources of the trouble's own.
func (t *trouble) surge() {
	for _, a := range t.w.agents {
		s := &source{
			client: a.client, chance: newStream(t.w.seed, t.name+" "+a.name),
			perS: (t.size - 1) * t.w.perS * a.part, from: t.w.now, until: min(t.w.now+t.lasts, t.w.set.Day.Length),
		}
		s.start()
	}
}

// deployStep replaces the next servers of a deploy.
type deployStep trouble

func (d *deployStep) happen() {
	t := (*trouble)(d)
	w := t.w
	for range t.batch {
		if t.replaced == len(t.servers) {
			return
		}
		s := t.servers[t.replaced]
		t.replaced++
		if s.running() {
			s.leave()
			w.discovery.hears(s.entry(balancer.Draining), w.discovery.notice)
			w.after(t.drain, rankTrouble, &successor{trouble: t, server: s})
		}
	}
	batches := (len(t.servers) + t.batch - 1) / t.batch
	w.after(t.lasts/time.Duration(batches), rankTrouble, d)
}

// restartStep restarts the next agents of a rolling restart.
type restartStep trouble

func (r *restartStep) happen() {
	t := (*trouble)(r)
	w, all := t.w, t.agents()
	for range t.batch {
		if t.replaced == len(all) {
			return
		}
		if a := all[t.replaced]; a.life != nil {
			a.life.drain()
		}
		t.replaced++
	}
	w.after(t.lasts/time.Duration((len(all)+t.batch-1)/t.batch), rankTrouble, r)
}

// successor takes the place of a server that has drained.
type successor struct {
	trouble *trouble
	server  *server
}

func (n *successor) happen() {
	w, old := n.trouble.w, n.server
	if old.process.state != processDown {
		old.stop()
	}
	var addr netip.AddrPort
	if n.trouble.chance.Float64() < n.trouble.sameAddress {
		addr = old.addr
	}
	s := w.newServer(old.zone, old.machine, addr)
	s.start(true)
	w.discovery.hears(s.entry(balancer.Ready), w.discovery.join)
}

// healLook looks how busy the servers are. A slowdown that heals ends when they have been less busy than
// a share for a while: a load that keeps them busier keeps it alive.
type healLook trouble

func (h *healLook) happen() {
	t := (*trouble)(h)
	w := t.w
	if t.over {
		return
	}
	used, cores := 0.0, 0.0
	for _, s := range w.servers {
		if p := s.process; p.state != processDown {
			p.reckon()
			used += max(p.busy-t.busy[s.number], 0)
			t.busy[s.number] = p.busy
			cores += float64(s.machine.cores)
		}
	}
	if used < t.healsBelow*cores*healStep.Seconds() {
		t.calm += healStep
	} else {
		t.calm = 0
	}
	if t.calm > t.healsRest {
		t.end()
		return
	}
	w.after(healStep, rankTrouble, h)
}
