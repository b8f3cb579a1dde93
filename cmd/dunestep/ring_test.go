package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/standin"
)

// ringServerAt returns a server in an agent's latest generation; a zero one if it is not in it.
func ringServerAt(a *lab.Agent, id string) (s ringServer) {
	if r := statusAt(a).Ring; r != nil {
		for _, one := range r.Servers {
			if one.ID == id {
				return one
			}
		}
	}
	return s
}

// A server that joins gets its points in steps, the same at all agents. One that leaves and rejoins discovery's list
// repeatedly loses its keys once and gets none of them back while it does so, even when it is listed.
func TestRingServerJoinsAndFlaps(t *testing.T) {
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	l := lab.Open(t, lab.Options{
		Agents: 5, Servers: 4, Program: program, OperatorListener: true, Seed: 13, WaitTimeout: 3 * time.Minute,
		Configure: func(c *lab.Config) {
			c.OperatorFile = "[fleet]\non = true\npolicy = true\nplacement = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		},
	})
	ctx := t.Context()
	l.SetServerState(3, "left")
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "all agents use a generation", allAgents(l, func(a *lab.Agent, s fleetStatus) bool {
		return s.Ring != nil && s.Ring.Active > 0 && s.Ring.Active == statusAt(l.Agent(0)).Ring.Active
	})))
	full := ringServerAt(l.Agent(0), "s-0").Points
	require.Positive(t, full)
	l.SetServerState(3, "active")
	steps := map[int]bool{}
	require.NoError(t, l.Wait(ctx, "s-3 has all its points", func() bool {
		now := ringServerAt(l.Agent(4), "s-3").Points
		steps[now] = true
		return now >= full // on a busy machine polls miss some steps
	}))
	require.Greater(t, len(steps), 5, "the points grow in steps")
	keysServedByS3 := func(a *lab.Agent, keys []string) (sentToS3 []string) {
		for _, key := range keys {
			_, body, requestErr := a.Request(ctx, "consult", key)
			require.NoError(t, requestErr)
			if strings.Contains(body, "s-3") {
				sentToS3 = append(sentToS3, key)
			}
		}
		return sentToS3
	}
	var keys []string
	for i := range 60 {
		keys = append(keys, fmt.Sprint("k", i))
	}
	keysOfS3 := keysServedByS3(l.Agent(1), keys)
	require.NotEmpty(t, keysOfS3)
	withoutKeys := 0
	for range 3 {
		l.SetServerState(3, "left")
		require.NoError(t, l.Wait(ctx, "s-3 has no keys at any agent", allAgents(l, func(a *lab.Agent, s fleetStatus) bool {
			return s.Ring.Active == s.Ring.Generation && ringServerAt(a, "s-3").Points == 0
		})))
		l.SetServerState(3, "active")
		for _, a := range l.Agents() {
			sentToS3 := keysServedByS3(a, keysOfS3)
			if ringServerAt(a, "s-3").Points == 0 { // it has not rejoined meanwhile
				require.Empty(t, sentToS3, "s-3 gets no requests, although it is listed again")
				withoutKeys++
			}
		}
	}
	require.Positive(t, withoutKeys)
	t.Logf("grew in %d steps; without keys in %d of %d polls, up to generation %d", len(steps), withoutKeys, 3*len(l.Agents()),
		statusAt(l.Agent(0)).Ring.Generation)
	output, err := fleetCommand(t, l.Agent(2), "status")
	require.NoError(t, err, output)
	require.Contains(t, output, "s-3")
	require.Empty(t, l.EndAll())
}

// permissiveContracts allow all windows, also for requests without a tenant.
const permissiveContracts = "format = 1\n[contracts.east]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.25\n" +
	"[contracts.-]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.25\n[capacity]\nload = 0.2\n"

// A server drained by a window and a server outside any window both leave discovery's list. The ring drops only the
// latter. When the window is over, all agents send requests to the drained server again, also one that was cut off
// meanwhile and has received no update.
func TestRingDuringWindow(t *testing.T) {
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	settings := lab.DefaultSettings()
	settings.Tenants = []balancer.Tenant{{Name: "east", QuotaPerSecond: 1000, Share: 1}}
	r := &windowObserver{t: t}
	r.Lab = lab.Open(t, lab.Options{
		Agents: 5, Servers: 4, Program: program, OperatorListener: true, Seed: 17, Settings: settings,
		WaitTimeout: 3 * time.Minute, Respond: func(s lab.Attempt) standin.Reply {
			return standin.Reply{Status: http.StatusOK, Body: fmt.Sprint("s-", s.Server)}
		},
		Configure: func(c *lab.Config) { c.OperatorFile = shortFleetTimes + "placement = true\n" },
	})
	ctx := t.Context()
	require.NoError(t, r.StartAll(ctx))
	require.NoError(t, r.Wait(ctx, "leases", allAgents(r.Lab, hasFullStanding)))
	r.propose(permissiveContracts)
	allAgents := func(condition func(a *lab.Agent) bool) func() bool {
		return allAgents(r.Lab, func(a *lab.Agent, s fleetStatus) bool { return s.Ring != nil && s.Ring.Active > 0 && condition(a) })
	}
	require.NoError(t, r.Wait(ctx, "s-0 is whole at all agents", allAgents(func(a *lab.Agent) bool {
		return ringServerAt(a, "s-0").Phase == "whole"
	})))
	output, err := r.requestWindow(3, "w", "s-0", "+8s", "+32s", "--tenant", "-", "--pace", "1")
	require.NoError(t, err, output)
	w := r.awaitState(0, "w", "drained", "free")
	r.SetServerState(0, "left")
	r.SetServerState(1, "left")
	require.NoError(t, r.Wait(ctx, "the ring has dropped s-1", allAgents(func(a *lab.Agent) bool {
		return ringServerAt(a, "s-1").Points == 0
	})))
	heal := r.cutOff(4)
	defer heal()
	r.SetServerState(0, "active")
	require.Less(t, time.Now(), w.ReturnFrom, "the window must not be over yet")
	for _, a := range r.Agents() {
		require.Equal(t, "whole", ringServerAt(a, "s-0").Phase)
		require.Positive(t, ringServerAt(a, "s-0").Points)
	}
	require.NoError(t, r.Wait(ctx, "the window is over", func() bool { return time.Now().After(w.To.Add(time.Second)) }))
	for n, a := range r.Agents() {
		received := 0
		for i := range 60 {
			_, body, err := a.RequestForTenant(ctx, "east", "consult", fmt.Sprint("k", i))
			require.NoError(t, err)
			if body == "s-0" {
				received++
			}
		}
		require.Greater(t, received, 6, n)
	}
	require.Empty(t, r.EndAll())
}

// Servers of one machine kind answer more slowly than their capacity suggests. While two agents report it, new generations
// keep the capacities. Once a third agent reports it, that kind's capacity is reduced by 10 % at all agents. Long: runs only
// with LONG_TESTS.
func TestRingFollowsMeasuredPaces(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	l := lab.Open(t, lab.Options{
		Agents: 5, Servers: 5, Program: program, OperatorListener: true, Seed: 19, WaitTimeout: 3 * time.Minute,
		Kinds: []string{"rapid", "rapid", "lent", "lent", "lent"},
		Respond: func(s lab.Attempt) standin.Reply {
			if s.Server < 2 {
				time.Sleep(40 * time.Millisecond)
			}
			return standin.Reply{Status: http.StatusOK, Body: fmt.Sprint("s-", s.Server)}
		},
		Configure: func(c *lab.Config) {
			c.OperatorFile = "[fleet]\non = true\npolicy = true\nplacement = true\npaces = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		},
	})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	loading, end := context.WithCancel(ctx)
	var wait sync.WaitGroup
	t.Cleanup(func() { end(); wait.Wait() })
	startLoad := func(agents ...int) {
		for _, a := range agents {
			for c := range 4 {
				wait.Go(func() {
					for n := 0; loading.Err() == nil; n++ {
						_, _, _ = l.Agent(a).Request(loading, "consult", fmt.Sprint("k", c, "-", n%64))
						select {
						case <-time.After(10 * time.Millisecond):
						case <-loading.Done():
						}
					}
				})
			}
		}
	}
	reporters := func(agents int) func() bool {
		return func() bool {
			leading := leader(l)
			if leading == nil {
				return false
			}
			r := statusAt(leading).Ring
			return r != nil && r.PaceReporters == agents
		}
	}
	startLoad(0, 3)
	require.NoError(t, l.Wait(ctx, "two agents report", reporters(2)))
	before := statusAt(l.Agent(0)).Ring.Generation
	l.SetServerState(4, "left")
	require.NoError(t, l.Wait(ctx, "the next generation", allAgents(l, func(_ *lab.Agent, s fleetStatus) bool {
		return s.Ring.Generation > before && s.Ring.Active == s.Ring.Generation
	})))
	require.Empty(t, statusAt(l.Agent(0)).Ring.Paces)
	l.SetServerState(4, "active")
	startLoad(4)
	require.NoError(t, l.Wait(ctx, "the pace is agreed on", allAgents(l, func(_ *lab.Agent, s fleetStatus) bool { return len(s.Ring.Paces) > 0 })))
	require.Equal(t, map[string]float64{"rapid": 0.9}, statusAt(l.Agent(1)).Ring.Paces, "at most 10 % per step")
	output, err := fleetCommand(t, l.Agent(2), "status")
	require.NoError(t, err, output)
	require.Contains(t, output, "measured 0.90 of its capacity")
	end()
	require.Empty(t, l.EndAll())
}
