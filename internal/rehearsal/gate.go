package rehearsal

import (
	"context"
	"fmt"
	"runtime"
	"sync"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/scenario"
)

// GateResult is the gate's result for one run, or for all short runs together.
type GateResult struct {
	Scenario string
	Seed     uint64
	Passed   bool    // no rule broken, no crash, service at or above the floor, and no share too low
	Service  float64 // 0 to 1
	Line     string  // one-line verdict with the shares and the servers in slow start
	shares   []judge.Share
}

// String returns the verdict in one line, with the scenario and seed.
func (g *GateResult) String() string {
	if g.shares == nil {
		return g.Scenario + ": " + g.Line
	}
	return fmt.Sprintf("%s, seed %d: %s", g.Scenario, g.Seed, g.Line)
}

// GateOptions configures Gate.
type GateOptions struct {
	Seeds    int            // consecutive seeds for each scenario, from its own; 0: 1
	Without  []string       // names of protections to disable
	Progress func(done int) // called after each run, never concurrently; may be nil
}

// maxPairs limits the pairs of an agent and an upstream server in concurrent runs, to about 4 GB of
// memory.
const maxPairs = 400_000

// Gate runs scenarios and judges each run by the terms of the gate. The results are in the order of the
// scenarios and seeds, followed by the combined result of the short runs, if any. If the context ends
// first, Gate returns the results so far with its error.
func Gate(ctx context.Context, scenarios []*scenario.Scenario, o GateOptions) ([]GateResult, error) {
	o.Seeds = max(o.Seeds, 1)
	pairs := 1
	for _, s := range scenarios {
		pairs = max(pairs, s.Agents.Count*s.Fleet.Servers)
	}
	results := make([]GateResult, len(scenarios)*o.Seeds)
	var mu sync.Mutex
	done := 0
	err := onCores(ctx, min(runtime.GOMAXPROCS(0), max(maxPairs/pairs, 1)), len(results), func(i int) error {
		sc := scenarios[i/o.Seeds]
		seed := sc.Seed + uint64(i%o.Seeds)
		r, err := Play(ctx, sc, Options{Seed: seed, Without: o.Without, MeasureShares: true})
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		line, passed := r.GateLine()
		results[i] = GateResult{sc.Name, seed, passed, r.Service, line, r.Shares}
		if done++; o.Progress != nil {
			o.Progress(done)
		}
		return nil
	})
	finished, shortResults := results[:0], newShortRuns()
	for i, result := range results {
		if result.Scenario == "" {
			continue
		}
		if finished = append(finished, result); scenarios[i/o.Seeds].Gate.Short {
			shortResults.add(scenarios[i/o.Seeds], result.shares)
		}
	}
	if combined, ok := shortResults.result(); ok && err == nil {
		finished = append(finished, combined)
	}
	return finished, err
}
