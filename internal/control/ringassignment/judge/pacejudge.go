package judge

import (
	"fmt"
	"time"
)

// PaceJudge checks that the keys of a machine kind follow its measured pace only as fast as guaranteed. Its
// input is the density of the kind: its number of keys for its capacity, relative to the other kinds.
type PaceJudge struct {
	// Violations are the first violations, at most 20; Count is the number of all.
	Violations []string
	Count      int
	// First and Last are the first and the last density.
	First, Last float64

	recent    []density
	changedAt time.Duration // when the kind's true speed changed; zero if it has not
}

// density is the number of keys that a kind has for its capacity, relative to the other kinds, at one time.
type density struct {
	at              time.Duration
	keysPerCapacity float64
}

const (
	// paceInterval is the minimum time between two steps of a pace. The check uses intervalMargin less, because
	// a step takes some time.
	paceInterval   = 10 * time.Minute
	intervalMargin = 30 * time.Second
	// maxPaceStep is the maximum relative change of a pace in one step.
	maxPaceStep = 0.1
	// densityError is the tolerated relative error of a density.
	densityError = 0.06
)

// KindChanged records that the kind's true speed changes at the given time.
func (p *PaceJudge) KindChanged(at time.Duration) { p.changedAt = at }

// AddDensity checks the density at the given time.
func (p *PaceJudge) AddDensity(at time.Duration, keysPerCapacity float64) {
	if p.First == 0 {
		p.First = keysPerCapacity
	}
	p.recent, p.Last = append(p.recent, density{at, keysPerCapacity}), keysPerCapacity
	for at-p.recent[0].at > paceInterval-intervalMargin {
		p.recent = p.recent[1:]
	}
	if d := keysPerCapacity/p.First - 1; p.changedAt == 0 && (d > densityError || d < -densityError) {
		p.addViolation("%v: the kind has %.2f times its first density, at unchanged speed", at,
			keysPerCapacity/p.First)
	}
	for _, before := range p.recent {
		ratio := keysPerCapacity / before.keysPerCapacity
		if d := ratio - 1; d > maxPaceStep+densityError || d < -maxPaceStep-densityError {
			p.addViolation("%v: the kind has %.2f times the keys that it had %v before", at, ratio, at-before.at)
			return
		}
	}
}

func (p *PaceJudge) addViolation(format string, args ...any) {
	if p.Count++; len(p.Violations) < maxViolations {
		p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
	}
}
