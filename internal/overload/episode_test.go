package overload

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
)

const usualRate = 180 // requests per second; the 12 servers can serve 400

func count(logs []string, text string) (n int) {
	for _, s := range logs {
		if strings.Contains(s, text) {
			n++
		}
	}
	return n
}

// TestSheddingEndsEpisode checks that all agents shed load in the same seconds, coordinated by messages or
// by the clock, and that this ends an episode which would otherwise persist.
func TestSheddingEndsEpisode(t *testing.T) {
	for name, tt := range map[string]struct {
		lost   float64
		change func(*balancer.Settings)
		within time.Duration
	}{
		"all messages":      {within: 4500 * time.Millisecond},
		"half the messages": {lost: 0.5, within: 5 * time.Second},
		"no messages":       {lost: 1, within: 8 * time.Second},
		"gossip disabled":   {change: func(s *balancer.Settings) { s.Limits.Gossip = false }, within: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			sim := newFleetSimulation(4, 12, tt.change)
			sim.messageLoss, sim.rate = tt.lost, 320
			sim.run(20 * time.Second)
			require.Empty(t, sim.logs)
			sim.slowdown, sim.recoversAfter = 2.4, 2200*time.Millisecond
			sim.run(tt.within)
			require.InDelta(t, 1.0, sim.slowdown, 0, "%v", sim.logs)
			sim.run(3 * time.Second)
			served := sim.served
			sim.run(5 * time.Second)
			require.Greater(t, float64(sim.served-served), 0.95*5*sim.rate, "%v", sim.logs)
		})
	}
}

// TestFailedSheddingIsNotRepeated checks that load shedding is not repeated in an episode that
// it did not end.
func TestFailedSheddingIsNotRepeated(t *testing.T) {
	sim := newFleetSimulation(4, 12, nil)
	sim.rate = 320
	sim.run(20 * time.Second)
	sim.slowdown = 2.4
	sim.run(28 * time.Second)
	require.Equal(t, 4, count(sim.logs, "shedding load for")+count(sim.logs, "joining"), "%v", sim.logs)
	require.Equal(t, 4, count(sim.logs, "goes on"), "%v", sim.logs)
}

// TestPlainOverloadIsNoEpisode checks that plain overload is not mistaken for a latency episode.
func TestPlainOverloadIsNoEpisode(t *testing.T) {
	sim := newFleetSimulation(4, 12, nil)
	sim.rate = usualRate
	sim.run(20 * time.Second)
	sim.rate = 700
	sim.run(30 * time.Second)
	require.Less(t, float64(sim.served), 450.0*50)
	require.Empty(t, sim.logs)
}

// TestForgedMessagesRejectNothing checks that an agent whose own responses take the usual time admits all
// requests, whatever messages it receives.
func TestForgedMessagesRejectNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newFleetSimulation(3, 6, nil)
		sim.rate = 60
		sim.run(5 * time.Second)
		for range 40 {
			data := rapid.OneOf(
				rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 20), func(b []byte) []byte { return append([]byte{messageOverload}, b...) }),
				rapid.Custom(func(t *rapid.T) []byte {
					return message{
						kind: messageKind(rapid.IntRange(0, 1).Draw(t, "kind")), logFactor: rapid.Float64Range(-9, 9).Draw(t, "log"),
						weight:   rapid.Float64Range(0, 1e4).Draw(t, "weight"),
						startsAt: sim.now + time.Duration(rapid.IntRange(-5, 5).Draw(t, "startsAt"))*100*time.Millisecond,
					}.encode()
				})).Draw(t, "data")
			from := rapid.IntRange(-1, 4).Draw(t, "from")
			sim.carryOut(0, sim.controllers[0].Step(sim.now, &balancer.PeerMessage{From: from, Data: data}))
			sim.run(50 * time.Millisecond)
		}
		if sim.rejected > 0 {
			t.Fatalf("%d requests were rejected: %v", sim.rejected, sim.logs)
		}
	})
}

// TestServerCapacityFraction checks serverCapacityFraction, by which the threshold of an episode rises
// while servers are missing or in slow start.
func TestServerCapacityFraction(t *testing.T) {
	sim := newFleetSimulation(1, 12, nil)
	sim.rate = 60
	c := sim.controllers[0]
	setState := func(state balancer.ServerState, started time.Duration) {
		var update []balancer.Server
		for _, s := range c.serversByID[:6] {
			e := s.entry
			e.State, e.StartedAt = state, started
			update = append(update, e)
		}
		sim.carryOut(0, c.Step(sim.now, &balancer.ServerListUpdate{Kind: balancer.UpdateIncremental, Servers: update}))
	}
	sim.run(time.Second)
	require.InDelta(t, 1, c.serverCapacityFraction(), 0.01)
	setState(balancer.Draining, 0)
	require.InDelta(t, 0.5, c.serverCapacityFraction(), 0.01)
	rules := c.settings.Rules
	setState(balancer.Ready, sim.now)
	require.InDelta(t, 0.5+0.5*rules.SlowStartCapacity, c.serverCapacityFraction(), 0.01)
	sim.run(rules.SlowStartDuration + time.Second)
	require.InDelta(t, 1, c.serverCapacityFraction(), 0.01)
}
