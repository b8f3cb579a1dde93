package lab

import (
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	policylab "dunestep/internal/control/policy/lab"
)

// injectFault has one thing go wrong.
func (l *Lab) injectFault() {
	rng := l.Rand()
	l.injectFocusedFault()
	if l.focus != mixed && rng.IntN(4) > 0 || l.focus == olderBuild {
		return
	}
	n := rng.IntN(voters + l.setup.Agents)
	until := l.Now() + time.Duration(rng.Int64N(int64(20*time.Second)))
	switch rng.IntN(8) {
	case 0:
		l.Pause(n, l.Now()+time.Minute)
	case 1:
		l.Pause(n, until)
	case 2:
		l.CutOff(n, until)
	case 3:
		l.CutOff(voters+rng.IntN(l.setup.Agents), l.Now()+time.Duration(rng.Int64N(int64(3*time.Hour))))
	case 4:
		l.SetClock(n, time.Duration((2*rng.Float64()-1)*float64(100*time.Millisecond)),
			1+(2*rng.Float64()-1)*0.001)
	case 5:
		l.restart(n, until)
	case 6:
		l.restart(max(l.Leader(), 0), until)
	case 7:
		for i := range voters { // one way
			l.SetCut(i, n, true)
			l.At(until, func() { l.SetCut(i, n, false) })
		}
	}
}

// injectFocusedFault has go wrong what the week focuses on.
func (l *Lab) injectFocusedFault() {
	rng := l.Rand()
	all := openWindows(l.windows())
	if len(all) == 0 {
		return
	}
	w := all[rng.IntN(len(all))]
	if l.Now() < w.From || l.Now() >= w.To {
		return
	}
	switch l.focus {
	case cutOffAcross:
		if rng.IntN(4) == 0 {
			l.CutOff(voters+rng.IntN(l.setup.Agents), w.To+time.Duration(rng.Int64N(int64(time.Hour))))
		}
	case contractsChange:
		if rng.IntN(6) == 0 && l.State().OpenChange == nil {
			l.Propose(rng.IntN(voters), l.contractsDocument(rng.IntN(len(eastHours))))
			if rng.IntN(2) == 0 {
				l.restart(max(l.Leader(), 0), l.Now()+10*time.Second)
			}
		}
	case pausedLate:
		if w.State == maintenance.Planned && l.Now() < w.DrainedAt && l.Now() > w.DrainedAt-10*time.Second {
			l.underservedUntil[w.Tenants[0]] = l.Now() + 3*time.Second
		}
	case othersFail:
		if l.Now() > w.DrainedAt && l.Now() < w.DrainedAt+20*time.Second && w.State == maintenance.Planned {
			l.failOtherServers(w)
		}
	case disturbed:
		l.disturbWindow(w)
	}
}

// failOtherServers has all servers but a window's be down while there are no voters. These are restarted when
// the window would otherwise be free: nobody has reported to them.
func (l *Lab) failOtherServers(w *maintenance.Window) {
	for i := range servers {
		if !slices.Contains(w.Nodes, server(i)) {
			l.failingUntil[server(i)] = l.Now() + 90*time.Second
		}
	}
	at := w.DrainedAt + clockMargin + maxInFlight + time.Duration(l.Rand().Int64N(int64(5*time.Second)))
	for n := range voters {
		l.Stop(n)
		l.At(at, func() { l.startNode(n, policylab.StorageKept) })
	}
}

// startNode starts a node's process if none runs.
func (l *Lab) startNode(n int, storage policylab.Storage) {
	if l.Incarnation(n) == 0 {
		l.Start(n, storage)
	}
}

// disturbWindow has an operator stop a window, or servers, tenants or agents be in trouble.
func (l *Lab) disturbWindow(w *maintenance.Window) {
	rng := l.Rand()
	until := l.Now() + time.Duration(rng.Int64N(int64(time.Minute)))
	switch rng.IntN(12) {
	case 0:
		n := rng.IntN(voters)
		if l.isRunning(n) {
			p := l.Application(n).(*application)
			l.SubmitApplicationRecord(n, p.EncodeStop(l.Reading(n), w.ID, "stopped by an operator"))
		}
	case 1, 2:
		for range 4 {
			l.lostUntil[server(rng.IntN(servers))] = until
		}
	case 3:
		l.underservedUntil[w.Tenants[0]] = until
	case 4:
		for i := range 1 + l.setup.Agents/3 {
			l.overloadedUntil[i] = until
		}
	}
}

// restart ends a node's process, and starts it again later.
func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	storage := policylab.StorageLost
	if l.Rand().IntN(2) == 0 {
		storage = policylab.StorageKept
	}
	l.At(until, func() { l.startNode(n, storage) })
}

// injectFaultsAtRecords has things go wrong right after one of a window's records: the leader ends, or an
// agent is cut off that still holds a lease.
func (l *Lab) injectFaultsAtRecords() {
	l.onState = func(_ string, was, is maintenance.State) {
		rng := l.Rand()
		resumed := was == maintenance.Paused && is == maintenance.Planned
		if resumed {
			l.slowUntil = l.Now() + 8*time.Second
		}
		if resumed || rng.IntN(6) == 0 && l.focus != olderBuild {
			l.CutOff(voters+rng.IntN(l.setup.Agents), l.Now()+time.Duration(rng.Int64N(int64(time.Minute))))
		}
		if l.focus == pausedLate {
			return
		}
		if rng.IntN(4) == 0 && l.Leader() >= 0 {
			l.restart(l.Leader(), l.Now()+time.Duration(rng.Int64N(int64(8*time.Second))))
		}
	}
}

// heal has all nodes run and reach each other.
func (l *Lab) heal() {
	for n := range voters + l.setup.Agents {
		l.startNode(n, policylab.StorageKept)
		for i := range voters + l.setup.Agents {
			l.SetCut(n, i, false)
		}
	}
}
