package routing

import (
	"math"
	"time"
)

const (
	// minIdleWeight is the weight of a bucket's attempts below which it is not in an IdleSnapshot.
	minIdleWeight = 0.01
	// maxIdleWeight bounds what is believed of one.
	maxIdleWeight = 1e12
)

// IdleSnapshot is what an IdleLimit has learned, as plain values that can be kept over a restart. The keys of
// its encodings are stored and must not change.
type IdleSnapshot struct {
	Buckets    []IdleBucket  `cbor:"1,keyasint,omitempty" json:"steps"` // by their indexes
	SinceDecay time.Duration `cbor:"2,keyasint,omitempty" json:"ago_ns"`
}

// IdleBucket is how many attempts were sent on connections that had been idle for about so long, and how many
// of these were lost; those long past count for less.
type IdleBucket struct {
	Index int     `cbor:"1,keyasint" json:"step"`
	Used  float64 `cbor:"2,keyasint" json:"used"`
	Lost  float64 `cbor:"3,keyasint,omitempty" json:"lost"`
}

// Snapshot returns what was learned. SinceDecay is the time since its weights were last halved.
func (l *IdleLimit) Snapshot(now time.Duration) IdleSnapshot {
	m := IdleSnapshot{SinceDecay: max(now-l.since, 0)}
	for i := range l.used {
		if l.used[i] >= minIdleWeight {
			m.Buckets = append(m.Buckets, IdleBucket{Index: i, Used: l.used[i], Lost: l.lost[i]})
		}
	}
	return m
}

// Restore takes over a snapshot of that age, as far as its weights have not decayed. A negative age is not
// known, and nothing is restored.
func (l *IdleLimit) Restore(m IdleSnapshot, age time.Duration) {
	if age < 0 || m.SinceDecay < 0 {
		return
	}
	weight := math.Exp2(-(float64(age) + float64(min(m.SinceDecay, idleHalfLife))) / float64(idleHalfLife))
	for _, b := range m.Buckets {
		if b.Index >= 0 && b.Index < len(l.used) && b.Lost >= 0 && b.Used >= b.Lost && b.Used < maxIdleWeight {
			l.used[b.Index], l.lost[b.Index] = b.Used*weight, b.Lost*weight
		}
	}
	l.limit = l.best()
}
