package policy

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Voter is a voter's side of a change, beside its lease.Granter: who may be granted a lease while one is
// open, and when all that hold one from here have promised.
type Voter struct {
	self        int
	times       Times
	state       State
	startedAt   lease.ClockReading // before it, an earlier process may have granted leases that nobody knows of
	holders     map[int][]holder
	rejection   agentRejection
	retryAt     time.Duration // not before: what was proposed may be on its way
	proposedFor uint64        // the change that again is of
}

// holder is a process that a lease was granted to.
type holder struct {
	incarnation uint64
	grantedAt   lease.ClockReading // the last time
	answer      Answer
}

type agentRejection struct {
	agent  int
	answer Answer
}

const (
	// maxProcesses of one agent are told apart: at an upgrade there are two for a while.
	maxProcesses = 4
	// proposeRetryInterval is after how long what was proposed and is not in the log is proposed again.
	proposeRetryInterval = 200 * time.Millisecond
	// recheckInterval is after how long an open change is looked at again.
	recheckInterval = 50 * time.Millisecond
)

// NewVoter returns a Voter of a process that begins now.
func NewVoter(self int, times Times, now lease.ClockReading) *Voter {
	return &Voter{self: self, times: times.WithDefaults(), startedAt: now, holders: map[int][]holder{}}
}

// Learn takes what the log says now: after records were applied, before a lease is granted that names them.
func (v *Voter) Learn(m *StateMachine) {
	v.state = m.State()
	if v.state.OpenChange == nil {
		return
	}
	for agent, all := range v.holders {
		for _, h := range all {
			if h.answer.Version == v.state.OpenChange.Number {
				v.noteRejection(agent, h.answer)
			}
		}
	}
}

// says notes a no. The lowest agent's is told, so that it does not depend on the order of a map.
func (v *Voter) noteRejection(agent int, n Answer) {
	if n.Code != Accepted && (v.rejection.answer.Version != n.Version || agent < v.rejection.agent) {
		v.rejection = agentRejection{agent, n}
	}
}

// AllowLease tells whether an agent may be granted a lease at this moment, and counts it as granted then. While a
// change is open, only one may that has promised: who has not applied it asks again when it has, and who says
// no when the change is abandoned for it.
func (v *Voter) AllowLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool {
	n, ok := DecodeAnswer(note)
	if !ok {
		return false
	}
	if open := v.state.OpenChange; open != nil && n.Version <= open.Number {
		if n.Version < open.Number {
			return false
		}
		if v.noteRejection(agent, n); n.Code != Accepted {
			return false
		}
	}
	v.addHolder(now, agent, holder{incarnation: incarnation, grantedAt: now, answer: n})
	return true
}

// AnswerReceived takes what an agent tells beside its requests for leases: its promise holds for all that it was
// granted. The voter tells it that it was heard.
func (v *Voter) AnswerReceived(agent int, incarnation uint64, note []byte) {
	n, ok := DecodeAnswer(note)
	if !ok {
		return
	}
	if v.state.OpenChange != nil && n.Version == v.state.OpenChange.Number {
		v.noteRejection(agent, n)
	}
	for i, h := range v.holders[agent] {
		if h.incarnation == incarnation && n.Version > h.answer.Version {
			v.holders[agent][i].answer = n
		}
	}
}

// hold notes a lease. What its process has said of a later change than the request does holds still: the
// request was sent before that, and overtaken; the process says it once. Of too many processes of one
// agent, the one that asked longest ago is passed over if its lease is over; else the last two are counted
// as one that has promised what both have.
func (v *Voter) addHolder(now lease.ClockReading, agent int, h holder) {
	for _, o := range v.holders[agent] {
		if o.incarnation == h.incarnation && o.answer.Version > h.answer.Version {
			h.answer = o.answer
		}
	}
	all := slices.DeleteFunc(v.holders[agent], func(o holder) bool {
		return o.incarnation == h.incarnation || minElapsed(o.grantedAt, now) >= v.times.maxLeaseAge()
	})
	if len(all) == maxProcesses {
		last := &all[len(all)-1]
		if last.grantedAt, last.incarnation = now, h.incarnation; h.answer.Version < last.answer.Version {
			last.answer = h.answer
		}
	} else {
		all = append(all, h)
	}
	v.holders[agent] = all
}

// ProcessStopped takes that a process of an agent has said that it has ended, and does not act any more.
func (v *Voter) ProcessStopped(agent int, incarnation uint64) {
	ended := func(h holder) bool { return h.incarnation == incarnation }
	v.holders[agent] = slices.DeleteFunc(v.holders[agent], ended)
	if len(v.holders[agent]) == 0 {
		delete(v.holders, agent)
	}
}

// Due returns what is to be proposed to the log, and when to ask again at the latest, by the steady clock.
func (v *Voter) Due(now lease.ClockReading) (records [][]byte, next time.Duration) {
	open := v.state.OpenChange
	switch {
	case open == nil:
		return nil, now.Mono + time.Hour
	case v.proposedFor == open.Number && now.Mono < v.retryAt:
		return nil, v.retryAt
	case v.rejection.answer.Version == open.Number:
		records = append(records, marshal(record{
			Kind: kindAbandoned, Version: open.Number, Agent: v.rejection.agent,
			Code: v.rejection.answer.Code, Text: v.rejection.answer.Text,
		}))
	case !slices.Contains(open.PromisedVoters, v.self) && v.allPromised(now, open.Number):
		records = append(records, marshal(record{Kind: kindPromised, Version: open.Number, Agent: v.self}))
	default:
		return nil, now.Mono + recheckInterval
	}
	v.proposedFor, v.retryAt = open.Number, now.Mono+proposeRetryInterval
	return records, v.retryAt
}

// promised tells whether all that may hold a lease which was granted here, by this process or one before it,
// have promised.
func (v *Voter) allPromised(now lease.ClockReading, version uint64) bool {
	if minElapsed(v.startedAt, now) < v.times.maxLeaseAge() {
		return false
	}
	for _, all := range v.holders {
		for _, h := range all {
			if h.answer.Version < version && minElapsed(h.grantedAt, now) < v.times.maxLeaseAge() {
				return false
			}
		}
	}
	return true
}
