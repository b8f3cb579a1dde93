package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against servers that count as saturated, or silent, because of requests whose clients are still sending their
// bodies: a server begins a request with its last byte.
func TestBodiesThatAreNotCompleteDoNotSaturateServers(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(2))
	started := map[uint32]string{}
	for id := uint32(1); id <= 100; id++ {
		acts := b.Step(ms, &Request{ID: id, Class: "safe", ClientTimeout: time.Minute, IsBodyPending: true})
		started[id] = mustSend(t, acts).Server
	}
	mustSend(t, b.Step(10*time.Second, &Request{ID: 1000, Class: "safe", ClientTimeout: time.Second}))
	require.Equal(t, 1, b.inFlight)
	for id := range started {
		b.Step(11*time.Second, &BodyComplete{ID: id})
		b.Step(11*time.Second, &BodyComplete{ID: id}) // has no effect
	}
	require.Equal(t, 1+len(started), b.inFlight)
	for id, server := range started {
		b.Step(12*time.Second, &AttemptDone{ID: id, Server: server, Latency: ms, RequestDone: true})
	}
	require.Equal(t, 1, b.inFlight)
	for _, s := range b.ring.Members() {
		require.Zero(t, s.receiving)
	}
}

// A response may begin, and an attempt may end, before its request's body is complete.
func TestAttemptThatEndsBeforeItsBodyIsNotCounted(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(1))
	for id := range uint32(2) {
		mustSend(t, b.Step(ms, &Request{ID: id, Class: "safe", ClientTimeout: time.Minute, IsBodyPending: true}))
	}
	s := b.ring.Members()[0]
	require.Equal(t, 2, s.receiving)
	b.Step(2*ms, &StreamStarted{ID: 0})
	b.Step(2*ms, &BodyComplete{ID: 0})
	b.Step(2*ms, &AttemptDone{ID: 0, Server: s.ID, Latency: ms, RequestDone: true})
	b.Step(2*ms, &AttemptDone{ID: 1, Server: s.ID, Outcome: Canceled, RequestDone: true})
	b.Step(2*ms, &BodyComplete{ID: 1})
	require.Zero(t, s.receiving)
	require.Zero(t, s.inFlight)
	require.Zero(t, b.inFlight)
}
