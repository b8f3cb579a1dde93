package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/outlier"
)

// One balancer of many detects an unreachable zone by a few lost requests, not by one at each of its servers. It tries the
// zone twice a second, and uses it again once one of its servers responds.
func TestSparseBalancerDetectsUnreachableZone(t *testing.T) {
	set, members, zoneOf := testSettings(), serverList(60), map[string]string{}
	set.Balancers = 100
	for _, s := range members {
		zoneOf[s.ID] = s.Zone
	}
	const unreachable = "z1"
	run := func(failure Outcome) (lost, recovered int) {
		b, err := New(set, 1)
		require.NoError(t, err)
		b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: members})
		for i := range 400 { // 10 a second
			now := time.Duration(i+1) * 100 * ms
			if i%10 == 0 {
				b.Step(now, &TimerDue{Tag: timerRound})
			}
			id := uint32(i + 1)
			isCutOff := now > 10*time.Second && now <= 30*time.Second
			acts := b.Step(now, &Request{
				ID: id, Key: string(rune('a'+i%26)) + string(rune('a'+i*7%23)),
				Class: set.Classes[0].Name, ClientTimeout: time.Second,
			})
			number := 0
			var ends []AttemptDone
			for _, a := range acts {
				if a.Kind != Send {
					continue
				}
				e := AttemptDone{ID: id, Attempt: number, Server: a.Server, Outcome: Served, Latency: 50 * ms}
				if number++; zoneOf[a.Server] == unreachable && isCutOff {
					e.Outcome = failure
					lost++
				} else if zoneOf[a.Server] == unreachable && now > 32*time.Second {
					recovered++
				}
				ends = append(ends, e)
			}
			for k := range ends {
				ends[k].RequestDone = k == len(ends)-1
				b.Step(now+50*ms, &ends[k])
			}
		}
		return lost, recovered
	}
	lost, recovered := run(ConnectFailed)
	t.Log(lost, recovered)
	require.LessOrEqual(t, lost, 3+20*2, "three requests to detect it, then two probe requests a second")
	require.Greater(t, recovered, 20, "of 80 requests")
	lost, recovered = run(TimedOut)
	require.LessOrEqual(t, lost, 3+20*2)
	require.Greater(t, recovered, 20)
}

func TestRefusedConnectionsDoNotMakeAZoneUnreachable(t *testing.T) {
	set, members := testSettings(), serverList(8)
	set.Balancers = 100
	b := newStarted(t, set, members)
	end := func(zone string, e AttemptDone) {
		for _, s := range b.ring.Members() {
			if s.Zone == zone {
				b.observeZone(s, &attempt{}, &e)
			}
		}
	}
	end("z0", AttemptDone{Outcome: Served})
	end("z1", AttemptDone{Outcome: ConnectFailed, Evidence: outlier.Evidence{ConnectionRefused: true}})
	end("z1", AttemptDone{Outcome: ConnectFailed, Evidence: outlier.Evidence{LocalShortage: true}})
	require.False(t, b.zoneReach.IsDoubtful("z1"))
	end("z1", AttemptDone{Outcome: ConnectFailed})
	require.True(t, b.zoneReach.IsUnreachable("z1"))
}
