package eventqueue

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// What is taken out is what a sorted list would give, whatever is put in between.
func TestInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var a Agenda[int]
		var want []Item[int]
		for i := range 200 {
			if rapid.IntRange(0, 2).Draw(t, "add") > 0 {
				item := Item[int]{At: time.Duration(rapid.IntRange(0, 20).Draw(t, "at")), Order: uint64(i), Do: i}
				a.Add(item)
				want = append(want, item)
				slices.SortFunc(want, func(x, y Item[int]) int { return cmp.Or(cmp.Compare(x.At, y.At), cmp.Compare(x.Order, y.Order)) })
				continue
			}
			by := time.Duration(rapid.IntRange(0, 20).Draw(t, "by"))
			got, ok := a.Next(by)
			require.Equal(t, len(want) > 0 && want[0].At <= by, ok)
			if ok {
				require.Equal(t, want[0], got)
				want = want[1:]
			}
		}
	})
}
