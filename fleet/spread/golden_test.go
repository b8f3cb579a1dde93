package spread

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/fleet/internal/golden"
)

// TestGolden: each kind of message keeps its bytes, and is read from them as it was.
func TestGolden(t *testing.T) {
	for name, c := range map[string]struct {
		kind    byte
		message any
	}{
		"digest":   {kindDigest, digest{Epoch: 1_800_000_000_000, Seq: 300, Sum: 1 << 63}},
		"question": {kindDigest, digest{Epoch: 1, Seq: 2, Sum: 3, Ask: 1 << 31}},
		"answer":   {kindDigest, digest{Epoch: 1, Seq: 2, Sum: 3, Answer: 1 << 31, Ready: true}},
		"pull":     {kindPull, pull{Epoch: 1, Seq: 24, Sum: 3}},
		"pull-on":  {kindPull, pull{Epoch: 1, Seq: 24, Sum: 3, Check: 1 << 40, Offset: 1024}},
		"part":     {kindPart, part{Epoch: 1, First: 25, Prior: 3, After: 4, Records: [][]byte{[]byte("one"), {0, 255}}, Last: 40}},
		"piece":    {kindPiece, piece{Epoch: 1, Seq: 25, Sum: 3, Check: 4, Size: 5000, Offset: 1024, Data: []byte("record"), Last: 40}},
		"snapshot": {kindPiece, piece{Snapshot: true, Epoch: 1, Seq: 25, Sum: 3, Check: 4, Size: 4, Data: []byte("snap"), Last: 25}},
	} {
		file := golden.Bytes(t, name, encode(c.kind, c.message))
		back, err := decode(file)
		require.NoError(t, err, name)
		require.Equal(t, c.message, back, name)
		require.Equal(t, file, encode(file[0], back), name)
	}
}

// TestGoldenStarts: logs and tests show these words.
func TestGoldenStarts(t *testing.T) {
	require.Equal(t, []string{"asking", "caught up", "late", "alone", "alone"},
		[]string{Asking.String(), CaughtUp.String(), Late.String(), Alone.String(), Start(200).String()})
}
