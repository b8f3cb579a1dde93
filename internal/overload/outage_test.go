package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/discovery/backoff"
)

// TestOutage: while nothing is served little is sent, and what comes back is used within three seconds, by no
// more than it can do, warm or cold.
func TestOutage(t *testing.T) {
	for name, c := range map[string]struct {
		begin func(l *fleetSimulation)
		slow  float64 // when it is back
		rate  float64
		sends float64 // for each first try, at most
	}{
		"silent":     {func(l *fleetSimulation) { l.neverAnswers = true }, 1, 300, 0.25},
		"refusing":   {func(l *fleetSimulation) { l.rejectsAll = true }, 1, 300, 0.25},
		"down, cold": {func(l *fleetSimulation) { l.connectFails = true }, 3, 100, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			l := newFleetSimulation(4, 12, nil)
			l.rate, l.clientsRetry = c.rate, true
			l.run(20 * time.Second)
			require.Empty(t, l.logs)
			c.begin(l)
			asked, sent := l.requests, l.sent
			l.run(20 * time.Second)
			require.Less(t, float64(l.sent-sent)/float64(l.requests-asked), c.sends, "%v", l.logs)
			l.neverAnswers, l.rejectsAll, l.connectFails, l.slow = false, false, false, c.slow
			for second := range 10 {
				work, done, asked, served := l.sentWork, l.done, l.requests, l.served
				l.run(time.Second)
				able := max(l.done-done, cores*float64(l.servers)/l.slow*0.9)
				require.Less(t, l.sentWork-work, 1.1*able, "second %d", second)
				if second >= 4 {
					require.Greater(t, float64(l.served-served), 0.8*float64(l.requests-asked), "second %d: %v", second, l.logs)
				}
			}
			require.Equal(t, 4, count(l.logs, "outage over"), "%v", l.logs)
		})
	}
}

// TestOutageAtStart: an agent that starts in the middle of it, knowing nothing, neither adds to it nor
// misses its end.
func TestOutageAtStart(t *testing.T) {
	l := newFleetSimulation(2, 6, nil)
	l.rate, l.rejectsAll = 100, true
	l.run(10 * time.Second)
	require.Less(t, float64(l.sent), 0.25*float64(l.requests))
	l.rejectsAll = false
	l.run(3 * time.Second)
	asked, served := l.requests, l.served
	l.run(3 * time.Second)
	require.Greater(t, float64(l.served-served), 0.95*float64(l.requests-asked), "%v", l.logs)
}

// TestWarmingUpServerIsHeldToItsLimit: one that just started and is turned to by all, because the others are gone, is not
// pushed over: not by what it serves, nor by what it turns away.
func TestWarmingUpServerIsHeldToItsLimit(t *testing.T) {
	for name, c := range map[string]struct {
		outcome balancer.Outcome
		started time.Duration
		most    int // in a second
	}{
		"turns away": {balancer.Rejected, epoch, 5}, "serves": {balancer.Served, epoch, 40},
		"is warm": {balancer.Served, 0, 140},
	} {
		t.Run(name, func(t *testing.T) {
			g, err := New(deployment(4, 0), Config{}, &fakeBalancer{most: 100, servers: 1}, 1)
			require.NoError(t, err)
			list := func(n int) {
				news := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
				for i := range n {
					news.Servers = append(news.Servers, balancer.Server{ID: fmt.Sprint("s-", i), StartedAt: c.started})
				}
				g.Step(epoch, news)
			}
			list(12)
			list(1)
			sent, out := 0, []uint32{}
			for i := range uint32(1000) {
				now := epoch + time.Duration(i)*time.Millisecond
				for _, a := range g.Step(now, &balancer.Request{ID: i, Class: "consult", ClientTimeout: time.Second}) {
					if a.Kind == balancer.Send {
						sent++
						out = append(out, a.ID)
					}
				}
				if len(out) > 0 && (c.outcome != balancer.Served || i%25 == 0) { // it serves 40 a second
					g.Step(now, &balancer.AttemptDone{
						ID: out[0], Server: "s-0", Outcome: c.outcome,
						Latency: 50 * time.Millisecond, RequestDone: c.outcome == balancer.Served,
					})
					out = out[1:]
				}
			}
			require.LessOrEqual(t, sent, c.most+4)
			require.GreaterOrEqual(t, sent, c.most/2-1)
		})
	}
}

// TestFairnessOrder: who is let in first.
func TestFairnessOrder(t *testing.T) {
	o := newFairnessOrder(deployment(1, 0).Classes)
	first := []int{
		o.tier("rezervare", false, false), o.tier("rezervare", false, true), o.tier("consult", false, false),
		o.tier("consult", false, true), o.tier("rezervare", true, false), o.tier("consult", true, true),
	}
	require.IsIncreasing(t, first)
	require.Equal(t, o.tier("consult", false, false), o.tier("unheard of", false, false))
	for _, tier := range first {
		o.add(epoch, tier)
	}
	last := -1.0
	for _, tier := range first {
		before := o.fractionBefore(epoch, tier, 0.5)
		require.Greater(t, before, last)
		last = before
	}
	rapid.Check(t, func(t *rapid.T) {
		key, now := rapid.String().Draw(t, "key"), epoch+time.Duration(rapid.Int64Range(0, 1e12).Draw(t, "now"))
		a, b := keyRank(key, now, time.Minute), keyRank(key, now+20*time.Second, time.Minute)
		moved := b - a
		if moved < 0 {
			moved++
		}
		if a < 0 || a >= 1 || moved < 0.33 || moved > 0.34 {
			t.Fatalf("from %v to %v in a third of a turn", a, b)
		}
	})
}

// TestRetryAfterSchedule: clients that are told come back one after another, within the bound; who heeds it is let in
// before who does not.
func TestRetryAfterSchedule(t *testing.T) {
	l := newFleetSimulation(1, 6, nil)
	l.rate = 100
	l.run(5 * time.Second)
	g := l.controllers[0]
	g.outage.phase, g.outage.startedAt = phaseOutage, l.now
	var last time.Duration
	seen := map[time.Duration]bool{}
	for i := range 500 {
		id := uint32(1e6 + 2*i)
		var after time.Duration
		for _, a := range g.Step(l.now, &balancer.Request{ID: id, Class: "rezervare", Key: fmt.Sprint("c", i), ClientTimeout: time.Second}) {
			if a.Kind == balancer.Reject && a.ID == id {
				after = a.After
			}
		}
		require.Positive(t, after)
		require.LessOrEqual(t, after, g.settings.Limits.MaxRetryAfter)
		require.False(t, seen[after], "two told the same")
		if seen[after] = true; i < 100 {
			require.Greater(t, after, last)
			last = after
		}
	}
	who := g.retryAfters.clientID("c1", "", "rezervare")
	p := g.retryAfters.find(l.now, who)
	require.NotNil(t, p)
	require.Greater(t, p.returnAt, l.now+minRetryAfter)
	require.Nil(t, g.retryAfters.find(p.returnAt+retryAfterGrace+1, who), "it is remembered for a while only")
}

// TestRetryAfterTableIsBounded: however many clients are told, and whatever their keys, the memory is that of the start.
func TestRetryAfterTableIsBounded(t *testing.T) {
	told := newRetryAfterTable(7)
	require.LessOrEqual(t, len(told.entries)*24, 2<<20)
	missed := 0
	for i := range 100_000 { // a minute's, told two seconds at most
		now := epoch + time.Duration(i)*600*time.Microsecond
		who := told.clientID(fmt.Sprint("k", i), "t", "consult")
		told.record(now, who, now+2*time.Second)
		if i >= 3000 {
			if told.find(now, told.clientID(fmt.Sprint("k", i-3000), "t", "consult")) == nil {
				missed++
			}
		}
	}
	require.Less(t, missed, 100)
	n := testing.AllocsPerRun(100, func() { told.record(epoch, 12345, epoch); told.find(epoch, 77) })
	require.Zero(t, n)
}

// Guards against an outage that is this agent's own: where it has no descriptors for further connections, its servers
// are as well as before.
func TestLocalShortageIsNoOutage(t *testing.T) {
	g, err := NewWithBalancer(deployment(1, 0), Config{}, 1)
	require.NoError(t, err)
	now := epoch
	g.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
	for id := range uint32(200) {
		now += 10 * time.Millisecond
		for _, a := range g.Step(now, &balancer.Request{ID: id, Class: "consult", ClientTimeout: time.Second}) {
			if a.Kind == balancer.Send {
				g.Step(now, &balancer.AttemptDone{
					ID: id, Server: a.Server, Outcome: balancer.ConnectFailed,
					Evidence: outlier.Evidence{Phase: outlier.PhaseConnecting, LocalShortage: true},
				})
			}
		}
	}
	require.Equal(t, phaseNormal, g.outage.phase)
	require.Equal(t, 2, g.workingServers())
}

// Guards against a list that is never asked for again: what the gate tells the module of servers that are as if
// started anew is no word from discovery, whose watch was lost before and must be opened again.
func TestOutageDoesNotConfirmServerList(t *testing.T) {
	set := deployment(1, 0)
	set.DiscoveryOnDemand = true
	g, err := NewWithBalancer(set, Config{}, 1)
	require.NoError(t, err)
	now := epoch
	g.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
	var again *balancer.Action
	for _, a := range g.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFailed, Watch: balancer.WatchStatus{End: backoff.WatchLost}}) {
		if a.Kind == balancer.SetTimer {
			again = &a
		}
	}
	require.NotNil(t, again)
	passed := map[phase]bool{}
	for id := range uint32(2000) {
		now += 10 * time.Millisecond
		passed[g.outage.phase] = true
		outcome := balancer.ServerError
		if passed[phaseOutage] {
			outcome = balancer.Served
		}
		for _, a := range g.Step(now, &balancer.Request{ID: id, Class: "consult", ClientTimeout: time.Second}) {
			if a.Kind == balancer.Send {
				g.Step(now, &balancer.AttemptDone{ID: id, Server: a.Server, Outcome: outcome, Latency: 5 * time.Millisecond})
			}
		}
	}
	require.True(t, passed[phaseRecovering], "the gate has told of servers as if started anew")
	asks := slices.ContainsFunc(g.Step(now, &balancer.TimerDue{Tag: again.Tag}),
		func(a balancer.Action) bool { return a.Kind == balancer.Subscribe })
	require.True(t, asks)
}
