package maintenance

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// anytimeContract returns a contract that allows windows at any time.
func anytimeContract(t require.TestingT) *contract.Contract {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 20, MaxLengthMin: 600,
		MaxPerMonth: 31, KeptCapacity: 0.1, MinServed: 0.9,
	}.Contract()
	require.NoError(t, err)
	return c
}

// TestExclusionsByLease checks that an agent with a lease follows the agreed state including a pause, that
// one without a lease follows the plan, and that one that never had a lease also excludes the servers whose
// turn it is.
func TestExclusionsByLease(t *testing.T) {
	m, from := newTestMachine(), mondayNoon+time.Hour
	accept(t, m, exampleWindow("a", from), mondayNoon)
	apply(m, kindConfirmed, "a", mondayNoon, 0)
	apply(m, kindPaused, "a", from+55*time.Second, 1)
	a := NewAgent(4)
	a.Learn(m)
	east := &policy.Effect{Contracts: map[string]*contract.Contract{"east": anytimeContract(t)}}
	full := policy.Active{Mode: policy.ModeFull, Version: 1, Effect: east}
	at := func(d time.Duration) lease.ClockReading { return lease.ClockReading{Unix: from + d, Mono: d} }
	require.Nil(t, a.Exclusions(at(-time.Second), lease.Full, full))
	paused := a.Exclusions(at(99*time.Second), lease.Full, full)
	require.Equal(t, &balancer.Exclusions{Tenants: map[string]map[string]uint32{"east": {"n1": 1 << 31, "n2": 1 << 31}}}, paused)
	require.Same(t, paused, a.Exclusions(at(2000*time.Second), lease.Full, full))
	a.Learn(m)
	require.Same(t, paused, a.Exclusions(at(2001*time.Second), lease.Full, full), "Learn without a change must keep the pointer")
	require.Zero(t, testing.AllocsPerRun(100, func() { a.Exclusions(at(2002*time.Second), lease.Full, full) }))

	withinFloor := policy.Active{Mode: policy.ModeFloor, Version: 1, Effect: east}
	require.EqualValues(t, math.MaxUint32, a.Exclusions(at(2000*time.Second), lease.Floor, withinFloor).Tenants["east"]["n1"])
	bottom := a.Exclusions(at(2000*time.Second), lease.New, policy.Active{Effect: &policy.Effect{}})
	require.EqualValues(t, math.MaxUint32, bottom.Tenants["west"]["n1"], "an agent at ModeBottom must follow an accepted window")
	turn, _ := Turns(4).At(from + 2000*time.Second)
	for _, zone := range []string{"a", "b", "c", "d", "e", ""} {
		require.Equal(t, Turns(4).Of("n1", zone) == turn, bottom.AllTenants("n1", zone))
	}
	require.Nil(t, a.Exclusions(at(5000*time.Second), lease.Full, full))
}

// TestFullyDrained checks that a server is fully drained if all keys of all tenants are kept off it, also by
// several windows together, and only while all steps are moved.
func TestFullyDrained(t *testing.T) {
	m, from := newTestMachine(), mondayNoon+time.Hour
	for _, id := range []string{"east", NoTenant} {
		w := exampleWindow(id, from)
		w.Tenants, w.Nodes = []string{id}, []string{"n1", "n2"}
		if id == NoTenant {
			w.Nodes = []string{"n1"}
		}
		accept(t, m, w, mondayNoon)
		apply(m, kindConfirmed, id, mondayNoon, 0)
	}
	a := NewAgent(4)
	drained := func(d time.Duration, tenants ...string) map[string]bool {
		a.Learn(m)
		return FullyDrained(a.Exclusions(lease.ClockReading{Unix: from + d, Mono: d}, lease.Full, policy.Active{}), tenants)
	}
	require.Nil(t, drained(-time.Second, "east"))
	require.Nil(t, drained(99*time.Second, "east"), "not all steps are moved yet")
	require.Equal(t, map[string]bool{"n1": true}, drained(100*time.Second, "east"))
	require.Nil(t, drained(100*time.Second, "east", "west"))
	apply(m, kindPaused, NoTenant, from+100*time.Second, 1)
	require.NotNil(t, drained(110*time.Second, "east"), "a window paused with all steps moved keeps its servers drained")
	m.Apply(0, EncodeStop("east", 3, from+200*time.Second, "enough"))
	require.NotNil(t, drained(200*time.Second, "east"))
	require.Nil(t, drained(211*time.Second, "east"), "the window of tenant east returns early")
	require.NotNil(t, drained(211*time.Second), "the window of NoTenant does not return early")
	require.Nil(t, drained(2*time.Hour))
}
