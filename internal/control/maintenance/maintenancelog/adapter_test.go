package maintenancelog

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
)

// mondayNoon is 12:00 UTC on a Monday, as Unix time.
const mondayNoon = 1798459200 * time.Second

func at(after time.Duration) fleet.ClockReading {
	return fleet.ClockReading{Unix: mondayNoon + after, Mono: time.Hour + after}
}

// leaderFixture is the adapter of the leader, with the policy and the servers that its view returns.
type leaderFixture struct {
	*Adapter
	active policy.Active
	nodes  []maintenance.Server
}

func contracts(t *testing.T, hours string) map[string]*contract.Contract {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{hours}, NoticeMin: 20, MaxLengthMin: 240, MaxPerMonth: 2, KeptCapacity: 0.5,
		MinServed: 0.9,
	}.Contract()
	require.NoError(t, err)
	return map[string]*contract.Contract{"east": c}
}

func newLeader(t *testing.T) *leaderFixture {
	w := &leaderFixture{active: policy.Active{Mode: policy.ModeFull, Version: 1, Effect: &policy.Effect{
		Contracts: contracts(t, "mon-sun 20:00-06:00"),
	}}}
	for _, id := range []string{"n1", "n2", "n3"} {
		w.nodes = append(w.nodes, maintenance.Server{ID: id, Capacity: 1})
	}
	w.Adapter = New(Settings{
		IsVoter: true, MachineNumber: 2, InForce: func() uint64 { return 1 },
		View: func(fleet.ClockReading) maintenance.LeaderView {
			return maintenance.LeaderView{Standing: lease.Full, Active: w.active, InForce: 1, Servers: w.nodes}
		},
	})
	return w
}

// runLeader simulates the leader once per second in [from, to), with agents that report the same counts
// each time.
func (w *leaderFixture) runLeader(from, to time.Duration, c maintenance.TenantCounts, agents int) {
	for d := from; d < to; d += time.Second {
		for i := range agents {
			w.HandleMessage(at(d), i, maintenance.EncodeReport(maintenance.Report{
				Incarnation: 1, Number: uint64(d), Counts: []maintenance.TenantCounts{c},
			}))
		}
		for _, r := range w.NextActions(at(d), fleet.VoterState{IsVoter: true, IsLeader: true, Voters: []int{0}}).Proposals {
			w.Apply(0, r.Data)
			w.RecordsApplied(at(d), false)
		}
	}
}

func (w *leaderFixture) proposeWindow(t *testing.T) *maintenance.Window {
	request := maintenance.WindowRequest{
		ID: "a", Nodes: []string{"n1"}, Tenants: []string{"east"}, From: mondayNoon + 9*time.Hour,
		To: mondayNoon + 11*time.Hour,
	}
	data, window, err := w.EncodeProposal(at(0), request, maintenance.PlanInput{
		Servers: w.nodes, Contracts: w.active.Effect.Contracts,
		TenantLoads: map[string]float64{"east": 0.5}, PeakLoad: 0.5, PolicyVersion: 1,
	})
	require.NoError(t, err)
	w.Apply(1, data)
	w.RecordsApplied(at(0), false)
	w.runLeader(0, 2*time.Second, maintenance.TenantCounts{}, 1)
	return window
}

var healthyCounts = maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 100}

// TestWindowLifecycle checks the states that a window passes through without a fault, on each kind of fault,
// and when an operator stops it.
func TestWindowLifecycle(t *testing.T) {
	const begin = 9 * time.Hour
	state := func(w *leaderFixture, d time.Duration) maintenance.State { return w.Windows(at(d))[0].State }
	for name, check := range map[string]func(t *testing.T, w *leaderFixture, drained time.Duration){
		"free, then ended": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.runLeader(begin, drained+39*time.Second, healthyCounts, 3)
			require.Equal(t, maintenance.Drained, state(w, drained+39*time.Second))
			w.runLeader(drained+39*time.Second, drained+42*time.Second, healthyCounts, 3)
			require.Equal(t, maintenance.Free, state(w, drained+42*time.Second))
			require.Equal(t, maintenance.Returning, state(w, 2*time.Hour+begin-time.Second))
			w.runLeader(2*time.Hour+begin, 2*time.Hour+begin+11*time.Second, healthyCounts, 3)
			require.Equal(t, maintenance.Ended, w.AgreedWindows()[0].State)
		},
		"no agent reports": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.runLeader(begin, drained+90*time.Second, healthyCounts, 0)
			require.Equal(t, maintenance.Drained, state(w, drained+90*time.Second))
		},
		"paused, then resumed": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.runLeader(begin, begin+15*time.Second, maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 80, Failed: 20}, 3)
			require.Equal(t, maintenance.Paused, state(w, begin+15*time.Second))
			w.runLeader(begin+15*time.Second, begin+50*time.Second, healthyCounts, 3)
			require.Equal(t, maintenance.Draining, state(w, begin+50*time.Second))
		},
		"paused, then returned": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.runLeader(begin, begin+35*time.Second, maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 80, Failed: 20}, 3)
			require.Equal(t, maintenance.Returning, state(w, begin+35*time.Second))
		},
		"servers are lost": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.runLeader(begin, begin+20*time.Second, healthyCounts, 3)
			w.nodes = w.nodes[:2]
			w.runLeader(begin+20*time.Second, begin+55*time.Second, healthyCounts, 3)
			require.Equal(t, maintenance.Returning, state(w, begin+55*time.Second))
		},
		"exclusions are overridden": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.runLeader(begin, drained+60*time.Second, healthyCounts, 3)
			require.Equal(t, maintenance.Free, state(w, drained+60*time.Second))
			w.runLeader(drained+60*time.Second, drained+62*time.Second, maintenance.TenantCounts{Tenant: "east", Requests: 9, ExclusionOverrides: 1}, 1)
			require.Equal(t, maintenance.Returning, state(w, drained+62*time.Second))
		},
		"the contract changed": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.runLeader(begin, drained+60*time.Second, healthyCounts, 3)
			w.active.Version, w.active.Effect = 2, &policy.Effect{Contracts: contracts(t, "mon-sun 20:00-22:00")}
			w.runLeader(drained+60*time.Second, drained+61*time.Second, healthyCounts, 3)
			require.Equal(t, maintenance.Returning, state(w, drained+61*time.Second))
		},
		"stopped before it begins": func(t *testing.T, w *leaderFixture, drained time.Duration) {
			w.Apply(0, w.EncodeStop(at(time.Hour), "a", "no"))
			require.Equal(t, maintenance.Stopped, state(w, time.Hour))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newLeader(t)
			check(t, w, w.proposeWindow(t).DrainedAt-mondayNoon)
		})
	}
}

// TestReportsOnlyWhileTrafficMoves checks that agents send reports only while a window moves traffic, at most
// one per interval, and only about the window's tenants.
func TestReportsOnlyWhileTrafficMoves(t *testing.T) {
	w := newLeader(t)
	voting := fleet.VoterState{Voters: []int{0, 1, 2}}
	require.Empty(t, w.NextActions(at(0), voting).Messages)
	w.proposeWindow(t)
	actions := w.NextActions(at(time.Hour), voting)
	require.Empty(t, actions.Messages)
	require.False(t, w.MovesTraffic(at(time.Hour)))
	now := at(9*time.Hour + time.Second)
	require.True(t, w.MovesTraffic(now))
	w.SetOverloaded(true)
	w.AddCounts(now, []maintenance.TenantCounts{healthyCounts, {Tenant: "west", Requests: 5}})
	require.Len(t, w.NextActions(now, voting).Messages, 3)
	require.Empty(t, w.NextActions(now, voting).Messages, "the next report must wait for the interval")
	_, _, err := w.EncodeProposal(now, maintenance.WindowRequest{ID: "b"}, maintenance.PlanInput{PolicyVersion: 2})
	require.ErrorIs(t, err, ErrPolicyChanged)
	require.Nil(t, w.HandleMessage(now, 5, []byte("nonsense")))
}
