package lab

import (
	"time"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// Application is what runs beside the policy in one process, with records of its own in the same log: a
// fleet.StateMachine, and the parts of a fleet.Application that the lab plays.
type Application interface {
	fleet.StateMachine
	RecordsApplied(now lease.ClockReading, anew bool)
	MayGrantLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool
	HandleMessage(now lease.ClockReading, from int, data []byte) []byte
	NextActions(now lease.ClockReading, v fleet.VoterState) fleet.Actions
}

// applicationRecord is the first byte of an application's records in the log; the policy's never begin with
// it.
const applicationRecord = 0

func isApplicationRecord(data []byte) bool { return data[0] == applicationRecord }

func encodeApplicationRecord(data []byte) []byte { return append([]byte{applicationRecord}, data...) }

func (l *Lab) startApplication(nd *node, now lease.ClockReading) {
	if l.setup.NewApplication == nil {
		return
	}
	before := nd.application
	nd.application = l.setup.NewApplication(nd.number, now)
	if nd.known > 0 {
		if err := nd.application.Restore(before.Snapshot()); err != nil {
			panic(err) // it is the same build's
		}
	}
}

// runApplication does what is due at a node's application, and returns when it is again.
func (l *Lab) runApplication(nd *node, now lease.ClockReading) time.Duration {
	if nd.application == nil {
		return now.Mono + time.Hour
	}
	isVoter := nd.number < len(l.voters)
	actions := nd.application.NextActions(now, fleet.VoterState{
		IsVoter: isVoter, IsLeader: isVoter && nd.number == l.leader,
		Voters: l.voterNumbers(),
	})
	for _, r := range actions.Proposals {
		l.submit(nd.number, encodeApplicationRecord(r.Data))
	}
	for _, m := range actions.Messages {
		l.send(nd.number, m.To, message{kind: messageApplication, data: m.Data})
	}
	return actions.Next
}

// checkInterval is how often a node checks what is open; less often while nothing is, in labs of days.
func (l *Lab) checkInterval(nd *node) time.Duration {
	if l.setup.NewApplication != nil && nd.replica.StateMachine.State().OpenChange == nil {
		return 500 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// SubmitApplicationRecord has a node ask the leader for a record of its application, once.
func (l *Lab) SubmitApplicationRecord(n int, data []byte) {
	if l.node(n).incarnation > 0 && !l.IsPaused(n) {
		l.submit(n, encodeApplicationRecord(data))
	}
}

// Application is a node's; nil: its process does not run.
func (l *Lab) Application(n int) Application {
	if l.node(n).incarnation == 0 {
		return nil
	}
	return l.node(n).application
}

// AgreedApplication follows the agreed log.
func (l *Lab) AgreedApplication() Application { return l.agreedApplication }
