package policy

import (
	"slices"
	"time"

	"dunestep/fleet/lease"
)

// Voter is a voter's side of a change, beside its lease.Granter: who may be granted a lease while one is
// open, and when all that hold one from here have promised.
type Voter struct {
	self   int
	times  Times
	st     State
	begin  lease.Reading // before it, an earlier process may have granted leases that nobody knows of
	agents map[int][]holder
	no     refusal
	again  time.Duration // not before: what was proposed may be on its way
	asked  uint64        // the change that again is of
}

// holder is a process that a lease was granted to.
type holder struct {
	incarnation uint64
	granted     lease.Reading // the last time
	note        Note
}

type refusal struct {
	agent int
	note  Note
}

const (
	// maxProcesses of one agent are told apart: at an upgrade there are two for a while.
	maxProcesses = 4
	// proposeAgain is after how long what was proposed and is not in the log is proposed again.
	proposeAgain = 200 * time.Millisecond
	// lookAgain is after how long an open change is looked at again.
	lookAgain = 50 * time.Millisecond
)

// NewVoter returns a Voter of a process that begins now.
func NewVoter(self int, times Times, now lease.Reading) *Voter {
	return &Voter{self: self, times: times.Usual(), begin: now, agents: map[int][]holder{}}
}

// Learn takes what the log says now: after records were applied, before a lease is granted that names them.
func (v *Voter) Learn(m *Machine) {
	v.st = m.State()
	if v.st.Open == nil {
		return
	}
	for agent, all := range v.agents {
		for _, h := range all {
			if h.note.Version == v.st.Open.Number {
				v.says(agent, h.note)
			}
		}
	}
}

// says notes a no. The lowest agent's is told, so that it does not depend on the order of a map.
func (v *Voter) says(agent int, n Note) {
	if n.Code != Yes && (v.no.note.Version != n.Version || agent < v.no.agent) {
		v.no = refusal{agent, n}
	}
}

// Grant tells whether an agent may be granted a lease at this moment, and counts it as granted then. While a
// change is open, only one may that has promised: who has not applied it asks again when it has, and who says
// no when the change is abandoned for it.
func (v *Voter) Grant(now lease.Reading, agent int, incarnation uint64, note []byte) bool {
	n, ok := DecodeNote(note)
	if !ok {
		return false
	}
	if open := v.st.Open; open != nil && n.Version <= open.Number {
		if n.Version < open.Number {
			return false
		}
		if v.says(agent, n); n.Code != Yes {
			return false
		}
	}
	v.hold(now, agent, holder{incarnation: incarnation, granted: now, note: n})
	return true
}

// Heard takes what an agent tells beside its requests for leases: its promise holds for all that it was
// granted. The voter tells it that it was heard.
func (v *Voter) Heard(agent int, incarnation uint64, note []byte) {
	n, ok := DecodeNote(note)
	if !ok {
		return
	}
	if v.st.Open != nil && n.Version == v.st.Open.Number {
		v.says(agent, n)
	}
	for i, h := range v.agents[agent] {
		if h.incarnation == incarnation && n.Version > h.note.Version {
			v.agents[agent][i].note = n
		}
	}
}

// hold notes a lease. What its process has said of a later change than the request does holds still: the
// request was sent before that, and overtaken; the process says it once. Of too many processes of one
// agent, the one that asked longest ago is passed over if its lease is over; else the last two are counted
// as one that has promised what both have.
func (v *Voter) hold(now lease.Reading, agent int, h holder) {
	for _, o := range v.agents[agent] {
		if o.incarnation == h.incarnation && o.note.Version > h.note.Version {
			h.note = o.note
		}
	}
	all := slices.DeleteFunc(v.agents[agent], func(o holder) bool {
		return o.incarnation == h.incarnation || since(o.granted, now) >= v.times.mayLast()
	})
	if len(all) == maxProcesses {
		last := &all[len(all)-1]
		if last.granted, last.incarnation = now, h.incarnation; h.note.Version < last.note.Version {
			last.note = h.note
		}
	} else {
		all = append(all, h)
	}
	v.agents[agent] = all
}

// Left takes that a process of an agent has said that it has ended, and does not act any more.
func (v *Voter) Left(agent int, incarnation uint64) {
	ended := func(h holder) bool { return h.incarnation == incarnation }
	v.agents[agent] = slices.DeleteFunc(v.agents[agent], ended)
	if len(v.agents[agent]) == 0 {
		delete(v.agents, agent)
	}
}

// Due returns what is to be proposed to the log, and when to ask again at the latest, by the steady clock.
func (v *Voter) Due(now lease.Reading) (records [][]byte, next time.Duration) {
	open := v.st.Open
	switch {
	case open == nil:
		return nil, now.Mono + time.Hour
	case v.asked == open.Number && now.Mono < v.again:
		return nil, v.again
	case v.no.note.Version == open.Number:
		records = append(records, marshal(record{
			Kind: abandoned, Version: open.Number, Who: v.no.agent,
			Code: v.no.note.Code, Text: v.no.note.Text,
		}))
	case !slices.Contains(open.Yes, v.self) && v.promised(now, open.Number):
		records = append(records, marshal(record{Kind: answered, Version: open.Number, Who: v.self}))
	default:
		return nil, now.Mono + lookAgain
	}
	v.asked, v.again = open.Number, now.Mono+proposeAgain
	return records, v.again
}

// promised tells whether all that may hold a lease which was granted here, by this process or one before it,
// have promised.
func (v *Voter) promised(now lease.Reading, version uint64) bool {
	if since(v.begin, now) < v.times.mayLast() {
		return false
	}
	for _, all := range v.agents {
		for _, h := range all {
			if h.note.Version < version && since(h.granted, now) < v.times.mayLast() {
				return false
			}
		}
	}
	return true
}
