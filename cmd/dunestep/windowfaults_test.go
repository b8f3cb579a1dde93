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

// writeOtherZoneData is a folder of zone data by which clocks in Bucharest always show nine hours more than UTC's.
func writeOtherZoneData(t *testing.T) string {
	folder := t.TempDir()
	require.NoError(t, os.MkdirAll(filepath.Join(folder, "Europe"), 0o700))
	counts := []byte{0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 4}
	data := slices.Concat([]byte("TZif"), make([]byte, 16), counts, []byte{0, 0, 0x7e, 0x90, 0, 0}, []byte("law\x00"))
	require.NoError(t, os.WriteFile(filepath.Join(folder, "Europe", "Bucharest"), data, 0o600))
	return folder
}

// Two agents, a voter among them, have zone data of another law, by which the hours are over: all go by what was
// agreed on as the policy was proposed, so the window is free and nothing arrives from those two either. They say so.
func TestWindowIgnoresLocalZoneData(t *testing.T) {
	odd, folder := []int{1, 3}, writeOtherZoneData(t)
	r := newWindowObserver(t, 5, func(c *lab.Config) {
		if slices.Contains(odd, c.Agent) {
			c.Env = append(c.Env, "ZONEINFO="+folder)
		}
	})
	zone, err := time.LoadLocation("Europe/Bucharest")
	require.NoError(t, err)
	now := time.Now().In(zone)
	hours := fmt.Sprintf("mon-sun %s-%s", now.Add(-time.Hour).Format("15:04"), now.Add(time.Hour).Format("15:04"))
	r.propose(strings.Replace(contracts, "zone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]",
		fmt.Sprintf("zone = \"Europe/Bucharest\"\nhours = [%q]", hours), 1))
	text, err := r.requestWindow(2, "w", "s-0", "+9s", "+35s")
	require.NoError(t, err, text)
	r.awaitState(3, "w", "free")
	free := time.Now()
	w := r.awaitState(0, "w", "returning")
	require.Empty(t, w.Reason)
	require.Empty(t, r.arrivalsAt(-1, 0, "east", free, w.ReturnFrom))
	require.NotEmpty(t, r.arrivalsAt(3, 0, "west", free, w.ReturnFrom))
	for _, a := range r.Agents() {
		require.Equal(t, slices.Contains(odd, a.Number), a.Said("time zone rules differ from this machine's zone data"), a.Name)
	}
	require.Empty(t, r.EndAll())
}

// shown is a contract's zone by a test's own law: what clocks show from a moment on, and after another.
func zoneTable(zone string, before, after time.Duration, change time.Time) string {
	at := func(t time.Time, offset time.Duration) string {
		return t.UTC().Format("\"2006-01-02T15:04:05Z") + time.Now().In(time.FixedZone("", int(offset.Seconds()))).Format(" -07:00\"")
	}
	return fmt.Sprintf("[zones.%q]\nchanges = [%s, %s, %q]\n", zone, at(time.Now().AddDate(0, 0, -3), before), at(change, after),
		time.Now().AddDate(1, 0, 0).UTC().Format(time.RFC3339)+" end")
}

// contractTable is a contract's table.
func contractTable(tenant, zone, hours, more string) string {
	return fmt.Sprintf("[contracts.%s]\nzone = %q\nhours = [%q]\nkeep = 0.5\n%s\n", tenant, zone, hours, more)
}

// windowCommand asks for a window of a tenant's, or checks it.
func (r *windowObserver) windowCommand(what, tenant, id, node string, from, to time.Time) (string, error) {
	args := []string{
		"window", what, "--node", node, "--tenant", tenant, "--pace", "1", "--from", from.UTC().Format(time.RFC3339Nano),
		"--to", to.UTC().Format(time.RFC3339Nano),
	}
	if what == "ask" {
		args = append(args, "--id", id)
	}
	return fleetCommand(r.t, r.Agent(3), args...)
}

// Clocks go forward while east's hours have half an hour left, and back while west's have a minute left: east's are over
// at that moment, west's go on for an hour. East's window ends by then, and its traffic is back; west's goes on over it.
func TestWindowAcrossClockChange(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	change := time.Now().Truncate(time.Second).Add(32 * time.Second)
	wall := func(at time.Time, offset time.Duration) string { return at.UTC().Add(offset).Format("15:04") }
	text := "format = 1\n[capacity]\nload = 0.4\n" +
		contractTable("east", "Test/Forward", "mon-sun "+wall(change.Add(-time.Hour), 2*time.Hour)+"-"+wall(change.Add(30*time.Minute), 2*time.Hour), "") +
		contractTable("west", "Test/Back", "mon-sun "+wall(change.Add(-90*time.Minute), 3*time.Hour)+"-"+wall(change.Add(time.Minute), 3*time.Hour), "") +
		zoneTable("Test/Forward", 2*time.Hour, 3*time.Hour, change) + zoneTable("Test/Back", 3*time.Hour, 2*time.Hour, change)
	r.propose(text)
	from := time.Now().Add(9 * time.Second)
	said, err := r.windowCommand("check", "east", "", "s-0", from, change.Add(10*time.Second))
	require.ErrorContains(t, err, "exit", said)
	require.Contains(t, said, "its contract's hours are")
	said, err = r.windowCommand("check", "west", "", "s-1", from, change.Add(40*time.Minute))
	require.NoError(t, err, said)
	said, err = r.windowCommand("ask", "east", "e", "s-0", from, change.Add(-2*time.Second))
	require.NoError(t, err, said)
	said, err = r.windowCommand("ask", "west", "w", "s-1", from, change.Add(15*time.Second))
	require.NoError(t, err, said)
	e, free := r.awaitState(1, "e", "free"), time.Now()
	w, freeToo := r.awaitState(1, "w", "free"), time.Now()
	require.NoError(t, r.Wait(t.Context(), "clocks change", func() bool { return time.Now().After(change) }))
	for a := range r.Agents() {
		r.awaitReturn(a, "east")
	}
	r.awaitState(1, "w", "returning")
	require.Empty(t, r.arrivalsAt(-1, 0, "east", free, e.ReturnFrom))
	require.Empty(t, r.arrivalsAt(-1, 1, "west", freeToo, w.ReturnFrom))
	require.True(t, w.ReturnFrom.After(change) && e.ReturnFrom.Before(change))
	require.Empty(t, r.EndAll())
}

// A window goes over midnight, as the hours that began on the day before do; where the next day is excluded they end at
// midnight, and such a window is refused.
func TestWindowAcrossMidnight(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	midnight := time.Now().Truncate(time.Minute).Add(time.Minute)
	if time.Until(midnight) < 35*time.Second { // 19 s are needed, and what the policy takes to hold
		midnight = midnight.Add(time.Minute)
	}
	offset := 24*time.Hour - time.Duration(midnight.Unix())*time.Second%(24*time.Hour) // by which it is midnight then
	if offset > 12*time.Hour {
		offset -= 24 * time.Hour
	}
	local := midnight.UTC().Add(offset)
	hours := strings.ToLower(local.Add(-time.Minute).Format("Mon")) + " 22:00-02:00"
	r.propose("format = 1\n[capacity]\nload = 0.4\n" + contractTable("east", "Test/Here", hours, "") +
		contractTable("west", "Test/Here", hours, fmt.Sprintf("excluded = [%q]", local.Format(time.DateOnly))) +
		zoneTable("Test/Here", offset, offset, midnight))
	from, to := time.Now().Add(9*time.Second), midnight.Add(12*time.Second)
	said, err := r.windowCommand("check", "west", "", "s-1", from, to)
	require.ErrorContains(t, err, "exit", said)
	require.Contains(t, said, "its contract's hours are")
	said, err = r.windowCommand("check", "west", "", "s-1", from, midnight.Add(-2*time.Second))
	require.NoError(t, err, said)
	said, err = r.windowCommand("ask", "east", "w", "s-0", from, to)
	require.NoError(t, err, said)
	w, free := r.awaitState(1, "w", "free"), time.Now()
	require.True(t, free.Before(midnight) && w.ReturnFrom.After(midnight), "%v %v %v", free, midnight, w.ReturnFrom)
	r.awaitState(1, "w", "returning")
	require.Empty(t, r.arrivalsAt(-1, 0, "east", free, w.ReturnFrom))
	require.NotEmpty(t, r.arrivalsAt(-1, 0, "west", free, w.ReturnFrom))
	require.Empty(t, r.EndAll())
}

// The endpoint is killed while it is drained, and leaves the list: that is what the window is for, so it stays
// free, both groups are served elsewhere, and the moved one comes back to the new process after its time.
func TestWindowServerKilled(t *testing.T) {
	r := newWindowObserver(t, 5, nil)
	text, err := r.requestWindow(3, "w", "s-0", "+9s", "+36s")
	require.NoError(t, err, text)
	w := r.awaitState(1, "w", "free")
	for _, a := range r.Agents() {
		a.Server(0).Refuse()
		a.Server(0).HangUp()
	}
	r.List(0, "left")
	down := time.Now()
	var wait sync.WaitGroup
	for _, a := range r.Agents() {
		for _, tenant := range []string{"east", "west"} {
			wait.Go(func() {
				for n := range 20 {
					status, _, askErr := a.AskFor(t.Context(), tenant, "consult", fmt.Sprint("s", n))
					assert.NoError(t, askErr) //nolint:testifylint // require may not be called from another goroutine
					assert.Equal(t, 200, status, tenant)
				}
			})
		}
	}
	wait.Wait()
	said, err := r.windowCommand("check", "west", "", "s-1", down.Add(time.Hour), down.Add(2*time.Hour))
	require.NoError(t, err, "what a window holds is back after it: %s", said)
	require.Equal(t, "free", r.windowAt(1, "w").State)
	for _, a := range r.Agents() {
		require.NoError(t, a.Server(0).Accept())
	}
	r.List(0, "active")
	now := r.awaitState(1, "w", "returning")
	require.Empty(t, now.Reason)
	require.Empty(t, r.arrivalsAt(-1, 0, "east", down, w.ReturnFrom))
	for a := range r.Agents() {
		r.awaitReturn(a, "east")
	}
	require.Empty(t, r.EndAll())
}

// fortyAgentSettings are those of a fleet of forty on one machine, with three datagrams in ten lost. The floor ends within the
// window, so that agents which are cut off come to the bottom.
const fortyAgentSettings = "[fleet]\non = true\npolicy = true\nwindows = true\nplacement = true\nvoters = [0, 8, 16, 24, 32]\n" +
	"floor_s = 20\nnotice_s = 30\nmargin_s = 2\nlinger_s = 2\n"

// Forty agents, placement on, three datagrams in ten lost, requests all the time: the leader is killed while a window
// drains, once it has, and while it is free; a fifth is cut off from the middle until after its end; the others are
// killed a tenth at a time and started again; an endpoint joins. Nothing of the moved group arrives while it is
// free, and before and after its hours it has its part as the other group does. Once with turns, requests coming to
// agents that begin; once without, where an agent that knows nothing is not promised to keep off, and is asked once
// it is ready. Long: LONG_TESTS.
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
	if turns > 0 { // the first server alone is in its turn now
		now, until := maintenance.Turns(turns).At(sinceEpoch())
		if until < sinceEpoch()+15*time.Minute {
			t.Skip("a turn ends too soon")
		}
		for n := 0; len(zones) < 4; n++ {
			zone := fmt.Sprint("z", n)
			if server := len(zones); (maintenance.Turns(turns).Of("", zone) == now) == (server == 0) {
				zones = append(zones, zone)
			}
		}
	}
	r := openWindowObserver(&windowObserver{t: t, failing: map[int]bool{}, requestPause: 100 * time.Millisecond, awaitsReady: turns == 0},
		lab.Options{Agents: 40, Zones: zones, Patience: 8 * time.Minute}, func(c *lab.Config) {
			c.Operator = fortyAgentSettings + fmt.Sprintln("turns =", turns)
			if turns == 0 { // an agent that says it is ready for want of time would be asked, and know nothing
				c.Operator += "ready_ms = 10000\n"
			}
			if c.Agent%8 == 0 { // with what is lost on the way, a roll of voters that keep nothing loses the log
				c.Operator += fmt.Sprintf("folder = %q\n", voterFolder(t, folders, c.Agent))
			}
		})
	return &fortyAgents{r}
}

func (f *fortyAgents) run() {
	t, ctx := f.t, f.t.Context()
	require.NoError(t, f.Wait(ctx, "all place by a generation", all(f.Lab, func(_ *lab.Agent, s fleetStatus) bool {
		return s.Ring != nil && s.Ring.Active > 0
	})))
	_, err := f.Spoil(mishap.Fault{Way: mishap.Way{Loss: 0.3, Double: 0.1}})
	require.NoError(t, err)
	f.List(3, "left")
	calm := time.Now()
	end := calm.Add(5 * time.Minute).Truncate(time.Minute).UTC()
	hours := fmt.Sprintf("hours = [\"mon-sun %s-%s\"]", calm.Add(-time.Minute).UTC().Format("15:04"), end.Format("15:04"))
	f.propose(strings.Replace(contracts, "hours = [\"mon-sun 00:00-24:00\"]", hours, 1))
	text, err := f.requestWindow(6, "w", "s-0", "+45s", end.Add(-4*time.Second).Format(time.RFC3339))
	require.NoError(t, err, text)

	f.awaitState(2, "w", "draining")
	f.restartLeader("draining")
	cut := f.cutOffFifth()
	f.List(3, "active")
	f.awaitState(2, "w", "drained")
	f.restartLeader("drained")
	w := f.awaitState(2, "w", "free")
	free := time.Now()
	f.restartLeader("free")
	rolled := f.rollingRestart(cut, w.ReturnFrom.Add(-30*time.Second))
	w = f.awaitState(2, "w", "returning")
	require.Empty(t, w.Reason)
	require.NoError(t, f.Wait(ctx, "the hours end", func() bool { return time.Now().After(end) }))
	over := time.Now()
	f.awaitState(2, "w", "ended")
	require.NoError(t, f.Wait(ctx, "some time passes", func() bool { return time.Since(over) > 20*time.Second }))
	f.judge(cut, calm, free, over, w, rolled)
	require.Empty(t, f.EndAll())
}

// restartLeader kills whoever leads, and starts it again.
func (f *fortyAgents) restartLeader(step string) {
	f.t.Helper()
	var led *lab.Agent
	require.NoError(f.t, f.Wait(f.t.Context(), "one leads", func() bool {
		led = leader(f.Lab)
		return led != nil
	}))
	led.Kill()
	require.NoError(f.t, led.Start(f.t.Context()))
	f.t.Logf("at %v, %s: the leader %s was killed, and is back", f.Now().Round(time.Second), step, led.Name)
}

// cutOffFifth cuts one agent in five off from all, a voter among them.
func (f *fortyAgents) cutOffFifth() (cut []int) {
	for n := 3; n < 40; n += 5 {
		f.cutOff(n)
		cut = append(cut, n)
	}
	return cut
}

// roll restarts all but some agents, a tenth at a time, and tells how many by a time.
func (f *fortyAgents) rollingRestart(but []int, until time.Time) (rolled int) {
	for n := 0; n < 40 && time.Now().Before(until); n += 4 {
		var wait sync.WaitGroup
		for _, a := range f.Agents()[n : n+4] {
			if !slices.Contains(but, a.Number) {
				a.Kill()
				wait.Go(func() { assert.NoError(f.t, a.Start(f.t.Context())) })
				rolled++
			}
		}
		wait.Wait()
	}
	return rolled
}

// judge holds what arrived against the promises: nothing while it was free, and outside of its course the moved group
// has of its requests there what the other one has, which comes with the same keys.
func (f *fortyAgents) judge(cut []int, calm, free, over time.Time, w windowState, rolled int) {
	there := func(tenant string, from, to time.Time) (there, all int) {
		for server := range 4 {
			for _, a := range f.arrivalsAt(-1, server, tenant, from, to) {
				if slices.Contains(cut, a.agent) && f.observesTurns(from, over) { // it keeps off what is in its turn
					continue
				}
				if all++; server == 0 {
					there++
				}
			}
		}
		return there, all
	}
	f.t.Logf("free for %v; %d agents restarted; %d datagrams came through", w.ReturnFrom.Sub(free).Round(time.Second), rolled, f.Network().Passed)
	for _, span := range []struct {
		name     string
		from, to time.Time
	}{{"before", calm, w.From}, {"while it was free", free, w.ReturnFrom}, {"after the hours", over, time.Now()}} {
		east, ofEast := there("east", span.from, span.to)
		west, ofWest := there("west", span.from, span.to)
		f.t.Logf("%s: of %d requests of the moved group %d were there, of the other's %d of %d", span.name, ofEast, east, west, ofWest)
		require.Positive(f.t, west)
		if span.name == "while it was free" {
			f.t.Logf("%d of them from agents that said they were ready with nothing caught up", f.arrivalsFromUninformed(free, w.ReturnFrom))
			require.Equal(f.t, f.arrivalsFromUninformed(free, w.ReturnFrom), east)
			continue
		}
		require.InDelta(f.t, float64(west)/float64(ofWest), float64(east)/float64(ofEast), 0.05, span.name)
	}
}

// unknowing are requests of the moved group that agents sent there which were ready for want of time, as their log says:
// without turns these are not promised to keep off. With turns there are none of them.
func (f *fortyAgents) arrivalsFromUninformed(from, to time.Time) (n int) {
	for _, a := range f.arrivalsAt(-1, 0, "east", from, to) {
		if f.awaitsReady && f.Agent(a.agent).Said("caught_up=false") {
			n++
		}
	}
	return n
}

// turned tells whether agents that are cut off keep off by turns at a time.
func (f *fortyAgents) observesTurns(at, over time.Time) bool {
	return !f.awaitsReady && !at.Before(over)
}
