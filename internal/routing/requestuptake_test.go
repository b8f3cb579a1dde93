package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server's time begins when its machine has the last byte. While it takes a part of the request now and then, its
// attempt goes on; from a server that takes nothing, no more is waited for than its timeout.
func TestRequestUptake(t *testing.T) {
	const given, timeout = 500 * time.Millisecond, 500 * time.Millisecond
	at := func(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
	u := RequestUptake{}
	require.Equal(t, given, u.AttemptEnd(given, timeout), "nothing is known")
	u.Observe(at(1), UptakeSample{Acknowledged: 100, IsWritten: true})
	require.Equal(t, given, u.AttemptEnd(given, timeout), "the server had it at once")
	require.Equal(t, at(1), u.ServerStart(at(1)))

	u = RequestUptake{}
	for i := range 10 {
		u.Observe(at(1+100*i), UptakeSample{Acknowledged: uint64(i), HasPending: true, IsWritten: true})
		require.Equal(t, max(given, at(501+100*i)), u.AttemptEnd(given, timeout), "it is being taken")
		require.Equal(t, i >= minReaderSteps, u.IsBeingTaken(at(1+100*i)))
	}
	u.Observe(at(1001), UptakeSample{Acknowledged: 10, IsWritten: true})
	require.Equal(t, at(1401), u.AttemptEnd(given, timeout), "it was whole after 901 ms at the earliest")
	require.Equal(t, at(901), u.ServerStart(at(2)))
	require.False(t, u.IsBeingTaken(at(1001)))

	u = RequestUptake{}
	u.Observe(at(1), UptakeSample{Acknowledged: 5, HasPending: true, IsWritten: true})
	for i := 1; i < 14; i++ {
		u.Observe(at(1+100*i), UptakeSample{Acknowledged: 5, HasPending: true, IsWritten: true})
	}
	require.Equal(t, at(501), u.AttemptEnd(given, timeout), "it takes nothing")
	require.Equal(t, 1300*time.Millisecond, u.StalledFor(at(1301)))
	require.False(t, u.IsBeingTaken(at(1301)))

	u = RequestUptake{}
	for i := range 5 {
		u.Observe(at(100*i), UptakeSample{Acknowledged: uint64(min(i, 3)/3 + 1), HasPending: true})
	}
	require.False(t, u.IsBeingTaken(at(400)), "its system takes what fits into its buffer, in two steps")

	u = RequestUptake{}
	u.Observe(at(1), UptakeSample{Acknowledged: 5})
	u.Observe(at(5001), UptakeSample{Acknowledged: 5})
	require.Zero(t, u.StalledFor(at(5001)), "the client sends nothing")
}
