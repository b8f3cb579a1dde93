package voterlab

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/raftlog"
)

// The figures of docs/design/fleet-log.md: what voters cost when nothing happens, and how long they take to
// choose a leader and to agree. With bounds in all runs, printed with LONG_TESTS.
func TestFigures(t *testing.T) {
	for _, voters := range []int{3, 5, 7} {
		l := New(Options{Voters: voters, Pace: -1})
		l.World.Run(Start.Add(20 * time.Second))
		before := l.World.Traffic()
		l.World.Run(Start.Add(120 * time.Second))
		c := l.World.Traffic()
		messages, bytes := float64(c.Datagrams-before.Datagrams)/100, float64(c.Bytes-before.Bytes)/100
		t.Logf("%d voters, quiet: %.1f datagrams and %.0f bytes a second in all", voters, messages, bytes)
		require.Less(t, messages, 12*float64(voters))
	}
	for _, loss := range []float64{0, 0.1, 0.3} {
		for _, voters := range []int{3, 5, 7} {
			elect, commit := times(t, voters, loss, seeds(3, 100))
			t.Logf("%d voters, loss %.0f%%: a leader after %v (99%%: %v), agreed at the leader after %v (99%%: %v)", voters,
				100*loss, at(elect, 0.5), at(elect, 0.99), at(commit, 0.5), at(commit, 0.99))
			require.Less(t, at(elect, 0.5), 5*time.Second)
			require.Less(t, at(commit, 0.5), time.Second)
		}
	}
}

func at(d []time.Duration, part float64) time.Duration {
	slices.Sort(d)
	return d[int(part*float64(len(d)-1))].Round(time.Millisecond)
}

func times(t *testing.T, voters int, loss float64, runs int) (elect, commit []time.Duration) {
	for seed := range runs {
		l := New(Options{Seed: uint64(seed), Voters: voters, Agents: voters, Loss: loss, Pace: -1})
		wait := func(done func() bool) time.Duration {
			from := l.World.Now()
			for !done() {
				l.World.Run(l.World.Now().Add(time.Millisecond))
				require.Less(t, l.World.Now().Sub(from), time.Minute, "seed %d", seed)
			}
			return l.World.Now().Sub(from)
		}
		wait(l.Healthy)
		old, _ := l.Leader()
		l.World.Kill(old)
		elect = append(elect, wait(func() bool { _, ok := l.Leader(); return ok }))
		for range 10 {
			l.World.Run(l.World.Now().Add(time.Second))
			leader, ok := l.Leader()
			if !ok {
				continue
			}
			id, _ := l.Ask(leader, 0, 1)
			from := l.World.Now()
			took := wait(func() bool {
				return l.Outcome(leader, id) == raftlog.Committed || l.World.Now().Sub(from) > 10*time.Second
			})
			commit = append(commit, took)
		}
	}
	return elect, commit
}
