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

// stage is the agent's actor alone: the test brings the messages, in any order.
type stage struct {
	*Agent
	pool     *bytebudget.Pool
	released int
}

// copies is a module that sends every request several times at once, and does nothing else.
type copies int

func (n copies) Step(_ time.Duration, ev balancer.Event) (acts []balancer.Action) {
	if r, ok := ev.(*balancer.Request); ok {
		for range n {
			acts = append(acts, balancer.Action{Kind: balancer.Send, ID: r.ID, Server: "s-0"})
		}
	}
	return acts
}

func newStage(n int) *stage {
	set := balancer.Settings{Classes: []balancer.Class{{Name: "consult"}}, Limits: balancer.Limits{MaxAttempts: n}}
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), router: routing.NewRouter(set, copies(n)),
		upstreams: map[string]*upstream{}, requests: map[uint32]*request{},
	}
	a.carryOutAll(a.router.ListUpdated(0, balancer.UpdateFull, protocol.EndpointList{Endpoints: []protocol.Endpoint{{
		Server: balancer.Server{ID: "s-0"}, Addr: netip.MustParseAddrPort("127.0.0.1:1"),
	}}}, balancer.WatchStatus{}))
	a.upstreams["s-0"] = &upstream{mail: newMailbox[any]()} // nothing reads it
	return &stage{Agent: a, pool: bytebudget.NewPool(1 << 20)}
}

// body is a body of which half has come.
func (s *stage) body(t *rapid.T) *bodystream.Stream {
	grant, err := s.pool.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 100)
	require.NoError(t, err)
	f := bodystream.New(100, grant, 100)
	_, err = f.WriteBuffer()
	require.NoError(t, err)
	f.Wrote(50)
	return f
}

// Whatever the order of events with several attempts: the client has one response at most, the first that began or was
// complete; each other body is closed, and nothing is left.
func TestOneResponseInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "steps")
		s := newStage(n)
		r := &request{response: make(chan protocol.Response, 1), Request: &protocol.Request{
			Class:         "consult",
			CorrelationID: "1", ArrivedAt: time.Now(), TimeLeft: time.Minute, Release: func() { s.released++ },
		}}
		s.handle(r)
		var flows []*bodystream.Stream
		begun, over := make([]*bodystream.Stream, n), make([]bool, n)
		var taken []protocol.Response
		gone := false
		end := func(i int, f *bodystream.Stream, saw routing.AttemptResult) {
			over[i] = true
			saw.Phase = routing.Responding
			s.handle(attemptEnded{attempt: r.attempts[i], result: saw, response: protocol.UpstreamResponse{BodyStream: f}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if i := rapid.IntRange(0, n-1).Draw(t, "i"); !over[i] && begun[i] == nil {
					begun[i] = s.body(t)
					flows = append(flows, begun[i])
					s.handle(responseStarted{r.attempts[i], protocol.UpstreamResponse{BodyStream: begun[i]}})
				}
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "i")
				why := rapid.SampledFrom([]error{io.EOF, errors.New("broken")}).Draw(t, "why")
				switch {
				case over[i]:
				case begun[i] != nil:
					begun[i].CloseWrite(why)
					over[i] = true
				case errors.Is(why, io.EOF):
					f := s.body(t)
					f.CloseWrite(io.EOF)
					flows = append(flows, f)
					end(i, f, routing.AttemptResult{EndReason: routing.Completed})
				default:
					end(i, nil, routing.AttemptResult{EndReason: routing.BrokenByEndpoint})
				}
			},
			"take": func(*rapid.T) {
				if gone {
					return
				}
				select {
				case a := <-r.response:
					taken = append(taken, a)
				default:
				}
			},
			"leave": func(*rapid.T) {
				if !gone && len(taken) == 0 {
					gone = true
					s.handle(clientGone{r})
				}
			},
			"abandon": func(*rapid.T) { s.handle(failAll{}) },
		})
		// Everything ends.
		if !gone && len(taken) == 0 {
			s.handle(failAll{})
			taken = append(taken, <-r.response)
		}
		for i, f := range begun {
			if f != nil && !over[i] {
				f.CloseWrite(io.ErrUnexpectedEOF)
			}
		}
		for _, a := range taken {
			if a.BodyStream != nil {
				a.BodyStream.CloseRead()
			}
		}
		for i, f := range begun {
			if f != nil {
				<-f.Done()
				end(i, nil, routing.AttemptResult{Streamed: true, EndReason: endReasonOf(r.attempts[i].ctx, f.Result())})
			} else if !over[i] {
				end(i, nil, routing.AttemptResult{EndReason: routing.TimedOut})
			}
		}
		require.LessOrEqual(t, len(taken), 1)
		require.Empty(t, r.response)
		for _, f := range flows {
			_, err := f.ReadBuffer()
			require.Error(t, err, "closed")
		}
		require.Zero(t, s.pool.Reserved())
		require.Positive(t, s.released)
		require.Empty(t, s.requests)
	})
}

// What the endpoint did not do is not taken for its breaking the connection.
func TestEndReason(t *testing.T) {
	c := newClock()
	s := newAttempt(&request{}, routing.Output{At: c.now() + time.Minute}, c)
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

// The time that this side delayed a body is not the endpoint's.
func TestEndpointLatency(t *testing.T) {
	sent := time.Now()
	buffered := &exchange{attempt: &attempt{sent: sent, request: &request{Request: &protocol.Request{}}}}
	streamed := &exchange{attempt: buffered.attempt, streamed: &bodystream.Stream{}}
	p := bodystream.Progress{IsComplete: true, LastReceivedAt: sent.Add(9 * time.Second), DelayedBefore: time.Second, StalledFor: 2 * time.Second}
	require.Equal(t, 6*time.Second, buffered.endpointLatency(p, sent.Add(time.Hour)))
	p.ReceivingFor = time.Second
	require.Equal(t, 5*time.Second, streamed.endpointLatency(p, sent.Add(time.Hour)), "its beginning is timed")
	p.IsComplete = false
	require.Equal(t, time.Hour-3*time.Second, buffered.endpointLatency(p, sent.Add(time.Hour)))
	require.Equal(t, time.Hour, buffered.endpointLatency(bodystream.Progress{}, sent.Add(time.Hour)))
}
