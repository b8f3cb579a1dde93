package lab

import (
	"encoding/binary"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

type messageKind uint8

const (
	messageRecords        messageKind = iota // records: number of records that the sender has applied
	messageRecordsRequest                    // records: as in messageRecords; requests newer records
	messageLeaseRequest                      // request; answer: the agent's answer to an open change
	messageGrant                             // grant: grants or rejects a lease request
	messageAnswer                            // answer: the agent's answer, sent outside of a lease request
	messageAcknowledged                      // answer: acknowledged to its agent
	messageProposal                          // data: a record for the leader to commit
	messageReadRequest                       // requests the length of the agreed log from the leader
	messageReadReply                         // records: length of the agreed log
	messageApplication                       // data: a message between applications
)

type message struct {
	kind        messageKind
	records     int
	incarnation int // of the sender
	answer      []byte
	request     lease.Request
	grant       lease.Grant
	data        []byte
	requestedAt lease.ClockReading // reading of the voter that sent the read request
}

func (l *Lab) send(from, to int, m message) {
	m.incarnation = l.node(from).incarnation
	l.messages = append(l.messages, m)
	l.Send(from, to, binary.AppendUvarint(nil, uint64(l.droppedMessages+len(l.messages)-1)))
}

func (l *Lab) deliver(to, from int, data []byte) {
	i, _ := binary.Uvarint(data) // encoded by send
	nd := l.node(to)
	if nd.incarnation == 0 || int(i) < l.droppedMessages {
		return
	}
	m := l.messages[int(i)-l.droppedMessages]
	switch m.kind {
	case messageApplication:
		nd.application.HandleMessage(l.reading(to), from, m.data)
		return
	case messageRecords, messageRecordsRequest:
		l.applyRecords(to, m.records)
		if nd.applied > m.records {
			l.send(to, from, message{kind: messageRecords, records: nd.applied})
		}
		return
	case messageProposal:
		l.commit(to, m.data)
		return
	case messageReadRequest:
		if to == l.leader && l.hasMajority() {
			l.send(to, from, message{kind: messageReadReply, records: len(l.log), requestedAt: m.requestedAt})
		}
		return
	}
	if to < len(l.voters) {
		l.deliverToVoter(l.voters[to], from, m)
	} else {
		l.deliverToAgent(l.agents[to-len(l.voters)], from, m)
	}
}

func (l *Lab) deliverToAgent(a *agent, from int, m message) {
	now := l.reading(a.number)
	switch m.kind {
	case messageGrant:
		a.holder.HandleGrant(now, from, m.grant)
	case messageAcknowledged:
		a.replica.Agent.Acknowledged(from, m.answer)
	}
	l.SetTimer(a.number, now.Mono)
}

func (l *Lab) deliverToVoter(v *voter, from int, m message) {
	now, agent := l.reading(v.number), from-len(l.voters)
	switch m.kind {
	case messageLeaseRequest:
		v.requests[m.request.Nonce] = m
		replies, read := v.granter.HandleRequest(now, agent, m.request)
		l.sendGrants(v, now, replies)
		if read {
			l.readAgreedPosition(v, now)
		}
	case messageAnswer:
		if l.setup.Without != withoutRejections {
			v.replica.Voter.AnswerReceived(agent, uint64(m.incarnation), m.answer)
		}
		l.send(v.number, from, message{kind: messageAcknowledged, answer: m.answer})
		l.propose(v, now)
	case messageReadReply:
		v.pendingReads = append(v.pendingReads, m)
		l.confirm(v)
	}
}

// readAgreedPosition requests the length of the agreed log for a voter; the leader itself confirms it with a
// majority. The reply arrives at confirm.
func (l *Lab) readAgreedPosition(v *voter, now lease.ClockReading) {
	incarnation := v.incarnation
	if v.number != l.leader {
		for i := range 3 { // repeated, as a leader repeats heartbeats
			l.At(l.Now()+time.Duration(i)*100*time.Millisecond, func() {
				if v.incarnation == incarnation && l.leader >= 0 {
					l.send(v.number, l.leader, message{kind: messageReadRequest, requestedAt: now})
				}
			})
		}
		return
	}
	l.At(l.Now()+5*time.Millisecond, func() {
		if v.incarnation == incarnation && v.number == l.leader && l.hasMajority() {
			v.pendingReads = append(v.pendingReads, message{records: len(l.log), requestedAt: now})
			l.confirm(v)
		}
	})
}

// confirm handles those of the leader's replies whose records the voter has all applied, and keeps the
// others.
func (l *Lab) confirm(v *voter) {
	now, remaining := l.reading(v.number), v.pendingReads[:0]
	for _, m := range v.pendingReads {
		if m.records > v.applied {
			remaining = append(remaining, m)
			continue
		}
		l.sendGrants(v, now, v.granter.HandleConfirmed(now, m.requestedAt, position(m.records)))
	}
	v.pendingReads = remaining
}

// sendGrants sends a voter's replies to lease requests. It rejects those that the policy or the application
// does not allow.
func (l *Lab) sendGrants(v *voter, now lease.ClockReading, replies []lease.Reply) {
	for _, reply := range replies {
		r := v.requests[reply.Grant.Nonce]
		delete(v.requests, reply.Grant.Nonce)
		if !reply.Grant.Rejected && !l.mayGrantLease(v, now, reply.To, r) {
			reply.Grant = lease.Grant{Nonce: reply.Grant.Nonce, Rejected: true}
		}
		l.send(v.number, len(l.voters)+reply.To, message{kind: messageGrant, grant: reply.Grant})
	}
}

func (l *Lab) mayGrantLease(v *voter, now lease.ClockReading, to int, m message) bool {
	if l.setup.Without == withoutRejections {
		if open := v.replica.StateMachine.State().OpenChange; open != nil {
			m.answer = policy.Answer{Version: open.Number}.Encode()
		}
	}
	return v.replica.AllowLease(now, to, m.request.Incarnation, m.answer) &&
		(v.application == nil ||
			v.application.MayGrantLease(now, len(l.voters)+to, m.request.Incarnation, m.answer))
}
