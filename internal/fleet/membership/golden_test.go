package membership

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/compact"
	"dunestep/internal/fleet/internal/golden"
)

// TestGolden: a word keeps its bytes, and is read from them as it was, by the encoder of its own and by the general one.
func TestGolden(t *testing.T) {
	born := uint64(1_800_000_000)<<refutationBits | 3
	for name, w := range map[string]update{
		"word":         {Incarnation: born, ReceivedAge: 7, FirstAgent: 300, Ages: []byte{0, 1, 23, 24, 254, 255}},
		"word-leaving": {Incarnation: born, Leaving: true, ReceivedAge: ageUnknown, Ages: []byte{5}},
		"word-events": {Incarnation: born, ReceivedAge: 24, FirstAgent: 2, Ages: []byte{9}, Events: []event{
			{Agent: 299, Incarnation: born, Left: true, By: 299},
			{Agent: 4, Incarnation: 1 << 8, By: 260, Age: 200},
			{Agent: 23, By: 23},
		}},
	} {
		file := golden.Bytes(t, name, w.encode(200))
		var back update
		require.NoError(t, compact.Unmarshal(file, &back), name)
		require.Equal(t, w, back, name)
		require.Equal(t, file, back.encode(200), name)
		require.Equal(t, file, compact.Marshal(back), name)
	}
}

// TestGoldenFirstWord: what a List says first is the same for the same settings.
func TestGoldenFirstWord(t *testing.T) {
	r := New(Settings{Agents: 30, Self: 2, StartedAt: 1_800_000_000e9, Seed: 5}, 0)
	r.NoteReceived(1e9, 7)
	golden.Bytes(t, "first-word", r.Update(2e9, 7, 64))
}

// TestGoldenStatuses: staff's commands and pages show these words.
func TestGoldenStatuses(t *testing.T) {
	require.Equal(t, []string{"unheard", "here", "doubted", "cut off on one side", "silent", "left", "left"}, []string{
		Unknown.String(), Alive.String(), Suspect.String(), OneWay.String(), Silent.String(), Left.String(),
		Status(200).String(),
	})
}
