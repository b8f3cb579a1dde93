package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A connection is not written on before it has settled after its answer: of those that have, the one used last is
// taken; else the one that settles first, and its step waits for that. One that would have stood too long by then is
// not taken.
func TestConnectionsSettle(t *testing.T) {
	const ms = time.Millisecond
	p := NewPool[string](here, NewIdleLimit(0, 10*time.Second), 25*ms) // 6 s are allowed
	for range 4 {
		p.Acquire(0)
	}
	for at, c := range []string{"a", "b", "c", "d"} {
		p.Release(time.Duration(at)*10*ms, c, here, false)
	}
	take := func(now time.Duration, conn string, settles, stood time.Duration) Checkout[string] {
		lease, closing := p.Acquire(now)
		require.Empty(t, closing)
		require.Equal(t, []any{conn, conn != "", settles, stood},
			[]any{lease.Conn, lease.Reused, lease.WriteDelay, lease.IdleFor})
		return lease
	}
	b := take(35*ms, "b", 0, 25*ms)
	take(36*ms, "a", 0, 36*ms)
	take(36*ms, "c", 9*ms, 25*ms)
	d := take(36*ms, "d", 19*ms, 25*ms)
	take(36*ms, "", 0, 0)

	// What was not written on goes back as it was, however long that took.
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

	// A machine on the way that forgets connections sooner than they settle leaves none to be used again.
	p = NewPool[string](here, limitOf(24*ms), 25*ms)
	p.Acquire(0)
	p.Release(0, "a", here, false)
	lease, closing := p.Acquire(ms)
	require.False(t, lease.Reused)
	require.Equal(t, []string{"a"}, closing)
}

// limitOf is a limit that is known.
type limitOf time.Duration

func (l limitOf) Limit() time.Duration { return time.Duration(l) }
