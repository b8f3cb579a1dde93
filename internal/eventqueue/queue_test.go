package eventqueue

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestNextReturnsItemsInOrder: Next returns what a sorted list would, whatever is added in between.
func TestNextReturnsItemsInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var q Queue[int]
		var want []Item[int]
		for i := range 200 {
			if rapid.IntRange(0, 2).Draw(t, "add") > 0 {
				dueAt := time.Duration(rapid.IntRange(0, 20).Draw(t, "at"))
				item := Item[int]{DueAt: dueAt, Order: uint64(i), Event: i}
				q.Add(item)
				want = append(want, item)
				slices.SortFunc(want, func(x, y Item[int]) int {
					return cmp.Or(cmp.Compare(x.DueAt, y.DueAt), cmp.Compare(x.Order, y.Order))
				})
				continue
			}
			until := time.Duration(rapid.IntRange(0, 20).Draw(t, "until"))
			got, ok := q.Next(until)
			require.Equal(t, len(want) > 0 && want[0].DueAt <= until, ok)
			if ok {
				require.Equal(t, want[0], got)
				want = want[1:]
			}
		}
	})
}
