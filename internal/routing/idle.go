package routing

import (
	"math/bits"
	"time"
)

const (
	// idleFraction of the time after which the other machine closes an idle connection: a route step that crosses
	// such a close ends as a reset, which an unsafe operation does not survive.
	idleFraction = 0.6
	// idleHalfLife is how soon half of what was seen is forgotten, so that a limit is put to the test again.
	idleHalfLife = 30 * time.Second
	// newConnectionCost is what a new connection costs, in lost route steps.
	newConnectionCost = 0.05
	// minSavedLosses is how many losses must be saved before connections are given up for it.
	minSavedLosses = 3.0
)

// IdleLimit learns after how long an idle connection had better not be used again. Guards against machines on
// the way that forget idle connections sooner than the settings say, and tell nobody: the next route step is
// lost, and an unsafe one is not repeated.
type IdleLimit struct {
	max   time.Duration
	limit time.Duration
	since time.Duration
	// By how long the connection had stood idle, in steps of a quarter of a power of two: see idleBucketOf.
	used, lost [128]float64
}

// NewIdleLimit begins with the most that the settings allow, where the other machine closes an idle
// connection after connIdle.
func NewIdleLimit(now, connIdle time.Duration) *IdleLimit {
	most := time.Duration(idleFraction * float64(connIdle))
	return &IdleLimit{max: most, limit: most, since: now}
}

// Limit is how long a connection may have stood idle to be used.
func (l *IdleLimit) Limit() time.Duration { return l.limit }

// Record takes in how a route step ended on a connection that had stood idle for so long; zero: a new one.
// Which ends count is for AttemptResult.IdleEvidence to say.
func (l *IdleLimit) Record(now, stood time.Duration, lost bool) {
	forget := now-l.since > idleHalfLife
	if forget {
		l.since = now
		for i := range l.used {
			l.used[i] /= 2
			l.lost[i] /= 2
		}
	}
	step := idleBucketOf(stood)
	l.used[step]++
	if lost {
		l.lost[step]++
	}
	if lost || forget {
		l.limit = l.best()
	}
}

// best is the limit that saves most: losses beyond those that shorter idle times see too, less the price of
// the new connections in their place.
func (l *IdleLimit) best() time.Duration {
	var used, lost, above, lostAbove float64
	for i := range l.used {
		above += l.used[i]
		lostAbove += l.lost[i]
	}
	limit, saves := l.max, minSavedLosses
	for i := range l.used {
		if used > 0 {
			if s := lostAbove - (lost/used+newConnectionCost)*above; s > saves {
				limit, saves = min(idleBucketStart(i), l.max), s
			}
		}
		used, lost = used+l.used[i], lost+l.lost[i]
		above, lostAbove = above-l.used[i], lostAbove-l.lost[i]
	}
	return limit
}

// idleBucketOf numbers a time by its highest bit and the two below it; idleBucketStart is where a step begins.
func idleBucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < 4 {
		return 0
	}
	high := bits.Len64(us) - 1
	return min(4*(high-1)+int(us>>(high-2)&3), 127)
}

func idleBucketStart(step int) time.Duration {
	if step < 4 {
		return 0
	}
	high := step/4 + 1
	return time.Duration(uint64(4+step%4)<<(high-2)) * time.Microsecond
}
