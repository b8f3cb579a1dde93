package routing

import (
	"math"
	"time"
)

// IdleSnapshot is what an IdleLimit has learned, as plain values that can be kept over a restart.
type IdleSnapshot struct {
	Buckets    []IdleBucket  `cbor:"1,keyasint,omitempty" json:"steps"` // by their numbers
	SinceDecay time.Duration `cbor:"2,keyasint,omitempty" json:"ago_ns"`
}

// IdleBucket is how many route steps went out on connections that had stood idle for about so long, and how
// many of these were lost; those long past count for less.
type IdleBucket struct {
	Index int     `cbor:"1,keyasint" json:"step"`
	Used  float64 `cbor:"2,keyasint" json:"used"`
	Lost  float64 `cbor:"3,keyasint,omitempty" json:"lost"`
}

// Snapshot returns what was learned. SinceDecay is since it was last made to count for half.
func (l *IdleLimit) Snapshot(now time.Duration) IdleSnapshot {
	m := IdleSnapshot{SinceDecay: max(now-l.since, 0)}
	for i := range l.used {
		if l.used[i] >= 0.01 {
			m.Buckets = append(m.Buckets, IdleBucket{Index: i, Used: l.used[i], Lost: l.lost[i]})
		}
	}
	return m
}

// Restore takes back what was learned so long ago, as far as it has not been forgotten by now; a negative age
// is not known.
func (l *IdleLimit) Restore(m IdleSnapshot, age time.Duration) {
	if age < 0 || m.SinceDecay < 0 {
		return
	}
	left := math.Exp2(-(float64(age) + float64(min(m.SinceDecay, idleHalfLife))) / float64(idleHalfLife))
	for _, s := range m.Buckets {
		if s.Index >= 0 && s.Index < len(l.used) && s.Lost >= 0 && s.Used >= s.Lost && s.Used < 1e12 {
			l.used[s.Index], l.lost[s.Index] = s.Used*left, s.Lost*left
		}
	}
	l.limit = l.best()
}
