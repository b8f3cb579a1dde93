package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Of many balancers of few requests before servers of which half have just started, cold ones get nearly twice as
// much while the warm ones are full, and never so much that one falls.
func TestColdServersRelieveFullOnes(t *testing.T) {
	const balancers, servers, capacity = 100, 40, 60.0 // requests a second of a warm server
	window := settings().Rules.OverloadWindow
	play := func(full bool) (all int, fullest float64) {
		set := settings()
		set.Balancers = balancers
		members := list(servers)
		for i := range members[servers/2:] {
			members[servers/2+i].StartedAt = 10 * time.Second
		}
		reached := map[string][]time.Duration{}
		for n := range balancers {
			set.Self = n
			b, err := New(set, uint64(n))
			require.NoError(t, err)
			b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: list(servers)})
			for i := range 300 { // 20 a second
				now := time.Duration(i) * 50 * ms
				if now == 10*time.Second {
					b.Step(now, &ServerListUpdate{Kind: UpdateFull, Servers: members})
				}
				if b.SetWarmServersSaturated(full && now >= 10*time.Second); i%10 == 0 {
					b.Step(now, &TimerDue{Tag: timerRound})
				}
				key := string(rune('a'+(i*7+n)%26)) + string(rune('a'+(i*3+n)%23))
				a := find(b.Step(now, &Request{ID: uint32(i), Key: key, Class: "safe", ClientTimeout: time.Second}), Send)
				if a == nil {
					continue
				}
				reached[a.Server] = append(reached[a.Server], now)
				b.Step(now+40*ms, &AttemptDone{ID: uint32(i), Server: a.Server, Outcome: Served, Latency: 40 * ms, RequestDone: true})
			}
		}
		for _, m := range members[servers/2:] {
			for _, to := range reached[m.ID] {
				in := 0
				for _, at := range reached[m.ID] {
					if at >= 10*time.Second && at <= to && at > to-window {
						in++
					}
				}
				if to >= 10*time.Second {
					all++
					stands := set.Rules.OverloadMultiple * capacity * window.Seconds() * set.Rules.SlowStartCapacity
					fullest = max(fullest, float64(in)/stands)
				}
			}
		}
		return all, fullest
	}
	before, _ := play(false)
	relieved, fullest := play(true)
	t.Log(before, relieved, fullest)
	require.Greater(t, float64(relieved), 1.85*float64(before))
	require.Less(t, fullest, 0.9)
}
