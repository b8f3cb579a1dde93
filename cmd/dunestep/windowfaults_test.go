package main

import (
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/rehearsal/lab"
	"dunestep/internal/rehearsal/mishap"
)

// writeOtherZoneData returns a folder with zone data by which Bucharest's offset from UTC is always nine hours.
func writeOtherZoneData(t *testing.T) string {
	folder := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(folder, "Europe"), 0o700))
	counts := []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4}
	data := slices.Concat([]byte("TZif"), make([]byte, 16), counts, []byte{0, 0, 0x7e, 0x90, 0, 0}, []byte("law\x00"))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "Europe", "Bucharest"), data, 0o600))
	return folder
}

// Two agents, a voter among them, have different zone data, by which the contract's hours are over. All agents apply the
// time zone rules that were agreed on with the policy: the window becomes free, and these two agents send no requests
// either. They log the difference.
func TestWindowIgnoresLocalZoneData(t *testing.T) {
	deviating, folder := []int{1, 3}, writeOtherZoneData(t)
	r := newWindowObserver(t, 5, func(c *lab.Config) {
		if slices.Contains(deviating, c.Agent) {
			c.Env = append(c.Env, "ZONEINFO="+folder)
		}
	})
	zone, err := time.LoadLocation("Europe/Bucharest")
	require.NoError(t, err)
	now := time.Now().In(zone)
	hours := fmt.Sprintf("mon-sun %s-%s", now.Add(-time.Hour).Format("15:04"), now.Add(time.Hour).Format("15:04"))
	r.propose(strings.Replace(contracts, "zone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]",
		fmt.Sprintf("zone = \"Europe/Bucharest\"\nhours = [%q]", hours), 1))
	output, err := r.requestWindow(2, "w", "s-0", "+9s", "+35s")
	require.NoError(t, err, output)
	r.awaitState(3, "w", "free")
	freeSince := time.Now()
	w := r.awaitState(0, "w", "returning")
	require.Empty(t, w.Reason)
	require.Empty(t, r.arrivalsAt(-1, 0, "east", freeSince, w.ReturnFrom))
	require.NotEmpty(t, r.arrivalsAt(3, 0, "west", freeSince, w.ReturnFrom))
	for _, a := range r.Agents() {
		require.Equal(t, slices.Contains(deviating, a.Number), a.LogContains("time zone rules differ from this machine's zone data"), a.Name)
	}
	require.Empty(t, r.EndAll())
}

// zoneTable returns a policy's table for a time zone of the test: its UTC offset before the change and after it.
func zoneTable(zone string, before, after time.Duration, change time.Time) string {
	entry := func(t time.Time, offset time.Duration) string {
		return t.UTC().Format("\"2006-01-02T15:04:05Z") + time.Now().In(time.FixedZone("", int(offset.Seconds()))).Format(" -07:00\"")
	}
	return fmt.Sprintf("[zones.%q]\nchanges = [%s, %s, %q]\n", zone, entry(time.Now().AddDate(0, 0, -3), before), entry(change, after),
		time.Now().AddDate(1, 0, 0).UTC().Format(time.RFC3339)+" end")
}

// contractTable returns a policy's table for a tenant's contract.
func contractTable(tenant, zone, hours, lines string) string {
	return fmt.Sprintf("[contracts.%s]\nzone = %q\nhours = [%q]\nkeep = 0.5\n%s\n", tenant, zone, hours, lines)
}

// windowCommand requests or checks a window for a tenant.
func (r *windowObserver) windowCommand(command, tenant, id, server string, from, to time.Time) (string, error) {
	args := []string{
		"window", command, "--node", server, "--tenant", tenant, "--pace", "1", "--from", from.UTC().Format(time.RFC3339Nano),
		"--to", to.UTC().Format(time.RFC3339Nano),
	}
	if command == "ask" {
		args = append(args, "--id", id)
	}
	return fleetCommand(r.t, r.Agent(3), args...)
}

// East's clocks go forward when its hours have half an hour left, which ends them. West's clocks go back when its hours
// have a minute left, which extends them by an hour. East's window must end before the change, with its requests returned.
// West's window may last over it.
func TestWindowAcrossClockChange(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	change := time.Now().Truncate(time.Second).Add(32 * time.Second)
	clockAt := func(at time.Time, offset time.Duration) string { return at.UTC().Add(offset).Format("15:04") }
	document := "format = 1\n[capacity]\nload = 0.4\n" +
		contractTable("east", "Test/Forward", "mon-sun "+clockAt(change.Add(-time.Hour), 2*time.Hour)+"-"+clockAt(change.Add(30*time.Minute), 2*time.Hour), "") +
		contractTable("west", "Test/Back", "mon-sun "+clockAt(change.Add(-90*time.Minute), 3*time.Hour)+"-"+clockAt(change.Add(time.Minute), 3*time.Hour), "") +
		zoneTable("Test/Forward", 2*time.Hour, 3*time.Hour, change) + zoneTable("Test/Back", 3*time.Hour, 2*time.Hour, change)
	r.propose(document)
	from := time.Now().Add(9 * time.Second)
	output, err := r.windowCommand("check", "east", "", "s-0", from, change.Add(10*time.Second))
	require.ErrorContains(t, err, "exit", output)
	require.Contains(t, output, "its contract's hours are")
	output, err = r.windowCommand("check", "west", "", "s-1", from, change.Add(40*time.Minute))
	require.NoError(t, err, output)
	output, err = r.windowCommand("ask", "east", "e", "s-0", from, change.Add(-2*time.Second))
	require.NoError(t, err, output)
	output, err = r.windowCommand("ask", "west", "w", "s-1", from, change.Add(15*time.Second))
	require.NoError(t, err, output)
	eastWindow, eastFreeSince := r.awaitState(1, "e", "free"), time.Now()
	westWindow, westFreeSince := r.awaitState(1, "w", "free"), time.Now()
	require.NoError(t, r.Wait(t.Context(), "the clock change", func() bool { return time.Now().After(change) }))
	for a := range r.Agents() {
		r.awaitReturn(a, "east")
	}
	r.awaitState(1, "w", "returning")
	require.Empty(t, r.arrivalsAt(-1, 0, "east", eastFreeSince, eastWindow.ReturnFrom))
	require.Empty(t, r.arrivalsAt(-1, 1, "west", westFreeSince, westWindow.ReturnFrom))
	require.True(t, westWindow.ReturnFrom.After(change) && eastWindow.ReturnFrom.Before(change))
	require.Empty(t, r.EndAll())
}

// A window may last over midnight, as do the contract's hours that began the day before. If the next day is excluded, the
// hours end at midnight and such a window is rejected.
func TestWindowAcrossMidnight(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	midnight := time.Now().Truncate(time.Minute).Add(time.Minute)
	if time.Until(midnight) < 35*time.Second { // 19 s are needed, and the time until the policy is in force
		midnight = midnight.Add(time.Minute)
	}
	offset := 24*time.Hour - time.Duration(midnight.Unix())*time.Second%(24*time.Hour) // UTC offset at which that time is midnight
	if offset > 12*time.Hour {
		offset -= 24 * time.Hour
	}
	local := midnight.UTC().Add(offset)
	hours := strings.ToLower(local.Add(-time.Minute).Format("Mon")) + " 22:00-02:00"
	r.propose("format = 1\n[capacity]\nload = 0.4\n" + contractTable("east", "Test/Here", hours, "") +
		contractTable("west", "Test/Here", hours, fmt.Sprintf("excluded = [%q]", local.Format(time.DateOnly))) +
		zoneTable("Test/Here", offset, offset, midnight))
	from, to := time.Now().Add(9*time.Second), midnight.Add(12*time.Second)
	output, err := r.windowCommand("check", "west", "", "s-1", from, to)
	require.ErrorContains(t, err, "exit", output)
	require.Contains(t, output, "its contract's hours are")
	output, err = r.windowCommand("check", "west", "", "s-1", from, midnight.Add(-2*time.Second))
	require.NoError(t, err, output)
	output, err = r.windowCommand("ask", "east", "w", "s-0", from, to)
	require.NoError(t, err, output)
	w, freeSince := r.awaitState(1, "w", "free"), time.Now()
	require.True(t, freeSince.Before(midnight) && w.ReturnFrom.After(midnight), "%v %v %v", freeSince, midnight, w.ReturnFrom)
	r.awaitState(1, "w", "returning")
	require.Empty(t, r.arrivalsAt(-1, 0, "east", freeSince, w.ReturnFrom))
	require.NotEmpty(t, r.arrivalsAt(-1, 0, "west", freeSince, w.ReturnFrom))
	require.Empty(t, r.EndAll())
}

// The drained endpoint is killed and leaves the endpoint list, which is what windows are for. The window stays free, both
// tenants are served elsewhere, and the moved tenant's requests return to the new process after the window.
func TestWindowServerKilled(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	output, err := r.requestWindow(3, "w", "s-0", "+9s", "+36s")
	require.NoError(t, err, output)
	w := r.awaitState(1, "w", "free")
	for _, a := range r.Agents() {
		a.Server(0).RefuseConnections()
		a.Server(0).CloseConnections()
	}
	r.SetServerState(0, "left")
	downSince := time.Now()
	var wait sync.WaitGroup
	for _, a := range r.Agents() {
		for _, tenant := range []string{"east", "west"} {
			wait.Go(func() {
				for n := range 20 {
					status, _, requestErr := a.RequestForTenant(t.Context(), tenant, "consult", fmt.Sprint("s", n))
					assert.NoError(t, requestErr) //nolint:testifylint // require may not be called from another goroutine
					assert.Equal(t, 200, status, tenant)
				}
			})
		}
	}
	wait.Wait()
	checked, err := r.windowCommand("check", "west", "", "s-1", downSince.Add(time.Hour), downSince.Add(2*time.Hour))
	require.NoError(t, err, "the server counts as available after its window: %s", checked)
	require.Equal(t, "free", r.windowAt(1, "w").State)
	for _, a := range r.Agents() {
		require.NoError(t, a.Server(0).AcceptConnections())
	}
	r.SetServerState(0, "active")
	later := r.awaitState(1, "w", "returning")
	require.Empty(t, later.Reason)
	require.Empty(t, r.arrivalsAt(-1, 0, "east", downSince, w.ReturnFrom))
	for a := range r.Agents() {
		r.awaitReturn(a, "east")
	}
	require.Empty(t, r.EndAll())
}

// fortyAgentSettings is the [fleet] section for forty agents on one machine with 30 % datagram loss. The floor ends within
// the window, so that agents that are cut off reach the bottom mode.
const fortyAgentSettings = "[fleet]\non = true\npolicy = true\nwindows = true\nplacement = true\nvoters = [0, 8, 16, 24, 32]\n" +
	"floor_s = 20\nnotice_s = 30\nmargin_s = 2\nlinger_s = 2\n"

// Forty agents with ring assignment, 30 % datagram loss and constant load. The leader is killed while a window is draining,
// drained and free. A fifth of the agents is cut off from the draining until after the window's end. The others are killed
// and restarted, a tenth at a time. An endpoint joins. No request of the moved tenant arrives while the window is free.
// Before the window and after its hours, the server gets the same fraction of the requests of both tenants.
//
// The test runs with turns, where starting agents get requests at once, and without. Without turns, an agent that has no
// state yet may use the drained server, so it gets requests only once it is ready. Long: runs only with LONG_TESTS.
func TestWindowWithFortyAgents(t *testing.T) {
	if os.Getenv("LONG_TESTS") == "" {
		t.Skip("LONG_TESTS is not set")
	}
	for _, turns := range []int{2, 0} {
		t.Run(fmt.Sprint("turns ", turns), func(t *testing.T) {
			t.Parallel()
			newFortyAgents(t, turns).run()
		})
	}
}

type fortyAgents struct{ *windowObserver }

func newFortyAgents(t *testing.T, turns int) *fortyAgents {
	folders := t.TempDir()
	var zones []string
	if turns > 0 { // only the first server is in its turn now
		now, until := maintenance.Turns(turns).At(sinceEpoch())
		if until < sinceEpoch()+15*time.Minute {
			t.Skip("the current turn ends too soon")
		}
		for n := 0; len(zones) < 4; n++ {
			zone := fmt.Sprint("z", n)
			if server := len(zones); (maintenance.Turns(turns).Of("", zone) == now) == (server == 0) {
				zones = append(zones, zone)
			}
		}
	}
	r := openWindowObserver(&windowObserver{t: t, failing: map[int]bool{}, requestPause: 100 * time.Millisecond, awaitsReady: turns == 0},
		lab.Options{Agents: 40, Zones: zones, WaitTimeout: 8 * time.Minute}, func(c *lab.Config) {
			c.OperatorFile = fortyAgentSettings + fmt.Sprintln("turns =", turns)
			if turns == 0 { // an agent that reports ready because of the timeout would get requests without having any state
				c.OperatorFile += "ready_ms = 10000\n"
			}
			if c.Agent%8 == 0 { // with this loss, restarting voters one after the other would lose a log in memory
				c.OperatorFile += fmt.Sprintf("folder = %q\n", voterFolder(t, folders, c.Agent))
			}
		})
	return &fortyAgents{r}
}

// run performs the steps of TestWindowWithFortyAgents.
func (f *fortyAgents) run() {
	t, ctx := f.t, f.t.Context()
	require.NoError(t, f.Wait(ctx, "all agents use a generation", allAgents(f.Lab, func(_ *lab.Agent, s fleetStatus) bool {
		return s.Ring != nil && s.Ring.Active > 0
	})))
	_, err := f.InjectNetworkFault(mishap.Fault{Impairment: mishap.Impairment{Loss: 0.3, Duplicate: 0.1}})
	require.NoError(t, err)
	f.SetServerState(3, "left")
	start := time.Now()
	end := start.Add(5 * time.Minute).Truncate(time.Minute).UTC()
	hours := fmt.Sprintf("hours = [\"mon-sun %s-%s\"]", start.Add(-time.Minute).UTC().Format("15:04"), end.Format("15:04"))
	f.propose(strings.Replace(contracts, "hours = [\"mon-sun 00:00-24:00\"]", hours, 1))
	output, err := f.requestWindow(6, "w", "s-0", "+45s", end.Add(-4*time.Second).Format(time.RFC3339))
	require.NoError(t, err, output)

	f.awaitState(2, "w", "draining")
	f.restartLeader("draining")
	cut := f.cutOffFifth()
	f.SetServerState(3, "active")
	f.awaitState(2, "w", "drained")
	f.restartLeader("drained")
	w := f.awaitState(2, "w", "free")
	freeSince := time.Now()
	f.restartLeader("free")
	restarted := f.rollingRestart(cut, w.ReturnFrom.Add(-30*time.Second))
	w = f.awaitState(2, "w", "returning")
	require.Empty(t, w.Reason)
	require.NoError(t, f.Wait(ctx, "the hours end", func() bool { return time.Now().After(end) }))
	hoursEnd := time.Now()
	f.awaitState(2, "w", "ended")
	require.NoError(t, f.Wait(ctx, "some time passes", func() bool { return time.Since(hoursEnd) > 20*time.Second }))
	f.judge(cut, start, freeSince, hoursEnd, w, restarted)
	require.Empty(t, f.EndAll())
}

// restartLeader kills the leader and starts it again.
func (f *fortyAgents) restartLeader(step string) {
	f.t.Helper()
	var leading *lab.Agent
	require.NoError(f.t, f.Wait(f.t.Context(), "an agent leads", func() bool {
		leading = leader(f.Lab)
		return leading != nil
	}))
	leading.Kill()
	require.NoError(f.t, leading.Start(f.t.Context()))
	f.t.Logf("at %v, %s: the leader %s was killed and restarted", f.Now().Round(time.Second), step, leading.Name)
}

// cutOffFifth cuts off one agent in five, a voter among them, and returns their numbers.
func (f *fortyAgents) cutOffFifth() (cut []int) {
	for n := 3; n < 40; n += 5 {
		f.cutOff(n)
		cut = append(cut, n)
	}
	return cut
}

// rollingRestart kills and restarts all agents but some, a tenth at a time, until a given time. It returns how many it
// restarted.
func (f *fortyAgents) rollingRestart(except []int, until time.Time) (restarted int) {
	for n := 0; n < 40 && time.Now().Before(until); n += 4 {
		var wait sync.WaitGroup
		for _, a := range f.Agents()[n : n+4] {
			if !slices.Contains(except, a.Number) {
				a.Kill()
				wait.Go(func() { assert.NoError(f.t, a.Start(f.t.Context())) })
				restarted++
			}
		}
		wait.Wait()
	}
	return restarted
}

// judge checks the arrivals at the window's server: none of the moved tenant while the window was free, and before and after
// it the same fraction as of the other tenant, which sends the same keys.
func (f *fortyAgents) judge(cut []int, start, freeSince, hoursEnd time.Time, w windowState, restarted int) {
	arrivals := func(tenant string, from, to time.Time) (arrivals, all int) {
		for server := range 4 {
			for _, a := range f.arrivalsAt(-1, server, tenant, from, to) {
				if slices.Contains(cut, a.agent) && f.observesTurns(from, hoursEnd) { // such an agent sends nothing to servers in their turn
					continue
				}
				if all++; server == 0 {
					arrivals++
				}
			}
		}
		return arrivals, all
	}
	f.t.Logf("free for %v; %d agents restarted; %d datagrams delivered", w.ReturnFrom.Sub(freeSince).Round(time.Second), restarted, f.NetworkCounts().Datagrams)
	for _, span := range []struct {
		name     string
		from, to time.Time
	}{{"before", start, w.From}, {"while it was free", freeSince, w.ReturnFrom}, {"after the hours", hoursEnd, time.Now()}} {
		east, ofEast := arrivals("east", span.from, span.to)
		west, ofWest := arrivals("west", span.from, span.to)
		f.t.Logf("%s: of %d requests of the moved tenant %d arrived at the server, of the other's %d of %d", span.name, ofEast, east, west, ofWest)
		require.Positive(f.t, west)
		if span.name == "while it was free" {
			f.t.Logf("%d of them from agents that reported ready without having caught up", f.arrivalsFromUninformed(freeSince, w.ReturnFrom))
			require.Equal(f.t, f.arrivalsFromUninformed(freeSince, w.ReturnFrom), east)
			continue
		}
		require.InDelta(f.t, float64(west)/float64(ofWest), float64(east)/float64(ofEast), 0.05, span.name)
	}
}

// arrivalsFromUninformed returns how many requests of the moved tenant came from agents that reported ready only because of
// the timeout, as their log shows. Without turns such agents may use the server. With turns it returns 0.
func (f *fortyAgents) arrivalsFromUninformed(from, to time.Time) (n int) {
	for _, a := range f.arrivalsAt(-1, 0, "east", from, to) {
		if f.awaitsReady && f.Agent(a.agent).LogContains("caught_up=false") {
			n++
		}
	}
	return n
}

// observesTurns reports whether, at a given time, agents that are cut off send nothing to servers in their turn.
func (f *fortyAgents) observesTurns(at, hoursEnd time.Time) bool {
	return !f.awaitsReady && !at.Before(hoursEnd)
}
