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

// tries counts the attempts of each agent's latest request, at endpoints that turn the first two away unheard
// and serve the third.
type attemptCounter struct {
	mu        sync.Mutex
	latestIDs map[int]string // ids, by agent
	attempts  map[string]int
}

func (c *attemptCounter) answer(s lab.Step) standin.Reply {
	c.mu.Lock()
	defer c.mu.Unlock()
	id := s.Request.Header.Get("X-Correlation-Id")
	c.latestIDs[s.Agent] = id
	if c.attempts[id]++; c.attempts[id] < 3 {
		return standin.Reply{Status: http.StatusServiceUnavailable, Headers: "X-Unprocessed: 1\r\n"}
	}
	return standin.Reply{Status: http.StatusOK, Body: "booked"}
}

// at is how many attempts an agent makes for a request that is rejected everywhere.
func (c *attemptCounter) attemptsBy(ctx context.Context, t *testing.T, a *lab.Agent) int {
	t.Helper()
	before := a.Steps()
	_, _, err := a.Ask(ctx, "consult", fmt.Sprint("k", before))
	require.NoError(t, err)
	c.mu.Lock()
	defer c.mu.Unlock()
	if a.Steps() == before {
		return 0
	}
	return c.attempts[c.latestIDs[a.Number]]
}

// policyLab is a fleet whose agents go by policies, before endpoints that turn all away.
func policyLab(t *testing.T, agents int, shape func(*lab.Config)) (*lab.Lab, *attemptCounter) {
	t.Helper()
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	c := &attemptCounter{latestIDs: map[int]string{}, attempts: map[string]int{}}
	return lab.Open(t, lab.Options{
		Agents: agents, Servers: 4, Program: program, Ops: true, Seed: 9, Answer: c.answer,
		Shape: func(c *lab.Config) {
			c.Operator = "[fleet]\non = true\npolicy = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n[storm]\non = false\n"
			if shape != nil {
				shape(c)
			}
		},
	}), c
}

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

// A policy holds at all agents once the command says so, also at the one that was down when it was made, before it says
// that it is ready; one that an agent can't use holds nowhere, with the reason; back is a new version.
func TestPolicyAppliesAtAllAgentsOrNone(t *testing.T) {
	l, tried := policyLab(t, 5, func(c *lab.Config) {
		if c.Agent == 3 { // its settings permit less than the others'
			c.File["settings"].(map[string]any)["bounds"].(map[string]any)["sendCap"] = 2
		}
	})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", all(l, full)))
	text, err := fleetCommand(t, l.Agent(1), "policy", "propose", attemptsDocument(t, 3, ""))
	require.Error(t, err, text)
	require.Contains(t, text, "not taken")
	require.Contains(t, text, "the settings permit 2 attempts")
	require.Equal(t, 3, tried.attemptsBy(ctx, t, l.Agent(0)), "nowhere")

	l.Agent(4).Kill()
	_, err = l.Spoil(mishap.Fault{Way: mishap.Way{Loss: 0.2, Double: 0.2}})
	require.NoError(t, err)
	text, err = fleetCommand(t, l.Agent(2), "policy", "propose", attemptsDocument(t, 2, ""))
	require.NoError(t, err, text)
	require.Contains(t, text, "taken: version")
	for _, a := range l.Agents()[:4] {
		require.NoError(t, l.Wait(ctx, "it holds at "+a.Name, func() bool { return tried.attemptsBy(ctx, t, a) == 2 }))
	}
	require.NoError(t, l.Agent(4).Start(ctx))
	require.Equal(t, 2, tried.attemptsBy(ctx, t, l.Agent(4)), "before it has said anything else")
	var s policyState
	require.NoError(t, opsClient{l.Agent(0).Ops}.call(http.MethodGet, "/ops/fleet/policy", "", &s))
	restrained := s.InForce.Number

	text, err = fleetCommand(t, l.Agent(4), "policy", "propose", attemptsDocument(t, 0, ""))
	require.NoError(t, err, text)
	require.NoError(t, l.Wait(ctx, "as the settings", func() bool { return tried.attemptsBy(ctx, t, l.Agent(0)) == 3 }))
	text, err = fleetCommand(t, l.Agent(0), "policy", "back", fmt.Sprint(restrained))
	require.NoError(t, err, text)
	require.NoError(t, l.Wait(ctx, "two attempts again", func() bool { return tried.attemptsBy(ctx, t, l.Agent(1)) == 2 }))
	text, err = fleetCommand(t, l.Agent(0), "policy", "history")
	require.NoError(t, err, text)
	require.Contains(t, text, "in force")
	text, err = fleetCommand(t, l.Agent(1), "policy", "show")
	require.NoError(t, err, text)
	require.Contains(t, text, "attempts = 2")
	require.Empty(t, l.EndAll())
}

// An agent that is cut off while a policy is made comes to the floor, by itself, before the policy holds anywhere, and
// to the policy once it is back; it serves all the while.
func TestPolicyFloorWhileCutOff(t *testing.T) {
	const floor = "[floor]\nattempts = 1\n"
	l, tried := policyLab(t, 5, nil)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", all(l, full)))
	text, err := fleetCommand(t, l.Agent(0), "policy", "propose", attemptsDocument(t, 3, floor))
	require.NoError(t, err, text)
	var ends []func()
	for _, f := range []mishap.Fault{{From: []int{4}, Way: mishap.Way{Cut: true}}, {To: []int{4}, Way: mishap.Way{Cut: true}}} {
		end, spoilErr := l.Spoil(f)
		require.NoError(t, spoilErr)
		ends = append(ends, end)
	}
	text, err = fleetCommand(t, l.Agent(1), "policy", "propose", attemptsDocument(t, 2, floor))
	require.NoError(t, err, text)
	require.NoError(t, l.Wait(ctx, "it holds", func() bool { return tried.attemptsBy(ctx, t, l.Agent(0)) == 2 }))
	require.Equal(t, 1, tried.attemptsBy(ctx, t, l.Agent(4)), "the floor, and not what was replaced")
	for _, end := range ends {
		end()
	}
	require.NoError(t, l.Wait(ctx, "it is back", func() bool { return tried.attemptsBy(ctx, t, l.Agent(4)) == 2 }))
	require.Empty(t, l.EndAll())
}

// Forty agents, eight of them down while a policy is made and three datagrams in ten lost: it holds at all that are
// there, and at the others when they come back. Long: LONG_TESTS.
func TestPolicyWithFortyAgents(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	const agents = 40
	l, tried := policyLab(t, agents, func(c *lab.Config) {
		c.Operator = strings.Replace(c.Operator, "[0, 1, 2]", "[0, 8, 16, 24, 32]", 1)
	})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", all(l, full)))
	_, err := l.Spoil(mishap.Fault{Way: mishap.Way{Loss: 0.3, Double: 0.1}})
	require.NoError(t, err)
	down := func(a *lab.Agent) bool { return a.Number%5 == 3 }
	for _, a := range l.Agents() {
		if down(a) {
			a.Kill()
		}
	}
	began := l.Now()
	text, err := fleetCommand(t, l.Agent(1), "policy", "propose", attemptsDocument(t, 2, ""))
	require.NoError(t, err, text)
	taken := l.Now() - began
	for _, a := range l.Agents() {
		if !down(a) {
			require.NoError(t, l.Wait(ctx, "it holds at "+a.Name, func() bool { return tried.attemptsBy(ctx, t, a) == 2 }))
		}
	}
	held := l.Now() - began
	for _, a := range l.Agents() {
		if down(a) {
			require.NoError(t, a.Start(ctx))
			require.NoError(t, l.Wait(ctx, "it holds at "+a.Name, func() bool { return tried.attemptsBy(ctx, t, a) == 2 }))
		}
	}
	t.Logf("taken and in force by its word after %v, seen at all %d that are there after %v", taken, agents*4/5, held)
	require.Empty(t, l.EndAll())
}

// What SIGHUP changes of an agent's own settings counts: a figure of its own that is lower than the agreed one stays.
func TestReloadAppliesLowerLocalLimit(t *testing.T) {
	own := settings{}
	own.Settings.Limits.MaxAttempts = 3
	own.Settings.Classes = []balancer.Class{{Name: "consult"}}
	own.operator.Fleet.Policy = true
	own.operator.Overload.WastedFraction = 0.5
	require.InDelta(t, 0.5, own.localPolicySettings().MaxFailedRatio, 1e-9)
	s := policylog.New(policylog.Settings{Local: own.localPolicySettings(), Times: policy.Times{}.WithDefaults()}, fleet.ClockReading{})
	before := s.Active(fleet.ClockReading{}, lease.Full).Effect
	require.InDelta(t, 0.5, before.MaxFailedRatio, 1e-9)
	own.operator.Overload.WastedFraction = 0.3
	s.SetLocalSettings(own.localPolicySettings())
	require.InDelta(t, 0.3, s.Active(fleet.ClockReading{}, lease.Full).Effect.MaxFailedRatio, 1e-9)
}
