package lab

import (
	"slices"
	"time"

	"dunestep/internal/control/maintenance"
	policylab "dunestep/internal/control/policy/lab"
)

// injectFault injects a fault of the week's focus, and one random fault. Random faults are less frequent in a
// week with a focus, and do not occur with olderBuild.
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
		for i := range voters { // all messages from voters to the node
			l.SetCut(i, n, true)
			l.At(until, func() { l.SetCut(i, n, false) })
		}
	}
}

// injectFocusedFault injects a fault of the week's focus, if a random open window is under way.
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

// failOtherServers takes down all servers but a window's for 90 s, and stops all voters. It restarts the
// voters when the window would otherwise be declared free, so that they have received no reports.
func (l *Lab) failOtherServers(w *maintenance.Window) {
	for i := range servers {
		if !slices.Contains(w.Nodes, serverID(i)) {
			l.downUntil[serverID(i)] = l.Now() + 90*time.Second
		}
	}
	at := w.DrainedAt + clockMargin + maxInFlight + time.Duration(l.Rand().Int64N(int64(5*time.Second)))
	for n := range voters {
		l.Stop(n)
		l.At(at, func() { l.startNode(n, policylab.StorageKept) })
	}
}

// startNode starts a node's process unless one is running.
func (l *Lab) startNode(n int, storage policylab.Storage) {
	if l.Incarnation(n) == 0 {
		l.Start(n, storage)
	}
}

// disturbWindow injects a random disturbance of a window: an operator's stop, unlisted servers, failing
// requests of a tenant, or overloaded agents.
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
			l.unlistedUntil[serverID(rng.IntN(servers))] = until
		}
	case 3:
		l.underservedUntil[w.Tenants[0]] = until
	case 4:
		for i := range 1 + l.setup.Agents/3 {
			l.overloadedUntil[i] = until
		}
	}
}

// restart stops a node, and starts it again at a time. Half of the restarts keep the stored records.
func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	storage := policylab.StorageLost
	if l.Rand().IntN(2) == 0 {
		storage = policylab.StorageKept
	}
	l.At(until, func() { l.startNode(n, storage) })
}

// injectFaultsAtRecords injects faults right after records of a window are agreed: the leader restarts, or an
// agent that still holds a lease is cut off. After a resumed window, requests are slow for 8 s.
func (l *Lab) injectFaultsAtRecords() {
	l.onStateChange = func(_ string, former, state maintenance.State) {
		rng := l.Rand()
		resumed := former == maintenance.Paused && state == maintenance.Planned
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

// heal starts all stopped nodes and restores all connections.
func (l *Lab) heal() {
	for n := range voters + l.setup.Agents {
		l.startNode(n, policylab.StorageKept)
		for i := range voters + l.setup.Agents {
			l.SetCut(n, i, false)
		}
	}
}
