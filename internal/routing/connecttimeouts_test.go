package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestConnectTimeoutIsAPartOfTheAttemptsTime(t *testing.T) {
	const ms = time.Millisecond
	var c ConnectTimeouts
	require.Equal(t, 55*ms, c.Timeout(250*ms, 220*ms))
	require.Equal(t, 50*ms, c.Timeout(50*ms, 220*ms), "not beyond the settings' timeout")
	require.Equal(t, 20*ms, c.Timeout(250*ms, 10*ms))
	c.Connected(30 * ms)
	require.Equal(t, 90*ms, c.Timeout(250*ms, 220*ms), "connections take that long here")
	c.Connected(5 * ms)
	require.Equal(t, 81*ms, c.Timeout(250*ms, 220*ms))
}

// Where connections take longer than is waited for, not all are given up for good.
func TestConnectTimeoutsNoticeASlowNetwork(t *testing.T) {
	const takes = 150 * time.Millisecond
	var c ConnectTimeouts
	up := 0
	for range 100 {
		if c.Timeout(250*time.Millisecond, 220*time.Millisecond) > takes {
			c.Connected(takes)
			up++
		} else {
			c.GaveUp()
		}
	}
	require.Equal(t, 100-maxEarlyTimeouts, up)
}
