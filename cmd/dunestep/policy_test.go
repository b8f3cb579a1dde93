package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/policylog"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/standin"
)

// attemptCounter answers for endpoints: it rejects the first two attempts of a request unprocessed and serves the third.
// It counts the attempts of each request.
type attemptCounter struct {
	mu        sync.Mutex
	latestIDs map[int]string // id of each agent's latest request
	attempts  map[string]int // number of attempts of each request, by id
}

func (c *attemptCounter) answer(s lab.Attempt) standin.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := s.Request.Header.Get("X-Correlation-Id")
	c.latestIDs[s.Agent] = id
	if c.attempts[id]++; c.attempts[id] < 3 {
		return standin.Reply{Status: http.StatusServiceUnavailable, Headers: "X-Unprocessed: 1\r\n"}
	}
	return standin.Reply{Status: http.StatusOK, Body: "booked"}
}

// attemptsBy sends a request to an agent, and returns how many attempts the agent made; 0 if no endpoint received it.
func (c *attemptCounter) attemptsBy(ctx context.Context, t *testing.T, a *lab.Agent) int {
	t.Helper()
	before := a.Attempts()
	_, _, err := a.Request(ctx, "consult", fmt.Sprint("k", before))
	require.NoError(t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Attempts() == before {
		return 0
	}
	return c.attempts[c.latestIDs[a.Number]]
}

// newPolicyLab returns a lab whose agents apply policies, and the counter that answers for its endpoints.
func newPolicyLab(t *testing.T, agents int, configure func(*lab.Config)) (*lab.Lab, *attemptCounter) {
	t.Helper()
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	c := &attemptCounter{latestIDs: map[int]string{}, attempts: map[string]int{}}
	return lab.Open(t, lab.Options{
		Agents: agents, Servers: 4, Program: program, OperatorListener: true, Seed: 9, Respond: c.answer,
		Configure: func(c *lab.Config) {
			c.OperatorFile = "[fleet]\non = true\npolicy = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n[storm]\non = false\n"
			if configure != nil {
				configure(c)
			}
		},
	}), c
}

// attemptsDocument writes a policy document and returns its path. It limits the attempts of the class consult, if attempts
// is not 0, and ends with the floor's text.
func attemptsDocument(t *testing.T, attempts int, floor string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "policy.toml")
	text := "format = 1\n"
	if attempts > 0 {
		text += fmt.Sprintf("[classes.consult]\nattempts = %d\n", attempts)
	}
	text += floor
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Once the command reports a policy as taken, all agents apply it. An agent that was down meanwhile applies it before it
// reports that it is ready. A policy that one agent cannot apply is rejected with the reason. Going back to an earlier
// version creates a new version.
func TestPolicyAppliesAtAllAgentsOrNone(t *testing.T) {
	l, counter := newPolicyLab(t, 5, func(c *lab.Config) {
		if c.Agent == 3 { // its settings permit fewer attempts than those of the others
			c.ConfigFile["settings"].(map[string]any)["bounds"].(map[string]any)["sendCap"] = 2
		}
	})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
	output, err := fleetCommand(t, l.Agent(1), "policy", "propose", attemptsDocument(t, 3, ""))
	require.Error(t, err, output)
	require.Contains(t, output, "not taken")
	require.Contains(t, output, "the settings permit 2 attempts")
	require.Equal(t, 3, counter.attemptsBy(ctx, t, l.Agent(0)), "the rejected policy is not applied")

	l.Agent(4).Kill()
	_, err = l.InjectNetworkFault(mishap.Fault{Impairment: mishap.Impairment{Loss: 0.2, Duplicate: 0.2}})
	require.NoError(t, err)
	output, err = fleetCommand(t, l.Agent(2), "policy", "propose", attemptsDocument(t, 2, ""))
	require.NoError(t, err, output)
	require.Contains(t, output, "taken: version")
	for _, a := range l.Agents()[:4] {
		require.NoError(t, l.Wait(ctx, "policy applied by "+a.Name, func() bool { return counter.attemptsBy(ctx, t, a) == 2 }))
	}
	require.NoError(t, l.Agent(4).Start(ctx))
	require.Equal(t, 2, counter.attemptsBy(ctx, t, l.Agent(4)), "the policy applies from the first request after the start")
	var s policyState
	require.NoError(t, opsClient{l.Agent(0).OperatorAddr}.call(http.MethodGet, "/ops/fleet/policy", "", &s))
	limited := s.InForce.Number

	output, err = fleetCommand(t, l.Agent(4), "policy", "propose", attemptsDocument(t, 0, ""))
	require.NoError(t, err, output)
	require.NoError(t, l.Wait(ctx, "the limit of the settings applies", func() bool { return counter.attemptsBy(ctx, t, l.Agent(0)) == 3 }))
	output, err = fleetCommand(t, l.Agent(0), "policy", "back", fmt.Sprint(limited))
	require.NoError(t, err, output)
	require.NoError(t, l.Wait(ctx, "two attempts again", func() bool { return counter.attemptsBy(ctx, t, l.Agent(1)) == 2 }))
	output, err = fleetCommand(t, l.Agent(0), "policy", "history")
	require.NoError(t, err, output)
	require.Contains(t, output, "in force")
	output, err = fleetCommand(t, l.Agent(1), "policy", "show")
	require.NoError(t, err, output)
	require.Contains(t, output, "attempts = 2")
	require.Empty(t, l.EndAll())
}

// An agent that is cut off while a policy is agreed on applies the floor by itself, before the policy is in force
// anywhere, and the policy once it is connected again. It serves requests throughout.
func TestPolicyFloorWhileCutOff(t *testing.T) {
	const floor = "[floor]\nattempts = 1\n"
	l, counter := newPolicyLab(t, 5, nil)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
	output, err := fleetCommand(t, l.Agent(0), "policy", "propose", attemptsDocument(t, 3, floor))
	require.NoError(t, err, output)
	var ends []func()
	for _, fault := range []mishap.Fault{{From: []int{4}, Impairment: mishap.Impairment{Cut: true}}, {To: []int{4}, Impairment: mishap.Impairment{Cut: true}}} {
		end, faultErr := l.InjectNetworkFault(fault)
		require.NoError(t, faultErr)
		ends = append(ends, end)
	}
	output, err = fleetCommand(t, l.Agent(1), "policy", "propose", attemptsDocument(t, 2, floor))
	require.NoError(t, err, output)
	require.NoError(t, l.Wait(ctx, "the policy is in force", func() bool { return counter.attemptsBy(ctx, t, l.Agent(0)) == 2 }))
	require.Equal(t, 1, counter.attemptsBy(ctx, t, l.Agent(4)), "the floor applies instead of the replaced policy")
	for _, end := range ends {
		end()
	}
	require.NoError(t, l.Wait(ctx, "the policy is applied after the cut", func() bool { return counter.attemptsBy(ctx, t, l.Agent(4)) == 2 }))
	require.Empty(t, l.EndAll())
}

// Forty agents apply a policy that is agreed on while eight of them are down and 30 % of the datagrams are lost. The eight
// apply it after their start. Long: runs only with LONG_TESTS.
func TestPolicyWithFortyAgents(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	const agents = 40
	l, counter := newPolicyLab(t, agents, func(c *lab.Config) {
		c.OperatorFile = strings.Replace(c.OperatorFile, "[0, 1, 2]", "[0, 8, 16, 24, 32]", 1)
	})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
	_, err := l.InjectNetworkFault(mishap.Fault{Impairment: mishap.Impairment{Loss: 0.3, Duplicate: 0.1}})
	require.NoError(t, err)
	down := func(a *lab.Agent) bool { return a.Number%5 == 3 }
	for _, a := range l.Agents() {
		if down(a) {
			a.Kill()
		}
	}
	began := l.Now()
	output, err := fleetCommand(t, l.Agent(1), "policy", "propose", attemptsDocument(t, 2, ""))
	require.NoError(t, err, output)
	taken := l.Now() - began
	for _, a := range l.Agents() {
		if !down(a) {
			require.NoError(t, l.Wait(ctx, "policy applied by "+a.Name, func() bool { return counter.attemptsBy(ctx, t, a) == 2 }))
		}
	}
	applied := l.Now() - began
	for _, a := range l.Agents() {
		if down(a) {
			require.NoError(t, a.Start(ctx))
			require.NoError(t, l.Wait(ctx, "policy applied by "+a.Name, func() bool { return counter.attemptsBy(ctx, t, a) == 2 }))
		}
	}
	t.Logf("reported as in force after %v, observed at all %d running agents after %v", taken, agents*4/5, applied)
	require.Empty(t, l.EndAll())
}

// After SIGHUP has changed an agent's own settings, a local limit that is lower than the agreed one applies.
func TestReloadAppliesLowerLocalLimit(t *testing.T) {
	local := settings{}
	local.Settings.Limits.MaxAttempts = 3
	local.Settings.Classes = []balancer.Class{{Name: "consult"}}
	local.operator.Fleet.Policy = true
	local.operator.Overload.WastedFraction = 0.5
	require.InDelta(t, 0.5, local.localPolicySettings().MaxFailedRatio, 1e-9)
	log := policylog.New(policylog.Settings{Local: local.localPolicySettings(), Times: policy.Times{}.WithDefaults()}, fleet.ClockReading{})
	before := log.Active(fleet.ClockReading{}, lease.Full).Effect
	require.InDelta(t, 0.5, before.MaxFailedRatio, 1e-9)
	local.operator.Overload.WastedFraction = 0.3
	log.SetLocalSettings(local.localPolicySettings())
	require.InDelta(t, 0.3, log.Active(fleet.ClockReading{}, lease.Full).Effect.MaxFailedRatio, 1e-9)
}
