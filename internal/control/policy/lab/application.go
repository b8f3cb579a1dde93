package lab

import (
	"time"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// Application runs beside the policy in one process and has records of its own in the same log. It is a
// fleet.StateMachine with the methods of a fleet.Application that the lab calls.
type Application interface {
	fleet.StateMachine
	RecordsApplied(now lease.ClockReading, isNewEpoch bool)
	MayGrantLease(now lease.ClockReading, agent int, incarnation uint64, note []byte) bool
	HandleMessage(now lease.ClockReading, from int, data []byte) []byte
	NextActions(now lease.ClockReading, v fleet.VoterState) fleet.Actions
}

// applicationRecord is the first byte of an application's records in the log. No record of the policy begins
// with it.
const applicationRecord = 0

func isApplicationRecord(data []byte) bool { return data[0] == applicationRecord }

func encodeApplicationRecord(data []byte) []byte { return append([]byte{applicationRecord}, data...) }

func (l *Lab) startApplication(nd *node, now lease.ClockReading) {
	if l.setup.NewApplication == nil {
		return
	}
	former := nd.application
	nd.application = l.setup.NewApplication(nd.number, now)
	if nd.applied > 0 {
		if err := nd.application.Restore(former.Snapshot()); err != nil {
			panic(err) // the snapshot is of the same build
		}
	}
}

// runApplication executes the next actions of a node's application, and returns when it is next due, by the
// node's monotonic clock.
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

// checkInterval returns the interval of a node's checks. It is longer while no change is open if the lab
// has an application, because such labs simulate days.
func (l *Lab) checkInterval(nd *node) time.Duration {
	if l.setup.NewApplication != nil && nd.replica.StateMachine.State().OpenChange == nil {
		return 500 * time.Millisecond
	}
	return 100 * time.Millisecond
}

// SubmitApplicationRecord sends a record of a node's application to the leader, once. It does nothing if the
// node is not running or is paused.
func (l *Lab) SubmitApplicationRecord(n int, data []byte) {
	if l.node(n).incarnation > 0 && !l.IsPaused(n) {
		l.submit(n, encodeApplicationRecord(data))
	}
}

// Application returns a node's application, or nil if the node's process is not running.
func (l *Lab) Application(n int) Application {
	if l.node(n).incarnation == 0 {
		return nil
	}
	return l.node(n).application
}

// AgreedApplication returns the application that has applied the whole agreed log.
func (l *Lab) AgreedApplication() Application { return l.agreedApplication }
