package balancer

import (
	"fmt"
	"math"
	"testing"
	"time"

	farm "github.com/dgryski/go-farm"
)

func TestRingPointsUseFarmHash(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	if b.ring.Points() != 4*pointsPerServer {
		t.Fatalf("%d points on the ring", b.ring.Points())
	}
	for key := range 500 {
		h := farm.Fingerprint32([]byte(fmt.Sprint("key", key)))
		best, dist := "", uint32(math.MaxUint32)
		for _, s := range serverList(4) { // brute force: the nearest point clockwise
			for i := range pointsPerServer {
				if d := farm.Fingerprint32([]byte(fmt.Sprint(s.ID, i))) - h; d <= dist {
					best, dist = s.ID, d
				}
			}
		}
		if got := b.ring.Owner(h).ID; got != best {
			t.Fatalf("key %d: owner %s, want %s", key, got, best)
		}
	}
}

const ringVectors = "s4 s1 s2 s3 s0 s2 s3 s3 "

// Guards against a change of the hash, the points or their names, which would move every key of a running fleet.
func TestRingFixedVectors(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(5))
	got := ""
	for _, key := range []string{"k:1", "k:2", "lift-7", "notice-19", "", "a", "b", "c"} {
		got += b.ring.Owner(farm.Fingerprint32([]byte(key))).ID + " "
	}
	if want := ringVectors; got != want {
		t.Errorf("owners %q, want %q", got, want)
	}
}

func TestRingIsIndependentOfOrderAndRemapsFewKeys(t *testing.T) {
	full := serverList(6)
	b, shuffled := newStarted(t, testSettings(), full), newStarted(t, testSettings(), []Server{full[3], full[0], full[5], full[1], full[4], full[2]})
	less := newStarted(t, testSettings(), full[:5])
	moved := 0
	for key := range 2000 {
		h := farm.Fingerprint32([]byte(fmt.Sprint("key", key)))
		o := b.ring.Owner(h).ID
		if o != shuffled.ring.Owner(h).ID {
			t.Fatal("the ring depends on the list's order")
		}
		if l := less.ring.Owner(h).ID; l != o {
			moved++
			if o != "s5" {
				t.Fatalf("key %d moved from %s to %s, although %s stayed", key, o, l, o)
			}
		}
	}
	if moved == 0 || moved > 2000/3 {
		t.Errorf("%d of 2000 keys moved", moved)
	}
	// Once the missing server has joined, every key has its old owner.
	less.Step(1, &ServerListUpdate{Kind: UpdateIncremental, Servers: full[5:]})
	for key := range 200 {
		h := farm.Fingerprint32([]byte(fmt.Sprint("key", key)))
		if less.ring.Owner(h).ID != b.ring.Owner(h).ID {
			t.Fatal("a join does not restore the ring")
		}
	}
}

// A server that leaves and returns has its old points, which are hashed only once.
func TestReturningServerHasItsOldPoints(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(5))
	l := serverList(5)
	for range 3 {
		for _, st := range []ServerState{Gone, Ready} {
			l[2].State = st
			b.Step(b.now+1, &ServerListUpdate{Kind: UpdateIncremental, Servers: l[2:3]})
			if b.ring.Points() != 5*pointsPerServer {
				t.Fatalf("%d points on the ring", b.ring.Points())
			}
			if owner := b.ring.Owner(b.servers["s2"].hash); st == Gone && owner.ID == "s2" {
				t.Fatal("a server that is gone owns keys")
			}
		}
	}
	// Lists with each id twice, and without servers.
	b.Step(b.now+1, &ServerListUpdate{Kind: UpdateFull, Servers: append(serverList(5), serverList(5)...)})
	if len(b.ring.Members()) != 5 || b.ring.Points() != 5*pointsPerServer {
		t.Errorf("%d members, %d points", len(b.ring.Members()), b.ring.Points())
	}
	b.Step(b.now+1, &ServerListUpdate{Kind: UpdateFull})
	if acts := b.Step(b.now+1, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}); findAction(acts, Reject) == nil {
		t.Errorf("empty list: request not rejected: %+v", acts)
	}
}
