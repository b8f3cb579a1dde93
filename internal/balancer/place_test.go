package balancer

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/ring"
)

// Days by a generation that gives each server the usual points are the days without; those by other generations
// keep the rules.
func TestPlaceOnRandomEvents(t *testing.T) {
	outside := 0
	for seed := range uint64(20) {
		usual := &RingAssignment{Generation: 1, Points: map[string]int{}}
		for _, s := range list(8) {
			usual.Points[s.ID] = pointsPerServer
		}
		var days [2][]Action
		for i, p := range []*RingAssignment{nil, usual} {
			days[i] = play(t, seed, func(*Settings) {}, func(w *world, _ int) {
				w.b.lowestBaseline, w.b.slowStartSaturated = 0, w.b.slowStart // paces move keys by listed size alone, and points bound cold ones
				w.b.SetRingAssignment(p)
			})
		}
		require.True(t, reflect.DeepEqual(days[0], days[1]), "seed %d", seed)
		play(t, seed, func(*Settings) {}, func(w *world, n int) {
			if n%50 == 0 {
				w.placed = &RingAssignment{Generation: uint64(n), Points: map[string]int{"none": 100}}
				for i := range 8 {
					w.placed.Points[fmt.Sprint("s", i)] = max(w.rng.IntN(300)-150, -1)
				}
				w.b.SetRingAssignment(w.placed)
			}
		})
		w := &world{}
		play(t, seed, func(*Settings) {}, func(got *world, n int) {
			if w = got; n%500 == 0 {
				w.placed = &RingAssignment{Points: map[string]int{fmt.Sprint("s", n/500): 20}}
				w.b.SetRingAssignment(w.placed)
			}
		})
		outside += w.outside
	}
	require.Greater(t, outside, 100, "attempts at others while a generation left none")
}

// judgePlace holds an attempt to the own list, whatever the generation says, and counts those outside it.
func (w *world) judgePlace(to string) {
	if w.placed == nil || w.placed.Points[to] > 0 {
		return
	}
	w.outside++
	if s := w.b.servers[to]; s == nil || s.State == Draining || w.drained[to] {
		w.t.Fatalf("sent to %s", to)
	}
}

// Points are as agreed, whatever the listed sizes; what the own list takes out is passed over at once, what it
// does not name is not known by being agreed on, and what is not agreed on gets nothing.
func TestPlace(t *testing.T) {
	servers := list(5)
	servers[1].Weight = 0.1
	b := start(t, settings(), servers)
	owned := func() map[string]int {
		n := map[string]int{}
		for i := range 2000 {
			id := uint32(b.now)
			a := mustSend(t, b.Step(b.now+20*ms, &Request{ID: id, Class: "safe", Key: fmt.Sprint("key", i), ClientTimeout: time.Second}))
			b.Step(b.now, &AttemptDone{ID: id, Server: a.Server, Outcome: Served, Latency: ms, RequestDone: true})
			n[a.Server]++
		}
		return n
	}
	require.Less(t, owned()["s1"], 120, "a small one")
	p := &RingAssignment{Generation: 7, Points: map[string]int{"s0": 100, "s1": 200, "s2": 100, "s3": 0, "unlisted": 100}}
	b.SetRingAssignment(p)
	n := owned()
	require.InDelta(t, 1000, n["s1"], 150)
	require.InDelta(t, 500, n["s0"], 150)
	require.Len(t, n, 3)
	require.Len(t, b.outsideRing.Members(), 2)
	b.Step(b.now+ms, &ServerListUpdate{Servers: []Server{{ID: "s1", State: Draining}, {ID: "s2", State: Gone}}})
	require.Equal(t, map[string]int{"s0": 2000}, owned())
	require.Len(t, b.ring.Members(), 3)
	b.Step(b.now+ms, &ServerListUpdate{Servers: []Server{{ID: "s0", State: Gone}}})
	n = owned()
	require.Len(t, n, 2, "the generation leaves none: by the own list")
	require.NotZero(t, n["s3"])
	require.NotZero(t, n["s4"])
	b.Step(b.now+ms, &ServerListUpdate{Kind: UpdateFull, Servers: servers})
	require.Equal(t, 200, b.servers["s1"].ringPlace.Points(), "it leaves some again")
	b.SetRingAssignment(nil)
	require.Less(t, owned()["s1"], 120)
}

// Where all servers of a generation are down, the others are sent to within a round, until one is back.
func TestPlaceLeavesNoneUp(t *testing.T) {
	b := start(t, settings(), list(8))
	b.SetRingAssignment(&RingAssignment{Generation: 5, Points: map[string]int{"s0": 100, "s1": 50}})
	require.Len(t, b.outsideRing.Members(), 6)
	b.turn(b.servers["s0"], true)
	b.Step(b.now+time.Second, &TimerDue{Tag: timerRound})
	require.Len(t, b.outsideRing.Members(), 6)
	b.turn(b.servers["s1"], true)
	b.Step(b.now+time.Second, &TimerDue{Tag: timerRound})
	require.Empty(t, b.outsideRing.Members())
	require.Equal(t, pointsPerServer, b.servers["s1"].ringPlace.Points())
	b.turn(b.servers["s1"], false)
	acts := b.Step(b.now+time.Second, &TimerDue{Tag: timerRound})
	require.Len(t, b.outsideRing.Members(), 6)
	require.Contains(t, find(acts, Log).Text, "generation 5 of the ring holds again")
}

// A server outside the generation gets what those in it can't take. While these are full it is asked first if it
// is cold, and then as often as a cold server's part is.
func TestPlaceNewcomers(t *testing.T) {
	for _, c := range []struct {
		name             string
		busy, full, cold bool
		least, most      int // of 100 requests, each at another key
	}{
		{"room", false, false, false, 0, 0},
		{"no room", true, false, false, 100, 100},
		{"no room, and cold", true, false, true, 5, 60},
		{"full, and warm", false, true, false, 0, 0},
		{"full, and cold", false, true, true, 5, 60},
	} {
		b := start(t, settings(), list(2))
		b.sendRate = 100
		started := time.Duration(0)
		if c.cold {
			started = time.Minute
		}
		b.Step(time.Minute, &ServerListUpdate{Servers: []Server{{ID: "new", Zone: "z0", Weight: 1, StartedAt: started}}})
		b.SetRingAssignment(&RingAssignment{Points: map[string]int{"s0": 100, "s1": 100}})
		b.SetWarmServersSaturated(c.full)
		got := 0
		for i := range 100 {
			if c.busy {
				for _, id := range []string{"s0", "s1"} {
					b.servers[id].inFlight, b.servers[id].silentSince = 1000, 0
				}
			}
			id := uint32(i + 1)
			acts := b.Step(b.now+10*ms, &Request{ID: id, Class: "safe", Key: fmt.Sprint("key", i), ClientTimeout: time.Second})
			if a := find(acts, Send); a != nil {
				if a.Server == "new" {
					got++
				}
				b.Step(b.now, &AttemptDone{ID: id, Server: a.Server, Outcome: Served, Latency: ms, RequestDone: true})
			}
		}
		require.GreaterOrEqual(t, got, c.least, c.name)
		require.LessOrEqual(t, got, c.most, c.name)
	}
}

// A crowded owner counts by its points among the three that are looked at for one with room, so that smaller ones are
// no end of the search. With equal points, and without a generation, each counts for one.
func TestPlaceLooksOnByPoints(t *testing.T) {
	for small, most := range map[int]int{0: 3, 200: 3, 150: 4, 100: 6, 20: 30} {
		b := start(t, settings(), list(9))
		if small > 0 {
			p := &RingAssignment{Points: map[string]int{}}
			for _, s := range list(9) {
				p.Points[s.ID] = small
			}
			p.Points["s0"] = 200
			b.SetRingAssignment(p)
		}
		found := 0
		for i := range 200 {
			key, before, owner, first := fmt.Sprint("key", i), 0, "", true
			b.now += 10 * ms
			for id, s := range b.servers {
				if s.silentSince = b.now; id != "s0" {
					s.inFlight = 1000
				}
			}
			b.ring.Walk(ring.Hash(key), func(s *server) bool {
				if first {
					owner, first = s.ID, false
				}
				before++
				return s.ID != "s0"
			})
			if before <= most {
				owner = "s0"
				found++
			}
			id := uint32(i + 1)
			a := mustSend(t, b.Step(b.now, &Request{ID: id, Class: "safe", Key: key, ClientTimeout: time.Second}))
			require.Equal(t, owner, a.Server, "%d points, and %d owners on the way", small, before)
			b.Step(b.now, &AttemptDone{ID: id, Server: a.Server, Outcome: Canceled, RequestDone: true})
		}
		require.NotZero(t, found)
	}
}
