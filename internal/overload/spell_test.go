package overload

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
)

const usualRate = 180 // of the 12 servers' 400 a second

func count(logs []string, part string) (n int) {
	for _, s := range logs {
		if strings.Contains(s, part) {
			n++
		}
	}
	return n
}

// TestSheddingEndsEpisode: all agents purge in the same seconds, by what they tell one another
// or by the clock, and the spell ends. Without the gate it would last.
func TestSheddingEndsEpisode(t *testing.T) {
	for name, c := range map[string]struct {
		lost   float64
		change func(*balancer.Settings)
		within time.Duration
	}{
		"agents talk":           {within: 4500 * time.Millisecond},
		"half the messages":     {lost: 0.5, within: 5 * time.Second},
		"no message gets there": {lost: 1, within: 8 * time.Second},
		"agents may not talk":   {change: func(s *balancer.Settings) { s.Limits.Gossip = false }, within: 8 * time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			l := newFleetSimulation(4, 12, c.change)
			l.lost, l.rate = c.lost, 320
			l.run(20 * time.Second)
			require.Empty(t, l.logs)
			l.slow, l.healsAfter = 2.4, 2200*time.Millisecond
			l.run(c.within)
			require.Equal(t, 1.0, l.slow, "%v", l.logs)
			l.run(3 * time.Second)
			served := l.served
			l.run(5 * time.Second)
			require.Greater(t, float64(l.served-served), 0.95*5*l.rate, "%v", l.logs)
		})
	}
}

// TestEpisodeThatSheddingDoesNotEndIsShedOnce: what a purge did not end is left alone.
func TestEpisodeThatSheddingDoesNotEndIsShedOnce(t *testing.T) {
	l := newFleetSimulation(4, 12, nil)
	l.rate = 320
	l.run(20 * time.Second)
	l.slow = 2.4
	l.run(28 * time.Second)
	require.Equal(t, 4, count(l.logs, "purge for")+count(l.logs, "joins"), "%v", l.logs)
	require.Equal(t, 4, count(l.logs, "goes on"), "%v", l.logs)
}

// TestMoreWorkIsNoEpisode: neither plain overload, nor some slow servers, nor one that is far slower.
func TestMoreWorkIsNoEpisode(t *testing.T) {
	l := newFleetSimulation(4, 12, nil)
	l.rate = usualRate
	l.run(20 * time.Second)
	l.rate = 700
	l.run(30 * time.Second)
	require.Less(t, float64(l.served), 450.0*50)
	require.Empty(t, l.logs)
}

// TestForgedMessagesRejectNothing: whatever others say, an agent whose own answers are as usual lets all in.
func TestForgedMessagesRejectNothing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newFleetSimulation(3, 6, nil)
		l.rate = 60
		l.run(5 * time.Second)
		for range 40 {
			data := rapid.OneOf(
				rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 20), func(b []byte) []byte { return append([]byte{messageOverload}, b...) }),
				rapid.Custom(func(t *rapid.T) []byte {
					return message{
						kind: byte(rapid.IntRange(0, 1).Draw(t, "says")), logFactor: rapid.Float64Range(-9, 9).Draw(t, "log"),
						weight:   rapid.Float64Range(0, 1e4).Draw(t, "weight"),
						startsAt: l.now + time.Duration(rapid.IntRange(-5, 5).Draw(t, "in"))*100*time.Millisecond,
					}.encode()
				})).Draw(t, "data")
			from := rapid.IntRange(-1, 4).Draw(t, "from")
			l.carryOut(0, l.controllers[0].Step(l.now, &balancer.PeerMessage{From: from, Data: data}))
			l.run(50 * time.Millisecond)
		}
		if l.rejected > 0 {
			t.Fatalf("refused %d: %v", l.rejected, l.logs)
		}
	})
}

// Guards against a purge where servers are missing: with half of them out or cold, work must be slower by as much
// more to be a spell.
func TestMissingServersAreNoEpisode(t *testing.T) {
	l := newFleetSimulation(1, 12, nil)
	l.rate = 60
	g := l.controllers[0]
	tell := func(state balancer.ServerState, started time.Duration) {
		var news []balancer.Server
		for _, s := range g.serversByID[:6] {
			e := s.entry
			e.State, e.StartedAt = state, started
			news = append(news, e)
		}
		l.carryOut(0, g.Step(l.now, &balancer.ServerListUpdate{Kind: balancer.UpdateIncremental, Servers: news}))
	}
	l.run(time.Second)
	require.InDelta(t, 1, g.serverCapacityFraction(), 0.01)
	tell(balancer.Draining, 0)
	require.InDelta(t, 0.5, g.serverCapacityFraction(), 0.01)
	cold := g.settings.Rules
	tell(balancer.Ready, l.now)
	require.InDelta(t, 0.5+0.5*cold.SlowStartCapacity, g.serverCapacityFraction(), 0.01)
	l.run(cold.SlowStartDuration + time.Second)
	require.InDelta(t, 1, g.serverCapacityFraction(), 0.01)
}
