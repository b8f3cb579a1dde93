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

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden compares bytes with a golden file, and gives back what the file holds.
func checkGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", name)
	if *update {
		require.NoError(t, os.WriteFile(path, got, 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(got), "the form of %s has changed", name)
	return want
}

// goldenMemory has a value in every field.
func goldenMemory() Snapshot {
	return Snapshot{
		6.5,
		[2]float64{1.25, 2.5},
		true, true, true, 90 * time.Second, 3, "3 of 3 refused, usual 0%", 4.75,
		400 * time.Millisecond, 250 * time.Millisecond, 120.5,
		[]float64{1, 2, 3, 4, 5, 6, 7, 8, 9},
		[]ClassSnapshot{{1, 3.5, 2, false}, {4, 18.25, 7, true}},
	}
}

// TestMemoryGolden: what is kept of a server over a restart has the same CBOR on disk and the same JSON where
// it is shown.
func TestMemoryGolden(t *testing.T) {
	enc, err := cbor.EncOptions{Sort: cbor.SortCoreDeterministic, ShortestFloat: cbor.ShortestFloat16}.EncMode()
	require.NoError(t, err)
	for name, m := range map[string]Snapshot{"memory": goldenMemory(), "memory-empty": {}} {
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
	// The order of the causes is that of ends_by_cause.
	require.Equal(t, []cause{0, 1, 2, 3, 4, 5, 6, 7, 8, 9},
		[]cause{causeConnectionRefused, causeConnectTimeout, causeStaleConnection, causeConnectionReset, causeServerError, causeInvalidResponse, causeNoResponse, causeLateResponse, causeRejected, causeCount})
}
