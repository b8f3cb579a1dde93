package outlier

import (
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares bytes with a golden file and returns the file's contents.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "the encoding in %s has changed", name)
	return want
}

// goldenSnapshot returns a snapshot with a value in every field.
func goldenSnapshot() Snapshot {
	return Snapshot{
		6.5,
		[2]float64{1.25, 2.5},
		true, true, true, 90 * time.Second, 3, "3 of 3 refused, usual 0%", 4.75,
		400 * time.Millisecond, 250 * time.Millisecond, 120.5,
		[]float64{1, 2, 3, 4, 5, 6, 7, 8, 9},
		[]ClassSnapshot{{1, 3.5, 2, false}, {4, 18.25, 7, true}},
	}
}

// TestSnapshotGolden checks that the CBOR of a Snapshot, as stored on disk, and its JSON, as shown to operators, do not
// change.
func TestSnapshotGolden(t *testing.T) {
	enc, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	require.NoError(t, err)
	for name, snapshot := range map[string]Snapshot{"memory": goldenSnapshot(), "memory-empty": {}} {
		t.Run(name, func(t *testing.T) {
			raw, err := enc.Marshal(snapshot)
			require.NoError(t, err)
			var back Snapshot
			require.NoError(t, cbor.Unmarshal(checkGolden(t, name+".cbor", raw), &back))
			require.Equal(t, snapshot, back)
			shown, err := json.MarshalIndent(snapshot, "", " ")
			require.NoError(t, err)
			back = Snapshot{}
			require.NoError(t, json.Unmarshal(checkGolden(t, name+".json", append(shown, '\n')), &back))
			require.Equal(t, snapshot, back)
		})
	}
	// The stored ends_by_cause relies on the order of the causes.
	require.Equal(t, []cause{0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		[]cause{causeConnectionRefused, causeConnectTimeout, causeStaleConnection, causeConnectionReset, causeServerError, causeInvalidResponse, causeNoResponse, causeLateResponse, causeRejected, causeCount})
}
