package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/standin/program"
)

const days = "../../rehearsals"

// rehearse carries out a command line in this process.
func rehearse(ctx context.Context, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(desk{ctx, &out, &errs}, args)
	return code, out.String(), errs.String()
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	short, err := os.ReadFile(filepath.Join(days, "found/list-empties-without-keys.toml"))
	require.NoError(t, err)
	good := file("good.toml", string(short))
	bad := file("bad.toml", strings.Replace(string(short), "floor = 0.0", "floor = 1.0", 1))
	for name, test := range map[string]struct {
		args      []string
		code      int
		out, errs string
	}{
		"passes":             {[]string{"run", good}, passed, "passed, service", ""},
		"below its floor":    {[]string{"run", bad, "--seed", "2"}, failed, "seed 2: FAILED, service", ""},
		"without":            {[]string{"run", good, "--without", "damping,spill"}, passed, "without damping, spill", ""},
		"help":               {[]string{"run", "--help"}, passed, "--without", ""},
		"no command":         {nil, badUsage, "", "rehearse: expected one of"},
		"unknown flag":       {[]string{"run", good, "--sead", "7"}, badUsage, "", "unknown flag --sead"},
		"unknown protection": {[]string{"run", good, "--without", "luck"}, badUsage, "", "--without must be one of"},
		"no such file":       {[]string{"run", "nowhere.toml"}, badUsage, "", "nowhere.toml"},
		"empty":              {[]string{"run", file("empty.toml", "")}, badUsage, "", "needs the key schema"},
		"no servers": {
			[]string{"run", file("none.toml", strings.Replace(string(short), "servers = 1", "servers = 0", 1))},
			badUsage, "", "fleet.servers: must be a whole number from 1",
		},
		"unwritable":        {[]string{"run", good, "--json", dir}, badUsage, "", "is a directory"},
		"hunt passes":       {[]string{"hunt", good, "--seeds", "3"}, passed, "3 days, 0 did not pass", ""},
		"hunt finds":        {[]string{"hunt", bad, "--seeds", "3", "--out", filepath.Join(dir, "hunt")}, failed, "2 did not pass", ""},
		"gate passes":       {[]string{"gate", good, good, "--seeds", "2"}, passed, "GATE passed\n", ""},
		"gate fails":        {[]string{"gate", good, bad}, failed, "GATE failed: list-empties-without-keys, seed 1: FAILED, service", ""},
		"gate of nothing":   {[]string{"gate", "nowhere.toml"}, badUsage, "", "nowhere.toml"},
		"soak":              {[]string{"soak", good}, badUsage, "", "too short for ten memory samples"},
		"no seeds":          {[]string{"hunt", good, "--seeds", "0"}, badUsage, "", "--seeds is 1 to"},
		"nothing to shrink": {[]string{"shrink", good, "--out", filepath.Join(dir, "s.toml")}, badUsage, "", "there is no failure to reproduce"},
		"shrink to nowhere": {[]string{"shrink", good}, badUsage, "", "missing flags: --out"},
		"list":              {[]string{"list", "--dir", days}, passed, "monday-after-easter", ""},
		"list of nothing":   {[]string{"list", "--dir", t.TempDir()}, badUsage, "", "no scenarios in"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := rehearse(context.Background(), test.args...)
			require.Equal(t, test.code, code, out+errs)
			require.Contains(t, out, test.out)
			require.Contains(t, errs, test.errs)
		})
	}
	left, err := filepath.Glob(filepath.Join(dir, "hunt", "*"))
	require.NoError(t, err)
	require.Len(t, left, 3, "the ranking and two days")
	set, err := scenario.Load(left[0])
	require.NoError(t, err)
	require.EqualValues(t, 1, set.Seed)
}

// Ctrl-C leaves what is done: a report of the day so far, and the days hunted so far.
func TestBrokenOff(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	code, out, errs := rehearse(ctx, "run", filepath.Join(days, "calm-monday.toml"))
	require.Equal(t, failed, code)
	require.Contains(t, out, "NOT PASSED, broken off after 0 s")
	require.Contains(t, errs, "what was done so far is left")
	dir := t.TempDir()
	code, out, _ = rehearse(ctx, "hunt", filepath.Join(days, "calm-monday.toml"), "--out", dir)
	require.Equal(t, failed, code)
	require.Contains(t, out, "0 days")
	ranking, err := os.ReadFile(filepath.Join(dir, "ranking.json"))
	require.NoError(t, err)
	require.Contains(t, string(ranking), `"days": []`)
}

// longest is the longest day, and most the widest fleet, that the next test plays; the rest are played by hand.
const (
	longest = 2 * time.Minute
	most    = 100
)

// A day gives the same bytes in all three forms in every process, on one core and on eight.
func TestSameBytesInEveryProcess(t *testing.T) {
	kit := filepath.Join(t.TempDir(), "rehearse")
	require.NoError(t, program.Sources())
	require.NoError(t, program.Build(kit, "dunestep/cmd/rehearse"))
	files, err := filepath.Glob(filepath.Join(days, "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		set, err := scenario.Load(file)
		require.NoError(t, err)
		if set.Day.Length > longest || set.Fleet.Servers > most {
			continue
		}
		t.Run(set.Name, func(t *testing.T) {
			t.Parallel()
			one, eight := forms(t, kit, file, "1"), forms(t, kit, file, "8")
			require.Equal(t, one, eight)
		})
	}
}

// forms plays a day in a process of its own and returns what it wrote.
func forms(t *testing.T, program, file, cores string) (all [3]string) {
	dir := t.TempDir()
	jsonFile, page := filepath.Join(dir, "day.json"), filepath.Join(dir, "day.html")
	c := exec.Command(program, "run", file, "--json", jsonFile, "--html", page)
	c.Env = append(os.Environ(), "GOMAXPROCS="+cores)
	out, err := c.Output()
	require.NoError(t, err, "%s", out) // it passes, as well
	all[0] = string(out)
	for i, name := range []string{jsonFile, page} {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		require.NotEmpty(t, text)
		all[i+1] = string(text)
	}
	return all
}
