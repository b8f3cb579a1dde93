package overload

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

// What is usual is taken back as it was, so that a spell in which the agent is restarted is not taken for what
// is usual. It rests on less the older it is, and nothing is taken of an unknown age or of what can't be.
func TestSnapshotRestore(t *testing.T) {
	fresh := func() *Controller {
		g, err := NewWithBalancer(balancer.Settings{Tick: time.Millisecond, Classes: []balancer.Class{{LatencyObjective: time.Second, Deadline: time.Second}}},
			Config{}, 1)
		require.NoError(t, err)
		return g
	}
	g, now := fresh(), time.Hour
	for range 100 {
		g.serviceTimeOf("rapid").observe(5, math.Log(0.1), false)
	}
	g.serviceTimeOf("rapid").observe(9, math.Inf(-1), false) // an answer that took no time
	g.outage.usualInFlight.updatedAt, g.outage.usualInFlight.weight, g.episode.noSheddingBefore = now, 12, now+20*time.Second
	g.firstResponseAt = time.Minute
	g.peakServers.updatedAt, g.peakServers.weight = now, 13
	m := g.Snapshot(now)
	then := fresh()
	then.Restore(now, m, 0)
	again := then.Snapshot(now)
	require.Equal(t, learningDuration-1500*time.Millisecond, again.LearnedFor) // the rest, until servers have settled
	again.LearnedFor = m.LearnedFor
	require.Equal(t, m, again)
	require.Equal(t, Snapshot{
		Kinds:    []KindSnapshot{{"rapid", []ServiceTimeSnapshot{{concurrencyStepOf(5), m.Kinds[0].Steps[0].LogSeconds, 100}}}},
		InFlight: 12, Servers: 13, NoSheddingFor: 20 * time.Second, LearnedFor: learningDuration,
	}, m)
	for g, factor := range map[*Controller]float64{then: 3, fresh(): 1} {
		g.now = now
		for range 40 {
			g.recordServiceTime(&attempt{server: &server{serviceTime: g.serviceTimeOf("rapid")}, concurrency: 5}, 300*time.Millisecond)
		}
		require.InDelta(t, factor, g.episode.own.factor(), 0.6)
	}

	for age, want := range map[time.Duration]Snapshot{
		time.Minute: {InFlight: 12, Servers: 6.5, LearnedFor: 3500 * time.Millisecond}, time.Hour: {}, 7 * 24 * time.Hour: {}, math.MaxInt64: {},
	} {
		old := fresh()
		old.Restore(now, m, age)
		got := old.Snapshot(now)
		require.InDelta(t, want.Servers, got.Servers, 1e-9, age)
		require.Equal(t, want.InFlight, got.InFlight, age)
		require.Equal(t, want.LearnedFor, got.LearnedFor, age)
		require.Zero(t, got.NoSheddingFor)
		_, known := old.serviceTimeOf("rapid").usual(5)
		require.Equal(t, age <= 2*time.Hour, known, age) // 100 answers, and 25 are enough
	}
	none := fresh()
	none.Restore(now, m, -time.Second)
	require.Equal(t, Snapshot{}, none.Snapshot(now))
	many := make([]KindSnapshot, 10*maxKinds)
	for i := range many {
		many[i].Name = fmt.Sprint(i)
	}
	many[0].Steps = []ServiceTimeSnapshot{{-1, 0, 1}, {concurrencySteps, 0, 1}, {1, math.NaN(), 9}, {2, 0, math.Inf(-1)}, {3, 0, math.NaN()}}
	none.Restore(now, Snapshot{
		InFlight: math.Inf(1), Servers: math.NaN(), NoSheddingFor: math.MinInt64, LearnedFor: math.MinInt64,
		Kinds: many,
	}, time.Second)
	got := none.Snapshot(now)
	require.Len(t, got.Kinds, maxKinds)
	got.Kinds = slices.DeleteFunc(got.Kinds, func(k KindSnapshot) bool { return k.Steps == nil })
	require.Equal(t, Snapshot{Kinds: []KindSnapshot{}}, got)
}
