package main

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/scenario"
)

// ringObserver polls a fleet with ring assignment for violations: an agent in full mode may not use a generation more than
// one behind the newest that any agent has used before, and a generation must have the same points at all agents.
type ringObserver struct {
	*lab.Lab
	t            *testing.T
	mu           sync.Mutex
	newestActive uint64                    // newest generation that an agent has used
	points       map[uint64]map[string]int // points by server, of each generation
	pollCount    int
	violations   []string
}

// ringPollInterval is the pause between two polls of an agent.
const ringPollInterval = 100 * time.Millisecond

func newRingObserver(t *testing.T, options lab.Options, listed int) *ringObserver {
	t.Helper()
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	r := &ringObserver{t: t, points: map[uint64]map[string]int{}}
	options.Program, options.OperatorListener, options.Seed, options.WaitTimeout = program, true, 17, 3*time.Minute
	options.Configure = func(c *lab.Config) {
		c.OperatorFile = "[fleet]\non = true\npolicy = true\nplacement = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
	}
	r.Lab = lab.Open(t, options)
	for n := listed; n < options.Servers; n++ {
		r.SetServerState(n, "left")
	}
	require.NoError(t, r.StartAll(t.Context()))
	require.NoError(t, r.Wait(t.Context(), "all agents use a generation", allAgents(r.Lab, func(_ *lab.Agent, s fleetStatus) bool {
		return s.Ring != nil && s.Ring.Active > 0
	})))
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	t.Cleanup(func() { cancel(); wait.Wait() })
	for _, a := range r.Agents() {
		wait.Go(func() {
			for ctx.Err() == nil {
				r.poll(a)
				time.Sleep(ringPollInterval)
			}
		})
	}
	return r
}

func (r *ringObserver) poll(a *lab.Agent) {
	r.mu.Lock()
	before := r.newestActive
	r.mu.Unlock()
	status := statusAt(a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if status.Ring == nil {
		return
	}
	points := map[string]int{}
	for _, one := range status.Ring.Servers {
		points[one.ID] = one.Points
	}
	if known, ok := r.points[status.Ring.Generation]; ok && !maps.Equal(known, points) {
		r.violations = append(r.violations, fmt.Sprintf("%s has points %v in generation %d, another agent %v", a.Name, points, status.Ring.Generation, known))
	}
	r.points[status.Ring.Generation] = points
	if status.Standing != "full" || status.Ring.Active == 0 {
		return
	}
	r.pollCount++
	if r.newestActive = max(r.newestActive, status.Ring.Active); status.Ring.Active+1 < before {
		r.violations = append(r.violations, fmt.Sprintf("%s uses generation %d after another agent used %d", a.Name, status.Ring.Active, before))
	}
}

// waitFor waits for a duration.
func (r *ringObserver) waitFor(d time.Duration) {
	began := time.Now()
	require.NoError(r.t, r.Wait(r.t.Context(), "time passes", func() bool { return time.Since(began) >= d }))
}

// pointsOf returns how many points a server has in agent 0's latest generation; -1: it is not in it.
func (r *ringObserver) pointsOf(server int) int {
	if s := statusAt(r.Agent(0)); s.Ring != nil {
		for _, one := range s.Ring.Servers {
			if one.ID == fmt.Sprint("s-", server) {
				return one.Points
			}
		}
	}
	return -1
}

func (r *ringObserver) waitUntil(event string, condition func() bool) {
	r.t.Helper()
	require.NoError(r.t, r.Wait(r.t.Context(), event, condition))
}

// checkServed sends requests with some keys to each agent. Each must be served, at the latest when it is sent again after a
// rejection.
func (r *ringObserver) checkServed() {
	for _, a := range r.Agents() {
		for n := range 10 {
			status, _, err := a.Request(r.t.Context(), "consult", fmt.Sprint("k", n))
			if err == nil && status == 503 {
				status, _, err = a.Request(r.t.Context(), "consult", fmt.Sprint("k", n))
			}
			assert.NoError(r.t, err) //nolint:testifylint // require may not be called from another goroutine
			assert.Equal(r.t, 200, status)
		}
	}
}

// finish waits until all agents send each key to the same server, and requires that no violation was observed.
func (r *ringObserver) finish() {
	r.t.Helper()
	r.waitUntil("all agents send each key to the same server", func() bool {
		var first []string
		for _, a := range r.Agents() {
			for n := range 30 {
				_, body, err := a.Request(r.t.Context(), "consult", fmt.Sprint("k", n))
				if len(first) <= n {
					first = append(first, body)
				}
				if err != nil || body != first[n] {
					return false
				}
			}
		}
		return true
	})
	r.mu.Lock()
	defer r.mu.Unlock()
	require.Empty(r.t, r.violations)
	require.Greater(r.t, len(r.points), 1)
	r.t.Logf("%d generations in %d polls", len(r.points), r.pollCount)
}

// Six of ten servers of two kinds are replaced within 7 s. In the end the new servers have points and the old ones none, the
// same at all agents.
func TestRingReplacesServers(t *testing.T) {
	kinds := slices.Repeat([]string{"rapid", "lent"}, 8)
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 16, Kinds: kinds}, 10)
	for n := range 6 {
		r.SetServerState(10+n, "active")
		r.SetServerState(n, "leaving")
		r.waitFor(time.Second)
		r.SetServerState(n, "left")
		r.checkServed()
	}
	r.waitUntil("only the new servers have points", func() bool {
		for n := range 6 {
			if r.pointsOf(n) > 0 || r.pointsOf(10+n) <= 0 {
				return false
			}
		}
		return true
	})
	r.finish()
	require.Empty(t, r.EndAll())
}

// A zone is lost: its servers refuse connections and leave the list, and later rejoin in slow start. Requests are served
// throughout.
func TestRingAfterZoneLoss(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 6, Zones: []string{"b", "b", "c", "c"}}, 6)
	lost := []int{0, 1}
	for _, n := range lost {
		for _, a := range r.Agents() {
			a.Server(n).RefuseConnections()
			a.Server(n).CloseConnections()
		}
		r.SetServerState(n, "left")
	}
	r.waitUntil("no server of the zone has points", func() bool { return r.pointsOf(0) <= 0 && r.pointsOf(1) <= 0 })
	r.checkServed()
	for _, n := range lost {
		for _, a := range r.Agents() {
			require.NoError(t, a.Server(n).AcceptConnections())
		}
		r.SetServerState(n, "active")
	}
	r.waitUntil("both servers have points again", func() bool { return r.pointsOf(0) > 0 && r.pointsOf(1) > 0 })
	r.checkServed()
	r.finish()
	require.Empty(t, r.EndAll())
}

// A server's capacity is changed every two seconds, to twice or half the others'. Its points stay close to those of the
// others.
func TestRingCapacityChanges(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 4}, 4)
	maxDifference := 0
	for _, capacity := range []string{"2.0", "0.5", "2.0", "0.5", "2.0"} {
		path := filepath.Join(t.TempDir(), "policy.toml")
		require.NoError(t, os.WriteFile(path, []byte("format = 1\n[capacity]\nservers = {s-0 = "+capacity+"}\n"), 0o600))
		output, err := fleetCommand(t, r.Agent(4), "policy", "propose", path)
		require.NoError(t, err, output)
		changedAt := time.Now()
		r.waitUntil("two seconds", func() bool {
			maxDifference = max(maxDifference, r.pointsOf(0)-r.pointsOf(1), r.pointsOf(1)-r.pointsOf(0))
			return time.Since(changedAt) > 2*time.Second
		})
	}
	t.Logf("at most %d points apart, of %d", maxDifference, r.pointsOf(0))
	require.Less(t, maxDifference, 4)
	r.finish()
	require.Empty(t, r.EndAll())
}

// Three of five agents, a voter among them, have an endpoint list that is 5 s old while a server joins and another drains.
func TestRingWithStaleEndpointLists(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 5}, 4)
	var ends []func()
	for _, n := range []int{0, 3, 4} {
		ends = append(ends, r.Agent(n).InjectStreamFault("discovery", scenario.StreamSilent))
	}
	r.SetServerState(4, "active")
	r.SetServerState(0, "leaving")
	r.waitFor(5 * time.Second)
	r.checkServed()
	for _, end := range ends {
		end()
	}
	r.waitUntil("the new server has points, the drained one none", func() bool { return r.pointsOf(4) > 0 && r.pointsOf(0) <= 0 })
	r.SetServerState(0, "left")
	r.finish()
	require.Empty(t, r.EndAll())
}

// A third of the agents is cut off while servers join and drain and datagrams are lost. The other agents apply what they
// agree on, and all agents do once they are connected again.
func TestRingWithAgentsCutOff(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 6, Servers: 9}, 6)
	_, err := r.InjectNetworkFault(mishap.Fault{Impairment: mishap.Impairment{Loss: 0.2}})
	require.NoError(t, err)
	cut := []int{4, 5}
	var ends []func()
	for _, fault := range []mishap.Fault{{From: cut, Impairment: mishap.Impairment{Cut: true}}, {To: cut, Impairment: mishap.Impairment{Cut: true}}} {
		end, err := r.InjectNetworkFault(fault)
		require.NoError(t, err)
		ends = append(ends, end)
	}
	for n := range 3 { // more than one generation, before the leases of the agents cut off expire
		r.SetServerState(6+n, "active")
		r.SetServerState(n, "leaving")
		r.waitFor(400 * time.Millisecond)
	}
	r.waitUntil("s-8 has points at the connected agents", func() bool { return r.pointsOf(8) > 0 && ringServerAt(r.Agent(3), "s-8").Points > 0 })
	require.Zero(t, ringServerAt(r.Agent(4), "s-8").Points)
	r.waitUntil("the agents cut off have no lease", func() bool { return statusAt(r.Agent(4)).Standing != "full" })
	r.checkServed()
	for _, end := range ends {
		end()
	}
	r.finish()
	require.Positive(t, ringServerAt(r.Agent(4), "s-8").Points)
	require.Empty(t, r.EndAll())
}
