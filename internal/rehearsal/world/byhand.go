package world

import (
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/state"
)

// What staff do at the agents' door, as far as a day in virtual time has it.

// awayBy is when, after clients were sent away by hand, none of their connections stands idle any more.
const awayBy = 1700 * time.Millisecond

// takeOut has an agent that runs send nothing new to the servers from now on, whatever discovery tells.
func (a *agent) takeOut(servers []*server) {
	l := a.life
	if l == nil || l.remote {
		return
	}
	for _, s := range servers {
		news, known, err := l.list.Disable(s.id, l.clock())
		if !known || err != nil {
			continue // no list of this agent's ever had it
		}
		if a.out == nil {
			a.out = map[*server]bool{}
		}
		a.out[s] = true
		l.writes([]listed{s.entry(balancer.Ready)}, false)
		l.heed(news)
	}
	a.bans = l.list.Disabled()
}

// putBack ends the bans of the servers. An agent that does not run now keeps them, as its folder does.
func (a *agent) putBack(servers []*server) {
	l := a.life
	if l == nil || l.remote {
		return
	}
	for _, s := range servers {
		if !a.out[s] {
			continue
		}
		delete(a.out, s)
		news, _ := l.list.Enable(s.id, l.clock())
		l.writes([]listed{s.entry(s.standing())}, false)
		l.heed(news)
	}
	a.bans = l.list.Disabled()
}

// restartByHand ends the processes of the servers that staff have taken out; they start again at its end.
type restartByHand trouble

func (r *restartByHand) happen() {
	t := (*trouble)(r)
	if t.over {
		return
	}
	t.processes = nil
	for _, s := range t.servers {
		t.processes = append(t.processes, s.process)
		if s.running() {
			s.stop()
		}
	}
}

// sendAway has an agent that runs send its clients away: answers close their connections, and those that
// stand idle are closed in a while. It goes on, and serves who comes all the same.
func (a *agent) sendAway() {
	l := a.life
	if l == nil || l.remote || l.away {
		return
	}
	l.away, l.awayFrom = true, a.w.now
	a.w.after(awayBy, rankTimer, (*noneIdle)(l))
}

// takeAgain has an agent take clients again.
func (a *agent) takeAgain() {
	if a.life != nil {
		a.life.away = false
	}
}

// noneIdle closes the connections that still stand idle at an agent that sends its clients away.
type noneIdle life

func (n *noneIdle) happen() {
	l := (*life)(n)
	if l.dead || l.still(n) || !l.away || l.w.now < l.awayFrom+awayBy {
		return
	}
	l.closeIdle()
}

// upgrades tells whether the day has any.
func (w *world) upgrades() bool {
	return slices.ContainsFunc(w.set.Troubles, func(t scenario.Trouble) bool {
		return t.Kind == scenario.Upgraded
	})
}

// upgrade has a new run of an agent's program take over from one that serves, with what that one has learned
// and what staff have set. The old one takes no new connection, and ends in order.
func (a *agent) upgrade() {
	old := a.life
	if old == nil || old.remote || old.end.told || old.session == nil { // none has one that sees late
		return
	}
	raw, err := state.Encode(old.content())
	if err != nil {
		return
	}
	disk := a.disk
	a.disk, a.life, old.replaced = raw, nil, true
	err = a.begin()
	if a.disk = disk; err != nil { // its settings were good when the day began
		return
	}
	old.drain()
	old.away, old.awayFrom = true, a.w.now
}
