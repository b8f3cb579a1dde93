package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var firstAddr, secondAddr = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")

// Connections are reused, the one used last first, unless they have been idle too long, have ended, lead to a former address,
// or their endpoint has left the list.
func TestPoolReusesOnlyOpenConnections(t *testing.T) {
	p := NewPool[string](firstAddr, NewIdleLimit(0, 10*time.Second), 0) // the limit is 6 s
	acquire := func(now time.Duration, wantReused string, wantClosed ...string) {
		checkout, closing := p.Acquire(now)
		require.Equal(t, wantReused, checkout.Conn)
		require.Equal(t, wantReused != "", checkout.Reused)
		require.ElementsMatch(t, wantClosed, closing)
	}
	for range 3 {
		acquire(0, "")
	}
	for i, c := range []string{"a", "b", "c"} {
		require.Empty(t, p.Release(time.Duration(i), c, firstAddr, false))
	}
	acquire(time.Second, "c")
	require.Empty(t, p.Release(time.Second, "c", firstAddr, false))
	due, _ := p.NextExpiry()
	require.Equal(t, 6*time.Second, due)
	require.Equal(t, []string{"a"}, p.Expire(due))
	require.Equal(t, []string{"b"}, p.ConnectionEnded("b"))
	require.Empty(t, p.ConnectionEnded("b"))
	acquire(7*time.Second+1, "", "c")
	_, ok := p.NextExpiry()
	require.False(t, ok)
	require.Equal(t, []string{"d"}, p.Release(0, "d", firstAddr, true), "a connection that ended before its release is closed")
	for range 4 {
		acquire(0, "")
	}
	for _, c := range []string{"e", "f", "g"} {
		p.Release(0, c, firstAddr, false)
	}
	require.Equal(t, []string{"e", "f"}, p.CloseIdleHalf())
	require.Empty(t, p.SetAddress(firstAddr))
	require.Equal(t, []string{"g"}, p.SetAddress(secondAddr))
	require.Equal(t, []string{"h"}, p.Release(0, "h", firstAddr, false))
	acquire(0, "")
	acquire(0, "")
	require.Empty(t, p.Release(0, "i", secondAddr, false))
	require.Equal(t, []string{"i"}, p.Retire())
	require.False(t, p.IsDone())
	require.Equal(t, []string{"j"}, p.Release(0, "j", secondAddr, false))
	require.True(t, p.IsDone())
}

// A connection is not written on before the reuse delay after its response has passed. Of the connections past it, the one
// used last is reused; else the one that is past it first, and its attempt waits. A connection whose idle time would
// exceed the limit by then is not reused.
func TestReuseDelay(t *testing.T) {
	const ms = time.Millisecond
	p := NewPool[string](firstAddr, NewIdleLimit(0, 10*time.Second), 25*ms) // reused for 6 s
	for range 4 {
		p.Acquire(0)
	}
	for at, c := range []string{"a", "b", "c", "d"} {
		p.Release(time.Duration(at)*10*ms, c, firstAddr, false)
	}
	acquire := func(now time.Duration, conn string, delay, idle time.Duration) Checkout[string] {
		checkout, closing := p.Acquire(now)
		require.Empty(t, closing)
		require.Equal(t, []any{conn, conn != "", delay, idle},
			[]any{checkout.Conn, checkout.Reused, checkout.WriteDelay, checkout.IdleFor})
		return checkout
	}
	b := acquire(35*ms, "b", 0, 25*ms)
	acquire(36*ms, "a", 0, 36*ms)
	acquire(36*ms, "c", 9*ms, 25*ms)
	d := acquire(36*ms, "d", 19*ms, 25*ms)
	acquire(36*ms, "", 0, 0)

	// A connection that was not written on is returned with its idle time, however long the attempt took.
	require.Empty(t, p.ReturnUnused(d, false))
	require.Empty(t, p.ReturnUnused(b, false))
	d = acquire(60*ms, "d", 0, 30*ms)
	require.Equal(t, []string{"d"}, p.ReturnUnused(d, true), "a connection that has ended is closed")
	b = acquire(61*ms, "b", 0, 51*ms)
	require.Empty(t, p.ReturnUnused(b, false))
	due, _ := p.NextExpiry()
	require.Equal(t, 10*ms+6*time.Second, due)
	b = acquire(62*ms, "b", 0, 52*ms)
	p.StopReuse()
	require.Equal(t, []string{"b"}, p.ReturnUnused(b, false))
	p.SetAddress(firstAddr)

	// With a limit below the reuse delay, no connection is reused.
	p = NewPool[string](firstAddr, fixedLimit(24*ms), 25*ms)
	p.Acquire(0)
	p.Release(0, "a", firstAddr, false)
	checkout, closing := p.Acquire(ms)
	require.False(t, checkout.Reused)
	require.Equal(t, []string{"a"}, closing)
}

// After a rejection a connection rests longer, and no attempt waits for it.
func TestReuseDelayAfterRejection(t *testing.T) {
	const ms = time.Millisecond
	p := NewPool[string](firstAddr, NewIdleLimit(0, 10*time.Second), ReuseDelay)
	p.Acquire(0)
	p.ReleaseRejected(0, "a", firstAddr, false)
	checkout, _ := p.Acquire(RejectionReuseDelay - ReuseDelay - ms)
	require.False(t, checkout.Reused)
	p.Release(RejectionReuseDelay-ReuseDelay-ms, "b", firstAddr, false)
	checkout, _ = p.Acquire(RejectionReuseDelay - 2*ms)
	require.Equal(t, "b", checkout.Conn)
	require.Equal(t, ms, checkout.WriteDelay)
	checkout, _ = p.Acquire(RejectionReuseDelay)
	require.Equal(t, "a", checkout.Conn)
	require.Zero(t, checkout.WriteDelay)
}

// fixedLimit is a Limiter with a constant limit.
type fixedLimit time.Duration

func (l fixedLimit) Limit() time.Duration { return time.Duration(l) }

// Connections to a process that was replaced are closed: idle ones at once, others after their responses.
func TestProcessReplaced(t *testing.T) {
	p := NewPool[string](firstAddr, NewIdleLimit(0, 10*time.Second), 0)
	inUse, _ := p.Acquire(0)
	_, _ = p.Acquire(0)
	require.Empty(t, p.Release(0, "idle", firstAddr, false))
	require.False(t, p.WasReplaced(inUse))
	require.Equal(t, []string{"idle"}, p.ProcessReplaced())
	require.True(t, p.WasReplaced(inUse))
	require.Equal(t, []string{"used"}, p.Release(0, "used", firstAddr, p.WasReplaced(inUse)))
	next, _ := p.Acquire(0)
	require.False(t, next.Reused)
	require.False(t, p.WasReplaced(next))
}
