package main

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/report"
)

// comparedRow returns a row whose runs passed, with these services.
func comparedRow(base, now []float64) row {
	r := row{name: "day", mode: virtual}
	for _, s := range base {
		r.outcomes[0] = append(r.outcomes[0], outcome{service: s, passed: true})
	}
	for _, s := range now {
		r.outcomes[1] = append(r.outcomes[1], outcome{service: s, passed: true})
	}
	return r
}

func TestFindings(t *testing.T) {
	same := func() row { return comparedRow([]float64{0.8, 0.9}, []float64{0.8, 0.9}) }
	for _, c := range []struct {
		name     string
		change   func(r *row)
		findings []string
	}{
		{"the same", func(*row) {}, nil},
		{"a drop of 0.03", func(r *row) { *r = comparedRow([]float64{0.75}, []float64{0.72}) }, nil},
		{
			"a larger drop", func(r *row) { *r = comparedRow([]float64{0.75}, []float64{0.71}) },
			[]string{"day (virtual): service dropped by 0.040, over 0.03"},
		},
		{"a gate that failed before", func(r *row) {
			r.outcomes[0][1].passed, r.outcomes[1][1].passed = false, false
		}, nil},
		{
			"a gate that fails now", func(r *row) { r.outcomes[1][1].passed = false },
			[]string{"day (virtual): run 2 fails the gate, which BASE passed"},
		},
		{
			"a broken rule that was broken before", func(r *row) {
				r.outcomes[0][0] = outcome{service: 0.8, breaches: 3, broken: []string{"drains"}}
				r.outcomes[1][0] = outcome{service: 0.8, breaches: 1, broken: []string{"drains"}}
			},
			[]string{"day (virtual): run 1 broke drains, 1 times"},
		},
		{
			"a crash", func(r *row) { r.outcomes[1][0].crashed = true },
			[]string{"day (virtual): run 1 crashed"},
		},
		{
			"no verdict", func(r *row) { r.outcomes[0][1].notJudged = "the kit was late" },
			[]string{"day (virtual): run 2 is not judged: the kit was late"},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := same()
			c.change(&r)
			require.Equal(t, c.findings, findings([]row{r}))
		})
	}
}

// The spread is that of the differences run by run: seeds whose services differ much may still show a small
// difference.
func TestSpread(t *testing.T) {
	shifted := comparedRow([]float64{0.5, 0.7, 0.9}, []float64{0.51, 0.71, 0.91})
	require.InDelta(t, 0, shifted.spread(), 1e-9)
	require.True(t, shifted.isBeyondSpread())
	noisy := comparedRow([]float64{0.5, 0.7}, []float64{0.6, 0.65})
	require.InDelta(t, 0.15, noisy.spread(), 1e-9)
	require.False(t, noisy.isBeyondSpread())
	require.False(t, comparedRow([]float64{0.5}, []float64{0.1}).isBeyondSpread(), "one run has no spread")
}

func TestOutcomeOfReport(t *testing.T) {
	r := report.New("day", "", 1, nil, judge.Verdict{Service: 0.7, Rules: []judge.Rule{
		{Name: "answers", Breaches: 2}, {Name: "drains"},
	}})
	require.Equal(t, outcome{service: 0.7, breaches: 2, broken: []string{"answers"}}, newOutcome(r))
}

func TestTable(t *testing.T) {
	var text bytes.Buffer
	require.NoError(t, writeTable(&text, []row{comparedRow([]float64{0.5, 0.7}, []float64{0.6, 0.65})}))
	require.NoError(t, writeVerdict(&text, nil))
	require.Equal(t, ""+
		"day  run      gate: BASE  now     service: BASE  now    floor  breaches: BASE  now  difference  spread  beyond it\n"+
		"day  virtual  2 of 2      2 of 2  0.600          0.625  0.00   0               0    +0.025      0.150   no\n"+
		"NO REGRESSION\n", text.String())
}

// runIn runs the command in a folder.
func runIn(t *testing.T, folder string, args ...string) (code int, stderr string) {
	t.Chdir(folder)
	var out, errs bytes.Buffer
	code = run(context.Background(), args, &out, &errs)
	require.Empty(t, out.String())
	return code, errs.String()
}

// newRepository returns a repository with one commit, whose program does not build.
func newRepository(t *testing.T) string {
	folder := t.TempDir()
	files := map[string]string{"go.mod": "module broken\n\ngo 1.26\n", "cmd/broken/main.go": "package main\n\nfunc main() { no }\n"}
	for name, text := range files {
		path := filepath.Join(folder, name)
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o700))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	}
	for _, args := range [][]string{
		{"init", "--quiet"},
		{"add", "."},
		{"-c", "user.name=n", "-c", "user.email=n@example.com", "commit", "--quiet", "-m", "broken"},
	} {
		c := exec.Command("git", args...)
		c.Dir = folder
		text, err := c.CombinedOutput()
		require.NoError(t, err, string(text))
	}
	return folder
}

func TestComparisonThatCannotBeMade(t *testing.T) {
	scenarios, err := filepath.Abs("../../../rehearsals")
	require.NoError(t, err)
	repository := newRepository(t)
	t.Run("usage", func(t *testing.T) {
		code, stderr := runIn(t, repository)
		require.Equal(t, exitNotCompared, code)
		require.Contains(t, stderr, "usage: regression [--scenarios DIR] BASE")
	})
	t.Run("missing scenario", func(t *testing.T) {
		code, stderr := runIn(t, repository, "HEAD")
		require.Equal(t, exitNotCompared, code)
		require.Contains(t, stderr, "scenario fleet-calm: ")
		require.Contains(t, stderr, "no such file")
	})
	t.Run("unknown base", func(t *testing.T) {
		code, stderr := runIn(t, repository, "--scenarios", scenarios, "none")
		require.Equal(t, exitNotCompared, code)
		require.Equal(t, "regression: no commit is named none\n", stderr)
	})
	t.Run("broken build", func(t *testing.T) {
		code, stderr := runIn(t, repository, "--scenarios", scenarios, "HEAD")
		require.Equal(t, exitNotCompared, code)
		require.Contains(t, stderr, "regression: HEAD does not build: exit status 1\n")
		require.Contains(t, stderr, "undefined: no")
	})
}
