package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/membership"
	"dunestep/internal/fleet/raftlog"
)

var updateGolden = flag.Bool("update", false, "rewrite the golden files")

// requireGolden checks that a text equals a file of testdata/golden. With -update, it writes the file first.
func requireGolden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata/golden", name)
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got, name)
}

// usageForm returns a command's help without its prose: the usage line, commands, arguments and flags, with their
// environment variables and default values.
func usageForm(help string) string {
	var form strings.Builder
	variable := regexp.MustCompile(`\(\$[A-Z_]+\)`)
	flagOrArgument := regexp.MustCompile(`^ +((-\w, )?--\S+|<\S+>|\[<\S+>\])`)
	command := regexp.MustCompile(`^  \S+ .*(--|<|\[)`)
	for _, line := range strings.Split(help, "\n") {
		switch {
		case strings.HasPrefix(line, "Usage:"):
			form.WriteString(line + "\n")
		case flagOrArgument.MatchString(line):
			form.WriteString(strings.TrimSpace(flagOrArgument.FindString(line)) + " " + variable.FindString(line) + "\n")
		case command.MatchString(line):
			form.WriteString(strings.TrimSpace(line) + "\n")
		}
	}
	return form.String()
}

// The commands, arguments and flags are the same as of commit 3bec2d9.
func TestGoldenCommandLines(t *testing.T) {
	t.Parallel()
	var all strings.Builder
	for _, args := range []string{
		"", "serve", "check", "version", "state", "state show", "state check", "state export",
		"fleet", "fleet status", "fleet down", "fleet up",
		"fleet policy", "fleet policy check", "fleet policy propose", "fleet policy show", "fleet policy history", "fleet policy back",
		"fleet window", "fleet window ask", "fleet window check", "fleet window list", "fleet window stop",
	} {
		code, out, errs := command(t, append(strings.Fields(args), "--help")...)
		require.Zero(t, code, errs)
		fmt.Fprintf(&all, "# dunestep %s\n%s\n", args, usageForm(out))
	}
	requireGolden(t, "command-lines.txt", all.String())
}

// The output that other programs read, and the exit codes, are the same as of commit 3bec2d9.
func TestGoldenExitCodes(t *testing.T) {
	t.Parallel()
	const state = "../../internal/state/testdata/golden/format-2.state"
	damaged := filepath.Join(t.TempDir(), "state-a")
	raw, err := os.ReadFile(state)
	require.NoError(t, err)
	raw[40] ^= 1
	require.NoError(t, os.WriteFile(damaged, raw, 0o600))
	malformed := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(malformed, []byte("{"), 0o600))
	for _, c := range []struct {
		name string
		args []string
		code int
		out  string // file of testdata/golden; empty: any output
	}{
		{"version", []string{"version"}, 0, ""},
		{"defaults", []string{"check", "--defaults"}, 0, ""},
		{"nothing to check", []string{"check"}, 1, ""},
		{"malformed file", []string{"check", "--config", malformed}, 2, ""},
		{"missing file", []string{"check", "--config", malformed + ".gone"}, 2, ""},
		{"valid file", []string{"check", "--operator", "../../deploy/operator.toml"}, 0, "check.txt"},
		{"state check", []string{"state", "check", state}, 0, "state-check.txt"},
		{"state show", []string{"state", "show", state}, 0, "state-show.txt"},
		{"state export", []string{"state", "export", state}, 0, "state-export.json"},
		{"state export of the first format", []string{"state", "export", "../../internal/state/testdata/format-1.state"}, 0, "state-export-1.json"},
		{"damaged state", []string{"state", "check", damaged}, 1, ""},
		{"missing state", []string{"state", "export", damaged + ".gone"}, 1, ""},
		{"unknown command", []string{"sing"}, 1, ""},
		{"unknown flag", []string{"check", "--sing"}, 1, ""},
		{"serve without its environment", nil, 1, ""},
		{"no address", []string{"fleet", "status"}, 1, ""},
		{"no agent", []string{"fleet", "status", "--ops", "127.0.0.1:1"}, 1, ""},
		{"no agent for windows", []string{"fleet", "window", "list", "--ops", "127.0.0.1:1"}, 1, ""},
		{"no agent for policies", []string{"fleet", "policy", "show", "--ops", "127.0.0.1:1"}, 1, ""},
		{"missing policy", []string{"fleet", "policy", "check", malformed + ".gone"}, 1, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, out, errs := command(t, c.args...)
			require.Equal(t, c.code, code, errs)
			if c.code != 0 {
				require.NotEmpty(t, errs)
			}
			if c.out != "" {
				requireGolden(t, c.out, out)
			}
		})
	}
}

// fillDistinct sets every field below v to a distinct value, in the order of declaration. Slices and maps get one element.
func fillDistinct(v reflect.Value, n *int) {
	*n++
	if at, isTime := v.Addr().Interface().(*time.Time); isTime {
		*at = time.Unix(1_796_115_624+int64(*n), 0).UTC()
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fillDistinct(v.Elem(), n)
	case reflect.Struct:
		for i := range v.NumField() {
			fillDistinct(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fillDistinct(v.Index(0), n)
	case reflect.Map:
		value := reflect.New(v.Type().Elem()).Elem()
		fillDistinct(value, n)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(reflect.ValueOf(fmt.Sprint("key-", *n)), value)
	case reflect.Bool:
		v.SetBool(true)
	case reflect.String:
		v.SetString(fmt.Sprint("text-", *n))
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	case reflect.Uint8, reflect.Uint64:
		v.SetUint(uint64(*n))
	case reflect.Float64:
		v.SetFloat(float64(*n) + 0.25)
	default:
		panic("no value for a " + v.Kind().String())
	}
}

// checkGoldenJSON checks that a file of testdata/golden is decoded completely and encoded again byte for byte. The file has
// every key of a response at the operators' socket as of commit 3bec2d9.
func checkGoldenJSON[T any](t *testing.T, name string) {
	t.Helper()
	var value, read T
	n := 0
	fillDistinct(reflect.ValueOf(&value).Elem(), &n)
	text, err := json.MarshalIndent(value, "", "  ")
	require.NoError(t, err)
	requireGolden(t, name, string(text))
	raw, err := os.ReadFile(filepath.Join("testdata/golden", name))
	require.NoError(t, err)
	require.NoError(t, json.Unmarshal(raw, &read))
	require.Equal(t, value, read, "every key is decoded")
	text, err = json.Marshal(*new(T))
	require.NoError(t, err)
	requireGolden(t, "empty-"+name, string(text))
}

func TestGoldenOpsJSON(t *testing.T) {
	checkGoldenJSON[fleetStatus](t, "fleet-status.json")
	checkGoldenJSON[policyState](t, "policy-state.json")
	checkGoldenJSON[policyOutcome](t, "policy-outcome.json")
	checkGoldenJSON[windowsState](t, "windows-state.json")
	checkGoldenJSON[windowOutcome](t, "window-outcome.json")
	checkGoldenJSON[fleetState](t, "handed-over.json")
}

// stringsOf returns the texts of values.
func stringsOf[T fmt.Stringer](values ...T) (texts []string) {
	for _, v := range values {
		texts = append(texts, v.String())
	}
	return texts
}

// The texts that are values in responses at the operators' socket are the same as of commit 3bec2d9.
func TestGoldenOpsValues(t *testing.T) {
	for _, c := range []struct{ want, got []string }{
		{
			[]string{"connected", "unsaid", "deaf"},
			[]string{connectionWord(membership.Connected), connectionWord(membership.Unconfirmed), connectionWord(membership.Isolated)},
		},
		{[]string{"new", "floor", "full"}, stringsOf(lease.New, lease.Floor, lease.Full)},
		{
			[]string{"unheard", "here", "doubted", "cut off on one side", "silent", "left"},
			stringsOf(membership.Unknown, membership.Alive, membership.Suspect, membership.OneWay, membership.Silent, membership.Left),
		},
		{[]string{"waiting", "taken", "not taken", "ask again"}, stringsOf(fleet.Pending, fleet.Committed, fleet.NotCommitted, fleet.Indeterminate)},
		{[]string{"bottom", "floor", "full"}, stringsOf(policy.ModeBottom, policy.ModeFloor, policy.ModeFull)},
		{[]string{"ask again", "taken", "not taken"}, stringsOf(policy.StatusUnknown, policy.StatusAccepted, policy.StatusRejected)},
		{
			[]string{"planned", "draining", "drained", "free", "paused", "returning", "ended", "stopped"},
			stringsOf(maintenance.Planned, maintenance.Draining, maintenance.Drained, maintenance.Free, maintenance.Paused, maintenance.Returning,
				maintenance.Ended, maintenance.Stopped),
		},
		{
			[]string{"whole", "expected", "joining", "suspect", "", "away", "gone"},
			stringsOf(ringassignment.Complete, ringassignment.Expected, ringassignment.Joining, ringassignment.Suspect, ringassignment.Phase(4), ringassignment.Away, ringassignment.Gone),
		},
		{
			[]string{"seeking", "learning", "voting", "leading", "leaderless", "stuck", "broken"},
			stringsOf(raftlog.Seeking, raftlog.Learning, raftlog.Voting, raftlog.Leading, raftlog.Leaderless, raftlog.Stuck,
				raftlog.Broken),
		},
		{[]string{"a policy takes hold: ask again in a moment", "fits"}, []string{reasonPolicyChanging, statusFits}},
	} {
		require.Equal(t, c.want, c.got)
	}
}
