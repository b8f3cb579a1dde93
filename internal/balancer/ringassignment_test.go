package balancer

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer/ring"
)

// An assignment that gives each server the default points changes no action. With random assignments the rules hold.
func TestRingAssignmentOnRandomEvents(t *testing.T) {
	outside := 0
	for seed := range uint64(20) {
		defaultPoints := &RingAssignment{Generation: 1, Points: map[string]int{}}
		for _, s := range serverList(8) {
			defaultPoints.Points[s.ID] = pointsPerServer
		}
		var actions [2][]Action
		for i, assignment := range []*RingAssignment{nil, defaultPoints} {
			actions[i] = simulate(t, seed, func(*Settings) {}, func(w *simulation, _ int) {
				w.b.lowestBaseline, w.b.slowStartSaturated = 0, w.b.slowStart // disables the differences: weights by baseline, and the larger slow-start budget
				w.b.SetRingAssignment(assignment)
			})
		}
		require.True(t, reflect.DeepEqual(actions[0], actions[1]), "seed %d", seed)
		simulate(t, seed, func(*Settings) {}, func(w *simulation, n int) {
			if n%50 == 0 {
				w.assignment = &RingAssignment{Generation: uint64(n), Points: map[string]int{"none": 100}}
				for i := range 8 {
					w.assignment.Points[fmt.Sprint("s", i)] = max(w.rng.IntN(300)-150, -1)
				}
				w.b.SetRingAssignment(w.assignment)
			}
		})
		w := &simulation{}
		simulate(t, seed, func(*Settings) {}, func(got *simulation, n int) {
			if w = got; n%500 == 0 {
				w.assignment = &RingAssignment{Points: map[string]int{fmt.Sprint("s", n/500): 20}}
				w.b.SetRingAssignment(w.assignment)
			}
		})
		outside += w.outside
	}
	require.Greater(t, outside, 100, "attempts at servers outside an assignment")
}

// checkAssignment counts an attempt at a server outside the assignment, and checks that the server list permits it.
func (w *simulation) checkAssignment(to string) {
	if w.assignment == nil || w.assignment.Points[to] > 0 {
		return
	}
	w.outside++
	if s := w.b.servers[to]; s == nil || s.State == Draining || w.drained[to] {
		w.t.Fatalf("sent to %s, which is unknown, draining or gone", to)
	}
}

// Servers have their assigned points, whatever their listed weights. Servers that the list shows as draining or gone are
// skipped at once, assigned servers that it does not contain are ignored, and servers without points get no requests.
func TestRingAssignment(t *testing.T) {
	servers := serverList(5)
	servers[1].Weight = 0.1
	b := newStarted(t, testSettings(), servers)
	requestsByServer := func() map[string]int {
		counts := map[string]int{}
		for i := range 2000 {
			id := uint32(b.now)
			a := mustSend(t, b.Step(b.now+20*ms, &Request{ID: id, Class: "safe", Key: fmt.Sprint("key", i), ClientTimeout: time.Second}))
			b.Step(b.now, &AttemptDone{ID: id, Server: a.Server, Outcome: Served, Latency: ms, RequestDone: true})
			counts[a.Server]++
		}
		return counts
	}
	require.Less(t, requestsByServer()["s1"], 120, "a server with a low weight, without an assignment")
	assignment := &RingAssignment{Generation: 7, Points: map[string]int{"s0": 100, "s1": 200, "s2": 100, "s3": 0, "unlisted": 100}}
	b.SetRingAssignment(assignment)
	counts := requestsByServer()
	require.InDelta(t, 1000, counts["s1"], 150)
	require.InDelta(t, 500, counts["s0"], 150)
	require.Len(t, counts, 3)
	require.Len(t, b.outsideRing.Members(), 2)
	b.Step(b.now+ms, &ServerListUpdate{Servers: []Server{{ID: "s1", State: Draining}, {ID: "s2", State: Gone}}})
	require.Equal(t, map[string]int{"s0": 2000}, requestsByServer())
	require.Len(t, b.ring.Members(), 3)
	b.Step(b.now+ms, &ServerListUpdate{Servers: []Server{{ID: "s0", State: Gone}}})
	counts = requestsByServer()
	require.Len(t, counts, 2, "the assignment has no ready server, so it is ignored")
	require.NotZero(t, counts["s3"])
	require.NotZero(t, counts["s4"])
	b.Step(b.now+ms, &ServerListUpdate{Kind: UpdateFull, Servers: servers})
	require.Equal(t, 200, b.servers["s1"].ringPlace.Points(), "the assignment has ready servers again, so it applies")
	b.SetRingAssignment(nil)
	require.Less(t, requestsByServer()["s1"], 120)
}

// If all servers of an assignment are down it is ignored from the next round on, until one has recovered.
func TestRingAssignmentIsIgnoredWhileAllItsServersAreDown(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(8))
	b.SetRingAssignment(&RingAssignment{Generation: 5, Points: map[string]int{"s0": 100, "s1": 50}})
	require.Len(t, b.outsideRing.Members(), 6)
	b.repeatOutcome(b.servers["s0"], ConnectFailed)
	b.Step(b.now+time.Second, &TimerDue{Tag: timerRound})
	require.Len(t, b.outsideRing.Members(), 6)
	b.repeatOutcome(b.servers["s1"], ConnectFailed)
	b.Step(b.now+time.Second, &TimerDue{Tag: timerRound})
	require.Empty(t, b.outsideRing.Members())
	require.Equal(t, pointsPerServer, b.servers["s1"].ringPlace.Points())
	b.repeatOutcome(b.servers["s1"], Served)
	acts := b.Step(b.now+time.Second, &TimerDue{Tag: timerRound})
	require.Len(t, b.outsideRing.Members(), 6)
	require.Contains(t, findAction(acts, Log).Text, "ring assignment 5 applied again")
}

// A server outside the assignment gets the requests that the others have no capacity for. While warm servers are saturated
// it is preferred if it is in slow start, within its slow-start budget.
func TestServersOutsideTheAssignment(t *testing.T) {
	for _, c := range []struct {
		name                      string
		busy, saturated, starting bool
		minSent, maxSent          int // of 100 requests, each with a different key
	}{
		{"capacity", false, false, false, 0, 0},
		{"no capacity", true, false, false, 100, 100},
		{"no capacity, and in slow start", true, false, true, 5, 60},
		{"saturated, and warm", false, true, false, 0, 0},
		{"saturated, and in slow start", false, true, true, 5, 60},
	} {
		b := newStarted(t, testSettings(), serverList(2))
		b.sendRate = 100
		started := time.Duration(0)
		if c.starting {
			started = time.Minute
		}
		b.Step(time.Minute, &ServerListUpdate{Servers: []Server{{ID: "new", Zone: "z0", Weight: 1, StartedAt: started}}})
		b.SetRingAssignment(&RingAssignment{Points: map[string]int{"s0": 100, "s1": 100}})
		b.SetWarmServersSaturated(c.saturated)
		got := 0
		for i := range 100 {
			if c.busy {
				for _, id := range []string{"s0", "s1"} {
					b.servers[id].inFlight, b.servers[id].silentSince = 1000, 0
				}
			}
			id := uint32(i + 1)
			acts := b.Step(b.now+10*ms, &Request{ID: id, Class: "safe", Key: fmt.Sprint("key", i), ClientTimeout: time.Second})
			if a := findAction(acts, Send); a != nil {
				if a.Server == "new" {
					got++
				}
				b.Step(b.now, &AttemptDone{ID: id, Server: a.Server, Outcome: Served, Latency: ms, RequestDone: true})
			}
		}
		require.GreaterOrEqual(t, got, c.minSent, c.name)
		require.LessOrEqual(t, got, c.maxSent, c.name)
	}
}

// The search for an owner with capacity ends after three saturated ones. Under an assignment they count by their points, so
// that light servers do not end the search; with equal points, or without an assignment, each counts as one.
func TestSaturatedOwnersCountByPoints(t *testing.T) {
	for points, scanned := range map[int]int{0: 3, 200: 3, 150: 4, 100: 6, 20: 30} {
		b := newStarted(t, testSettings(), serverList(9))
		if points > 0 {
			assignment := &RingAssignment{Points: map[string]int{}}
			for _, s := range serverList(9) {
				assignment.Points[s.ID] = points
			}
			assignment.Points["s0"] = 200
			b.SetRingAssignment(assignment)
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
			if before <= scanned {
				owner = "s0"
				found++
			}
			id := uint32(i + 1)
			a := mustSend(t, b.Step(b.now, &Request{ID: id, Class: "safe", Key: key, ClientTimeout: time.Second}))
			require.Equal(t, owner, a.Server, "%d points, s0 is owner number %d of the key", points, before)
			b.Step(b.now, &AttemptDone{ID: id, Server: a.Server, Outcome: Canceled, RequestDone: true})
		}
		require.NotZero(t, found)
	}
}
