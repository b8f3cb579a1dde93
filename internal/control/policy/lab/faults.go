package lab

import (
	"time"

	"dunestep/internal/simnet"
)

// injectFault injects one random fault, which ends before end at the latest.
func (l *Lab) injectFault(end time.Duration) {
	rng := l.Rand()
	if l.hasFewFaults() && rng.IntN(4) > 0 {
		return
	}
	n := rng.IntN(l.nodeCount())
	if rng.IntN(3) == 0 {
		n = rng.IntN(len(l.voters))
	}
	other := rng.IntN(l.nodeCount())
	until := min(l.Now()+time.Duration(rng.Int64N(int64(6*time.Second))), end)
	switch rng.IntN(7) {
	case 0:
		l.Pause(n, until)
	case 1:
		l.cut(n, other, until)
	case 2: // all messages to the node
		for i := range l.nodeCount() {
			l.cut(i, n, until)
		}
	case 3:
		l.cutOff(n, min(l.Now()+time.Duration(rng.Int64N(int64(15*time.Second))), end))
	case 4:
		t := l.setup.Times.Terms
		l.SetClock(n, time.Duration((2*rng.Float64()-1)*float64(t.MaxClockError)), 1+(2*rng.Float64()-1)*t.MaxDrift)
	case 5:
		l.restart(n, until)
	case 6:
		if l.leader >= 0 {
			l.restart(l.leader, until)
		}
	}
}

// restart stops a node, and starts it again at a time. Half of the restarts take 200 ms at most, and half
// keep the stored records.
func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	if l.Rand().IntN(2) == 0 { // while leases that it granted are still valid
		until = min(until, l.Now()+200*time.Millisecond)
	}
	storage := StorageLost
	if l.Rand().IntN(2) == 0 {
		storage = StorageKept
	}
	l.At(until, func() {
		if l.node(n).incarnation == 0 {
			l.Start(n, storage)
		}
	})
}

// injectFaultsAtRecords injects faults right after records of a change are agreed: the leader or another
// voter restarts. When a change is proposed, an agent that holds leases may be cut off, and a voter that
// granted one may restart and lose it.
func (l *Lab) injectFaultsAtRecords() {
	untilRestart, wasOpen := l.Rand().IntN(6), false
	l.onPolicyRecord = func(open bool) {
		if wasProposed := open && !wasOpen; wasProposed && (l.focus == voterForgets || l.Rand().IntN(2) == 0) {
			l.injectFaultAtProposal()
		}
		wasOpen = open
		if untilRestart--; untilRestart > 0 || l.leader < 0 || l.hasFewFaults() {
			return
		}
		untilRestart = 1 + l.Rand().IntN(8)
		n := l.leader
		if l.Rand().IntN(2) == 0 {
			n = l.Rand().IntN(len(l.voters))
		}
		l.restart(n, l.Now()+time.Duration(l.Rand().Int64N(int64(3*time.Second))))
	}
}

// injectFaultAtProposal cuts off an agent for 3 s, and injects the fault of the scenario's focus.
func (l *Lab) injectFaultAtProposal() {
	l.cutOff(len(l.voters)+l.Rand().IntN(len(l.agents)), l.Now()+3*time.Second)
	switch l.focus {
	case voterForgets:
		other := (l.leader + 1 + l.Rand().IntN(len(l.voters)-1)) % len(l.voters)
		l.restart(other, l.Now()+50*time.Millisecond)
	case agentsCutOff:
		for i := range l.agents {
			l.cutOff(len(l.voters)+i, l.Now()+4*time.Second)
		}
	}
}

// cutOff cuts all connections from and to a node until a time.
func (l *Lab) cutOff(n int, until time.Duration) {
	for i := range l.nodeCount() {
		l.cut(i, n, until)
		l.cut(n, i, until)
	}
}

// cut drops all messages in one direction until a time.
func (l *Lab) cut(from, to int, until time.Duration) {
	l.SetCut(from, to, true)
	l.At(until, func() { l.SetCut(from, to, false) })
}

// heal starts all stopped nodes, restores all connections and reduces the network faults.
func (l *Lab) heal() {
	l.onPolicyRecord = nil
	for n := range l.nodeCount() {
		if l.node(n).incarnation == 0 {
			l.Start(n, StorageLost)
		}
		for i := range l.nodeCount() {
			l.SetCut(n, i, false)
		}
	}
	l.Faults = simnet.Faults{Loss: 0.01, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}
}
