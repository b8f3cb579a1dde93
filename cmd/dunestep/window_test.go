package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/standin"
)

// arrival is a request that an endpoint received.
type arrival struct {
	at            time.Time
	agent, server int
	tenant        string
}

// windowObserver is a fleet with maintenance windows under load of two tenants. It records which requests arrived at which
// endpoint. The fleet's times are short, and so is the notice that a window needs.
type windowObserver struct {
	*lab.Lab
	t            *testing.T
	mu           sync.Mutex
	arrivals     []arrival
	failing      map[int]bool  // servers that answer with errors
	requestPause time.Duration // pause between two requests of a tenant at an agent
	awaitsReady  bool          // the load of an agent that was down waits until it is ready
}

// shortFleetTimes is the operator file's [fleet] section, with short times.
const shortFleetTimes = "[fleet]\non = true\npolicy = true\nwindows = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n" +
	"floor_s = 2\nnotice_s = 6\nmargin_s = 1\nlinger_s = 1\nturns = 0\n"

// newWindowObserver starts the fleet. A configure function that is not nil may change the agents' configuration.
func newWindowObserver(t *testing.T, agents int, configure func(*lab.Config)) *windowObserver {
	t.Helper()
	t.Parallel()
	return openWindowObserver(&windowObserver{t: t, failing: map[int]bool{}, requestPause: 15 * time.Millisecond}, lab.Options{Agents: agents}, configure)
}

// openWindowObserver starts a fleet with the options and its load, and proposes contracts.
func openWindowObserver(r *windowObserver, options lab.Options, configure func(*lab.Config)) *windowObserver {
	t := r.t
	t.Helper()
	program, err := plainBinary()
	require.NoError(t, err)
	settings := lab.DefaultSettings()
	settings.Tenants = []balancer.Tenant{{Name: "east", QuotaPerSecond: 1000, Share: 0.5}, {Name: "west", QuotaPerSecond: 1000, Share: 0.5}}
	options.Servers, options.Program, options.OperatorListener, options.Seed, options.Settings, options.Respond = 4, program, true, 11, settings, r.answer
	options.WaitTimeout = max(options.WaitTimeout, 3*time.Minute)
	options.Configure = func(c *lab.Config) {
		if c.OperatorFile = shortFleetTimes; configure != nil {
			configure(c)
		}
	}
	r.Lab = lab.Open(t, options)
	require.NoError(t, r.StartAll(t.Context()))
	require.NoError(t, r.Wait(t.Context(), "leases", allAgents(r.Lab, hasFullStanding)))
	r.startLoad()
	r.propose(contracts)
	return r
}

func (r *windowObserver) answer(s lab.Attempt) standin.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), s.Agent, s.Server, s.Request.URL.Query().Get("clinic")})
	if r.failing[s.Server] {
		return standin.Reply{Status: http.StatusInternalServerError}
	}
	return standin.Reply{Status: http.StatusOK, Body: "booked"}
}

// startLoad sends requests of both tenants with many keys to every agent until the test ends.
func (r *windowObserver) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	r.t.Cleanup(func() { cancel(); wait.Wait() })
	for _, a := range r.Agents() {
		for _, tenant := range []string{"east", "west"} {
			wait.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					if _, _, err := a.RequestForTenant(ctx, tenant, "consult", fmt.Sprint("k", n%257)); err != nil { // the agent is down
						_ = r.Wait(ctx, "the agent runs", func() bool { return a.IsRunning() && (!r.awaitsReady || a.IsReady()) })
					}
					select {
					case <-time.After(r.requestPause):
					case <-ctx.Done():
					}
				}
			})
		}
	}
}

// contracts allow windows at all hours, and leave enough capacity for one server to be in a window.
const contracts = "format = 1\n[contracts.east]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.5\n" +
	"[contracts.west]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.7\n[capacity]\nload = 0.4\n"

// propose proposes a policy document, which must be accepted.
func (r *windowObserver) propose(document string) {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "policy.toml")
	require.NoError(r.t, os.WriteFile(path, []byte(document), 0o600))
	output, err := fleetCommand(r.t, r.Agent(0), "policy", "propose", path)
	require.NoError(r.t, err, output)
}

// requestWindow requests a window for east's requests at an agent.
func (r *windowObserver) requestWindow(agent int, id, server, from, to string, args ...string) (string, error) {
	return fleetCommand(r.t, r.Agent(agent), append([]string{
		"window", "ask", "--id", id, "--node", server, "--tenant", "east",
		"--from", from, "--to", to, "--pace", "0.2",
	}, args...)...)
}

// windowAt returns a window as an agent reports it; a zero one if it reports none.
func (r *windowObserver) windowAt(agent int, id string) (w windowState) {
	var s windowsState
	if (opsClient{r.Agent(agent).OperatorAddr}).call(http.MethodGet, "/ops/fleet/windows", "", &s) != nil {
		return w
	}
	for _, one := range s.Windows {
		if one.ID == id {
			return one
		}
	}
	return w
}

// awaitState waits until an agent reports a window in one of the states, and returns the window.
func (r *windowObserver) awaitState(agent int, id string, states ...string) windowState {
	r.t.Helper()
	var w windowState
	require.NoError(r.t, r.Wait(r.t.Context(), fmt.Sprintf("%s is %v at n%d", id, states, agent), func() bool {
		w = r.windowAt(agent, id)
		return strings.Contains(" "+strings.Join(states, " ")+" ", " "+w.State+" ")
	}))
	return w
}

// arrivalsAt returns a tenant's requests that a server received during [from, to) from an agent; -1: from all agents.
func (r *windowObserver) arrivalsAt(agent, server int, tenant string, from, to time.Time) (selected []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.server == server && a.tenant == tenant && (agent < 0 || a.agent == agent) && !a.at.Before(from) && a.at.Before(to) {
			selected = append(selected, a)
		}
	}
	return selected
}

// awaitReturn waits until a tenant's requests from an agent (-1: from any agent) arrive at the first server again.
func (r *windowObserver) awaitReturn(agent int, tenant string) {
	r.t.Helper()
	from := time.Now()
	require.NoError(r.t, r.Wait(r.t.Context(), fmt.Sprintf("%s from n%d arrives at s-0 again", tenant, agent), func() bool {
		return len(r.arrivalsAt(agent, 0, tenant, from, time.Now())) > 0
	}))
}

// cutOff drops all datagrams from and to an agent until heal is called.
func (r *windowObserver) cutOff(agent int) (heal func()) {
	var ends []func()
	for _, fault := range []mishap.Fault{{From: []int{agent}, Impairment: mishap.Impairment{Cut: true}}, {To: []int{agent}, Impairment: mishap.Impairment{Cut: true}}} {
		end, err := r.InjectNetworkFault(fault)
		require.NoError(r.t, err)
		ends = append(ends, end)
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// A window drains in steps. Once it is free, no request of its tenant arrives until it returns. This includes an agent that
// was cut off while the window drained, which ends the window by its own clock, and one that was killed and restarted during
// the window. The other tenant's requests arrive throughout.
func TestFreeWindowGetsNoRequests(t *testing.T) {
	r := newWindowObserver(t, 6, nil)
	output, err := r.requestWindow(3, "w", "s-0", "+10s", "+50s")
	require.NoError(t, err, output)
	require.Contains(t, output, "taken: window w")
	moved := map[float64]bool{}
	require.NoError(t, r.Wait(t.Context(), "the window drains in steps", func() bool {
		if m := r.windowAt(4, "w").Moved; m > 0 && m < 1 {
			moved[m] = true
		}
		return len(moved) >= 3
	}))
	heal := r.cutOff(5)
	w := r.awaitState(0, "w", "free")
	freeSince := time.Now()
	r.Agent(4).Kill()
	endDelay, err := r.InjectNetworkFault(mishap.Fault{To: []int{4}, Impairment: mishap.Impairment{Delay: scenario.TimeSpan{Low: 50 * time.Millisecond, High: 50 * time.Millisecond}}})
	require.NoError(t, err)
	require.NoError(t, r.Agent(4).Start(t.Context())) // requests arrive before any datagram of another agent
	require.Equal(t, "free", r.windowAt(4, "w").State, "the restarted agent has the agreed state")
	endDelay()
	r.awaitReturn(4, "west")
	r.awaitState(0, "w", "returning")
	require.Empty(t, r.arrivalsAt(-1, 0, "east", freeSince, w.ReturnFrom))
	for agent := range r.Agents() {
		require.NotEmpty(t, r.arrivalsAt(agent, 0, "west", freeSince, w.ReturnFrom), agent)
	}
	require.NoError(t, r.Wait(t.Context(), "the window is over", func() bool { return time.Now().After(w.To) }))
	r.awaitReturn(5, "east")
	heal()
	r.awaitState(0, "w", "ended")
	for agent := range r.Agents() {
		r.awaitReturn(agent, "east")
	}
	require.Empty(t, r.EndAll())
}

// The leader is killed at each state of a window, in two runs. The window still becomes free, stays free and ends.
func TestWindowLeaderKilled(t *testing.T) {
	t.Parallel()
	for _, steps := range [][]string{{"draining", "free"}, {"planned", "drained", "returning"}} {
		t.Run(strings.Join(steps, " "), func(t *testing.T) {
			r := newWindowObserver(t, 5, nil)
			output, err := r.requestWindow(4, "w", "s-1", "+10s", "+55s")
			require.NoError(t, err, output)
			freeSince := time.Time{}
			for _, state := range []string{"planned", "draining", "drained", "free", "returning"} {
				if r.awaitState(4, "w", state); state == "free" {
					freeSince = time.Now()
				}
				if slices.Contains(steps, state) {
					r.replaceLeader()
				}
			}
			w := r.awaitState(4, "w", "ended")
			require.Empty(t, w.Reason)
			require.Empty(t, r.arrivalsAt(-1, 1, "east", freeSince, w.ReturnFrom))
			require.NotEmpty(t, r.arrivalsAt(-1, 1, "west", freeSince, w.ReturnFrom))
			require.Empty(t, r.EndAll())
		})
	}
}

// replaceLeader kills the leader, waits until another agent leads, and starts the killed one again.
func (r *windowObserver) replaceLeader() {
	r.t.Helper()
	former := leader(r.Lab)
	require.NotNil(r.t, former)
	former.Kill()
	require.NoError(r.t, r.Wait(r.t.Context(), "another agent leads", func() bool {
		now := leader(r.Lab)
		return now != nil && now != former
	}))
	require.NoError(r.t, former.Start(r.t.Context()))
}

// A window ends early when it is stopped by operators, or when a policy no longer allows it: requests return long before its
// planned end.
func TestWindowEndsEarly(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	output, err := r.requestWindow(3, "one", "s-0", "+9s", "+20m")
	require.NoError(t, err, output)
	r.awaitState(3, "one", "free")
	output, err = fleetCommand(t, r.Agent(2), "window", "stop", "one")
	require.NoError(t, err, output)
	for agent := range r.Agents() {
		r.awaitReturn(agent, "east")
	}
	r.awaitState(4, "one", "stopped", "ended") // the agent at which the next window is requested
	output, err = r.requestWindow(4, "two", "s-0", "+9s", "+20m")
	require.NoError(t, err, output)
	r.awaitState(4, "two", "free")
	r.propose(strings.Replace(contracts, "[contracts.east]", "[contracts.-]", 1))
	for agent := range r.Agents() {
		r.awaitReturn(agent, "east")
	}
	w := r.awaitState(1, "two", "returning", "ended")
	require.Contains(t, w.Reason, "contract")
	require.Empty(t, r.EndAll())
}

// While a window is free, all other servers fail. Serving has priority: its server gets requests, an agent logs this, and
// the window is no longer free.
func TestWindowYieldsToServing(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	output, err := r.requestWindow(3, "w", "s-0", "+9s", "+20m")
	require.NoError(t, err, output)
	r.awaitState(3, "w", "free")
	r.mu.Lock()
	r.failing = map[int]bool{1: true, 2: true, 3: true}
	r.mu.Unlock()
	r.awaitReturn(-1, "east")
	require.NoError(t, r.Wait(t.Context(), "an agent logs the override", func() bool {
		for _, a := range r.Agents() {
			if a.LogContains("exclusion overridden: tenant east") {
				return true
			}
		}
		return false
	}))
	r.awaitState(3, "w", "paused", "returning", "ended")
	require.Empty(t, r.EndAll())
}

// A window that would leave too little capacity beside others is rejected with the next time at which it fits. A repeated
// request with the same id takes effect once. Windows that are invalid or that no contract allows are rejected.
func TestWindowRejected(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	output, err := r.requestWindow(3, "one", "s-0", "+1h", "+2h")
	require.NoError(t, err, output)
	repeated, err := r.requestWindow(1, "one", "s-0", "+1h", "+2h")
	require.NoError(t, err, repeated)
	require.Equal(t, output, repeated)
	output, err = r.requestWindow(4, "two", "s-1", "+90m", "+150m")
	require.NoError(t, err, output)
	output, err = r.requestWindow(2, "three", "s-2", "+90m", "+100m")
	require.Error(t, err, output)
	require.Contains(t, output, "not taken: ")
	require.Contains(t, output, ", fits next at ")
	_, at, _ := strings.Cut(strings.TrimSpace(output), ", fits next at ")
	next, err := time.Parse(time.RFC3339, at)
	require.NoError(t, err)
	output, err = r.requestWindow(2, "three", "s-2", next.Add(time.Second).Format(time.RFC3339), next.Add(11*time.Minute).Format(time.RFC3339))
	require.NoError(t, err, output)
	for name, args := range map[string][]string{
		"too little notice":   {"--node", "s-3", "--tenant", "east", "--from", "+1s", "--to", "+1h"},
		"too little capacity": {"--node", "s-3", "--node", "s-1", "--tenant", "west", "--from", "+5h", "--to", "+6h"},
		"unknown server":      {"--node", "s-9", "--tenant", "east", "--from", "+5h", "--to", "+6h"},
		"end before start":    {"--node", "s-3", "--tenant", "east", "--from", "+6h", "--to", "+5h"},
	} {
		output, err = fleetCommand(t, r.Agent(1), append([]string{"window", "check"}, args...)...)
		require.Error(t, err, name+output)
	}
	output, err = fleetCommand(t, r.Agent(1), "window", "check", "--node", "s-3", "--tenant", "*", "--from", "+5h", "--to", "+6h")
	require.Error(t, err, "requests without a tenant have no contract")
	require.Contains(t, output, "contract")
	output, err = fleetCommand(t, r.Agent(1), "window", "list")
	require.NoError(t, err, output)
	require.Contains(t, output, "planned")
	require.Empty(t, r.EndAll())
}
