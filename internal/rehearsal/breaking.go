package rehearsal

import (
	"context"
	"fmt"

	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
)

// BreakOptions configures Break.
type BreakOptions struct {
	MinLoad, MaxLoad float64 // bounds of the search, in multiples of the scenario's load
	Steps            int     // number of bisection steps
	// Play runs a scenario, possibly live; nil: Play of this package with Seed.
	Play     func(ctx context.Context, sc *scenario.Scenario) (*report.Report, error)
	Seed     uint64
	Progress func(load float64) // called before each run with its load; may be nil
}

// Break searches for the highest load under which a scenario passes: no rule is broken and service is at or
// above the floor. Loads are multiples of the scenario's own. Break returns the highest load that passed,
// or zero if none did, and the results of all runs by increasing load. It assumes that a scenario that
// passes under a load also passes under any lower load.
func Break(ctx context.Context, sc *scenario.Scenario, o BreakOptions) (float64, []report.LoadRun, error) {
	if o.Play == nil {
		o.Play = func(ctx context.Context, sc *scenario.Scenario) (*report.Report, error) {
			return Play(ctx, sc, Options{Seed: o.Seed})
		}
	}
	var results []report.LoadRun
	passesUnder := func(load float64) (bool, error) {
		if o.Progress != nil {
			o.Progress(load)
		}
		r, err := o.Play(ctx, underLoad(sc, load))
		if err != nil {
			return false, err
		}
		if !r.Judged() {
			return false, fmt.Errorf("%s: %s", sc.Name, r.Live.Measured.NotJudged)
		}
		results = report.InsertLoad(results, report.LoadRun{Load: load, Report: r})
		return r.Passed, nil
	}
	if passed, err := passesUnder(o.MinLoad); err != nil || !passed {
		return 0, results, err
	}
	if passed, err := passesUnder(o.MaxLoad); err != nil || passed {
		return o.MaxLoad, results, err
	}
	low, high := o.MinLoad, o.MaxLoad
	for range o.Steps {
		middle := (low + high) / 2
		passed, err := passesUnder(middle)
		if err != nil {
			return low, results, err
		}
		if passed {
			low = middle
		} else {
			high = middle
		}
	}
	return low, results, nil
}

// underLoad returns the scenario with its load multiplied by load. The tenants' shares are unchanged.
func underLoad(sc *scenario.Scenario, load float64) *scenario.Scenario {
	changed := *sc
	for _, span := range []*scenario.Span{&changed.Load.PerS, &changed.Load.OfCapacity} {
		span.Low, span.High = span.Low*load, span.High*load
	}
	return &changed
}
