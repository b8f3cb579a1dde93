package overload

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares bytes with a golden file and returns the file's content.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "the format of %s has changed", name)
	return want
}

// TestMessageGolden checks the encoding of messages between agents, and that each decodes and encodes to
// the same bytes.
func TestMessageGolden(t *testing.T) {
	var text strings.Builder
	for _, m := range []message{
		{messageEvidence, 0.5, 12.5, 0},
		{messageEvidence, -1.25, 0, 0},
		{messageEvidence, 9, 1000, 0},
		{messageShedding, 0.693, 60, 1234567891011 * time.Millisecond},
		{messageServedAgain, 0, 3.1, 0},
	} {
		text.WriteString(hex.EncodeToString(m.encode()) + "\n")
	}
	for line := range strings.Lines(string(checkGolden(t, "message.hex", []byte(text.String())))) {
		raw, err := hex.DecodeString(strings.TrimSpace(line))
		require.NoError(t, err)
		m, ok := decodeMessage(raw)
		require.True(t, ok, line)
		require.Equal(t, raw, m.encode())
	}
}

// goldenSnapshot returns a Snapshot with a value in every field.
func goldenSnapshot() Snapshot {
	return Snapshot{
		[]KindSnapshot{
			{"lent", []ServiceTimeSnapshot{{3, -2.25, 40}, {7, -1.5, 25.75}}}, {"rapid", nil},
		}, 12.5, 13, 20 * time.Second, 3500 * time.Millisecond,
	}
}

// TestSnapshotGolden checks the CBOR form in which a Snapshot is stored and the JSON form in which it is
// shown.
func TestSnapshotGolden(t *testing.T) {
	enc, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	require.NoError(t, err)
	for name, m := range map[string]Snapshot{"memory": goldenSnapshot(), "memory-empty": {}} {
		t.Run(name, func(t *testing.T) {
			raw, err := enc.Marshal(m)
			require.NoError(t, err)
			var back Snapshot
			require.NoError(t, cbor.Unmarshal(checkGolden(t, name+".cbor", raw), &back))
			require.Equal(t, m, back)
			shown, err := json.MarshalIndent(m, "", " ")
			require.NoError(t, err)
			back = Snapshot{}
			require.NoError(t, json.Unmarshal(checkGolden(t, name+".json", append(shown, '\n')), &back))
			require.Equal(t, m, back)
		})
	}
	require.Equal(t, 1, SnapshotVersion)
}
