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

var update = flag.Bool("update", false, "write the golden files anew")

// checkGolden compares lines with a golden file.
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

// keys lists every key of the operator file as TABLE.KEY = VALUE, with the key's type and range, by name.
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

// TestKeysGolden: the operator file's keys, their types, ranges and defaults, and what an example of each comes to.
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
