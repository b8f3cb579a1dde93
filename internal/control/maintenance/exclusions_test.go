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

// always is a contract that allows windows at any time.
func always(t require.TestingT) *contract.Contract {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 20, MaxLengthMin: 600,
		MaxPerMonth: 31, KeptCapacity: 0.1, MinServed: 0.9,
	}.Contract()
	require.NoError(t, err)
	return c
}

// TestExclusionsByLease: an agent with a lease follows what was agreed, one without the plan, and one that never had one
// keeps off the servers whose turn it is too.
func TestExclusionsByLease(t *testing.T) {
	m, from := machine(), begin+time.Hour
	accept(t, m, example("a", from), begin)
	apply(m, kindConfirmed, "a", begin, 0)
	apply(m, kindPaused, "a", from+55*time.Second, 1)
	a := NewAgent(4)
	a.Learn(m)
	east := &policy.Effect{Contracts: map[string]*contract.Contract{"east": always(t)}}
	full := policy.Active{Mode: policy.ModeFull, Version: 1, Effect: east}
	at := func(d time.Duration) lease.ClockReading { return lease.ClockReading{Unix: from + d, Mono: d} }
	require.Nil(t, a.Exclusions(at(-time.Second), lease.Full, full))
	held := a.Exclusions(at(99*time.Second), lease.Full, full)
	require.Equal(t, &balancer.Exclusions{Tenants: map[string]map[string]uint32{"east": {"n1": 1 << 31, "n2": 1 << 31}}}, held)
	require.Same(t, held, a.Exclusions(at(2000*time.Second), lease.Full, full))
	a.Learn(m)
	require.Same(t, held, a.Exclusions(at(2001*time.Second), lease.Full, full), "nothing has changed")
	require.Zero(t, testing.AllocsPerRun(100, func() { a.Exclusions(at(2002*time.Second), lease.Full, full) }))

	within := policy.Active{Mode: policy.ModeFloor, Version: 1, Effect: east}
	require.EqualValues(t, math.MaxUint32, a.Exclusions(at(2000*time.Second), lease.Floor, within).Tenants["east"]["n1"])
	bottom := a.Exclusions(at(2000*time.Second), lease.New, policy.Active{Effect: &policy.Effect{}})
	require.EqualValues(t, math.MaxUint32, bottom.Tenants["west"]["n1"], "an accepted window is followed")
	turn, _ := Turns(4).At(from + 2000*time.Second)
	for _, zone := range []string{"a", "b", "c", "d", "e", ""} {
		require.Equal(t, Turns(4).Of("n1", zone) == turn, bottom.AllTenants("n1", zone))
	}
	require.Nil(t, a.Exclusions(at(5000*time.Second), lease.Full, full))
}

// TestFullyDrained: a server is fully drained where all tenants keep off all of it, by several windows together too, and
// only while all steps are moved.
func TestFullyDrained(t *testing.T) {
	m, from := machine(), begin+time.Hour
	for _, id := range []string{"east", NoTenant} {
		w := example(id, from)
		w.Tenants, w.Nodes = []string{id}, []string{"n1", "n2"}
		if id == NoTenant {
			w.Nodes = []string{"n1"}
		}
		accept(t, m, w, begin)
		apply(m, kindConfirmed, id, begin, 0)
	}
	a := NewAgent(4)
	drained := func(d time.Duration, tenants ...string) map[string]bool {
		a.Learn(m)
		return FullyDrained(a.Exclusions(lease.ClockReading{Unix: from + d, Mono: d}, lease.Full, policy.Active{}), tenants)
	}
	require.Nil(t, drained(-time.Second, "east"))
	require.Nil(t, drained(99*time.Second, "east"), "not all steps are moved")
	require.Equal(t, map[string]bool{"n1": true}, drained(100*time.Second, "east"))
	require.Nil(t, drained(100*time.Second, "east", "west"))
	apply(m, kindPaused, NoTenant, from+100*time.Second, 1)
	require.NotNil(t, drained(110*time.Second, "east"), "it is paused with all steps moved")
	m.Apply(0, EncodeStop("east", 3, from+200*time.Second, "enough"))
	require.NotNil(t, drained(200*time.Second, "east"))
	require.Nil(t, drained(211*time.Second, "east"), "it returns early")
	require.NotNil(t, drained(211*time.Second), "the other does not")
	require.Nil(t, drained(2*time.Hour))
}
