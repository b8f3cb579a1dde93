package balancer

import (
	"testing"
	"time"
)

// Load reports of full servers lose their weight in a zone whose responses stay fast, and keep it in one whose responses
// are slow.
func TestLoadReportsAreCalibratedByLatency(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(6))
	b.baseline.seconds = 0.02
	for id := range uint32(200) {
		for _, s := range []*server{b.servers["s0"], b.servers["s1"]} { // in zone z0 reports are false, in z1 true
			b.now += 50 * ms
			s.reportedInFlight, s.reportedAt = 20, b.now
			r := &request{id: id, class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second, workUnits: 1}
			b.sendAttempt(r, s)
			latency := 20 * ms
			if s.Zone == "z1" {
				latency = 350 * ms
			}
			r.openAttempts--
			s.inFlight--
			b.observeAttempt(r, &r.attempts[0], &AttemptDone{Outcome: Served, Latency: latency})
			s.latency = 0 // so that only the report counts
		}
	}
	for id, want := range map[string]bool{"s2": false, "s3": true} {
		s := b.servers[id]
		s.reportedInFlight, s.reportedAt = 20, b.now
		r := &request{class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second}
		if got := b.isSaturated(r, s, b.expectedLatency(s), b.latencyLimit(r)); got != want {
			t.Errorf("%s reports 20: saturated %v at %.3f s", id, got, b.expectedLatency(s))
		}
	}
}
