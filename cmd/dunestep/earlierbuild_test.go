package main

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/lab"
)

// beforeRenaming is the last commit before most identifiers were renamed. Each of the two builds must be able to read the
// data that the other one writes.
const beforeRenaming = "3bec2d9"

// buildOfCommit builds the program of an earlier commit and returns its path. Without a git repository that has the commit,
// the test is skipped.
func buildOfCommit(t *testing.T, commit string) (path string) {
	t.Helper()
	tree := t.TempDir()
	for _, c := range []string{
		"git -C ../.. archive " + commit + " | tar -x -C " + tree,
		"cd " + tree + " && go build -o earlier ./cmd/dunestep",
	} {
		if out, err := exec.CommandContext(t.Context(), "sh", "-c", c).CombinedOutput(); err != nil {
			t.Skipf("the earlier commit cannot be built: %v: %s", err, out)
		}
	}
	return filepath.Join(tree, "earlier")
}

// Upgrades from the earlier build to this one and back under load lose and reject no request and execute no booking twice,
// and an endpoint that an operator disabled stays disabled. The test is long and needs a git repository: it runs only with
// LONG_TESTS.
func TestUpgradeFromEarlierBuildAndBack(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	earlier := buildOfCommit(t, beforeRenaming)
	w := start(t, 3, withOpsSocket, (*testbed).useLongTimeouts, func(w *testbed) { w.program = earlier })
	l := w.startLoad(8)
	w.waitUntil("load", func() bool { return l.served.Load() > 50 })
	w.requireOpsOK("POST", "/ops/booking-servers/down", "s-0")
	current, program := w, ""
	for range 2 {
		next := current.nextProcess()
		next.program = program
		next.launch()
		next.awaitReady()
		require.Zero(t, current.stop(), current.log.String())
		current, program = next, earlier
		attemptsBefore := len(w.servers[0].attempts())
		goal := l.served.Load() + 100
		w.waitUntil("100 more requests are served", func() bool { return l.served.Load() > goal })
		require.Len(t, w.servers[0].attempts(), attemptsBefore, "a disabled endpoint gets no attempts")
		require.Equal(t, 1, current.stats().Ejected)
	}
	l.finish()
	l.requireNoFailures(t)
	w.requireNoneRanTwice()
	require.Zero(t, current.stop())
}

// This build restores a state folder that the earlier build has written, and vice versa. The test is long and needs a git
// repository: it runs only with LONG_TESTS.
func TestStateOfEarlierBuildAndBack(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	earlier := buildOfCommit(t, beforeRenaming)
	w := newTestbed(t, 3)
	path := w.enableState("")
	w.answerAll(answerSlowly)
	w.servers[0].setAnswer(func(upstreamAttempt) string { return silence })
	w.program = earlier
	w.start()
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	w.discovery.sendLine(listJSON(77, false, w.servers[1].listEntry("active")))
	w.sendLoad(2 * time.Second)
	w.waitUntil("ejected", func() bool { return strings.Contains(w.log.String(), "down s-0") })
	require.Zero(t, w.stop())
	for program, restored := range map[string]string{"": `msg="state restored"`, earlier: `msg="state taken over"`} {
		w.program = program
		w.relaunch()
		w.waitUntil("restored", func() bool { return strings.Contains(w.log.String(), restored) })
		w.waitUntil("watch from the restored version", func() bool {
			calls := w.discovery.callTargets()
			return strings.HasSuffix(calls[len(calls)-1], "from=77")
		})
		require.Equal(t, 200, w.send("consult").status)
		require.Zero(t, w.stop())
		f := newestState(t, path)
		require.Equal(t, int64(77), f.List.Version)
		require.True(t, f.Balancer.Servers[0].Outlier.Ejected)
	}
}

// This build reads the voters' folders that the earlier build has written, and vice versa: committed commands stay in force
// and the log's epoch stays the same. The test is long and needs a git repository: it runs only with LONG_TESTS.
func TestVoterFoldersOfEarlierBuildAndBack(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	t.Parallel()
	earlier := buildOfCommit(t, beforeRenaming)
	program, err := plainBinary()
	require.NoError(t, err)
	folders := t.TempDir()
	l := lab.Open(t, lab.Options{Agents: 4, Program: program, OperatorListener: true, Seed: 7, Configure: func(c *lab.Config) {
		if c.Run%2 == 1 {
			c.Program = earlier
		}
		folder := filepath.Join(folders, fmt.Sprint(c.Agent))
		require.NoError(t, os.MkdirAll(folder, 0o700))
		c.OperatorFile = "[fleet]\non = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n" +
			fmt.Sprintf("folder = %q\n", folder)
	}})
	ctx := t.Context()
	isDisabled := isDown("s-0")
	isEnabled := func(a *lab.Agent, s fleetStatus) bool { return hasFullStanding(a, s) && !isDisabled(a, s) }
	runs := []struct { // of the earlier build, this one, the earlier one
		inForce func(*lab.Agent, fleetStatus) bool
		command string
	}{{hasFullStanding, "down"}, {isDisabled, "up"}, {isEnabled, "down"}}
	epoch := uint64(0)
	for i, run := range runs {
		require.NoError(t, l.StartAll(ctx))
		require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
		require.NoError(t, l.Wait(ctx, "the previous run's commands are in force", allAgents(l, run.inForce)))
		status := statusAt(l.Agent(3))
		if i > 0 {
			require.Equal(t, epoch, status.Epoch, "the log has the same epoch")
		}
		epoch = status.Epoch
		text, err := fleetCommand(t, l.Agent(3), run.command, "s-0")
		require.NoError(t, err, text)
		for _, a := range l.Agents() {
			a.Kill()
		}
	}
	require.Empty(t, l.EndAll())
}
