package agent

import (
	"errors"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// actorHarness is the agent's actor alone: the test passes it messages, in any order.
type actorHarness struct {
	*Agent
	pool     *bytebudget.Pool
	released int
}

// multiAttemptModule is a module that starts that many attempts of every request at once, and does nothing else.
type multiAttemptModule int

func (n multiAttemptModule) Step(_ time.Duration, ev balancer.Event) (acts []balancer.Action) {
	if r, ok := ev.(*balancer.Request); ok {
		for range n {
			acts = append(acts, balancer.Action{Kind: balancer.Send, ID: r.ID, Server: "s-0"})
		}
	}
	return acts
}

func newActorHarness(n int) *actorHarness {
	set := balancer.Settings{Classes: []balancer.Class{{Name: "consult"}}, Limits: balancer.Limits{MaxAttempts: n}}
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), router: routing.NewRouter(set, multiAttemptModule(n)),
		upstreams: map[string]*upstream{}, requests: map[uint32]*request{},
		openUpstream: func(netip.AddrPort) *upstream { return &upstream{mail: newMailbox[any]()} }, // no actor reads it
	}
	a.carryOutAll(a.router.ListUpdated(0, balancer.UpdateFull, protocol.EndpointList{Endpoints: []protocol.Endpoint{{
		Server: balancer.Server{ID: "s-0"}, Addr: netip.MustParseAddrPort("127.0.0.1:1"),
	}}}, balancer.WatchStatus{}))
	return &actorHarness{Agent: a, pool: bytebudget.NewPool(1 << 20)}
}

// body returns a body of which half has been received.
func (s *actorHarness) body(t *rapid.T) *bodystream.Stream {
	grant, err := s.pool.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 100)
	require.NoError(t, err)
	stream := bodystream.New(100, grant, 100)
	_, err = stream.WriteBuffer()
	require.NoError(t, err)
	stream.CommitWrite(50)
	return stream
}

// For any order of events with several attempts: the client gets at most one response, the first that began or was complete.
// The bodies of all others are closed, and no state is left.
func TestAtMostOneResponseInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "attempts")
		s := newActorHarness(n)
		r := &request{response: make(chan protocol.Response, 1), Request: &protocol.Request{
			Class:         "consult",
			CorrelationID: "1", ArrivedAt: time.Now(), TimeLeft: time.Minute, Release: func() { s.released++ },
		}}
		s.handle(r)
		var streams []*bodystream.Stream
		started, ended := make([]*bodystream.Stream, n), make([]bool, n)
		var received []protocol.Response
		clientHasLeft := false
		end := func(i int, stream *bodystream.Stream, result routing.AttemptResult) {
			ended[i] = true
			result.Phase = routing.Responding
			s.handle(attemptEnded{attempt: r.attempts[i], result: result, response: protocol.UpstreamResponse{BodyStream: stream}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if i := rapid.IntRange(0, n-1).Draw(t, "i"); !ended[i] && started[i] == nil {
					started[i] = s.body(t)
					streams = append(streams, started[i])
					s.handle(responseStarted{r.attempts[i], protocol.UpstreamResponse{BodyStream: started[i]}})
				}
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "i")
				cause := rapid.SampledFrom([]error{io.EOF, errors.New("broken")}).Draw(t, "cause")
				switch {
				case ended[i]:
				case started[i] != nil:
					started[i].CloseWrite(cause)
					ended[i] = true
				case errors.Is(cause, io.EOF):
					stream := s.body(t)
					stream.CloseWrite(io.EOF)
					streams = append(streams, stream)
					end(i, stream, routing.AttemptResult{EndReason: routing.Completed})
				default:
					end(i, nil, routing.AttemptResult{EndReason: routing.BrokenByEndpoint})
				}
			},
			"receive": func(*rapid.T) {
				if clientHasLeft {
					return
				}
				select {
				case a := <-r.response:
					received = append(received, a)
				default:
				}
			},
			"client leaves": func(*rapid.T) {
				if !clientHasLeft && len(received) == 0 {
					clientHasLeft = true
					s.handle(clientGone{r})
				}
			},
			"fail all": func(*rapid.T) { s.handle(failAll{}) },
		})
		// End all that is still open.
		if !clientHasLeft && len(received) == 0 {
			s.handle(failAll{})
			received = append(received, <-r.response)
		}
		for i, stream := range started {
			if stream != nil && !ended[i] {
				stream.CloseWrite(io.ErrUnexpectedEOF)
			}
		}
		for _, a := range received {
			if a.BodyStream != nil {
				a.BodyStream.CloseRead()
			}
		}
		for i, stream := range started {
			if stream != nil {
				<-stream.Done()
				end(i, nil, routing.AttemptResult{Streamed: true, EndReason: endReasonOf(r.attempts[i].ctx, stream.Result())})
			} else if !ended[i] {
				end(i, nil, routing.AttemptResult{EndReason: routing.TimedOut})
			}
		}
		require.LessOrEqual(t, len(received), 1)
		require.Empty(t, r.response)
		for _, stream := range streams {
			_, err := stream.ReadBuffer()
			require.Error(t, err, "the body is closed")
		}
		require.Zero(t, s.pool.Reserved())
		require.Positive(t, s.released)
		require.Empty(t, s.requests)
	})
}

// Ends that the endpoint did not cause are not reported as the endpoint's breaking of the connection.
func TestEndReason(t *testing.T) {
	c := newClock()
	s := newAttempt(&request{}, routing.Output{At: c.now() + time.Minute}, c, func(any) {})
	for err, want := range map[error]routing.EndReason{
		nil: routing.Completed, io.ErrUnexpectedEOF: routing.BrokenByEndpoint,
		bodystream.ErrAbandoned: routing.ClientLeft, transport.ErrInvalidResponse: routing.InvalidResponse, bytebudget.ErrFull: routing.NoMemory,
	} {
		require.Equal(t, want, endReasonOf(s.ctx, err))
	}
	s.cancel(routing.ClientTooSlow)
	require.Equal(t, routing.ClientTooSlow, endReasonOf(s.ctx, errors.New("use of closed network connection")))
	require.Equal(t, routing.NoMemory, endReasonOf(s.ctx, bytebudget.ErrFull))
}

// The time for which this agent delayed a body is not part of the endpoint's latency.
func TestEndpointLatency(t *testing.T) {
	sent := time.Now()
	buffered := &exchange{attempt: &attempt{sent: sent, request: &request{Request: &protocol.Request{}}}}
	streamed := &exchange{attempt: buffered.attempt, streamed: &bodystream.Stream{}}
	p := bodystream.Progress{IsComplete: true, LastReceivedAt: sent.Add(9 * time.Second), MemoryWait: time.Second, StalledFor: 2 * time.Second}
	require.Equal(t, 6*time.Second, buffered.endpointLatency(p, sent.Add(time.Hour)))
	p.ReceivingFor = time.Second
	require.Equal(t, 5*time.Second, streamed.endpointLatency(p, sent.Add(time.Hour)), "only the beginning of a streamed body is timed")
	begun := &exchange{attempt: &attempt{sent: time.Now().Add(-time.Minute), request: buffered.attempt.request}, streamed: streamed.streamed}
	begun.attempt.response.begin(transport.ResponseHead{})
	require.InDelta(t, time.Minute, begun.endpointLatency(p, time.Now().Add(time.Hour)), float64(time.Second), "it began with its head")
	p.IsComplete = false
	require.Equal(t, time.Hour-3*time.Second, buffered.endpointLatency(p, sent.Add(time.Hour)))
	require.Equal(t, time.Hour, buffered.endpointLatency(bodystream.Progress{}, sent.Add(time.Hour)))
}

// A request that ended while it waited for the actor starts no attempt and leaves no state.
func TestRequestThatEndedWhileItWaitedStartsNoAttempt(t *testing.T) {
	for name, end := range map[string]func(*request) any{
		"time over":   func(r *request) any { r.endInTime(); return requestOver{r} },
		"client gone": func(r *request) any { r.end(); return clientGone{r} },
	} {
		t.Run(name, func(t *testing.T) {
			s := newActorHarness(1)
			r := &request{response: make(chan protocol.Response, 1), Request: &protocol.Request{
				Class: "consult", CorrelationID: "1", ArrivedAt: time.Now(), TimeLeft: time.Minute,
				Release: func() { s.released++ },
			}}
			ended := end(r)
			s.handle(r)
			s.handle(bodyComplete{r, time.Now()})
			s.handle(ended)
			require.Empty(t, r.attempts)
			require.Empty(t, r.response)
			require.Empty(t, s.requests)
			require.Equal(t, 1, s.released)
		})
	}
}
