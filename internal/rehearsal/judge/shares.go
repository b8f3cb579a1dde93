package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/rehearsal/scenario"
)

// Share is a part of a run's worth that the gate checks separately, before prices.
type Share struct {
	Of     string  `json:"of"` // "the day", "class any", "tenant one", "third 1"
	Served float64 `json:"served"`
	Small  bool    `json:"small,omitempty"` // too small to be checked
	Worth  float64 `json:"asked_worth"`
	// Delayed is the part that the policy with a delayed view of the true state serves, and Minimum the minimum
	// required next to it. Both are 0 if that policy was not played; Minimum is also 0 if the policy itself
	// serves too little.
	Delayed float64 `json:"late,omitempty"`
	Minimum float64 `json:"wants,omitempty"`

	requiredPart float64 // part of what the delayed-view policy serves that is required
	minDelayed   float64 // minimum share of that policy for a requirement to apply
	wholeRun     bool    // the share of the whole run
}

// BelowMinimum reports whether less was served than required.
func (s *Share) BelowMinimum() bool { return s.Served < s.Minimum }

const (
	smallShare = 0.05 // part of the requests or the worth; a class or tenant below it is small
	longRun    = 10 * time.Minute
	// Required parts of the share that the delayed-view policy serves.
	classPart      = 0.5 // of each class and each third of a long run
	tenantPart     = 1.0 / 3
	shortThirdPart = 0.2 // of each third of a run that is not long

	calmMargin      = 0.1 // allowed distance below the delayed-view policy's share in a calm run
	minDelayedShare = 0.3 // share of the delayed-view policy below which nothing is required
)

// shares returns the parts of the run that the gate checks: the whole, each class and tenant, and each
// third. In a short run only the whole is checked by itself.
func (j *Judge) shares() []Share {
	s := &j.service
	of := func(name string, t tally, part float64) Share {
		if j.scenario.Gate.Short {
			part = 0
		}
		return Share{Of: name, Served: t.share(), Worth: t.requested, requiredPart: part}
	}
	all := []Share{of("the day", s.total, classPart)}
	all[0].wholeRun, all[0].requiredPart = true, j.scenario.Gate.OfDelayed
	for i, c := range j.scenario.Classes {
		v := of("class "+c.Name, s.classes[i], classPart)
		v.minDelayed = minDelayedShare
		v.Small = c.Effect == scenario.Safe && s.classes[i].requested < smallShare*s.total.requested &&
			float64(s.classFirsts[i]) < smallShare*float64(s.firstTries)
		all = append(all, v)
	}
	within := 0.0
	for _, t := range s.tenants {
		within += t.requested
	}
	for i, t := range j.scenario.Tenants {
		v := of("tenant "+t.Name, s.tenants[i], tenantPart)
		v.Small = s.tenants[i].requested < smallShare*within
		all = append(all, v)
	}
	ofThird := shortThirdPart
	if j.scenario.Run.Length >= longRun {
		ofThird = classPart
	}
	for i := range 3 {
		var t tally
		for _, second := range s.seconds[len(s.seconds)*i/3 : len(s.seconds)*(i+1)/3] {
			t.requested += second.requested
			t.served += second.served
		}
		all = append(all, of(fmt.Sprintf("third %d", i+1), t, ofThird))
	}
	return all
}

// SetMinimums sets the minimum of each share from what a policy with a delayed view of the true state
// serves in the same run.
func (v *Verdict) SetMinimums(delayed *Verdict) {
	for i := range v.Shares {
		s := &v.Shares[i]
		if i >= len(delayed.Shares) {
			continue
		}
		s.Delayed = delayed.Shares[i].Served
		if s.Small || s.Delayed < s.minDelayed {
			continue
		}
		if s.Minimum = s.requiredPart * s.Delayed; s.wholeRun && isCalm(v.Faults) {
			s.Minimum = max(s.Minimum, s.Delayed-calmMargin)
		}
	}
}

// isCalm reports whether a run had no fault; a surge of traffic is no fault.
func isCalm(all []FaultReport) bool {
	return !slices.ContainsFunc(all, func(s FaultReport) bool { return s.Kind != string(scenario.Surge) })
}
