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

// ringServerAt is a server in the generation that an agent knows.
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

// A server that joins gets its points bit by bit, the same at all agents; one that comes and goes in discovery's list
// loses its keys once, and gets none of them while it does, though the list has it.
func TestRingServerJoinsAndFlaps(t *testing.T) {
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	l := lab.Open(t, lab.Options{
		Agents: 5, Servers: 4, Program: program, Ops: true, Seed: 13, Patience: 3 * time.Minute,
		Shape: func(c *lab.Config) {
			c.Operator = "[fleet]\non = true\npolicy = true\nplacement = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		},
	})
	ctx := t.Context()
	l.List(3, "left")
	require.NoError(t, l.StartAll(ctx))
	require.NoError(t, l.Wait(ctx, "all place by a generation", all(l, func(a *lab.Agent, s fleetStatus) bool {
		return s.Ring != nil && s.Ring.Active > 0 && s.Ring.Active == statusAt(l.Agent(0)).Ring.Active
	})))
	full := ringServerAt(l.Agent(0), "s-0").Points
	require.Positive(t, full)
	l.List(3, "active")
	grown := map[int]bool{}
	require.NoError(t, l.Wait(ctx, "it grows", func() bool {
		now := ringServerAt(l.Agent(4), "s-3").Points
		grown[now] = true
		return now >= full // a busy machine's looks miss some
	}))
	require.Greater(t, len(grown), 5, "bit by bit")
	asked := func(a *lab.Agent, keys []string) (there []string) {
		for _, key := range keys {
			_, body, askErr := a.Ask(ctx, "consult", key)
			require.NoError(t, askErr)
			if strings.Contains(body, "s-3") {
				there = append(there, key)
			}
		}
		return there
	}
	var keys []string
	for i := range 60 {
		keys = append(keys, fmt.Sprint("k", i))
	}
	its := asked(l.Agent(1), keys)
	require.NotEmpty(t, its)
	held := 0
	for range 3 {
		l.List(3, "left")
		require.NoError(t, l.Wait(ctx, "it has no keys anywhere", all(l, func(a *lab.Agent, s fleetStatus) bool {
			return s.Ring.Active == s.Ring.Generation && ringServerAt(a, "s-3").Points == 0
		})))
		l.List(3, "active")
		for _, a := range l.Agents() {
			there := asked(a, its)
			if ringServerAt(a, "s-3").Points == 0 { // it was not back meanwhile
				require.Empty(t, there, "it is listed again")
				held++
			}
		}
	}
	require.Positive(t, held)
	t.Logf("grew in %d steps; held off at %d of %d looks, by generation %d", len(grown), held, 3*len(l.Agents()),
		statusAt(l.Agent(0)).Ring.Generation)
	text, err := fleetCommand(t, l.Agent(2), "status")
	require.NoError(t, err, text)
	require.Contains(t, text, "s-3")
	require.Empty(t, l.EndAll())
}

// permissiveContracts allow all windows, of requests of no tenant too.
const permissiveContracts = "format = 1\n[contracts.east]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.25\n" +
	"[contracts.-]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.25\n[capacity]\nload = 0.2\n"

// A server that a window has emptied is out of discovery's list, as is one in no window: the ring goes without that
// one, and the other stays as it is. An agent that was cut off meanwhile, and has heard of nothing since, sends there
// again when the window is over, as all others do.
func TestRingDuringWindow(t *testing.T) {
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	set := lab.Deployment()
	set.Tenants = []balancer.Tenant{{Name: "east", QuotaPerSecond: 1000, Share: 1}}
	r := &windowObserver{t: t}
	r.Lab = lab.Open(t, lab.Options{
		Agents: 5, Servers: 4, Program: program, Ops: true, Seed: 17, Settings: set,
		Patience: 3 * time.Minute, Answer: func(s lab.Step) standin.Reply {
			return standin.Reply{Status: http.StatusOK, Body: fmt.Sprint("s-", s.Server)}
		},
		Shape: func(c *lab.Config) { c.Operator = shortTerms + "placement = true\n" },
	})
	ctx := t.Context()
	require.NoError(t, r.StartAll(ctx))
	require.NoError(t, r.Wait(ctx, "leases", all(r.Lab, full)))
	r.propose(permissiveContracts)
	by := func(is func(a *lab.Agent) bool) func() bool {
		return all(r.Lab, func(a *lab.Agent, s fleetStatus) bool { return s.Ring != nil && s.Ring.Active > 0 && is(a) })
	}
	require.NoError(t, r.Wait(ctx, "all are whole", by(func(a *lab.Agent) bool {
		return ringServerAt(a, "s-0").Phase == "whole"
	})))
	text, err := r.requestWindow(3, "w", "s-0", "+8s", "+32s", "--tenant", "-", "--pace", "1")
	require.NoError(t, err, text)
	w := r.awaitState(0, "w", "drained", "free")
	r.List(0, "left")
	r.List(1, "left")
	require.NoError(t, r.Wait(ctx, "the ring goes without the other", by(func(a *lab.Agent) bool {
		return ringServerAt(a, "s-1").Points == 0
	})))
	heal := r.cutOff(4)
	defer heal()
	r.List(0, "active")
	require.Less(t, time.Now(), w.ReturnFrom, "too late to tell anything")
	for _, a := range r.Agents() {
		require.Equal(t, "whole", ringServerAt(a, "s-0").Phase)
		require.Positive(t, ringServerAt(a, "s-0").Points)
	}
	require.NoError(t, r.Wait(ctx, "the window is over", func() bool { return time.Now().After(w.To.Add(time.Second)) }))
	for n, a := range r.Agents() {
		came := 0
		for i := range 60 {
			_, body, err := a.AskFor(ctx, "east", "consult", fmt.Sprint("k", i))
			require.NoError(t, err)
			if body == "s-0" {
				came++
			}
		}
		require.Greater(t, came, 6, n)
	}
	require.Empty(t, r.EndAll())
}

// Servers of one kind answer more slowly than their capacity says. While two agents tell so nothing changes, though
// generations go on; when a third does the kinds' points differ by a tenth, at all agents. Long: LONG_TESTS.
func TestRingFollowsMeasuredPaces(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	l := lab.Open(t, lab.Options{
		Agents: 5, Servers: 5, Program: program, Ops: true, Seed: 19, Patience: 3 * time.Minute,
		Kinds: []string{"rapid", "rapid", "lent", "lent", "lent"},
		Answer: func(s lab.Step) standin.Reply {
			if s.Server < 2 {
				time.Sleep(40 * time.Millisecond)
			}
			return standin.Reply{Status: http.StatusOK, Body: fmt.Sprint("s-", s.Server)}
		},
		Shape: func(c *lab.Config) {
			c.Operator = "[fleet]\non = true\npolicy = true\nplacement = true\npaces = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
		},
	})
	ctx := t.Context()
	require.NoError(t, l.StartAll(ctx))
	loading, end := context.WithCancel(ctx)
	var wait sync.WaitGroup
	t.Cleanup(func() { end(); wait.Wait() })
	loads := func(agents ...int) {
		for _, a := range agents {
			for c := range 4 {
				wait.Go(func() {
					for n := 0; loading.Err() == nil; n++ {
						_, _, _ = l.Agent(a).Ask(loading, "consult", fmt.Sprint("k", c, "-", n%64))
						select {
						case <-time.After(10 * time.Millisecond):
						case <-loading.Done():
						}
					}
				})
			}
		}
	}
	tell := func(agents int) func() bool {
		return func() bool {
			led := leader(l)
			if led == nil {
				return false
			}
			r := statusAt(led).Ring
			return r != nil && r.PaceReporters == agents
		}
	}
	loads(0, 3)
	require.NoError(t, l.Wait(ctx, "two tell", tell(2)))
	was := statusAt(l.Agent(0)).Ring.Generation
	l.List(4, "left")
	require.NoError(t, l.Wait(ctx, "another generation", all(l, func(_ *lab.Agent, s fleetStatus) bool {
		return s.Ring.Generation > was && s.Ring.Active == s.Ring.Generation
	})))
	require.Empty(t, statusAt(l.Agent(0)).Ring.Paces)
	l.List(4, "active")
	loads(4)
	require.NoError(t, l.Wait(ctx, "it is agreed", all(l, func(_ *lab.Agent, s fleetStatus) bool { return len(s.Ring.Paces) > 0 })))
	require.Equal(t, map[string]float64{"rapid": 0.9}, statusAt(l.Agent(1)).Ring.Paces, "no more at once")
	text, err := fleetCommand(t, l.Agent(2), "status")
	require.NoError(t, err, text)
	require.Contains(t, text, "measured 0.90 of its capacity")
	end()
	require.Empty(t, l.EndAll())
}
