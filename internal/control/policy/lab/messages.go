package lab

import (
	"encoding/binary"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

type messageKind uint8

const (
	messageRecords       messageKind = iota // records: how many the sender has
	messageRecordsWanted                    // the same, and asks for more
	messageLeaseRequest                     // with the agent's answer
	messageGrant                            // or a rejection of the request
	messageAnswer                           // an agent's, beside its requests for leases
	messageAcknowledged                     // that a voter has an answer
	messageProposal                         // data, for the leader
	messageReadRequest                      // a voter asks the leader what is agreed
	messageReadReply                        // records are
	messageApplication                      // data, between applications
)

type message struct {
	kind        messageKind
	records     int
	incarnation int // of the sender
	answer      []byte
	request     lease.Request
	grant       lease.Grant
	data        []byte
	askedAt     lease.ClockReading // of the voter that reads
}

func (l *Lab) send(from, to int, m message) {
	m.incarnation = l.node(from).incarnation
	l.messages = append(l.messages, m)
	l.Send(from, to, binary.AppendUvarint(nil, uint64(l.droppedMessages+len(l.messages)-1)))
}

func (l *Lab) deliver(to, from int, data []byte) {
	i, _ := binary.Uvarint(data) // send has made it
	nd := l.node(to)
	if nd.incarnation == 0 || int(i) < l.droppedMessages {
		return
	}
	m := l.messages[int(i)-l.droppedMessages]
	switch m.kind {
	case messageApplication:
		nd.application.HandleMessage(l.reading(to), from, m.data)
		return
	case messageRecords, messageRecordsWanted:
		l.learn(to, m.records)
		if nd.known > m.records {
			l.send(to, from, message{kind: messageRecords, records: nd.known})
		}
		return
	case messageProposal:
		l.commit(to, m.data)
		return
	case messageReadRequest:
		if to == l.leader && l.hasMajority() {
			l.send(to, from, message{kind: messageReadReply, records: len(l.log), askedAt: m.askedAt})
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
			l.readAgreed(v, now)
		}
	case messageAnswer:
		if l.setup.Without != withoutDecline {
			v.replica.Voter.AnswerReceived(agent, uint64(m.incarnation), m.answer)
		}
		l.send(v.number, from, message{kind: messageAcknowledged, answer: m.answer})
		l.propose(v, now)
	case messageReadReply:
		v.reads = append(v.reads, m)
		l.confirm(v)
	}
}

// readAgreed has a voter ask the leader what is agreed.
func (l *Lab) readAgreed(v *voter, now lease.ClockReading) {
	incarnation := v.incarnation
	if v.number != l.leader {
		for i := range 3 { // as a leader's heartbeats are repeated
			l.At(l.Now()+time.Duration(i)*100*time.Millisecond, func() {
				if v.incarnation == incarnation && l.leader >= 0 {
					l.send(v.number, l.leader, message{kind: messageReadRequest, askedAt: now})
				}
			})
		}
		return
	}
	l.At(l.Now()+5*time.Millisecond, func() {
		if v.incarnation == incarnation && v.number == l.leader && l.hasMajority() {
			v.reads = append(v.reads, message{records: len(l.log), askedAt: now})
			l.confirm(v)
		}
	})
}

// confirm takes the leader's replies for which all records that they cover are applied.
func (l *Lab) confirm(v *voter) {
	now, later := l.reading(v.number), v.reads[:0]
	for _, m := range v.reads {
		if m.records > v.known {
			later = append(later, m)
			continue
		}
		l.sendGrants(v, now, v.granter.HandleConfirmed(now, m.askedAt, position(m.records)))
	}
	v.reads = later
}

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
	if l.setup.Without == withoutDecline {
		if open := v.replica.StateMachine.State().OpenChange; open != nil {
			m.answer = policy.Answer{Version: open.Number}.Encode()
		}
	}
	return v.replica.AllowLease(now, to, m.request.Incarnation, m.answer) &&
		(v.application == nil ||
			v.application.MayGrantLease(now, len(l.voters)+to, m.request.Incarnation, m.answer))
}
