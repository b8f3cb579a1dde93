package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/ring"
)

// A policy that equals the settings changes no action, however often it is applied. With other policies the actions
// differ, but the rules hold whatever the policy is.
func TestFleetPolicyStaysWithinTheSettings(t *testing.T) {
	for seed := range uint64(12) {
		var set Settings
		change := func(s *Settings) {
			s.Tenants = []Tenant{{Name: "a", QuotaPerSecond: 20}, {Name: "b", QuotaPerSecond: 2}, {Name: "c"}}
			s.Limits.Hedging = seed%3 > 0
			set = *s
		}
		plain := simulate(t, seed, change, nil)
		neutral := simulate(t, seed, change, func(w *simulation, n int) {
			all := make([]RetryPolicy, len(set.Classes))
			for i := range all {
				all[i] = RetryPolicy{MaxAttempts: set.Limits.MaxAttempts + n%2, Hedging: true}
			}
			w.b.ApplyFleetPolicy([]float64{20, 2}[:n%3], all[:n%(len(all)+1)])
		})
		require.Equal(t, plain, neutral, "seed %d", seed)
		require.NotEqual(t, plain, simulate(t, seed, change, func(w *simulation, n int) {
			c := RetryPolicy{MaxAttempts: n%9 - 2, Hedging: n%2 > 0, MinAttemptInterval: time.Duration(n%50-5) * ms}
			w.b.ApplyFleetPolicy([]float64{float64(n % 30), math.NaN(), math.Inf(1), -1}, []RetryPolicy{c, c, c, c, {MinAttemptInterval: math.MaxInt64}, c})
		}), "seed %d", seed)
		simulate(t, seed, change, func(w *simulation, _ int) {
			w.minInterval = 40 * ms
			c := RetryPolicy{MaxAttempts: 3, MinAttemptInterval: w.minInterval}
			w.b.ApplyFleetPolicy(nil, []RetryPolicy{c, c, c, c, c})
		})
	}
}

// A class's policy also applies to requests in flight, and the settings apply again once it is removed.
func TestFleetPolicyLimitsAttemptsAndTheirInterval(t *testing.T) {
	set := testSettings()
	set.Limits.Hedging = true
	b, id := newStarted(t, set, serverList(6)), uint32(0)
	fail := func(classes ...RetryPolicy) (retried bool, wait time.Duration) {
		id++
		b.retryTokens = 10
		a := mustSend(t, b.Step(b.now+time.Second, &Request{ID: id, Class: "safe", ClientTimeout: time.Second}))
		b.ApplyFleetPolicy(nil, classes)
		sent := b.now
		acts := b.Step(sent+5*ms, &AttemptDone{ID: id, Server: a.Server, Outcome: Rejected, Latency: 5 * ms})
		if timer := findAction(acts, SetTimer); timer != nil {
			wait = timer.After
			b.Step(sent+wait, &TimerDue{Tag: timer.Tag})
			require.Len(t, b.requests[id].attempts, 1, "retried before the wait is over")
			acts = b.Step(sent+5*ms+wait, &TimerDue{Tag: timer.Tag})
		}
		retried = findAction(acts, Send) != nil
		b.Step(b.now, &ClientGone{ID: id})
		return retried, wait
	}
	for _, c := range []struct {
		name    string
		classes []RetryPolicy
		retried bool
		wait    time.Duration
	}{
		{"settings", nil, true, 0},
		{"one attempt", []RetryPolicy{{MaxAttempts: 1}}, false, 0},
		{"one attempt, whatever the interval", []RetryPolicy{{MaxAttempts: 1, MinAttemptInterval: 60 * ms}}, false, 0},
		{"another class's", []RetryPolicy{{MaxAttempts: 2}, {MaxAttempts: 1}}, true, 0},
		{"interval from the first attempt's start", []RetryPolicy{{MaxAttempts: 2, MinAttemptInterval: 60 * ms}}, true, 55 * ms},
		{"interval that is over", []RetryPolicy{{MaxAttempts: 2, MinAttemptInterval: 5 * ms}}, true, 0},
		{"interval beyond the objective", []RetryPolicy{{MaxAttempts: 2, MinAttemptInterval: math.MaxInt64}}, false, 0},
		{"settings again", nil, true, 0},
	} {
		retried, wait := fail(c.classes...)
		require.Equal(t, c.retried, retried, c.name)
		require.Equal(t, c.wait, wait, c.name)
	}
}

// A policy that forbids hedging applies both to servers that are down and to servers on probation.
func TestFleetPolicyForbidsHedging(t *testing.T) {
	set := testSettings()
	for _, onProbation := range []bool{false, true} {
		for _, c := range []struct {
			permitted bool
			policies  []RetryPolicy
			sends     int
		}{
			{true, nil, 2},
			{true, []RetryPolicy{{MaxAttempts: 3}}, 1},
			{true, []RetryPolicy{{MaxAttempts: 1, Hedging: true}}, 1},
			{true, []RetryPolicy{{MaxAttempts: 2, Hedging: true}}, 2},
			{false, []RetryPolicy{{MaxAttempts: 2, Hedging: true}}, 1},
		} {
			set.Limits.Hedging = c.permitted
			b := newStarted(t, set, serverList(6))
			if s := b.ring.Owner(ring.Hash("k")); onProbation {
				b.StartProbation(0.5)
			} else {
				b.repeatOutcome(s, ConnectFailed)
				b.sendRate = 10
				s.slowStart.Start(b.now, 1)
			}
			b.ApplyFleetPolicy(nil, []RetryPolicy{{MaxAttempts: 1}})
			b.ApplyFleetPolicy(nil, c.policies)
			sends := 0
			for _, a := range b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}) {
				if a.Kind == Send {
					sends++
				}
			}
			require.Equal(t, c.sends, sends, "%+v, on probation %v", c, onProbation)
		}
	}
}

// Two tenants send 20 requests a second each. Their quotas add up to 30 a second, which the policy divides.
func TestFleetPolicySetsQuotas(t *testing.T) {
	set := testSettings()
	set.Balancers, set.Tenants = 1, []Tenant{{Name: "a", QuotaPerSecond: 15}, {Name: "b", QuotaPerSecond: 15}}
	b, id := newStarted(t, set, serverList(6)), uint32(0)
	overQuota := func(quotas ...float64) (over [2]int) {
		b.ApplyFleetPolicy(quotas, nil)
		for i := range 400 { // 10 s, of which the last 5 s count
			b.Step(b.now+25*ms, &TimerDue{Tag: 1 << 40})
			if i%40 == 0 {
				b.Step(b.now, &TimerDue{Tag: timerRound})
			}
			for n, tenant := range []string{"a", "b"} {
				if id++; i%2 == n {
					b.Step(b.now, &Request{ID: id, Class: "safe", Tenant: tenant, ClientTimeout: time.Second})
					if r := b.requests[id]; r != nil && r.overQuota && i >= 200 {
						over[n]++
					}
					b.Step(b.now, &AttemptDone{ID: id, Outcome: Served, Latency: ms, RequestDone: true})
				}
			}
		}
		return over
	}
	equal := overQuota()
	require.InDelta(t, 25, equal[0], 3, "of 100 requests, at a quota of 15 and a rate of 20 a second")
	require.InDelta(t, 25, equal[1], 3)
	moved := overQuota(25, 5)
	require.Zero(t, moved[0])
	require.InDelta(t, 75, moved[1], 3)
	require.Equal(t, equal, overQuota())
}

// Guards against a retry before the minimum attempt interval. The request waited for a probe before its first attempt,
// and the late response to that probe must not resume it while it waits for its second.
func TestMinAttemptIntervalHoldsWhenAProbeIsAnswered(t *testing.T) {
	set := testSettings()
	set.Limits.Probes = true
	b := newStarted(t, set, serverList(6))
	b.ApplyFleetPolicy(nil, []RetryPolicy{{MaxAttempts: 3, MinAttemptInterval: 80 * ms}})
	acts := b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})
	silent := findAction(acts, Probe).Server
	acts = b.Step(b.now+findAction(acts, SetTimer).After, &TimerDue{Tag: findAction(acts, SetTimer).Tag})
	sent := mustSend(t, b.Step(b.now+ms, &ProbeDone{Server: findAction(acts, Probe).Server, Outcome: Served}))
	startedAt := b.now
	timer := findAction(b.Step(startedAt+5*ms, &AttemptDone{ID: 1, Server: sent.Server, Outcome: Rejected, Latency: 5 * ms}), SetTimer)
	require.Empty(t, b.Step(startedAt+6*ms, &ProbeDone{Server: silent, Outcome: Served}), "no retry before the interval is over")
	mustSend(t, b.Step(startedAt+80*ms, &TimerDue{Tag: timer.Tag}))
}
