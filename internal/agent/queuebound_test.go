package agent

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/protocol"
)

// Guards against one connection that fills the queue of decisions with requests whose time is over: while one of its
// requests is queued, no other is, and each gets its answer in its time.
func TestConnectionHasOneRequestQueued(t *testing.T) {
	s := newActorHarness(1)
	s.mail = newMailbox[any]() // nothing is handled
	var previous <-chan struct{}
	released := 0
	send := func(n int, timeLeft time.Duration) protocol.Response {
		began := time.Now()
		response, isOwed := s.HandleRequest(t.Context(), &protocol.Request{
			Class: "consult", CorrelationID: fmt.Sprint(n), ArrivedAt: began, TimeLeft: timeLeft, Previous: previous,
			Release: func() { released++ },
		})
		require.True(t, isOwed)
		require.Equal(t, protocol.Rejected, response.Kind)
		require.GreaterOrEqual(t, time.Since(began), timeLeft)
		return response
	}
	require.Nil(t, send(0, 0).Settled, "it was not queued")
	require.Zero(t, s.mail.waiting())
	previous = send(1, time.Millisecond).Settled
	require.NotNil(t, previous)
	queued := s.mail.waiting()
	for n := range 20 {
		previous = send(2+n, time.Duration(n%3)*time.Millisecond).Settled
	}
	require.Equal(t, queued, s.mail.waiting(), "the first request is still queued")
	require.Equal(t, 21, released)

	s.mail.mu.Lock()
	messages := s.mail.queue
	s.mail.mu.Unlock()
	for _, m := range messages {
		select {
		case <-previous:
			require.Fail(t, "settled before its messages were handled")
		default:
		}
		s.handle(m.message)
	}
	<-previous
	send(30, time.Millisecond)
	require.Equal(t, 2*queued, s.mail.waiting(), "the next request is queued")
}
