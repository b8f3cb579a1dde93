package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/rehearsal/mishap"
)

// durability is where the voters of a test store their log.
type durability bool

const (
	inMemory  durability = false
	inFolders durability = true
)

// newFleetLab returns a lab whose agents form a fleet. The first three agents are voters.
func newFleetLab(t *testing.T, agents int, stores durability) *lab.Lab {
	t.Helper()
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	folders := t.TempDir()
	return lab.Open(t, lab.Options{Agents: agents, Program: program, OperatorListener: true, Seed: 7, Configure: func(c *lab.Config) {
		c.OperatorFile = "[fleet]\non = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		if stores == inFolders {
			folder := filepath.Join(folders, fmt.Sprint(c.Agent))
			require.NoError(t, os.MkdirAll(folder, 0o700))
			c.OperatorFile += fmt.Sprintf("folder = %q\n", folder)
		}
	}})
}

// statusAt returns the fleet status that an agent reports, or a zero status if it does not respond.
func statusAt(a *lab.Agent) (s fleetStatus) {
	resp, err := http.Get("http://" + a.OperatorAddr + "/ops/fleet/status")
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(raw, &s)
	return s
}

// fleetCommand runs a fleet command at an agent's operators' socket. It returns the output and the exit error.
func fleetCommand(t *testing.T, a *lab.Agent, args ...string) (string, error) {
	t.Helper()
	program, err := plainBinary()
	require.NoError(t, err)
	var out bytes.Buffer
	c := exec.CommandContext(t.Context(), program, append([]string{"fleet"}, args...)...)
	c.Env = append(os.Environ(), "LB_OPS="+a.OperatorAddr)
	c.Stdout, c.Stderr = &out, &out
	err = c.Run()
	return out.String(), err
}

// leader returns an agent that reports that it is the leader, or nil.
func leader(l *lab.Lab) *lab.Agent {
	for _, a := range l.Agents() {
		if s := statusAt(a); s.Voter != nil && s.Voter.Phase == "leading" {
			return a
		}
	}
	return nil
}

// allAgents returns a function that reports whether condition returns true for every agent and its status.
func allAgents(l *lab.Lab, condition func(a *lab.Agent, s fleetStatus) bool) func() bool {
	return func() bool {
		for _, a := range l.Agents() {
			if !condition(a, statusAt(a)) {
				return false
			}
		}
		return true
	}
}

// hasFullStanding reports whether an agent has full standing: it holds a lease.
func hasFullStanding(_ *lab.Agent, s fleetStatus) bool { return s.Standing == "full" }

// isDown returns a function that reports whether an agent's status has the endpoint taken down.
func isDown(id string) func(*lab.Agent, fleetStatus) bool {
	return func(_ *lab.Agent, s fleetStatus) bool {
		for _, o := range s.Commands {
			if o.Endpoint == id {
				return o.Down
			}
		}
		return false
	}
}

// Once the command that takes an endpoint down has returned, no agent sends requests to it. This includes an agent that did
// not run meanwhile, once it has restarted. Of the datagrams, 30 % are lost and 20 % duplicated.
func TestFleetCommand(t *testing.T) {
	l := newFleetLab(t, 5, inMemory)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
	l.Agent(4).Kill()
	_, err := l.InjectNetworkFault(mishap.Fault{Impairment: mishap.Impairment{Loss: 0.3, Duplicate: 0.2}})
	require.NoError(t, err)
	text, err := fleetCommand(t, l.Agent(3), "down", "s-0")
	require.NoError(t, err, text)
	require.Contains(t, text, "in force at all agents that hold a lease")
	require.NoError(t, l.Agent(4).Start(ctx))
	for _, a := range l.Agents() {
		require.True(t, isDown("s-0")(a, statusAt(a)), a.Name+" is ready and has the command")
		for i := range 20 {
			_, body, requestErr := a.Request(ctx, "consult", fmt.Sprint("k", i))
			require.NoError(t, requestErr)
			require.NotContains(t, body, "s-0")
		}
	}
	text, err = fleetCommand(t, l.Agent(4), "down", "s-unknown")
	require.Error(t, err)
	require.Contains(t, text, "no such booking server was ever listed")
	text, err = fleetCommand(t, l.Agent(4), "up", "s-0")
	require.NoError(t, err, text)
	require.NoError(t, l.Wait(ctx, "s-0 gets requests again", func() bool {
		_, body, requestErr := l.Agent(0).Request(ctx, "consult", fmt.Sprint(l.Now()))
		return requestErr == nil && strings.Contains(body, "s-0")
	}))
	text, err = fleetCommand(t, l.Agent(1), "status")
	require.NoError(t, err)
	require.Contains(t, text, "server s-0")
	require.Empty(t, l.EndAll())
}

// The leader is killed, and later the new leader is paused. Each time another voter becomes the leader, and committed
// commands stay in force. The paused agent no longer leads and has lost its lease when it continues.
func TestFleetLeaderKilledAndPaused(t *testing.T) {
	l := newFleetLab(t, 5, inFolders)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
	text, err := fleetCommand(t, l.Agent(4), "down", "s-1")
	require.NoError(t, err, text)
	first := leader(l)
	require.NotNil(t, first)
	first.Kill()
	anotherLeads := func(than *lab.Agent) func() bool {
		return func() bool { now := leader(l); return now != nil && now != than }
	}
	require.NoError(t, l.Wait(ctx, "another agent leads", anotherLeads(first)))
	require.NoError(t, first.Start(ctx))
	require.NoError(t, l.Wait(ctx, "leases again", allAgents(l, hasFullStanding)))
	second := leader(l)
	logged := second.LogLines()
	second.Pause()
	require.NoError(t, l.Wait(ctx, "a third agent leads", func() bool {
		for _, a := range l.Agents()[:3] {
			if s := statusUnlessPaused(ctx, a, second); s.Voter != nil && s.Voter.Phase == "leading" {
				return true
			}
		}
		return false
	}))
	text, err = fleetCommand(t, l.Agent(3), "down", "s-0")
	require.NoError(t, err, text)
	second.Resume()
	require.NoError(t, l.Wait(ctx, "the paused agent has lost its lease", func() bool {
		return second.LogContainsSince(logged, "fleet: lease lost") || second.LogContainsSince(logged, "this agent is no longer the leader")
	}))
	require.NoError(t, l.Wait(ctx, "all agents have both commands", allAgents(l, func(a *lab.Agent, s fleetStatus) bool {
		return hasFullStanding(a, s) && isDown("s-0")(a, s) && isDown("s-1")(a, s)
	})))
	require.Empty(t, l.EndAll())
}

// statusUnlessPaused is statusAt, with a zero status for the paused agent, which would not respond.
func statusUnlessPaused(_ context.Context, a, paused *lab.Agent) (s fleetStatus) {
	if a != paused {
		s = statusAt(a)
	}
	return s
}

// All agents are killed at once and restarted. With folders, the log and its commands are kept. Without, a new log begins
// in another epoch, and the commands are lost.
func TestFleetRestartAfterAllKilled(t *testing.T) {
	t.Parallel()
	for _, stores := range []durability{inFolders, inMemory} {
		t.Run(fmt.Sprint("folders ", stores), func(t *testing.T) {
			l := newFleetLab(t, 5, stores)
			ctx := t.Context()
			require.NoError(t, l.StartAll(ctx))
			require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
			text, err := fleetCommand(t, l.Agent(3), "down", "s-0")
			require.NoError(t, err, text)
			before := statusAt(l.Agent(3))
			for _, a := range l.Agents() {
				a.Kill()
			}
			require.NoError(t, l.StartAll(ctx))
			require.NoError(t, l.Wait(ctx, "leases again", allAgents(l, func(a *lab.Agent, s fleetStatus) bool {
				return hasFullStanding(a, s) && (s.Epoch == before.Epoch) == (stores == inFolders) && isDown("s-0")(a, s) == (stores == inFolders)
			})))
			require.Empty(t, l.EndAll())
		})
	}
}

// First the datagrams from the leader are lost: another agent leads. Then a minority is partitioned: it has the floor
// standing, commands fail there, it does not apply the majority's commands, and it still serves requests.
func TestFleetPartition(t *testing.T) {
	l := newFleetLab(t, 6, inMemory)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", allAgents(l, hasFullStanding)))
	first := leader(l)
	require.NotNil(t, first)
	heal, err := l.InjectNetworkFault(mishap.Fault{From: []int{first.Number}, Impairment: mishap.Impairment{Cut: true}})
	require.NoError(t, err)
	require.NoError(t, l.Wait(ctx, "another agent leads", func() bool {
		now := leader(l)
		return now != nil && now != first
	}))
	heal()
	require.NoError(t, l.Wait(ctx, "leases again", allAgents(l, hasFullStanding)))
	minority := []int{0, 3}
	majority := []int{1, 2, 4, 5}
	for _, f := range []mishap.Fault{
		{From: minority, To: majority, Impairment: mishap.Impairment{Cut: true}},
		{From: majority, To: minority, Impairment: mishap.Impairment{Cut: true}},
	} {
		endFault, faultErr := l.InjectNetworkFault(f)
		require.NoError(t, faultErr)
		defer endFault()
	}
	require.NoError(t, l.Wait(ctx, "the minority has the floor standing", func() bool {
		return statusAt(l.Agent(0)).Standing == "floor" && statusAt(l.Agent(3)).Standing == "floor"
	}))
	text, err := fleetCommand(t, l.Agent(3), "down", "s-0")
	require.Error(t, err, text)
	text, err = fleetCommand(t, l.Agent(4), "down", "s-1")
	require.NoError(t, err, text)
	require.False(t, isDown("s-1")(l.Agent(3), statusAt(l.Agent(3))))
	require.True(t, l.Agent(3).Serves(ctx), "serves requests without the fleet")
	require.Empty(t, l.EndAll())
}

// With the fleet off, the operators' socket has no fleet calls and the log does not mention the fleet.
func TestFleetOff(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.opsAddr = uniqueAddr(w.t) })
	resp, err := http.Get("http://" + w.opsAddr + "/ops/fleet/status")
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	require.NotContains(t, w.log.String(), "fleet")
}
