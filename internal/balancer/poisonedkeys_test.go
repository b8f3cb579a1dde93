package balancer

import (
	"testing"
	"time"

	farm "github.com/dgryski/go-farm"
)

// A key that fails at healthy servers is poisoned. It is not if the servers don't serve other requests either, or if many
// attempts fail whatever their keys.
func TestPoisonedKey(t *testing.T) {
	for i, healthy := range []bool{true, false, false} {
		b := newStarted(t, testSettings(), serverList(8))
		b.failureFraction = float64(i/2) * 0.05 // in the last case the servers serve others, but many attempts fail
		now := time.Minute
		for _, s := range b.ring.Members() {
			if healthy || i == 2 {
				s.lastServedAt = now
			}
		}
		b.Step(now, &Request{ID: 1, Class: "safe", Key: "bad", ClientTimeout: time.Second})
		id, rejected := uint32(1), false
		for range 12 {
			r := b.requests[id]
			if r == nil {
				id++
				acts := b.Step(now, &Request{ID: id, Class: "safe", Key: "bad", ClientTimeout: time.Second})
				if findAction(acts, Send) == nil {
					rejected = findAction(acts, Reject) != nil
					break
				}
				r = b.requests[id]
			}
			now += 100 * ms
			if n := len(r.attempts) - 1; !r.attempts[n].done {
				b.Step(now, &AttemptDone{ID: id, Attempt: n, Server: r.attempts[n].server.ID, Outcome: ConnectionLost})
			} else {
				b.Step(now, &TimerDue{Tag: uint64(id)<<2 | timerRetry})
			}
		}
		if blamed := b.blamedKeys[farm.Fingerprint32([]byte("bad"))] != nil; blamed != healthy || healthy && !rejected {
			t.Errorf("healthy servers %v: blamed %v, rejected %v", healthy, blamed, rejected)
		}
	}
}
