package rehearsal

import (
	"fmt"
	"strings"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/scenario"
)

// minPartOfLatePolicy is the part of the reference policy's service that all short runs together must
// reach: over all requests, in each class, and over the classes of each effect.
const minPartOfLatePolicy = 1.0 / 3

// shortRuns adds up the results of short runs.
type shortRuns struct {
	runs   int
	names  []string // keys of totals in order of first use
	totals map[string]*worthTotals
}

// worthTotals is the total worth of the requests, the part that was served, and the part that the reference
// policy serves.
type worthTotals struct{ requested, served, reference float64 }

func newShortRuns() *shortRuns { return &shortRuns{totals: map[string]*worthTotals{}} }

// add adds the shares of a run.
func (s *shortRuns) add(sc *scenario.Scenario, shares []judge.Share) {
	s.runs++
	s.count("all", shares[0])
	for i, c := range sc.Classes {
		s.count("class "+c.Name, shares[1+i])
		s.count(string(c.Effect)+" classes", shares[1+i])
	}
}

func (s *shortRuns) count(name string, share judge.Share) {
	totals := s.totals[name]
	if totals == nil {
		totals = &worthTotals{}
		s.totals[name], s.names = totals, append(s.names, name)
	}
	totals.requested += share.Worth
	totals.served += share.Served * share.Worth
	totals.reference += share.Delayed * share.Worth
}

// result judges all added runs together; ok is false if there were none.
func (s *shortRuns) result() (g GateResult, ok bool) {
	g = GateResult{Scenario: fmt.Sprintf("all %d short days", s.runs), Passed: true}
	var texts, low []string
	for _, name := range s.names {
		totals := s.totals[name]
		if totals.requested <= 0 {
			continue
		}
		served, required := totals.served/totals.requested, minPartOfLatePolicy*totals.reference/totals.requested
		texts = append(texts, fmt.Sprintf("%s %.2f (%.2f)", name, served, required))
		if served < required {
			low = append(low, fmt.Sprintf("%s served %.3f, asked %.3f", name, served, required))
		}
	}
	g.Line = "passed"
	if len(low) > 0 {
		g.Passed, g.Line = false, "FAILED, share too low: "+strings.Join(low, ", ")
	}
	g.Line += "; served (asked): " + strings.Join(texts, ", ")
	return g, s.runs > 0
}
