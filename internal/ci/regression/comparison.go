package main

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"dunestep/internal/rehearsal/report"
)

// maxDrop is how much less of the worth the work tree may serve on a day, in the mean of its runs.
const maxDrop = 0.03

// rounding is by how much a difference of two services may be off in floating point.
const rounding = 1e-9

// outcome is the result of one run of one side.
type outcome struct {
	service   float64
	passed    bool // the gate of the day
	breaches  int  // of rules
	broken    []string
	crashed   bool
	notJudged string // why a live run has no verdict; empty: it has one
}

func newOutcome(r *report.Report) outcome {
	o := outcome{service: r.Service, crashed: r.Crash != nil}
	_, o.passed = r.GateLine()
	for _, rule := range r.Rules {
		if rule.Breaches > 0 {
			o.breaches += rule.Breaches
			o.broken = append(o.broken, rule.Name)
		}
	}
	if !r.Judged() {
		o.notJudged, o.passed = r.Live.Measured.NotJudged, false
	}
	return o
}

// row is the comparison of one day: the outcomes of BASE, then those of the work tree, in the order of the
// runs.
type row struct {
	name     string
	mode     mode
	floor    float64
	outcomes [2][]outcome
}

func newRow(d day) row {
	return row{
		name: d.scen.Name, mode: d.mode, floor: d.scen.Floor,
		outcomes: [2][]outcome{make([]outcome, d.runs), make([]outcome, d.runs)},
	}
}

// service returns the mean service of a side.
func (r row) service(side int) float64 {
	sum := 0.0
	for _, o := range r.outcomes[side] {
		sum += o.service
	}
	return sum / float64(len(r.outcomes[side]))
}

// difference is by how much more the work tree serves, in the mean.
func (r row) difference() float64 { return r.service(1) - r.service(0) }

// spread returns how far the mean difference may be off by the choice of seeds alone: twice its standard
// error, from the differences run by run.
func (r row) spread() float64 {
	n := float64(len(r.outcomes[0]))
	if n < 2 {
		return math.Inf(1)
	}
	mean, squares := r.difference(), 0.0
	for i, base := range r.outcomes[0] {
		deviation := r.outcomes[1][i].service - base.service - mean
		squares += deviation * deviation
	}
	return 2 * math.Sqrt(squares/(n-1)/n)
}

// isBeyondSpread reports whether the difference is more than the choice of seeds explains.
func (r row) isBeyondSpread() bool { return math.Abs(r.difference()) > r.spread() }

// passed returns how many runs of a side passed the day's gate.
func (r row) passed(side int) (n int) {
	for _, o := range r.outcomes[side] {
		if o.passed {
			n++
		}
	}
	return n
}

// breaches returns how often a side broke a rule.
func (r row) breaches(side int) (n int) {
	for _, o := range r.outcomes[side] {
		n += o.breaches
	}
	return n
}

// findings returns what is wrong with the work tree, a line each; none: it is no worse than BASE.
func findings(rows []row) (lines []string) {
	for _, r := range rows {
		for _, text := range r.findings() {
			lines = append(lines, fmt.Sprintf("%s (%s): %s", r.name, r.mode, text))
		}
	}
	return lines
}

func (r row) findings() (texts []string) {
	for i, now := range r.outcomes[1] {
		before := r.outcomes[0][i]
		switch {
		case now.crashed:
			texts = append(texts, fmt.Sprintf("run %d crashed", i+1))
		case now.notJudged != "" || before.notJudged != "":
			texts = append(texts, fmt.Sprintf("run %d is not judged: %s", i+1, now.notJudged+before.notJudged))
		case now.breaches > 0:
			texts = append(texts, fmt.Sprintf("run %d broke %s, %d times", i+1,
				strings.Join(slices.Compact(now.broken), ", "), now.breaches))
		case before.passed && !now.passed:
			texts = append(texts, fmt.Sprintf("run %d fails the gate, which BASE passed", i+1))
		}
	}
	if drop := -r.difference(); drop > maxDrop+rounding {
		texts = append(texts, fmt.Sprintf("service dropped by %.3f, over %.2f", drop, maxDrop))
	}
	return texts
}
