package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/standin"
)

// slowStartFleet is a fleet whose clients request keys that one endpoint owns. It records the attempts at the endpoints.
type slowStartFleet struct {
	*lab.Lab
	t *testing.T

	mu       sync.Mutex
	attempts map[int][]time.Time // arrival times, by endpoint
}

const restartedServer = 3 // number of the endpoint that restarts

func newSlowStartFleet(t *testing.T, agents int) *slowStartFleet {
	program, err := plainBinary()
	require.NoError(t, err)
	f := &slowStartFleet{t: t, attempts: map[int][]time.Time{}}
	f.Lab = lab.Open(t, lab.Options{
		Agents: agents, Servers: 4, Program: program, Seed: 21,
		Respond: func(s lab.Attempt) standin.Reply {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.attempts[s.Server] = append(f.attempts[s.Server], time.Now())
			return standin.Reply{Status: http.StatusOK, Body: "booked"}
		},
	})
	return f
}

// attemptCount returns how many attempts restartedServer has received.
func (f *slowStartFleet) attemptCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.attempts[restartedServer])
}

// findOwnedKeys returns n keys that restartedServer owns.
func (f *slowStartFleet) findOwnedKeys(n int) (owned []string) {
	for len(owned) < n {
		key, before := fmt.Sprintf("%x", rand.Uint64()), f.attemptCount()
		status, _, err := f.Agent(0).Request(f.t.Context(), "consult", key)
		require.NoError(f.t, err)
		if status == http.StatusOK && f.attemptCount() > before {
			owned = append(owned, key)
		}
	}
	return owned
}

// sendLoad sends perS requests a second to every agent at even intervals until the test ends. keys returns a request's key.
func (f *slowStartFleet) sendLoad(perS int, keys func() string) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	f.t.Cleanup(func() { cancel(); wait.Wait() })
	for _, a := range f.Agents() {
		wait.Go(func() {
			ticker := time.NewTicker(time.Second / time.Duration(perS))
			defer ticker.Stop()
			for {
				select {
				case <-ticker.C:
					wait.Go(func() { _, _, _ = a.Request(ctx, "consult", keys()) }) // requests to agents that do not run fail
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

// An endpoint has just restarted and owns the keys of all requests to 24 agents. Half of the agents have just restarted, too,
// and have not measured their request rate yet. The endpoint gets some requests, and fewer from all agents together than
// would overload it.
func TestSlowStartServerUnderFleetLoad(t *testing.T) {
	t.Parallel()
	const agents, perS, capacity = 24, 8, 60.0 // requests a second: of each agent's clients; that a warm server serves
	f := newSlowStartFleet(t, agents)
	ctx := t.Context()
	require.NoError(t, f.StartAll(ctx))
	ownedKeys := f.findOwnedKeys(12)
	var mu sync.Mutex
	useOwnedKeys := false
	f.sendLoad(perS, func() string {
		mu.Lock()
		defer mu.Unlock()
		if useOwnedKeys {
			return ownedKeys[rand.IntN(len(ownedKeys))]
		}
		return fmt.Sprintf("%x", rand.Uint64())
	})
	before := f.attemptCount()
	require.NoError(t, f.Wait(ctx, "the agents have measured the request rate", func() bool { return f.attemptCount() > before+2*agents*perS/4 }))
	for _, a := range f.Agents()[:agents/2] {
		a.Kill()
	}
	require.NoError(t, f.StartAll(ctx))
	require.NoError(t, f.Wait(ctx, "all agents watch", func() bool {
		for _, a := range f.Agents() {
			if a.Watches() == 0 {
				return false
			}
		}
		return true
	}))
	f.SetServerRestarted(restartedServer)
	const updateDelay = 200 * time.Millisecond
	updatedAt := time.Now()
	require.NoError(t, f.Wait(ctx, "the update is applied", func() bool { return time.Since(updatedAt) > updateDelay }))
	mu.Lock()
	useOwnedKeys = true
	mu.Unlock()
	from, before := time.Now(), f.attemptCount()
	require.NoError(t, f.Wait(ctx, "two slow start windows have passed", func() bool { return time.Since(from) > 2*slowStartWindow }))
	f.mu.Lock()
	defer f.mu.Unlock()
	count := maxInWindow(f.attempts[restartedServer], from.Add(slowStartWindow), slowStartWindow)
	t.Logf("at most %d attempts in %v, limit %.0f", count, slowStartWindow, slowStartLimit(capacity))
	require.Greater(t, len(f.attempts[restartedServer]), before, "the restarted server gets requests")
	require.Less(t, float64(count), slowStartLimit(capacity))
}

// serialDiscovery is a discovery service that processes one call at a time and rejects calls when its queue is full.
type serialDiscovery struct {
	callDuration time.Duration // for each call
	maxQueue     int           // maximum number of calls in progress or waiting
	mu           sync.Mutex
	queued       int
	working      sync.Mutex // held by the call in progress
}

// answer processes an agent's call, after the calls before it.
func (d *serialDiscovery) answer(a *lab.Agent, c *standin.Call) {
	d.mu.Lock()
	d.queued++
	full := d.queued > d.maxQueue
	if full {
		d.queued--
	}
	d.mu.Unlock()
	if full {
		c.WriteStatus(http.StatusServiceUnavailable)
		c.End()
		return
	}
	d.working.Lock()
	time.Sleep(d.callDuration) // processing of the call
	d.working.Unlock()
	a.SendEndpointList(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued--
}

// Twenty agents, whose settings have a fleet of 300, start at once without an endpoint list. Discovery processes one call at
// a time, each in 100 ms, and rejects calls beyond a queue of six. 90 % of the agents are ready within 10 s, all within 30 s.
func TestAgentsStartWithSlowDiscovery(t *testing.T) {
	t.Parallel()
	const agents, fleet, mostWithin, allWithin = 20, 300, 10 * time.Second, 30 * time.Second
	program, err := plainBinary()
	require.NoError(t, err)
	d := &serialDiscovery{callDuration: 100 * time.Millisecond, maxQueue: 6}
	var l *lab.Lab
	l = lab.Open(t, lab.Options{
		Agents: agents, Servers: 2, Program: program, Seed: 22,
		HandleDiscovery: func(agent int, c *standin.Call) bool {
			go d.answer(l.Agent(agent), c)
			return true
		},
		Configure: func(c *lab.Config) {
			c.ConfigFile["known"] = object{"version": 0, "full": true, "servers": []object{}}
			c.ConfigFile["settings"].(map[string]any)["balancers"] = fleet
		},
	})
	began := time.Now()
	readyAfter := make([]time.Duration, agents)
	var wait sync.WaitGroup
	for n, a := range l.Agents() {
		wait.Go(func() {
			assert.NoError(t, a.Start(t.Context())) //nolint:testifylint // require may not be called from another goroutine
			readyAfter[n] = time.Since(began)
		})
	}
	wait.Wait()
	lateCount := 0
	for _, elapsed := range readyAfter {
		if elapsed > mostWithin {
			lateCount++
		}
		require.Less(t, elapsed, allWithin)
	}
	t.Log("ready after", readyAfter)
	require.LessOrEqual(t, lateCount, agents/10)
}
