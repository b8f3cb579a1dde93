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

// durability tells where voters of a test keep their log.
type durability bool

const (
	inMemory  durability = false
	inFolders durability = true
)

// newFleetLab is a lab whose agents take part in a fleet, of which the first three are voters.
func newFleetLab(t *testing.T, agents int, keeps durability) *lab.Lab {
	t.Helper()
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	folders := t.TempDir()
	return lab.Open(t, lab.Options{Agents: agents, Program: program, Ops: true, Seed: 7, Shape: func(c *lab.Config) {
		c.Operator = "[fleet]\non = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		if keeps == inFolders {
			folder := filepath.Join(folders, fmt.Sprint(c.Agent))
			require.NoError(t, os.MkdirAll(folder, 0o700))
			c.Operator += fmt.Sprintf("folder = %q\n", folder)
		}
	}})
}

// statusAt is what an agent says of the fleet; a zero one if it says nothing.
func statusAt(a *lab.Agent) (s fleetStatus) {
	resp, err := http.Get("http://" + a.Ops + "/ops/fleet/status")
	if err != nil {
		return s
	}
	defer func() { _ = resp.Body.Close() }()
	raw, _ := io.ReadAll(resp.Body)
	_ = json.Unmarshal(raw, &s)
	return s
}

// fleetCommand runs a fleet command at an agent's door.
func fleetCommand(t *testing.T, a *lab.Agent, args ...string) (string, error) {
	t.Helper()
	program, err := plainBinary()
	require.NoError(t, err)
	var out bytes.Buffer
	c := exec.CommandContext(t.Context(), program, append([]string{"fleet"}, args...)...)
	c.Env = append(os.Environ(), "LB_OPS="+a.Ops)
	c.Stdout, c.Stderr = &out, &out
	err = c.Run()
	return out.String(), err
}

func leader(l *lab.Lab) *lab.Agent {
	for _, a := range l.Agents() {
		if s := statusAt(a); s.Voter != nil && s.Voter.Phase == "leading" {
			return a
		}
	}
	return nil
}

func all(l *lab.Lab, is func(a *lab.Agent, s fleetStatus) bool) func() bool {
	return func() bool {
		for _, a := range l.Agents() {
			if !is(a, statusAt(a)) {
				return false
			}
		}
		return true
	}
}

func full(_ *lab.Agent, s fleetStatus) bool { return s.Standing == "full" }

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

// An endpoint that is taken out for the fleet gets nothing more at any agent once the command says so: also with
// three datagrams in ten lost, doubled and late, and with an agent that was down meanwhile, when it comes back.
func TestFleetCommand(t *testing.T) {
	l := newFleetLab(t, 5, inMemory)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", all(l, full)))
	l.Agent(4).Kill()
	_, err := l.Spoil(mishap.Fault{Way: mishap.Way{Loss: 0.3, Double: 0.2}})
	require.NoError(t, err)
	text, err := fleetCommand(t, l.Agent(3), "down", "s-0")
	require.NoError(t, err, text)
	require.Contains(t, text, "in force at all agents that hold a lease")
	require.NoError(t, l.Agent(4).Start(ctx))
	for _, a := range l.Agents() {
		require.True(t, isDown("s-0")(a, statusAt(a)), a.Name+" is ready and has it")
		for i := range 20 {
			_, body, askErr := a.Ask(ctx, "consult", fmt.Sprint("k", i))
			require.NoError(t, askErr)
			require.NotContains(t, body, "s-0")
		}
	}
	text, err = fleetCommand(t, l.Agent(4), "down", "s-unknown")
	require.Error(t, err)
	require.Contains(t, text, "no such upstream server was ever listed")
	text, err = fleetCommand(t, l.Agent(4), "up", "s-0")
	require.NoError(t, err, text)
	require.NoError(t, l.Wait(ctx, "s-0 is back", func() bool {
		_, body, askErr := l.Agent(0).Ask(ctx, "consult", fmt.Sprint(l.Now()))
		return askErr == nil && strings.Contains(body, "s-0")
	}))
	text, err = fleetCommand(t, l.Agent(1), "status")
	require.NoError(t, err)
	require.Contains(t, text, "server s-0")
	require.Empty(t, l.EndAll())
}

// The leader is killed, and then one that leads is paused: another one leads, and what was agreed stays. The one that
// was paused leads no more and has lost its lease when it goes on.
func TestFleetLeaderKilledAndPaused(t *testing.T) {
	l := newFleetLab(t, 5, inFolders)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", all(l, full)))
	text, err := fleetCommand(t, l.Agent(4), "down", "s-1")
	require.NoError(t, err, text)
	first := leader(l)
	require.NotNil(t, first)
	first.Kill()
	other := func(than *lab.Agent) func() bool {
		return func() bool { now := leader(l); return now != nil && now != than }
	}
	require.NoError(t, l.Wait(ctx, "another one leads", other(first)))
	require.NoError(t, first.Start(ctx))
	require.NoError(t, l.Wait(ctx, "leases again", all(l, full)))
	second := leader(l)
	logged := second.Logged()
	second.Pause()
	require.NoError(t, l.Wait(ctx, "a third one leads", func() bool {
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
	require.NoError(t, l.Wait(ctx, "it has lost its lease", func() bool {
		return second.SaidSince(logged, "fleet: lease lost") || second.SaidSince(logged, "this agent is no longer the leader")
	}))
	require.NoError(t, l.Wait(ctx, "all have both orders", all(l, func(a *lab.Agent, s fleetStatus) bool {
		return full(a, s) && isDown("s-0")(a, s) && isDown("s-1")(a, s)
	})))
	require.Empty(t, l.EndAll())
}

// statusUnlessPaused is statusAt, but for an agent that is paused and would not answer.
func statusUnlessPaused(_ context.Context, a, paused *lab.Agent) (s fleetStatus) {
	if a != paused {
		s = statusAt(a)
	}
	return s
}

// All agents are killed at once and started again: with folders nothing is lost; without, the log begins anew under a
// higher epoch, and all say so.
func TestFleetRestartAfterAllKilled(t *testing.T) {
	t.Parallel()
	for _, keeps := range []durability{inFolders, inMemory} {
		t.Run(fmt.Sprint("folders ", keeps), func(t *testing.T) {
			l := newFleetLab(t, 5, keeps)
			ctx := t.Context()
			require.NoError(t, l.StartAll(ctx))
			require.NoError(t, l.Wait(ctx, "leases", all(l, full)))
			text, err := fleetCommand(t, l.Agent(3), "down", "s-0")
			require.NoError(t, err, text)
			before := statusAt(l.Agent(3))
			for _, a := range l.Agents() {
				a.Kill()
			}
			require.NoError(t, l.StartAll(ctx))
			require.NoError(t, l.Wait(ctx, "leases again", all(l, func(a *lab.Agent, s fleetStatus) bool {
				return full(a, s) && (s.Epoch == before.Epoch) == (keeps == inFolders) && isDown("s-0")(a, s) == (keeps == inFolders)
			})))
			require.Empty(t, l.EndAll())
		})
	}
}

// One way between the leader and the others is cut, and a minority is cut off: nothing is agreed there, and what was
// agreed elsewhere holds everywhere once the network is whole.
func TestFleetPartition(t *testing.T) {
	l := newFleetLab(t, 6, inMemory)
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "leases", all(l, full)))
	led := leader(l)
	require.NotNil(t, led)
	heal, err := l.Spoil(mishap.Fault{From: []int{led.Number}, Way: mishap.Way{Cut: true}})
	require.NoError(t, err)
	require.NoError(t, l.Wait(ctx, "another one leads", func() bool {
		now := leader(l)
		return now != nil && now != led
	}))
	heal()
	require.NoError(t, l.Wait(ctx, "leases again", all(l, full)))
	apart := []int{0, 3}
	rest := []int{1, 2, 4, 5}
	for _, f := range []mishap.Fault{
		{From: apart, To: rest, Way: mishap.Way{Cut: true}},
		{From: rest, To: apart, Way: mishap.Way{Cut: true}},
	} {
		end, spoilErr := l.Spoil(f)
		require.NoError(t, spoilErr)
		defer end()
	}
	require.NoError(t, l.Wait(ctx, "the smaller part is on the floor", func() bool {
		return statusAt(l.Agent(0)).Standing == "floor" && statusAt(l.Agent(3)).Standing == "floor"
	}))
	text, err := fleetCommand(t, l.Agent(3), "down", "s-0")
	require.Error(t, err, text)
	text, err = fleetCommand(t, l.Agent(4), "down", "s-1")
	require.NoError(t, err, text)
	require.False(t, isDown("s-1")(l.Agent(3), statusAt(l.Agent(3))))
	require.True(t, l.Agent(3).Serves(ctx), "cut off from the fleet it serves")
	require.Empty(t, l.EndAll())
}

// Off, there is no call of the fleet's and no datagram of it.
func TestFleetOff(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.opsAddr = uniqueAddr(w.t) })
	resp, err := http.Get("http://" + w.opsAddr + "/ops/fleet/status")
	require.NoError(t, err)
	_ = resp.Body.Close()
	require.Equal(t, http.StatusNotFound, resp.StatusCode)
	require.NotContains(t, w.log.String(), "fleet")
}
