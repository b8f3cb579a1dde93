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

// seeds is how many runs of a hunt there are: a few, or as many as LONG_TESTS asks for.
func seeds(few, many int) int {
	if os.Getenv("LONG_TESTS") != "" {
		return many
	}
	return few
}

func hunt(o Options, length time.Duration) *Lab {
	l := New(o)
	l.Hunt(length)
	l.Settle(40 * time.Second)
	return l
}

func TestHunt(t *testing.T) {
	for _, c := range []struct {
		voters   int
		volatile bool
		few      int
	}{{3, false, 80}, {5, false, 30}, {7, false, 8}, {3, true, 50}, {5, true, 15}} {
		t.Run(fmt.Sprintf("%d voters, volatile %v", c.voters, c.volatile), func(t *testing.T) {
			t.Parallel()
			for seed := range seeds(c.few, 30*c.few) {
				o := Options{Seed: uint64(seed), Voters: c.voters, Volatile: c.volatile}
				l := hunt(o, time.Duration(seeds(20, 40))*time.Second)
				require.Empty(t, l.Violations(), "seed %d", seed)
				require.Equal(t, 1, l.Epochs(), "seed %d", seed)
				require.True(t, l.Linearizable(), "seed %d", seed)
			}
		})
	}
}

// The same seed gives the same run: elections too, though raft draws their times from a source of its own.
func TestSameSeedSameRun(t *testing.T) {
	play := func(seed uint64) (string, int) {
		l := hunt(Options{Seed: seed, Voters: 5}, 30*time.Second)
		taken, not, unknown := l.Taken()
		return fmt.Sprint(l.World.Now(), l.World.Traffic(), l.leaders, l.acknowledged, not, unknown), taken
	}
	first, taken := play(3)
	require.Greater(t, taken, 50)
	for range 3 {
		again, _ := play(3)
		require.Equal(t, first, again)
	}
}

// A minority that is cut off, one way or both, stops nothing; a leader that is cut off is replaced in time.
func TestLeaderCutOff(t *testing.T) {
	for seed := range uint64(10) {
		l := New(Options{Seed: seed, Voters: 5, Pace: -1})
		l.World.Run(Start.Add(5 * time.Second))
		old, ok := l.Leader()
		require.True(t, ok)
		l.World.ChangeEach(func(from, to uint32, k *simnet.Link) {
			k.Cut = from == old || to == old && seed%2 == 0 // every other time it still hears the others
		})
		l.World.Run(l.World.Now().Add(4 * time.Second))
		s, _ := l.Status(old)
		require.NotEqual(t, raftlog.Leading, s.Phase)
		now, ok := l.Leader()
		require.True(t, ok)
		require.NotEqual(t, old, now)
		id, err := l.Ask(now, 1, 5)
		require.NoError(t, err)
		l.World.Run(l.World.Now().Add(time.Second))
		require.Equal(t, raftlog.Committed, l.Outcome(now, id))
		l.Settle(10 * time.Second)
		require.Empty(t, l.Violations())
	}
}

// Volatile voters of which a majority ends at once begin a new log, higher than the one that is lost; with their
// disks they go on with the one that they had.
func TestAllEndAtOnce(t *testing.T) {
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
