package zonereach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestUnreachableTakesSeveralServersAndAnotherZone: a zone is unreachable only where several of its servers are silent while
// another zone answers.
func TestUnreachableTakesSeveralServersAndAnotherZone(t *testing.T) {
	lost := func(z *Tracker, servers ...string) {
		for i, s := range servers {
			z.Unanswered(time.Duration(10+i)*time.Second, "a", s)
		}
	}
	var same, few, alone, old, late Tracker
	for _, z := range []*Tracker{&same, &few, &late} {
		z.Answered(20*time.Second, "b")
	}
	lost(&same, "s", "s", "s", "s", "s", "t")
	require.False(t, same.IsUnreachable("a"), "two dead servers are no zone")
	lost(&few, "s", "t")
	require.False(t, few.IsUnreachable("a"))
	require.True(t, few.IsDoubtful("a"))
	lost(&few, "u")
	require.True(t, few.IsUnreachable("a"))
	lost(&alone, "s", "t", "u")
	require.False(t, alone.IsUnreachable("a"), "no other zone answers: that may be this side's fault")
	old.Answered(9*time.Second, "b")
	lost(&old, "s", "t", "u")
	require.False(t, old.IsUnreachable("a"), "nor has one since")
	late.Answered(11*time.Second, "a")
	lost(&late, "s", "t", "u")
	require.False(t, late.IsUnreachable("a"), "it answered since the first two were sent")
}

// TestTrials: an unreachable zone is tried at intervals.
func TestTrials(t *testing.T) {
	var z Tracker
	require.True(t, z.IsTrialDue(time.Second, "a"))
	z.RecordTrial(time.Second, "a")
	require.False(t, z.IsTrialDue(time.Second+trialInterval-1, "a"))
	require.True(t, z.IsTrialDue(time.Second+trialInterval, "a"))
}

// TestSomeZoneIsLeft: however attempts end, some zone is reachable, any response makes one reachable, and few are kept.
func TestSomeZoneIsLeft(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var z Tracker
		names := rapid.IntRange(1, 2*maxZones).Draw(t, "zones")
		name := func() string { return fmt.Sprint(rapid.IntRange(0, names-1).Draw(t, "zone")) }
		for now := time.Duration(1); now < 200; now++ {
			n := name()
			if rapid.IntRange(0, 9).Draw(t, "answered") < 2 {
				z.Answered(now, n)
				require.False(t, z.IsUnreachable(n))
			} else {
				z.Unanswered(now-rapid.Custom(func(t *rapid.T) time.Duration {
					return time.Duration(rapid.IntRange(0, 3).Draw(t, "took"))
				}).Draw(t, "sent"), n, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server")))
			}
			left := false
			for n := range z.zones {
				left = left || !z.IsUnreachable(n)
			}
			require.True(t, left)
			require.LessOrEqual(t, len(z.zones), maxZones)
		}
	})
}
