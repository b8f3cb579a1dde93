package world

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/overload"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Faults start after 10 s and last 12 s.
const (
	faultStart = 10 * time.Second
	faultEnd   = 22 * time.Second
	runLength  = 40 * time.Second
)

// playFault simulates a run with one fault.
func playFault(t *testing.T, u scenario.FaultSpec, change func(*scenario.Scenario)) *recordingSink {
	sc := deployment(runLength)
	u.At, u.For = ms(10000, 10000), ms(12000, 12000)
	sc.Faults = []scenario.FaultSpec{u}
	if change != nil {
		change(sc)
	}
	// Without load shedding, which would hide the effects of faults.
	d := play(t, sc, 7, Options{Overload: overload.Config{Disabled: true}})
	requireBalanced(t, d)
	return d
}

// count returns the number of matching events of a kind in a time interval.
func (d *recordingSink) count(kind record.Kind, from, to time.Duration, match func(record.Event) bool) (n int) {
	for _, e := range d.ofKind(kind) {
		if e.At >= from && e.At < to && (match == nil || match(e)) {
			n++
		}
	}
	return n
}

func served(e record.Event) bool   { return e.Answer == record.Served }
func firstTry(e record.Event) bool { return e.Try == 0 }
func crossing(e record.Event) bool { return e.CrossZone }
func ended(o record.Outcome) func(record.Event) bool {
	return func(e record.Event) bool { return e.Outcome == o }
}

// TestFaultKinds checks how each kind of fault shows on the wire while it lasts and afterwards.
func TestFaultKinds(t *testing.T) {
	const second = time.Second
	all := span(1, 1)
	for _, c := range []struct {
		fault  scenario.FaultSpec
		change func(*scenario.Scenario)
		check  func(t *testing.T, d *recordingSink)
	}{
		{fault: scenario.FaultSpec{Kind: scenario.Silent, Part: all}, check: func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.WorkDone, faultStart, faultEnd, func(e record.Event) bool { return e.Ran }))
			require.Zero(t, d.count(record.Answered, faultStart+second, faultEnd, served))
			require.Less(t, d.count(record.Answered, faultEnd, faultEnd+second, served), 150,
				"agents return to the servers slowly")
			require.Greater(t, d.count(record.Answered, 32*second, 33*second, served), 280)
		}},
		{
			fault: scenario.FaultSpec{Kind: scenario.Failing, Part: span(0.19, 0.19), Size: span(0.9, 0.9)},
			check: func(t *testing.T, d *recordingSink) {
				require.Greater(t, d.count(record.AttemptEnded, faultStart, faultEnd, ended(record.Error)), 30)
				require.Less(t, d.count(record.AttemptEnded, faultEnd, runLength, ended(record.Error)), 20)
			},
		},
		{fault: scenario.FaultSpec{Kind: scenario.Refusing, Part: all}, check: func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.Answered, faultStart+second, faultEnd, served))
			require.Greater(t, d.count(record.AttemptEnded, faultStart, faultEnd, ended(record.Rejected)), 1000)
			require.Zero(t, d.count(record.WorkDone, faultStart+2*second, faultEnd,
				func(e record.Event) bool { return e.Ran }))
		}},
		{fault: scenario.FaultSpec{
			Kind: scenario.Deploy, Part: span(0.8, 0.8), Size: span(0.18, 0.18),
			Drain: ms(3000, 3000), SameAddress: span(0.5, 0.5),
		}, check: func(t *testing.T, d *recordingSink) {
			require.Len(t, d.servers, 13+10)
			require.Equal(t, 10, d.count(record.ServerDown, faultStart+3*second, faultEnd+3*second, nil))
			require.Equal(t, 10, d.count(record.ServerUp, faultStart+3*second, faultEnd+3*second,
				func(e record.Event) bool { return e.SlowStart && e.Capacity < 0.6*d.servers[e.Server].Capacity }))
			addrs := map[string]bool{}
			for _, s := range d.servers {
				addrs[s.Addr] = true
			}
			require.Less(t, len(addrs), 23, "some new servers reuse addresses")
			require.Greater(t, len(addrs), 13, "and some have new ones")
		}},
		{fault: scenario.FaultSpec{Kind: scenario.SlowPeriod, Size: span(2.5, 2.5)}, check: func(t *testing.T, d *recordingSink) {
			capacity := func(second int) (sum float64) {
				for _, s := range d.samples[second-1].Servers {
					sum += s.Capacity
				}
				return sum
			}
			require.InDelta(t, 2.5, capacity(9)/capacity(15), 0.1)
			require.InDelta(t, 1, capacity(9)/capacity(23), 0.05)
		}},
		{
			fault:  scenario.FaultSpec{Kind: scenario.MachinesUnreachable, Part: span(0.19, 0.19)},
			change: func(sc *scenario.Scenario) { sc.Discovery.SilentNotice = ms(5000, 5000) },
			check: func(t *testing.T, d *recordingSink) {
				gone := map[int32]bool{}
				for _, e := range d.ofKind(record.ListChanged) {
					gone[e.Server] = gone[e.Server] || e.State == record.Gone && e.At == faultStart+5*second
				}
				require.Len(t, gone, 2)
				from := func(e record.Event) bool { return gone[e.Server] }
				require.Zero(t, d.count(record.AttemptReached, faultStart+5*time.Millisecond, faultEnd, from))
				require.Zero(t, d.count(record.AttemptEnded, faultStart+5*time.Millisecond, faultEnd, func(e record.Event) bool {
					return gone[e.Server] && e.Outcome != record.Abandoned && e.Outcome != record.NoConnection
				}), "no attempt at them succeeds")
				require.Greater(t, d.count(record.AttemptReached, faultEnd+5*second, runLength, from), 100, "they are used again")
			},
		},
		{fault: scenario.FaultSpec{Kind: scenario.Crashed, Part: span(0.19, 0.19)}, check: func(t *testing.T, d *recordingSink) {
			require.Equal(t, 2, d.count(record.ServerDown, faultStart, faultStart+1, nil))
			require.Equal(t, 2, d.count(record.ServerUp, faultEnd, faultEnd+1,
				func(e record.Event) bool { return e.SlowStart && e.Started == faultEnd }))
			require.Greater(t, d.count(record.AttemptEnded, faultStart, faultStart+second, ended(record.NoConnection))+
				d.count(record.AttemptEnded, faultStart, faultStart+second, ended(record.Broken)), 0)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.AgentsKilled, Count: 1}, check: func(t *testing.T, d *recordingSink) {
			require.Equal(t, 1, d.count(record.AgentDown, faultStart, faultStart+1, nil))
			require.Equal(t, 1, d.count(record.AgentUp, faultEnd+300*time.Millisecond, runLength, nil))
			require.Greater(t, d.count(record.ConnectionLost, faultStart, faultStart+second, nil), 0)
			require.Zero(t, d.count(record.RequestReceived, faultStart, faultEnd,
				func(e record.Event) bool { return e.Agent == 0 }))
			elsewhere := d.count(record.RequestReceived, faultStart, faultEnd, func(e record.Event) bool { return e.Try > 0 })
			require.InDelta(t, d.count(record.RequestUnreached, faultStart, faultEnd, firstTry), elsewhere, 100)
			require.Greater(t, d.count(record.Answered, 30*second, runLength,
				func(e record.Event) bool { return e.Agent == 0 && served(e) }), 500)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.AgentsRestarted, Count: 2}, check: func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.ConnectionLost, 0, runLength, nil), "it answers all accepted requests")
			require.Equal(t, 2, d.count(record.AgentDown, faultStart+750*time.Millisecond, faultStart+4*second, nil))
			require.Equal(t, 2, d.count(record.AgentUp, faultEnd, faultEnd+second, nil))
			busiest := func(e record.Event) bool { return e.Agent == 0 }
			require.Greater(t, d.count(record.RequestReceived, faultStart+300*time.Millisecond, faultStart+4*second, busiest), 10,
				"clients use their existing connections")
			require.Greater(t, d.count(record.RequestReceived, faultEnd+second, runLength, busiest), 500)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.ServersTakenOut, Part: span(0.19, 0.19)}, check: func(t *testing.T, d *recordingSink) {
			out := map[int32]bool{}
			for _, e := range d.ofKind(record.ServerDown) {
				require.Equal(t, faultStart+6*second, e.At, "restarted half-way")
				out[e.Server] = true
			}
			require.Len(t, out, 2)
			from := func(e record.Event) bool { return out[e.Server] }
			require.Zero(t, d.count(record.AttemptSent, faultStart+100*time.Millisecond, faultEnd, from), "no new attempts once pending connections are established")
			require.Equal(t, 2, d.count(record.ServerUp, faultEnd, faultEnd+1,
				func(e record.Event) bool { return e.SlowStart && e.Started == faultEnd }))
			require.Greater(t, d.count(record.AttemptSent, faultEnd, faultEnd+6*second, from), 10, "they are used again")
		}},
		{fault: scenario.FaultSpec{Kind: scenario.AgentsUpgraded, Count: 3}, check: func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.ConnectionLost, 0, runLength, nil), "both processes answer all accepted requests")
			require.Zero(t, d.count(record.RequestUnreached, 0, runLength, nil), "no client finds the agent closed")
			require.Equal(t, 3, d.count(record.AgentUp, faultStart, faultStart+1, nil))
			require.Zero(t, d.count(record.AgentDown, 0, runLength, nil), "the agent stays up")
			require.Greater(t, d.count(record.Answered, faultStart+2*second, runLength,
				func(e record.Event) bool { return e.Agent == 0 && served(e) }), 500)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.ClientsRedirected, Count: 1}, check: func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.ConnectionLost, 0, runLength, nil), "it answers all accepted requests")
			require.Zero(t, d.count(record.AgentDown, 0, runLength, nil), "the agent stays up")
			busiest := func(e record.Event) bool { return e.Agent == 0 }
			require.Greater(t, d.count(record.RequestReceived, faultStart, faultStart+second, busiest), 10)
			require.Zero(t, d.count(record.RequestReceived, faultStart+2*second, faultEnd, busiest))
			require.Greater(t, d.count(record.RequestReceived, faultEnd+second, runLength, busiest), 500)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.DiscoveryDown}, check: func(t *testing.T, d *recordingSink) {
			require.Equal(t, 5, d.count(record.CallFailed, faultStart, faultStart+1, nil), "each agent's watch fails")
			require.Zero(t, d.count(record.WatchOpened, faultStart, faultEnd, nil))
			require.Equal(t, 5, d.count(record.WatchOpened, faultEnd, runLength, nil))
		}},
		{fault: scenario.FaultSpec{Kind: scenario.EmptyList}, check: func(t *testing.T, d *recordingSink) {
			require.Equal(t, 13*5, d.count(record.Notified, faultStart, faultStart+2*second,
				func(e record.Event) bool { return e.State == record.Gone }))
			require.Zero(t, d.count(record.AttemptSent, faultStart+2*second, faultEnd, nil))
			require.Greater(t, d.count(record.AttemptSent, faultEnd+2*second, faultEnd+3*second, nil), 200)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.Reset, Size: span(0.08, 0.08)}, check: func(t *testing.T, d *recordingSink) {
			reached := d.count(record.AttemptReached, faultStart, faultEnd, nil)
			broken := d.count(record.AttemptEnded, faultStart, faultEnd, ended(record.Broken))
			require.InDelta(t, 0.08, float64(broken)/float64(reached), 0.015)
			lost := map[attemptKey]bool{}
			for _, e := range d.ofKind(record.AttemptEnded) {
				lost[attemptKey{e.RequestID, e.Attempt}] = e.Outcome == record.Broken
			}
			ran := d.count(record.WorkDone, faultStart, faultEnd, func(e record.Event) bool {
				return e.Ran && lost[attemptKey{e.RequestID, e.Attempt}]
			})
			require.InDelta(t, 0.5, float64(ran)/float64(broken), 0.1, "half of the broken attempts had run")
			require.Zero(t, d.count(record.AttemptEnded, faultEnd+second, runLength, ended(record.Broken)))
		}},
		{fault: scenario.FaultSpec{Kind: scenario.IdleConnectionsLost, Idle: ms(500, 500)}, check: func(t *testing.T, d *recordingSink) {
			early := d.count(record.AttemptEnded, faultStart, faultStart+4*second, ended(record.Broken))
			require.Greater(t, early, 10)
			require.Less(t, d.count(record.AttemptEnded, faultEnd-4*second, faultEnd, ended(record.Broken)), early/2,
				"agents learn the idle time that connections survive")
		}},
		{
			fault: scenario.FaultSpec{Kind: scenario.UnreadableAnswers, Part: span(0.2, 0.2), Size: span(0.2, 0.2)},
			check: func(t *testing.T, d *recordingSink) {
				require.Greater(t, d.count(record.AttemptEnded, faultStart, faultEnd, ended(record.UnreadableAnswer)), 30)
				require.Zero(t, d.count(record.AttemptEnded, faultEnd+second, runLength, ended(record.UnreadableAnswer)))
			},
		},
		{fault: scenario.FaultSpec{Kind: scenario.Surge, Size: span(4, 4)}, check: func(t *testing.T, d *recordingSink) {
			require.InDelta(t, 4*12*330, d.count(record.RequestReceived, faultStart, faultEnd, firstTry), 5*130)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.Surge, Size: span(0.25, 0.25)}, check: func(t *testing.T, d *recordingSink) {
			require.InDelta(t, 12*330/4, d.count(record.RequestReceived, faultStart, faultEnd, firstTry), 5*32)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.Partition, Zone: "buc-pipera"}, check: func(t *testing.T, d *recordingSink) {
			inA := func(e record.Event) bool {
				return crossing(e) && (d.servers[e.Server].Zone == "buc-pipera" || d.run.Agents[e.Agent].Zone == "buc-pipera")
			}
			require.Greater(t, d.count(record.AttemptReached, 0, faultStart, inA), 100)
			require.Zero(t, d.count(record.AttemptReached, faultStart+5*time.Millisecond, faultEnd, inA))
			require.Greater(t, d.count(record.AttemptReached, faultEnd+5*second, runLength, inA), 100)
		}},
		{fault: scenario.FaultSpec{Kind: scenario.DatagramsLost, Size: all}, check: func(t *testing.T, d *recordingSink) {
			require.Greater(t, d.count(record.Datagram, 0, faultStart, nil), 50)
			require.Zero(t, d.count(record.Datagram, faultStart+30*time.Millisecond, faultEnd, nil))
		}},
		{fault: scenario.FaultSpec{Kind: scenario.DatagramsLost, Size: all, Zone: "buc-pipera"}, check: func(t *testing.T, d *recordingSink) {
			in := func(of func(record.Event) int32) int {
				return d.count(record.Datagram, faultStart+30*time.Millisecond, faultEnd, func(e record.Event) bool {
					return d.run.Agents[of(e)].Zone == "buc-pipera"
				})
			}
			require.Zero(t, in(func(e record.Event) int32 { return e.Agent }), "its agents receive nothing")
			require.Greater(t, in(func(e record.Event) int32 { return e.From }), 5, "datagrams from them arrive")
		}},
		{fault: scenario.FaultSpec{Kind: scenario.Crashed, Part: all, Zone: "buc-pipera"}, check: func(t *testing.T, d *recordingSink) {
			for _, e := range d.ofKind(record.ServerDown) {
				require.Equal(t, "buc-pipera", d.servers[e.Server].Zone)
			}
			require.Greater(t, d.count(record.ServerDown, faultStart, faultStart+1, nil), 2, "all servers of the zone")
		}},
		{fault: scenario.FaultSpec{Kind: scenario.AgentsRestarted, Count: 5, Size: span(0.4, 0.4)}, check: func(t *testing.T, d *recordingSink) {
			require.Zero(t, d.count(record.ConnectionLost, 0, runLength, nil))
			require.Equal(t, 5, d.count(record.AgentDown, 0, runLength, nil))
			require.Equal(t, 2, d.count(record.AgentDown, 0, faultStart+4*second, nil), "two at a time, the next 4 s later")
			require.Equal(t, 5, d.count(record.AgentUp, faultStart, runLength, nil), "each one after its drain")
		}},
		{
			fault: scenario.FaultSpec{Kind: scenario.FewConnections, Part: all, Size: span(0.005, 0.005)},
			check: func(t *testing.T, d *recordingSink) {
				require.Greater(t, d.count(record.AttemptEnded, faultStart, faultEnd, ended(record.NoConnection)), 10)
				require.Zero(t, d.count(record.AttemptEnded, 0, faultStart, ended(record.NoConnection)))
			},
		},
		{fault: scenario.FaultSpec{Kind: scenario.ClientsLeave, Part: all}, check: func(t *testing.T, d *recordingSink) {
			leave := map[uint32]bool{}
			for _, e := range d.ofKind(record.ClientLeft) {
				if e.At == faultStart {
					leave[e.RequestID] = true
				}
			}
			require.Greater(t, len(leave), 5)
			require.Zero(t, d.count(record.Answered, faultStart, runLength, func(e record.Event) bool { return leave[e.RequestID] }))
			require.Zero(t, d.count(record.RequestReceived, faultStart, runLength, func(e record.Event) bool {
				return e.Try > 0 && leave[e.Chain] && e.At > faultStart
			}), "they do not retry")
		}},
		{
			fault:  scenario.FaultSpec{Kind: scenario.LateConnections, Part: all, Delay: ms(900, 900)},
			change: func(sc *scenario.Scenario) { sc.Connections.Idle = 200 * time.Millisecond }, // many new ones
			check: func(t *testing.T, d *recordingSink) {
				early := faultStart + 10*time.Millisecond // some were opened before
				require.Greater(t, d.count(record.ConnOpened, faultStart-second, faultStart, nil), 20)
				require.Zero(t, d.count(record.ConnOpened, early, faultStart+900*time.Millisecond, nil))
				require.Greater(t, d.count(record.AttemptEnded, early, faultEnd, ended(record.NoConnection)), 100)
			},
		},
	} {
		t.Run(string(c.fault.Kind), func(t *testing.T) { c.check(t, playFault(t, c.fault, c.change)) })
	}
}

// TestSlowdownHealsWhenIdle checks that a shared slowdown that heals ends early if the load leaves the
// servers idle enough, and otherwise lasts for its whole duration.
func TestSlowdownHealsWhenIdle(t *testing.T) {
	for load, heals := range map[float64]bool{0.15: true, 0.8: false} {
		d := playFault(t, scenario.FaultSpec{
			Kind: scenario.SlowPeriod, Size: span(2.5, 2.5), HealsBelow: span(0.5, 0.5),
			HealsRest: ms(2000, 2000),
		}, func(sc *scenario.Scenario) {
			sc.Load.PerS, sc.Load.OfCapacity = span(0, 0), span(load, load)
		})
		over := d.ofKind(record.FaultEnded)
		require.Len(t, over, 1)
		if heals {
			require.InDelta(t, 12.1, over[0].At.Seconds(), 1.5)
		} else {
			require.Equal(t, faultEnd, over[0].At)
		}
	}
}

// TestDrawsAreIndependent checks that one more fault, server or agent leaves the draws of the others
// unchanged.
func TestDrawsAreIndependent(t *testing.T) {
	type arrival struct {
		at            time.Duration
		class, tenant uint8
		key           uint32
		work          time.Duration
	}
	firstTries := func(d *recordingSink, agent int32) (all []arrival) {
		for _, e := range d.events {
			if (e.Kind == record.RequestReceived || e.Kind == record.RequestUnreached) && e.Try == 0 && e.Agent == agent {
				all = append(all, arrival{e.At, e.Class, e.Tenant, e.Key, e.Work})
			}
		}
		return all
	}
	baseline := play(t, deployment(runLength), 7, Options{})
	for _, u := range []scenario.FaultSpec{
		{Kind: scenario.Silent, Part: span(0.5, 0.5)},
		{Kind: scenario.Deploy, Part: span(1, 1), Size: span(0.2, 0.2)},
		{Kind: scenario.DiscoveryDown},
	} {
		d := playFault(t, u, nil)
		require.Equal(t, baseline.servers, d.servers[:13])
		for agent := range int32(5) {
			require.Equal(t, firstTries(baseline, agent), firstTries(d, agent), "%s", u.Kind)
		}
	}
	// The same traffic per agent, with one more server and one more agent.
	sc := deployment(runLength)
	sc.Faults = []scenario.FaultSpec{{
		Kind: scenario.Crashed, At: ms(10000, 10000), For: ms(12000, 12000),
		Part: span(0.3, 0.3),
	}}
	sc.Agents.Zipf, sc.Agents.Count = span(0, 0), 4
	base := play(t, sc, 7, Options{})
	sc.Agents.Count, sc.Fleet.Servers, sc.Load.PerS = 5, 14, span(330*5/4.0, 330*5/4.0)
	more := play(t, sc, 7, Options{})
	require.Equal(t, base.servers, more.servers[:13])
	for agent := range int32(4) {
		require.Equal(t, firstTries(base, agent), firstTries(more, agent))
	}
	down := map[int32]bool{}
	for _, e := range base.ofKind(record.ServerDown) {
		down[e.Server] = true
	}
	same := more.count(record.ServerDown, 0, runLength, func(e record.Event) bool { return down[e.Server] })
	require.GreaterOrEqual(t, same, 3, "the same servers crash, except at most one")
	// A fault's draws do not depend on faults of another kind.
	two := deployment(runLength)
	two.Faults = []scenario.FaultSpec{
		{Kind: scenario.Reset, At: ms(0, 5000), For: ms(1000, 2000), Size: span(0, 1)},
		{Kind: scenario.Silent, At: ms(0, 5000), For: ms(1000, 2000), Part: span(0, 1)},
	}
	began := play(t, two, 7, Options{}).ofKind(record.FaultBegan)
	two.Faults = two.Faults[1:]
	alone := play(t, two, 7, Options{}).ofKind(record.FaultBegan)
	for _, e := range began {
		if e.Fault == 1 {
			require.Equal(t, alone[0].At, e.At)
		}
	}
}
