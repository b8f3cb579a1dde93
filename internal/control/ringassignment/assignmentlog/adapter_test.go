package assignmentlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/fleetlab"
	"dunestep/internal/fleet/lease"
)

// testFleet is a simulated fleet of complete nodes with a ring assignment, and one endpoint list for all agents.
type testFleet struct {
	*fleetlab.Lab
	t           *testing.T
	adapters    []*Adapter
	list        map[string]ringassignment.Server
	viewedAt    []time.Time                // by agent: time of the last view
	assignments []*balancer.RingAssignment // by agent: assignment in use
	newest      uint64                     // newest generation used with a lease
	firstUsedAt map[uint64]time.Time       // by generation: first use with a lease
}

func newTestFleet(t *testing.T, o fleetlab.Options, servers int) *testFleet {
	p := &testFleet{
		t: t, adapters: make([]*Adapter, o.Agents), list: map[string]ringassignment.Server{}, firstUsedAt: map[uint64]time.Time{},
		viewedAt: make([]time.Time, o.Agents), assignments: make([]*balancer.RingAssignment, o.Agents),
	}
	for i := range servers {
		id := fmt.Sprintf("s-%04x", 40503*(i+1)%65536)
		p.list[id] = ringassignment.Server{ID: id, Kind: "rapid", Ready: true, Capacity: 1}
	}
	o.Application = func(set *fleet.Settings, now fleet.ClockReading) {
		s := New(Settings{
			IsVoter: set.IsVoter(), Incarnation: set.Incarnation, MachineNumber: uint8(len(set.Machines)),
			Parameters: ringassignment.Parameters{Terms: set.Terms, UsePaces: true},
		}, now)
		set.Machines, set.Application = append(set.Machines, s), s
		s.SetPaces(map[string]float64{"rapid": 0.8})
		p.adapters[set.Self] = s
	}
	o.OnDecision = p.onDecision
	p.Lab = fleetlab.New(o)
	p.StartAll()
	p.Run(20 * time.Second)
	return p
}

func (p *testFleet) onDecision(agent int, at time.Time, now fleet.ClockReading, n *fleet.Node) {
	s := p.adapters[agent]
	if s == nil {
		return
	}
	if at.Sub(p.viewedAt[agent]) > 200*time.Millisecond {
		p.viewedAt[agent] = at
		v := ringassignment.View{Now: now.Unix}
		for _, server := range p.list {
			v.Servers = append(v.Servers, server)
		}
		s.SetView(now, v)
	}
	standing := n.Standing(now)
	assignment := s.Assignment(now, standing)
	if p.assignments[agent] = assignment; assignment == nil || standing != lease.Full {
		return
	}
	if p.newest = max(p.newest, assignment.Generation); p.firstUsedAt[assignment.Generation].IsZero() {
		p.firstUsedAt[assignment.Generation] = at
	}
	require.LessOrEqual(p.t, p.newest, assignment.Generation+1, "agent %d", agent)
}

// requireSameGeneration requires that all running agents use the newest generation, with a number of servers on the ring.
func (p *testFleet) requireSameGeneration(servers int) {
	for a := range p.adapters {
		if p.Node(a) != nil {
			require.NotNil(p.t, p.assignments[a], "agent %d", a)
			require.Equal(p.t, p.newest, p.assignments[a].Generation)
			require.Len(p.t, p.assignments[a].Points, servers)
		}
	}
}

// TestNodesAgreeOnGenerations checks that complete nodes agree on generations, change them by agreed paces, continue after the loss of
// their leader, and never use a generation that is more than one behind the newest.
func TestNodesAgreeOnGenerations(t *testing.T) {
	p := newTestFleet(t, fleetlab.Options{Agents: 9, Voters: 3, Seed: 3}, 20)
	p.Run(2 * time.Minute)
	p.requireSameGeneration(20)
	before := p.newest
	p.list["new"] = ringassignment.Server{ID: "new", Kind: "rapid", Ready: true, Capacity: 1}
	p.Run(3 * time.Second)
	p.requireSameGeneration(21)
	require.Contains(t, p.firstUsedAt, before+1)

	p.Kill(p.Leader())
	delete(p.list, "new")
	p.list["other"] = ringassignment.Server{ID: "other", Kind: "rapid", Ready: true, Capacity: 1}
	p.Run(40 * time.Second)
	p.requireSameGeneration(21)

	// All agents report a pace of 0.8; the agreed pace has changed by one step.
	p.Run(time.Minute)
	require.Equal(t, []ringassignment.Pace{{Kind: "rapid", Percent: 90}}, p.adapters[p.Leader()].State().Paces)
}

// TestNextGenerationBeforeTheFence checks that the next generation does not wait for the fence if all agents run, and that it
// does if an agent that holds a lease is cut off.
func TestNextGenerationBeforeTheFence(t *testing.T) {
	for _, cut := range []bool{false, true} {
		p := newTestFleet(t, fleetlab.Options{Agents: 9, Voters: 3, Seed: 4}, 20)
		p.Run(2 * time.Minute)
		if cut {
			p.Isolate(8, true)
		}
		before := p.newest
		for i := range 8 { // one each second
			id := fmt.Sprint("new-", i)
			p.list[id] = ringassignment.Server{ID: id, Kind: "rapid", Ready: true, Capacity: 1}
			p.Run(time.Second)
		}
		between := p.firstUsedAt[before+2].Sub(p.firstUsedAt[before+1])
		if cut {
			require.Greater(t, between, 3*time.Second)
		} else {
			require.Less(t, between, 3*time.Second)
		}
	}
}

// TestMalformedMessages checks that malformed messages are ignored.
func TestMalformedMessages(t *testing.T) {
	s := New(Settings{IsVoter: true}, fleet.ClockReading{})
	for _, data := range [][]byte{nil, {}, {messageAppliedGeneration}, {messageAppliedGeneration, 1}, {messageVoterReport, 1}, {messagePaceReport, 1}, {9, 9, 9}} {
		require.Nil(t, s.HandleMessage(fleet.ClockReading{}, 1, data))
	}
	require.NotNil(t, s.HandleMessage(fleet.ClockReading{}, 1, s.encodedAppliedGeneration()))
}
