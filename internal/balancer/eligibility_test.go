package balancer

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Each case changes the state of a healthy server such that it is skipped for one of the reasons.
func TestSkipReasons(t *testing.T) {
	plain := func(*Settings) {}
	sparse := func(s *Settings) { s.Balancers = 100 }
	for _, c := range []struct {
		want    skipReason
		class   string
		change  func(*Settings)
		prepare func(b *Balancer, sel *selection, s, other *server)
	}{
		{notSkipped, "safe", plain, func(*Balancer, *selection, *server, *server) {}},
		{skipNotListed, "safe", plain, func(_ *Balancer, _ *selection, s, _ *server) { s.sawDraining = true }},
		{skipExcluded, "safe", plain, func(_ *Balancer, _ *selection, s, _ *server) { s.excludedBelow = []uint32{excludeAll} }},
		{skipTried, "safe", plain, func(_ *Balancer, sel *selection, s, _ *server) {
			sel.request.attempts = []attempt{{server: s}}
		}},
		{skipNotIdempotent, "unsafe", plain, func(_ *Balancer, sel *selection, _, other *server) {
			sel.request.attempts = []attempt{{server: other}}
		}},
		{skipDedupWindowOver, "all", plain, func(_ *Balancer, sel *selection, _, other *server) {
			sel.request.attempts = []attempt{{server: other}}
		}},
		{skipOutsideDedupScope, "zone", plain, func(b *Balancer, sel *selection, _, other *server) {
			sel.request.attempts = []attempt{{server: other}}
			sel.request.attempts[0].outlier.StartedAt = b.now
		}},
		{skipZoneUnreachable, "unsafe", sparse, func(b *Balancer, _ *selection, s, other *server) {
			for _, id := range []string{"s0", "s2", "s4"} {
				b.zoneReach.Unanswered(b.now, s.Zone, id)
			}
			b.zoneReach.Answered(b.now, other.Zone)
		}},
		{skipDown, "safe", plain, func(b *Balancer, _ *selection, s, _ *server) { b.damp(s) }},
		{skipPossiblyReplaced, "safe", plain, func(b *Balancer, _ *selection, s, _ *server) {
			b.repeatOutcome(s, ConnectFailed)
			b.Step(b.now, &ServerListUpdate{Kind: UpdateFailed})
		}},
		{skipOnProbation, "unsafe", plain, func(b *Balancer, _ *selection, _, _ *server) { b.StartProbation(0) }},
		{skipWarmingUp, "safe", plain, func(b *Balancer, _ *selection, s, _ *server) {
			s.StartedAt = b.now
			s.slowStart.Start(b.now, 0)
		}},
		{skipHedgedProbe, "safe", func(s *Settings) { s.Limits.Hedging = true }, func(b *Balancer, _ *selection, s, _ *server) {
			b.repeatOutcome(s, ConnectFailed)
			s.slowStart.Start(b.now, 1)
		}},
		{skipRejecting, "safe", plain, func(b *Balancer, _ *selection, s, _ *server) {
			for range 3 {
				b.observeOutcome(s, Rejected)
			}
		}},
		{skipSuspect, "unsafe", plain, func(b *Balancer, sel *selection, s, _ *server) {
			for !b.isSuspect(sel.request, s) {
				b.observeOutcome(s, ServerError)
			}
		}},
		{skipKeyBeyondWeight, "safe", plain, func(_ *Balancer, sel *selection, s, _ *server) {
			s.Weight, sel.hash = 0.001, s.hash^1
		}},
		{skipSaturated, "safe", plain, func(b *Balancer, _ *selection, s, _ *server) {
			s.inFlight, s.silentSince = 1000, b.now
		}},
		{skipOverFairShare, "safe", sparse, func(b *Balancer, _ *selection, s, _ *server) {
			b.accounts.RequestSent(&s.account, 10)
		}},
		{skipSearchingWarmingUp, "safe", sparse, func(b *Balancer, _ *selection, s, _ *server) {
			b.warmServersSaturated, b.anyWarmingUp = true, true
		}},
	} {
		t.Run(c.want.String(), func(t *testing.T) {
			set := testSettings()
			c.change(&set)
			b := newStarted(t, set, serverList(6))
			b.now = time.Minute
			s, other := b.servers["s0"], b.servers["s1"]
			b.accounts.Open(&s.account, 1) // full credit instead of a random one
			b.accounts.Open(&other.account, 1)
			sel := selection{
				request: &request{class: b.classes[c.class], objectiveAt: b.now + 400*ms, deadline: b.now + time.Second},
				sparse:  b.IsSparse(), fastestLatency: math.Inf(1),
			}
			sel.latencyLimit = b.latencyLimit(sel.request)
			require.Equal(t, notSkipped, b.checkServer(&sel, other))
			c.prepare(b, &sel, s, other)
			require.Equal(t, c.want, b.checkServer(&sel, s))
		})
	}
}
