package balancer

import (
	"fmt"
	"testing"
	"time"
)

const ms = time.Millisecond

// testSettings returns settings with a class for each kind of idempotency and deduplication scope.
func testSettings() Settings {
	return Settings{
		Balancers: 3, Zone: "z0",
		Classes: []Class{
			{Name: "safe", LatencyObjective: 400 * ms, Deadline: time.Second, Idempotency: Idempotent, PriorityWeight: 1},
			{
				Name: "zone", LatencyObjective: 800 * ms, Deadline: 2 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupScopeZone,
				DedupWindow: 500 * ms, PriorityWeight: 2,
			},
			{
				Name: "cell", LatencyObjective: 800 * ms, Deadline: 2 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupScopeCell,
				DedupWindow: 500 * ms, PriorityWeight: 2,
			},
			{
				Name: "all", LatencyObjective: 800 * ms, Deadline: 2 * time.Second, Idempotency: IdempotentWithKey, DedupScope: DedupScopeAll,
				DedupWindow: 500 * ms, PriorityWeight: 2,
			},
			{Name: "unsafe", LatencyObjective: 500 * ms, Deadline: time.Second, Idempotency: NotIdempotent, PriorityWeight: 10},
		},
		Limits: Limits{
			MaxAttempts: 3, Cancel: true, Gossip: true, RetryAfter: true,
			MaxRetryAfter: time.Second,
		},
		Rules: Rules{
			DrainGrace: 500 * ms, SlowStartCapacity: 0.4, SlowStartDuration: 8 * time.Second, OverloadMultiple: 3,
			OverloadWindow: 2 * time.Second, MaxPollInterval: 10 * time.Second,
		},
		Costs: Costs{CrossZone: 0.01, WastedWork: 0.05}, ScoreWeights: ScoreWeights{Total: 0.7, WorstClass: 0.3}, Tick: 5 * ms,
	}
}

// serverList returns n ready servers in two zones and three cells.
func serverList(n int) []Server {
	var all []Server
	for i := range n {
		all = append(all, Server{ID: fmt.Sprintf("s%d", i), Zone: fmt.Sprintf("z%d", i%2), Cell: i % 3, Weight: 1})
	}
	return all
}

// newStarted returns a Balancer that has received the server list.
func newStarted(t *testing.T, set Settings, servers []Server) *Balancer {
	t.Helper()
	b, err := New(set, 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: servers})
	return b
}

// findAction returns the first action of a kind, or nil if there is none.
func findAction(acts []Action, kind ActionKind) *Action {
	for i := range acts {
		if acts[i].Kind == kind {
			a := acts[i]
			return &a
		}
	}
	return nil
}

// mustSend returns the first Send action. It fails the test if there is none.
func mustSend(t *testing.T, acts []Action) *Action {
	t.Helper()
	a := findAction(acts, Send)
	if a == nil {
		t.Fatalf("no send in %+v", acts)
	}
	return a
}

// observeOutcome starts an attempt at a server and ends it with the outcome.
func (b *Balancer) observeOutcome(s *server, o Outcome) {
	started := b.detector.AttemptStarted(b.now, s.outlier, 0, time.Second)
	b.observeAttempt(&request{class: b.classes["safe"]}, &attempt{server: s, outlier: started},
		&AttemptDone{Outcome: o, Latency: 10 * ms})
}

// repeatOutcome ends attempts at a server with the outcome until it is ejected, or with Served until it is readmitted, and
// then ends the round.
func (b *Balancer) repeatOutcome(s *server, o Outcome) {
	for range 20 {
		if s.outlier.IsEjected() == (o == Served) {
			b.observeOutcome(s, o)
		}
	}
	b.detector.EndRound()
	b.countFlap(s)
}
