package gossip

import (
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/internal/golden"
)

// TestGolden checks that the encoding of each kind of message matches the golden file and decodes to the same message.
func TestGolden(t *testing.T) {
	for name, c := range map[string]struct {
		kind    byte
		message any
	}{
		"digest":         {kindDigest, digest{Epoch: 1_800_000_000_000, Seq: 300, Sum: 1 << 63}},
		"question":       {kindDigest, digest{Epoch: 1, Seq: 2, Sum: 3, Question: 1 << 31}},
		"answer":         {kindDigest, digest{Epoch: 1, Seq: 2, Sum: 3, AnswerTo: 1 << 31, Trusted: true}},
		"pull":           {kindPull, pull{Epoch: 1, Seq: 24, Sum: 3}},
		"pull-partial":   {kindPull, pull{Epoch: 1, Seq: 24, Sum: 3, PartialSum: 1 << 40, Offset: 1024}},
		"segment":        {kindSegment, segment{Epoch: 1, First: 25, PriorSum: 3, Sum: 4, Records: [][]byte{[]byte("one"), {0, 255}}, LastSeq: 40}},
		"chunk":          {kindChunk, chunk{Epoch: 1, Seq: 25, PriorSum: 3, ItemSum: 4, ItemBytes: 5000, Offset: 1024, Data: []byte("record"), LastSeq: 40}},
		"chunk-snapshot": {kindChunk, chunk{Snapshot: true, Epoch: 1, Seq: 25, PriorSum: 3, ItemSum: 4, ItemBytes: 4, Data: []byte("snap"), LastSeq: 25}},
	} {
		file := golden.Bytes(t, name, encode(c.kind, c.message))
		decoded, err := decode(file)
		require.NoError(t, err, name)
		require.Equal(t, c.message, decoded, name)
		require.Equal(t, file, encode(file[0], decoded), name)
	}
}

// TestGoldenCatchUpStates checks the names of the states in log lines.
func TestGoldenCatchUpStates(t *testing.T) {
	require.Equal(t, []string{"asking", "caught up", "late", "alone", "alone"},
		[]string{Asking.String(), CaughtUp.String(), Late.String(), Alone.String(), CatchUpState(200).String()})
}
