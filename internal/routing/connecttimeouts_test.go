package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConnectTimeoutIsFractionOfTimeLeft(t *testing.T) {
	const ms = time.Millisecond
	var c ConnectTimeouts
	require.Equal(t, 55*ms, c.Timeout(250*ms, 220*ms))
	require.Equal(t, 50*ms, c.Timeout(50*ms, 220*ms), "at most the configured timeout")
	require.Equal(t, 20*ms, c.Timeout(250*ms, 10*ms))
	c.Connected(30 * ms)
	require.Equal(t, 90*ms, c.Timeout(250*ms, 220*ms), "a multiple of the longest connect time")
	c.Connected(5 * ms)
	require.Equal(t, 81*ms, c.Timeout(250*ms, 220*ms))
}

// Connect times are longer than the learned timeout: after maxEarlyTimeouts, the configured timeout applies and the
// connections are established.
func TestConnectTimeoutsDetectSlowNetwork(t *testing.T) {
	const connectTime = 150 * time.Millisecond
	var c ConnectTimeouts
	established := 0
	for range 100 {
		if c.Timeout(250*time.Millisecond, 220*time.Millisecond) > connectTime {
			c.Connected(connectTime)
			established++
		} else {
			c.TimedOut()
		}
	}
	require.Equal(t, 100-maxEarlyTimeouts, established)
}
