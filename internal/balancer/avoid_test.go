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

// Uniform over the keys at each server, and another order at each: at two servers half of the keys keep off a
// quarter of them keep off both.
func TestLot(t *testing.T) {
	const keys, half = 20000, 1 << 31
	var below [4]int
	both := 0
	for i := range keys {
		h, n := ring.Hash(fmt.Sprint("key", i)), 0
		for s := range below {
			if KeyRank(h, fmt.Sprint("s", s)) < half {
				below[s]++
				n++
			}
		}
		if n == len(below) {
			both++
		}
	}
	for s, n := range below {
		require.InDelta(t, keys/2, n, keys/50, "server %d", s)
	}
	require.InDelta(t, keys/16, both, keys/100)
	require.Equal(t, uint32(0xdbf1fcde), KeyRank(ring.Hash("k:1"), "s3"), "the same in every build of a running fleet")
}

// judgeAvoid holds a request to what is to be kept off: it may go to such a server only where none is left.
func (w *world) judgeAvoid(e *Request, to string) {
	if w.avoid == nil {
		return
	}
	off := func(s *server) bool {
		below := w.avoid.Tenants[e.Tenant][s.ID]
		return w.avoid.AllTenants != nil && w.avoid.AllTenants(s.ID, s.Zone) || below == math.MaxUint32 ||
			KeyRank(ring.Hash(e.Key), s.ID) < below
	}
	any, left := false, false
	for _, s := range w.b.servers {
		lane := w.b.classes[e.Class].index
		down := w.b.detector.Verdict(s.outlier, lane) == outlier.Ejected
		any = any || off(s)
		left = left || s.ringPlace.IsMember() && !w.drained[s.ID] && !down && !off(s)
	}
	if any {
		w.kept++
	}
	if left && off(w.b.servers[to]) {
		w.t.Fatalf("%s of %s sent to %s, which it keeps off", e.Key, e.Tenant, to)
	}
}

// Days with all sorts of servers to be kept off keep the rules, and nothing is sent there but where none is
// left. A neutral one changes nothing.
func TestAvoidOnRandomEvents(t *testing.T) {
	firsts, kept := 0, 0
	for seed := range uint64(20) {
		change := func(s *Settings) {
			s.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
			s.Limits.Hedging = seed%3 > 0
		}
		neutral := &Exclusions{
			Tenants:    map[string]map[string]uint32{"a": {"s1": 0, "none": math.MaxUint32}, "none": {"s1": math.MaxUint32}},
			AllTenants: func(string, string) bool { return false },
		}
		require.True(t, reflect.DeepEqual(play(t, seed, change, nil), play(t, seed, change, func(w *world, n int) {
			w.b.SetExclusions([]*Exclusions{nil, neutral}[n%2])
		})), "seed %d", seed)
		var last *world
		play(t, seed, change, func(w *world, n int) {
			last = w
			if n%100 != 0 {
				return
			}
			a := &Exclusions{Tenants: map[string]map[string]uint32{"a": {}, NoTenant: {}}}
			for i := range 8 {
				if w.rng.IntN(3) == 0 {
					a.Tenants["a"][fmt.Sprint("s", i)] = w.rng.Uint32() | uint32(w.rng.IntN(2))*math.MaxUint32
				}
			}
			if w.rng.IntN(4) == 0 {
				a.AllTenants = func(server, _ string) bool { return server < "s4" }
			}
			w.avoid = a
			w.b.SetExclusions(a)
		})
		for _, s := range last.b.TenantStats() {
			firsts += int(s.ExclusionOverrides)
		}
		kept += last.kept
	}
	require.Greater(t, firsts, 50)
	require.Greater(t, kept, 2000, "decisions that had something to keep off")
}

// Each way of sending keeps off a server: as the key's owner, in the own zone, as the better of two, as one that
// is put to the test, as a trial by a second copy, and as an unproved one's companion.
func TestAvoidEveryWay(t *testing.T) {
	for name, way := range map[string]func(b *Balancer, s *server){
		"owner":     func(*Balancer, *server) {},
		"own zone":  func(b *Balancer, s *server) { b.settings.Costs.CrossZone, b.settings.Zone = 1, s.Zone },
		"trial":     func(b *Balancer, s *server) { b.turn(s, true); b.sendRate = 10; s.slowStart.Start(b.now, 1) },
		"unproved":  func(b *Balancer, s *server) { b.StartProbation(0.5) },
		"mute ones": func(b *Balancer, s *server) { mute(b) },
	} {
		for _, key := range []string{"k", ""} {
			set := settings()
			set.Limits.Hedging, set.Tenants = true, []Tenant{{Name: "a"}, {Name: "b"}}
			sent := func(tenant string, kept bool) (n int) {
				for seed := range uint64(100) {
					b, err := New(set, seed)
					require.NoError(t, err)
					b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: list(2)})
					s := b.ring.Owner(ring.Hash("k"))
					way(b, s)
					if kept {
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
			require.NotZero(t, sent("a", false), "%s, key %q: the way is not taken", name, key)
			require.Equal(t, sent("b", false), sent("b", true), "%s, key %q: another tenant", name, key)
		}
	}
}

// mute has all probes fail, so that what is sent at all is sent as a test.
func mute(b *Balancer) {
	for _, s := range b.ring.Members() {
		s.probeFailedAt, s.probeOutcome = time.Second, TimedOut
	}
}

// A further attempt, and a request that waits for a probe's answer, keep off what is to be kept off by then.
func TestAvoidBindsWhatIsUnderWay(t *testing.T) {
	set := settings()
	set.Limits.Probes = true
	for _, probes := range []bool{false, true} {
		set.Limits.Probes = probes
		b := start(t, set, list(3))
		var order []string
		b.ring.Walk(ring.Hash("k"), func(s *server) bool { order = append(order, s.ID); return true })
		acts := b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second})
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{NoTenant: {order[0]: math.MaxUint32, order[1]: math.MaxUint32}}})
		if probes {
			require.Equal(t, order[0], find(acts, Probe).Server)
			acts = b.Step(b.now+ms, &ProbeDone{Server: order[0], Outcome: Served})
			require.Equal(t, order[2], find(acts, Probe).Server)
			continue
		}
		require.Equal(t, order[0], mustSend(t, acts).Server)
		acts = b.Step(b.now+ms, &AttemptDone{ID: 1, Server: order[0], Outcome: Rejected, Latency: ms})
		require.Equal(t, order[2], mustSend(t, acts).Server)
	}
}

// Serving goes first only where the others are gone, drain or are down: that they are busy or tried is no reason.
// It is counted each time and logged now and then, and what is kept off again is not sent to any more.
func TestServingGoesFirst(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "a"}}
	ask := func(b *Balancer) []Action {
		return b.Step(b.now+time.Second, &Request{ID: uint32(b.now / ms), Class: "unsafe", Key: "k", Tenant: "a", ClientTimeout: time.Second})
	}
	for name, c := range map[string]struct {
		change func(b *Balancer, s *server)
		first  bool
	}{
		"well":   {func(*Balancer, *server) {}, false},
		"busy":   {func(b *Balancer, s *server) { s.inFlight, s.silentSince = 1000, -time.Minute }, false},
		"damped": {func(b *Balancer, s *server) { s.dampedUntil = time.Hour }, false},
		"down":   {func(b *Balancer, s *server) { b.turn(s, true) }, true},
		"drained": {func(b *Balancer, s *server) {
			b.Step(b.now, &ServerListUpdate{Servers: []Server{{ID: s.ID, State: Draining}}})
		}, true},
		"gone": {func(b *Balancer, s *server) {
			b.Step(b.now, &ServerListUpdate{Servers: []Server{{ID: s.ID, State: Gone}}})
		}, true},
	} {
		b := start(t, set, list(2))
		kept, left := b.ring.Owner(ring.Hash("k")), (*server)(nil)
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{"a": {kept.ID: math.MaxUint32}}})
		for _, s := range b.ring.Members() {
			if s != kept {
				left = s
			}
		}
		c.change(b, left)
		logs := 0
		for range 15 {
			acts := ask(b)
			sent := find(acts, Send)
			require.Equal(t, c.first, sent != nil && sent.Server == kept.ID, "%s: %+v", name, acts)
			if find(acts, Log) != nil {
				logs++
			}
			if sent != nil {
				b.Step(b.now, &AttemptDone{ID: sent.ID, Outcome: Served, Latency: ms, RequestDone: true})
			}
		}
		strain := b.TenantStats()
		require.Len(t, strain, 2)
		require.Equal(t, TenantStats{Tenant: NoTenant}, strain[0])
		require.Equal(t, uint64(15), strain[1].Served+strain[1].Rejected+strain[1].Failed)
		if c.first {
			require.Equal(t, TenantStats{Tenant: "a", Requests: 15, Served: 15, ExclusionOverrides: 15}, strain[1], name)
			require.Equal(t, 2, logs, "%s: every 10 s", name)
		}
	}
}

// A server that comes onto the list later is kept off as well.
func TestAvoidHoldsForLateComers(t *testing.T) {
	b := start(t, settings(), list(1))
	b.SetExclusions(&Exclusions{AllTenants: func(server, zone string) bool { return server == "s1" && zone == "z1" }})
	b.Step(ms, &ServerListUpdate{Kind: UpdateFull, Servers: list(2)})
	for i := range 50 {
		a := mustSend(t, b.Step(b.now+ms, &Request{ID: uint32(i), Class: "safe", Key: fmt.Sprint(i), ClientTimeout: time.Second}))
		require.Equal(t, "s0", a.Server)
		b.Step(b.now, &AttemptDone{ID: uint32(i), Outcome: Served, Latency: ms, RequestDone: true})
	}
	b.SetExclusions(nil)
	require.Nil(t, b.servers["s1"].excludedBelow)
}

// Of the requests without a key so many keep off a server as of those with one: a quarter of them would go there
// anyway, half of these keep off, and of the others none comes instead.
func TestAvoidWithoutKeys(t *testing.T) {
	b := start(t, settings(), list(4))
	sent := func(kept uint32) (n int) {
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{NoTenant: {"s2": kept}}})
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

// What tenants leave a server for is left to the others' parts, as far as those tenants ask.
func TestPartsOfWhatIsKeptOff(t *testing.T) {
	set := settings()
	set.Tenants = []Tenant{{Name: "a"}, {Name: "b"}}
	b := start(t, set, list(4))
	for i := range 40 {
		b.Step(b.now+ms, &Request{ID: uint32(i), Class: "safe", Tenant: []string{"a", "b", "b", "b"}[i%4], ClientTimeout: time.Second})
	}
	for below, sizes := range map[uint32]float64{0: 4, 1 << 31: 3.875, math.MaxUint32: 3.75} {
		b.SetExclusions(&Exclusions{Tenants: map[string]map[string]uint32{"a": {"s2": below}}})
		b.updateWeights()
		require.InDelta(t, sizes, b.weightSum, 1e-6)
	}
	b.SetExclusions(&Exclusions{AllTenants: func(server, _ string) bool { return server == "s2" }})
	b.updateWeights()
	require.InDelta(t, 3, b.weightSum, 1e-6)
}
