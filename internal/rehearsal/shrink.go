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

// ErrNothingWrong is the answer to shrinking a day that passes.
var ErrNothingWrong = errors.New("the day passes: there is nothing to shrink it to")

// leastFirstTries is what a shrunk day keeps, so that a low service is not that of a handful of requests.
const leastFirstTries = 100

// A symptom is what is wrong with a day and must still be wrong with a smaller one.
type symptom struct {
	crash   bool
	rule    string // or term of the gate, that is broken; empty: the service is too low
	finding string // named in the report as well; empty: none was
	floor   float64
}

// symptomOf finds what is wrong with a day; ok is false where nothing is.
func symptomOf(r *report.Report) (s symptom, ok bool) {
	if r.Crash != nil {
		return symptom{crash: true}, true
	}
	for _, rule := range r.Rules {
		if rule.First != nil {
			return symptom{rule: rule.Name}, true
		}
	}
	for _, term := range r.Terms {
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

func (s symptom) shows(r *report.Report) bool {
	if s.crash {
		return r.Crash != nil
	}
	if s.rule != "" {
		broken := func(k judge.Rule) bool { return k.Name == s.rule && k.First != nil }
		return slices.ContainsFunc(r.Rules, broken) ||
			slices.ContainsFunc(r.Terms, func(k judge.Term) bool { return k.Name == s.rule && k.Broken })
	}
	named := func(f judge.Finding) bool { return f.Name == s.finding }
	return r.Service < s.floor && r.Counts.FirstTries >= leastFirstTries &&
		(s.finding == "" || slices.ContainsFunc(r.Findings, named))
}

// ShrinkOptions is what a day is shrunk with.
type ShrinkOptions struct {
	Without  []string
	Progress func(played int, now *scenario.Scenario) // told after each round of days; nil: nobody is
}

// Shrink returns the smallest scenario it finds that still shows what is wrong with the day: fewer
// troubles, servers, agents and clients, less time, and fewer of the world's habits. The seed is the
// scenario's own. Where the context ends first, the smallest so far comes with its error.
func Shrink(ctx context.Context, set *scenario.Scenario, o ShrinkOptions) (*scenario.Scenario, error) {
	r, err := Play(ctx, set, Options{Seed: set.Seed, Without: o.Without})
	if err != nil {
		return nil, err
	}
	wrong, any := symptomOf(r)
	if !any {
		return nil, ErrNothingWrong
	}
	played := 1
	for {
		smaller, n, err := firstThatShows(ctx, wrong, candidates(set), o)
		if played += n; err != nil || smaller == nil {
			return set, err
		}
		if set = smaller; o.Progress != nil {
			o.Progress(played, set)
		}
	}
}

// firstThatShows plays the candidates on all cores and returns the first, in their order, that shows what is
// wrong; nil: none does.
func firstThatShows(ctx context.Context, wrong symptom, all []*scenario.Scenario, o ShrinkOptions) (
	first *scenario.Scenario, played int, err error,
) {
	const together = 16
	for group := range slices.Chunk(all, together) {
		shows := make([]bool, len(group))
		err := onAllCores(ctx, len(group), func(i int) error {
			r, err := Play(ctx, group[i], Options{Seed: group[i].Seed, Without: o.Without})
			shows[i] = err == nil && wrong.shows(r)
			return err
		})
		played += len(group)
		if err != nil {
			return nil, played, err
		}
		if i := slices.Index(shows, true); i >= 0 {
			return group[i], played, nil
		}
	}
	return nil, played, nil
}

// A step makes a scenario smaller in one way; it returns false where there is nothing to take.
type step func(s *scenario.Scenario) bool

// candidates are the scenarios one step smaller that are scenarios still, the largest steps first.
func candidates(set *scenario.Scenario) []*scenario.Scenario {
	var steps []step
	for i := range set.Troubles {
		steps = append(steps, func(s *scenario.Scenario) bool {
			s.Troubles = slices.Delete(s.Troubles, i, i+1)
			return true
		})
	}
	steps = append(steps, halveDay, cutLead, halve(agents), halve(servers), thinLoad(0.5), oneLess(agents),
		oneLess(servers), thinLoad(0.8), shortenDay)
	steps = append(steps, plainer...)
	var all []*scenario.Scenario
	for _, take := range steps {
		if s := clone(set); take(s) {
			if s = valid(s); s != nil {
				all = append(all, s)
			}
		}
	}
	return all
}

// clone copies a scenario with all that it holds.
func clone(set *scenario.Scenario) *scenario.Scenario {
	s := *set
	s.Kinds, s.Classes = slices.Clone(s.Kinds), slices.Clone(s.Classes)
	s.Tenants, s.Troubles = slices.Clone(s.Tenants), slices.Clone(s.Troubles)
	s.Network.Zones = slices.Clone(s.Network.Zones)
	return &s
}

// valid is the scenario as its file would be read; nil: it would not.
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

func agents(s *scenario.Scenario) *int  { return &s.Agents.Count }
func servers(s *scenario.Scenario) *int { return &s.Fleet.Servers }

func halve(of func(*scenario.Scenario) *int) step {
	return func(s *scenario.Scenario) bool {
		n := of(s)
		*n /= 2
		return *n > 0 && fitTroubles(s)
	}
}

func oneLess(of func(*scenario.Scenario) *int) step {
	return func(s *scenario.Scenario) bool {
		n := of(s)
		*n--
		return *n > 0 && fitTroubles(s)
	}
}

// fitTroubles has troubles come over no more agents than there are; those that name none any more go.
func fitTroubles(s *scenario.Scenario) bool {
	var fit []scenario.Trouble
	for _, t := range s.Troubles {
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
	s.Troubles = fit
	return true
}

// thinLoad takes clients away.
func thinLoad(part float64) step {
	return func(s *scenario.Scenario) bool {
		for _, v := range []*scenario.Span{&s.Load.PerS, &s.Load.OfCapacity} {
			v.Low, v.High = v.Low*part, v.High*part
		}
		return true
	}
}

func halveDay(s *scenario.Scenario) bool { return endDay(s, s.Day.Length/2) }

func shortenDay(s *scenario.Scenario) bool {
	return endDay(s, s.Day.Length-max(s.Day.Length/10, time.Second))
}

// endDay ends the day sooner; troubles that begin later go.
func endDay(s *scenario.Scenario, length time.Duration) bool {
	s.Day.Length = length.Truncate(time.Second)
	tooLate := func(t scenario.Trouble) bool { return t.At.High >= s.Day.Length }
	s.Troubles = slices.DeleteFunc(s.Troubles, tooLate)
	return s.Day.Length > 0
}

const leastLead = 2 * time.Second

// cutLead halves the time before the first trouble.
func cutLead(s *scenario.Scenario) bool {
	if len(s.Troubles) == 0 {
		return false
	}
	first := s.Day.Length
	for _, t := range s.Troubles {
		first = min(first, t.At.Low)
	}
	cut := (first / 2).Truncate(time.Second)
	if cut == 0 || first-cut < leastLead {
		return false
	}
	for i := range s.Troubles {
		s.Troubles[i].At.Low -= cut
		s.Troubles[i].At.High -= cut
	}
	s.Day.Length -= cut
	return true
}

// plainer are the steps that take away what else a day has.
var plainer = []step{
	func(s *scenario.Scenario) bool {
		any := len(s.Tenants) > 0
		s.Tenants, s.Load.QuotaPerS, s.Load.QuotaOfCapacity = nil, scenario.Span{}, scenario.Span{}
		return any
	},
	func(s *scenario.Scenario) bool {
		any := len(s.Kinds) > 1
		s.Kinds = s.Kinds[:1]
		s.Kinds[0].Share = 1
		return any
	},
	func(s *scenario.Scenario) bool {
		any := len(s.Network.Zones) > 1
		s.Network.Zones = s.Network.Zones[:1]
		return any
	},
	oneClass(0), oneClass(1),
	func(s *scenario.Scenario) bool {
		any := s.Clients.Retries > 0
		s.Clients.Retries = 0
		return any
	},
	func(s *scenario.Scenario) bool {
		any := s.Load.Shape != scenario.Steady
		s.Load.Shape = scenario.Steady
		return any
	},
	none(func(s *scenario.Scenario) *scenario.Span { return &s.Load.Keys }),
	none(func(s *scenario.Scenario) *scenario.Span { return &s.Clients.Impatient }),
	none(func(s *scenario.Scenario) *scenario.Span { return &s.Network.Jitter }),
	none(func(s *scenario.Scenario) *scenario.Span { return &s.Kinds[0].ErrorRate }),
	none(func(s *scenario.Scenario) *scenario.Span { return &s.Kinds[0].Thrash }),
	func(s *scenario.Scenario) bool {
		any := s.Kinds[0].PauseEvery.High > 0
		s.Kinds[0].PauseEvery = scenario.TimeSpan{}
		return any
	},
}

func oneClass(n int) step {
	return func(s *scenario.Scenario) bool {
		if len(s.Classes) < 2 || n >= len(s.Classes) {
			return false
		}
		s.Classes = s.Classes[n : n+1]
		s.Classes[0].Share = 1
		return true
	}
}

// none takes a habit away.
func none(of func(*scenario.Scenario) *scenario.Span) step {
	return func(s *scenario.Scenario) bool {
		v := of(s)
		any := v.High > 0
		*v = scenario.Span{}
		return any
	}
}
