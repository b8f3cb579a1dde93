package lab

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// submit sends a record to the leader, which commits it.
func (l *Lab) submit(from int, data []byte) {
	if from == l.leader {
		l.commit(from, data)
	} else if l.leader >= 0 {
		l.send(from, l.leader, message{kind: messageProposal, data: data})
	}
}

// commit appends a record to the agreed log after 2 to 16 ms, if the process still leads then and reaches a
// majority.
func (l *Lab) commit(by int, data []byte) {
	incarnation := l.node(by).incarnation
	l.At(l.Now()+time.Duration(2+l.Rand().IntN(15))*time.Millisecond, func() {
		if by != l.leader || l.node(by).incarnation != incarnation || l.IsPaused(by) || !l.hasMajority() {
			return
		}
		l.log = append(l.log, data)
		l.recordAgreed()
		l.applyRecords(by, len(l.log))
		for i := range l.voters {
			l.send(by, i, message{kind: messageRecords, records: len(l.log)})
		}
	})
}

// recordAgreed applies the last record of the agreed log to the reference state machine, and reports a
// version that it activates to the judge.
func (l *Lab) recordAgreed() {
	data := l.log[len(l.log)-1]
	if isApplicationRecord(data) {
		l.agreedApplication.Apply(uint64(len(l.log)), data[1:])
		l.OnApplicationRecord()
		return
	}
	before := l.reference.State()
	l.reference.Apply(uint64(len(l.log)), data)
	after := l.reference.State()
	if before.OpenChange == nil && after.OpenChange != nil {
		l.changeOpenSince = l.Now()
	}
	if before.OpenChange != nil && after.OpenChange == nil {
		l.LongestOpen = max(l.LongestOpen, l.Now()-l.changeOpenSince)
	}
	if after.InForce.Number != before.InForce.Number {
		v, err := evaluate(LocalSettings(), string(after.InForce.Document))
		if err != nil {
			panic(fmt.Sprint("activated a document that no agent can use: ", err))
		}
		v.Number, v.EffectiveAt = after.InForce.Number, after.InForce.EffectiveAt
		l.Judge.VersionActivated(l.Now(), v)
		l.countUnusable(after.InForce.Document)
	}
	if l.onPolicyRecord != nil {
		l.onPolicyRecord(after.OpenChange != nil)
	}
}

// countUnusable counts the agents with a lease that cannot use a document.
func (l *Lab) countUnusable(document []byte) {
	for _, a := range l.agents {
		hasLease := a.incarnation > 0 && a.holder.Standing(l.reading(a.number)) == lease.Full
		if hasLease && policy.CheckDocument(document, a.localSettings) != nil {
			l.UnusableActivations++
		}
	}
}

// hasMajority reports whether there is a leader that reaches a majority in both directions.
func (l *Lab) hasMajority() bool { return l.leader >= 0 && l.reachesMajority(l.leader) }

// reachesMajority reports whether a voter runs and reaches a majority, itself included, in both directions.
func (l *Lab) reachesMajority(n int) bool {
	if l.voters[n].incarnation == 0 || l.IsPaused(n) {
		return false
	}
	count := 0
	for i, v := range l.voters {
		if v.incarnation > 0 && !l.IsPaused(i) && !l.IsCut(n, i) && !l.IsCut(i, n) {
			count++
		}
	}
	return 2*count > len(l.voters)
}

// checkLeader runs every 100 ms. It replaces a leader that has reached no majority for a second by another
// voter, which applies the whole agreed log, as a majority holds it.
func (l *Lab) checkLeader() {
	l.At(max(l.Now()+100*time.Millisecond, l.pausedUntil), l.checkLeader)
	if l.hasMajority() {
		l.lastMajorityAt = l.Now()
		return
	}
	l.changeOpenSince = max(l.changeOpenSince, l.Now())
	if l.leader >= 0 && l.Now()-l.lastMajorityAt < time.Second {
		return
	}
	l.leader = -1
	first := l.Rand().IntN(len(l.voters))
	for i := range l.voters {
		if n := (first + i) % len(l.voters); l.reachesMajority(n) {
			l.leader, l.lastMajorityAt = n, l.Now()
			l.applyRecords(n, len(l.log))
			return
		}
	}
}
