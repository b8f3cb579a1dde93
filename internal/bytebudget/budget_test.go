package bytebudget

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestBudget: whatever is reserved and released in whatever order, no more than the limit is granted (but to one who is
// alone), no holder has everything, what waits is not allowed yet, and every reservation is granted in the end, once.
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
				require.True(t, ok, "granted, but was not waiting")
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
			"try": func(t *rapid.T) {
				g := grant{rapid.SampledFrom(holders[:2]).Draw(t, "holder"), rapid.Int64Range(1, 1<<18).Draw(t, "size")}
				if b.TryReserve(g.holder, g.size) {
					held = append(held, g)
					require.Empty(t, waiting, "what waits goes first")
					require.LessOrEqual(t, b.Reserved(), limit)
				}
			},
			"return": func(t *rapid.T) {
				if len(held) > 0 {
					release(rapid.IntRange(0, len(held)-1).Draw(t, "i"))
				}
			},
			"withdraw": func(t *rapid.T) {
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
					require.NotZero(t, sum, "something is allowed where nothing is held")
					require.True(t, g.holder.IsRequest || responses > 0, "a response waits for responses only")
				}
			},
		})
		for len(held) > 0 { // with what is held released, all that waits comes to its turn
			release(0)
		}
		require.Empty(t, waiting)
		require.Zero(t, b.Reserved())
	})
}

// TestBudgetOrder: the small go first, a large one is overtaken only for its size's worth of time, and one holder does not
// hold up the others.
func TestBudgetOrder(t *testing.T) {
	const limit = 1 << 20
	b := NewBudget(limit)
	ask := func(now time.Duration, holder string, size int64) Ticket {
		t.Helper()
		ticket, granted := b.Reserve(now, Holder{Name: holder}, size)
		require.False(t, granted)
		return ticket
	}
	must := func(holder string, size int64) {
		t.Helper()
		_, granted := b.Reserve(0, Holder{Name: holder}, size)
		require.True(t, granted)
	}
	must("s-0", limit/2)
	must("s-1", limit/2-limit/8)
	must("s-2", 1000) // the last eighth is for the small
	large := ask(0, "s-2", 100_000)
	medium := ask(0, "s-2", 50_000)
	capped := ask(0, "s-0", 10_000)
	late := ask(101*time.Millisecond, "s-3", 9_000)
	require.Equal(t, []Ticket{medium, large, late}, b.Release(Holder{Name: "s-1"}, 200_000))
	require.Equal(t, []Ticket{capped}, b.Release(Holder{Name: "s-0"}, 10_000))
	require.False(t, b.TryReserve(Holder{Name: "s-4"}, 10_000), "the second half cannot be tried for")
	require.Empty(t, b.Release(Holder{Name: "s-1"}, 150_000))
	require.False(t, b.TryReserve(Holder{Name: "s-4"}, 10_000))
	require.Empty(t, b.Release(Holder{Name: "s-0"}, 260_000))
	require.True(t, b.TryReserve(Holder{Name: "s-4"}, 10_000))
}

// TestBudgetBounds: no client, server or kind of body can have everything, and small requests have capacity beside large
// ones.
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
	require.EqualValues(t, limit/4, fill(b, Holder{"c-1", true}, 1<<10), "three quarters for all requests")
	require.EqualValues(t, limit/8, fill(b, Holder{"s-0", false}, 64<<10))
	b = NewBudget(limit)
	require.EqualValues(t, limit/2, fill(b, Holder{"s-0", false}, 64<<10))
	require.EqualValues(t, limit/2-limit/8, fill(b, Holder{"s-1", false}, 64<<10))
}

// TestPoolWaits: a goroutine waits for its grant until bytes are given back, or its context ends.
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

// TestZeroBytesNeverWait: a body of no bytes does not wait for memory, however full the budget is.
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
