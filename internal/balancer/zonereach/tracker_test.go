package zonereach

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestUnreachableNeedsSeveralServersAndAnotherZone checks that a zone is unreachable only if several of its servers are
// silent while another zone responds.
func TestUnreachableNeedsSeveralServersAndAnotherZone(t *testing.T) {
	recordUnanswered := func(z *Tracker, servers ...string) {
		for i, s := range servers {
			z.Unanswered(time.Duration(10+i)*time.Second, "a", s)
		}
	}
	var same, few, alone, old, late Tracker
	for _, z := range []*Tracker{&same, &few, &late} {
		z.Answered(20*time.Second, "b")
	}
	recordUnanswered(&same, "s", "s", "s", "s", "s", "t")
	require.False(t, same.IsUnreachable("a"), "two silent servers are not enough")
	recordUnanswered(&few, "s", "t")
	require.False(t, few.IsUnreachable("a"))
	require.True(t, few.IsDoubtful("a"))
	recordUnanswered(&few, "u")
	require.True(t, few.IsUnreachable("a"))
	recordUnanswered(&alone, "s", "t", "u")
	require.False(t, alone.IsUnreachable("a"), "no other zone responds: the cause may be near this agent")
	old.Answered(9*time.Second, "b")
	recordUnanswered(&old, "s", "t", "u")
	require.False(t, old.IsUnreachable("a"), "the other zone has not responded since")
	late.Answered(11*time.Second, "a")
	recordUnanswered(&late, "s", "t", "u")
	require.False(t, late.IsUnreachable("a"), "the zone responded after the first two attempts were sent")
}

// TestProbeInterval checks that an unreachable zone is probed at intervals.
func TestProbeInterval(t *testing.T) {
	var z Tracker
	require.True(t, z.IsProbeDue(time.Second, "a"))
	z.RecordAttempt(time.Second, "a")
	require.False(t, z.IsProbeDue(time.Second+probeInterval-1, "a"))
	require.True(t, z.IsProbeDue(time.Second+probeInterval, "a"))
}

// TestSomeZoneIsReachable checks for random outcomes that at least one zone is reachable, that any response makes its
// zone reachable, and that at most maxZones zones are kept.
func TestSomeZoneIsReachable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var z Tracker
		names := rapid.IntRange(1, 2*maxZones).Draw(t, "zones")
		name := func() string { return fmt.Sprint(rapid.IntRange(0, names-1).Draw(t, "zone")) }
		for now := time.Duration(1); now < 200; now++ {
			zone := name()
			if rapid.IntRange(0, 9).Draw(t, "answered") < 2 {
				z.Answered(now, zone)
				require.False(t, z.IsUnreachable(zone))
			} else {
				z.Unanswered(now-rapid.Custom(func(t *rapid.T) time.Duration {
					return time.Duration(rapid.IntRange(0, 3).Draw(t, "took"))
				}).Draw(t, "sent"), zone, fmt.Sprint(rapid.IntRange(0, 5).Draw(t, "server")))
			}
			anyReachable := false
			for n := range z.zones {
				anyReachable = anyReachable || !z.IsUnreachable(n)
			}
			require.True(t, anyReachable)
			require.LessOrEqual(t, len(z.zones), maxZones)
		}
	})
}
