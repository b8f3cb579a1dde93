package routing

import (
	"math/bits"
	"time"
)

const (
	// idleFraction is the fraction of the endpoint's idle timeout for which a connection is reused. An
	// attempt that is sent while the endpoint closes the connection ends as a reset, after which only an
	// idempotent request is retried.
	idleFraction = 0.6
	// idleHalfLife is the half-life of the weight of observations. The decay makes a lowered limit rise
	// again, so that longer idle times are tested again.
	idleHalfLife = 30 * time.Second
	// newConnectionCost is the cost of a new connection, in lost attempts.
	newConnectionCost = 0.05
	// minSavedLosses is the minimum number of lost attempts that a lower limit must save.
	minSavedLosses = 3.0
)

// IdleLimit learns how long a connection may have been idle to be reused. Machines on the network path may
// drop idle connections earlier than the configured timeout without notice: the next attempt on one is lost.
type IdleLimit struct {
	max          time.Duration // from the settings
	limit        time.Duration
	lastHalvedAt time.Duration // when used and lost were last halved
	// used and lost are the decayed counts of attempts by their connection's idle time; see idleBucketOf.
	used, lost [idleBuckets]float64
}

// NewIdleLimit returns an IdleLimit that starts at the maximum, for endpoints that close an idle
// connection after connIdle.
func NewIdleLimit(now, connIdle time.Duration) *IdleLimit {
	longest := time.Duration(idleFraction * float64(connIdle))
	return &IdleLimit{max: longest, limit: longest, lastHalvedAt: now}
}

// Limit returns how long a connection may have been idle to be reused.
func (l *IdleLimit) Limit() time.Duration { return l.limit }

// Record records whether an attempt was lost on its connection. idle is how long the connection had been idle
// before; zero: a new connection. AttemptResult.IdleEvidence reports which attempts to record.
//
//nolint:revive // flag-parameter: lost is observed, and is no choice of the caller's
func (l *IdleLimit) Record(now, idle time.Duration, lost bool) {
	halve := now-l.lastHalvedAt > idleHalfLife
	if halve {
		l.lastHalvedAt = now
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

// best returns the limit that saves the most: the losses at longer idle times, less those expected at the
// loss rate of shorter idle times and less the cost of new connections instead.
func (l *IdleLimit) best() time.Duration {
	var used, lost, longer, lostLonger float64 // below the bucket, and from it on
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

// idleBuckets is the number of ranges of idle times.
const idleBuckets = 128

// idleBucketOf returns the bucket of an idle time, from its highest bit and the two below it in microseconds:
// four buckets for each power of two.
func idleBucketOf(d time.Duration) int {
	us := uint64(max(d.Microseconds(), 0))
	if us < 4 {
		return 0
	}
	high := bits.Len64(us) - 1
	return min(4*(high-1)+int(us>>(high-2)&3), idleBuckets-1)
}

// idleBucketStart returns the shortest idle time of a bucket.
func idleBucketStart(bucket int) time.Duration {
	if bucket < 4 {
		return 0
	}
	high := bucket/4 + 1
	return time.Duration(uint64(4+bucket%4)<<(high-2)) * time.Microsecond
}
