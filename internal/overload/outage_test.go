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

// TestOutage checks that little is sent during an outage. Servers that respond again, warm or in slow
// start, must serve most requests after four seconds and never get more than they can serve.
func TestOutage(t *testing.T) {
	for name, tt := range map[string]struct {
		begin        func(sim *fleetSimulation)
		slow         float64 // work of a request after the outage, as a multiple of the usual
		rate         float64
		maxSentRatio float64 // maximum ratio of attempts to requests
	}{
		"silent":           {func(sim *fleetSimulation) { sim.neverResponds = true }, 1, 300, 0.25},
		"rejecting":        {func(sim *fleetSimulation) { sim.rejectsAll = true }, 1, 300, 0.25},
		"down, slow start": {func(sim *fleetSimulation) { sim.connectFails = true }, 3, 100, 0.25},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFleetSimulation(4, 12, nil)
			sim.rate, sim.clientsRetry = tt.rate, true
			sim.run(20 * time.Second)
			require.Empty(t, sim.logs)
			tt.begin(sim)
			requests, sent := sim.requests, sim.sent
			sim.run(20 * time.Second)
			require.Less(t, float64(sim.sent-sent)/float64(sim.requests-requests), tt.maxSentRatio, "%v", sim.logs)
			sim.neverResponds, sim.rejectsAll, sim.connectFails, sim.slowdown = false, false, false, tt.slow
			for second := range 10 {
				work, done, requests, served := sim.sentWork, sim.done, sim.requests, sim.served
				sim.run(time.Second)
				capacity := max(sim.done-done, cores*float64(sim.servers)/sim.slowdown*0.9)
				require.Less(t, sim.sentWork-work, 1.1*capacity, "second %d", second)
				if second >= 4 {
					require.Greater(t, float64(sim.served-served), 0.8*float64(sim.requests-requests), "second %d: %v", second, sim.logs)
				}
			}
			require.Equal(t, 4, count(sim.logs, "outage over"), "%v", sim.logs)
		})
	}
}

// TestOutageAtStart checks that an agent that starts during an outage sends little, and detects its end.
func TestOutageAtStart(t *testing.T) {
	sim := newFleetSimulation(2, 6, nil)
	sim.rate, sim.rejectsAll = 100, true
	sim.run(10 * time.Second)
	require.Less(t, float64(sim.sent), 0.25*float64(sim.requests))
	sim.rejectsAll = false
	sim.run(3 * time.Second)
	requests, served := sim.requests, sim.served
	sim.run(3 * time.Second)
	require.Greater(t, float64(sim.served-served), 0.95*float64(sim.requests-requests), "%v", sim.logs)
}

// TestSlowStartServerIsHeldToProvenLimit checks that a server in slow start that gets all requests, because
// the other servers are gone, is not overloaded, whether it serves or rejects them.
func TestSlowStartServerIsHeldToProvenLimit(t *testing.T) {
	for name, tt := range map[string]struct {
		outcome balancer.Outcome
		started time.Duration
		maxSent int // maximum requests sent in a second
	}{
		"rejects": {balancer.Rejected, epoch, 5}, "serves": {balancer.Served, epoch, 40},
		"is warm": {balancer.Served, 0, 140},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := New(deployment(4, 0), Config{}, &fakeBalancer{maxInFlight: 100, servers: 1}, 1)
			require.NoError(t, err)
			setServers := func(n int) {
				update := &balancer.ServerListUpdate{Kind: balancer.UpdateFull}
				for i := range n {
					update.Servers = append(update.Servers, balancer.Server{ID: fmt.Sprint("s-", i), StartedAt: tt.started})
				}
				c.Step(epoch, update)
			}
			setServers(12)
			setServers(1)
			sent, inFlight := 0, []uint32{}
			for i := range uint32(1000) {
				now := epoch + time.Duration(i)*time.Millisecond
				for _, a := range c.Step(now, &balancer.Request{ID: i, Class: "consult", ClientTimeout: time.Second}) {
					if a.Kind == balancer.Send {
						sent++
						inFlight = append(inFlight, a.ID)
					}
				}
				if len(inFlight) > 0 && (tt.outcome != balancer.Served || i%25 == 0) { // serves 40 a second
					c.Step(now, &balancer.AttemptDone{
						ID: inFlight[0], Server: "s-0", Outcome: tt.outcome,
						Latency: 50 * time.Millisecond, RequestDone: tt.outcome == balancer.Served,
					})
					inFlight = inFlight[1:]
				}
			}
			require.LessOrEqual(t, sent, tt.maxSent+4)
			require.GreaterOrEqual(t, sent, tt.maxSent/2-1)
		})
	}
}

// TestLocalShortageIsNoOutage checks that servers still count as healthy when this agent has no file
// descriptors left for connections, or was not scheduled when its attempts' time was over.
func TestLocalShortageIsNoOutage(t *testing.T) {
	for name, tt := range map[string]struct {
		outcome  balancer.Outcome
		evidence outlier.Evidence
	}{
		"no descriptors": {balancer.ConnectFailed, outlier.Evidence{Phase: outlier.PhaseConnecting, LocalShortage: true}},
		"not scheduled":  {balancer.TimedOut, outlier.Evidence{Phase: outlier.PhaseAwaiting, ActedLateBy: time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			c, err := NewWithBalancer(deployment(1, 0), Config{}, 1)
			require.NoError(t, err)
			now := epoch
			c.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
			for id := range uint32(200) {
				now += 10 * time.Millisecond
				for _, a := range c.Step(now, &balancer.Request{ID: id, Class: "consult", ClientTimeout: time.Second}) {
					if a.Kind == balancer.Send {
						c.Step(now, &balancer.AttemptDone{ID: id, Server: a.Server, Outcome: tt.outcome, Evidence: tt.evidence})
					}
				}
			}
			require.Equal(t, phaseNormal, c.outage.phase)
			require.Equal(t, 2, c.serverCounts.working)
		})
	}
}

// TestOutageDoesNotConfirmServerList checks that a reset of servers by the controller does not count as an
// update from discovery: a watch that was lost before must be opened again.
func TestOutageDoesNotConfirmServerList(t *testing.T) {
	set := deployment(1, 0)
	set.DiscoveryOnDemand = true
	c, err := NewWithBalancer(set, Config{}, 1)
	require.NoError(t, err)
	now := epoch
	c.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFull, Servers: []balancer.Server{{ID: "a", Weight: 1}, {ID: "b", Weight: 1}}})
	var watchTimer *balancer.Action
	for _, a := range c.Step(now, &balancer.ServerListUpdate{Kind: balancer.UpdateFailed, Watch: balancer.WatchStatus{End: backoff.WatchLost}}) {
		if a.Kind == balancer.SetTimer {
			watchTimer = &a
		}
	}
	require.NotNil(t, watchTimer)
	seen := map[phase]bool{}
	for id := range uint32(2000) {
		now += 10 * time.Millisecond
		seen[c.outage.phase] = true
		outcome := balancer.ServerError
		if seen[phaseOutage] {
			outcome = balancer.Served
		}
		for _, a := range c.Step(now, &balancer.Request{ID: id, Class: "consult", ClientTimeout: time.Second}) {
			if a.Kind == balancer.Send {
				c.Step(now, &balancer.AttemptDone{ID: id, Server: a.Server, Outcome: outcome, Latency: 5 * time.Millisecond})
			}
		}
	}
	require.True(t, seen[phaseRecovering], "the controller must have reset servers")
	subscribes := slices.ContainsFunc(c.Step(now, &balancer.TimerDue{Tag: watchTimer.Tag}),
		func(a balancer.Action) bool { return a.Kind == balancer.Subscribe })
	require.True(t, subscribes)
}
