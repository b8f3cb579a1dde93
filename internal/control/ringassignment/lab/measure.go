package lab

import (
	"slices"
	"time"

	"dunestep/internal/control/ringassignment/judge"
	"dunestep/internal/simnet"
)

// Events are the events that Measure can inject into a stable fleet.
var Events = []string{
	"join", "drain", "replace", "flap", "zone", "wild", "late", "window", "restarts",
	"window cut", "capacity", "cut", "foreseen", "half foreseen", "misjudged", "third", "third misjudged",
}

// Result is the effect of an event at one agent, in fractions of all keys.
type Result struct {
	Moved        float64 // moves of keys to another server
	MinMoved     float64 // minimum with knowledge of the future: see meter.minMoved
	Forced       float64 // minimum without knowledge of the future: see meter.forced
	ColdRequests float64 // requests of keys that were new to the server's process
	FinalMaxLoad float64 // maximum load of a server at the end, relative to its capacity
	PeakLoad     float64 // maximum load of a usable server at any time, relative to its capacity
	LateReturn   float64 // fraction of the keys of servers in windows that is elsewhere 1 s after the end
	Generations  int
	Violations   int
}

const (
	settleTime = 200 * time.Second // time until the first generation matches the capacities
	eventTime  = 150 * time.Second // duration of an event and its consequences
)

// Measure simulates one event in a fleet with servers of two capacities.
func Measure(seed uint64, agents, servers int, without, event string) Result {
	l := New(Setup{
		Seed: seed, Agents: agents, Servers: servers, Keys: 5000, Without: without,
		Faults: simnet.Faults{Loss: 0.01, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond},
	})
	l.Run(l.Now() + settleTime)
	l.Sample()
	m := &meter{l: l, agent: agents - 1, everUnusable: map[int32]bool{}, seenKeys: map[int32]*processKeys{}}
	m.start()
	generation := l.State().Number
	for at := time.Duration(0); at < eventTime; at += 100 * time.Millisecond {
		l.At(l.Now()+at, m.sample)
	}
	l.injectEvent(event)
	l.At(l.Now()+10*time.Second+2*windowMoveTime+61*time.Second, func() {
		m.lateReturn = m.movedFraction(len(l.servers) / 10)
	})
	l.Run(l.Now() + eventTime)
	l.Sample()
	keys := float64(l.setup.Keys)
	return Result{
		Moved: float64(m.moved) / keys, MinMoved: m.minMoved(), Forced: m.forced(),
		ColdRequests: float64(m.coldRequests) / keys, LateReturn: m.lateReturn, PeakLoad: m.peakLoad,
		FinalMaxLoad: l.MaxLoad(m.agent, 100_000), Generations: int(l.State().Number - generation),
		Violations: l.Judge.Count,
	}
}

// planTestWindow plans a window for the first servers, during which they restart a number of times.
func (l *Lab) planTestWindow(servers, restarts int) {
	var numbers []int
	for i := range servers {
		numbers = append(numbers, i)
	}
	l.PlanWindow(numbers, 10*time.Second, 60*time.Second, restarts)
}

// injectEvent starts an event of Events.
func (l *Lab) injectEvent(event string) {
	after := func(d time.Duration, do func()) { l.At(l.Now()+d, do) }
	tenth := len(l.servers) / 10
	isReplaced := func(i int) bool { return i < 6*tenth }
	switch event {
	case "join":
		for i := range tenth {
			after(time.Duration(i)*200*time.Millisecond, func() { l.Join(l.servers[i].capacity) })
		}
	case "drain":
		for i := range tenth {
			after(time.Duration(i)*200*time.Millisecond, func() { l.Drain(i) })
		}
	case "replace":
		l.Replace(0.6)
	case "third":
		l.Replace(0.3)
	case "foreseen":
		l.replaceWithAssumption(0.6, isReplaced)
	case "half foreseen":
		l.replaceWithAssumption(0.6, func(i int) bool { return isReplaced(i) && i%2 == 0 })
	case "misjudged":
		l.replaceWithAssumption(0.6, func(i int) bool { return i*37%(10*tenth) < 6*tenth })
	case "third misjudged":
		l.replaceWithAssumption(0.3, isReplaced)
	case "flap":
		l.Flap(0, 2*time.Second, 10)
	case "zone":
		l.LoseZone("a", 15*time.Second)
	case "wild":
		l.FalsifyCapacities(l.Now() + 30*time.Second)
	case "late":
		l.DelayLists(5*time.Second, l.Now()+60*time.Second)
		l.injectEvent("join")
		after(5*time.Second, func() { l.injectEvent("drain") })
	case "window":
		l.planTestWindow(tenth, 1)
	case "restarts":
		l.planTestWindow(tenth, 6)
	case "window cut":
		l.planTestWindow(tenth, 1)
		after(10*time.Second+windowMoveTime+20*time.Second, func() {
			l.cutOff(len(l.nodes)-1, l.Now()+80*time.Second)
		})
	case "capacity":
		l.changeServers(func() {
			for i := range tenth {
				l.servers[i].capacity *= 0.5
			}
		})
	case "cut":
		for i := 0; i < len(l.nodes); i += 3 {
			l.cutOff(i, l.Now()+30*time.Second)
		}
		l.injectEvent("join")
	}
}

// replaceWithAssumption replaces a fraction of the servers. Between 0.5 s and 10 s after the start, leaders
// assume that certain servers are draining.
func (l *Lab) replaceWithAssumption(fraction float64, assumed func(int) bool) {
	initialCount := len(l.servers)
	l.At(l.Now()+500*time.Millisecond, func() {
		l.assumedDraining = func(i int) bool { return i < initialCount && assumed(i) }
	})
	l.At(l.Now()+10*time.Second, func() { l.assumedDraining = nil })
	l.Replace(fraction)
}

// meter measures the moved keys of one agent.
type meter struct {
	l                 *Lab
	agent             int
	initialOwners     judge.Owners
	currentOwners     judge.Owners
	everUnusable      map[int32]bool // servers that were unusable at some time
	seenKeys          map[int32]*processKeys
	nextTenth         int
	coldRequests      int
	moved             int
	movedFromUnusable int          // number of these moves from unusable servers
	ownersAfterLoss   judge.Owners // owner of each key after its last such move
	lateReturn        float64
	peakLoad          float64
}

// processKeys are the keys that a server's process has received.
type processKeys struct {
	startedAt time.Duration
	keys      []bool
}

// owners returns the present owners of all keys at the agent.
func (m *meter) owners() judge.Owners {
	nd := m.l.nodes[m.agent]
	assignment := nd.agent.Assignment(m.l.reading(m.agent), m.l.standing(nd))
	if m.l.setup.Without != WithoutGenerations {
		return *m.l.rings.ownersFor(assignment, nd.list, m.l.exclusions(nd))
	}
	// Without agreed generations, each agent assigns keys by its own list. Its slow-start budget limits the
	// requests that it sends to a server in slow start; the rest go to other servers. A real agent decides for
	// each request, so requests of the same key can alternate between servers. Here a hash of the key and the
	// server decides, so fewer keys move than at a real agent.
	r, list := &m.l.rings, m.l.lists[nd.list]
	exclusions := m.l.exclusions(nd)
	r.ownersOf(r.usablePoints(nil, list), exclusions)
	allowed := r.allowsKey(exclusions)
	return r.assignKeys(func(key int, server int32) bool {
		if !allowed(key, server) {
			return false
		}
		slowStart := truth{m.l}.SlowStartFraction(server, m.l.Now()+time.Minute)
		return slowStart == 1 || float64((r.keys[key]^uint32(server)*0x85ebca6b)*0x9E3779B1)/(1<<32) < slowStart
	})
}

// start records the present owners, and marks each key as received by its owner.
func (m *meter) start() {
	m.initialOwners = m.owners()
	m.currentOwners, m.ownersAfterLoss = m.initialOwners, slices.Clone(m.initialOwners)
	for k, o := range m.initialOwners {
		m.receiveRequest(int32(k), o)
	}
	m.coldRequests = 0
}

// receiveRequest counts a request of a key at a server. It is a cold request if the server's process has
// not received the key before.
func (m *meter) receiveRequest(key, server int32) {
	if server == judge.NoOwner {
		return
	}
	received := m.seenKeys[server]
	if startedAt := m.l.servers[server].startedAt; received == nil || received.startedAt != startedAt {
		received = &processKeys{startedAt, make([]bool, m.l.setup.Keys)}
		m.seenKeys[server] = received
	}
	if !received.keys[key] {
		received.keys[key] = true
		m.coldRequests++
	}
}

// sample takes a sample for the judge and sends a request of every tenth key.
func (m *meter) sample() {
	m.l.Sample()
	former := m.currentOwners
	m.currentOwners = m.owners()
	for k := range former {
		if m.currentOwners[k] != former[k] && former[k] != judge.NoOwner {
			m.moved++
			if !(truth{m.l}).IsReady(former[k]) {
				m.movedFromUnusable++
				m.ownersAfterLoss[k] = m.currentOwners[k]
			}
		}
	}
	m.peakLoad = max(m.peakLoad, m.maxLoad())
	for k := m.nextTenth; k < len(m.currentOwners); k += 10 {
		m.receiveRequest(int32(k), m.currentOwners[k])
	}
	m.nextTenth = (m.nextTenth + 1) % 10
	for i, s := range m.l.lists[m.l.nodes[m.agent].list] {
		if !s.listed || !s.ready || s.draining {
			m.everUnusable[int32(i)] = true
		}
	}
}

// maxLoad returns the maximum over all usable servers of the server's fraction of the keys, relative to its
// fraction of the usable capacity.
func (m *meter) maxLoad() (maxLoad float64) {
	keys, capacity := map[int32]float64{}, 0.0
	for _, o := range m.currentOwners {
		keys[o]++
	}
	for i, s := range m.l.servers {
		if (truth{m.l}).IsReady(int32(i)) {
			capacity += s.capacity
		}
	}
	for o, n := range keys {
		if o != judge.NoOwner && (truth{m.l}).IsReady(o) {
			maxLoad = max(maxLoad, n/float64(len(m.currentOwners))*capacity/m.l.servers[o].capacity)
		}
	}
	return maxLoad
}

// movedFraction returns the fraction of the first servers' initial keys that have another owner now.
func (m *meter) movedFraction(servers int) float64 {
	count, moved := 0, 0
	for k, o := range m.initialOwners {
		if int(o) < servers && o != judge.NoOwner {
			if count++; m.currentOwners[k] != o {
				moved++
			}
		}
	}
	return float64(moved) / float64(max(count, 1))
}

// minMoved returns the minimum number of moves with knowledge of the future, as a fraction of all keys:
// away from servers that became unusable, and to the final owners.
func (m *meter) minMoved() float64 {
	moves := 0
	for k, o := range m.initialOwners {
		switch {
		case m.everUnusable[o] && m.currentOwners[k] == o:
			moves += 2
		case m.everUnusable[o] || m.currentOwners[k] != o:
			moves++
		}
	}
	return float64(moves) / float64(len(m.initialOwners))
}

// forced returns the minimum number of moves without knowledge of the future, as a fraction of all keys:
// each move away from a server that was unusable then, and one more for each key whose final owner differs
// from the one after its last such move.
func (m *meter) forced() float64 {
	moves := m.movedFromUnusable
	for k, o := range m.ownersAfterLoss {
		if m.currentOwners[k] != o {
			moves++
		}
	}
	return float64(moves) / float64(len(m.ownersAfterLoss))
}
