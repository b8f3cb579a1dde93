package operator

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

// The shipped file has every key of every table with its default value.
func TestShippedFileHasEveryDefault(t *testing.T) {
	raw, err := os.ReadFile("../../deploy/operator.toml")
	require.NoError(t, err)
	got, err := Read("../../deploy/operator.toml")
	require.NoError(t, err)
	require.Equal(t, Default(), got)
	file := reflect.TypeFor[File]()
	for i := range file.NumField() {
		_, table, found := strings.Cut(string(raw), "\n["+file.Field(i).Tag.Get("toml")+"]\n")
		require.True(t, found)
		table, _, _ = strings.Cut(table, "\n[")
		for j := range file.Field(i).Type.NumField() {
			key := file.Field(i).Type.Field(j).Tag.Get("toml")
			require.Regexp(t, `(?m)^`+key+` = `, table)
		}
	}
}

// Read reports each problem of a file with its position and what is allowed.
func TestRead(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want []string // the errors, in the order of the file
	}{
		"empty":         {"", nil},
		"some keys":     {"[answers]\nlongest_kb = 100\nmemory_share = 0.2", nil},
		"inline":        {"answers = { longest_kb = 100 }", nil},
		"whole number":  {"answers.memory_share = 1", []string{"1:9: answers.memory_share: must be a number from 0.02 to 0.5"}},
		"invalid TOML":  {"[answers\n", []string{"1:9: "}},
		"duplicate key": {"[answers]\nstall_ms = 200\nstall_ms = 300", []string{"3:1: "}},
		"unknown keys and tables": {"[answers]\nlongest = 1\n\n[other]\nx = 1", []string{
			"2:1: answers.longest: unknown key; there are longest_kb, whole_kb", "4:2: other: unknown table; there are answers, log, storm, graphql",
		}},
		"every kind of value": {"[answers]\nlongest_kb = 63\nwhole_kb = 1.5\nmemory_share = nan\nstall_ms = \"2 s\"\nlag_ms = 60001", []string{
			"2:1: answers.longest_kb: must be a whole number from 64 to 1048576", "3:1: ", "4:1: ", "5:1: ", "6:1: ",
		}},
		"not a table":            {"answers = 5", []string{"1:1: answers: must be a table"}},
		"array of tables":        {"[[answers]]\nlag_ms = 5", []string{"1:3: answers: must be a table"}},
		"table for a number":     {"[answers.lag_ms]\nx = 1", []string{"1:10: answers.lag_ms: must be a whole number"}},
		"inline out of range":    {"answers = { lag_ms = -1 }", []string{"1:13: answers.lag_ms: "}},
		"source":                 {"[graphql]\nkey = \"body:x\"", []string{"2:1: graphql.key: must be header:NAME"}},
		"address":                {"[graphql]\nlisten = \"localhost\"", []string{"2:1: graphql.listen: must be an address"}},
		"path":                   {"[graphql]\npath = \"/health/ready\"", []string{"2:1: graphql.path: must be a path"}},
		"map with a number":      {"[graphql]\nlisten = \"front\"\n[graphql.queries]\na = \"consult\"\nb = 1", []string{"5:1: graphql.queries.b: must be a string"}},
		"not a map":              {"[graphql]\nmutations = \"x\"", []string{"2:1: graphql.mutations: must be a table"}},
		"keys contradict":        {"[answers]\nlongest_kb = 100\nwhole_kb = 101", []string{"3:1: answers.whole_kb: must not be above longest_kb"}},
		"log level":              {"[log]\nlevel = \"all\"", []string{"2:1: log.level: must be debug, info, warn or error"}},
		"log format":             {"[log]\nformat = \"JSON\"", []string{"2:1: log.format: must be text or json"}},
		"overload":               {"[storm]\non = false\npurge_ms = 1000", []string{"1:2: storm.purge_least_ms: must not be above purge_ms"}},
		"windows without policy": {"[fleet]\nwindows = true", []string{"2:1: fleet.windows: needs policy"}},
		"notice too short": {"[fleet]\nwindows = true\npolicy = true\nfloor_s = 2\nnotice_s = 8", []string{
			"5:1: fleet.notice_s: must be above floor_s",
		}},
		"notice long enough": {"[fleet]\nwindows = true\npolicy = true\nfloor_s = 2\nnotice_s = 9", nil},
		"escaped":            {"\"\\u0061x\" = 1\n'b.c' = 2", []string{"1:1: ax: unknown table", "2:1: b.c: unknown table"}},
	} {
		t.Run(name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "operator.toml")
			require.NoError(t, os.WriteFile(path, []byte(c.text), 0o600))
			_, err := Read(path)
			if c.want == nil {
				require.NoError(t, err)
				return
			}
			require.Error(t, err)
			got := Problems(err)
			require.Len(t, got, len(c.want), "%v", err)
			for i, want := range c.want {
				require.True(t, strings.HasPrefix(got[i].Error(), path+":"+want), "%v", got[i])
			}
		})
	}
	_, err := Read("nowhere.toml")
	require.ErrorIs(t, err, os.ErrNotExist)
}
