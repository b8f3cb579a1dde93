package judge

import (
	"fmt"
	"slices"
	"time"

	"dunestep/internal/rehearsal/scenario"
)

// Share is a part of a day's worth that must not fall too low beside the rest, before prices.
type Share struct {
	Of     string  `json:"of"` // "the day", "class any", "tenant one", "third 1"
	Served float64 `json:"served"`
	Small  bool    `json:"small,omitempty"` // so little that nothing is asked of it
	Worth  float64 `json:"asked_worth"`
	// By a policy that sees the true state late, and what is asked beside it; zero where that was not played, or
	// serves so little itself that nothing is asked.
	Late  float64 `json:"late,omitempty"`
	Wants float64 `json:"wants,omitempty"`

	part  float64 // of what that policy serves, that is asked
	least float64 // that it has to serve, or nothing is asked
	day   bool    // it is the whole day
}

// Short tells whether less was served than is asked.
func (s *Share) Short() bool { return s.Served < s.Wants }

const (
	smallShare  = 0.05 // of the requests or the worth: below it a class or tenant is small
	longDay     = 10 * time.Minute
	ofLate      = 0.5 // asked of each class and each third of a long day, beside the policy that sees late
	ofLateGroup = 1.0 / 3
	ofLateThird = 0.2 // of each third of a day that is not long
	calmLess    = 0.1 // on a calm day, less than the policy that sees late serves
	leastLate   = 0.3 // served by that policy: less, and nothing is asked
)

// shares are the parts of the day that the gate asks of: the whole, each class and tenant, and each third. Of
// a short day only the whole is asked by itself.
func (j *Judge) shares() []Share {
	s := &j.service
	of := func(name string, t tally, part float64) Share {
		if j.set.Gate.Short {
			part = 0
		}
		return Share{Of: name, Served: t.share(), Worth: t.asked, part: part}
	}
	all := []Share{of("the day", s.whole, ofLate)}
	all[0].day, all[0].part = true, j.set.Gate.OfLate
	for i, c := range j.set.Classes {
		v := of("class "+c.Name, s.classes[i], ofLate)
		v.least = leastLate
		v.Small = c.Effect == scenario.Safe && s.classes[i].asked < smallShare*s.whole.asked &&
			float64(s.classFirsts[i]) < smallShare*float64(s.firstTries)
		all = append(all, v)
	}
	within := 0.0
	for _, t := range s.tenants {
		within += t.asked
	}
	for i, t := range j.set.Tenants {
		v := of("tenant "+t.Name, s.tenants[i], ofLateGroup)
		v.Small = s.tenants[i].asked < smallShare*within
		all = append(all, v)
	}
	ofThird := ofLateThird
	if j.set.Day.Length >= longDay {
		ofThird = ofLate
	}
	for i := range 3 {
		var t tally
		for _, second := range s.seconds[len(s.seconds)*i/3 : len(s.seconds)*(i+1)/3] {
			t.asked += second.asked
			t.served += second.served
		}
		all = append(all, of(fmt.Sprintf("third %d", i+1), t, ofThird))
	}
	return all
}

// Measure asks of each share of a day its part of what a policy that sees the true state late serves of the
// same day.
func (v *Verdict) Measure(late *Verdict) {
	for i := range v.Shares {
		s := &v.Shares[i]
		if i >= len(late.Shares) {
			continue
		}
		s.Late = late.Shares[i].Served
		if s.Small || s.Late < s.least {
			continue
		}
		if s.Wants = s.part * s.Late; s.day && calm(v.Spells) {
			s.Wants = max(s.Wants, s.Late-calmLess)
		}
	}
}

// calm tells whether nothing went wrong on a day; more traffic than usual is no fault.
func calm(all []Spell) bool {
	return !slices.ContainsFunc(all, func(s Spell) bool { return s.Kind != string(scenario.Surge) })
}
