package operator

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"slices"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// checkGolden compares lines with a golden file. With -update it writes the file first.
func checkGolden(t *testing.T, name string, lines []string) {
	t.Helper()
	path, got := filepath.Join("testdata", "golden", name), strings.Join(lines, "\n")+"\n"
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

// keys returns a sorted line TABLE.KEY = VALUE (TYPE MIN..MAX) for each key of the operator file.
func keys(t *testing.T, file File) (lines []string) {
	t.Helper()
	tables := reflect.ValueOf(file)
	for i := range tables.NumField() {
		name, table := tables.Type().Field(i).Tag.Get("toml"), tables.Field(i)
		for j := range table.NumField() {
			f := table.Type().Field(j)
			value, err := json.Marshal(table.Field(j).Interface())
			require.NoError(t, err)
			lines = append(lines, fmt.Sprintf("%s.%s = %s (%s %s..%s)", name, f.Tag.Get("toml"), value,
				f.Type.Kind(), f.Tag.Get("min"), f.Tag.Get("max")))
		}
	}
	slices.Sort(lines)
	return lines
}

// The operator file's keys, their types, ranges and defaults stay as in the golden files, and an example that sets
// every key is read as before.
func TestKeysGolden(t *testing.T) {
	checkGolden(t, "defaults.txt", keys(t, Default()))
	empty, err := Read("")
	require.NoError(t, err)
	require.Equal(t, Default(), empty)
	example, err := Read(filepath.Join("testdata", "golden", "example.toml"))
	require.NoError(t, err)
	lines := keys(t, example)
	checkGolden(t, "example.txt", lines)
	for i, line := range keys(t, Default()) {
		require.NotEqual(t, line, lines[i], "the example must set every key")
	}
}
