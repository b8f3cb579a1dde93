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

// arrival is a request that an endpoint had.
type arrival struct {
	at            time.Time
	agent, server int
	tenant        string
}

// windowObserver is a fleet whose agents hold maintenance windows, under load of two tenants, and what arrived
// where. Times are short: the fleet's terms are, and with them the notice that a window needs.
type windowObserver struct {
	*lab.Lab
	t            *testing.T
	mu           sync.Mutex
	arrivals     []arrival
	failing      map[int]bool  // servers that answer nothing of use
	requestPause time.Duration // between two requests of a tenant at an agent
	awaitsReady  bool          // an agent that was down is asked once it says that it is ready
}

const shortTerms = "[fleet]\non = true\npolicy = true\nwindows = true\nvoters = [0, 1, 2]\nlease_ms = 2000\nheard_ms = 500\n" +
	"floor_s = 2\nnotice_s = 6\nmargin_s = 1\nlinger_s = 1\nturns = 0\n"

// newWindowObserver starts the fleet; shape, where it is not nil, may change what agents are started with.
func newWindowObserver(t *testing.T, agents int, shape func(*lab.Config)) *windowObserver {
	t.Helper()
	t.Parallel()
	return openWindowObserver(&windowObserver{t: t, failing: map[int]bool{}, requestPause: 15 * time.Millisecond}, lab.Options{Agents: agents}, shape)
}

func openWindowObserver(r *windowObserver, o lab.Options, shape func(*lab.Config)) *windowObserver {
	t := r.t
	t.Helper()
	program, err := plainBinary()
	require.NoError(t, err)
	set := lab.Deployment()
	set.Tenants = []balancer.Tenant{{Name: "east", QuotaPerSecond: 1000, Share: 0.5}, {Name: "west", QuotaPerSecond: 1000, Share: 0.5}}
	o.Servers, o.Program, o.Ops, o.Seed, o.Settings, o.Answer = 4, program, true, 11, set, r.answer
	o.Patience = max(o.Patience, 3*time.Minute)
	o.Shape = func(c *lab.Config) {
		if c.Operator = shortTerms; shape != nil {
			shape(c)
		}
	}
	r.Lab = lab.Open(t, o)
	require.NoError(t, r.StartAll(t.Context()))
	require.NoError(t, r.Wait(t.Context(), "leases", all(r.Lab, full)))
	r.startLoad()
	r.propose(contracts)
	return r
}

func (r *windowObserver) answer(s lab.Step) standin.Reply {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, arrival{time.Now(), s.Agent, s.Server, s.Request.URL.Query().Get("clinic")})
	if r.failing[s.Server] {
		return standin.Reply{Status: http.StatusInternalServerError}
	}
	return standin.Reply{Status: http.StatusOK, Body: "booked"}
}

// load has both tenants ask every agent until the test ends, with many keys.
func (r *windowObserver) startLoad() {
	ctx, cancel := context.WithCancel(context.Background())
	var wait sync.WaitGroup
	r.t.Cleanup(func() { cancel(); wait.Wait() })
	for _, a := range r.Agents() {
		for _, tenant := range []string{"east", "west"} {
			wait.Go(func() {
				for n := 0; ctx.Err() == nil; n++ {
					if _, _, err := a.AskFor(ctx, tenant, "consult", fmt.Sprint("k", n%257)); err != nil { // it is down
						_ = r.Wait(ctx, "it runs", func() bool { return a.Runs() && (!r.awaitsReady || a.IsReady()) })
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

// contracts allow all hours; a server may be done without.
const contracts = "format = 1\n[contracts.east]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.5\n" +
	"[contracts.west]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.7\n[capacity]\nload = 0.4\n"

func (r *windowObserver) propose(text string) {
	r.t.Helper()
	path := filepath.Join(r.t.TempDir(), "policy.toml")
	require.NoError(r.t, os.WriteFile(path, []byte(text), 0o600))
	out, err := fleetCommand(r.t, r.Agent(0), "policy", "propose", path)
	require.NoError(r.t, err, out)
}

// ask asks an agent for a window of east's traffic.
func (r *windowObserver) requestWindow(at int, id, node, from, to string, more ...string) (string, error) {
	return fleetCommand(r.t, r.Agent(at), append([]string{
		"window", "ask", "--id", id, "--node", node, "--tenant", "east",
		"--from", from, "--to", to, "--pace", "0.2",
	}, more...)...)
}

// at is a window as an agent has it.
func (r *windowObserver) windowAt(agent int, id string) (w windowState) {
	var s windowsState
	if (opsClient{r.Agent(agent).Ops}).call(http.MethodGet, "/ops/fleet/windows", "", &s) != nil {
		return w
	}
	for _, one := range s.Windows {
		if one.ID == id {
			return one
		}
	}
	return w
}

func (r *windowObserver) awaitState(agent int, id string, states ...string) windowState {
	r.t.Helper()
	var w windowState
	require.NoError(r.t, r.Wait(r.t.Context(), fmt.Sprintf("%s is %v at n%d", id, states, agent), func() bool {
		w = r.windowAt(agent, id)
		return strings.Contains(" "+strings.Join(states, " ")+" ", " "+w.State+" ")
	}))
	return w
}

// arrived are the requests of a tenant at a server in a time; of one agent, or below zero of all.
func (r *windowObserver) arrivalsAt(agent, server int, tenant string, from, to time.Time) (some []arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.arrivals {
		if a.server == server && a.tenant == tenant && (agent < 0 || a.agent == agent) && !a.at.Before(from) && a.at.Before(to) {
			some = append(some, a)
		}
	}
	return some
}

// returns waits until a tenant's requests of an agent, -1: of any, arrive at the first server again.
func (r *windowObserver) awaitReturn(agent int, tenant string) {
	r.t.Helper()
	from := time.Now()
	require.NoError(r.t, r.Wait(r.t.Context(), fmt.Sprintf("%s of n%d is back at s-0", tenant, agent), func() bool {
		return len(r.arrivalsAt(agent, 0, tenant, from, time.Now())) > 0
	}))
}

func (r *windowObserver) cutOff(agent int) (heal func()) {
	var ends []func()
	for _, f := range []mishap.Fault{{From: []int{agent}, Way: mishap.Way{Cut: true}}, {To: []int{agent}, Way: mishap.Way{Cut: true}}} {
		end, err := r.Spoil(f)
		require.NoError(r.t, err)
		ends = append(ends, end)
	}
	return func() {
		for _, end := range ends {
			end()
		}
	}
}

// A window drains in steps; once it is said to be free no request of the tenant arrives until its end, from any
// agent: also not from one that was cut off while it drained, which ends it by its own clock, nor from one that was
// killed inside it and started again. The other group's requests arrive all the while.
func TestFreeWindowGetsNoRequests(t *testing.T) {
	r := newWindowObserver(t, 6, nil)
	text, err := r.requestWindow(3, "w", "s-0", "+10s", "+50s")
	require.NoError(t, err, text)
	require.Contains(t, text, "taken: window w")
	moved := map[float64]bool{}
	require.NoError(t, r.Wait(t.Context(), "it drains in steps", func() bool {
		if m := r.windowAt(4, "w").Moved; m > 0 && m < 1 {
			moved[m] = true
		}
		return len(moved) >= 3
	}))
	heal := r.cutOff(5)
	w := r.awaitState(0, "w", "free")
	free := time.Now()
	r.Agent(4).Kill()
	prompt, err := r.Spoil(mishap.Fault{To: []int{4}, Way: mishap.Way{Delay: scenario.TimeSpan{Low: 50 * time.Millisecond, High: 50 * time.Millisecond}}})
	require.NoError(t, err)
	require.NoError(t, r.Agent(4).Start(t.Context())) // requests come before it has heard of anything
	require.Equal(t, "free", r.windowAt(4, "w").State, "it has what is agreed")
	prompt()
	r.awaitReturn(4, "west")
	r.awaitState(0, "w", "returning")
	require.Empty(t, r.arrivalsAt(-1, 0, "east", free, w.ReturnFrom))
	for a := range r.Agents() {
		require.NotEmpty(t, r.arrivalsAt(a, 0, "west", free, w.ReturnFrom), a)
	}
	require.NoError(t, r.Wait(t.Context(), "all is back", func() bool { return time.Now().After(w.To) }))
	r.awaitReturn(5, "east")
	heal()
	r.awaitState(0, "w", "ended")
	for a := range r.Agents() {
		r.awaitReturn(a, "east")
	}
	require.Empty(t, r.EndAll())
}

// The leader is killed at each step of a window's course, in two of them: it becomes free all the same, stays so, and
// ends.
func TestWindowLeaderKilled(t *testing.T) {
	t.Parallel()
	for _, steps := range [][]string{{"draining", "free"}, {"planned", "drained", "returning"}} {
		t.Run(strings.Join(steps, " "), func(t *testing.T) {
			r := newWindowObserver(t, 5, nil)
			text, err := r.requestWindow(4, "w", "s-1", "+10s", "+55s")
			require.NoError(t, err, text)
			free := time.Time{}
			for _, state := range []string{"planned", "draining", "drained", "free", "returning"} {
				if r.awaitState(4, "w", state); state == "free" {
					free = time.Now()
				}
				if slices.Contains(steps, state) {
					r.replaceLeader()
				}
			}
			w := r.awaitState(4, "w", "ended")
			require.Empty(t, w.Reason)
			require.Empty(t, r.arrivalsAt(-1, 1, "east", free, w.ReturnFrom))
			require.NotEmpty(t, r.arrivalsAt(-1, 1, "west", free, w.ReturnFrom))
			require.Empty(t, r.EndAll())
		})
	}
}

// replaceLeader kills whoever leads, waits until another one does, and starts it again.
func (r *windowObserver) replaceLeader() {
	r.t.Helper()
	led := leader(r.Lab)
	require.NotNil(r.t, led)
	led.Kill()
	require.NoError(r.t, r.Wait(r.t.Context(), "another one leads", func() bool {
		now := leader(r.Lab)
		return now != nil && now != led
	}))
	require.NoError(r.t, led.Start(r.t.Context()))
}

// Staff stop a window, and a policy no longer allows another: the traffic comes back long before their ends.
func TestWindowEndsEarly(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	text, err := r.requestWindow(3, "one", "s-0", "+9s", "+20m")
	require.NoError(t, err, text)
	r.awaitState(3, "one", "free")
	text, err = fleetCommand(t, r.Agent(2), "window", "stop", "one")
	require.NoError(t, err, text)
	for a := range r.Agents() {
		r.awaitReturn(a, "east")
	}
	r.awaitState(4, "one", "stopped", "ended") // where the next one is asked for
	text, err = r.requestWindow(4, "two", "s-0", "+9s", "+20m")
	require.NoError(t, err, text)
	r.awaitState(4, "two", "free")
	r.propose(strings.Replace(contracts, "[contracts.east]", "[contracts.-]", 1))
	for a := range r.Agents() {
		r.awaitReturn(a, "east")
	}
	w := r.awaitState(1, "two", "returning", "ended")
	require.Contains(t, w.Reason, "contract")
	require.Empty(t, r.EndAll())
}

// All other servers fail while one is free: serving goes first, an agent says so, and it is free no more.
func TestWindowYieldsToServing(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	text, err := r.requestWindow(3, "w", "s-0", "+9s", "+20m")
	require.NoError(t, err, text)
	r.awaitState(3, "w", "free")
	r.mu.Lock()
	r.failing = map[int]bool{1: true, 2: true, 3: true}
	r.mu.Unlock()
	r.awaitReturn(-1, "east")
	require.NoError(t, r.Wait(t.Context(), "an agent says so", func() bool {
		for _, a := range r.Agents() {
			if a.Said("exclusion overridden: tenant east") {
				return true
			}
		}
		return false
	}))
	r.awaitState(3, "w", "paused", "returning", "ended")
	require.Empty(t, r.EndAll())
}

// Two windows that together would leave too little: the second is refused, with when it fits. The same name twice
// changes once. What makes no sense, or no contract allows, is refused.
func TestWindowRejected(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	text, err := r.requestWindow(3, "one", "s-0", "+1h", "+2h")
	require.NoError(t, err, text)
	again, err := r.requestWindow(1, "one", "s-0", "+1h", "+2h")
	require.NoError(t, err, again)
	require.Equal(t, text, again)
	text, err = r.requestWindow(4, "two", "s-1", "+90m", "+150m")
	require.NoError(t, err, text)
	text, err = r.requestWindow(2, "three", "s-2", "+90m", "+100m")
	require.Error(t, err, text)
	require.Contains(t, text, "not taken: ")
	require.Contains(t, text, ", fits next at ")
	_, at, _ := strings.Cut(strings.TrimSpace(text), ", fits next at ")
	next, err := time.Parse(time.RFC3339, at)
	require.NoError(t, err)
	text, err = r.requestWindow(2, "three", "s-2", next.Add(time.Second).Format(time.RFC3339), next.Add(11*time.Minute).Format(time.RFC3339))
	require.NoError(t, err, text)
	for name, c := range map[string][]string{
		"notice":   {"--node", "s-3", "--tenant", "east", "--from", "+1s", "--to", "+1h"},
		"kept":     {"--node", "s-3", "--node", "s-1", "--tenant", "west", "--from", "+5h", "--to", "+6h"},
		"server":   {"--node", "s-9", "--tenant", "east", "--from", "+5h", "--to", "+6h"},
		"backward": {"--node", "s-3", "--tenant", "east", "--from", "+6h", "--to", "+5h"},
	} {
		text, err = fleetCommand(t, r.Agent(1), append([]string{"window", "check"}, c...)...)
		require.Error(t, err, name+text)
	}
	text, err = fleetCommand(t, r.Agent(1), "window", "check", "--node", "s-3", "--tenant", "*", "--from", "+5h", "--to", "+6h")
	require.Error(t, err, "requests of no clinic group have no contract")
	require.Contains(t, text, "contract")
	text, err = fleetCommand(t, r.Agent(1), "window", "list")
	require.NoError(t, err, text)
	require.Contains(t, text, "planned")
	require.Empty(t, r.EndAll())
}
