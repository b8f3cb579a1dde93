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

// ringObserver is a fleet that places by generations, looked at all the while: of two agents that hold leases none may act
// two generations behind what another acted on before, and a generation has the same points at all.
type ringObserver struct {
	*lab.Lab
	t            *testing.T
	mu           sync.Mutex
	newestActive uint64                    // that an agent acted on
	points       map[uint64]map[string]int // of each generation
	pollCount    int
	violations   []string
}

// ringPollInterval is the pause between two looks at an agent.
const ringPollInterval = 100 * time.Millisecond

func newRingObserver(t *testing.T, o lab.Options, listed int) *ringObserver {
	t.Helper()
	t.Parallel()
	program, err := plainBinary()
	require.NoError(t, err)
	r := &ringObserver{t: t, points: map[uint64]map[string]int{}}
	o.Program, o.Ops, o.Seed, o.Patience = program, true, 17, 3*time.Minute
	o.Shape = func(c *lab.Config) {
		c.Operator = "[fleet]\non = true\npolicy = true\nplacement = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n"
	}
	r.Lab = lab.Open(t, o)
	for n := listed; n < o.Servers; n++ {
		r.List(n, "left")
	}
	require.NoError(t, r.StartAll(t.Context()))
	require.NoError(t, r.Wait(t.Context(), "all place by a generation", all(r.Lab, func(_ *lab.Agent, s fleetStatus) bool {
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
	s := statusAt(a)
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Ring == nil {
		return
	}
	points := map[string]int{}
	for _, one := range s.Ring.Servers {
		points[one.ID] = one.Points
	}
	if known, is := r.points[s.Ring.Generation]; is && !maps.Equal(known, points) {
		r.violations = append(r.violations, fmt.Sprintf("%s has %v in generation %d, another %v", a.Name, points, s.Ring.Generation, known))
	}
	r.points[s.Ring.Generation] = points
	if s.Standing != "full" || s.Ring.Active == 0 {
		return
	}
	r.pollCount++
	if r.newestActive = max(r.newestActive, s.Ring.Active); s.Ring.Active+1 < before {
		r.violations = append(r.violations, fmt.Sprintf("%s acts on %d after another did on %d", a.Name, s.Ring.Active, before))
	}
}

// pass lets time go by, as a script of faults has it.
func (r *ringObserver) wait(d time.Duration) {
	began := time.Now()
	require.NoError(r.t, r.Wait(r.t.Context(), "time goes by", func() bool { return time.Since(began) >= d }))
}

// at is how many points a server has by what agent 0 knows; below zero: it is in no generation.
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

func (r *ringObserver) until(what string, is func() bool) {
	r.t.Helper()
	require.NoError(r.t, r.Wait(r.t.Context(), what, is))
}

// served asks each agent for some keys; each is served at once, or the second time that it is asked for.
func (r *ringObserver) checkServed() {
	for _, a := range r.Agents() {
		for n := range 10 {
			status, _, err := a.Ask(r.t.Context(), "consult", fmt.Sprint("k", n))
			if err == nil && status == 503 {
				status, _, err = a.Ask(r.t.Context(), "consult", fmt.Sprint("k", n))
			}
			assert.NoError(r.t, err) //nolint:testifylint // require may not be called from another goroutine
			assert.Equal(r.t, 200, status)
		}
	}
}

// end waits until all agents send each key to the same server, and judges what was seen.
func (r *ringObserver) finish() {
	r.t.Helper()
	r.until("all agree", func() bool {
		var first []string
		for _, a := range r.Agents() {
			for n := range 30 {
				_, body, err := a.Ask(r.t.Context(), "consult", fmt.Sprint("k", n))
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
	r.t.Logf("%d generations in %d looks", len(r.points), r.pollCount)
}

// Six in ten servers of two kinds are replaced within 7 s: those that came have points in the end, and those that went
// none; agents agree.
func TestRingReplacesServers(t *testing.T) {
	kinds := slices.Repeat([]string{"rapid", "lent"}, 8)
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 16, Kinds: kinds}, 10)
	for n := range 6 {
		r.List(10+n, "active")
		r.List(n, "leaving")
		r.wait(time.Second)
		r.List(n, "left")
		r.checkServed()
	}
	r.until("the new ones have all that the old ones had", func() bool {
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

// A zone is lost, its servers refusing and gone from the list, and is back cold: requests are served all the while.
func TestRingAfterZoneLoss(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 6, Zones: []string{"b", "b", "c", "c"}}, 6)
	lost := []int{0, 1}
	for _, n := range lost {
		for _, a := range r.Agents() {
			a.Server(n).Refuse()
			a.Server(n).HangUp()
		}
		r.List(n, "left")
	}
	r.until("none of its servers has a point", func() bool { return r.pointsOf(0) <= 0 && r.pointsOf(1) <= 0 })
	r.checkServed()
	for _, n := range lost {
		for _, a := range r.Agents() {
			require.NoError(t, a.Server(n).Accept())
		}
		r.List(n, "active")
	}
	r.until("they have points again", func() bool { return r.pointsOf(0) > 0 && r.pointsOf(1) > 0 })
	r.checkServed()
	r.finish()
	require.Empty(t, r.EndAll())
}

// A server's capacity is told doubled and halved every two seconds: it has what the others have all the while.
func TestRingCapacityChanges(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 4}, 4)
	most := 0
	for _, c := range []string{"2.0", "0.5", "2.0", "0.5", "2.0"} {
		path := filepath.Join(t.TempDir(), "policy.toml")
		require.NoError(t, os.WriteFile(path, []byte("format = 1\n[capacity]\nservers = {s-0 = "+c+"}\n"), 0o600))
		text, err := fleetCommand(t, r.Agent(4), "policy", "propose", path)
		require.NoError(t, err, text)
		told := time.Now()
		r.until("two seconds", func() bool {
			most = max(most, r.pointsOf(0)-r.pointsOf(1), r.pointsOf(1)-r.pointsOf(0))
			return time.Since(told) > 2*time.Second
		})
	}
	t.Logf("%d points apart at the most, of %d", most, r.pointsOf(0))
	require.Less(t, most, 4)
	r.finish()
	require.Empty(t, r.EndAll())
}

// Three of five agents, a voter among them, have a list that is 5 s older while a server joins and another one drains.
func TestRingWithStaleEndpointLists(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 5, Servers: 5}, 4)
	var ends []func()
	for _, n := range []int{0, 3, 4} {
		ends = append(ends, r.Agent(n).Hinder("discovery", scenario.StreamSilent))
	}
	r.List(4, "active")
	r.List(0, "leaving")
	r.wait(5 * time.Second)
	r.checkServed()
	for _, end := range ends {
		end()
	}
	r.until("the new one has points, the old one none", func() bool { return r.pointsOf(4) > 0 && r.pointsOf(0) <= 0 })
	r.List(0, "left")
	r.finish()
	require.Empty(t, r.EndAll())
}

// A third of the agents is cut off while servers join and drain, with datagrams lost: what the others agree on they act on, and
// all do once they are back.
func TestRingWithAgentsCutOff(t *testing.T) {
	r := newRingObserver(t, lab.Options{Agents: 6, Servers: 9}, 6)
	_, err := r.Spoil(mishap.Fault{Way: mishap.Way{Loss: 0.2}})
	require.NoError(t, err)
	cut := []int{4, 5}
	var ends []func()
	for _, f := range []mishap.Fault{{From: cut, Way: mishap.Way{Cut: true}}, {To: cut, Way: mishap.Way{Cut: true}}} {
		end, err := r.Spoil(f)
		require.NoError(t, err)
		ends = append(ends, end)
	}
	for n := range 3 { // more than one generation's worth, before the leases of those that are cut off are over
		r.List(6+n, "active")
		r.List(n, "leaving")
		r.wait(400 * time.Millisecond)
	}
	r.until("it has points where they can agree", func() bool { return r.pointsOf(8) > 0 && ringServerAt(r.Agent(3), "s-8").Points > 0 })
	require.Zero(t, ringServerAt(r.Agent(4), "s-8").Points)
	r.until("the others are without a lease", func() bool { return statusAt(r.Agent(4)).Standing != "full" })
	r.checkServed()
	for _, end := range ends {
		end()
	}
	r.finish()
	require.Positive(t, ringServerAt(r.Agent(4), "s-8").Points)
	require.Empty(t, r.EndAll())
}
