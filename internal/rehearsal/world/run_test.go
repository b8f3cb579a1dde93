package world

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// recordingSink is a sink that keeps a run in memory.
type recordingSink struct {
	run     record.Run
	servers []record.Server
	events  []record.Event
	samples []record.Sample
	ended   time.Duration
}

func (d *recordingSink) Begin(run record.Run)          { d.run = run }
func (d *recordingSink) Server(_ int, s record.Server) { d.servers = append(d.servers, s) }
func (d *recordingSink) Observe(e *record.Event)       { d.events = append(d.events, *e) }
func (d *recordingSink) End(at time.Duration)          { d.ended = at }
func (d *recordingSink) Sample(s *record.Sample) {
	kept := *s
	kept.Servers = append([]record.Load(nil), s.Servers...)
	kept.Held = append([]int(nil), s.Held...)
	d.samples = append(d.samples, kept)
}

func play(t require.TestingT, sc *scenario.Scenario, seed uint64, o Options) *recordingSink {
	d := &recordingSink{}
	require.NoError(t, Play(context.Background(), sc, seed, d, o))
	return d
}

// ofKind returns the events of a kind.
func (d *recordingSink) ofKind(kind record.Kind) (found []record.Event) {
	for _, e := range d.events {
		if e.Kind == kind {
			found = append(found, e)
		}
	}
	return found
}

// attemptKey identifies an attempt, or with a negative index its client's try.
type attemptKey struct {
	requestID uint32
	attempt   int8
}

// requireBalanced checks an invariant of every run: whatever begins on the wire ends there exactly
// once.
func requireBalanced(t require.TestingT, d *recordingSink) {
	fail := func(e record.Event, why string) { require.Fail(t, why, "%+v", e) }
	type counts struct{ tries, accepted, ends, sent, ended, reached, worked int }
	seen := map[attemptKey]*counts{}
	open := map[[2]int32]int{}
	last := time.Duration(0)
	for _, e := range d.events {
		if e.At < last {
			fail(e, "time runs backwards")
		}
		last = e.At
		key := attemptKey{e.RequestID, e.Attempt}
		if e.Kind <= record.ClientLeft {
			key.attempt = -1
		}
		c := seen[key]
		if c == nil {
			c = &counts{}
			seen[key] = c
		}
		switch e.Kind {
		case record.RequestUnreached:
			c.tries++
			c.ends++
		case record.RequestReceived:
			c.tries++
			c.accepted++
		case record.Answered, record.ClientLeft, record.ConnectionLost:
			if c.ends++; c.accepted != 1 {
				fail(e, "ends without having been accepted")
			}
		case record.AttemptSent:
			if c.sent++; c.ended > 0 {
				fail(e, "sent after it has ended")
			}
		case record.AttemptEnded:
			c.ended++
		case record.AttemptReached:
			if c.reached++; c.sent != 1 {
				fail(e, "reached the server without having been sent")
			}
		case record.WorkDone:
			if c.worked++; c.reached != 1 || !e.Ran && e.Work != 0 {
				fail(e, "work on an attempt that never arrived or never ran")
			}
		case record.ConnOpened:
			open[[2]int32{e.Agent, e.Server}]++
		case record.ConnClosed:
			open[[2]int32{e.Agent, e.Server}]--
		}
	}
	for key, c := range seen {
		if c.tries > 1 || c.ends != c.tries || c.sent > 1 || c.ended < c.sent || c.ended > 1 || c.reached > 1 ||
			c.worked != c.reached {
			require.Fail(t, "does not begin and end exactly once", "%+v %+v", key, *c)
		}
	}
	for link, n := range open {
		require.Zero(t, n, "connections left open: %v", link)
	}
}

// anyFault draws a fault of any kind within a run of 20 s.
func anyFault(t *rapid.T, i int) scenario.FaultSpec {
	kinds := []scenario.FaultKind{
		scenario.Silent, scenario.Failing, scenario.Refusing, scenario.Deploy, scenario.SlowPeriod,
		scenario.MachinesUnreachable, scenario.Crashed, scenario.AgentsKilled, scenario.AgentsRestarted, scenario.ServersTakenOut, scenario.ClientsRedirected, scenario.AgentsUpgraded,
		scenario.DiscoveryDown, scenario.EmptyList,
		scenario.Reset, scenario.IdleConnectionsLost, scenario.UnreadableAnswers, scenario.Surge, scenario.Partition,
		scenario.DatagramsLost, scenario.FewConnections, scenario.Datagrams, scenario.Streams, scenario.AgentsPaused,
		scenario.AgentsSlowed, scenario.ClientsLeave, scenario.LateConnections,
	}
	kind := rapid.SampledFrom(kinds).Draw(t, fmt.Sprint("kind ", i))
	at, duration := rapid.Float64Range(0, 18000).Draw(t, "at"), rapid.Float64Range(100, 15000).Draw(t, "for")
	size := rapid.Float64Range(0.05, 1).Draw(t, "size")
	u := scenario.FaultSpec{
		Kind: kind, At: ms(at, at), For: ms(duration, duration), Count: 1 + int(size*4), Zone: "cluj-est",
		Part: span(0.01, 1), Size: span(size, size), Idle: ms(50, 2000), Drain: ms(0, 5000), SameAddress: span(0, 1),
	}
	switch kind {
	case scenario.SlowPeriod:
		u.Size = span(1+3*size, 1+3*size)
		if size < 0.5 {
			u.HealsBelow, u.HealsRest = span(0.3, 0.6), ms(500, 2000)
		}
	case scenario.Surge:
		u.Size = span(4*size, 4*size)
	case scenario.LateConnections:
		u.Delay = ms(1, 1500)
	case scenario.Streams:
		u.Fault = rapid.SampledFrom(scenario.StreamFaults).Draw(t, "fault")
		u.Stream = rapid.SampledFrom([]string{"discovery", "servers", "both"}).Draw(t, "stream")
		u.Agents = []int{0}
	case scenario.Datagrams:
		u.Loss, u.Duplicate, u.Flip, u.Shorten, u.Delay = span(0, 0.5), span(0.2, 0.2), span(0.1, 0.1), span(0.1, 0.1), ms(0, 900)
		u.From, u.Cut = []int{0}, size < 0.3
	}
	return u
}

// TestEverythingEndsOnce checks the invariant of requireBalanced for runs with any combination of
// faults.
func TestEverythingEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sc := deployment(20 * time.Second)
		sc.Load.PerS = span(100, 100)
		sc.Agents.Count = rapid.IntRange(1, 4).Draw(t, "agents")
		sc.Agents.Sockets = rapid.SampledFrom([]int{64, 1024}).Draw(t, "sockets")
		sc.Fleet.Servers = rapid.IntRange(1, 8).Draw(t, "servers")
		sc.Clients.KeepIdle = rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "kept")
		sc.Clients.Backoff = rapid.SampledFrom([]scenario.Backoff{
			scenario.AtOnce, scenario.Fixed,
			scenario.Exponential,
		}).Draw(t, "backoff")
		sc.Load.Arrivals = rapid.SampledFrom([]scenario.Arrivals{scenario.Poisson, scenario.Bursty}).Draw(t, "arrivals")
		if rapid.Bool().Draw(t, "plain") {
			sc.Load.Keys, sc.Tenants, sc.Network.Zones = span(0, 0), nil, []string{"buc-pipera", "cluj-est"}
		}
		for i := range rapid.IntRange(0, 4).Draw(t, "troubles") {
			sc.Faults = append(sc.Faults, anyFault(t, i))
		}
		requireBalanced(t, play(t, sc, rapid.Uint64().Draw(t, "seed"), Options{}))
	})
}
