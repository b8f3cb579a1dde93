package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const noon = time.Duration(1_796_115_600) * time.Second

// lived is a Balancer that has worked for some seconds at servers that fail in various ways, and the time then.
func lived(t *rapid.T, servers []Server) (*Balancer, time.Duration) {
	b, err := New(settings(), 1)
	require.NoError(t, err)
	now := noon
	b.Step(now, &ServerListUpdate{Kind: UpdateFull, Servers: servers})
	rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
	bad := rapid.IntRange(0, len(servers)).Draw(t, "bad")
	outcomes := []Outcome{ServerError, Rejected, TimedOut, ConnectFailed, ConnectionLost}
	for id := range uint32(rapid.IntRange(0, 600).Draw(t, "requests")) {
		now += time.Duration(rng.IntN(30)) * ms
		class := []string{"safe", "unsafe"}[rng.IntN(2)]
		acts := b.Step(now, &Request{ID: id, Class: class, Key: fmt.Sprint(rng.IntN(20)), ClientTimeout: time.Second})
		for a := find(acts, Send); a != nil; a = find(acts, Send) {
			o, took := Served, time.Duration(20+rng.IntN(100))*ms
			if a.Server < fmt.Sprintf("s%d", bad) && rng.IntN(3) > 0 {
				o = outcomes[int(a.Server[1])%len(outcomes)]
			}
			attempt := len(b.requests[id].attempts) - 1
			now += took / 8
			acts = b.Step(now, &AttemptDone{
				ID: id, Attempt: attempt, Server: a.Server, Outcome: o, Latency: took,
				RequestDone: o == Served,
			})
		}
		if id%25 == 0 {
			b.Step(now, &TimerDue{})
		}
	}
	return b, now
}

// recalled is a new Balancer that takes a memory of that age.
func recalled(t require.TestingT, m Snapshot, now, age time.Duration, servers []Server) *Balancer {
	b, err := New(settings(), 2)
	require.NoError(t, err)
	b.Step(now, &ServerListUpdate{Kind: UpdateCached, Servers: servers})
	b.Restore(now, m, age)
	return b
}

// What is taken back at once is what was given, and giving it changes nothing.
func TestMemoryIsTakenBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := lived(t, list(6))
		m := b.Snapshot(now)
		require.Equal(t, m, b.Snapshot(now))
		then := recalled(t, m, now, 0, list(6))
		require.Equal(t, m, then.Snapshot(now))
		for _, s := range then.servers {
			require.Same(t, then.kindBaselines[s.MachineKind], s.kindBaseline)
		}
	})
}

// The older a memory is, the less it says: a week later nothing but how long clients wait; a clock that was set
// back says nothing of the age, and then nothing at all is taken.
func TestMemoryFades(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, now := lived(t, list(6))
		m := b.Snapshot(now)
		fresh := recalled(t, Snapshot{}, now, -1, list(6)).Snapshot(now)
		require.Equal(t, fresh, recalled(t, m, now, -time.Second, list(6)).Snapshot(now))
		for _, age := range []time.Duration{7 * 24 * time.Hour, 365 * 24 * time.Hour, 1<<63 - 1} {
			old := recalled(t, m, now, age, list(6)).Snapshot(now)
			old.Classes, old.Tenants = fresh.Classes, fresh.Tenants
			require.InDelta(t, fresh.TypicalInFlight, old.TypicalInFlight, 1e-9)
			old.TypicalInFlight, old.MeanWork = fresh.TypicalInFlight, fresh.MeanWork
			for i := range old.Servers { // what is left of evidence rounds to none
				require.Less(t, old.Servers[i].Outlier.DeadEvidence+old.Servers[i].Outlier.Ends, 1e-9)
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

// Damping and blame that have run out are not revived, a server that is long down is not taken for down, and
// what is known of one server is not applied to another that has its name.
func TestMemoryIsOfItsTimeAndServer(t *testing.T) {
	b := start(t, settings(), list(4))
	b.Step(noon, &TimerDue{})
	b.turn(b.servers["s1"], true)
	b.damp(b.servers["s2"])
	b.blamedKeys[7] = &blamedKey{servers: make([]*server, poisonServers), lastFailureAt: noon, until: noon + poisonDuration}
	m := b.Snapshot(noon)
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
		then := recalled(t, m, noon, c.age, list(4))
		require.Equal(t, c.down, then.servers["s1"].outlier.IsEjected(), c.age)
		require.Equal(t, c.damped, noon < then.servers["s2"].dampedUntil, c.age)
		require.LessOrEqual(t, then.servers["s2"].dampedUntil, noon+dampingDuration-c.age)
		require.Equal(t, c.blamed, then.isPoisoned(7), c.age)
	}

	restarted := list(4)
	restarted[1].StartedAt = noon - time.Second
	then := recalled(t, m, noon, time.Second, restarted[:2])
	require.False(t, then.servers["s1"].outlier.IsEjected())
	then = recalled(t, m, noon, time.Second, list(4))
	then.ForgetServer("s1")
	then.ForgetServer("s2")
	then.ForgetServer("nobody")
	require.False(t, then.servers["s1"].outlier.IsEjected())
	require.Zero(t, then.servers["s2"].dampedUntil)
	require.Equal(t, recalled(t, Snapshot{}, noon, -1, list(4)).Snapshot(noon).Servers, then.Snapshot(noon).Servers)
}

// A server of an unconfirmed list gets a request that may be repeated first, and another one gets it too; what
// must not run twice waits for a server that has answered, and goes on at once when there is one.
func TestUnprovedServers(t *testing.T) {
	set := settings()
	set.Limits.Hedging = true
	b := start(t, set, list(4))
	b.StartProbation(0)
	require.Nil(t, find(b.Step(noon, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Send))
	acts := b.Step(noon, &Request{ID: 2, Class: "safe", Key: "k", ClientTimeout: time.Second})
	var sent []Action
	for _, a := range acts {
		if a.Kind == Send {
			sent = append(sent, a)
		}
	}
	require.Len(t, sent, 2)
	require.Less(t, sent[0].After, 400*ms/2)
	b.Step(noon+20*ms, &AttemptDone{ID: 2, Attempt: 1, Server: sent[1].Server, Outcome: Served, Latency: 20 * ms, RequestDone: true})
	unsafe := mustSend(t, b.Step(noon+20*ms, &TimerDue{Tag: 1<<2 | timerRetry}))
	require.Equal(t, sent[1].Server, unsafe.Server)
	b.Step(noon+200*ms, &AttemptDone{ID: 2, Attempt: 0, Server: sent[0].Server, Outcome: TimedOut, Latency: 200 * ms})

	// Nobody waits in vain: with no answer from any, it goes out at last, and what can't is refused.
	b = start(t, settings(), list(1))
	b.StartProbation(1)
	now := noon
	require.Nil(t, find(b.Step(now, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Send))
	for find(b.actions, Send) == nil {
		require.NotNil(t, find(b.actions, SetTimer), now)
		now += 10 * ms
		b.Step(now, &TimerDue{Tag: 1<<2 | timerRetry})
	}
	require.LessOrEqual(t, now, noon+110*ms)
	b.Step(now, &AttemptDone{ID: 1, Server: "s0", Outcome: ConnectFailed})
	require.NotNil(t, find(b.actions, Reject), "there is no other, and no hope of this one in time")
	b.ConfirmServerList()
	mustSend(t, b.Step(now, &Request{ID: 3, Class: "unsafe", Key: "k", ClientTimeout: time.Second}))
}
