package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each reason for which a request is rejected: when it arrives, before an attempt, and before a retry.
func TestEndReasons(t *testing.T) {
	admit := func(b *Balancer, r *request) { r.endReason = b.checkAdmission(r) }
	route := (*Balancer).route
	retry := (*Balancer).retry
	for _, c := range []struct {
		name    string
		want    endReason
		prepare func(b *Balancer, r *request)
		do      func(b *Balancer, r *request)
	}{
		{"new", notEnded, func(*Balancer, *request) {}, admit},
		{"new, with a poisoned key", endPoisonedKey, func(b *Balancer, r *request) {
			r.hasKey = true
			b.blamedKeys[r.hash] = &blamedKey{servers: make([]*server, poisonServers), until: b.now + ms}
		}, admit},
		{"new, too late", endObjectiveMissed, func(b *Balancer, r *request) { r.objectiveAt = b.now }, admit},
		{"sent", notEnded, func(*Balancer, *request) {}, route},
		{"without a retry token for the server", endNoRetryToken, func(b *Balancer, r *request) {
			r.needsRetryToken, b.retryTokens = true, 0
		}, route},
		{"without a server", endNoServer, func(b *Balancer, _ *request) {
			b.Step(b.now, &ServerListUpdate{Kind: UpdateFull})
		}, route},
		{"retried", notEnded, func(*Balancer, *request) {}, retry},
		{"after all attempts", endAttemptsUsed, func(_ *Balancer, r *request) {
			r.attempts = append(r.attempts, r.attempts[0], r.attempts[0])
		}, retry},
		{"without a retry token", endNoRetryToken, func(b *Balancer, _ *request) { b.retryTokens = 0 }, retry},
		{"a retry that would miss the objective", endObjectiveMissed, func(b *Balancer, r *request) {
			r.objectiveAt, b.meanLatency = b.now+30*ms, 0.05
		}, retry},
		{"a retry that would miss the deadline", endDeadline, func(b *Balancer, r *request) { r.deadline = b.now + ms }, retry},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := newStarted(t, testSettings(), serverList(6))
			b.now = time.Minute
			r := &request{
				id: 1, class: b.classes["safe"], workUnits: 1, objectiveAt: b.now + 400*ms, deadline: b.now + time.Second,
				attempts: []attempt{{server: b.servers["s0"], done: true}},
			}
			b.requests[r.id] = r
			c.prepare(b, r)
			b.actions = b.actions[:0]
			c.do(b, r)
			require.Equal(t, c.want, r.endReason, "%v", r.endReason)
			require.Equal(t, r.closed, findAction(b.actions, Reject) != nil)
		})
	}
}
