package judge

import (
	"fmt"
	"time"
)

// Paces tells from the outside whether a kind's measured pace enters as promised: from how many keys that
// kind has for its capacity, against the others.
type Paces struct {
	// Violations are the first ones, Count is how many there were. First and Last are what was heard.
	Violations  []string
	Count       int
	First, Last float64

	heard   []density
	changed time.Duration // since when the kind is really otherwise; zero: it is as it was
}

type density struct {
	at  time.Duration
	per float64
}

const (
	// paceEvery is how long a step may take at the least, paceStep how large it is, paceSlack what keys are off
	// by.
	paceEvery = 10 * time.Minute
	paceStep  = 0.1
	paceSlack = 0.06
)

// Changed hears that the kind is otherwise from now on.
func (p *Paces) Changed(at time.Duration) { p.changed = at }

// Heard hears of the present density.
func (p *Paces) Heard(at time.Duration, per float64) {
	if p.First == 0 {
		p.First = per
	}
	p.heard, p.Last = append(p.heard, density{at, per}), per
	for at-p.heard[0].at > paceEvery-30*time.Second {
		p.heard = p.heard[1:]
	}
	if d := per/p.First - 1; p.changed == 0 && (d > paceSlack || d < -paceSlack) {
		p.breach("%v: the kind has %.2f of its keys, and is as it was", at, per/p.First)
	}
	for _, was := range p.heard {
		if d := per/was.per - 1; d > paceStep+paceSlack || d < -paceStep-paceSlack {
			p.breach("%v: the kind has %.2f times the keys of %v", at, per/was.per, at-was.at)
			return
		}
	}
}

func (p *Paces) breach(format string, args ...any) {
	if p.Count++; len(p.Violations) < maxViolations {
		p.Violations = append(p.Violations, fmt.Sprintf(format, args...))
	}
}
