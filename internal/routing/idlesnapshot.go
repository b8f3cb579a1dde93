package routing

import (
	"math"
	"time"
)

const (
	// minIdleWeight is the minimum weight of a bucket's attempts for it to be in an IdleSnapshot.
	minIdleWeight = 0.01
	// maxIdleWeight is the exclusive upper bound of a restored bucket's weight; larger ones are invalid.
	maxIdleWeight = 1e12
)

// IdleSnapshot is what an IdleLimit has learned, as plain values that can be stored across a restart. The
// keys of its encodings are stored and must not change.
type IdleSnapshot struct {
	Buckets    []IdleBucket  `cbor:"1,keyasint,omitempty" json:"steps"` // by ascending index
	SinceDecay time.Duration `cbor:"2,keyasint,omitempty" json:"ago_ns"`
}

// IdleBucket is the decayed number of attempts that were sent on connections whose idle time is in one range,
// and of those that were lost.
type IdleBucket struct {
	Index int     `cbor:"1,keyasint" json:"step"`
	Used  float64 `cbor:"2,keyasint" json:"used"`
	Lost  float64 `cbor:"3,keyasint,omitempty" json:"lost"`
}

// Snapshot returns what was learned. SinceDecay is the time since the weights were last halved.
func (l *IdleLimit) Snapshot(now time.Duration) IdleSnapshot {
	s := IdleSnapshot{SinceDecay: max(now-l.lastHalvedAt, 0)}
	for i := range l.used {
		if l.used[i] >= minIdleWeight {
			s.Buckets = append(s.Buckets, IdleBucket{Index: i, Used: l.used[i], Lost: l.lost[i]})
		}
	}
	return s
}

// Restore replaces the weights by those of a snapshot, decayed by its age. A negative age means that the
// age is not known, and nothing is restored.
func (l *IdleLimit) Restore(s IdleSnapshot, age time.Duration) {
	if age < 0 || s.SinceDecay < 0 {
		return
	}
	weight := math.Exp2(-(float64(age) + float64(min(s.SinceDecay, idleHalfLife))) / float64(idleHalfLife))
	for _, b := range s.Buckets {
		if b.Index >= 0 && b.Index < len(l.used) && b.Lost >= 0 && b.Used >= b.Lost && b.Used < maxIdleWeight {
			l.used[b.Index], l.lost[b.Index] = b.Used*weight, b.Lost*weight
		}
	}
	l.limit = l.best()
}
