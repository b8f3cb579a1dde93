package lossy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestWorld: what is sent on a closed way is gone, a node that stands still gets its messages after, timers go
// by the node's own clock, and the same seed gives the same course.
func TestWorld(t *testing.T) {
	play := func(seed uint64) (log []string, w *Network) {
		w = NewNetwork(seed, 3, time.Hour, Faults{Loss: 0.2, Duplicate: 0.2, MaxDelay: time.Second, Late: 0.1, Lateness: time.Second})
		note := func(what string) { log = append(log, fmt.Sprint(w.Now()-time.Hour, what)) }
		w.OnMessage = func(to, from int, data []byte) {
			require.False(t, w.IsPaused(to))
			note(fmt.Sprint(from, to, data))
		}
		w.OnTimer = func(node int) { note(fmt.Sprint("tick", node, w.SteadyTime(node))) }
		w.SetCut(0, 1, true)
		w.Pause(2, w.Now()+5*time.Second)
		w.SetClock(0, time.Minute, 2)
		w.SetTimer(0, time.Second)
		w.SetTimer(0, 3*time.Second) // in place of the former
		for i := range byte(50) {
			w.Send(0, 1, []byte{i})
			w.Send(1, 0, []byte{i})
			w.Send(1, 2, []byte{i})
		}
		w.Run(w.Now() + 10*time.Second)
		return log, w
	}
	log, w := play(1)
	again, _ := play(1)
	other, _ := play(2)
	require.Equal(t, log, again)
	require.NotEqual(t, log, other)
	require.Contains(t, log, "1.500000001stick0 3.000000002s")
	require.InDelta(t, 50*0.8*1.16*2, len(log), 20)
	require.Equal(t, time.Minute, w.UnixTime(0)-w.Now())
	require.Equal(t, 20*time.Second, w.SteadyTime(0))
}
