package balancer

import (
	"fmt"
	"slices"
	"testing"
	"time"
)

// A server that has not responded recently is probed before a request is sent to it. The first probed server that responds
// gets the request.
func TestUnknownServerIsProbedFirst(t *testing.T) {
	for _, c := range []struct {
		name   string
		answer func(b *Balancer, first string, now time.Duration) []Action
		same   bool // the first probed server gets the request
	}{
		{"answers", func(b *Balancer, first string, now time.Duration) []Action {
			return b.Step(now, &ProbeDone{Server: first, Outcome: Served})
		}, true},
		{"refuses connections", func(b *Balancer, first string, now time.Duration) []Action {
			return b.Step(now, &ProbeDone{Server: first, Outcome: ConnectFailed})
		}, false},
		{"silent", func(b *Balancer, first string, now time.Duration) []Action {
			return b.Step(now+50*ms, &TimerDue{Tag: 1<<2 | timerRetry})
		}, false},
	} {
		set := testSettings()
		set.Limits.Probes = true
		b := newStarted(t, set, serverList(6))
		now := time.Minute
		first := findAction(b.Step(now, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Probe)
		if first == nil {
			t.Fatal("no probe is sent")
		}
		acts := c.answer(b, first.Server, now+ms)
		got := findAction(acts, Send)
		if !c.same {
			next := findAction(acts, Probe)
			if got != nil || next == nil || next.Server == first.Server {
				t.Fatalf("%s: %+v", c.name, acts)
			}
			got = findAction(b.Step(now+60*ms, &ProbeDone{Server: next.Server, Outcome: Served}), Send)
		}
		if got == nil || (got.Server == first.Server) != c.same {
			t.Errorf("%s: sent to %+v, first probed %s", c.name, got, first.Server)
		}
	}
}

// Probes are ignored once they fail repeatedly at servers that serve requests.
func TestFalseProbesAreIgnored(t *testing.T) {
	for _, served := range []bool{true, false} {
		set := testSettings()
		set.Limits.Probes = true
		b := newStarted(t, set, serverList(3))
		now := time.Minute
		for id := uint32(1); id < 60; id++ {
			now += 500 * ms
			queue := b.Step(now, &Request{ID: id, Class: "safe", Key: fmt.Sprint(id), ClientTimeout: time.Second})
			queue = slices.Clone(queue)
			for len(queue) > 0 {
				a := queue[0]
				queue = queue[1:]
				var more []Action
				switch {
				case a.Kind == Probe:
					more = b.Step(now, &ProbeDone{Server: a.Server, Outcome: TimedOut, Latency: 250 * ms})
				case a.Kind == Send && served:
					more = b.Step(now, &AttemptDone{ID: id, Attempt: len(b.requests[id].attempts) - 1, Server: a.Server, Latency: ms, RequestDone: true})
				case a.Kind == Send:
					more = b.Step(now, &AttemptDone{ID: id, Attempt: len(b.requests[id].attempts) - 1, Server: a.Server, Outcome: ConnectFailed})
				}
				queue = append(queue, slices.Clone(more)...)
			}
		}
		if trusted := b.falseProbeFraction <= maxFalseProbeFraction; trusted == served {
			t.Errorf("requests served %v: fraction of false probes %.2f", served, b.falseProbeFraction)
		}
	}
}
