package lab

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/timeline"
	"dunestep/internal/standin/program"
)

var agentProgram string

func TestMain(m *testing.M) {
	if agentProgram = os.Getenv("LAB_DIES"); agentProgram != "" {
		runLabThatDies()
	}
	dir, err := os.MkdirTemp("", "lab")
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
	if err := goleak.Find(); err != nil && code == 0 {
		fmt.Fprintln(os.Stderr, err)
		code = 1
	}
	os.Exit(code)
}

// processesRunning returns the /proc/PID/exe links of the processes that run a program.
func processesRunning(path string) (links []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/exe")
	for _, link := range all {
		if exe, err := os.Readlink(link); err == nil && exe == path {
			links = append(links, link)
		}
	}
	return links
}

func hasExited(pid int) bool { return errors.Is(syscall.Kill(pid, 0), syscall.ESRCH) }

const fiveAgentsScenario = `schema = 1
name = "five"
floor = 0
seed = 11
day = {length_s = 5}
load = {per_s = 1}
agents = {count = 5}
fleet = {servers = 2}
kind = [{name = "rapid", share = 1, cores = 2, speed = 1}]
class = [{name = "consult", share = 1, work_ms = 50, aim_ms = 500, deadline_ms = 1000, worth = 1, effect = "safe"}]
trouble = [
  {kind = "datagrams", at_s = 0, for_s = 2.5, loss = 0.3, double = 0.3, delay_ms = [0, 200], flip = 0.05},
  {kind = "datagrams", at_s = 0.2, for_s = 2, from = [0], to = [1, 2], cut = true},
  {kind = "agents_paused", at_s = 0.3, for_s = 1.5, agents = [1]},
  {kind = "agents_killed", at_s = 0.5, for_s = 0.5, agents = [2], folder = "empty"},
  {kind = "agents_restarted", at_s = 0.4, for_s = 0.5, agents = [3]},
  {kind = "agents_slowed", at_s = 0.1, for_s = 2, agents = [4], size = 0.3},
  {kind = "streams", at_s = 0.6, for_s = 1, agents = [0], stream = "discovery", fault = "silent"},
]
`

// After a script with every supported kind of fault, all five agents serve, and the lab leaves no process or folder.
func TestScriptLeavesAllAgentsServing(t *testing.T) {
	sc, err := scenario.Parse("five.toml", []byte(fiveAgentsScenario))
	require.NoError(t, err)
	l := Open(t, Options{Agents: sc.Agents.Count, Program: agentProgram, Seed: sc.Seed, OperatorListener: true})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	var pids []int
	for _, a := range l.Agents() {
		require.NoError(t, os.WriteFile(filepath.Join(a.TempDir, "mine"), nil, 0o600))
		pids = append(pids, a.Pid())
	}
	stop := make(chan struct{})
	sendersDone := make(chan struct{})
	go func() { // gives the agents traffic to gossip about
		defer close(sendersDone)
		for n := 0; ; n++ {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
				_, _, _ = l.Agent(n%5).Request(short, "consult", fmt.Sprint(n))
				cancel()
			}
		}
	}()
	require.NoError(t, l.Play(ctx, sc.Faults))
	end, err := l.InjectNetworkFault(mishap.Fault{From: []int{0, 1}, Impairment: mishap.Impairment{Cut: true}})
	require.NoError(t, err)
	before := l.NetworkCounts().Cut
	require.NoError(t, l.Wait(ctx, "a datagram of n0 or n1 is dropped", func() bool { return l.NetworkCounts().Cut > before }))
	end()
	close(stop)
	<-sendersDone
	for i, a := range l.Agents() {
		require.NoError(t, a.Start(ctx))
		require.NoError(t, l.Wait(ctx, a.Name+" serves", func() bool { return a.Serves(ctx) }))
		restarted := i == 2 || i == 3
		require.Equal(t, restarted, a.Pid() != pids[i])
		require.Equal(t, restarted, hasExited(pids[i]))
		_, err := os.Stat(filepath.Join(a.TempDir, "mine"))
		require.Equal(t, i == 2, os.IsNotExist(err), "only n2's folder is emptied")
		require.NoError(t, l.Wait(ctx, a.Name+" watches", func() bool { return a.Watches() == 1 }))
		require.NotEmpty(t, a.OperatorAddr)
	}
	f := l.NetworkCounts()
	require.Equal(t, f.Sent-f.Cut-f.Lost+f.Duplicated, f.Copies)
	text := l.String()
	for _, want := range []string{
		"datagrams from [0] to [1 2]: cut", "over: datagrams from [0] to", "n1   paused", "n1   resumed",
		"n2   killed", "n3   drain requested", "n4   CPU share set to 0.3", "n0   streams to discovery: silent", "run 2 starts",
	} {
		require.Contains(t, text, want)
	}
	require.Empty(t, l.EndAll())
	l.Close()
	require.Empty(t, processesRunning(agentProgram))
	require.NoDirExists(t, l.folder)
}

// Options.Configure sets program, environment and files for each agent and run, and SetServerState changes the endpoint list.
func TestConfigurePerAgentAndRun(t *testing.T) {
	other := filepath.Join(t.TempDir(), "older")
	raw, err := os.ReadFile(agentProgram)
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(other, raw, 0o700))
	folder := t.TempDir()
	serving := func(line string) (lane, text string) {
		if strings.Contains(line, "msg=serving") {
			return "views", "serves"
		}
		return "", ""
	}
	l := Open(t, Options{Agents: 2, Program: agentProgram, Lanes: serving, Configure: func(c *Config) {
		if c.Agent == 1 {
			c.Env = append(c.Env, fmt.Sprint("LAB_RUN=", c.Run))
			c.OperatorFile, c.TempDir = "[storm]\non = false\n", folder
			if c.Run == 1 {
				c.Program = other
			}
		}
	}})
	ctx := t.Context()
	a := l.Agent(1)
	for run, program := range []string{other, agentProgram} {
		require.NoError(t, a.Start(ctx))
		require.Equal(t, []string{fmt.Sprintf("/proc/%d/exe", a.Pid())}, processesRunning(program))
		environ, err := os.ReadFile(fmt.Sprintf("/proc/%d/environ", a.Pid()))
		require.NoError(t, err)
		require.Contains(t, string(environ), fmt.Sprint("LAB_RUN=", run+1))
		require.Contains(t, string(environ), "TMPDIR="+folder)
		a.Kill()
	}
	require.Zero(t, l.Agent(0).Pid(), "the agent was never started")
	require.NoError(t, a.Start(ctx))
	require.NoError(t, l.Wait(ctx, "it watches", func() bool { return a.Watches() == 1 }))
	l.SetServerState(0, "left")
	require.NoError(t, l.Wait(ctx, "only s-1 serves", func() bool {
		_, body, err := a.Request(ctx, "consult", "")
		return err == nil && body == "booked by s-1\n"
	}))
	steps := a.Attempts()
	require.True(t, a.Serves(ctx))
	require.Greater(t, a.Attempts(), steps)
	entries, _ := l.Timeline.Entries()
	require.Equal(t, []string{timeline.Faults, Processes, "views"}, timeline.Lanes(entries))
	require.Equal(t, 3, strings.Count(l.String(), "views      n1   serves"))
}

// Errors name a missing program, a bad configuration, a condition that is not met and an unsupported kind of fault.
func TestErrorsNameTheCause(t *testing.T) {
	_, err := New(Options{Agents: 1, Program: "none"})
	require.ErrorContains(t, err, "the agent's program")
	_, err = New(Options{Program: agentProgram})
	require.ErrorContains(t, err, "0 agents; at least 1 is needed")
	l := Open(t, Options{
		Agents: 1, Program: agentProgram,
		Configure: func(c *Config) { c.OperatorFile = "[storm]\non = 7\n" },
	})
	ctx := t.Context()
	err = l.StartAll(ctx)
	require.ErrorContains(t, err, "n0 is not ready: it ended before it was ready")
	require.ErrorContains(t, err, "storm.on", "the error includes the last log lines")
	require.True(t, l.Agent(0).LogContains("storm.on"))
	require.False(t, l.Agent(0).LogContainsSince(l.Agent(0).LogLines(), "storm.on"))
	short, cancel := context.WithTimeout(ctx, 50*time.Millisecond)
	defer cancel()
	require.ErrorContains(t, l.Wait(short, "never true", func() bool { return false }), "condition not met: never true")
	faultSpec := scenario.FaultSpec{Kind: scenario.Surge, At: scenario.ExactTime(0), For: scenario.ExactTime(time.Second), Size: scenario.ExactSpan(2)}
	require.ErrorContains(t, l.Play(ctx, []scenario.FaultSpec{faultSpec}), `trouble[0]: kind "surge" needs a scenario run`)
	faultSpec.Kind = scenario.Datagrams
	require.ErrorContains(t, l.Play(ctx, []scenario.FaultSpec{faultSpec}), "trouble[0].size: means nothing for datagrams")
	_, err = l.InjectNetworkFault(mishap.Fault{From: []int{1}})
	require.ErrorContains(t, err, "no agent 1 of 1")
}

// A script whose context is canceled ends its faults and launches stopped agents again.
func TestCanceledScriptEndsItsFaults(t *testing.T) {
	l := Open(t, Options{Agents: 2, Program: agentProgram})
	ctx, cancel := context.WithCancel(t.Context())
	require.NoError(t, l.StartAll(ctx))
	hour := scenario.ExactTime(time.Hour)
	done := make(chan error, 1)
	go func() {
		done <- l.Play(ctx, []scenario.FaultSpec{
			{Kind: scenario.AgentsKilled, For: hour, Agents: []int{0}},
			{Kind: scenario.AgentsPaused, For: scenario.ExactTime(scenario.LongestPause), Agents: []int{1}},
			{Kind: scenario.Datagrams, For: hour, Cut: true},
			{Kind: scenario.Datagrams, At: hour, For: hour, Loss: scenario.ExactSpan(1)},
		})
	}()
	require.NoError(t, l.Wait(ctx, "all faults are active", func() bool {
		entries, _ := l.Timeline.Entries()
		faults := 0
		for _, m := range entries {
			if m.Lane == timeline.Faults {
				faults++
			}
		}
		return faults == 3
	}))
	cancel()
	require.ErrorIs(t, <-done, context.Canceled)
	require.NoError(t, l.StartAll(t.Context()))
	require.True(t, l.Agent(1).Serves(t.Context()), "the agent is resumed")
	before := l.NetworkCounts().Cut
	l.network.BeginFault(mishap.Fault{}) // a fault without effect
	require.Equal(t, before, l.NetworkCounts().Cut)
}

// runLabThatDies opens a lab with two agents, one paused and one slowed, and then panics or waits to be killed.
func runLabThatDies() {
	l, err := New(Options{Agents: 2, Program: agentProgram})
	if err == nil {
		err = l.StartAll(context.Background())
	}
	if err != nil {
		panic(err)
	}
	l.Agent(0).Pause()
	l.Agent(1).SetCPUShare(0.1)
	fmt.Println(l.Agent(0).Pid(), l.Agent(1).Pid(), l.folder)
	if os.Getenv("LAB_PANICS") != "" {
		panic("simulated crash of the lab")
	}
	select {}
}

// If the process that runs the lab panics or is killed, its agents end too, also paused ones.
func TestAgentsEndWithTheLabProcess(t *testing.T) {
	for _, panics := range []string{"", "yes"} {
		c := exec.Command(os.Args[0])
		c.Env = append(os.Environ(), "LAB_DIES="+agentProgram, "LAB_PANICS="+panics)
		out, err := c.StdoutPipe()
		require.NoError(t, err)
		require.NoError(t, c.Start())
		t.Cleanup(func() { _ = c.Process.Kill() })
		var pids [2]int
		var folder string
		line, err := bufio.NewReader(out).ReadString('\n')
		require.NoError(t, err)
		_, err = fmt.Sscan(line, &pids[0], &pids[1], &folder)
		require.NoError(t, err)
		if panics == "" {
			_ = c.Process.Kill()
		}
		require.Error(t, c.Wait())
		for _, pid := range pids {
			require.Eventually(t, func() bool {
				state, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
				return hasExited(pid) || strings.Contains(string(state), ") Z ") // a zombie that its parent has not reaped
			}, 15*time.Second, 5*time.Millisecond)
		}
		require.NoError(t, os.RemoveAll(folder))
	}
}

// BenchmarkFleet measures the time until all agents are ready, the network's throughput while they serve requests with
// half of the datagrams delayed, and how late the lab itself delivers those.
func BenchmarkFleet(b *testing.B) {
	for _, agents := range []int{5, 25, 100, 300} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) {
			for b.Loop() {
				l := Open(b, Options{Agents: agents, Program: agentProgram})
				began := time.Now()
				require.NoError(b, l.StartAll(b.Context()))
				b.ReportMetric(time.Since(began).Seconds(), "s-until-ready")
				_, err := l.InjectNetworkFault(mishap.Fault{Impairment: mishap.Impairment{Reorder: 0.5, HoldTime: scenario.ExactTime(50 * time.Millisecond)}})
				require.NoError(b, err)
				before, began := l.NetworkCounts().Datagrams, time.Now()
				served := 0
				for n := 0; time.Since(began) < 5*time.Second; n++ {
					if l.Agent(n % agents).Serves(b.Context()) {
						served++
					}
				}
				took, f := time.Since(began).Seconds(), l.NetworkCounts()
				b.ReportMetric(float64(served)/took, "served/s")
				b.ReportMetric(float64(f.Datagrams-before)/took, "datagrams/s")
				b.ReportMetric(float64(f.Lateness.ValueAtQuantile(50)), "late-p50-us")
				b.ReportMetric(float64(f.Lateness.ValueAtQuantile(99)), "late-p99-us")
				l.Close()
			}
		})
	}
}
