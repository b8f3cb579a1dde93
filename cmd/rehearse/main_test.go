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

const scenariosDir = "../../rehearsals"

// rehearse runs a command line in this process.
func rehearse(ctx context.Context, args ...string) (code int, stdout, stderr string) {
	var out, errs bytes.Buffer
	code = run(invocation{ctx, &out, &errs}, args)
	return code, out.String(), errs.String()
}

func TestExitCodes(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	short, err := os.ReadFile(filepath.Join(scenariosDir, "found/list-empties-without-keys.toml"))
	require.NoError(t, err)
	good := file("good.toml", string(short))
	bad := file("bad.toml", strings.Replace(string(short), "floor = 0.0", "floor = 1.0", 1))
	for name, test := range map[string]struct {
		args      []string
		code      int
		out, errs string
	}{
		"passes":             {[]string{"run", good}, exitPassed, "passed, service", ""},
		"below its floor":    {[]string{"run", bad, "--seed", "2"}, exitFailed, "seed 2: FAILED, service", ""},
		"without":            {[]string{"run", good, "--without", "damping,spill"}, exitPassed, "without damping, spill", ""},
		"help":               {[]string{"run", "--help"}, exitPassed, "--without", ""},
		"no command":         {nil, exitUsage, "", "rehearse: expected one of"},
		"unknown flag":       {[]string{"run", good, "--sead", "7"}, exitUsage, "", "unknown flag --sead"},
		"unknown protection": {[]string{"run", good, "--without", "luck"}, exitUsage, "", "--without must be one of"},
		"no such file":       {[]string{"run", "nowhere.toml"}, exitUsage, "", "nowhere.toml"},
		"empty":              {[]string{"run", file("empty.toml", "")}, exitUsage, "", "needs the key schema"},
		"no servers": {
			[]string{"run", file("none.toml", strings.Replace(string(short), "servers = 1", "servers = 0", 1))},
			exitUsage, "", "fleet.servers: must be a whole number from 1",
		},
		"unwritable":        {[]string{"run", good, "--json", dir}, exitUsage, "", "is a directory"},
		"hunt passes":       {[]string{"hunt", good, "--seeds", "3"}, exitPassed, "3 runs, 0 did not pass", ""},
		"hunt finds":        {[]string{"hunt", bad, "--seeds", "3", "--out", filepath.Join(dir, "hunt")}, exitFailed, "2 did not pass", ""},
		"gate passes":       {[]string{"gate", good, good, "--seeds", "2"}, exitPassed, "GATE passed\n", ""},
		"gate fails":        {[]string{"gate", good, bad}, exitFailed, "GATE failed: list-empties-without-keys, seed 1: FAILED, service", ""},
		"gate of nothing":   {[]string{"gate", "nowhere.toml"}, exitUsage, "", "nowhere.toml"},
		"soak":              {[]string{"soak", good}, exitUsage, "", "too short for ten memory samples"},
		"no seeds":          {[]string{"hunt", good, "--seeds", "0"}, exitUsage, "", "--seeds is 1 to"},
		"nothing to shrink": {[]string{"shrink", good, "--out", filepath.Join(dir, "s.toml")}, exitUsage, "", "there is no failure to reproduce"},
		"shrink to nowhere": {[]string{"shrink", good}, exitUsage, "", "missing flags: --out"},
		"list":              {[]string{"list", "--dir", scenariosDir}, exitPassed, "monday-after-easter", ""},
		"list of nothing":   {[]string{"list", "--dir", t.TempDir()}, exitUsage, "", "no scenarios in"},
	} {
		t.Run(name, func(t *testing.T) {
			code, out, errs := rehearse(context.Background(), test.args...)
			require.Equal(t, test.code, code, out+errs)
			require.Contains(t, out, test.out)
			require.Contains(t, errs, test.errs)
		})
	}
	written, err := filepath.Glob(filepath.Join(dir, "hunt", "*"))
	require.NoError(t, err)
	require.Len(t, written, 3, "the ranking and two failed runs")
	scen, err := scenario.Load(written[0])
	require.NoError(t, err)
	require.EqualValues(t, 1, scen.Seed)
}

// TestInterruptKeepsFinishedWork: after an interrupt, run reports the run so far, and hunt the runs so far.
func TestInterruptKeepsFinishedWork(t *testing.T) {
	ctx, stop := context.WithCancel(context.Background())
	stop()
	code, out, errs := rehearse(ctx, "run", filepath.Join(scenariosDir, "calm-monday.toml"))
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "NOT PASSED, broken off after 0 s")
	require.Contains(t, errs, "interrupted; the results so far are kept")
	dir := t.TempDir()
	code, out, _ = rehearse(ctx, "hunt", filepath.Join(scenariosDir, "calm-monday.toml"), "--out", dir)
	require.Equal(t, exitFailed, code)
	require.Contains(t, out, "0 runs")
	ranking, err := os.ReadFile(filepath.Join(dir, "ranking.json"))
	require.NoError(t, err)
	require.Contains(t, string(ranking), `"days": []`)
}

// maxRunLength and maxServers limit the scenarios of TestSameBytesInEveryProcess.
const (
	maxRunLength = 2 * time.Minute
	maxServers   = 100
)

// TestSameBytesInEveryProcess: a scenario gives the same report, as text, JSON and HTML, in different processes, on one
// core and on eight.
func TestSameBytesInEveryProcess(t *testing.T) {
	kit := filepath.Join(t.TempDir(), "rehearse")
	require.NoError(t, program.DependOnSources())
	require.NoError(t, program.Build(kit, "dunestep/cmd/rehearse"))
	files, err := filepath.Glob(filepath.Join(scenariosDir, "*.toml"))
	require.NoError(t, err)
	require.NotEmpty(t, files)
	for _, file := range files {
		scen, err := scenario.Load(file)
		require.NoError(t, err)
		if scen.Run.Length > maxRunLength || scen.Fleet.Servers > maxServers {
			continue
		}
		t.Run(scen.Name, func(t *testing.T) {
			t.Parallel()
			one, eight := runReports(t, kit, file, "1"), runReports(t, kit, file, "8")
			require.Equal(t, one, eight)
		})
	}
}

// runReports runs a scenario in a process of its own and returns the report as text, JSON and HTML.
func runReports(t *testing.T, program, file, cores string) (reports [3]string) {
	dir := t.TempDir()
	jsonFile, htmlFile := filepath.Join(dir, "day.json"), filepath.Join(dir, "day.html")
	c := exec.Command(program, "run", file, "--json", jsonFile, "--html", htmlFile)
	c.Env = append(os.Environ(), "GOMAXPROCS="+cores)
	out, err := c.Output()
	require.NoError(t, err, "%s", out) // the run passes too
	reports[0] = string(out)
	for i, name := range []string{jsonFile, htmlFile} {
		text, err := os.ReadFile(name)
		require.NoError(t, err)
		require.NotEmpty(t, text)
		reports[i+1] = string(text)
	}
	return reports
}
