package overload

import (
	"math"
	"time"
)

// decayingSum is a sum that loses half of its weight in each half-life. An update with a time before the
// last one does not decay it.
type decayingSum struct {
	halfLife  time.Duration
	updatedAt time.Duration
	weight    float64
}

// decay brings the weight up to date, and returns the factor by which it shrank.
func (s *decayingSum) decay(now time.Duration) float64 {
	if now <= s.updatedAt {
		return 1
	}
	factor := math.Exp2(-float64(now-s.updatedAt) / float64(s.halfLife))
	s.updatedAt = now
	s.weight *= factor
	return factor
}

func (s *decayingSum) add(now time.Duration, n float64) {
	s.decay(now)
	s.weight += n
}

// perSecond returns the rate, per second, that the weight corresponds to.
func (s *decayingSum) perSecond(now time.Duration) float64 {
	s.decay(now)
	return s.weight * math.Ln2 / s.halfLife.Seconds()
}

// trackMean updates the weight as a decaying mean of the values passed.
func (s *decayingSum) trackMean(now time.Duration, value float64) {
	factor := s.decay(now)
	s.weight += value * (1 - factor)
}

// meanCount is the decaying mean of a count that changes in steps.
type meanCount struct {
	decayingSum
	count int
}

func (m *meanCount) changeBy(now time.Duration, n int) {
	m.mean(now)
	m.count += n
}

func (m *meanCount) mean(now time.Duration) float64 {
	m.trackMean(now, float64(m.count))
	return m.weight
}
