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

// played is a fleet of complete nodes with generations, and an endpoint list that all see alike.
type played struct {
	*fleetlab.Lab
	t        *testing.T
	adapters []*Adapter
	list     map[string]ringassignment.Server
	saw      []time.Time
	placed   []*balancer.RingAssignment
	newest   uint64 // used with a lease
	began    map[uint64]time.Time
}

func play(t *testing.T, o fleetlab.Options, servers int) *played {
	p := &played{
		t: t, adapters: make([]*Adapter, o.Agents), list: map[string]ringassignment.Server{}, began: map[uint64]time.Time{},
		saw: make([]time.Time, o.Agents), placed: make([]*balancer.RingAssignment, o.Agents),
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
	o.OnDecision = p.decided
	p.Lab = fleetlab.New(o)
	p.StartAll()
	p.Run(20 * time.Second)
	return p
}

func (p *played) decided(agent int, at time.Time, now fleet.ClockReading, n *fleet.Node) {
	s := p.adapters[agent]
	if s == nil {
		return
	}
	if at.Sub(p.saw[agent]) > 200*time.Millisecond {
		p.saw[agent] = at
		v := ringassignment.View{Now: now.Unix}
		for _, e := range p.list {
			v.Servers = append(v.Servers, e)
		}
		s.SetView(now, v)
	}
	standing := n.Standing(now)
	g := s.Assignment(now, standing)
	if p.placed[agent] = g; g == nil || standing != lease.Full {
		return
	}
	if p.newest = max(p.newest, g.Generation); p.began[g.Generation].IsZero() {
		p.began[g.Generation] = at
	}
	require.LessOrEqual(p.t, p.newest, g.Generation+1, "agent %d", agent)
}

// all checks that all agents that run use one generation, with a number of servers on it.
func (p *played) all(servers int) {
	for a := range p.adapters {
		if p.Node(a) != nil {
			require.NotNil(p.t, p.placed[a], "agent %d", a)
			require.Equal(p.t, p.newest, p.placed[a].Generation)
			require.Len(p.t, p.placed[a].Points, servers)
		}
	}
}

// TestGenerations: complete nodes agree on generations, use them from the same time on, and go on without their leader;
// none that is behind by more than one is in use.
func TestGenerations(t *testing.T) {
	p := play(t, fleetlab.Options{Agents: 9, Voters: 3, Seed: 3}, 20)
	p.Run(2 * time.Minute)
	p.all(20)
	was := p.newest
	p.list["new"] = ringassignment.Server{ID: "new", Kind: "rapid", Ready: true, Capacity: 1}
	p.Run(3 * time.Second)
	p.all(21)
	require.Contains(t, p.began, was+1)

	p.Kill(p.Leader())
	delete(p.list, "new")
	p.list["other"] = ringassignment.Server{ID: "other", Kind: "rapid", Ready: true, Capacity: 1}
	p.Run(40 * time.Second)
	p.all(21)

	// Paces change by agreement, slowly.
	p.Run(time.Minute)
	require.Equal(t, []ringassignment.Pace{{Kind: "rapid", Percent: 90}}, p.adapters[p.Leader()].State().Paces)
}

// TestNextGenerationBeforeTheFence: it does not wait for the fence where all agents run, and does where one is cut off
// that holds a lease.
func TestNextGenerationBeforeTheFence(t *testing.T) {
	for _, cut := range []bool{false, true} {
		p := play(t, fleetlab.Options{Agents: 9, Voters: 3, Seed: 4}, 20)
		p.Run(2 * time.Minute)
		if cut {
			p.Isolate(8, true)
		}
		was := p.newest
		for i := range 8 { // one each second
			id := fmt.Sprint("new-", i)
			p.list[id] = ringassignment.Server{ID: id, Kind: "rapid", Ready: true, Capacity: 1}
			p.Run(time.Second)
		}
		between := p.began[was+2].Sub(p.began[was+1])
		if cut {
			require.Greater(t, between, 3*time.Second)
		} else {
			require.Less(t, between, 3*time.Second)
		}
	}
}

// TestMalformedMessages: they are ignored.
func TestMalformedMessages(t *testing.T) {
	s := New(Settings{IsVoter: true}, fleet.ClockReading{})
	for _, data := range [][]byte{nil, {}, {messageMark}, {messageMark, 1}, {messageVoterReport, 1}, {messagePaceReport, 1}, {9, 9, 9}} {
		require.Nil(t, s.HandleMessage(fleet.ClockReading{}, 1, data))
	}
	require.NotNil(t, s.HandleMessage(fleet.ClockReading{}, 1, s.encodedMark()))
}
