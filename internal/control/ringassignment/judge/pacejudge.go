package judge

import (
	"fmt"
	"time"
)

// PaceJudge checks from the outside whether the measured pace of a machine kind changes its keys as promised:
// from how many keys the kind has for its capacity, against the others.
type PaceJudge struct {
	// Violations are the first ones, Count is how many there were.
	Violations []string
	Count      int
	// First and Last are the first and the last density.
	First, Last float64

	recent    []density
	changedAt time.Duration // since when the kind's speed really differs; zero: it does not
}

// density is how many keys a kind has for its capacity, against the others, at a time.
type density struct {
	at              time.Duration
	keysPerCapacity float64
}

const (
	// paceInterval is the least time between two steps of a pace, less intervalMargin for the time that they
	// take.
	paceInterval   = 10 * time.Minute
	intervalMargin = 30 * time.Second
	// maxPaceStep is the fraction by which a pace may change at once.
	maxPaceStep = 0.1
	// densityError is the fraction by which densities may be off.
	densityError = 0.06
)

// KindChanged takes that the kind's speed really differs from now on.
func (p *PaceJudge) KindChanged(at time.Duration) { p.changedAt = at }

// AddDensity checks the present density.
func (p *PaceJudge) AddDensity(at time.Duration, keysPerCapacity float64) {
	if p.First == 0 {
		p.First = keysPerCapacity
	}
	p.recent, p.Last = append(p.recent, density{at, keysPerCapacity}), keysPerCapacity
	for at-p.recent[0].at > paceInterval-intervalMargin {
		p.recent = p.recent[1:]
	}
	if d := keysPerCapacity/p.First - 1; p.changedAt == 0 && (d > densityError || d < -densityError) {
		p.addViolation("%v: the kind has %.2f of its keys, and is as it was", at, keysPerCapacity/p.First)
	}
	for _, before := range p.recent {
		ratio := keysPerCapacity / before.keysPerCapacity
		if d := ratio - 1; d > maxPaceStep+densityError || d < -maxPaceStep-densityError {
			p.addViolation("%v: the kind has %.2f times the keys of %v", at, ratio, at-before.at)
			return
		}
	}
}

func (p *PaceJudge) addViolation(format string, args ...any) {
	if p.Count++; len(p.Violations) < maxViolations {
		p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
	}
}
