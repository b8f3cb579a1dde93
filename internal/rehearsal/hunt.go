package rehearsal

import (
	"cmp"
	"context"
	"runtime"
	"slices"
	"sync"

	"golang.org/x/sync/errgroup"

	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
)

// Found is a day of a hunt.
type Found struct {
	Seed     uint64   `json:"seed"`
	Passed   bool     `json:"passed"`
	Crashed  bool     `json:"crashed"`
	Service  float64  `json:"service"`
	Broken   []string `json:"broken"`   // the rules that were, and the gate's terms, by name
	Findings []string `json:"findings"` // by name, each once
}

// HuntOptions is what a hunt plays beside its scenario.
type HuntOptions struct {
	First    uint64 // seed
	Seeds    int
	Without  []string
	Placed   bool                   // agents place by agreed generations in any case
	Progress func(done, failed int) // told after each day, from one goroutine at a time; nil: nobody is
}

// Hunt plays the scenario with many seeds on all cores and returns the days, the worst first: those that
// crashed, then those with more rules broken, then those with less service, then by seed. Where the context
// ends first, the days played so far come with its error.
func Hunt(ctx context.Context, set *scenario.Scenario, o HuntOptions) ([]Found, error) {
	if _, _, err := figuresWithout(o.Without); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var all []Found
	failed := 0
	err := onAllCores(ctx, o.Seeds, func(i int) error {
		seed := o.First + uint64(i)
		r, err := Play(ctx, set, Options{Seed: seed, Without: o.Without, Placed: o.Placed})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		all = append(all, found(r))
		if !r.Passed {
			failed++
		}
		if o.Progress != nil {
			o.Progress(len(all), failed)
		}
		return nil
	})
	slices.SortFunc(all, func(a, b Found) int {
		return cmp.Or(cmp.Compare(b.harm(), a.harm()), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Seed, b.Seed))
	})
	return all, err
}

// harm is how bad a day is apart from its service: a crash counts for more than all rules broken.
func (f Found) harm() int {
	const crash = 100
	if f.Crashed {
		return crash + len(f.Broken)
	}
	return len(f.Broken)
}

func found(r *report.Report) Found {
	f := Found{
		Seed: r.Seed, Passed: r.Passed, Crashed: r.Crash != nil, Service: r.Service,
		Broken: []string{}, Findings: []string{},
	}
	for _, rule := range r.Rules {
		if rule.First != nil {
			f.Broken = append(f.Broken, rule.Name)
		}
	}
	for _, term := range r.Terms {
		if term.Broken {
			f.Broken = append(f.Broken, term.Name)
		}
	}
	for _, finding := range r.Findings {
		if !slices.Contains(f.Findings, finding.Name) {
			f.Findings = append(f.Findings, finding.Name)
		}
	}
	return f
}

// onAllCores calls do with 0 to n-1, as many at a time as there are cores, until one fails or the context
// ends, and returns the first error.
func onAllCores(ctx context.Context, n int, do func(i int) error) error {
	return onCores(ctx, runtime.GOMAXPROCS(0), n, do)
}

// onCores is onAllCores with so many at a time.
func onCores(ctx context.Context, cores, n int, do func(i int) error) error {
	group, until := errgroup.WithContext(ctx)
	group.SetLimit(cores)
	for i := range n {
		if until.Err() != nil {
			break
		}
		group.Go(func() error {
			if until.Err() != nil { // while this one waited for its turn
				return nil
			}
			return do(i)
		})
	}
	return cmp.Or(group.Wait(), ctx.Err())
}
