package simnet

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestNetworkAppliesFaultsAndFollowsSeed: messages in a cut direction are lost, a paused node receives its messages
// later, timers follow the node's own clock, and the same seed gives the same run.
func TestNetworkAppliesFaultsAndFollowsSeed(t *testing.T) {
	simulate := func(seed uint64) (log []string, n *Network) {
		n = NewNetwork(seed, 3, time.Hour, Faults{Loss: 0.2, Duplicate: 0.2, MaxDelay: time.Second, Late: 0.1, Lateness: time.Second})
		note := func(what string) { log = append(log, fmt.Sprint(n.Now()-time.Hour, what)) }
		n.OnMessage = func(to, from int, data []byte) {
			require.False(t, n.IsPaused(to))
			note(fmt.Sprintf("%d %d %v", from, to, data))
		}
		n.OnTimer = func(node int) { note(fmt.Sprint("tick", node, n.SteadyTime(node))) }
		n.SetCut(0, 1, true)
		n.Pause(2, n.Now()+5*time.Second)
		n.SetClock(0, time.Minute, 2)
		n.SetTimer(0, time.Second)
		n.SetTimer(0, 3*time.Second) // replaces the former one
		for i := range byte(50) {
			n.Send(0, 1, []byte{i})
			n.Send(1, 0, []byte{i})
			n.Send(1, 2, []byte{i})
		}
		n.Run(n.Now() + 10*time.Second)
		return log, n
	}
	log, n := simulate(1)
	again, _ := simulate(1)
	other, _ := simulate(2)
	require.Equal(t, log, again)
	require.NotEqual(t, log, other)
	require.Contains(t, log, "1.500000001stick0 3.000000002s")
	require.InDelta(t, 50*0.8*1.16*2, len(log), 20)
	require.Equal(t, time.Minute, n.UnixTime(0)-n.Now())
	require.Equal(t, 20*time.Second, n.SteadyTime(0))
}
