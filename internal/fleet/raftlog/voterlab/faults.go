package voterlab

import (
	"time"

	"dunestep/internal/simnet"
)

// Hunt plays faults by the seed for a time: losses, delays, doubles, corruption, cuts of one direction or
// of an agent, pauses, clocks that are off, ends of processes with their disk or without it, and voters
// named anew. Disks are lost one at a time, when all voters are healthy; with Volatile each end of a
// process is such a loss.
func (l *Lab) Hunt(length time.Duration) {
	end := l.World.Now().Add(length)
	for l.World.Now().Before(end) {
		l.World.Run(l.World.Now().Add(time.Duration(100+l.random.IntN(1500)) * time.Millisecond))
		l.fault()
	}
}

func (l *Lab) fault() {
	a, b := uint32(l.random.IntN(l.opts.Agents)), uint32(l.random.IntN(l.opts.Agents))
	end := l.World.Now().Add(time.Duration(100+l.random.IntN(6000)) * time.Millisecond)
	switch l.random.IntN(11) {
	case 0:
		l.Calm()
	case 1:
		l.World.Link(a, b).Cut = true
		l.World.At(end, func() { l.World.Link(a, b).Cut = false })
	case 2:
		l.isolate(a, true)
		l.World.At(end, func() { l.isolate(a, false) })
	case 3, 4:
		l.degradeNetwork()
	case 5:
		l.World.Pause(a)
		l.World.At(end, func() { l.World.Resume(a) })
	case 6:
		l.World.SetClock(a, clockOffset(a)+time.Duration(l.random.Int64N(int64(clockError)))-clockError/2)
	case 7, 8:
		l.end(a, end)
	case 9:
		if l.Healthy() && !l.opts.Volatile {
			l.Lose(a)
			l.World.Start(a)
		}
	case 10:
		l.replaceVoter()
	}
}

// rough makes the whole network bad.
func (l *Lab) degradeNetwork() {
	loss, double, late := l.random.Float64()*0.4, l.random.Float64()*0.3, l.random.Float64()*0.3
	corrupt := l.random.Float64() * 0.02
	l.World.ChangeAll(func(k *simnet.Link) {
		*k = simnet.Link{
			Cut: k.Cut, Loss: loss, Duplicate: double, Late: late, Lateness: 3 * time.Second, Corrupt: corrupt,
			Delay: time.Millisecond, Jitter: 30 * time.Millisecond,
		}
	})
}

func (l *Lab) isolate(a uint32, cut bool) {
	l.World.ChangeEach(func(from, to uint32, k *simnet.Link) {
		if from == a || to == a {
			k.Cut = cut
		}
	})
}

// end ends a process and starts it again, with what its disk has.
func (l *Lab) end(a uint32, again time.Time) {
	if !l.World.IsRunning(a) || l.opts.Volatile && !l.Healthy() {
		return
	}
	if h := l.hosts[a]; h.writing != nil && l.random.IntN(2) == 0 {
		h.disk.write(h.writing) // it was done, but nobody was told
	}
	l.World.Kill(a)
	if l.opts.Volatile {
		again = l.World.Now().Add(10 * time.Millisecond)
	}
	l.World.At(again, func() { l.World.Start(a) })
}

// rename names the spare agent instead of one of the voters.
func (l *Lab) replaceVoter() {
	if !l.Healthy() || l.opts.Agents == l.opts.Voters {
		return
	}
	spare := uint32(0)
	for a := range l.opts.Agents {
		named := false
		for _, n := range l.named {
			named = named || n == uint32(a)
		}
		if !named {
			spare = uint32(a)
		}
	}
	names := append([]uint32(nil), l.named...)
	names[l.random.IntN(len(names))] = spare
	l.Name(names)
}
