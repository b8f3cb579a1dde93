package program

import (
	"bufio"
	"fmt"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const eventTimeout = 15 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv("PROGRAM_DIES") != "" {
		startChildrenAndPanic()
	}
	goleak.VerifyTestMain(m)
}

// shellAgent returns an agent whose program is a shell script.
func shellAgent(script string) *Agent {
	return &Agent{Name: "n0", Program: "/bin/sh", Args: []string{"-c", script}, Spawner: NewSpawner()}
}

func (a *Agent) begin(t *testing.T) *Process {
	t.Cleanup(func() {
		a.End(false)
		a.Spawner.Close()
	})
	p, err := a.Start("{}", "127.0.0.1:1", func(bool) {})
	require.NoError(t, err)
	return p
}

// cpuTimeAndState returns the processor time that a process has used, in seconds, and its state.
func cpuTimeAndState(p *Process) (seconds float64, state string) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Pid()))
	_, after, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(after)
	if len(fields) < 13 {
		return 0, "gone"
	}
	var user, system float64
	_, _ = fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return (user + system) / 100, fields[0]
}

// TestResumeMatchesEachPause: a paused process uses no processor time until it is resumed as often as it was paused.
func TestResumeMatchesEachPause(t *testing.T) {
	p := shellAgent("while :; do :; done").begin(t)
	p.Pause()
	p.Pause()
	require.True(t, p.WaitStopped())
	before, state := cpuTimeAndState(p)
	require.Equal(t, "T", state)
	p.Resume()
	time.Sleep(200 * time.Millisecond)
	after, _ := cpuTimeAndState(p)
	require.Equal(t, before, after)
	p.Resume()
	require.Eventually(t, func() bool { now, _ := cpuTimeAndState(p); return now > after }, eventTimeout, time.Millisecond)
	p.Pause()
	p.Kill()
	<-p.Ended()
	require.False(t, p.WaitStopped())
	p.Resume() // no effect: the process has ended
}

// TestSetCPUShareLimitsProcessorTime: a slowed process uses at most its share of the time and a margin, and is not stopped any
// more after the slowing.
func TestSetCPUShareLimitsProcessorTime(t *testing.T) {
	const share, slice = 0.2, 50 * time.Millisecond
	p := shellAgent("while :; do :; done").begin(t)
	p.SetCPUShare(0.9, slice) // replaced
	p.SetCPUShare(share, slice)
	before, _ := cpuTimeAndState(p)
	startedAt := time.Now()
	time.Sleep(time.Second)
	after, _ := cpuTimeAndState(p)
	elapsed := time.Since(startedAt).Seconds()
	require.Less(t, after-before, (share+0.2)*elapsed, "processor time used in %v s", elapsed)
	require.Eventually(t, func() bool { now, _ := cpuTimeAndState(p); return now > before }, eventTimeout, time.Millisecond)
	p.SetCPUShare(1, slice)
	_, state := cpuTimeAndState(p)
	require.NotEqual(t, "T", state)
}

// TestAgentEndsInOrderWhilePaused: End ends a paused agent in order, and Start waits for the end of a killed process.
func TestAgentEndsInOrderWhilePaused(t *testing.T) {
	a := shellAgent(`trap "exit 0" TERM; echo up >&2; while :; do sleep 0.01; done`)
	up := make(chan bool, 9)
	a.Log = func(_, line string) { up <- line == "up" }
	p := a.begin(t)
	require.True(t, <-up)
	p.Kill()
	q, err := a.Start("{}", "127.0.0.1:1", func(bool) {})
	require.NoError(t, err)
	require.NotEqual(t, p.Pid(), q.Pid())
	require.True(t, <-up)
	q.Pause()
	require.True(t, q.WaitStopped())
	a.End(true)
	require.Empty(t, a.TotalUsage().Problems)
	_, err = a.Start("{}", "127.0.0.1:1", func(bool) {})
	require.ErrorIs(t, err, errAgentEnded)
}

// startChildrenAndPanic starts a paused process and a running one, prints their ids, and panics.
func startChildrenAndPanic() {
	for i := range 2 {
		p, err := shellAgent("while :; do :; done").Start("{}", "x", func(bool) {})
		if err != nil {
			panic(err)
		}
		if i == 0 {
			p.Pause()
			p.WaitStopped()
		}
		fmt.Println(p.Pid())
	}
	panic("on purpose")
}

// TestChildrenEndWithKit: when the kit itself panics or is killed, the processes that it has started end, also paused
// ones. The test's kit panics.
func TestChildrenEndWithKit(t *testing.T) {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "PROGRAM_DIES=1")
	out, err := c.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, c.Start())
	var pids []int
	for lines := bufio.NewScanner(out); lines.Scan(); {
		var pid int
		if _, err := fmt.Sscan(lines.Text(), &pid); err == nil {
			pids = append(pids, pid)
		}
	}
	require.Error(t, c.Wait())
	require.Len(t, pids, 2)
	for _, pid := range pids {
		require.Eventually(t, func() bool { return syscall.Kill(pid, 0) == syscall.ESRCH || isZombie(pid) }, eventTimeout, time.Millisecond)
	}
}

// isZombie reports whether a process has ended but was not waited for. Its parent at that time is outside this test.
func isZombie(pid int) bool {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	return strings.Contains(string(text), ") Z ")
}
