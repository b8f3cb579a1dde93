package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/ring"
)

// Days with a neutral agreement told over and over are the days without any; with another one they differ, and
// keep the rules, whatever is agreed.
func TestAgreedWithinTheSettings(t *testing.T) {
	for seed := range uint64(12) {
		var set Settings
		change := func(s *Settings) {
			s.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 20}, {Name: "b", QuotaPerSecond: 2}, {Name: "c"}}
			s.Limits.Hedging = seed%3 > 0
			set = *s
		}
		plain := play(t, seed, change, nil)
		neutral := play(t, seed, change, func(w *world, n int) {
			all := make([]RetryPolicy, len(set.Classes))
			for i := range all {
				all[i] = RetryPolicy{MaxAttempts: set.Limits.MaxAttempts + n%2, Hedging: true}
			}
			w.b.ApplyFleetPolicy([]float64{20, 2}[:n%3], all[:n%(len(all)+1)])
		})
		require.Equal(t, plain, neutral, "seed %d", seed)
		require.NotEqual(t, plain, play(t, seed, change, func(w *world, n int) {
			c := RetryPolicy{MaxAttempts: n%9 - 2, Hedging: n%2 > 0, MinAttemptInterval: time.Duration(n%50-5) * ms}
			w.b.ApplyFleetPolicy([]float64{float64(n % 30), math.NaN(), math.Inf(1), -1}, []RetryPolicy{c, c, c, c, {MinAttemptInterval: math.MaxInt64}, c})
		}), "seed %d", seed)
		play(t, seed, change, func(w *world, _ int) {
			w.pace = 40 * ms
			c := RetryPolicy{MaxAttempts: 3, MinAttemptInterval: w.pace}
			w.b.ApplyFleetPolicy(nil, []RetryPolicy{c, c, c, c, c})
		})
	}
}

// What is agreed on a class holds for the requests that are there already, and the settings hold again after it.
func TestAgreedAttemptsAndPace(t *testing.T) {
	set := settings()
	set.Limits.Hedging = true
	b, id := start(t, set, list(6)), uint32(0)
	fail := func(classes ...RetryPolicy) (again bool, wait time.Duration) {
		id++
		b.retryTokens = 10
		a := mustSend(t, b.Step(b.now+time.Second, &Request{ID: id, Class: "safe", ClientTimeout: time.Second}))
		b.ApplyFleetPolicy(nil, classes)
		sent := b.now
		acts := b.Step(sent+5*ms, &AttemptDone{ID: id, Server: a.Server, Outcome: Rejected, Latency: 5 * ms})
		if timer := find(acts, SetTimer); timer != nil {
			wait = timer.After
			b.Step(sent+wait, &TimerDue{Tag: timer.Tag})
			require.Len(t, b.requests[id].attempts, 1, "woken up too soon")
			acts = b.Step(sent+5*ms+wait, &TimerDue{Tag: timer.Tag})
		}
		again = find(acts, Send) != nil
		b.Step(b.now, &ClientGone{ID: id})
		return again, wait
	}
	for _, c := range []struct {
		name    string
		classes []RetryPolicy
		again   bool
		wait    time.Duration
	}{
		{"settings", nil, true, 0},
		{"one attempt", []RetryPolicy{{MaxAttempts: 1}}, false, 0},
		{"one attempt, whatever the pace", []RetryPolicy{{MaxAttempts: 1, MinAttemptInterval: 60 * ms}}, false, 0},
		{"another class's", []RetryPolicy{{MaxAttempts: 2}, {MaxAttempts: 1}}, true, 0},
		{"pace, from the beginning", []RetryPolicy{{MaxAttempts: 2, MinAttemptInterval: 60 * ms}}, true, 55 * ms},
		{"pace over", []RetryPolicy{{MaxAttempts: 2, MinAttemptInterval: 5 * ms}}, true, 0},
		{"pace beyond the aim", []RetryPolicy{{MaxAttempts: 2, MinAttemptInterval: math.MaxInt64}}, false, 0},
		{"settings again", nil, true, 0},
	} {
		again, wait := fail(c.classes...)
		require.Equal(t, c.again, again, c.name)
		require.Equal(t, c.wait, wait, c.name)
	}
}

// No second copy where that is agreed, neither to a server that is down nor to one not proved yet.
func TestAgreedCopies(t *testing.T) {
	set := settings()
	for _, unproved := range []bool{false, true} {
		for _, c := range []struct {
			permitted bool
			agreed    []RetryPolicy
			sends     int
		}{
			{true, nil, 2},
			{true, []RetryPolicy{{MaxAttempts: 3}}, 1},
			{true, []RetryPolicy{{MaxAttempts: 1, Hedging: true}}, 1},
			{true, []RetryPolicy{{MaxAttempts: 2, Hedging: true}}, 2},
			{false, []RetryPolicy{{MaxAttempts: 2, Hedging: true}}, 1},
		} {
			set.Limits.Hedging = c.permitted
			b := start(t, set, list(6))
			if s := b.ring.Owner(ring.Hash("k")); unproved {
				b.StartProbation(0.5)
			} else {
				b.turn(s, true)
				b.sendRate = 10
				s.slowStart.Start(b.now, 1)
			}
			b.ApplyFleetPolicy(nil, []RetryPolicy{{MaxAttempts: 1}})
			b.ApplyFleetPolicy(nil, c.agreed)
			sends := 0
			for _, a := range b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}) {
				if a.Kind == Send {
					sends++
				}
			}
			require.Equal(t, c.sends, sends, "%+v, unproved %v", c, unproved)
		}
	}
}

// Two tenants ask for 20 a second each, of 30 in all: who has how much of them says what is beyond it.
func TestAgreedShares(t *testing.T) {
	set := settings()
	set.Balancers, set.Tenants = 1, []Tenant{{Name: "a", QuotaPerSecond: 15}, {Name: "b", QuotaPerSecond: 15}}
	b, id := start(t, set, list(6)), uint32(0)
	low := func(quota ...float64) (low [2]int) {
		b.ApplyFleetPolicy(quota, nil)
		for i := range 400 { // 10 s, of which the last 5 count
			b.Step(b.now+25*ms, &TimerDue{Tag: 1 << 40})
			if i%40 == 0 {
				b.Step(b.now, &TimerDue{Tag: timerRound})
			}
			for n, tenant := range []string{"a", "b"} {
				if id++; i%2 == n {
					b.Step(b.now, &Request{ID: id, Class: "safe", Tenant: tenant, ClientTimeout: time.Second})
					if r := b.requests[id]; r != nil && r.overQuota && i >= 200 {
						low[n]++
					}
					b.Step(b.now, &AttemptDone{ID: id, Outcome: Served, Latency: ms, RequestDone: true})
				}
			}
		}
		return low
	}
	even := low()
	require.InDelta(t, 25, even[0], 3, "of 100, at 15 of 20 a second")
	require.InDelta(t, 25, even[1], 3)
	moved := low(25, 5)
	require.Zero(t, moved[0])
	require.InDelta(t, 75, moved[1], 3)
	require.Equal(t, even, low())
}

// The answer to a probe that a request waited for before its first attempt does not wake it up before its time.
func TestAgreedPaceOverLateProbes(t *testing.T) {
	set := settings()
	set.Limits.Probes = true
	b := start(t, set, list(6))
	b.ApplyFleetPolicy(nil, []RetryPolicy{{MaxAttempts: 3, MinAttemptInterval: 80 * ms}})
	acts := b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})
	mute := find(acts, Probe).Server
	acts = b.Step(b.now+find(acts, SetTimer).After, &TimerDue{Tag: find(acts, SetTimer).Tag})
	sent := mustSend(t, b.Step(b.now+ms, &ProbeDone{Server: find(acts, Probe).Server, Outcome: Served}))
	begun := b.now
	timer := find(b.Step(begun+5*ms, &AttemptDone{ID: 1, Server: sent.Server, Outcome: Rejected, Latency: 5 * ms}), SetTimer)
	require.Empty(t, b.Step(begun+6*ms, &ProbeDone{Server: mute, Outcome: Served}), "too soon")
	mustSend(t, b.Step(begun+80*ms, &TimerDue{Tag: timer.Tag}))
}
