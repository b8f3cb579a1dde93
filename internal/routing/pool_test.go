package routing

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var here, there = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")

// Connections are reused, the last one first, where they are sure to be open: not once they have been idle too long, ended,
// lead to a former address, or their endpoint has left.
func TestPool(t *testing.T) {
	p := NewPool[string](here, NewIdleLimit(0, 10*time.Second), 0) // 6 s are allowed
	acquire := func(now time.Duration, reuses string, closes ...string) {
		checkout, closing := p.Acquire(now)
		require.Equal(t, reuses, checkout.Conn)
		require.Equal(t, reuses != "", checkout.Reused)
		require.ElementsMatch(t, closes, closing)
	}
	for range 3 {
		acquire(0, "")
	}
	for i, c := range []string{"a", "b", "c"} {
		require.Empty(t, p.Release(time.Duration(i), c, here, false))
	}
	acquire(time.Second, "c")
	require.Empty(t, p.Release(time.Second, "c", here, false))
	due, _ := p.NextExpiry()
	require.Equal(t, 6*time.Second, due)
	require.Equal(t, []string{"a"}, p.Expire(due))
	require.Equal(t, []string{"b"}, p.ConnectionEnded("b"))
	require.Empty(t, p.ConnectionEnded("b"))
	acquire(7*time.Second+1, "", "c")
	_, ok := p.NextExpiry()
	require.False(t, ok)
	require.Equal(t, []string{"d"}, p.Release(0, "d", here, true), "ended before it was released")
	for range 4 {
		acquire(0, "")
	}
	for _, c := range []string{"e", "f", "g"} {
		p.Release(0, c, here, false)
	}
	require.Equal(t, []string{"e", "f"}, p.CloseIdleHalf())
	require.Empty(t, p.SetAddress(here))
	require.Equal(t, []string{"g"}, p.SetAddress(there))
	require.Equal(t, []string{"h"}, p.Release(0, "h", here, false))
	acquire(0, "")
	acquire(0, "")
	require.Empty(t, p.Release(0, "i", there, false))
	require.Equal(t, []string{"i"}, p.Retire())
	require.False(t, p.IsDone())
	require.Equal(t, []string{"j"}, p.Release(0, "j", there, false))
	require.True(t, p.IsDone())
}

// A connection is not written on before it has rested after its answer: of those that have, the one used last is taken; else
// the one that has rested first, and its attempt waits for that. One that would have been idle too long by then is not
// taken.
func TestReuseDelay(t *testing.T) {
	const ms = time.Millisecond
	p := NewPool[string](here, NewIdleLimit(0, 10*time.Second), 25*ms) // reused for 6 s
	for range 4 {
		p.Acquire(0)
	}
	for at, c := range []string{"a", "b", "c", "d"} {
		p.Release(time.Duration(at)*10*ms, c, here, false)
	}
	take := func(now time.Duration, conn string, delay, idle time.Duration) Checkout[string] {
		checkout, closing := p.Acquire(now)
		require.Empty(t, closing)
		require.Equal(t, []any{conn, conn != "", delay, idle},
			[]any{checkout.Conn, checkout.Reused, checkout.WriteDelay, checkout.IdleFor})
		return checkout
	}
	b := take(35*ms, "b", 0, 25*ms)
	take(36*ms, "a", 0, 36*ms)
	take(36*ms, "c", 9*ms, 25*ms)
	d := take(36*ms, "d", 19*ms, 25*ms)
	take(36*ms, "", 0, 0)

	// What was not written on is returned as it was, however long that took.
	require.Empty(t, p.ReturnUnused(d, false))
	require.Empty(t, p.ReturnUnused(b, false))
	d = take(60*ms, "d", 0, 30*ms)
	require.Equal(t, []string{"d"}, p.ReturnUnused(d, true), "it has ended meanwhile")
	b = take(61*ms, "b", 0, 51*ms)
	require.Empty(t, p.ReturnUnused(b, false))
	due, _ := p.NextExpiry()
	require.Equal(t, 10*ms+6*time.Second, due)
	b = take(62*ms, "b", 0, 52*ms)
	p.StopReuse()
	require.Equal(t, []string{"b"}, p.ReturnUnused(b, false))
	p.SetAddress(here)

	// A machine on the way that forgets connections sooner than they have rested leaves none to be reused.
	p = NewPool[string](here, fixedLimit(24*ms), 25*ms)
	p.Acquire(0)
	p.Release(0, "a", here, false)
	checkout, closing := p.Acquire(ms)
	require.False(t, checkout.Reused)
	require.Equal(t, []string{"a"}, closing)
}

// fixedLimit is a known limit.
type fixedLimit time.Duration

func (l fixedLimit) Limit() time.Duration { return time.Duration(l) }
