package voterlab

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/raftlog"
)

// TestIdleTrafficAndLatencies measures the traffic of idle voters and the durations of elections and commits, as given
// in docs/design/fleet-log.md, and checks them against bounds. LONG_TESTS runs more seeds.
func TestIdleTrafficAndLatencies(t *testing.T) {
	for _, voters := range []int{3, 5, 7} {
		l := New(Options{Voters: voters, CallInterval: -1})
		l.World.Run(Start.Add(20 * time.Second))
		before := l.World.Traffic()
		l.World.Run(Start.Add(120 * time.Second))
		after := l.World.Traffic()
		messages, bytes := float64(after.Datagrams-before.Datagrams)/100, float64(after.Bytes-before.Bytes)/100
		t.Logf("%d voters, idle: %.1f datagrams and %.0f bytes per second in total", voters, messages, bytes)
		require.Less(t, messages, 12*float64(voters))
	}
	for _, loss := range []float64{0, 0.1, 0.3} {
		for _, voters := range []int{3, 5, 7} {
			elect, commit := latencies(t, voters, loss, seeds(3, 100))
			t.Logf("%d voters, loss %.0f%%: leader elected after %v (99%%: %v), committed at the leader after %v (99%%: %v)", voters,
				100*loss, quantile(elect, 0.5), quantile(elect, 0.99), quantile(commit, 0.5), quantile(commit, 0.99))
			require.Less(t, quantile(elect, 0.5), 5*time.Second)
			require.Less(t, quantile(commit, 0.5), time.Second)
		}
	}
}

// quantile returns the quantile q, from 0 to 1, rounded to 1 ms. It sorts d.
func quantile(d []time.Duration, q float64) time.Duration {
	slices.Sort(d)
	return d[int(q*float64(len(d)-1))].Round(time.Millisecond)
}

// latencies returns the durations of elections after the leader was killed, and of commits at the leader.
func latencies(t *testing.T, voters int, loss float64, runs int) (elect, commit []time.Duration) {
	for seed := range runs {
		l := New(Options{Seed: uint64(seed), Voters: voters, Agents: voters, Loss: loss, CallInterval: -1})
		wait := func(done func() bool) time.Duration {
			from := l.World.Now()
			for !done() {
				l.World.Run(l.World.Now().Add(time.Millisecond))
				require.Less(t, l.World.Now().Sub(from), time.Minute, "seed %d", seed)
			}
			return l.World.Now().Sub(from)
		}
		wait(l.AreVotersHealthy)
		former, _ := l.Leader()
		l.World.Kill(former)
		elect = append(elect, wait(func() bool { _, hasLeader := l.Leader(); return hasLeader }))
		for range 10 {
			l.World.Run(l.World.Now().Add(time.Second))
			leader, hasLeader := l.Leader()
			if !hasLeader {
				continue
			}
			id, _ := l.Propose(leader, 0, 1)
			from := l.World.Now()
			took := wait(func() bool {
				return l.Outcome(leader, id) == raftlog.Committed || l.World.Now().Sub(from) > 10*time.Second
			})
			commit = append(commit, took)
		}
	}
	return elect, commit
}
