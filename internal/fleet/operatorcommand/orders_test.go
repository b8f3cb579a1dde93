package operatorcommand

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever comes, two books that have applied the same are the same, also where one went on from the other's
// snapshot in between; the last word on a server holds, and memory is bounded.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := &List{}, &List{}
		last := map[string]bool{}
		for i := range rapid.IntRange(0, 60).Draw(t, "orders") {
			o := Command{
				Server: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"),
				Down:   rapid.Bool().Draw(t, "down"), IssuedAt: time.Duration(rapid.IntRange(1, 50).Draw(t, "at")),
			}
			raw, err := o.Encode()
			require.NoError(t, err)
			if rapid.IntRange(0, 9).Draw(t, "spoilt") == 0 {
				raw = rapid.SliceOf(rapid.Byte()).Draw(t, "noise")
				one.Apply(uint64(i), raw)
				other.Apply(uint64(i), raw)
				continue
			}
			last[o.Server] = o.Down
			one.Apply(uint64(i), raw)
			if i%7 == 3 {
				fresh := &List{}
				require.NoError(t, fresh.Restore(other.Snapshot()))
				other = fresh
			}
			other.Apply(uint64(i), raw)
		}
		require.Equal(t, one.Snapshot(), other.Snapshot())
		for _, o := range one.All() {
			if down, is := last[o.Server]; is {
				require.Equal(t, down, o.Down, o.Server)
			}
		}
	})
}

// A book is bounded: what was put back is forgotten for what is taken out, and nothing that is out for anything.
func TestFull(t *testing.T) {
	b := &List{}
	say := func(server string, down bool, at int) {
		raw, err := Command{Server: server, Down: down, IssuedAt: time.Duration(at)}.Encode()
		require.NoError(t, err)
		b.Apply(0, raw)
	}
	id := func(i int) string { return fmt.Sprintf("s-%0*d", 256-OverheadBytes-2, i) }
	for i := range MaxBytes / 256 {
		say(id(i), true, 1)
	}
	say("further", true, 2)
	require.Len(t, b.All(), MaxBytes/256)
	require.NotContains(t, fmt.Sprint(b.All()), "further")
	say(id(7), false, 1) // not later by its clock, and the last word all the same
	require.Equal(t, time.Duration(2), b.byServer[id(7)].IssuedAt)
	say("further", true, 3)
	require.Len(t, b.All(), MaxBytes/256)
	require.True(t, b.byServer["further"].Down)
	require.NotContains(t, b.byServer, id(7))
	require.Less(t, len(b.Snapshot()), 48<<10)
	require.Error(t, b.Restore([]byte("no")))
	_, err := Command{Server: strings.Repeat("x", MaxServerIDBytes+1), IssuedAt: 1}.Encode()
	require.ErrorIs(t, err, ErrInvalidCommand)
}
