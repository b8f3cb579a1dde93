package live

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/timeline"
	"dunestep/internal/rehearsal/world"
	"dunestep/internal/standin/program"
)

var agentProgram string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "live")
	if err == nil {
		agentProgram = filepath.Join(dir, "dunestep")
		err = program.Build(agentProgram, "dunestep/cmd/dunestep")
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

// shortScenario returns a scenario of a few seconds with the given faults.
func shortScenario(t testing.TB, seconds int, agents int, faults ...string) *scenario.Scenario {
	require.NoError(t, program.DependOnSources())
	text := fmt.Sprintf(`schema = 1
name = "short"
floor = 0.1
day = { length_s = %d, from_s = 0 }
load = { of_capacity = 0.4, keys = 200 }
agents = { count = %d }
fleet = { servers = 6 }
kind = [{ name = "rapid", share = 1, cores = 3, speed = [0.8, 1.2] }]
clients = { impatient = 0 }

[[class]]
name = "consult"
share = 0.7
work_ms = 40
aim_ms = 500
deadline_ms = 1500
worth = 1
effect = "safe"

[[class]]
name = "rezervare"
share = 0.3
work_ms = 30
aim_ms = 500
deadline_ms = 1000
worth = 2
effect = "unsafe"
`, seconds, agents)
	for _, faultSpec := range faults {
		text += "\n[[trouble]]\n" + strings.ReplaceAll(faultSpec, "; ", "\n") + "\n"
	}
	sc, err := scenario.Parse("short.toml", []byte(text))
	require.NoError(t, err)
	return sc
}

// processesRunning returns the IDs of the processes that run a program.
func processesRunning(path string) (ids []int) {
	dirs, _ := filepath.Glob("/proc/[0-9]*")
	for _, dir := range dirs {
		exe, err := os.Readlink(dir + "/exe")
		if id, notID := strconv.Atoi(filepath.Base(dir)); err == nil && notID == nil && exe == path {
			ids = append(ids, id)
		}
	}
	return ids
}

// requireRulesKept requires that no rule was broken and the service floor was met, unless the kit was too late to judge.
func requireRulesKept(t *testing.T, r *report.Report) {
	if !r.Judged() {
		t.Log("not judged:", r.Live.Measured.NotJudged)
		return
	}
	for _, rule := range r.Rules {
		require.Nil(t, rule.First, "%+v", rule.First)
	}
	require.GreaterOrEqual(t, r.Service, r.Floor)
}

// A run with every kind of fault breaks no rule, sends every planned request and leaves no process.
func TestPlayWithEveryFault(t *testing.T) {
	defer goleak.VerifyNone(t)
	sc := shortScenario(t, 6, 3,
		`kind = "agents_restarted"; at_s = 1; for_s = 2; count = 1`,
		`kind = "agents_killed"; at_s = 4; for_s = 0.5; count = 1`,
		`kind = "crashed"; at_s = 1.5; for_s = 1; part = 0.2`,
		`kind = "vanished"; at_s = 2; for_s = 1; part = 0.2`,
		`kind = "partition"; at_s = 3; for_s = 0.5; zone = "cluj-est"`,
		`kind = "deploy"; at_s = 2; for_s = 2; part = 0.4; size = 0.2; drain_s = 0.5; same_address = 0.5`,
		`kind = "discovery_down"; at_s = 2.5; for_s = 1`,
		`kind = "watches_silent"; at_s = 0.5; for_s = 0.5`,
		`kind = "reset"; at_s = 0.5; for_s = 1; size = 0.05`,
		`kind = "forgotten"; at_s = 4; for_s = 1; idle_s = 0.05`,
		`kind = "few_connections"; at_s = 4.5; for_s = 1; part = 0.5; size = 0.01`,
		`kind = "spoilt"; at_s = 0.5; for_s = 1; part = 0.5; size = 0.1`,
		`kind = "datagrams_lost"; at_s = 1; for_s = 1; size = 0.5`,
		`kind = "agents_paused"; at_s = 1; for_s = 0.5; agents = [2]`,
		`kind = "agents_slowed"; at_s = 3; for_s = 1; agents = [2]; size = 0.7`,
		`kind = "datagrams"; at_s = 0.5; for_s = 4; from = [0]; loss = 0.2; double = 0.2; flip = 0.1; delay_ms = [0, 50]`,
		`kind = "streams"; at_s = 4; for_s = 0.5; agents = [1]; stream = "discovery"; fault = "silent"`,
		`kind = "streams"; at_s = 5; for_s = 0.3; agents = [1]; fault = "reset"`)
	r, err := Play(t.Context(), sc, Options{Seed: 3, Program: agentProgram})
	require.NoError(t, err)
	requireRulesKept(t, r)
	require.Equal(t, r.Live.Plan.Arrivals, r.Counts.FirstTries)
	require.Len(t, r.Faults, len(sc.Faults))
	faults := slices.DeleteFunc(slices.Clone(r.Timeline), func(m report.TimelineEntry) bool { return m.Lane != timeline.Faults })
	require.Len(t, faults, 2*len(sc.Faults), "each fault's beginning and end")
	for i, a := range r.Live.Measured.Agents {
		require.Empty(t, a.Problems)
		require.Positive(t, a.PeakMB)
		require.Positive(t, a.CPUS)
		require.Positive(t, a.Descriptors)
		if i == 0 {
			require.Equal(t, 3, a.Starts)
		}
	}
	require.Empty(t, processesRunning(agentProgram))
}

// Faults of the upstream responses, one after another, make no agent break a rule.
func TestUpstreamResponseFaultsBreakNoRule(t *testing.T) {
	var faults []string
	for i, f := range scenario.AnswerFaults {
		faults = append(faults, fmt.Sprintf(`kind = "on_wire"; at_s = %g; for_s = 0.3; part = 0.3; size = 0.2; fault = "%s"`,
			0.2+0.35*float64(i), f))
	}
	r, err := Play(t.Context(), shortScenario(t, 6, 2, faults...), Options{Seed: 5, Program: agentProgram})
	require.NoError(t, err)
	requireRulesKept(t, r)
	for _, a := range r.Live.Measured.Agents {
		require.Empty(t, a.Problems)
	}
}

// An agent that crashes is restarted and reported; one that hangs at the end is killed and reported.
func TestCrashedAndHungAgentsAreReported(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() {
		for ctx.Err() == nil {
			if ids := processesRunning(agentProgram); len(ids) == 2 {
				time.Sleep(time.Second) // gives the agents time to serve
				_ = syscall.Kill(ids[0], syscall.SIGABRT)
				_ = syscall.Kill(ids[1], syscall.SIGSTOP)
				return
			}
			time.Sleep(10 * time.Millisecond)
		}
	}()
	r, err := Play(ctx, shortScenario(t, 4, 2), Options{Seed: 1, Program: agentProgram})
	require.NoError(t, err)
	require.False(t, r.Passed)
	problems := fmt.Sprint(r.Live.Measured.Agents[0].Problems, r.Live.Measured.Agents[1].Problems)
	require.Contains(t, problems, "ended with")
	require.Contains(t, problems, "did not end within")
	require.Equal(t, 3, r.Live.Measured.Agents[0].Starts+r.Live.Measured.Agents[1].Starts)
	require.Empty(t, processesRunning(agentProgram))
}

// Play fails at once for a missing program, an agent that exits, or too many file descriptors.
func TestPlayReportsStartErrors(t *testing.T) {
	dir := t.TempDir()
	script := filepath.Join(dir, "agent")
	require.NoError(t, os.WriteFile(script, []byte("#!/bin/sh\necho the port is taken >&2\nexit 1\n"), 0o700))
	tooMany := shortScenario(t, 2, 2)
	tooMany.Agents.Sockets = 1_000_000
	for name, c := range map[string]struct {
		set     *scenario.Scenario
		program string
		want    string
	}{
		"no program":  {shortScenario(t, 2, 2), filepath.Join(dir, "none"), "the agent's program"},
		"ends":        {shortScenario(t, 2, 2), script, "ended before it was ready:\nthe port is taken"},
		"descriptors": {tooMany, agentProgram, "descriptors"},
		"agents":      {shortScenario(t, 2, 1000), agentProgram, "descriptors"},
	} {
		t.Run(name, func(t *testing.T) {
			defer goleak.VerifyNone(t)
			_, err := Play(t.Context(), c.set, Options{Program: c.program})
			require.ErrorContains(t, err, c.want)
		})
	}
}

// A canceled run returns the report of its finished part and leaves no process or socket.
func TestCanceledPlayReportsAndCleansUp(t *testing.T) {
	defer goleak.VerifyNone(t)
	for _, after := range []time.Duration{0, 50 * time.Millisecond, 1200 * time.Millisecond} {
		ctx, cancel := context.WithTimeoutCause(t.Context(), after, errors.New("broken off"))
		r, err := Play(ctx, shortScenario(t, 60, 2), Options{Program: agentProgram})
		cancel()
		require.Error(t, err)
		require.True(t, r.CutShort)
		require.False(t, r.Passed)
		require.Empty(t, processesRunning(agentProgram))
	}
}

// The plan is the same, byte for byte, for the same scenario and seed.
func TestPlanIsDeterministic(t *testing.T) {
	sc := shortScenario(t, 30, 3, `kind = "surge"; at_s = [1, 5]; for_s = 5; size = 3`)
	text := func(seed uint64) string {
		var b bytes.Buffer
		require.NoError(t, WritePlan(&b, world.NewPlan(sc, seed)))
		return b.String()
	}
	require.Equal(t, text(7), text(7))
	require.NotEqual(t, text(7), text(8))
	require.Greater(t, strings.Count(text(7), "\n"), 1000)
}

// BenchmarkSchedule measures how fast the due times of a load are drawn.
func BenchmarkSchedule(b *testing.B) {
	for b.Loop() {
		Schedule(1, 20_000, time.Second)
	}
	b.ReportMetric(20_000*float64(b.N)/b.Elapsed().Seconds(), "requests/s")
}
