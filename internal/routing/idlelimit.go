package routing

import (
	"math/bits"
	"time"
)

const (
	// idleFraction of the time after which the endpoint closes an idle connection is how long one is reused: an
	// attempt that crosses such a close ends as a reset, after which only an idempotent request is retried.
	idleFraction = 0.6
	// idleHalfLife is how soon observations lose half their weight, so that a limit is tested again.
	idleHalfLife = 30 * time.Second
	// newConnectionCost is what a new connection costs, in lost attempts.
	newConnectionCost = 0.05
	// minSavedLosses is how many lost attempts a lower limit must save.
	minSavedLosses = 3.0
)

// IdleLimit learns for how long an idle connection can be reused. Machines on the way may forget idle
// connections sooner than the settings say, and report that to nobody: the next attempt on one is lost.
type IdleLimit struct {
	max   time.Duration // by the settings
	limit time.Duration
	since time.Duration // when the weights were last halved
	// Attempts by how long their connection had been idle: see idleBucketOf.
	used, lost [idleBuckets]float64
}

// NewIdleLimit returns a limit that is as long as the settings allow, where the endpoint closes an idle
// connection after connIdle.
func NewIdleLimit(now, connIdle time.Duration) *IdleLimit {
	longest := time.Duration(idleFraction * float64(connIdle))
	return &IdleLimit{max: longest, limit: longest, since: now}
}

// Limit is how long a connection may have been idle to be reused.
func (l *IdleLimit) Limit() time.Duration { return l.limit }

// Record takes in whether an attempt was lost on a connection that had been idle for so long; zero: a new
// one. Which attempts count is for AttemptResult.IdleEvidence to say.
//
//nolint:revive // flag-parameter: lost is observed, and is no choice of the caller's
func (l *IdleLimit) Record(now, idle time.Duration, lost bool) {
	halve := now-l.since > idleHalfLife
	if halve {
		l.since = now
		for i := range l.used {
			l.used[i] /= 2
			l.lost[i] /= 2
		}
	}
	bucket := idleBucketOf(idle)
	l.used[bucket]++
	if lost {
		l.lost[bucket]++
	}
	if lost || halve {
		l.limit = l.best()
	}
}

// best is the limit that saves most: losses beyond those that shorter idle times see too, less the cost of
// new connections in their place.
func (l *IdleLimit) best() time.Duration {
	var used, lost, longer, lostLonger float64 // up to the bucket, and from it on
	for i := range l.used {
		longer += l.used[i]
		lostLonger += l.lost[i]
	}
	limit, saves := l.max, minSavedLosses
	for i := range l.used {
		if used > 0 {
			if s := lostLonger - (lost/used+newConnectionCost)*longer; s > saves {
				limit, saves = min(idleBucketStart(i), l.max), s
			}
		}
		used, lost = used+l.used[i], lost+l.lost[i]
		longer, lostLonger = longer-l.used[i], lostLonger-l.lost[i]
	}
	return limit
}

// idleBuckets is how many ranges of idle times are told apart.
const idleBuckets = 128

// idleBucketOf numbers an idle time, in microseconds, by its highest bit and the two below it: four buckets
// to each power of two.
func idleBucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < 4 {
		return 0
	}
	high := bits.Len64(us) - 1
	return min(4*(high-1)+int(us>>(high-2)&3), idleBuckets-1)
}

// idleBucketStart is the shortest idle time of a bucket.
func idleBucketStart(bucket int) time.Duration {
	if bucket < 4 {
		return 0
	}
	high := bucket/4 + 1
	return time.Duration(uint64(4+bucket%4)<<(high-2)) * time.Microsecond
}
