package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer/outlier"
)

// Guards against a server that gives heads and nothing else, and is never found out: each such response counts as one timeout,
// when its attempt's time is over and not again at its end. One whose body has begun, or that waits for this process, does not.
func TestOverdueResponseCountsAsOneTimeout(t *testing.T) {
	for name, c := range map[string]struct {
		event     AttemptOverdue
		isCounted bool
	}{
		"silent":       {AttemptOverdue{IsSilent: true}, true},
		"body begun":   {AttemptOverdue{}, false},
		"local":        {AttemptOverdue{IsSilent: true, Evidence: outlier.Evidence{LocalShortage: true}}, false},
		"acted late":   {AttemptOverdue{IsSilent: true, Evidence: outlier.Evidence{ActedLateBy: time.Second}}, false},
		"other number": {AttemptOverdue{IsSilent: true, Attempt: 7}, false},
	} {
		b := newStarted(t, testSettings(), serverList(6))
		for id := uint32(1); id <= 60; id++ {
			b.Step(ms, &Request{ID: id, Class: "unsafe", ClientTimeout: time.Second})
			b.Step(11*ms, &AttemptDone{ID: id, Server: b.requests[id].attempts[0].server.ID, Latency: 10 * ms, RequestDone: true})
		}
		sent := mustSend(t, b.Step(20*ms, &Request{ID: 100, Class: "unsafe", ClientTimeout: time.Second}))
		evidence := func() float64 {
			return b.detector.Snapshot(b.now, b.servers[sent.Server].outlier).DeadEvidence
		}
		event := c.event
		event.ID = 100
		b.Step(30*ms, &ResponseBegun{ID: 100})
		b.Step(515*ms, &event)
		overdue := evidence()
		require.Equal(t, c.isCounted, overdue > 0, name)
		b.Step(900*ms, &event)
		require.Equal(t, overdue, evidence(), "%s: once", name) //nolint:testifylint // nothing was added
		b.Step(1010*ms, &AttemptDone{
			ID: 100, Server: sent.Server, Outcome: TimedOut, Latency: 990 * ms, Evidence: outlier.Evidence{Phase: outlier.PhaseAwaiting},
		})
		if c.isCounted {
			require.Equal(t, overdue, evidence(), "%s: not again", name) //nolint:testifylint // nothing was added
		} else {
			require.Positive(t, evidence(), name)
		}
	}
}

// Guards against a request that is bound to a server which hangs after its head, though it could be repeated elsewhere in time;
// and against a second copy of one that must not run twice.
func TestOverdueResponseIsHedged(t *testing.T) {
	set := testSettings()
	set.Limits.Hedging = true
	for class, isHedged := range map[string]bool{"safe": true, "unsafe": false, "all": false} {
		b := newStarted(t, set, serverList(6))
		sent := mustSend(t, b.Step(ms, &Request{ID: 1, Class: class, ClientTimeout: time.Second}))
		acts := b.Step(51*ms, &AttemptOverdue{ID: 1, IsSilent: true})
		hedge := findAction(acts, Send)
		require.Equal(t, isHedged, hedge != nil, class)
		if hedge != nil {
			require.NotEqual(t, sent.Server, hedge.Server)
			require.Nil(t, findAction(b.Step(60*ms, &AttemptOverdue{ID: 1, IsSilent: true}), Send), "once")
			acts = b.Step(70*ms, &AttemptDone{ID: 1, Attempt: 1, Server: hedge.Server, Outcome: ServerError})
			require.Nil(t, findAction(acts, Reject), "the first attempt goes on")
			require.Nil(t, findAction(acts, Fail), "the first attempt goes on")
		}
	}
	b := newStarted(t, set, serverList(6))
	b.Step(ms, &Request{ID: 1, Class: "safe", ClientTimeout: time.Second})
	require.Nil(t, findAction(b.Step(396*ms, &AttemptOverdue{ID: 1, IsSilent: true}), Send), "the objective is over")
}

// Guards against servers that count as silent though the responses to all that is in flight there have begun, and requests that
// are refused for it; and against one that stays trusted after its responses are overdue.
func TestServerWhoseResponsesHaveBegunIsNotSilent(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(1))
	s := b.ring.Members()[0]
	mustSend(t, b.Step(ms, &Request{ID: 1, Class: "safe", ClientTimeout: time.Second}))
	b.Step(2*ms, &ResponseBegun{ID: 1})
	b.Step(350*ms, &TimerDue{})
	require.Less(t, b.expectedLatency(s), 0.3)
	b.Step(396*ms, &AttemptOverdue{ID: 1, IsSilent: true})
	require.Greater(t, b.expectedLatency(s), 0.3)
	b.Step(500*ms, &StreamStarted{ID: 1})
	require.Equal(t, 1, s.inFlight, "nothing but the head has come")
	b.Step(600*ms, &ResponseBegun{ID: 1, HasBody: true})
	require.Equal(t, []int{0, 0, 0}, []int{s.inFlight, s.responding, b.inFlight})
	b.Step(700*ms, &AttemptDone{ID: 1, Server: s.ID, RequestDone: true})
	require.Equal(t, []int{0, 0, 0}, []int{s.inFlight, s.responding, b.inFlight})
}

// For any order of a response's events, nothing stays counted once all attempts have ended.
func TestRespondingCountsReturnToZero(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b, err := New(testSettings(), 1)
		require.NoError(t, err)
		b.Step(0, &ServerListUpdate{Kind: UpdateFull, Servers: serverList(2)})
		const requests = 3
		for id := range uint32(requests) {
			b.Step(ms, &Request{ID: id, Class: "unsafe", ClientTimeout: time.Hour, IsBodyPending: rapid.Bool().Draw(t, "pending")})
		}
		now := 2 * ms
		for range rapid.IntRange(0, 30).Draw(t, "events") {
			now += 100 * ms
			id := uint32(rapid.IntRange(0, requests-1).Draw(t, "id"))
			b.Step(now, rapid.SampledFrom([]Event{
				&ResponseBegun{ID: id}, &ResponseBegun{ID: id, HasBody: true}, &AttemptOverdue{ID: id, IsSilent: true},
				&AttemptOverdue{ID: id}, &StreamStarted{ID: id}, &BodyComplete{ID: id}, &AttemptDone{ID: id, RequestDone: true},
			}).Draw(t, "event"))
			for _, s := range b.ring.Members() {
				require.GreaterOrEqual(t, s.inFlight, s.responding)
				require.GreaterOrEqual(t, s.responding, 0)
			}
		}
		for id := range uint32(requests) {
			b.Step(now, &AttemptDone{ID: id, RequestDone: true})
		}
		for _, s := range b.ring.Members() {
			require.Equal(t, []int{0, 0, 0}, []int{s.inFlight, s.responding, s.receiving})
		}
		require.Zero(t, b.inFlight)
	})
}
