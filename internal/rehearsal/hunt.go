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

// SeedResult is the result of one seed of a hunt.
type SeedResult struct {
	Seed     uint64   `json:"seed"`
	Passed   bool     `json:"passed"`
	Crashed  bool     `json:"crashed"`
	Service  float64  `json:"service"`
	Broken   []string `json:"broken"`   // names of the broken rules and gate terms
	Findings []string `json:"findings"` // names, each once
}

// HuntOptions configures Hunt.
type HuntOptions struct {
	First          uint64                 // first seed
	Seeds          int                    // number of consecutive seeds
	Without        []string               // names of protections to disable
	RingAssignment bool                   // enables ring assignment for any scenario
	Progress       func(done, failed int) // called after each run, never concurrently; may be nil
}

// Hunt runs the scenario with many seeds on all cores and returns the results, worst first: crashes, then
// by the number of broken rules, then by service, then by seed. If the context ends first, Hunt returns the
// results so far with its error.
func Hunt(ctx context.Context, sc *scenario.Scenario, o HuntOptions) ([]SeedResult, error) {
	if _, _, err := tuningWithout(o.Without); err != nil {
		return nil, err
	}
	var mu sync.Mutex
	var results []SeedResult
	failed := 0
	err := onAllCores(ctx, o.Seeds, func(i int) error {
		seed := o.First + uint64(i)
		r, err := Play(ctx, sc, Options{Seed: seed, Without: o.Without, RingAssignment: o.RingAssignment})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		results = append(results, newSeedResult(r))
		if !r.Passed {
			failed++
		}
		if o.Progress != nil {
			o.Progress(len(results), failed)
		}
		return nil
	})
	slices.SortFunc(results, func(a, b SeedResult) int {
		return cmp.Or(cmp.Compare(b.severity(), a.severity()), cmp.Compare(a.Service, b.Service),
			cmp.Compare(a.Seed, b.Seed))
	})
	return results, err
}

// severity ranks a result apart from its service. A crash ranks above any number of broken rules.
func (f SeedResult) severity() int {
	const crash = 100
	if f.Crashed {
		return crash + len(f.Broken)
	}
	return len(f.Broken)
}

func newSeedResult(r *report.Report) SeedResult {
	f := SeedResult{
		Seed: r.Seed, Passed: r.Passed, Crashed: r.Crash != nil, Service: r.Service,
		Broken: []string{}, Findings: []string{},
	}
	for _, rule := range r.Rules {
		if rule.First != nil {
			f.Broken = append(f.Broken, rule.Name)
		}
	}
	for _, term := range r.Limits {
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

// onAllCores calls do with 0 to n-1, GOMAXPROCS calls at a time, until one fails or the context ends. It
// returns the first error.
func onAllCores(ctx context.Context, n int, do func(i int) error) error {
	return onCores(ctx, runtime.GOMAXPROCS(0), n, do)
}

// onCores is onAllCores with cores calls at a time.
func onCores(ctx context.Context, cores, n int, do func(i int) error) error {
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(cores)
	for i := range n {
		if groupCtx.Err() != nil {
			break
		}
		group.Go(func() error {
			if groupCtx.Err() != nil { // an earlier call failed, or the context ended, before this one started
				return nil
			}
			return do(i)
		})
	}
	return cmp.Or(group.Wait(), ctx.Err())
}
