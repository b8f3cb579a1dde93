package policy

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Voter is a voter's part in a change, beside its lease.Granter: it decides who may be granted a lease while
// a change is open, and reports when all that hold one from here have promised.
type Voter struct {
	self  int
	times Times
	state State
	// startedAt is when this process began. An earlier process of this voter may have granted leases before it,
	// of which nothing is known here.
	startedAt   lease.ClockReading
	holders     map[int][]holder // by agent
	rejection   agentRejection
	retryAt     time.Duration // by the monotonic clock: until then the last record may be on its way
	proposedFor uint64        // the change that retryAt is about
}

// holder is a process that was granted a lease.
type holder struct {
	incarnation uint64
	grantedAt   lease.ClockReading // the last time
	answer      Answer
}

// agentRejection is an agent's answer that rejects a change.
type agentRejection struct {
	agent  int
	answer Answer
}

const (
	// maxProcesses is how many processes of one agent are told apart; during an upgrade there are two.
	maxProcesses = 4
	// proposeRetryInterval is how long after it was proposed a record that is not in the log is proposed again.
	proposeRetryInterval = 200 * time.Millisecond
	// recheckInterval is how often an open change is checked.
	recheckInterval = 50 * time.Millisecond
)

// NewVoter returns a Voter of a process that begins now.
func NewVoter(self int, times Times, now lease.ClockReading) *Voter {
	return &Voter{self: self, times: times.WithDefaults(), startedAt: now, holders: map[int][]holder{}}
}

// Learn takes the present state: after records were applied, and before a lease is granted that covers them.
func (v *Voter) Learn(m *StateMachine) {
	v.state = m.State()
	if v.state.OpenChange == nil {
		return
	}
	for agent, processes := range v.holders {
		for _, h := range processes {
			if h.answer.Version == v.state.OpenChange.Number {
				v.noteRejection(agent, h.answer)
			}
		}
	}
}

// noteRejection notes an answer that rejects. Of several agents the lowest counts, so that the order of a map
// does not.
func (v *Voter) noteRejection(agent int, answer Answer) {
	if answer.Code != Accepted && (v.rejection.answer.Version != answer.Version || agent < v.rejection.agent) {
		v.rejection = agentRejection{agent, answer}
	}
}

// AllowLease tells whether an agent may be granted a lease at this moment, and if so notes it as granted.
// While a change is open only an agent that has promised may: one that has not applied it asks again when it
// has, and one that rejects it once the change is abandoned.
func (v *Voter) AllowLease(now lease.ClockReading, agent int, incarnation uint64, encodedAnswer []byte) bool {
	answer, ok := DecodeAnswer(encodedAnswer)
	if !ok {
		return false
	}
	if open := v.state.OpenChange; open != nil && answer.Version <= open.Number {
		if answer.Version < open.Number {
			return false
		}
		if v.noteRejection(agent, answer); answer.Code != Accepted {
			return false
		}
	}
	v.addHolder(now, agent, holder{incarnation: incarnation, grantedAt: now, answer: answer})
	return true
}

// AnswerReceived takes an answer that an agent sent beside its requests for leases: its promise covers every
// lease that the process was granted.
func (v *Voter) AnswerReceived(agent int, incarnation uint64, encodedAnswer []byte) {
	answer, ok := DecodeAnswer(encodedAnswer)
	if !ok {
		return
	}
	if v.state.OpenChange != nil && answer.Version == v.state.OpenChange.Number {
		v.noteRejection(agent, answer)
	}
	for i, h := range v.holders[agent] {
		if h.incarnation == incarnation && answer.Version > h.answer.Version {
			v.holders[agent][i].answer = answer
		}
	}
}

// addHolder notes a lease. A newer answer of the same process than the request carries still counts: the
// request was sent before it and was overtaken, and the process sends the answer once. Where one agent has
// more than maxProcesses, those whose leases have expired are dropped, and the last two are merged into one
// that has promised what both have.
func (v *Voter) addHolder(now lease.ClockReading, agent int, h holder) {
	for _, other := range v.holders[agent] {
		if other.incarnation == h.incarnation && other.answer.Version > h.answer.Version {
			h.answer = other.answer
		}
	}
	processes := slices.DeleteFunc(v.holders[agent], func(other holder) bool {
		return other.incarnation == h.incarnation || v.isExpired(other, now)
	})
	if len(processes) == maxProcesses {
		last := &processes[len(processes)-1]
		if last.grantedAt, last.incarnation = now, h.incarnation; h.answer.Version < last.answer.Version {
			last.answer = h.answer
		}
	} else {
		processes = append(processes, h)
	}
	v.holders[agent] = processes
}

// isExpired tells whether a holder's last lease is over by any clock.
func (v *Voter) isExpired(h holder, now lease.ClockReading) bool {
	return minElapsed(h.grantedAt, now) >= v.times.maxLeaseAge()
}

// ProcessStopped notes that a process of an agent has said that it has stopped acting.
func (v *Voter) ProcessStopped(agent int, incarnation uint64) {
	stopped := func(h holder) bool { return h.incarnation == incarnation }
	v.holders[agent] = slices.DeleteFunc(v.holders[agent], stopped)
	if len(v.holders[agent]) == 0 {
		delete(v.holders, agent)
	}
}

// Due returns the records to propose to the log, and the latest time at which to call it again, by the
// monotonic clock.
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

// allPromised tells whether every process that may hold a lease of this voter, granted by this process or an
// earlier one, has promised.
func (v *Voter) allPromised(now lease.ClockReading, version uint64) bool {
	if minElapsed(v.startedAt, now) < v.times.maxLeaseAge() {
		return false
	}
	for _, processes := range v.holders {
		for _, h := range processes {
			if h.answer.Version < version && !v.isExpired(h, now) {
				return false
			}
		}
	}
	return true
}
