package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const testStart = time.Duration(1_796_115_600) * time.Second // a Unix time

// newWithHistory returns a Balancer that has sent requests for some seconds to servers that fail in various ways, and the
// time at the end.
func newWithHistory(t *rapid.T, servers []Server) (*Balancer, time.Duration) {
	b, err := New(testSettings(), 1)
	require.NoError(t, err)
	now := testStart
	b.Step(now, &ServerListUpdate{Kind: UpdateFull, Servers: servers})
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	failing := rapid.IntRange(0, len(servers)).Draw(t, "bad")
	outcomes := []Outcome{ServerError, Rejected, TimedOut, ConnectFailed, ConnectionLost}
	for id := range uint32(rapid.IntRange(0, 600).Draw(t, "requests")) {
		now += time.Duration(rng.IntN(30)) * ms
		class := []string{"safe", "unsafe"}[rng.IntN(2)]
		acts := b.Step(now, &Request{ID: id, Class: class, Key: fmt.Sprint(rng.IntN(20)), ClientTimeout: time.Second})
		for a := findAction(acts, Send); a != nil; a = findAction(acts, Send) {
			o, latency := Served, time.Duration(20+rng.IntN(100))*ms
			if a.Server < fmt.Sprintf("s%d", failing) && rng.IntN(3) > 0 {
				o = outcomes[int(a.Server[1])%len(outcomes)]
			}
			attempt := len(b.requests[id].attempts) - 1
			now += latency / 8
			acts = b.Step(now, &AttemptDone{
				ID: id, Attempt: attempt, Server: a.Server, Outcome: o, Latency: latency,
				RequestDone: o == Served,
			})
		}
		if id%25 == 0 {
			b.Step(now, &TimerDue{})
		}
	}
	return b, now
}

// newRestored returns a new Balancer that has restored a snapshot of the given age.
func newRestored(t require.TestingT, m Snapshot, now, age time.Duration, servers []Server) *Balancer {
	b, err := New(testSettings(), 2)
	require.NoError(t, err)
	b.Step(now, &ServerListUpdate{Kind: UpdateCached, Servers: servers})
	b.Restore(now, m, age)
	return b
}

// A snapshot that is restored at once gives the same snapshot again, and taking one does not change the Balancer.
func TestSnapshotIsRestored(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newWithHistory(t, serverList(6))
		m := b.Snapshot(now)
		require.Equal(t, m, b.Snapshot(now))
		restored := newRestored(t, m, now, 0, serverList(6))
		require.Equal(t, m, restored.Snapshot(now))
		for _, s := range restored.servers {
			require.Same(t, restored.kindBaselines[s.MachineKind], s.kindBaseline)
		}
	})
}

// The older a snapshot is, the less it counts. After a week only the longest client timeouts and the mean work remain. With
// a negative age, as after a clock was set back, nothing is restored.
func TestSnapshotLosesWeightWithAge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := newWithHistory(t, serverList(6))
		m := b.Snapshot(now)
		fresh := newRestored(t, Snapshot{}, now, -1, serverList(6)).Snapshot(now)
		require.Equal(t, fresh, newRestored(t, m, now, -time.Second, serverList(6)).Snapshot(now))
		for _, age := range []time.Duration{7 * 24 * time.Hour, 365 * 24 * time.Hour, 1<<63 - 1} {
			old := newRestored(t, m, now, age, serverList(6)).Snapshot(now)
			old.Classes, old.Tenants = fresh.Classes, fresh.Tenants
			require.InDelta(t, fresh.TypicalInFlight, old.TypicalInFlight, 1e-9)
			old.TypicalInFlight, old.MeanWork = fresh.TypicalInFlight, fresh.MeanWork
			for i := range old.Servers { // the remaining evidence rounds to none
				require.Less(t, old.Servers[i].Outlier.DeadEvidence+old.Servers[i].Outlier.RecentAttempts, 1e-9)
				old.Servers[i] = ServerSnapshot{ID: old.Servers[i].ID}
			}
			require.InDelta(t, 0, old.SendRate+old.ArrivalRate+old.MeanArrivalRate+old.FailureRatio+old.MeanReportedInFlight, 1e-9)
			old.SendRate, old.ArrivalRate, old.MeanArrivalRate, old.FailureRatio, old.MeanReportedInFlight, old.MeanLatency = 0, 0, 0, 0, 0, 0
			require.InDelta(t, fresh.RetryTokens, old.RetryTokens, 1e-9)
			old.RetryTokens = fresh.RetryTokens
			require.Equal(t, fresh, old)
		}
	})
}

// Damping and poisoned keys that have expired are not restored, a server that was ejected long ago is not ejected, and the
// state of one process of a server is not applied to another.
func TestSnapshotExpiresAndAppliesToOneProcess(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	b.Step(testStart, &TimerDue{})
	b.repeatOutcome(b.servers["s1"], ConnectFailed)
	b.damp(b.servers["s2"])
	b.blamedKeys[7] = &blamedKey{servers: make([]*server, poisonServers), lastFailureAt: testStart, until: testStart + poisonDuration}
	m := b.Snapshot(testStart)
	for _, c := range []struct {
		age                  time.Duration
		down, damped, blamed bool
	}{
		{0, true, true, true},
		{9 * time.Second, true, true, true},
		{11 * time.Second, true, true, false},
		{21 * time.Second, true, false, false},
		{59 * time.Second, true, false, false},
		{time.Minute, false, false, false},
	} {
		restored := newRestored(t, m, testStart, c.age, serverList(4))
		require.Equal(t, c.down, restored.servers["s1"].outlier.IsEjected(), c.age)
		require.Equal(t, c.damped, testStart < restored.servers["s2"].dampedUntil, c.age)
		require.LessOrEqual(t, restored.servers["s2"].dampedUntil, testStart+dampingDuration-c.age)
		require.Equal(t, c.blamed, restored.isPoisoned(7), c.age)
	}

	restarted := serverList(4)
	restarted[1].StartedAt = testStart - time.Second
	restored := newRestored(t, m, testStart, time.Second, restarted[:2])
	require.False(t, restored.servers["s1"].outlier.IsEjected())
	restored = newRestored(t, m, testStart, time.Second, serverList(4))
	restored.ForgetServer("s1")
	restored.ForgetServer("s2")
	restored.ForgetServer("nobody")
	require.False(t, restored.servers["s1"].outlier.IsEjected())
	require.Zero(t, restored.servers["s2"].dampedUntil)
	require.Equal(t, newRestored(t, Snapshot{}, testStart, -1, serverList(4)).Snapshot(testStart).Servers, restored.Snapshot(testStart).Servers)
}
