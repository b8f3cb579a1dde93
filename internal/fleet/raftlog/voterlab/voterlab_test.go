package voterlab

import (
	"fmt"
	"os"
	"testing"
	"time"

	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/simnet"

	"github.com/stretchr/testify/require"
)

// seeds returns the number of runs: few, or many if LONG_TESTS is set.
func seeds(few, many int) int {
	if os.Getenv("LONG_TESTS") != "" {
		return many
	}
	return few
}

// runWithFaults injects faults for the given length of time, and then waits until the voters are healthy.
func runWithFaults(o Options, length time.Duration) *Lab {
	l := New(o)
	l.InjectFaults(length)
	l.Settle(40 * time.Second)
	return l
}

// TestGuaranteesHoldUnderFaults checks the guarantees under all faults, for durable and volatile voters.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	for _, c := range []struct {
		voters   int
		volatile bool
		few      int
	}{{3, false, 80}, {5, false, 30}, {7, false, 8}, {3, true, 50}, {5, true, 15}} {
		t.Run(fmt.Sprintf("%d voters, volatile %v", c.voters, c.volatile), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(c.few, 30*c.few) {
				o := Options{Seed: uint64(seed), Voters: c.voters, Volatile: c.volatile}
				l := runWithFaults(o, time.Duration(seeds(20, 40))*time.Second)
				require.Empty(t, l.Violations(), "seed %d", seed)
				require.Equal(t, 1, l.Epochs(), "seed %d", seed)
				require.True(t, l.Linearizable(), "seed %d", seed)
			}
		})
	}
}

// TestSameSeedSameRun checks that the same seed gives the same run, including the elections, whose times raft itself
// would draw from a source that cannot be seeded.
func TestSameSeedSameRun(t *testing.T) {
	run := func(seed uint64) (string, int) {
		l := runWithFaults(Options{Seed: seed, Voters: 5}, 30*time.Second)
		committed, notCommitted, unknown := l.Outcomes()
		return fmt.Sprint(l.World.Now(), l.World.Traffic(), l.leaders, l.acknowledgements, notCommitted, unknown), committed
	}
	first, committed := run(3)
	require.Greater(t, committed, 50)
	for range 3 {
		again, _ := run(3)
		require.Equal(t, first, again)
	}
}

// TestIsolatedLeaderIsReplaced checks that a leader which is cut off in one or both directions is replaced, and that
// proposals are committed without it.
func TestIsolatedLeaderIsReplaced(t *testing.T) {
	for seed := range uint64(10) {
		l := New(Options{Seed: seed, Voters: 5, CallInterval: -1})
		l.World.Run(Start.Add(5 * time.Second))
		former, hasLeader := l.Leader()
		require.True(t, hasLeader)
		l.World.ChangeEach(func(from, to uint32, link *simnet.Link) {
			link.Cut = from == former || to == former && seed%2 == 0 // with odd seeds it still receives from the others
		})
		l.World.Run(l.World.Now().Add(4 * time.Second))
		s, _ := l.Status(former)
		require.NotEqual(t, raftlog.Leading, s.Phase)
		leader, hasLeader := l.Leader()
		require.True(t, hasLeader)
		require.NotEqual(t, former, leader)
		id, err := l.Propose(leader, 1, 5)
		require.NoError(t, err)
		l.World.Run(l.World.Now().Add(time.Second))
		require.Equal(t, raftlog.Committed, l.Outcome(leader, id))
		l.Settle(10 * time.Second)
		require.Empty(t, l.Violations())
	}
}

// TestRestartOfAllVoters checks that volatile voters found a new log of a higher epoch after all of them ended at the
// same time, and that durable ones continue with their log.
func TestRestartOfAllVoters(t *testing.T) {
	for _, volatile := range []bool{false, true} {
		l := New(Options{Seed: 5, Voters: 3, Agents: 3, Volatile: volatile})
		l.World.Run(Start.Add(5 * time.Second))
		before, _ := l.Status(0)
		for a := range uint32(3) {
			l.World.Kill(a)
		}
		l.World.Run(l.World.Now().Add(time.Second))
		l.Settle(20 * time.Second)
		require.Empty(t, l.Violations())
		after, _ := l.Status(0)
		require.Equal(t, volatile, after.Identity.Epoch > before.Identity.Epoch)
	}
}
