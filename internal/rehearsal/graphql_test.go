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

// executions counts how often the booking servers executed each request, over all its tries.
type executions struct {
	record.Sink
	unsafe   []bool            // by class
	chains   map[uint32]uint32 // by try
	unsafely map[uint32]int    // executions of what must not run twice
	again    int               // of other requests, beyond the first
	safely   map[uint32]int
	failures int // attempts that failed
}

func (x *executions) Take(e *record.Event) {
	x.Sink.Take(e)
	switch e.Kind {
	case record.Asked:
		x.chains[e.Op] = e.Chain
		if x.unsafe[e.Class] {
			x.unsafely[e.Chain] += 0
		}
	case record.Ended:
		if e.Outcome != record.OK {
			x.failures++
		}
	case record.Worked:
		chain := x.chains[e.Op]
		if _, unsafe := x.unsafely[chain]; unsafe && e.Ran {
			x.unsafely[chain]++
		} else if e.Ran {
			if x.safely[chain]++; x.safely[chain] > 1 {
				x.again++
			}
		}
	}
}

// GraphQL requests on a day on which all that can fails: none that must not run twice does, and without a front
// for them, as opaque POSTs, the day is worse, since queries are not repeated.
func TestGraphQLDay(t *testing.T) {
	set, err := scenario.Load("../../rehearsals/graphql.toml")
	require.NoError(t, err)
	var service [2]float64
	failures, again, executed := 0, 0, 0
	const days = 3
	for front := range service {
		set.Clients.GraphQLFront = front == 1
		for seed := range uint64(days) {
			j := judge.New(set)
			x := &executions{Sink: j, chains: map[uint32]uint32{}, unsafely: map[uint32]int{}, safely: map[uint32]int{}}
			for _, c := range set.Classes {
				x.unsafe = append(x.unsafe, c.Effect == scenario.Unsafe)
			}
			require.NoError(t, world.Play(t.Context(), set, seed+1, x, world.Options{Figures: balancer.DefaultTuning()}))
			for chain, n := range x.unsafely {
				require.LessOrEqual(t, n, 1, "request %d on day %d", chain, seed+1)
				executed += n
			}
			v := j.Verdict()
			service[front] += v.Service / days
			failures += x.failures
			if front == 1 {
				again += x.again
			}
		}
	}
	t.Logf("%d attempts failed, %d requests that must not run twice ran once, %d queries ran again; service %.3f, "+
		"%.3f as opaque POSTs", failures, executed, again, service[1], service[0])
	require.Greater(t, failures, 10000)
	require.Greater(t, again, 1000)
	require.Greater(t, service[1], service[0]+0.03)
}
