package decide

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/ring"
)

// Days with a neutral agreement told over and over are the days without any; with another one they differ, and
// keep the rules, whatever is agreed.
func TestAgreedWithinTheSettings(t *testing.T) {
	for seed := range uint64(12) {
		var set Settings
		change := func(s *Settings) {
			s.Tenants = []Tenant{{Name: "a", QuotaPerS: 20}, {Name: "b", QuotaPerS: 2}, {Name: "c"}}
			s.Limits.SecondCopies = seed%3 > 0
			set = *s
		}
		plain := play(t, seed, change, nil)
		neutral := play(t, seed, change, func(w *world, n int) {
			all := make([]Agreed, len(set.Classes))
			for i := range all {
				all[i] = Agreed{Attempts: set.Limits.MaxAttempts + n%2, Copies: true}
			}
			w.b.Agree([]float64{20, 2}[:n%3], all[:n%(len(all)+1)])
		})
		require.Equal(t, plain, neutral, "seed %d", seed)
		require.NotEqual(t, plain, play(t, seed, change, func(w *world, n int) {
			c := Agreed{Attempts: n%9 - 2, Copies: n%2 > 0, Pace: time.Duration(n%50-5) * ms}
			w.b.Agree([]float64{float64(n % 30), math.NaN(), math.Inf(1), -1}, []Agreed{c, c, c, c, {Pace: math.MaxInt64}, c})
		}), "seed %d", seed)
		play(t, seed, change, func(w *world, _ int) {
			w.pace = 40 * ms
			c := Agreed{Attempts: 3, Pace: w.pace}
			w.b.Agree(nil, []Agreed{c, c, c, c, c})
		})
	}
}

// What is agreed on a class holds for the requests that are there already, and the settings hold again after it.
func TestAgreedAttemptsAndPace(t *testing.T) {
	set := settings()
	set.Limits.SecondCopies = true
	b, id := start(t, set, list(6)), uint32(0)
	fail := func(classes ...Agreed) (again bool, wait time.Duration) {
		id++
		b.tokens = 10
		a := mustSend(t, b.Step(b.now+time.Second, &Request{ID: id, Class: "safe", Budget: time.Second}))
		b.Agree(nil, classes)
		sent := b.now
		acts := b.Step(sent+5*ms, &AttemptDone{ID: id, Server: a.Server, Outcome: TurnedAway, Latency: 5 * ms})
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
		classes []Agreed
		again   bool
		wait    time.Duration
	}{
		{"settings", nil, true, 0},
		{"one attempt", []Agreed{{Attempts: 1}}, false, 0},
		{"one attempt, whatever the pace", []Agreed{{Attempts: 1, Pace: 60 * ms}}, false, 0},
		{"another class's", []Agreed{{Attempts: 2}, {Attempts: 1}}, true, 0},
		{"pace, from the beginning", []Agreed{{Attempts: 2, Pace: 60 * ms}}, true, 55 * ms},
		{"pace over", []Agreed{{Attempts: 2, Pace: 5 * ms}}, true, 0},
		{"pace beyond the aim", []Agreed{{Attempts: 2, Pace: math.MaxInt64}}, false, 0},
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
			agreed    []Agreed
			sends     int
		}{
			{true, nil, 2},
			{true, []Agreed{{Attempts: 3}}, 1},
			{true, []Agreed{{Attempts: 1, Copies: true}}, 1},
			{true, []Agreed{{Attempts: 2, Copies: true}}, 2},
			{false, []Agreed{{Attempts: 2, Copies: true}}, 1},
		} {
			set.Limits.SecondCopies = c.permitted
			b := start(t, set, list(6))
			if s := b.ring.Owner(ring.Hash("k")); unproved {
				b.Doubt(0.5)
			} else {
				b.turn(s, true)
				b.rate = 10
				s.cold.Begin(b.now, 1)
			}
			b.Agree(nil, []Agreed{{Attempts: 1}})
			b.Agree(nil, c.agreed)
			sends := 0
			for _, a := range b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", Budget: time.Second}) {
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
	set.Balancers, set.Tenants = 1, []Tenant{{Name: "a", QuotaPerS: 15}, {Name: "b", QuotaPerS: 15}}
	b, id := start(t, set, list(6)), uint32(0)
	low := func(quota ...float64) (low [2]int) {
		b.Agree(quota, nil)
		for i := range 400 { // 10 s, of which the last 5 count
			b.Step(b.now+25*ms, &TimerDue{Tag: 1 << 40})
			if i%40 == 0 {
				b.Step(b.now, &TimerDue{Tag: tagRound})
			}
			for n, tenant := range []string{"a", "b"} {
				if id++; i%2 == n {
					b.Step(b.now, &Request{ID: id, Class: "safe", Tenant: tenant, Budget: time.Second})
					if r := b.requests[id]; r != nil && r.low && i >= 200 {
						low[n]++
					}
					b.Step(b.now, &AttemptDone{ID: id, Outcome: Served, Latency: ms, Finished: true})
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
	b.Agree(nil, []Agreed{{Attempts: 3, Pace: 80 * ms}})
	acts := b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", Budget: time.Second})
	mute := find(acts, Probe).Server
	acts = b.Step(b.now+find(acts, SetTimer).After, &TimerDue{Tag: find(acts, SetTimer).Tag})
	sent := mustSend(t, b.Step(b.now+ms, &ProbeDone{Server: find(acts, Probe).Server, Outcome: Served}))
	begun := b.now
	timer := find(b.Step(begun+5*ms, &AttemptDone{ID: 1, Server: sent.Server, Outcome: TurnedAway, Latency: 5 * ms}), SetTimer)
	require.Empty(t, b.Step(begun+6*ms, &ProbeDone{Server: mute, Outcome: Served}), "too soon")
	mustSend(t, b.Step(begun+80*ms, &TimerDue{Tag: timer.Tag}))
}
