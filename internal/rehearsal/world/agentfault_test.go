package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/overload"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/timeline"
)

func ofAgent(agent int32) func(record.Event) bool {
	return func(e record.Event) bool { return e.Agent == agent }
}

func between(from, to int32) func(record.Event) bool {
	return func(e record.Event) bool { return e.From == from && e.Agent == to }
}

// TestAgentFaults checks that faults of the agents and their paths show on the wire as specified, only
// for the agents that they name, and only while they last.
func TestAgentFaults(t *testing.T) {
	const settled = faultStart + 500*time.Millisecond // after earlier messages have arrived
	some := []int{0}
	for name, c := range map[string]struct {
		fault scenario.FaultSpec
		check func(t *testing.T, d *recordingSink)
	}{
		"cut one way": {
			scenario.FaultSpec{Kind: scenario.Datagrams, From: some, To: []int{1}, Cut: true},
			func(t *testing.T, d *recordingSink) {
				require.Zero(t, d.count(record.Datagram, settled, faultEnd, between(0, 1)))
				require.Positive(t, d.count(record.Datagram, settled, faultEnd, between(1, 0)))
				require.Positive(t, d.count(record.Datagram, settled, faultEnd, between(0, 2)))
				require.Positive(t, d.count(record.Datagram, faultEnd, runLength, between(0, 1)))
			},
		},
		"doubled": {
			scenario.FaultSpec{Kind: scenario.Datagrams, To: []int{1}, Duplicate: span(1, 1)},
			func(t *testing.T, d *recordingSink) {
				twice, once := 0, 0
				for _, from := range []int32{0, 3, 4} {
					twice += d.count(record.Datagram, settled, faultEnd, between(from, 1))
					once += d.count(record.Datagram, settled, faultEnd, between(from, 2))
				}
				require.InDelta(t, 2, float64(twice)/float64(once), 0.5, "%d and %d", twice, once)
			},
		},
		"paused": {scenario.FaultSpec{Kind: scenario.AgentsPaused, Agents: some}, func(t *testing.T, d *recordingSink) {
			for _, kind := range []record.Kind{record.AttemptSent, record.Answered} {
				require.Zero(t, d.count(kind, settled, faultEnd, ofAgent(0)), "a paused agent does nothing")
				require.Positive(t, d.count(kind, settled, faultEnd, ofAgent(1)))
			}
			require.Positive(t, d.count(record.RequestReceived, settled, faultEnd, ofAgent(0)), "its machine still accepts requests")
			require.Positive(t, d.count(record.AttemptSent, faultEnd, faultEnd+100*time.Millisecond, ofAgent(0)), "deferred events fire")
			require.Greater(t, d.count(record.Answered, 30*time.Second, runLength, served), 1000)
		}},
		"slowed": {
			scenario.FaultSpec{Kind: scenario.AgentsSlowed, Agents: some, Size: span(0.2, 0.2)},
			func(t *testing.T, d *recordingSink) {
				n := d.count(record.AttemptSent, faultStart, faultEnd, func(e record.Event) bool {
					still := time.Duration(0.8 * float64(scenario.SlowSlice))
					return e.Agent == 0 && (e.At-faultStart)%scenario.SlowSlice < still
				})
				require.Zero(t, n, "sent while paused")
				require.Positive(t, d.count(record.AttemptSent, settled, faultEnd, ofAgent(0)))
			},
		},
		"servers receive, answers blocked": {scenario.FaultSpec{
			Kind: scenario.Streams, Stream: "servers", Agents: some,
			Fault: scenario.StreamFromAgent,
		}, func(t *testing.T, d *recordingSink) {
			require.Positive(t, d.count(record.AttemptReached, settled, faultEnd, ofAgent(0)))
			require.Zero(t, d.count(record.AttemptEnded, settled, faultEnd,
				func(e record.Event) bool { return e.Agent == 0 && e.Outcome == record.OK }))
		}},
		"servers receive nothing": {scenario.FaultSpec{
			Kind: scenario.Streams, Stream: "servers", Agents: some,
			Fault: scenario.StreamToAgent,
		}, func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.AttemptReached, settled, faultEnd, ofAgent(0)))
			require.Positive(t, d.count(record.AttemptReached, settled, faultEnd, ofAgent(1)))
		}},
		"servers reset": {scenario.FaultSpec{
			Kind: scenario.Streams, Stream: "servers", Agents: some,
			Fault: scenario.StreamReset,
		}, func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.ConnOpened, settled, faultEnd, ofAgent(0)))
			require.Positive(t, d.count(record.AttemptEnded, settled, faultEnd, ended(record.NoConnection)))
			require.Positive(t, d.count(record.ConnOpened, faultEnd, runLength, ofAgent(0)))
		}},
		"discovery resets": {scenario.FaultSpec{
			Kind: scenario.Streams, Stream: "discovery", Agents: some,
			Fault: scenario.StreamReset,
		}, func(t *testing.T, d *recordingSink) {
			require.Positive(t, d.count(record.CallFailed, faultStart, faultEnd, ofAgent(0)))
			require.Zero(t, d.count(record.CallFailed, faultStart, faultEnd, ofAgent(1)))
			require.Zero(t, d.count(record.WatchOpened, faultStart, faultEnd, ofAgent(0)))
			require.Positive(t, d.count(record.WatchOpened, faultEnd, runLength, ofAgent(0)))
		}},
	} {
		t.Run(name, func(t *testing.T) { c.check(t, playFault(t, c.fault, nil)) })
	}
}

// TestBlockedDiscoveryStream checks that list changes reach an agent whose stream from discovery is
// blocked after the fault, and not before.
func TestBlockedDiscoveryStream(t *testing.T) {
	updates := func(fault scenario.ConnFault) (agents [2]int, after int) {
		d := playFault(t, scenario.FaultSpec{Kind: scenario.Streams, Stream: "discovery", Agents: []int{0}, Fault: fault},
			func(sc *scenario.Scenario) {
				sc.Faults = append(sc.Faults, scenario.FaultSpec{
					Kind: scenario.Deploy, At: ms(11000, 11000),
					For: ms(4000, 4000), Part: span(0.4, 0.4), Size: span(0.2, 0.2), Drain: ms(3000, 3000),
				})
			})
		for i := range agents {
			agents[i] = d.count(record.Notified, 11*time.Second, faultEnd, ofAgent(int32(i)))
		}
		return agents, d.count(record.Notified, faultEnd, faultEnd+time.Second, ofAgent(0))
	}
	for _, fault := range []scenario.ConnFault{scenario.StreamSilent, scenario.StreamFromAgent} {
		n, after := updates(fault)
		require.Zero(t, n[0], "%s", fault)
		require.Positive(t, n[1])
		require.Positive(t, after)
	}
	n, _ := updates(scenario.StreamToAgent)
	require.Positive(t, n[0])
}

// TestTimelineHasFaults checks that the timeline describes each fault at its start and end.
func TestTimelineHasFaults(t *testing.T) {
	var line timeline.Timeline
	sc := deployment(3 * time.Second)
	sc.Faults = []scenario.FaultSpec{{
		Kind: scenario.Datagrams, At: ms(1000, 1000), For: ms(500, 500),
		From: []int{0, 2}, Loss: span(0.5, 0.5),
	}}
	play(t, sc, 1, Options{Overload: overload.Config{Disabled: true}, Timeline: &line})
	entries, dropped := line.Entries()
	require.Zero(t, dropped)
	require.Equal(t, []timeline.Entry{
		{At: time.Second, Lane: timeline.Faults, Text: "datagrams from n0 n2: loses 0.5"},
		{At: 1500 * time.Millisecond, Lane: timeline.Faults, Text: "over: datagrams from n0 n2: loses 0.5"},
	}, entries)
}
