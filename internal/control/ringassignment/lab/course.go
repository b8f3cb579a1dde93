package lab

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/ringassignment"
	"dunestep/internal/simnet"
)

const (
	troubled = 80 * time.Second  // for how long a course has faults
	healed   = 220 * time.Second // and for how long none
)

// hears has an agent's list be another one.
func (l *Lab) hears(nd *node, list int) {
	nd.seen = max(nd.seen, list)
	for i, s := range l.lists[nd.seen] {
		if _, is := nd.missing[int32(i)]; s.listed && s.ready && !s.draining {
			delete(nd.missing, int32(i))
		} else if !is {
			nd.missing[int32(i)] = l.Now()
		}
	}
	if nd.council != nil {
		l.see(nd)
	}
}

// change has servers be otherwise, and all agents hear of it, each some time later.
func (l *Lab) change(do func()) {
	was := append([]server(nil), l.list...)
	do()
	for i := range was {
		if was[i].there() && !l.list[i].there() {
			l.list[i].lost = l.Now()
			l.list[i].losses = append(slices.Clone(l.list[i].losses), l.Now())
		}
	}
	l.lists = append(l.lists, append([]server(nil), l.list...))
	list := len(l.lists) - 1
	for _, nd := range l.nodes {
		l.At(l.Now()+nd.late, func() {
			if nd.life > 0 && !nd.deaf {
				l.hears(nd, list)
			}
		})
	}
}

// Vanish has a server be gone, with nothing said before.
func (l *Lab) Vanish(i int) { l.change(func() { l.list[i].listed = false }) }

// Back has it be there again, cold or as it was.
func (l *Lab) Back(i int, cold bool) {
	l.change(func() {
		l.list[i].listed, l.list[i].ready, l.list[i].draining = true, true, false
		if cold {
			l.list[i].started = l.Now()
		}
	})
}

// Drain has it drain, and go 3 s later.
func (l *Lab) Drain(i int) {
	l.change(func() { l.list[i].draining = true })
	l.At(l.Now()+3*time.Second, func() {
		if l.list[i].draining {
			l.Vanish(i)
		}
	})
}

// Join has a new server start, cold.
func (l *Lab) Join(capacity float64) {
	l.change(func() {
		l.list = append(l.list, server{
			name: name(len(l.list)), zone: string(rune('a' + len(l.list)%3)),
			capacity: capacity, listed: true, ready: true, started: l.Now(),
		})
	})
}

// Flap has a server vanish and be back, warm, so often.
func (l *Lab) Flap(i int, every time.Duration, times int) {
	for n := range times {
		l.At(l.Now()+time.Duration(2*n)*every, func() { l.Vanish(i) })
		l.At(l.Now()+time.Duration(2*n+1)*every, func() { l.Back(i, false) })
	}
}

// Replace has a part of the servers drain, each with a new one of its capacity in its place, within 7 s.
func (l *Lab) Replace(part float64) {
	for i := range int(part * float64(len(l.list))) {
		if s := l.list[i]; s.listed && !s.draining {
			at := l.Now() + time.Duration(l.Rand().Int64N(int64(7*time.Second)))
			l.At(at, func() { l.Drain(i) })
			l.At(at, func() { l.Join(s.capacity) })
		}
	}
}

// LoseZone has a zone vanish, and be back cold after a time.
func (l *Lab) LoseZone(zone string, back time.Duration) {
	for i := range l.list {
		if s := &l.list[i]; s.zone == zone && s.listed && !s.draining {
			l.Vanish(i)
			l.At(l.Now()+back+time.Duration(l.Rand().Int64N(int64(time.Second))), func() { l.Back(i, true) })
		}
	}
}

// Late has half of the agents hear of changes so much later.
func (l *Lab) Late(by time.Duration, until time.Duration) {
	l.slow = max(l.slow, by)
	for i := 0; i < len(l.nodes); i += 2 {
		nd := l.nodes[i]
		was := nd.late
		nd.late = by
		l.At(until, func() { nd.late = was })
	}
}

// Wild has each view tell capacities doubled or halved.
func (l *Lab) Wild(until time.Duration) {
	l.wild = true
	l.At(until, func() { l.wild = false })
}

// Course plays a fleet of servers among all faults, and then a while without.
func Course(seed uint64, agents int, without string) *Lab {
	warm := 9 * time.Second
	if seed%4 == 2 {
		warm = 40 * time.Second
	}
	l := New(Setup{
		Seed: seed, Agents: agents, Servers: 20, Keys: 1000, Warm: warm, Without: without,
		Faults: simnet.Faults{
			Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
			Late: 0.05, Lateness: 3 * time.Second,
		},
	})
	begin := l.Now()
	end := begin + troubled
	step := 200 * time.Millisecond
	if agents > 50 {
		step = time.Second
	}
	l.every(begin, end+healed, step, l.Sample)
	l.every(begin+8*time.Second, end, 5*time.Second, func() { l.trouble(end) })
	l.every(begin+8*time.Second, end, 2*time.Second, func() { l.fault(end) })
	if seed%4 == 1 {
		l.forgotten()
	} else {
		l.atSteps()
	}
	l.Run(end)
	l.heal()
	l.Run(end + healed)
	return l
}

func (l *Lab) every(from, to, step time.Duration, do func()) {
	for at := from; at < to; at += step {
		l.At(at+time.Duration(l.Rand().Int64N(int64(step))), do)
	}
}

// trouble has something happen to servers.
func (l *Lab) trouble(end time.Duration) {
	rng, i := l.Rand(), l.Rand().IntN(len(l.list))
	s := l.list[i]
	there := s.listed && s.ready && !s.draining
	left := max(end-l.Now(), time.Second)
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(min(d, left)))) }
	what := rng.IntN(10)
	if l.windowed() && rng.IntN(2) == 0 {
		what = 9
	}
	switch what {
	case 0, 1:
		if there {
			l.Flap(i, 2*time.Second, int(upTo(20*time.Second)/(4*time.Second)))
		}
	case 2:
		l.Join(s.capacity)
	case 3:
		if there {
			l.Drain(i)
		}
	case 4:
		if len(l.list) < 40 {
			l.Replace(0.6)
		}
	case 5:
		l.LoseZone(string(rune('a'+rng.IntN(3))), upTo(15*time.Second))
	case 6:
		l.Wild(l.Now() + upTo(30*time.Second))
	case 7:
		if there {
			l.Back(i, true) // began anew, and nobody saw it be gone
		}
	case 8:
		l.Late(5*time.Second, l.Now()+upTo(20*time.Second))
	case 9:
		if there && !s.window {
			ahead := 10*time.Second + upTo(20*time.Second)
			l.Window([]int{i}, ahead, l.quiet(), 1+rng.IntN(5))
			if l.windowed() {
				l.cutInside(ahead)
			}
		}
	}
}

// windowed tells whether a course has more windows than others.
func (l *Lab) windowed() bool { return l.set.Seed%4 == 3 }

// cutInside has an agent be cut off inside of a window that is so long ahead, until it is over.
func (l *Lab) cutInside(ahead time.Duration) {
	n := l.Rand().IntN(len(l.nodes))
	inside := ahead + windowMoves + time.Duration(l.Rand().Int64N(int64(l.quiet())))
	l.At(l.Now()+inside, func() { l.cutOff(n, l.Now()+ahead+2*windowMoves+l.quiet()+8*time.Second-inside) })
}

// fault has something happen to agents, for a while.
func (l *Lab) fault(end time.Duration) {
	rng := l.Rand()
	n := rng.IntN(len(l.nodes))
	if rng.IntN(3) == 0 {
		n = rng.IntN(voters)
	}
	until := min(l.Now()+time.Duration(rng.Int64N(int64(8*time.Second))), end)
	switch rng.IntN(7) {
	case 0:
		l.Pause(n, until)
	case 1:
		l.cut(n, rng.IntN(len(l.nodes)), until)
	case 2: // from all, one way
		for i := range l.nodes {
			l.cut(i, n, until)
		}
	case 3:
		l.cutOff(n, until)
	case 4: // a third of all
		for i := n % 3; i < len(l.nodes); i += 3 {
			l.cutOff(i, until)
		}
	case 5:
		t := l.terms
		l.SetClock(n, time.Duration((2*rng.Float64()-1)*float64(t.MaxClockError)), 1+(2*rng.Float64()-1)*t.MaxDrift)
	case 6:
		l.restart(n, until)
	}
}

func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	keeps := l.Rand().IntN(2) == 0
	l.At(until, func() {
		if l.nodes[n].life == 0 {
			l.Start(n, keeps)
		}
	})
}

// atSteps has the leader end, or others be cut off, right after a generation was agreed on.
func (l *Lab) atSteps() {
	left := l.Rand().IntN(6)
	l.proposed = func() {
		if l.Rand().IntN(3) == 0 {
			l.cutOff(l.Rand().IntN(len(l.nodes)), l.Now()+4*time.Second)
		}
		if left--; left > 0 || l.leader < 0 {
			return
		}
		left = 1 + l.Rand().IntN(6)
		l.restart(l.leader, l.Now()+time.Duration(l.Rand().Int64N(int64(3*time.Second))))
	}
}

// forgotten has an agent be cut off that still holds leases, right as a generation was agreed on, and all
// voters forget that they granted them.
func (l *Lab) forgotten() {
	left := 0
	l.proposed = func() {
		if left--; left > 0 {
			return
		}
		left = 3 + l.Rand().IntN(3)
		l.cutOff(voters+l.Rand().IntN(len(l.nodes)-voters), l.Now()+4*time.Second)
		for v := range voters {
			l.Stop(v)
			l.At(l.Now()+50*time.Millisecond, func() {
				if l.nodes[v].life == 0 {
					l.Start(v, true)
				}
			})
		}
	}
}

func (l *Lab) cutOff(n int, until time.Duration) {
	for i := range l.nodes {
		l.cut(i, n, until)
		l.cut(n, i, until)
	}
}

func (l *Lab) cut(from, to int, until time.Duration) {
	if from == to {
		return
	}
	l.SetCut(from, to, true)
	l.At(until, func() { l.SetCut(from, to, false) })
}

// heal has all run and reach each other, and all servers that are listed be ready.
func (l *Lab) heal() {
	l.proposed, l.wild = nil, false
	for n := range l.nodes {
		if l.nodes[n].life == 0 {
			l.Start(n, false)
		}
		for i := range l.nodes {
			l.SetCut(n, i, false)
		}
		l.nodes[n].late = min(l.nodes[n].late, mostLate)
	}
	l.Faults = simnet.Faults{Loss: 0.01, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}
}

// Settled tells what is not as it should be at the end; empty: all have one generation, in which all servers
// that are ready are whole, and no other has points.
func (l *Lab) Settled() string {
	st := l.State()
	for i, nd := range l.nodes {
		if p := nd.agent.Assignment(l.reading(i), l.standing(nd)); p == nil || p.Generation != st.Number {
			return fmt.Sprint("agent ", i, " is not on generation ", st.Number)
		}
	}
	ready := map[string]bool{}
	for _, s := range l.list {
		if s.listed && s.ready && !s.draining {
			ready[s.name] = true
		}
	}
	for _, n := range st.Members {
		switch {
		case ready[n.ID] && (n.Phase != ringassignment.Complete || n.FullPoints != 0):
			return fmt.Sprintf("%s is %v with %d points of %d", n.ID, n.Phase, n.Points, n.FullPoints)
		case !ready[n.ID] && n.OnRing() > 0:
			return fmt.Sprintf("%s is %v with %d points, and is not ready", n.ID, n.Phase, n.Points)
		}
		delete(ready, n.ID)
	}
	if len(ready) > 0 {
		return fmt.Sprint("not in the generation: ", ready)
	}
	return ""
}

// Fullest is how much the fullest server has of its part by capacity at an agent, over so many keys.
func (l *Lab) Fullest(agent, keys int) float64 {
	nd := l.nodes[agent]
	p := nd.agent.Assignment(l.reading(agent), l.standing(nd))
	if l.set.Without == All {
		p = nil
	}
	was := l.set.Keys
	l.set.Keys = keys
	owners := l.rings.place(l.rings.points(p, l.lists[nd.seen]), l.avoid(nd))
	l.set.Keys = was
	counts, all := map[int32]int{}, 0.0
	for _, o := range owners {
		counts[o]++
	}
	for i := range l.list {
		if (truth{l}).IsReady(int32(i)) {
			all += l.list[i].capacity
		}
	}
	most := 0.0
	for o, n := range counts {
		most = max(most, float64(n)/float64(keys)/(l.list[o].capacity/all))
	}
	return most
}
