package operatorcommand

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/golden"
)

// TestGolden checks that the encoding of records and of the state has not changed, and that decoding reverses it.
func TestGolden(t *testing.T) {
	down := Command{Server: "north-2", Down: true, IssuedBy: 17, IssuedAt: 1_800_000_000 * time.Second}
	up := Command{Server: "north-2", IssuedBy: 0, IssuedAt: 1_800_000_100*time.Second + 5}
	other := Command{Server: "süd/α", Down: true, IssuedBy: 299, IssuedAt: 1_800_000_050 * time.Second}
	list := &List{}
	for _, c := range []struct {
		name    string
		command Command
	}{{"record-down", down}, {"record-up", up}, {"record-other", other}} {
		raw, err := c.command.Encode()
		require.NoError(t, err)
		file := golden.Bytes(t, c.name, raw)
		single := &List{}
		single.Apply(1, file)
		require.Equal(t, []Command{c.command}, single.All(), c.name)
		encoded, err := single.All()[0].Encode()
		require.NoError(t, err)
		require.Equal(t, file, encoded, c.name)
		list.Apply(1, file)
	}
	for name, l := range map[string]*List{"state": list, "state-empty": {}} {
		file := golden.Bytes(t, name, l.Snapshot())
		restored := &List{}
		require.NoError(t, restored.Restore(file), name)
		require.Equal(t, l.All(), restored.All(), name)
		require.Equal(t, file, restored.Snapshot(), name)
	}
}
