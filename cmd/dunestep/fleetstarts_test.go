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

// slowStartFleet is a fleet whose agents are asked for what one endpoint owns, and what came there.
type slowStartFleet struct {
	*lab.Lab
	t *testing.T

	mu       sync.Mutex
	attempts map[int][]time.Time // attempts, by endpoint
}

const restartedServer = 3 // the endpoint that starts again

func newSlowStartFleet(t *testing.T, agents int) *slowStartFleet {
	program, err := plainBinary()
	require.NoError(t, err)
	f := &slowStartFleet{t: t, attempts: map[int][]time.Time{}}
	f.Lab = lab.Open(t, lab.Options{
		Agents: agents, Servers: 4, Program: program, Seed: 21,
		Answer: func(s lab.Step) standin.Reply {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.attempts[s.Server] = append(f.attempts[s.Server], time.Now())
			return standin.Reply{Status: http.StatusOK, Body: "booked"}
		},
	})
	return f
}

// count is how many attempts the server got that starts again.
func (f *slowStartFleet) attemptCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.attempts[restartedServer])
}

// findOwnedKeys finds keys that the endpoint owns which starts again.
func (f *slowStartFleet) findOwnedKeys(n int) (own []string) {
	for len(own) < n {
		key, had := fmt.Sprintf("%x", rand.Uint64()), f.attemptCount()
		status, _, err := f.Agent(0).Ask(f.t.Context(), "consult", key)
		require.NoError(f.t, err)
		if status == http.StatusOK && f.attemptCount() > had {
			own = append(own, key)
		}
	}
	return own
}

// load has every agent asked at an even pace for one of the keys, until the test ends.
func (f *slowStartFleet) sendLoad(perS int, keys func() string) {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	f.t.Cleanup(func() { cancel(); wait.Wait() })
	for _, a := range f.Agents() {
		wait.Go(func() {
			beat := time.NewTicker(time.Second / time.Duration(perS))
			defer beat.Stop()
			for {
				select {
				case <-beat.C:
					wait.Go(func() { _, _, _ = a.Ask(ctx, "consult", keys()) }) // some agents are down meanwhile
				case <-ctx.Done():
					return
				}
			}
		})
	}
}

// Twenty-four agents have all that they are asked for owned by an endpoint that has just started. Half of them have
// started just then, too, and know nothing of how much comes: what all of them send there together is less than it falls
// over from, and it gets some.
func TestSlowStartServerUnderFleetLoad(t *testing.T) {
	t.Parallel()
	const agents, perS, capacity = 24, 8, 60.0 // requests a second: of each agent, and what a warm server would do
	f := newSlowStartFleet(t, agents)
	ctx := t.Context()
	require.NoError(t, f.StartAll(ctx))
	own := f.findOwnedKeys(12)
	var mu sync.Mutex
	hot := false
	f.sendLoad(perS, func() string {
		mu.Lock()
		defer mu.Unlock()
		if hot {
			return own[rand.IntN(len(own))]
		}
		return fmt.Sprintf("%x", rand.Uint64())
	})
	had := f.attemptCount()
	require.NoError(t, f.Wait(ctx, "its pace is known", func() bool { return f.attemptCount() > had+2*agents*perS/4 }))
	for _, a := range f.Agents()[:agents/2] {
		a.Kill()
	}
	require.NoError(t, f.StartAll(ctx))
	require.NoError(t, f.Wait(ctx, "all watch", func() bool {
		for _, a := range f.Agents() {
			if a.Watches() == 0 {
				return false
			}
		}
		return true
	}))
	f.Restarted(restartedServer)
	const takenIn = 200 * time.Millisecond
	told := time.Now()
	require.NoError(t, f.Wait(ctx, "it is taken in", func() bool { return time.Since(told) > takenIn }))
	mu.Lock()
	hot = true
	mu.Unlock()
	from, had := time.Now(), f.attemptCount()
	require.NoError(t, f.Wait(ctx, "the windows are over", func() bool { return time.Since(from) > 2*slowStartWindow }))
	f.mu.Lock()
	defer f.mu.Unlock()
	most := maxInWindow(f.attempts[restartedServer], from.Add(slowStartWindow), slowStartWindow)
	t.Logf("%d in its fullest %v, %.0f at most", most, slowStartWindow, slowStartLimit(capacity))
	require.Greater(t, len(f.attempts[restartedServer]), had, "it gets some")
	require.Less(t, float64(most), slowStartLimit(capacity))
}

// turns is discovery that works through calls one after the other, and refuses those that would wait too long.
type serialDiscovery struct {
	callDuration time.Duration // for one call
	maxQueue     int           // that wait
	mu           sync.Mutex
	queued       int
	working      sync.Mutex // held by the call that is worked at
}

// answer works through an agent's call in its turn.
func (d *serialDiscovery) answer(a *lab.Agent, c *standin.Call) {
	d.mu.Lock()
	d.queued++
	full := d.queued > d.maxQueue
	if full {
		d.queued--
	}
	d.mu.Unlock()
	if full {
		c.Begin(http.StatusServiceUnavailable)
		c.End()
		return
	}
	d.working.Lock()
	time.Sleep(d.callDuration) // its work
	d.working.Unlock()
	a.Tell(c)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.queued--
}

// Twenty agents of a fleet of three hundred start at once and know no list, before a discovery that takes 100 ms for a
// call, one at a time, and refuses all but six: nine in ten are ready within ten seconds, and all within thirty.
func TestAgentsStartWithSlowDiscovery(t *testing.T) {
	t.Parallel()
	const agents, fleet, most, last = 20, 300, 10 * time.Second, 30 * time.Second
	program, err := plainBinary()
	require.NoError(t, err)
	d := &serialDiscovery{callDuration: 100 * time.Millisecond, maxQueue: 6}
	var l *lab.Lab
	l = lab.Open(t, lab.Options{
		Agents: agents, Servers: 2, Program: program, Seed: 22,
		Call: func(agent int, c *standin.Call) bool {
			go d.answer(l.Agent(agent), c)
			return true
		},
		Shape: func(c *lab.Config) {
			c.File["known"] = object{"version": 0, "full": true, "servers": []object{}}
			c.File["settings"].(map[string]any)["balancers"] = fleet
		},
	})
	began := time.Now()
	took := make([]time.Duration, agents)
	var wait sync.WaitGroup
	for n, a := range l.Agents() {
		wait.Go(func() {
			assert.NoError(t, a.Start(t.Context())) //nolint:testifylint // require may not be called from another goroutine
			took[n] = time.Since(began)
		})
	}
	wait.Wait()
	late := 0
	for _, one := range took {
		if one > most {
			late++
		}
		require.Less(t, one, last)
	}
	t.Log("ready after", took)
	require.LessOrEqual(t, late, agents/10)
}
