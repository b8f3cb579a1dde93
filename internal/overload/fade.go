package overload

import (
	"math"
	"time"
)

// faded is a weight that halves in a set time.
type decayingSum struct {
	halfLife  time.Duration
	updatedAt time.Duration
	weight    float64
}

// fade brings the weight up to date, and tells by how much it shrank.
func (f *decayingSum) decay(now time.Duration) float64 {
	if now <= f.updatedAt {
		return 1
	}
	by := math.Exp2(-float64(now-f.updatedAt) / float64(f.halfLife))
	f.updatedAt = now
	f.weight *= by
	return by
}

func (f *decayingSum) add(now time.Duration, n float64) {
	f.decay(now)
	f.weight += n
}

// perSecond is the rate that the faded weight stands for.
func (f *decayingSum) perSecond(now time.Duration) float64 {
	f.decay(now)
	return f.weight * math.Ln2 / f.halfLife.Seconds()
}

// follow makes the weight a mean of what it is given.
func (f *decayingSum) trackMean(now time.Duration, value float64) {
	by := f.decay(now)
	f.weight += value * (1 - by)
}

// level is a mean over the last moments of a count that changes in steps.
type meanCount struct {
	decayingSum
	count int
}

func (l *meanCount) add(now time.Duration, by int) {
	l.mean(now)
	l.count += by
}

func (l *meanCount) mean(now time.Duration) float64 {
	l.trackMean(now, float64(l.count))
	return l.weight
}
