package rehearsal

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/world"
)

// executionCounter counts how often the upstream servers executed each request, over all its retries.
type executionCounter struct {
	record.Sink
	unsafe         []bool            // by class
	requests       map[uint32]uint32 // request ID by the ID of each try
	unsafeRuns     map[uint32]int    // executions of each request that must not run twice
	safeRepeats    int               // executions of idempotent requests beyond the first
	safeRuns       map[uint32]int
	failedAttempts int
}

func (x *executionCounter) Observe(e *record.Event) {
	x.Sink.Observe(e)
	switch e.Kind {
	case record.RequestReceived:
		x.requests[e.RequestID] = e.Chain
		if x.unsafe[e.Class] {
			x.unsafeRuns[e.Chain] += 0
		}
	case record.AttemptEnded:
		if e.Outcome != record.OK {
			x.failedAttempts++
		}
	case record.WorkDone:
		request := x.requests[e.RequestID]
		if _, unsafe := x.unsafeRuns[request]; unsafe && e.Ran {
			x.unsafeRuns[request]++
		} else if e.Ran {
			if x.safeRuns[request]++; x.safeRuns[request] > 1 {
				x.safeRepeats++
			}
		}
	}
}

// With every kind of fault, no GraphQL request that must not be repeated runs twice. Without the GraphQL listener the
// requests are opaque POSTs, and service is lower because queries are not retried.
func TestGraphQLMutationsRunAtMostOnce(t *testing.T) {
	sc, err := scenario.Load("../../rehearsals/graphql.toml")
	require.NoError(t, err)
	var service [2]float64
	failures, repeats, executed := 0, 0, 0
	const runs = 3
	for listener := range service {
		sc.Clients.GraphQLListener = listener == 1
		for seed := range uint64(runs) {
			verdicts := judge.New(sc)
			counter := &executionCounter{Sink: verdicts, requests: map[uint32]uint32{}, unsafeRuns: map[uint32]int{}, safeRuns: map[uint32]int{}}
			for _, c := range sc.Classes {
				counter.unsafe = append(counter.unsafe, c.Effect == scenario.Unsafe)
			}
			require.NoError(t, world.Play(t.Context(), sc, seed+1, counter, world.Options{Tuning: balancer.DefaultTuning()}))
			for chain, n := range counter.unsafeRuns {
				require.LessOrEqual(t, n, 1, "request %d with seed %d", chain, seed+1)
				executed += n
			}
			v := verdicts.Verdict()
			service[listener] += v.Service / runs
			failures += counter.failedAttempts
			if listener == 1 {
				repeats += counter.safeRepeats
			}
		}
	}
	t.Logf("%d attempts failed, %d requests that must not run twice ran once, %d queries ran again; service %.3f, "+
		"%.3f as opaque POSTs", failures, executed, repeats, service[1], service[0])
	require.Greater(t, failures, 10000)
	require.Greater(t, repeats, 1000)
	require.Greater(t, service[1], service[0]+0.03)
}
