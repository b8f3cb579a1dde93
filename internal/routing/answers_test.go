package routing

import (
	"errors"
	"io"
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/internal/flow"
	"dunestep/internal/memory"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// stage is the module's actor with nobody round it: the test brings the messages, in any order.
type stage struct {
	*Agent
	pool     *memory.Pool
	released int
}

// copies is a module that sends every operation several times at once, and says nothing else.
type copies int

func (n copies) Step(_ time.Duration, ev decide.Event) (acts []decide.Action) {
	if r, ok := ev.(*decide.Request); ok {
		for range n {
			acts = append(acts, decide.Action{Kind: decide.Send, ID: r.ID, Server: "s-0"})
		}
	}
	return acts
}

func newStage(n int) *stage {
	set := decide.Settings{Classes: []decide.Class{{Name: "consult"}}, Limits: decide.Limits{MaxAttempts: n}}
	a := &Agent{
		mail: newMailbox[any](), clock: newClock(), router: core.NewRouter(set, copies(n)),
		servers: map[string]*booking{}, operations: map[uint32]*operation{},
	}
	a.do(a.router.PoolNews(0, decide.SyncFull, protocol.PoolConfig{Servers: []protocol.PoolServer{{
		Server: decide.Server{ID: "s-0"}, Addr: netip.MustParseAddrPort("127.0.0.1:1"),
	}}}, decide.Word{}))
	a.servers["s-0"] = &booking{mail: newMailbox[any]()} // nobody reads it
	return &stage{Agent: a, pool: memory.NewPool(1 << 20)}
}

// body is a flow with something in it.
func (s *stage) body(t *rapid.T) *flow.Flow {
	grant, err := s.pool.Take(t.Context(), memory.Holder{Name: "s-0"}, 100)
	require.NoError(t, err)
	f := flow.New(100, grant, 100)
	_, err = f.Room()
	require.NoError(t, err)
	f.Came(50)
	return f
}

// Whatever crosses, with several attempts out: the client has one answer at the most, and that is the first one
// that began or was whole; each other body is given up, and nothing is kept.
func TestOneAnswerWhateverCrosses(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 3).Draw(t, "steps")
		s := newStage(n)
		o := &operation{answer: make(chan protocol.Answer, 1), Operation: &protocol.Operation{
			Class:         "consult",
			CorrelationID: "1", Sent: time.Now(), TimeLeft: time.Minute, Release: func() { s.released++ },
		}}
		s.handle(o)
		var flows []*flow.Flow
		begun, over := make([]*flow.Flow, n), make([]bool, n)
		var taken []protocol.Answer
		gone := false
		end := func(i int, f *flow.Flow, saw core.Sighting) {
			over[i] = true
			saw.Phase = core.Answering
			s.handle(attemptEnded{attempt: o.attempts[i], saw: saw, reply: protocol.Reply{Flow: f}})
		}
		t.Repeat(map[string]func(*rapid.T){
			"begin": func(t *rapid.T) {
				if i := rapid.IntRange(0, n-1).Draw(t, "i"); !over[i] && begun[i] == nil {
					begun[i] = s.body(t)
					flows = append(flows, begun[i])
					s.handle(attemptBegan{o.attempts[i], protocol.Reply{Flow: begun[i]}})
				}
			},
			"end": func(t *rapid.T) {
				i := rapid.IntRange(0, n-1).Draw(t, "i")
				why := rapid.SampledFrom([]error{io.EOF, errors.New("broken")}).Draw(t, "why")
				switch {
				case over[i]:
				case begun[i] != nil:
					begun[i].End(why)
					over[i] = true
				case why == io.EOF:
					f := s.body(t)
					f.End(io.EOF)
					flows = append(flows, f)
					end(i, f, core.Sighting{Ending: core.Completed})
				default:
					end(i, nil, core.Sighting{Ending: core.BrokenOff})
				}
			},
			"take": func(*rapid.T) {
				if gone {
					return
				}
				select {
				case a := <-o.answer:
					taken = append(taken, a)
				default:
				}
			},
			"leave": func(*rapid.T) {
				if !gone && len(taken) == 0 {
					gone = true
					s.handle(clientGone{o})
				}
			},
			"abandon": func(*rapid.T) { s.handle(abandon{}) },
		})
		// All comes to its end.
		if !gone && len(taken) == 0 {
			s.handle(abandon{})
			taken = append(taken, <-o.answer)
		}
		for i, f := range begun {
			if f != nil && !over[i] {
				f.End(io.ErrUnexpectedEOF)
			}
		}
		for _, a := range taken {
			if a.Flow != nil {
				a.Flow.Close()
			}
		}
		for i, f := range begun {
			if f != nil {
				<-f.Over()
				end(i, nil, core.Sighting{Begun: true, Ending: endingOf(f.Result(), o.attempts[i].ctx)})
			} else if !over[i] {
				end(i, nil, core.Sighting{Ending: core.OutOfTime})
			}
		}
		require.LessOrEqual(t, len(taken), 1)
		require.Empty(t, o.answer)
		for _, f := range flows {
			_, err := f.Next()
			require.Error(t, err, "closed")
		}
		require.Zero(t, s.pool.Used())
		require.Positive(t, s.released)
		require.Empty(t, s.operations)
	})
}

// What is not the server's doing is not taken for its breaking off.
func TestEndingOf(t *testing.T) {
	c := newClock()
	s := newAttempt(&operation{}, core.Output{At: c.now() + time.Minute}, c)
	for err, want := range map[error]core.Ending{
		nil: core.Completed, io.ErrUnexpectedEOF: core.BrokenOff,
		flow.ErrLeft: core.ClientLeft, transport.ErrSpoilt: core.Spoilt, memory.ErrFull: core.NoMemory,
	} {
		require.Equal(t, want, endingOf(err, s.ctx))
	}
	s.cancel(core.ClientLags)
	require.Equal(t, core.ClientLags, endingOf(errors.New("use of closed network connection"), s.ctx))
	require.Equal(t, core.NoMemory, endingOf(memory.ErrFull, s.ctx))
}

// The time that this side held a body up is not the booking server's.
func TestServerTime(t *testing.T) {
	sent := time.Now()
	p := flow.Progress{Whole: true, LastCame: sent.Add(9 * time.Second), Before: time.Second, HeldUp: 2 * time.Second}
	require.Equal(t, 6*time.Second, serverTime(p, false, sent, sent.Add(time.Hour)))
	p.Coming = time.Second
	require.Equal(t, 5*time.Second, serverTime(p, true, sent, sent.Add(time.Hour)), "its beginning is timed")
	p.Whole = false
	require.Equal(t, time.Hour-3*time.Second, serverTime(p, false, sent, sent.Add(time.Hour)))
	require.Equal(t, time.Hour, serverTime(flow.Progress{}, false, sent, sent.Add(time.Hour)))
}
