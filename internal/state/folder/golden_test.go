package folder

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/state"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

const goldenFolder = "testdata/golden/folder"

// goldenWrittenAt is the write time of the first golden generation.
var goldenWrittenAt = time.UnixMilli(1_796_115_624_558)

func goldenContent(version int64) state.Content {
	return state.Content{List: &state.StoredList{Version: version, ConfirmedMS: 1_796_115_624_000, Endpoints: []state.StoredEndpoint{
		{ID: "s-0", Addr: "10.1.0.10:9000", Zone: "buc-pipera", MachineKind: "rapid", Cell: 1, Weight: 1.25, StartedAt: time.Hour},
	}}}
}

// The folder in testdata/golden was written by the build of commit 3bec2d9. Load finds its newest generation, both
// files are encoded byte for byte as before, and the next write replaces the older file.
func TestGoldenFolder(t *testing.T) {
	if *updateGolden {
		require.NoError(t, os.MkdirAll(goldenFolder, 0o700))
		f, err := Open(goldenFolder, owner)
		require.NoError(t, err)
		for version := range int64(3) {
			require.NoError(t, f.Save(goldenContent(version), goldenWrittenAt.Add(time.Duration(version)*time.Second)))
		}
		require.NoError(t, f.Close())
	}
	path := t.TempDir()
	require.NoError(t, os.CopyFS(path, os.DirFS(goldenFolder)))
	entries, err := os.ReadDir(path)
	require.NoError(t, err)
	var names []string
	for _, e := range entries {
		names = append(names, e.Name())
	}
	require.Equal(t, []string{"lock", "state-a", "state-b"}, names)

	f, err := Open(path, owner)
	require.NoError(t, err)
	newest, unusable := f.Load()
	require.Empty(t, unusable)
	require.Equal(t, uint64(3), newest.Generation)
	require.Equal(t, goldenContent(2), newest.Content)
	for _, name := range names[1:] {
		raw, err := os.ReadFile(filepath.Join(path, name))
		require.NoError(t, err)
		file, err := state.Decode(raw)
		require.NoError(t, err)
		again, err := state.Encode(file)
		require.NoError(t, err)
		require.Equal(t, raw, again, name)
	}
	require.NoError(t, f.Save(goldenContent(3), goldenWrittenAt.Add(time.Minute)))
	require.NoError(t, f.Close())
	for name, generation := range map[string]uint64{"state-a": 3, "state-b": 4} {
		raw, err := os.ReadFile(filepath.Join(path, name))
		require.NoError(t, err)
		file, err := state.Decode(raw)
		require.NoError(t, err)
		require.Equal(t, generation, file.Generation, name)
	}
}
