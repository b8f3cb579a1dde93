package rehearsal

import (
	"context"
	"errors"
	"slices"
	"time"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
)

// ErrScenarioPasses is returned by Shrink for a scenario that passes.
var ErrScenarioPasses = errors.New("the scenario passes; there is no failure to reproduce")

// minFirstTries is the minimum number of requests of a shrunk run, so that its service is not that of a
// handful of requests.
const minFirstTries = 100

// A symptom is a failure of a run that a smaller scenario must reproduce.
type symptom struct {
	crash   bool
	rule    string // broken rule or gate term; empty: the service is too low
	finding string // finding that the report must contain as well; empty: none
	floor   float64
}

// symptomOf returns the failure that a report shows; ok is false if the run passed.
func symptomOf(r *report.Report) (s symptom, ok bool) {
	if r.Crash != nil {
		return symptom{crash: true}, true
	}
	for _, rule := range r.Rules {
		if rule.First != nil {
			return symptom{rule: rule.Name}, true
		}
	}
	for _, term := range r.Limits {
		if term.Broken {
			return symptom{rule: term.Name}, true
		}
	}
	if r.Service >= r.Floor {
		return s, false
	}
	s.floor = r.Floor
	if slices.ContainsFunc(r.Findings, func(f judge.Finding) bool { return f.Name == judge.KeptAlive }) {
		s.finding = judge.KeptAlive
	}
	return s, true
}

func (s symptom) presentIn(r *report.Report) bool {
	if s.crash {
		return r.Crash != nil
	}
	if s.rule != "" {
		broken := func(k judge.Rule) bool { return k.Name == s.rule && k.First != nil }
		return slices.ContainsFunc(r.Rules, broken) ||
			slices.ContainsFunc(r.Limits, func(k judge.GateLimit) bool { return k.Name == s.rule && k.Broken })
	}
	named := func(f judge.Finding) bool { return f.Name == s.finding }
	return r.Service < s.floor && r.Counts.FirstTries >= minFirstTries &&
		(s.finding == "" || slices.ContainsFunc(r.Findings, named))
}

// ShrinkOptions configures Shrink.
type ShrinkOptions struct {
	Without  []string                                 // names of protections to disable
	Progress func(played int, now *scenario.Scenario) // called after each reduction; may be nil
}

// Shrink returns the smallest scenario it finds that still fails in the same way: with fewer faults,
// servers, agents and clients, a shorter duration and fewer features. It uses the scenario's own seed. If
// the context ends first, Shrink returns the smallest scenario so far with the context's error.
func Shrink(ctx context.Context, sc *scenario.Scenario, o ShrinkOptions) (*scenario.Scenario, error) {
	r, err := Play(ctx, sc, Options{Seed: sc.Seed, Without: o.Without})
	if err != nil {
		return nil, err
	}
	failure, ok := symptomOf(r)
	if !ok {
		return nil, ErrScenarioPasses
	}
	played := 1
	for {
		smaller, n, err := firstWithSymptom(ctx, failure, candidates(sc), o)
		if played += n; err != nil || smaller == nil {
			return sc, err
		}
		if sc = smaller; o.Progress != nil {
			o.Progress(played, sc)
		}
	}
}

// firstWithSymptom runs the candidates on all cores and returns the first in their order that shows the
// symptom, or nil if none does, with the number of runs.
func firstWithSymptom(ctx context.Context, failure symptom, all []*scenario.Scenario, o ShrinkOptions) (
	first *scenario.Scenario, played int, err error,
) {
	const groupSize = 16
	for group := range slices.Chunk(all, groupSize) {
		failed := make([]bool, len(group))
		err := onAllCores(ctx, len(group), func(i int) error {
			r, err := Play(ctx, group[i], Options{Seed: group[i].Seed, Without: o.Without})
			failed[i] = err == nil && failure.presentIn(r)
			return err
		})
		played += len(group)
		if err != nil {
			return nil, played, err
		}
		if i := slices.Index(failed, true); i >= 0 {
			return group[i], played, nil
		}
	}
	return nil, played, nil
}

// A reduction makes a scenario smaller in one way; it returns false if it does not apply.
type reduction func(s *scenario.Scenario) bool

// candidates returns the valid scenarios that are one reduction smaller, largest reductions first.
func candidates(sc *scenario.Scenario) []*scenario.Scenario {
	var reductions []reduction
	for i := range sc.Faults {
		reductions = append(reductions, func(s *scenario.Scenario) bool {
			s.Faults = slices.Delete(s.Faults, i, i+1)
			return true
		})
	}
	reductions = append(reductions, halveDuration, cutLead, halve(agentCount), halve(serverCount),
		reduceLoad(0.5), decrement(agentCount), decrement(serverCount), reduceLoad(0.8), shortenDuration)
	reductions = append(reductions, featureRemovals...)
	var all []*scenario.Scenario
	for _, reduce := range reductions {
		if s := clone(sc); reduce(s) {
			if s = valid(s); s != nil {
				all = append(all, s)
			}
		}
	}
	return all
}

// clone returns a copy of a scenario that shares no slices with it.
func clone(sc *scenario.Scenario) *scenario.Scenario {
	s := *sc
	s.Kinds, s.Classes = slices.Clone(s.Kinds), slices.Clone(s.Classes)
	s.Tenants, s.Faults = slices.Clone(s.Tenants), slices.Clone(s.Faults)
	s.Network.Zones = slices.Clone(s.Network.Zones)
	return &s
}

// valid returns the scenario as parsed from its encoded file, or nil if it does not parse.
func valid(s *scenario.Scenario) *scenario.Scenario {
	text, err := scenario.Encode(s)
	if err != nil {
		return nil
	}
	again, err := scenario.Parse("shrunk", text)
	if err != nil {
		return nil
	}
	return again
}

func agentCount(s *scenario.Scenario) *int  { return &s.Agents.Count }
func serverCount(s *scenario.Scenario) *int { return &s.Fleet.Servers }

func halve(of func(*scenario.Scenario) *int) reduction {
	return func(s *scenario.Scenario) bool {
		n := of(s)
		*n /= 2
		return *n > 0 && fitFaults(s)
	}
}

func decrement(of func(*scenario.Scenario) *int) reduction {
	return func(s *scenario.Scenario) bool {
		n := of(s)
		*n--
		return *n > 0 && fitFaults(s)
	}
}

// fitFaults limits faults to the existing agents and removes those that named only agents that no longer
// exist.
func fitFaults(s *scenario.Scenario) bool {
	var fit []scenario.FaultSpec
	for _, t := range s.Faults {
		t.Count = min(t.Count, s.Agents.Count)
		emptied := false
		for _, numbers := range []*[]int{&t.Agents, &t.From, &t.To} {
			tooHigh := func(n int) bool { return n >= s.Agents.Count }
			if had := len(*numbers) > 0; had {
				*numbers = slices.DeleteFunc(slices.Clone(*numbers), tooHigh)
				emptied = emptied || len(*numbers) == 0
			}
		}
		if !emptied {
			fit = append(fit, t)
		}
	}
	s.Faults = fit
	return true
}

// reduceLoad multiplies the load by part.
func reduceLoad(part float64) reduction {
	return func(s *scenario.Scenario) bool {
		for _, v := range []*scenario.Span{&s.Load.PerS, &s.Load.OfCapacity} {
			v.Low, v.High = v.Low*part, v.High*part
		}
		return true
	}
}

func halveDuration(s *scenario.Scenario) bool { return endAt(s, s.Run.Length/2) }

func shortenDuration(s *scenario.Scenario) bool {
	return endAt(s, s.Run.Length-max(s.Run.Length/10, time.Second))
}

// endAt shortens the run to length and removes the faults that begin later.
func endAt(s *scenario.Scenario, length time.Duration) bool {
	s.Run.Length = length.Truncate(time.Second)
	tooLate := func(t scenario.FaultSpec) bool { return t.At.High >= s.Run.Length }
	s.Faults = slices.DeleteFunc(s.Faults, tooLate)
	return s.Run.Length > 0
}

const minLead = 2 * time.Second

// cutLead halves the time before the first fault, to no less than minLead.
func cutLead(s *scenario.Scenario) bool {
	if len(s.Faults) == 0 {
		return false
	}
	first := s.Run.Length
	for _, t := range s.Faults {
		first = min(first, t.At.Low)
	}
	cut := (first / 2).Truncate(time.Second)
	if cut == 0 || first-cut < minLead {
		return false
	}
	for i := range s.Faults {
		s.Faults[i].At.Low -= cut
		s.Faults[i].At.High -= cut
	}
	s.Run.Length -= cut
	return true
}

// featureRemovals are the reductions that each remove a feature of the scenario.
var featureRemovals = []reduction{
	func(s *scenario.Scenario) bool {
		changed := len(s.Tenants) > 0
		s.Tenants, s.Load.QuotaPerS, s.Load.QuotaOfCapacity = nil, scenario.Span{}, scenario.Span{}
		return changed
	},
	func(s *scenario.Scenario) bool {
		changed := len(s.Kinds) > 1
		s.Kinds = s.Kinds[:1]
		s.Kinds[0].Share = 1
		return changed
	},
	func(s *scenario.Scenario) bool {
		changed := len(s.Network.Zones) > 1
		s.Network.Zones = s.Network.Zones[:1]
		return changed
	},
	keepOneClass(0), keepOneClass(1),
	func(s *scenario.Scenario) bool {
		changed := s.Clients.Retries > 0
		s.Clients.Retries = 0
		return changed
	},
	func(s *scenario.Scenario) bool {
		changed := s.Load.Shape != scenario.Steady
		s.Load.Shape = scenario.Steady
		return changed
	},
	zeroSpan(func(s *scenario.Scenario) *scenario.Span { return &s.Load.Keys }),
	zeroSpan(func(s *scenario.Scenario) *scenario.Span { return &s.Clients.Impatient }),
	zeroSpan(func(s *scenario.Scenario) *scenario.Span { return &s.Network.Jitter }),
	zeroSpan(func(s *scenario.Scenario) *scenario.Span { return &s.Kinds[0].ErrorRate }),
	zeroSpan(func(s *scenario.Scenario) *scenario.Span { return &s.Kinds[0].Thrash }),
	func(s *scenario.Scenario) bool {
		changed := s.Kinds[0].PauseEvery.High > 0
		s.Kinds[0].PauseEvery = scenario.TimeSpan{}
		return changed
	},
}

func keepOneClass(n int) reduction {
	return func(s *scenario.Scenario) bool {
		if len(s.Classes) < 2 || n >= len(s.Classes) {
			return false
		}
		s.Classes = s.Classes[n : n+1]
		s.Classes[0].Share = 1
		return true
	}
}

// zeroSpan returns a reduction that sets a span of the scenario to zero.
func zeroSpan(of func(*scenario.Scenario) *scenario.Span) reduction {
	return func(s *scenario.Scenario) bool {
		v := of(s)
		changed := v.High > 0
		*v = scenario.Span{}
		return changed
	}
}
