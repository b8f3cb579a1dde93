package voterlab

import (
	"time"

	"dunestep/internal/simnet"
)

// InjectFaults injects random faults, drawn by the seed, for the given length of time: loss, delays,
// duplicates, corruption, cuts of one direction or of an agent, pauses, wrong clocks, restarts with or
// without the disk, and changes of the configured voters. Disks are lost one at a time, and only when all
// voters are healthy; with Volatile each restart is such a loss.
func (l *Lab) InjectFaults(length time.Duration) {
	end := l.World.Now().Add(length)
	for l.World.Now().Before(end) {
		l.World.Run(l.World.Now().Add(time.Duration(100+l.rng.IntN(1500)) * time.Millisecond))
		l.injectFault()
	}
}

// injectFault injects one random fault; some of them end by themselves later.
func (l *Lab) injectFault() {
	a, b := uint32(l.rng.IntN(l.opts.Agents)), uint32(l.rng.IntN(l.opts.Agents))
	end := l.World.Now().Add(time.Duration(100+l.rng.IntN(6000)) * time.Millisecond)
	switch l.rng.IntN(11) {
	case 0:
		l.ClearNetworkFaults()
	case 1:
		l.World.Link(a, b).Cut = true
		l.World.At(end, func() { l.World.Link(a, b).Cut = false })
	case 2:
		l.isolate(a, true)
		l.World.At(end, func() { l.isolate(a, false) })
	case 3, 4:
		l.makeNetworkUnreliable()
	case 5:
		l.World.Pause(a)
		l.World.At(end, func() { l.World.Resume(a) })
	case 6:
		l.World.SetClock(a, clockOffset(a)+time.Duration(l.rng.Int64N(int64(clockError)))-clockError/2)
	case 7, 8:
		l.restart(a, end)
	case 9:
		if l.AreVotersHealthy() && !l.opts.Volatile {
			l.KillAndEraseDisk(a)
			l.World.Start(a)
		}
	case 10:
		l.replaceVoter()
	}
}

// makeNetworkUnreliable makes all links lose, duplicate, delay and corrupt messages.
func (l *Lab) makeNetworkUnreliable() {
	loss, duplicate, late := l.rng.Float64()*0.4, l.rng.Float64()*0.3, l.rng.Float64()*0.3
	corrupt := l.rng.Float64() * 0.02
	l.World.ChangeAll(func(link *simnet.Link) {
		*link = simnet.Link{
			Cut: link.Cut, Loss: loss, Duplicate: duplicate, Late: late, Lateness: 3 * time.Second, Corrupt: corrupt,
			Delay: time.Millisecond, Jitter: 30 * time.Millisecond,
		}
	})
}

// isolate cuts all links of an agent, or restores them.
func (l *Lab) isolate(a uint32, cut bool) {
	l.World.ChangeEach(func(from, to uint32, link *simnet.Link) {
		if from == a || to == a {
			link.Cut = cut
		}
	})
}

// restart ends a process and starts it again at startAt, with its disk; with Volatile, it starts 10 ms later
// without one.
func (l *Lab) restart(a uint32, startAt time.Time) {
	if !l.World.IsRunning(a) || l.opts.Volatile && !l.AreVotersHealthy() {
		return
	}
	if h := l.hosts[a]; h.pendingWrite != nil && l.rng.IntN(2) == 0 {
		h.disk.Apply(h.pendingWrite) // the write was completed but not reported
	}
	l.World.Kill(a)
	if l.opts.Volatile {
		startAt = l.World.Now().Add(10 * time.Millisecond)
	}
	l.World.At(startAt, func() { l.World.Start(a) })
}

// replaceVoter configures the spare agent instead of one of the voters.
func (l *Lab) replaceVoter() {
	if !l.AreVotersHealthy() || l.opts.Agents == l.opts.Voters {
		return
	}
	spare := uint32(0)
	for a := range l.opts.Agents {
		isConfigured := false
		for _, n := range l.configured {
			isConfigured = isConfigured || n == uint32(a)
		}
		if !isConfigured {
			spare = uint32(a)
		}
	}
	voters := append([]uint32(nil), l.configured...)
	voters[l.rng.IntN(len(voters))] = spare
	l.Configure(voters)
}
