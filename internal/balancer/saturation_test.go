package balancer

import (
	"testing"
	"time"
)

func TestIsSaturated(t *testing.T) {
	for _, c := range []struct {
		name             string
		inFlight, others int
		latency          float64
		saturated        bool
	}{
		{"idle", 0, 0, 0.02, false},
		{"fast but over twice the mean", 2, 0, 0.02, false},
		{"slow and over twice the mean", 2, 0, 0.17, true},
		{"slow like all others", 2, 2, 0.12, false},
		{"beyond the latency limit", 0, 0, 0.3, true},
		{"surge", 9, 9, 0.02, true},
	} {
		b := newStarted(t, testSettings(), serverList(4))
		b.now = time.Minute
		for _, s := range b.ring.Members() {
			s.inFlight, s.silentSince, s.latency, s.latencyInFlight, s.latencyAt = c.others, b.now, c.latency, 9, b.now
			b.inFlight += c.others
		}
		s := b.ring.Members()[0]
		b.inFlight += c.inFlight - c.others
		s.inFlight, s.latencyInFlight = c.inFlight, float64(c.inFlight+1)
		r := &request{class: b.classes["safe"], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second}
		if got := b.isSaturated(r, s, b.expectedLatency(s), b.latencyLimit(r)); got != c.saturated {
			t.Errorf("%s: isSaturated returned %v", c.name, got)
		}
	}
}

// A balancer with enough observations of its own sends no probes.
func TestNoProbesWithManyObservations(t *testing.T) {
	set := testSettings()
	set.Limits.Probes = true
	b := newStarted(t, set, serverList(4))
	b.sendRate = 100
	if acts := b.Step(time.Minute, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}); findAction(acts, Probe) != nil {
		t.Errorf("probed: %+v", acts)
	}
}
