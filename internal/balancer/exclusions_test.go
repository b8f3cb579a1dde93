package balancer

import (
	"fmt"
	"math"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/outlier"
	"dunestep/internal/balancer/ring"
)

// KeyRank is uniform over the keys at each server and independent between servers: half of the keys are in the lower half
// at each server, and one in 16 at all four servers.
func TestKeyRank(t *testing.T) {
	const keys, half = 20000, 1 << 31
	var below [4]int
	atAll := 0
	for i := range keys {
		h, n := ring.Hash(fmt.Sprint("key", i)), 0
		for s := range below {
			if KeyRank(h, fmt.Sprint("s", s)) < half {
				below[s]++
				n++
			}
		}
		if n == len(below) {
			atAll++
		}
	}
	for s, n := range below {
		require.InDelta(t, keys/2, n, keys/50, "server %d", s)
	}
	require.InDelta(t, keys/16, atAll, keys/100)
	require.Equal(t, uint32(0xdbf1fcde), KeyRank(ring.Hash("k:1"), "s3"), "all agents of a fleet must have the same ranks, whatever their build")
}

// checkExclusions checks that a request goes to an excluded server only if no other is available.
func (w *simulation) checkExclusions(e *Request, to string) {
	if w.exclusions == nil {
		return
	}
	isExcludedFrom := func(s *server) bool {
		below := w.exclusions.Tenants[e.Tenant][s.ID]
		return w.exclusions.AllTenants != nil && w.exclusions.AllTenants(s.ID, s.Zone) || below == math.MaxUint32 ||
			KeyRank(ring.Hash(e.Key), s.ID) < below
	}
	anyExcluded, left := false, false
	for _, s := range w.b.servers {
		down := w.b.detector.Verdict(s.outlier, w.b.classes[e.Class].index) == outlier.Ejected
		anyExcluded = anyExcluded || isExcludedFrom(s)
		left = left || s.ringPlace.IsMember() && !w.drained[s.ID] && !down && !isExcludedFrom(s)
	}
	if anyExcluded {
		w.excluded++
	}
	if left && isExcludedFrom(w.b.servers[to]) {
		w.t.Fatalf("%s of %s sent to %s, which it is excluded from", e.Key, e.Tenant, to)
	}
}

// With random exclusions the rules hold, and a request goes to an excluded server only if no other is available.
// Exclusions that match no request change no action.
func TestExclusionsOnRandomEvents(t *testing.T) {
	overrides, excluded := 0, 0
	for seed := range uint64(20) {
		change := func(s *Settings) {
			s.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
			s.Limits.Hedging = seed%3 > 0
		}
		neutral := &Exclusions{
			Tenants:    map[string]map[string]uint32{"a": {"s1": 0, "none": math.MaxUint32}, "none": {"s1": math.MaxUint32}},
			AllTenants: func(string, string) bool { return false },
		}
		require.True(t, reflect.DeepEqual(simulate(t, seed, change, nil), simulate(t, seed, change, func(w *simulation, n int) {
			w.b.SetExclusions([]*Exclusions{nil, neutral}[n%2])
		})), "seed %d", seed)
		var last *simulation
		simulate(t, seed, change, func(w *simulation, n int) {
			last = w
			if n%100 != 0 {
				return
			}
			exclusions := &Exclusions{Tenants: map[string]map[string]uint32{"a": {}, NoTenant: {}}}
			for i := range 8 {
				if w.rng.IntN(3) == 0 {
					exclusions.Tenants["a"][fmt.Sprint("s", i)] = w.rng.Uint32() | uint32(w.rng.IntN(2))*math.MaxUint32
				}
			}
			if w.rng.IntN(4) == 0 {
				exclusions.AllTenants = func(server, _ string) bool { return server < "s4" }
			}
			w.exclusions = exclusions
			w.b.SetExclusions(exclusions)
		})
		for _, s := range last.b.TenantStats() {
			overrides += int(s.ExclusionOverrides)
		}
		excluded += last.excluded
	}
	require.Greater(t, overrides, 50)
	require.Greater(t, excluded, 2000, "attempts of requests with an excluded server")
}

// Exclusions apply to attempts of every kind: to the key's owner, in the home zone, as a probe request, to a server on
// probation, and as a test of failed probes.
func TestExclusionsApplyToEveryKindOfAttempt(t *testing.T) {
	for name, prepare := range map[string]func(b *Balancer, s *server){
		"owner":     func(*Balancer, *server) {},
		"home zone": func(b *Balancer, s *server) { b.settings.Costs.CrossZone, b.settings.Zone = 1, s.Zone },
		"probe request": func(b *Balancer, s *server) {
			b.repeatOutcome(s, ConnectFailed)
			b.sendRate = 10
			s.slowStart.Start(b.now, 1)
		},
		"probation":             func(b *Balancer, s *server) { b.StartProbation(0.5) },
		"test of failed probes": func(b *Balancer, s *server) { failProbes(b) },
	} {
		for _, key := range []string{"k", ""} {
			set := testSettings()
			set.Limits.Hedging, set.Tenants = true, []Tenant{{Name: "a"}, {Name: "b"}}
			sent := func(tenant string, excluded bool) (n int) {
				for seed := range uint64(100) {
					b, err := New(set, seed)
					require.NoError(t, err)
					b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(2)})
					s := b.ring.Owner(ring.Hash("k"))
					prepare(b, s)
					if excluded {
						b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{"a": {s.ID: math.MaxUint32}}})
					}
					for _, a := range b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: key, Tenant: tenant, ClientTimeout: time.Second}) {
						if a.Kind == Send && a.Server == s.ID {
							n++
						}
					}
				}
				return n
			}
			require.Zero(t, sent("a", true), "%s, key %q", name, key)
			require.NotZero(t, sent("a", false), "%s, key %q: the case sends nothing without the exclusion", name, key)
			require.Equal(t, sent("b", false), sent("b", true), "%s, key %q: another tenant", name, key)
		}
	}
}

// failProbes marks the probes of all servers as failed, so that requests are sent only to test the probes.
func failProbes(b *Balancer) {
	for _, s := range b.ring.Members() {
		s.probeFailedAt, s.probeOutcome = time.Second, TimedOut
	}
}

// Exclusions that are set while a request waits for a probe or before its retry apply to it.
func TestExclusionsApplyToRequestsInFlight(t *testing.T) {
	set := testSettings()
	set.Limits.Probes = true
	for _, probes := range []bool{false, true} {
		set.Limits.Probes = probes
		b := newStarted(t, set, serverList(3))
		var order []string
		b.ring.Walk(ring.Hash("k"), func(s *server) bool { order = append(order, s.ID); return true })
		acts := b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{NoTenant: {order[0]: math.MaxUint32, order[1]: math.MaxUint32}}})
		if probes {
			require.Equal(t, order[0], findAction(acts, Probe).Server)
			acts = b.Step(b.now+ms, &ProbeDone{Server: order[0], Outcome: Served})
			require.Equal(t, order[2], findAction(acts, Probe).Server)
			continue
		}
		require.Equal(t, order[0], mustSend(t, acts).Server)
		acts = b.Step(b.now+ms, &AttemptDone{ID: 1, Server: order[0], Outcome: Rejected, Latency: ms})
		require.Equal(t, order[2], mustSend(t, acts).Server)
	}
}

// Exclusions are overridden only if the other servers are gone, draining or down, not if they are busy or damped. Each
// override is counted, and logged once every 10 s.
func TestExclusionsAreOverriddenWithoutOtherServers(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Name: "a"}}
	request := func(b *Balancer) []Action {
		return b.Step(b.now+time.Second, &Request{ID: uint32(b.now / ms), Class: "unsafe", Key: "k", Tenant: "a", ClientTimeout: time.Second})
	}
	for name, c := range map[string]struct {
		change     func(b *Balancer, s *server)
		overridden bool
	}{
		"up":     {func(*Balancer, *server) {}, false},
		"busy":   {func(b *Balancer, s *server) { s.inFlight, s.silentSince = 1000, -time.Minute }, false},
		"damped": {func(b *Balancer, s *server) { s.dampedUntil = time.Hour }, false},
		"down":   {func(b *Balancer, s *server) { b.repeatOutcome(s, ConnectFailed) }, true},
		"draining": {func(b *Balancer, s *server) {
			b.Step(b.now, &ServerListUpdate{Servers: []Server{{ID: s.ID, State: Draining}}})
		}, true},
		"gone": {func(b *Balancer, s *server) {
			b.Step(b.now, &ServerListUpdate{Servers: []Server{{ID: s.ID, State: Gone}}})
		}, true},
	} {
		b := newStarted(t, set, serverList(2))
		excluded, left := b.ring.Owner(ring.Hash("k")), (*server)(nil)
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{"a": {excluded.ID: math.MaxUint32}}})
		for _, s := range b.ring.Members() {
			if s != excluded {
				left = s
			}
		}
		c.change(b, left)
		logs := 0
		for range 15 {
			acts := request(b)
			sent := findAction(acts, Send)
			require.Equal(t, c.overridden, sent != nil && sent.Server == excluded.ID, "%s: %+v", name, acts)
			if findAction(acts, Log) != nil {
				logs++
			}
			if sent != nil {
				b.Step(b.now, &AttemptDone{ID: sent.ID, Outcome: Served, Latency: ms, RequestDone: true})
			}
		}
		stats := b.TenantStats()
		require.Len(t, stats, 2)
		require.Equal(t, TenantStats{Tenant: NoTenant}, stats[0])
		require.Equal(t, uint64(15), stats[1].Served+stats[1].Rejected+stats[1].Failed)
		if c.overridden {
			require.Equal(t, TenantStats{Tenant: "a", Requests: 15, Served: 15, ExclusionOverrides: 15}, stats[1], name)
			require.Equal(t, 2, logs, "%s: every 10 s", name)
		}
	}
}

func TestExclusionsApplyToServersListedLater(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(1))
	b.SetExclusions(&Exclusions{AllTenants: func(server, zone string) bool { return server == "s1" && zone == "z1" }})
	b.Step(ms, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(2)})
	for i := range 50 {
		a := mustSend(t, b.Step(b.now+ms, &Request{ID: uint32(i), Class: "safe", Key: fmt.Sprint(i), ClientTimeout: time.Second}))
		require.Equal(t, "s0", a.Server)
		b.Step(b.now, &AttemptDone{ID: uint32(i), Outcome: Served, Latency: ms, RequestDone: true})
	}
	b.SetExclusions(nil)
	require.Nil(t, b.servers["s1"].excludedBelow)
}

// Requests without a key are excluded in the same proportion as keys. Of four servers each gets a quarter of the
// requests; excluding half of the ranks at one halves its part.
func TestExclusionsOfRequestsWithoutKeys(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	sent := func(below uint32) (n int) {
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{NoTenant: {"s2": below}}})
		for range 2000 {
			id := uint32(b.now)
			if a := mustSend(t, b.Step(b.now+20*ms, &Request{ID: id, Class: "safe", ClientTimeout: time.Second})); a.Server == "s2" {
				n++
			}
			b.Step(b.now, &AttemptDone{ID: id, Outcome: Served, Latency: ms, RequestDone: true})
		}
		return n
	}
	all := sent(0)
	require.InDelta(t, 500, all, 150)
	require.InDelta(t, all/2, sent(1<<31), 60)
	require.Zero(t, sent(math.MaxUint32))
}

// Exclusions reduce a server's traffic weight by the excluded fraction of all tenants' requests.
func TestExclusionsReduceTrafficWeights(t *testing.T) {
	set := testSettings()
	set.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
	b := newStarted(t, set, serverList(4))
	for i := range 40 {
		b.Step(b.now+ms, &Request{ID: uint32(i), Class: "safe", Tenant: []string{"a", "b", "b", "b"}[i%4], ClientTimeout: time.Second})
	}
	for below, weightSum := range map[uint32]float64{0: 4, 1 << 31: 3.875, math.MaxUint32: 3.75} {
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{"a": {"s2": below}}})
		b.updateWeights()
		require.InDelta(t, weightSum, b.weightSum, 1e-6)
	}
	b.SetExclusions(&Exclusions{AllTenants: func(server, _ string) bool { return server == "s2" }})
	b.updateWeights()
	require.InDelta(t, 3, b.weightSum, 1e-6)
}
