package main

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/lab"
)

// With the fleet off, there is no fleet member: nothing is started, so that no timer runs and no datagram is sent. Its
// methods do nothing, and fleet calls at the operators' socket get a 404.
func TestFleetOffStartsNothing(t *testing.T) {
	p, err := newFleetMember(settings{}, nil)
	require.NoError(t, err)
	require.Nil(t, p)
	require.NoError(t, p.start(nil))
	require.Nil(t, p.policyEffect())
	require.True(t, p.isReady())
	p.reload(settings{})
	p.leave()
	status, body := (&manualControl{}).HandleFleetCall(t.Context(), protocol.OpsCall{Kind: protocol.OpsFleetStatus})
	require.Equal(t, 404, status)
	require.Empty(t, body)
}

// processUsage returns a process's processor time so far and its resident memory in MiB.
func processUsage(t *testing.T, pid int) (cpu time.Duration, resident float64) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	require.NoError(t, err)
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+2:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(t, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(t, err)
	pages, err := strconv.Atoi(fields[21])
	require.NoError(t, err)
	return time.Duration(user+system) * 10 * time.Millisecond, float64(pages) * 4 / 1024
}

// Measures latency and process usage with the fleet and policies on and off, alternately in two labs side by side. The test
// only logs its measurements, and is long: it runs only with LONG_TESTS.
func TestFleetCost(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	program, err := plainBinary()
	require.NoError(t, err)
	ctx := t.Context()
	open := func(operator string) *lab.Lab {
		l := lab.Open(t, lab.Options{Agents: 5, Program: program, OperatorListener: true, Seed: 2, Configure: func(c *lab.Config) {
			c.OperatorFile = operator
		}})
		require.NoError(t, l.StartAll(ctx))
		return l
	}
	labs := []*lab.Lab{open(""), open("[fleet]\non = true\npolicy = true\nvoters = [0, 1, 2]\n")}
	require.NoError(t, labs[1].Wait(ctx, "leases", allAgents(labs[1], hasFullStanding)))
	var latencies [2][]time.Duration
	var cpuBefore [2][2]time.Duration // of a voter and of another agent, before the idle period
	for i, l := range labs {
		for j, a := range []*lab.Agent{l.Agent(0), l.Agent(4)} {
			cpuBefore[i][j], _ = processUsage(t, a.Pid())
		}
	}
	time.Sleep(10 * time.Second) // the measured idle period, not a wait for an event
	for i, l := range labs {
		for j, a := range []*lab.Agent{l.Agent(0), l.Agent(4)} {
			cpu, resident := processUsage(t, a.Pid())
			t.Logf("fleet on %t, voter %t: %.2f%% of a processor when idle, %.1f MB", i == 1, j == 0,
				(cpu-cpuBefore[i][j]).Seconds()*10, resident)
		}
	}
	for turn := range 200 {
		l := labs[turn%2]
		for n := range 100 {
			began := time.Now()
			status, _, err := l.Agent(n%5).Request(ctx, "consult", fmt.Sprint(turn, n))
			require.NoError(t, err)
			require.Equal(t, 200, status)
			latencies[turn%2] = append(latencies[turn%2], time.Since(began))
		}
	}
	for i, all := range latencies {
		slices.Sort(all)
		t.Logf("fleet on %t: %d requests, median %v, 99th percentile %v", i == 1, len(all), all[len(all)/2], all[len(all)*99/100])
	}
}
