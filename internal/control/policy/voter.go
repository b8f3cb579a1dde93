package policy

import (
	"slices"
	"time"

	"dunestep/internal/fleet/lease"
)

// Voter is a voter's part of the protocol. Beside the voter's lease.Granter, it decides which agents may be
// granted a lease while a change is open, and reports when all holders of its leases have promised.
type Voter struct {
	self  int
	times Times
	state State
	// startedAt is the start of this process. Before it, an earlier process of this voter may have granted
	// leases that are not known here.
	startedAt   lease.ClockReading
	holders     map[int][]holder // by agent
	rejection   agentRejection
	retryAt     time.Duration // when the last record may be proposed again, by the monotonic clock
	proposedFor uint64        // number of the change that retryAt applies to
}

// holder is a process that was granted a lease.
type holder struct {
	incarnation uint64
	grantedAt   lease.ClockReading // time of the last grant
	answer      Answer
}

// agentRejection is a rejecting answer and the agent that gave it.
type agentRejection struct {
	agent  int
	answer Answer
}

const (
	// maxProcesses is the maximum number of processes of one agent that are tracked separately; during an
	// upgrade an agent has two.
	maxProcesses = 4
	// proposeRetryInterval is the time after which a proposed record that is not in the log is proposed again.
	proposeRetryInterval = 200 * time.Millisecond
	// recheckInterval is the interval between checks of an open change.
	recheckInterval = 50 * time.Millisecond
)

// NewVoter returns the Voter of a process that starts now.
func NewVoter(self int, times Times, now lease.ClockReading) *Voter {
	return &Voter{self: self, times: times.WithDefaults(), startedAt: now, holders: map[int][]holder{}}
}

// Learn updates the voter with the current agreed state. The caller must call it after records were applied
// and before it grants a lease that covers them.
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

// noteRejection records a rejecting answer. Of several agents' rejections it keeps that of the lowest agent,
// so that the result does not depend on map order.
func (v *Voter) noteRejection(agent int, answer Answer) {
	if answer.Code != Accepted && (v.rejection.answer.Version != answer.Version || agent < v.rejection.agent) {
		v.rejection = agentRejection{agent, answer}
	}
}

// AllowLease reports whether an agent may be granted a lease now, and if so records the lease as granted.
// While a change is open, only an agent that has promised may: an agent that has not applied the change
// requests the lease again once it has, and an agent that rejects the change gets a lease after the change is
// abandoned.
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

// AnswerReceived records an answer that an agent sent in a separate message. Its promise covers every lease
// that was granted to the process.
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

// addHolder records a granted lease. An answer of the same process that is newer than the one in the request
// still counts: the request was sent before that answer and arrived after it. Processes whose leases have
// expired are dropped. If an agent still has more than maxProcesses, the last two are merged into one entry,
// which has promised only what both have.
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

// isExpired reports whether a holder's last lease has expired by every clock.
func (v *Voter) isExpired(h holder, now lease.ClockReading) bool {
	return minElapsed(h.grantedAt, now) >= v.times.maxLeaseAge()
}

// ProcessStopped records that a process of an agent has reported that it stopped acting.
func (v *Voter) ProcessStopped(agent int, incarnation uint64) {
	stopped := func(h holder) bool { return h.incarnation == incarnation }
	v.holders[agent] = slices.DeleteFunc(v.holders[agent], stopped)
	if len(v.holders[agent]) == 0 {
		delete(v.holders, agent)
	}
}

// Due returns the records that the voter has to propose to the log, and the latest time of the next call, by
// the monotonic clock.
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

// allPromised reports whether every process that may hold a lease of this voter, granted by this process or
// an earlier one, has promised.
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
