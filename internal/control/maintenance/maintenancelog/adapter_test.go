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

// noon is on a Monday, UTC.
const noon = 1798459200 * time.Second

func at(after time.Duration) fleet.ClockReading {
	return fleet.ClockReading{Unix: noon + after, Mono: time.Hour + after}
}

// world is an adapter at the voter that leads, its log, and what it sees.
type world struct {
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

func begin(t *testing.T) *world {
	w := &world{active: policy.Active{Mode: policy.ModeFull, Version: 1, Effect: &policy.Effect{
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

// run plays the leader, with agents that report how a tenant's requests fare.
func (w *world) run(from, to time.Duration, c maintenance.TenantCounts, agents int) {
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

func (w *world) ask(t *testing.T) *maintenance.Window {
	ask := maintenance.WindowRequest{
		ID: "a", Nodes: []string{"n1"}, Tenants: []string{"east"}, From: noon + 9*time.Hour,
		To: noon + 11*time.Hour,
	}
	data, win, err := w.EncodeProposal(at(0), ask, maintenance.PlanInput{
		Servers: w.nodes, Contracts: w.active.Effect.Contracts,
		TenantLoads: map[string]float64{"east": 0.5}, PeakLoad: 0.5, PolicyVersion: 1,
	})
	require.NoError(t, err)
	w.Apply(1, data)
	w.RecordsApplied(at(0), false)
	w.run(0, 2*time.Second, maintenance.TenantCounts{}, 1)
	return win
}

var fine = maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 100}

func TestCourseOfAWindow(t *testing.T) {
	const open = 9 * time.Hour
	state := func(w *world, d time.Duration) maintenance.State { return w.Windows(at(d))[0].State }
	for name, x := range map[string]func(t *testing.T, w *world, drained time.Duration){
		"free, and to its end": func(t *testing.T, w *world, drained time.Duration) {
			w.run(open, drained+39*time.Second, fine, 3)
			require.Equal(t, maintenance.Drained, state(w, drained+39*time.Second))
			w.run(drained+39*time.Second, drained+42*time.Second, fine, 3)
			require.Equal(t, maintenance.Free, state(w, drained+42*time.Second))
			require.Equal(t, maintenance.Returning, state(w, 2*time.Hour+open-time.Second))
			w.run(2*time.Hour+open, 2*time.Hour+open+11*time.Second, fine, 3)
			require.Equal(t, maintenance.Ended, w.AgreedWindows()[0].State)
		},
		"no agent reports": func(t *testing.T, w *world, drained time.Duration) {
			w.run(open, drained+90*time.Second, fine, 0)
			require.Equal(t, maintenance.Drained, state(w, drained+90*time.Second))
		},
		"paused, and resumed": func(t *testing.T, w *world, drained time.Duration) {
			w.run(open, open+15*time.Second, maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 80, Failed: 20}, 3)
			require.Equal(t, maintenance.Paused, state(w, open+15*time.Second))
			w.run(open+15*time.Second, open+50*time.Second, fine, 3)
			require.Equal(t, maintenance.Draining, state(w, open+50*time.Second))
		},
		"paused, and returns": func(t *testing.T, w *world, drained time.Duration) {
			w.run(open, open+35*time.Second, maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 80, Failed: 20}, 3)
			require.Equal(t, maintenance.Returning, state(w, open+35*time.Second))
		},
		"servers are lost": func(t *testing.T, w *world, drained time.Duration) {
			w.run(open, open+20*time.Second, fine, 3)
			w.nodes = w.nodes[:2]
			w.run(open+20*time.Second, open+55*time.Second, fine, 3)
			require.Equal(t, maintenance.Returning, state(w, open+55*time.Second))
		},
		"exclusions are overridden": func(t *testing.T, w *world, drained time.Duration) {
			w.run(open, drained+60*time.Second, fine, 3)
			require.Equal(t, maintenance.Free, state(w, drained+60*time.Second))
			w.run(drained+60*time.Second, drained+62*time.Second, maintenance.TenantCounts{Tenant: "east", Requests: 9, ExclusionOverrides: 1}, 1)
			require.Equal(t, maintenance.Returning, state(w, drained+62*time.Second))
		},
		"the contract changed": func(t *testing.T, w *world, drained time.Duration) {
			w.run(open, drained+60*time.Second, fine, 3)
			w.active.Version, w.active.Effect = 2, &policy.Effect{Contracts: contracts(t, "mon-sun 20:00-22:00")}
			w.run(drained+60*time.Second, drained+61*time.Second, fine, 3)
			require.Equal(t, maintenance.Returning, state(w, drained+61*time.Second))
		},
		"stopped before it begins": func(t *testing.T, w *world, drained time.Duration) {
			w.Apply(0, w.EncodeStop(at(time.Hour), "a", "no"))
			require.Equal(t, maintenance.Stopped, state(w, time.Hour))
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := begin(t)
			x(t, w, w.ask(t).DrainedAt-noon)
		})
	}
}

// TestReportsOnlyWhileTrafficMoves: agents report nothing while no window moves traffic, and then about its tenants alone.
func TestReportsOnlyWhileTrafficMoves(t *testing.T) {
	w := begin(t)
	voting := fleet.VoterState{Voters: []int{0, 1, 2}}
	require.Empty(t, w.NextActions(at(0), voting).Messages)
	w.ask(t)
	due := w.NextActions(at(time.Hour), voting)
	require.Empty(t, due.Messages)
	require.False(t, w.MovesTraffic(at(time.Hour)))
	now := at(9*time.Hour + time.Second)
	require.True(t, w.MovesTraffic(now))
	w.SetOverloaded(true)
	w.AddCounts(now, []maintenance.TenantCounts{fine, {Tenant: "west", Requests: 5}})
	require.Len(t, w.NextActions(now, voting).Messages, 3)
	require.Empty(t, w.NextActions(now, voting).Messages, "not again for a while")
	_, _, err := w.EncodeProposal(now, maintenance.WindowRequest{ID: "b"}, maintenance.PlanInput{PolicyVersion: 2})
	require.ErrorIs(t, err, ErrPolicyChanged)
	require.Nil(t, w.HandleMessage(now, 5, []byte("nonsense")))
}
