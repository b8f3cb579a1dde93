package storm

import (
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/decide"
)

// What is usual is taken back as it was, so that a spell in which the agent is restarted is not taken for what
// is usual. It rests on less the older it is, and nothing is taken of an unknown age or of what can't be.
func TestMemory(t *testing.T) {
	fresh := func() *Gate {
		g, err := Build(decide.Settings{Tick: time.Millisecond, Classes: []decide.Class{{LatencyObjective: time.Second, Deadline: time.Second}}},
			Figures{}, 1)
		require.NoError(t, err)
		return g
	}
	g, now := fresh(), time.Hour
	for range 100 {
		g.kind("rapid").learn(5, math.Log(0.1), false)
	}
	g.kind("rapid").learn(9, math.Inf(-1), false) // an answer that took no time
	g.damper.usual.at, g.damper.usual.weight, g.spell.next = now, 12, now+20*time.Second
	g.firstAnswer = time.Minute
	g.most.at, g.most.weight = now, 13
	m := g.Remember(now)
	then := fresh()
	then.Recall(now, m, 0)
	again := then.Remember(now)
	require.Equal(t, learnsFor-1500*time.Millisecond, again.Learned) // the rest, until servers have settled
	again.Learned = m.Learned
	require.Equal(t, m, again)
	require.Equal(t, Memory{
		Kinds: []KindMemory{{"rapid", []PaceMemory{{paceAt(5), m.Kinds[0].Steps[0].Log, 100}}}},
		Crowd: 12, Servers: 13, NoPurge: 20 * time.Second, Learned: learnsFor,
	}, m)
	for g, factor := range map[*Gate]float64{then: 3, fresh(): 1} {
		g.now = now
		for range 40 {
			g.compare(&attempt{server: &server{kind: g.kind("rapid")}, crowd: 5}, 300*time.Millisecond)
		}
		require.InDelta(t, factor, g.spell.own.factor(), 0.6)
	}

	for age, want := range map[time.Duration]Memory{
		time.Minute: {Crowd: 12, Servers: 6.5, Learned: 3500 * time.Millisecond}, time.Hour: {}, 7 * 24 * time.Hour: {}, math.MaxInt64: {},
	} {
		old := fresh()
		old.Recall(now, m, age)
		got := old.Remember(now)
		require.InDelta(t, want.Servers, got.Servers, 1e-9, age)
		require.Equal(t, want.Crowd, got.Crowd, age)
		require.Equal(t, want.Learned, got.Learned, age)
		require.Zero(t, got.NoPurge)
		_, known := old.kind("rapid").usual(5)
		require.Equal(t, age <= 2*time.Hour, known, age) // 100 answers, and 25 are enough
	}
	none := fresh()
	none.Recall(now, m, -time.Second)
	require.Equal(t, Memory{}, none.Remember(now))
	many := make([]KindMemory, 10*mostKinds)
	for i := range many {
		many[i].Name = fmt.Sprint(i)
	}
	many[0].Steps = []PaceMemory{{-1, 0, 1}, {paceSteps, 0, 1}, {1, math.NaN(), 9}, {2, 0, math.Inf(-1)}, {3, 0, math.NaN()}}
	none.Recall(now, Memory{
		Crowd: math.Inf(1), Servers: math.NaN(), NoPurge: math.MinInt64, Learned: math.MinInt64,
		Kinds: many,
	}, time.Second)
	got := none.Remember(now)
	require.Len(t, got.Kinds, mostKinds)
	got.Kinds = slices.DeleteFunc(got.Kinds, func(k KindMemory) bool { return k.Steps == nil })
	require.Equal(t, Memory{Kinds: []KindMemory{}}, got)
}
