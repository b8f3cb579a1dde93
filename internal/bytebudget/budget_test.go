package bytebudget

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// For random sequences of calls, no more than the limit is granted (except if nothing, or for a response only
// requests, were granted before), no reservation waits without need, and every reservation is eventually granted
// exactly once.
func TestBudget(t *testing.T) {
	type grant struct {
		holder Holder
		size   int64
	}
	holders := []Holder{{"s-0", false}, {"s-1", false}, {"s-2", false}, {"c-0", true}, {"c-1", true}}
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		b := NewBudget(limit)
		now := time.Duration(0)
		held, waiting := []grant{}, map[Ticket]grant{}
		granted := func(tickets []Ticket) {
			for _, ticket := range tickets {
				g, ok := waiting[ticket]
				require.True(t, ok, "a granted ticket must have been waiting")
				delete(waiting, ticket)
				held = append(held, g)
			}
		}
		release := func(i int) {
			g := held[i]
			held = append(held[:i], held[i+1:]...)
			granted(b.Release(g.holder, g.size))
		}
		t.Repeat(map[string]func(*rapid.T){
			"reserve": func(t *rapid.T) {
				g := grant{
					rapid.SampledFrom(holders).Draw(t, "holder"),
					rapid.Int64Range(1, 1<<18).Draw(t, "size"),
				}
				before, responses := b.Reserved(), b.reserved-b.reservedByRequests
				if ticket, ok := b.Reserve(now, g.holder, g.size); ok {
					held = append(held, g)
					require.True(t, before == 0 || responses == 0 && !g.holder.IsRequest || b.Reserved() <= limit)
				} else {
					waiting[ticket] = g
				}
			},
			"try reserve": func(t *rapid.T) {
				g := grant{rapid.SampledFrom(holders[:2]).Draw(t, "holder"), rapid.Int64Range(1, 1<<18).Draw(t, "size")}
				if b.TryReserve(g.holder, g.size) {
					held = append(held, g)
					require.Empty(t, waiting, "TryReserve must not overtake waiting reservations")
					require.LessOrEqual(t, b.Reserved(), limit)
				}
			},
			"release": func(t *rapid.T) {
				if len(held) > 0 {
					release(rapid.IntRange(0, len(held)-1).Draw(t, "i"))
				}
			},
			"cancel": func(t *rapid.T) {
				for ticket := range waiting {
					more, waited := b.Cancel(ticket)
					require.True(t, waited)
					delete(waiting, ticket)
					granted(more)
					break
				}
			},
			"limit": func(t *rapid.T) {
				limit = rapid.Int64Range(1, 1<<20).Draw(t, "limit")
				granted(b.SetLimit(limit))
			},
			"": func(t *rapid.T) {
				now += time.Duration(rapid.Int64Range(0, int64(time.Second)).Draw(t, "later"))
				var sum int64
				responses := 0
				for _, g := range held {
					sum += g.size
					if !g.holder.IsRequest {
						responses++
					}
				}
				require.Equal(t, sum, b.Reserved())
				require.Equal(t, len(waiting), b.Waiting())
				for _, g := range waiting {
					require.NotZero(t, sum, "nothing may wait if nothing is held")
					require.True(t, g.holder.IsRequest || responses > 0, "a response must wait for other responses only")
				}
			},
		})
		for len(held) > 0 { // releasing everything held must grant all waiting reservations
			release(0)
		}
		require.Empty(t, waiting)
		require.Zero(t, b.Reserved())
	})
}

// Small reservations are granted first, a large one is overtaken only during the delay of its size, and a reservation
// beyond its holder's limit does not block the others.
func TestBudgetOrder(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(limit)
	reserveWaiting := func(now time.Duration, holder string, size int64) Ticket {
		t.Helper()
		ticket, granted := b.Reserve(now, Holder{Name: holder}, size)
		require.False(t, granted)
		return ticket
	}
	reserveNow := func(holder string, size int64) {
		t.Helper()
		_, granted := b.Reserve(0, Holder{Name: holder}, size)
		require.True(t, granted)
	}
	reserveNow("s-0", limit/2)
	reserveNow("s-1", limit/2-limit/8)
	reserveNow("s-2", 1000) // the last eighth is kept for small reservations
	large := reserveWaiting(0, "s-2", 100_000)
	medium := reserveWaiting(0, "s-2", 50_000)
	capped := reserveWaiting(0, "s-0", 10_000)
	late := reserveWaiting(101*time.Millisecond, "s-3", 9_000)
	require.Equal(t, []Ticket{medium, large, late}, b.Release(Holder{Name: "s-1"}, 200_000))
	require.Equal(t, []Ticket{capped}, b.Release(Holder{Name: "s-0"}, 10_000))
	require.False(t, b.TryReserve(Holder{Name: "s-4"}, 10_000), "TryReserve must not use the second half of the limit")
	require.Empty(t, b.Release(Holder{Name: "s-1"}, 150_000))
	require.False(t, b.TryReserve(Holder{Name: "s-4"}, 10_000))
	require.Empty(t, b.Release(Holder{Name: "s-0"}, 260_000))
	require.True(t, b.TryReserve(Holder{Name: "s-4"}, 10_000))
}

// No client, server or kind of body can reserve everything, and small requests have capacity beside large ones.
func TestBudgetBounds(t *testing.T) {
	const limit = 1 << 20
	fill := func(b *Budget, h Holder, size int64) (n int64) {
		for {
			ticket, granted := b.Reserve(0, h, size)
			if !granted {
				b.Cancel(ticket)
				return n
			}
			n += size
		}
	}
	b := NewBudget(limit)
	require.EqualValues(t, limit/4, fill(b, Holder{"c-0", true}, 64<<10))
	require.EqualValues(t, limit/8, fill(b, Holder{"c-0", true}, 1<<10))
	require.EqualValues(t, limit/8, fill(b, Holder{"c-1", true}, 64<<10))
	require.EqualValues(t, limit/4, fill(b, Holder{"c-1", true}, 1<<10), "all requests together must get three quarters of the limit")
	require.EqualValues(t, limit/8, fill(b, Holder{"s-0", false}, 64<<10))
	b = NewBudget(limit)
	require.EqualValues(t, limit/2, fill(b, Holder{"s-0", false}, 64<<10))
	require.EqualValues(t, limit/2-limit/8, fill(b, Holder{"s-1", false}, 64<<10))
}

// Reserve waits until bytes are released, or until its context ends.
func TestPoolWaits(t *testing.T) {
	p := NewPool(1000)
	first, err := p.Reserve(t.Context(), Holder{Name: "a"}, 800)
	require.NoError(t, err)
	short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = p.Reserve(short, Holder{Name: "b"}, 800)
	require.ErrorIs(t, err, ErrFull)
	got := make(chan Grant)
	go func() {
		g, _ := p.Reserve(t.Context(), Holder{Name: "b"}, 800)
		got <- g
	}()
	require.Eventually(t, func() bool { p.mu.Lock(); defer p.mu.Unlock(); return p.budget.Waiting() == 1 },
		10*time.Second, time.Millisecond)
	first.Shrink(100)
	second := <-got
	require.EqualValues(t, 900, p.Reserved())
	second.Release()
	first.Release()
	require.Zero(t, p.Reserved())
}

// A reservation of zero bytes does not wait, even if the budget is full.
func TestZeroBytesNeverWait(t *testing.T) {
	b := NewBudget(1000)
	_, granted := b.Reserve(0, Holder{Name: "s-0"}, 1000)
	require.True(t, granted)
	_, granted = b.Reserve(0, Holder{Name: "s-1"}, 500)
	require.False(t, granted)
	for _, holder := range []Holder{{Name: "s-0"}, {Name: "c-0", IsRequest: true}} {
		_, granted = b.Reserve(0, holder, 0)
		require.True(t, granted)
	}
	require.Equal(t, int64(1000), b.Reserved())
}
