package lab

import (
	"fmt"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// submit asks the leader for a record.
func (l *Lab) submit(from int, data []byte) {
	if from == l.leader {
		l.commit(from, data)
	} else if l.leader >= 0 {
		l.send(from, l.leader, message{kind: messageProposal, data: data})
	}
}

// commit has a record agreed after some time, if the leader still leads then and reaches a majority.
func (l *Lab) commit(by int, data []byte) {
	incarnation := l.node(by).incarnation
	l.At(l.Now()+time.Duration(2+l.Rand().IntN(15))*time.Millisecond, func() {
		if by != l.leader || l.node(by).incarnation != incarnation || l.IsPaused(by) || !l.hasMajority() {
			return
		}
		l.log = append(l.log, data)
		l.recordAgreed()
		l.learn(by, len(l.log))
		for i := range l.voters {
			l.send(by, i, message{kind: messageRecords, records: len(l.log)})
		}
	})
}

// recordAgreed follows the log from the outside.
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
		l.openSince = l.Now()
	}
	if before.OpenChange != nil && after.OpenChange == nil {
		l.LongestOpen = max(l.LongestOpen, l.Now()-l.openSince)
	}
	if after.InForce.Number != before.InForce.Number {
		v, err := evaluate(LocalSettings(), string(after.InForce.Document))
		if err != nil {
			panic(fmt.Sprint("a document was activated that no agent can use: ", err))
		}
		v.Number, v.EffectiveAt = after.InForce.Number, after.InForce.EffectiveAt
		l.Judge.VersionActivated(l.Now(), v)
		l.countUnusable(after.InForce.Document)
	}
	if l.onRecord != nil {
		l.onRecord(after.OpenChange != nil)
	}
}

func (l *Lab) countUnusable(document []byte) {
	for _, a := range l.agents {
		acts := a.incarnation > 0 && a.holder.Standing(l.reading(a.number)) == lease.Full
		if acts && policy.CheckDocument(document, a.local) != nil {
			l.UnusableActivations++
		}
	}
}

// hasMajority tells whether the leader reaches a majority, both ways.
func (l *Lab) hasMajority() bool { return l.leader >= 0 && l.reachesMajority(l.leader) }

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

// watchLeader has another voter lead where the leader has reached no majority for a second. The new leader
// has all that was agreed, as a majority has.
func (l *Lab) watchLeader() {
	l.At(max(l.Now()+100*time.Millisecond, l.pausedUntil), l.watchLeader)
	if l.hasMajority() {
		l.majorityAt = l.Now()
		return
	}
	l.openSince = max(l.openSince, l.Now())
	if l.leader >= 0 && l.Now()-l.majorityAt < time.Second {
		return
	}
	l.leader = -1
	first := l.Rand().IntN(len(l.voters))
	for i := range l.voters {
		if n := (first + i) % len(l.voters); l.reachesMajority(n) {
			l.leader, l.majorityAt = n, l.Now()
			l.learn(n, len(l.log))
			return
		}
	}
}
