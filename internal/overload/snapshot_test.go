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

// TestSnapshotRestore checks that usual values are restored as they were, so that an episode during which
// the agent restarts is not mistaken for the usual state. Restored values weigh less the older the snapshot
// is. Nothing is restored from a snapshot of negative age or from invalid values.
func TestSnapshotRestore(t *testing.T) {
	newController := func() *Controller {
		c, err := NewWithBalancer(balancer.Settings{Tick: time.Millisecond, Classes: []balancer.Class{{LatencyObjective: time.Second, Deadline: time.Second}}},
			Config{}, 1)
		require.NoError(t, err)
		return c
	}
	c, now := newController(), time.Hour
	for range 100 {
		c.serviceTimeOf("rapid").observe(5, math.Log(0.1), estimateGain)
	}
	c.serviceTimeOf("rapid").observe(9, math.Inf(-1), estimateGain) // latency zero
	c.outage.usualInFlight.updatedAt, c.outage.usualInFlight.weight, c.episode.noSheddingBefore = now, 12, now+20*time.Second
	c.firstResponseAt = time.Minute
	c.peakServers.updatedAt, c.peakServers.weight = now, 13
	snapshot := c.Snapshot(now)
	restored := newController()
	restored.Restore(now, snapshot, 0)
	restoredSnapshot := restored.Snapshot(now)
	require.Equal(t, learningDuration-1500*time.Millisecond, restoredSnapshot.LearnedFor) // reduced by settleTime
	restoredSnapshot.LearnedFor = snapshot.LearnedFor
	require.Equal(t, snapshot, restoredSnapshot)
	require.Equal(t, Snapshot{
		Kinds:    []KindSnapshot{{"rapid", []ServiceTimeSnapshot{{concurrencyBucket(5), snapshot.Kinds[0].Buckets[0].LogSeconds, 100}}}},
		InFlight: 12, Servers: 13, NoSheddingFor: 20 * time.Second, LearnedFor: learningDuration,
	}, snapshot)
	for c, factor := range map[*Controller]float64{restored: 3, newController(): 1} {
		c.now = now
		for range 40 {
			c.recordServiceTime(&attempt{server: &server{serviceTime: c.serviceTimeOf("rapid")}, concurrency: 5}, 300*time.Millisecond)
		}
		require.InDelta(t, factor, c.episode.own.factor(), 0.6)
	}

	for age, want := range map[time.Duration]Snapshot{
		time.Minute: {InFlight: 12, Servers: 6.5, LearnedFor: 3500 * time.Millisecond}, time.Hour: {}, 7 * 24 * time.Hour: {}, math.MaxInt64: {},
	} {
		old := newController()
		old.Restore(now, snapshot, age)
		got := old.Snapshot(now)
		require.InDelta(t, want.Servers, got.Servers, 1e-9, age)
		require.InDelta(t, want.InFlight, got.InFlight, 0, age)
		require.Equal(t, want.LearnedFor, got.LearnedFor, age)
		require.Zero(t, got.NoSheddingFor)
		_, known := old.serviceTimeOf("rapid").usual(5)
		require.Equal(t, age <= 2*time.Hour, known, age) // 100 samples, halved per hour; 25 are enough
	}
	invalid := newController()
	invalid.Restore(now, snapshot, -time.Second)
	require.Equal(t, Snapshot{}, invalid.Snapshot(now))
	many := make([]KindSnapshot, 10*maxKinds)
	for i := range many {
		many[i].Name = fmt.Sprint(i)
	}
	many[0].Buckets = []ServiceTimeSnapshot{{-1, 0, 1}, {concurrencyBuckets, 0, 1}, {1, math.NaN(), 9}, {2, 0, math.Inf(-1)}, {3, 0, math.NaN()}}
	invalid.Restore(now, Snapshot{
		InFlight: math.Inf(1), Servers: math.NaN(), NoSheddingFor: math.MinInt64, LearnedFor: math.MinInt64,
		Kinds: many,
	}, time.Second)
	got := invalid.Snapshot(now)
	require.Len(t, got.Kinds, maxKinds)
	got.Kinds = slices.DeleteFunc(got.Kinds, func(k KindSnapshot) bool { return k.Buckets == nil })
	require.Equal(t, Snapshot{Kinds: []KindSnapshot{}}, got)
}
