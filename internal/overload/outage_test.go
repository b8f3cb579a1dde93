package overload

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/discovery/backoff"
)

// TestOutage: while nothing is served little is sent, and servers that respond again are used within three
// seconds, by no more than they can do, warm or warming up.
func TestOutage(t *testing.T) {
	for name, tt := range map[string]struct {
		begin func(sim *fleetSimulation)
		slow  float64 // after the outage
		rate  float64
		sends float64 // for each first attempt, at most
	}{
		"silent":           {func(sim *fleetSimulation) { sim.neverAnswers = true }, 1, 300, 0.25},
		"rejecting":        {func(sim *fleetSimulation) { sim.rejectsAll = true }, 1, 300, 0.25},
		"down, warming up": {func(sim *fleetSimulation) { sim.connectFails = true }, 3, 100, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFleetSimulation(4, 12, nil)
			sim.rate, sim.clientsRetry = tt.rate, true
			sim.run(20 * time.Second)
			require.Empty(t, sim.logs)
			tt.begin(sim)
			asked, sent := sim.requests, sim.sent
			sim.run(20 * time.Second)
			require.Less(t, float64(sim.sent-sent)/float64(sim.requests-asked), tt.sends, "%v", sim.logs)
			sim.neverAnswers, sim.rejectsAll, sim.connectFails, sim.slow = false, false, false, tt.slow
			for second := range 10 {
				work, done, asked, served := sim.sentWork, sim.done, sim.requests, sim.served
				sim.run(time.Second)
				able := max(sim.done-done, cores*float64(sim.servers)/sim.slow*0.9)
				require.Less(t, sim.sentWork-work, 1.1*able, "second %d", second)
				if second >= 4 {
					require.Greater(t, float64(sim.served-served), 0.8*float64(sim.requests-asked), "second %d: %v", second, sim.logs)
				}
			}
			require.Equal(t, 4, count(sim.logs, "outage over"), "%v", sim.logs)
		})
	}
}

// TestOutageAtStart: an agent that starts in the middle of an outage neither adds to it nor misses its end.
func TestOutageAtStart(t *testing.T) {
	sim := newFleetSimulation(2, 6, nil)
	sim.rate, sim.rejectsAll = 100, true
	sim.run(10 * time.Second)
	require.Less(t, float64(sim.sent), 0.25*float64(sim.requests))
	sim.rejectsAll = false
	sim.run(3 * time.Second)
	asked, served := sim.requests, sim.served
	sim.run(3 * time.Second)
	require.Greater(t, float64(sim.served-served), 0.95*float64(sim.requests-asked), "%v", sim.logs)
}

// TestWarmingUpServerIsHeldToItsLimit: a server that just started and gets all requests, because the others
// are gone, is not overloaded: neither by what it serves nor by what it rejects.
func TestWarmingUpServerIsHeldToItsLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		outcome balancer.Outcome
		started time.Duration
		most    int // in a second
	}{
		"rejects": {balancer.Rejected, epoch, 5}, "serves": {balancer.Served, epoch, 40},
		"is warm": {balancer.Served, 0, 140},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New(deployment(4, 0), Config{}, &fakeBalancer{maxInFlight: 100, servers: 1}, 1)
			require.NoError(t, err)
			list := func(n int) {
				update := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
				for i := range n {
					update.Servers = append(update.Servers, balancer.Server{ID: fmt.Sprint("s-", i), StartedAt: tt.started})
				}
				c.Step(epoch, update)
			}
			list(12)
			list(1)
			sent, out := 0, []uint32{}
			for i := range uint32(1000) {
				now := epoch + time.Duration(i)*time.Millisecond
				for _, a := range c.Step(now, &balancer.Request{ID: i, Class: "consult", ClientTimeout: time.Second}) {
					if a.Kind == balancer.Send {
						sent++
						out = append(out, a.ID)
					}
				}
				if len(out) > 0 && (tt.outcome != balancer.Served || i%25 == 0) { // it serves 40 a second
					c.Step(now, &balancer.AttemptDone{
						ID: out[0], Server: "s-0", Outcome: tt.outcome,
						Latency: 50 * time.Millisecond, RequestDone: tt.outcome == balancer.Served,
					})
					out = out[1:]
				}
			}
			require.LessOrEqual(t, sent, tt.most+4)
			require.GreaterOrEqual(t, sent, tt.most/2-1)
		})
	}
}

// TestLocalShortageIsNoOutage: where this agent has no descriptors for further connections, its servers count
// as healthy as before.
func TestLocalShortageIsNoOutage(t *testing.T) {
	c, err := NewWithBalancer(deployment(1, 0), Config{}, 1)
	require.NoError(t, err)
	now := epoch
	c.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
	for id := range uint32(200) {
		now += 10 * time.Millisecond
		for _, a := range c.Step(now, &balancer.Request{ID: id, Class: "consult", ClientTimeout: time.Second}) {
			if a.Kind == balancer.Send {
				c.Step(now, &balancer.AttemptDone{
					ID: id, Server: a.Server, Outcome: balancer.ConnectFailed,
					Evidence: outlier.Evidence{Phase: outlier.PhaseConnecting, LocalShortage: true},
				})
			}
		}
	}
	require.Equal(t, phaseNormal, c.outage.phase)
	require.Equal(t, 2, c.workingServers())
}

// TestOutageDoesNotConfirmServerList: when the controller resets servers, that is no update from discovery: a
// watch that was lost before must be opened again.
func TestOutageDoesNotConfirmServerList(t *testing.T) {
	set := deployment(1, 0)
	set.DiscoveryOnDemand = true
	c, err := NewWithBalancer(set, Config{}, 1)
	require.NoError(t, err)
	now := epoch
	c.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
	var again *balancer.Action
	for _, a := range c.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFailed, Watch: balancer.WatchStatus{End: backoff.WatchLost}}) {
		if a.Kind == balancer.SetTimer {
			again = &a
		}
	}
	require.NotNil(t, again)
	passed := map[phase]bool{}
	for id := range uint32(2000) {
		now += 10 * time.Millisecond
		passed[c.outage.phase] = true
		outcome := balancer.ServerError
		if passed[phaseOutage] {
			outcome = balancer.Served
		}
		for _, a := range c.Step(now, &balancer.Request{ID: id, Class: "consult", ClientTimeout: time.Second}) {
			if a.Kind == balancer.Send {
				c.Step(now, &balancer.AttemptDone{ID: id, Server: a.Server, Outcome: outcome, Latency: 5 * time.Millisecond})
			}
		}
	}
	require.True(t, passed[phaseRecovering], "the controller has reset servers")
	asks := slices.ContainsFunc(c.Step(now, &balancer.TimerDue{Tag: again.Tag}),
		func(a balancer.Action) bool { return a.Kind == balancer.Subscribe })
	require.True(t, asks)
}
