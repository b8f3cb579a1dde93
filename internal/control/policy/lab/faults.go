package lab

import (
	"time"

	"dunestep/internal/simnet"
)

// injectFault has one thing go wrong, for a while.
func (l *Lab) injectFault(end time.Duration) {
	rng := l.Rand()
	if l.isQuiet() && rng.IntN(4) > 0 {
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
	case 2: // from all, one way
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

func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	if l.Rand().IntN(2) == 0 { // at once, while leases that it granted still hold
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

// injectFaultsAtRecords has things go wrong right after one of a change's records: the leader or another
// voter ends, and as a change is proposed an agent is cut off that still holds leases, and a voter that
// granted one forgets it.
func (l *Lab) injectFaultsAtRecords() {
	untilRestart, wasOpen := l.Rand().IntN(6), false
	l.onRecord = func(open bool) {
		if begins := open && !wasOpen; begins && (l.focus == voterForgets || l.Rand().IntN(2) == 0) {
			l.injectFaultAtProposal()
		}
		wasOpen = open
		if untilRestart--; untilRestart > 0 || l.leader < 0 || l.isQuiet() {
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

func (l *Lab) cutOff(n int, until time.Duration) {
	for i := range l.nodeCount() {
		l.cut(i, n, until)
		l.cut(n, i, until)
	}
}

func (l *Lab) cut(from, to int, until time.Duration) {
	l.SetCut(from, to, true)
	l.At(until, func() { l.SetCut(from, to, false) })
}

// heal has all nodes run and reach each other.
func (l *Lab) heal() {
	l.onRecord = nil
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
