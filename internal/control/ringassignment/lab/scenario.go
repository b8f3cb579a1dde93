package lab

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/control/ringassignment"
	"dunestep/internal/simnet"
)

const (
	faultyTime  = 80 * time.Second  // duration of the part with faults
	healthyTime = 220 * time.Second // duration of the part without faults that follows
)

// receiveList replaces an agent's endpoint list by the one with the given index in Lab.lists, unless it has a
// newer one. A voter's proposer gets the new view at once.
func (l *Lab) receiveList(nd *node, list int) {
	nd.list = max(nd.list, list)
	for i, s := range l.lists[nd.list] {
		if _, known := nd.unusableSince[int32(i)]; s.listed && s.ready && !s.draining {
			delete(nd.unusableSince, int32(i))
		} else if !known {
			nd.unusableSince[int32(i)] = l.Now()
		}
	}
	if nd.proposer != nil {
		l.setView(nd)
	}
}

// changeServers calls do, which changes the servers. All agents receive the new list, each after its own
// delay.
func (l *Lab) changeServers(do func()) {
	former := append([]server(nil), l.servers...)
	do()
	for i := range former {
		if former[i].isUsable() && !l.servers[i].isUsable() {
			l.servers[i].lostAt = l.Now()
			l.servers[i].lossTimes = append(slices.Clone(l.servers[i].lossTimes), l.Now())
		}
	}
	l.lists = append(l.lists, append([]server(nil), l.servers...))
	list := len(l.lists) - 1
	for _, nd := range l.nodes {
		l.At(l.Now()+nd.listDelay, func() {
			if nd.incarnation > 0 && !nd.isCutFromLists {
				l.receiveList(nd, list)
			}
		})
	}
}

// Remove takes a server off the list without a drain.
func (l *Lab) Remove(i int) { l.changeServers(func() { l.servers[i].listed = false }) }

// Restore lists a server again. If it is cold, it has just started.
func (l *Lab) Restore(i int, cold bool) {
	l.changeServers(func() {
		l.servers[i].listed, l.servers[i].ready, l.servers[i].draining = true, true, false
		if cold {
			l.servers[i].startedAt = l.Now()
		}
	})
}

// Drain starts to drain a server, and removes it 3 s later.
func (l *Lab) Drain(i int) {
	l.changeServers(func() { l.servers[i].draining = true })
	l.At(l.Now()+3*time.Second, func() {
		if l.servers[i].draining {
			l.Remove(i)
		}
	})
}

// Join adds a new server, which has just started.
func (l *Lab) Join(capacity float64) {
	l.changeServers(func() {
		l.servers = append(l.servers, server{
			name: serverName(len(l.servers)), zone: string(rune('a' + len(l.servers)%3)),
			capacity: capacity, listed: true, ready: true, startedAt: l.Now(),
		})
	})
}

// Flap removes a server and restores it warm a number of times, with an interval between any two changes.
func (l *Lab) Flap(i int, interval time.Duration, times int) {
	for n := range times {
		l.At(l.Now()+time.Duration(2*n)*interval, func() { l.Remove(i) })
		l.At(l.Now()+time.Duration(2*n+1)*interval, func() { l.Restore(i, false) })
	}
}

// Replace drains a fraction of the servers, and adds a new one of the same capacity for each, at random
// times within 7 s.
func (l *Lab) Replace(fraction float64) {
	for i := range int(fraction * float64(len(l.servers))) {
		if s := l.servers[i]; s.listed && !s.draining {
			at := l.Now() + time.Duration(l.Rand().Int64N(int64(7*time.Second)))
			l.At(at, func() { l.Drain(i) })
			l.At(at, func() { l.Join(s.capacity) })
		}
	}
}

// LoseZone removes all servers of a zone, and restores them cold after a time and up to a second more.
func (l *Lab) LoseZone(zone string, after time.Duration) {
	for i := range l.servers {
		if s := &l.servers[i]; s.zone == zone && s.listed && !s.draining {
			l.Remove(i)
			l.At(l.Now()+after+time.Duration(l.Rand().Int64N(int64(time.Second))), func() { l.Restore(i, true) })
		}
	}
}

// DelayLists delays the lists of every second agent until a time.
func (l *Lab) DelayLists(delay time.Duration, until time.Duration) {
	l.maxInjectedDelay = max(l.maxInjectedDelay, delay)
	for i := 0; i < len(l.nodes); i += 2 {
		nd := l.nodes[i]
		former := nd.listDelay
		nd.listDelay = delay
		l.At(until, func() { nd.listDelay = former })
	}
}

// FalsifyCapacities halves or doubles half of the capacities in each view at random, until a time.
func (l *Lab) FalsifyCapacities(until time.Duration) {
	l.hasWrongCapacities = true
	l.At(until, func() { l.hasWrongCapacities = false })
}

// RunScenario runs a fleet with all faults for faultyTime, and then without faults for healthyTime. It
// returns the Lab at the end.
func RunScenario(seed uint64, agents int, without string) *Lab {
	slowStartDuration := 9 * time.Second
	if seed%4 == 2 {
		slowStartDuration = 40 * time.Second
	}
	l := New(Setup{
		Seed: seed, Agents: agents, Servers: 20, Keys: 1000, SlowStartDuration: slowStartDuration, Without: without,
		Faults: simnet.Faults{
			Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond,
			Late: 0.05, Lateness: 3 * time.Second,
		},
	})
	start := l.Now()
	end := start + faultyTime
	step := 200 * time.Millisecond
	if agents > 50 {
		step = time.Second
	}
	l.every(start, end+healthyTime, step, l.Sample)
	l.every(start+8*time.Second, end, 5*time.Second, func() { l.injectServerFault(end) })
	l.every(start+8*time.Second, end, 2*time.Second, func() { l.injectAgentFault(end) })
	if seed%4 == 1 {
		l.loseLeasesAtRecords()
	} else {
		l.injectFaultsAtRecords()
	}
	l.Run(end)
	l.heal()
	l.Run(end + healthyTime)
	return l
}

// every calls do once in each step between two true times, at a random time within the step.
func (l *Lab) every(from, to, step time.Duration, do func()) {
	for at := from; at < to; at += step {
		l.At(at+time.Duration(l.Rand().Int64N(int64(step))), do)
	}
}

// injectServerFault injects a random change of the servers, or of what agents know of them.
func (l *Lab) injectServerFault(end time.Duration) {
	rng, i := l.Rand(), l.Rand().IntN(len(l.servers))
	s := l.servers[i]
	isUsable := s.listed && s.ready && !s.draining
	remaining := max(end-l.Now(), time.Second)
	upTo := func(d time.Duration) time.Duration { return time.Duration(rng.Int64N(int64(min(d, remaining)))) }
	event := rng.IntN(10)
	if l.hasManyWindows() && rng.IntN(2) == 0 {
		event = 9
	}
	switch event {
	case 0, 1:
		if isUsable {
			l.Flap(i, 2*time.Second, int(upTo(20*time.Second)/(4*time.Second)))
		}
	case 2:
		l.Join(s.capacity)
	case 3:
		if isUsable {
			l.Drain(i)
		}
	case 4:
		if len(l.servers) < 40 {
			l.Replace(0.6)
		}
	case 5:
		l.LoseZone(string(rune('a'+rng.IntN(3))), upTo(15*time.Second))
	case 6:
		l.FalsifyCapacities(l.Now() + upTo(30*time.Second))
	case 7:
		if isUsable {
			l.Restore(i, true) // restarted, without being unlisted in between
		}
	case 8:
		l.DelayLists(5*time.Second, l.Now()+upTo(20*time.Second))
	case 9:
		if isUsable && !s.hasWindow {
			ahead := 10*time.Second + upTo(20*time.Second)
			l.PlanWindow([]int{i}, ahead, l.emptyTime(), 1+rng.IntN(5))
			if l.hasManyWindows() {
				l.cutOffDuringWindow(ahead)
			}
		}
	}
}

// hasManyWindows reports whether the scenario has more maintenance windows than others.
func (l *Lab) hasManyWindows() bool { return l.setup.Seed%4 == 3 }

// cutOffDuringWindow cuts off a random agent during a window that starts after a time, until the window is
// over.
func (l *Lab) cutOffDuringWindow(ahead time.Duration) {
	n := l.Rand().IntN(len(l.nodes))
	delay := ahead + windowMoveTime + time.Duration(l.Rand().Int64N(int64(l.emptyTime())))
	l.At(l.Now()+delay, func() {
		l.cutOff(n, l.Now()+ahead+2*windowMoveTime+l.emptyTime()+8*time.Second-delay)
	})
}

// injectAgentFault injects a random fault of agents, which ends before end at the latest.
func (l *Lab) injectAgentFault(end time.Duration) {
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
	case 2: // all messages to the agent
		for i := range l.nodes {
			l.cut(i, n, until)
		}
	case 3:
		l.cutOff(n, until)
	case 4: // a third of all agents
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

// restart stops an agent, and starts it again at a time. Half of the restarts keep the stored records.
func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	keepsRecords := l.Rand().IntN(2) == 0
	l.At(until, func() {
		if l.nodes[n].incarnation == 0 {
			l.Start(n, keepsRecords)
		}
	})
}

// injectFaultsAtRecords injects faults right after records are agreed: the leader restarts, or a random
// agent is cut off.
func (l *Lab) injectFaultsAtRecords() {
	untilRestart := l.Rand().IntN(6)
	l.onRecord = func() {
		if l.Rand().IntN(3) == 0 {
			l.cutOff(l.Rand().IntN(len(l.nodes)), l.Now()+4*time.Second)
		}
		if untilRestart--; untilRestart > 0 || l.leader < 0 {
			return
		}
		untilRestart = 1 + l.Rand().IntN(6)
		l.restart(l.leader, l.Now()+time.Duration(l.Rand().Int64N(int64(3*time.Second))))
	}
}

// loseLeasesAtRecords cuts off an agent that still holds leases right after some records are agreed, and
// restarts all voters, which lose the leases that they granted.
func (l *Lab) loseLeasesAtRecords() {
	untilFault := 0
	l.onRecord = func() {
		if untilFault--; untilFault > 0 {
			return
		}
		untilFault = 3 + l.Rand().IntN(3)
		l.cutOff(voters+l.Rand().IntN(len(l.nodes)-voters), l.Now()+4*time.Second)
		for v := range voters {
			l.Stop(v)
			l.At(l.Now()+50*time.Millisecond, func() {
				if l.nodes[v].incarnation == 0 {
					l.Start(v, true)
				}
			})
		}
	}
}

// cutOff cuts all connections from and to an agent until a time.
func (l *Lab) cutOff(n int, until time.Duration) {
	for i := range l.nodes {
		l.cut(i, n, until)
		l.cut(n, i, until)
	}
}

// cut drops all messages in one direction until a time.
func (l *Lab) cut(from, to int, until time.Duration) {
	if from == to {
		return
	}
	l.SetCut(from, to, true)
	l.At(until, func() { l.SetCut(from, to, false) })
}

// heal starts all stopped agents, restores all connections, ends delays and false capacities, and reduces
// the network faults.
func (l *Lab) heal() {
	l.onRecord, l.hasWrongCapacities = nil, false
	for n := range l.nodes {
		if l.nodes[n].incarnation == 0 {
			l.Start(n, false)
		}
		for i := range l.nodes {
			l.SetCut(n, i, false)
		}
		l.nodes[n].listDelay = min(l.nodes[n].listDelay, maxListDelay)
	}
	l.Faults = simnet.Faults{Loss: 0.01, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}
}

// CheckSettled returns what is wrong at the end of a scenario, or an empty string: all agents must use the
// newest generation, in which all ready servers are complete and no other server has points.
func (l *Lab) CheckSettled() string {
	state := l.State()
	for i, nd := range l.nodes {
		if p := nd.agent.Assignment(l.reading(i), l.standing(nd)); p == nil || p.Generation != state.Number {
			return fmt.Sprint("agent ", i, " does not use generation ", state.Number)
		}
	}
	ready := map[string]bool{}
	for _, s := range l.servers {
		if s.listed && s.ready && !s.draining {
			ready[s.name] = true
		}
	}
	for _, n := range state.Members {
		switch {
		case ready[n.ID] && (n.Phase != ringassignment.Complete || n.FullPoints != 0):
			return fmt.Sprintf("%s is %v with %d points of %d", n.ID, n.Phase, n.Points, n.FullPoints)
		case !ready[n.ID] && n.PointsOnRing() > 0:
			return fmt.Sprintf("%s is %v with %d points, although it is not ready", n.ID, n.Phase, n.Points)
		}
		delete(ready, n.ID)
	}
	if len(ready) > 0 {
		return fmt.Sprint("ready servers that are not in the generation: ", ready)
	}
	return ""
}

// MaxLoad returns the maximum over all servers of the server's fraction of the keys at an agent, relative
// to its fraction of the ready capacity.
func (l *Lab) MaxLoad(agent, keys int) float64 {
	nd := l.nodes[agent]
	p := nd.agent.Assignment(l.reading(agent), l.standing(nd))
	if l.setup.Without == WithoutGenerations {
		p = nil
	}
	formerKeys := l.setup.Keys
	l.setup.Keys = keys
	owners := l.rings.ownersOf(l.rings.usablePoints(p, l.lists[nd.list]), l.exclusions(nd))
	l.setup.Keys = formerKeys
	counts, capacity := map[int32]int{}, 0.0
	for _, o := range owners {
		counts[o]++
	}
	for i := range l.servers {
		if (truth{l}).IsReady(int32(i)) {
			capacity += l.servers[i].capacity
		}
	}
	maxLoad := 0.0
	for o, n := range counts {
		maxLoad = max(maxLoad, float64(n)/float64(keys)/(l.servers[o].capacity/capacity))
	}
	return maxLoad
}
