package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/compact"
	"dunestep/internal/fleet/internal/golden"
)

// TestGolden checks that the encoding of updates matches the golden files, with update.encode and with compact.Marshal, and
// decodes to the same updates.
func TestGolden(t *testing.T) {
	incarnation := uint64(1_800_000_000)<<refutationBits | 3
	for name, u := range map[string]update{
		"update":         {Incarnation: incarnation, ReceivedAge: 7, FirstAgent: 300, Ages: []byte{0, 1, 23, 24, 254, 255}},
		"update-leaving": {Incarnation: incarnation, Leaving: true, ReceivedAge: ageUnknown, Ages: []byte{5}},
		"update-events": {Incarnation: incarnation, ReceivedAge: 24, FirstAgent: 2, Ages: []byte{9}, Events: []event{
			{Agent: 299, Incarnation: incarnation, Left: true, By: 299},
			{Agent: 4, Incarnation: 1 << 8, By: 260, Age: 200},
			{Agent: 23, By: 23},
		}},
	} {
		file := golden.Bytes(t, name, u.encode(200))
		var decoded update
		require.NoError(t, compact.Unmarshal(file, &decoded), name)
		require.Equal(t, u, decoded, name)
		require.Equal(t, file, decoded.encode(200), name)
		require.Equal(t, file, compact.Marshal(decoded), name)
	}
}

// TestGoldenFirstUpdate checks that the first update for given settings matches the golden file.
func TestGoldenFirstUpdate(t *testing.T) {
	l := New(Settings{Agents: 30, Self: 2, StartedAt: 1_800_000_000e9, Seed: 5}, 0)
	l.NoteReceived(1e9, 7)
	golden.Bytes(t, "first-update", l.Update(2e9, 7, 64))
}

// TestGoldenStatuses checks the names of statuses in operators' commands.
func TestGoldenStatuses(t *testing.T) {
	require.Equal(t, []string{"unheard", "here", "doubted", "cut off on one side", "silent", "left", "left"}, []string{
		Unknown.String(), Alive.String(), Suspect.String(), OneWay.String(), Silent.String(), Left.String(),
		Status(200).String(),
	})
}
