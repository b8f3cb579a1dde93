package world

import "dunestep/decide"

// What staff do at the agents' door, as far as a day in virtual time has it.

// takeOut has an agent that runs send nothing new to the servers from now on, whatever discovery tells.
func (a *agent) takeOut(servers []*server) {
	l := a.life
	if l == nil || l.remote {
		return
	}
	for _, s := range servers {
		news, known, err := l.list.Ban(s.id, l.clock())
		if !known || err != nil {
			continue // no list of this agent's ever had it
		}
		if a.out == nil {
			a.out = map[*server]bool{}
		}
		a.out[s] = true
		l.writes([]listed{s.entry(decide.Ready)}, false)
		l.heed(news)
	}
	a.bans = l.list.Bans()
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
		news, _ := l.list.Lift(s.id, l.clock())
		l.writes([]listed{s.entry(s.standing())}, false)
		l.heed(news)
	}
	a.bans = l.list.Bans()
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
