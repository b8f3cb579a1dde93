package lab

import (
	"slices"
	"time"

	"dunestep/internal/control/ringassignment/judge"
	"dunestep/internal/simnet"
)

// Events are what Measure can have happen to a quiet fleet.
var Events = []string{
	"join", "drain", "replace", "flap", "zone", "wild", "late", "window", "restarts",
	"window cut", "capacity", "cut", "foreseen", "half foreseen", "misjudged", "third", "third misjudged",
}

// Result is what an event did at an agent, as parts of all keys.
type Result struct {
	Moved       float64 // keys that went to another server, each time that they did
	Least       float64 // moves that are left with hindsight: see meter.least
	Forced      float64 // and without: see meter.forced
	Cold        float64 // keys that met a server without them
	Fullest     float64 // the fullest server in the end, against its part by capacity
	Worst       float64 // the fullest server that could be used, at any moment
	Late        float64 // of the keys of servers in windows, the part elsewhere a second after the windows' end
	Generations int
	Breaches    int
}

const (
	settles = 200 * time.Second // until the first generation has become that of the capacities
	lasts   = 150 * time.Second // an event and what it brings
)

// Measure plays one event in a fleet of so many servers of two kinds.
func Measure(seed uint64, agents, servers int, without, event string) Result {
	l := New(Setup{
		Seed: seed, Agents: agents, Servers: servers, Keys: 5000, Without: without,
		Faults: simnet.Faults{Loss: 0.01, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond},
	})
	l.Run(l.Now() + settles)
	l.Sample()
	m := &meter{l: l, agent: agents - 1, lost: map[int32]bool{}, has: map[int32]*has{}}
	m.begin()
	generation := l.State().Number
	for at := time.Duration(0); at < lasts; at += 100 * time.Millisecond {
		l.At(l.Now()+at, m.sample)
	}
	l.happens(event)
	l.At(l.Now()+10*time.Second+2*windowMoves+61*time.Second, func() { m.late = m.off(len(l.list) / 10) })
	l.Run(l.Now() + lasts)
	l.Sample()
	keys := float64(l.set.Keys)
	return Result{
		Moved: float64(m.moved) / keys, Least: m.least(), Forced: m.forced(),
		Cold: float64(m.cold) / keys, Late: m.late, Worst: m.worst,
		Fullest: l.Fullest(m.agent, 100_000), Generations: int(l.State().Number - generation),
		Breaches: l.Judge.Count,
	}
}

// inWindow has so many servers be in a planned window, within which they begin anew so often.
func (l *Lab) inWindow(servers, anew int) {
	var of []int
	for i := range servers {
		of = append(of, i)
	}
	l.Window(of, 10*time.Second, 60*time.Second, anew)
}

func (l *Lab) happens(event string) {
	after := func(d time.Duration, do func()) { l.At(l.Now()+d, do) }
	tenth := len(l.list) / 10
	sixty := func(i int) bool { return i < 6*tenth }
	switch event {
	case "join":
		for i := range tenth {
			after(time.Duration(i)*200*time.Millisecond, func() { l.Join(l.list[i].capacity) })
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
		l.foresee(0.6, sixty)
	case "half foreseen":
		l.foresee(0.6, func(i int) bool { return sixty(i) && i%2 == 0 })
	case "misjudged":
		l.foresee(0.6, func(i int) bool { return i*37%(10*tenth) < 6*tenth })
	case "third misjudged":
		l.foresee(0.3, sixty)
	case "flap":
		l.Flap(0, 2*time.Second, 10)
	case "zone":
		l.LoseZone("a", 15*time.Second)
	case "wild":
		l.Wild(l.Now() + 30*time.Second)
	case "late":
		l.Late(5*time.Second, l.Now()+60*time.Second)
		l.happens("join")
		after(5*time.Second, func() { l.happens("drain") })
	case "window":
		l.inWindow(tenth, 1)
	case "restarts":
		l.inWindow(tenth, 6)
	case "window cut":
		l.inWindow(tenth, 1)
		after(10*time.Second+windowMoves+20*time.Second, func() {
			l.cutOff(len(l.nodes)-1, l.Now()+80*time.Second)
		})
	case "capacity":
		l.change(func() {
			for i := range tenth {
				l.list[i].capacity *= 0.5
			}
		})
	case "cut":
		for i := 0; i < len(l.nodes); i += 3 {
			l.cutOff(i, l.Now()+30*time.Second)
		}
		l.happens("join")
	}
}

// foresee has a part of the servers be replaced, and leaders take some for draining as soon as the first do.
func (l *Lab) foresee(part float64, thought func(int) bool) {
	began := len(l.list)
	l.At(l.Now()+500*time.Millisecond, func() {
		l.thought = func(i int) bool { return i < began && thought(i) }
	})
	l.At(l.Now()+10*time.Second, func() { l.thought = nil })
	l.Replace(part)
}

// meter watches one agent.
type meter struct {
	l     *Lab
	agent int
	from  judge.Owners
	now   judge.Owners
	lost  map[int32]bool // servers that could not be used at some time
	has   map[int32]*has
	turn  int
	cold  int
	moved int
	away  int          // of these, from servers that could not be used
	after judge.Owners // who had each key after its last move of that kind
	late  float64
	worst float64
}

// has are the keys that a server's process has had.
type has struct {
	started time.Duration
	keys    []bool
}

func (m *meter) owners() judge.Owners {
	nd := m.l.nodes[m.agent]
	p := nd.agent.Assignment(m.l.reading(m.agent), m.l.standing(nd))
	if m.l.set.Without != All {
		return *m.l.rings.of(p, nd.seen, m.l.avoid(nd))
	}
	// Without generations each agent gives a cold server what its budget allows, and passes the rest of its keys
	// on; here these are the same keys at each moment, which is better than what budgets do.
	r, list := &m.l.rings, m.l.lists[nd.seen]
	a := m.l.avoid(nd)
	r.place(r.points(nil, list), a)
	open := r.open(a)
	return r.walk(func(k int, o int32) bool {
		if !open(k, o) {
			return false
		}
		warm := truth{m.l}.SlowStartFraction(o, m.l.Now()+time.Minute)
		return warm == 1 || float64((r.keys[k]^uint32(o)*0x85ebca6b)*0x9E3779B1)/(1<<32) < warm
	})
}

// begin has each server have all keys that it owns now.
func (m *meter) begin() {
	m.from = m.owners()
	m.now, m.after = m.from, slices.Clone(m.from)
	for k, o := range m.from {
		m.meets(int32(k), o)
	}
	m.cold = 0
}

// meets tells a server of a request.
func (m *meter) meets(key, o int32) {
	if o == judge.NoOwner {
		return
	}
	h := m.has[o]
	if s := m.l.list[o].started; h == nil || h.started != s {
		h = &has{s, make([]bool, m.l.set.Keys)}
		m.has[o] = h
	}
	if !h.keys[key] {
		h.keys[key] = true
		m.cold++
	}
}

// sample has each tenth key come, and the judge hear.
func (m *meter) sample() {
	m.l.Sample()
	was := m.now
	m.now = m.owners()
	for k := range was {
		if m.now[k] != was[k] && was[k] != judge.NoOwner {
			m.moved++
			if !(truth{m.l}).IsReady(was[k]) {
				m.away++
				m.after[k] = m.now[k]
			}
		}
	}
	m.worst = max(m.worst, m.fullest())
	for k := m.turn; k < len(m.now); k += 10 {
		m.meets(int32(k), m.now[k])
	}
	m.turn = (m.turn + 1) % 10
	for i, s := range m.l.lists[m.l.nodes[m.agent].seen] {
		if !s.listed || !s.ready || s.draining {
			m.lost[int32(i)] = true
		}
	}
}

// fullest is the fullest server that can be used now, against its part by capacity of those that can.
func (m *meter) fullest() (most float64) {
	keys, all := map[int32]float64{}, 0.0
	for _, o := range m.now {
		keys[o]++
	}
	for i, s := range m.l.list {
		if (truth{m.l}).IsReady(int32(i)) {
			all += s.capacity
		}
	}
	for o, n := range keys {
		if o != judge.NoOwner && (truth{m.l}).IsReady(o) {
			most = max(most, n/float64(len(m.now))*all/m.l.list[o].capacity)
		}
	}
	return most
}

// off is the part of the first servers' keys that are elsewhere now.
func (m *meter) off(servers int) float64 {
	had, off := 0, 0
	for k, o := range m.from {
		if int(o) < servers && o != judge.NoOwner {
			if had++; m.now[k] != o {
				off++
			}
		}
	}
	return float64(off) / float64(max(had, 1))
}

// least is how often keys had to move for who knows all that will come: away from servers that were lost, and
// to who has them in the end.
func (m *meter) least() float64 {
	moves := 0
	for k, o := range m.from {
		switch {
		case m.lost[o] && m.now[k] == o:
			moves += 2
		case m.lost[o] || m.now[k] != o:
			moves++
		}
	}
	return float64(moves) / float64(len(m.from))
}

// forced is least for who cannot know what will come: each move away from a server that could not be used at
// that moment, and one more for each key that ends elsewhere than the last such move left it.
func (m *meter) forced() float64 {
	moves := m.away
	for k, o := range m.after {
		if m.now[k] != o {
			moves++
		}
	}
	return float64(moves) / float64(len(m.after))
}
