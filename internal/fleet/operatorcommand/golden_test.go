package operatorcommand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/golden"
)

// TestGolden: records and the state keep their bytes, and are read from them as they were.
func TestGolden(t *testing.T) {
	out := Command{Server: "north-2", Down: true, IssuedBy: 17, IssuedAt: 1_800_000_000 * time.Second}
	back := Command{Server: "north-2", IssuedBy: 0, IssuedAt: 1_800_000_100*time.Second + 5}
	other := Command{Server: "süd/α", Down: true, IssuedBy: 299, IssuedAt: 1_800_000_050 * time.Second}
	b := &List{}
	for _, c := range []struct {
		name  string
		order Command
	}{{"record-down", out}, {"record-up", back}, {"record-other", other}} {
		raw, err := c.order.Encode()
		require.NoError(t, err)
		file := golden.Bytes(t, c.name, raw)
		one := &List{}
		one.Apply(1, file)
		require.Equal(t, []Command{c.order}, one.All(), c.name)
		again, err := one.All()[0].Encode()
		require.NoError(t, err)
		require.Equal(t, file, again, c.name)
		b.Apply(1, file)
	}
	for name, book := range map[string]*List{"state": b, "state-empty": {}} {
		file := golden.Bytes(t, name, book.Snapshot())
		restored := &List{}
		require.NoError(t, restored.Restore(file), name)
		require.Equal(t, book.All(), restored.All(), name)
		require.Equal(t, file, restored.Snapshot(), name)
	}
}
