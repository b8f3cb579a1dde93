package operatorcommand

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// TestListsWithEqualRecordsAreEqual checks that two lists which applied the same records are equal, also if one of them
// was restored from a snapshot in between, and that the last command about a server takes effect.
func TestListsWithEqualRecordsAreEqual(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		one, other := &List{}, &List{}
		last := map[string]bool{}
		for i := range rapid.IntRange(0, 60).Draw(t, "commands") {
			c := Command{
				Server: rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "server"),
				Down:   rapid.Bool().Draw(t, "down"), IssuedAt: time.Duration(rapid.IntRange(1, 50).Draw(t, "at")),
			}
			raw, err := c.Encode()
			require.NoError(t, err)
			if rapid.IntRange(0, 9).Draw(t, "corrupt") == 0 {
				raw = rapid.SliceOf(rapid.Byte()).Draw(t, "noise")
				one.Apply(uint64(i), raw)
				other.Apply(uint64(i), raw)
				continue
			}
			last[c.Server] = c.Down
			one.Apply(uint64(i), raw)
			if i%7 == 3 {
				restored := &List{}
				require.NoError(t, restored.Restore(other.Snapshot()))
				other = restored
			}
			other.Apply(uint64(i), raw)
		}
		require.Equal(t, one.Snapshot(), other.Snapshot())
		for _, c := range one.All() {
			if isDown, isKnown := last[c.Server]; isKnown {
				require.Equal(t, isDown, c.Down, c.Server)
			}
		}
	})
}

// TestOnlyUpCommandsAreEvicted checks that the list is bounded, and that commands that put servers back are evicted,
// but none that takes a server out.
func TestOnlyUpCommandsAreEvicted(t *testing.T) {
	l := &List{}
	apply := func(server string, isDown bool, at int) {
		raw, err := Command{Server: server, Down: isDown, IssuedAt: time.Duration(at)}.Encode()
		require.NoError(t, err)
		l.Apply(0, raw)
	}
	id := func(i int) string { return fmt.Sprintf("s-%0*d", 256-OverheadBytes-2, i) }
	for i := range MaxBytes / 256 {
		apply(id(i), true, 1)
	}
	apply("further", true, 2)
	require.Len(t, l.All(), MaxBytes/256)
	require.NotContains(t, fmt.Sprint(l.All()), "further")
	apply(id(7), false, 1) // later in the log, but its time is not later
	require.Equal(t, time.Duration(2), l.byServer[id(7)].IssuedAt)
	apply("further", true, 3)
	require.Len(t, l.All(), MaxBytes/256)
	require.True(t, l.byServer["further"].Down)
	require.NotContains(t, l.byServer, id(7))
	require.Less(t, len(l.Snapshot()), 48<<10)
	require.Error(t, l.Restore([]byte("no")))
	_, err := Command{Server: strings.Repeat("x", MaxServerIDBytes+1), IssuedAt: 1}.Encode()
	require.ErrorIs(t, err, ErrInvalidCommand)
}
