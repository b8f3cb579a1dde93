package agent

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// scene is an upstream's actor in front of an endpoint that the test plays.
type scene struct {
	t        *testing.T
	clock    clock
	upstream *upstream
	reports  chan any
}

// play begins a scene. The endpoint's side of each connection is served by a goroutine of its own, which is told its
// number, from 1 on; edit changes the actor's settings.
func play(t *testing.T, serve func(n int, c *net.TCPConn), edit func(*upstreamSettings)) *scene {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	var served sync.WaitGroup
	served.Go(func() {
		for n := 1; ; n++ {
			c, err := l.Accept()
			if err != nil {
				return
			}
			served.Go(func() {
				defer func() { _ = c.Close() }()
				serve(n, c.(*net.TCPConn))
			})
		}
	})
	s := &scene{t: t, clock: newClock(), reports: make(chan any, 16)}
	set := upstreamSettings{
		clock: s.clock, maxConnectTimeout: time.Minute, connectTimeouts: &connectTimeouts{},
		idleLimit:   &idleLimit{shared: routing.NewIdleLimit(s.clock.now(), time.Hour)},
		descriptors: transport.NewDescriptors(1024, func() {}), metrics: metrics.New(nil),
		bodies: transport.NewBodyLimits(1<<20, transport.BodyRules{
			MaxBytes: 1 << 20, BufferedBytes: 1 << 20, ClientStall: time.Minute,
			ClientLag: time.Minute,
		}),
	}
	if edit != nil {
		edit(&set)
	}
	s.upstream = startUpstream(set, l.Addr().(*net.TCPAddr).AddrPort(), func(m any) { s.reports <- m })
	t.Cleanup(func() {
		require.NoError(t, l.Close())
		s.upstream.mail.put(retire{})
		served.Wait()
	})
	return s
}

// attempt prepares an attempt that has a minute.
func (s *scene) attempt(id string) *attempt {
	until := s.clock.now() + time.Minute
	return newAttempt(&request{Request: &protocol.Request{
		Method: http.MethodGet, Target: "/consult",
		CorrelationID: id, Class: "consult", TimeLeft: time.Minute,
	}}, routing.Output{At: until, Deadline: until}, s.clock)
}

// ended waits for the end of an attempt, and returns it with the response's body.
func (s *scene) ended() (attemptEnded, string) {
	s.t.Helper()
	select {
	case m := <-s.reports:
		end := m.(attemptEnded)
		if end.response.BodyStream == nil {
			return end, ""
		}
		defer end.response.BodyStream.CloseRead()
		body, err := end.response.BodyStream.ReadBuffer()
		require.NoError(s.t, err)
		return end, string(body)
	case <-time.After(time.Minute):
		require.Fail(s.t, "the attempt does not end")
		return attemptEnded{}, ""
	}
}

const answerHead = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"

func answerOf(id string) string { return fmt.Sprintf(answerHead, len(id), id) }

// answerAll answers the requests of a connection with their ids, until it ends. Came is called with each, before its body
// has come.
func answerAll(c *net.TCPConn, came func(*http.Request)) {
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		came(r)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, answerOf(r.Header.Get("X-Correlation-Id")))
	}
}

// A second response comes late, when the next attempt has got its connection already: it belongs to no request. The next
// attempt waits for the reuse delay, and goes out on another connection when something comes meanwhile. The endpoint
// writes the second response as soon as it has read the next request, else so much later.
func TestLateSecondResponse(t *testing.T) {
	const late = 100 * time.Millisecond
	s := play(t, func(n int, c *net.TCPConn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		own := answerOf(r.Header.Get("X-Correlation-Id"))
		_, _ = io.WriteString(c, own)
		if n > 1 {
			return
		}
		came := make(chan struct{})
		go func() {
			defer close(came)
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, own+answerOf(r.Header.Get("X-Correlation-Id")))
			}
		}()
		select {
		case <-came:
		case <-time.After(late):
			_, _ = io.WriteString(c, own)
			<-came // it is closed
		}
	}, func(set *upstreamSettings) { set.reuseDelay = time.Minute })
	s.upstream.mail.put(s.attempt("000000000000000a"))
	_, body := s.ended()
	require.Equal(t, "000000000000000a", body)
	s.upstream.mail.put(s.attempt("000000000000000b"))
	end, body := s.ended()
	require.Equal(t, balancer.Served, end.result.Outcome())
	require.Equal(t, "000000000000000b", body, "not another request's")
}

// An attempt that is given up during the reuse delay is not sent, and the connection stays as it was: the time that it has
// been idle goes on.
func TestGivenUpDuringTheReuseDelay(t *testing.T) {
	came := make(chan string, 4)
	s := play(t, func(_ int, c *net.TCPConn) {
		answerAll(c, func(r *http.Request) { came <- r.Header.Get("X-Correlation-Id") })
	}, func(set *upstreamSettings) { set.reuseDelay = time.Minute })
	s.upstream.mail.put(s.attempt("000000000000000a"))
	s.ended()
	for _, c := range []struct {
		end  func(*attempt)
		want balancer.Outcome
	}{
		{(*attempt).cancelIfUnsent, balancer.Canceled},
		{func(r *attempt) { r.cancel(routing.Canceled) }, balancer.Canceled},
		{func(r *attempt) { r.cancel(routing.TimedOut) }, balancer.ConnectFailed},
	} {
		canceled := s.attempt("000000000000000b")
		s.upstream.mail.put(canceled)
		c.end(canceled)
		end, _ := s.ended()
		require.Equal(t, c.want, end.result.Outcome())
		require.True(t, end.result.LocalFault || c.want == balancer.Canceled, "no fault of the endpoint")
	}
	require.Len(t, came, 1)
}

// The body of a long request is complete while its connection is still being opened, or delayed: the endpoint is told the
// time that is left by then, and not the time that counts from a last byte which is long past.
func TestTimeLeftAfterACompleteBody(t *testing.T) {
	announced := make(chan string, 1)
	s := play(t, func(_ int, c *net.TCPConn) {
		answerAll(c, func(r *http.Request) { announced <- r.Header.Get("X-Time-Left-Ms") })
	}, nil)
	timeLeft := func(edit func(*attempt)) (ms int) {
		rest := bodystream.New(-1, bytebudget.Grant{}, 0)
		rest.CloseWrite(io.EOF)
		until := s.clock.now() + 15*time.Minute // for so long its body may come
		a := newAttempt(&request{Request: &protocol.Request{
			Method: http.MethodPost, Target: "/rezervare",
			CorrelationID: "000000000000000a", Class: "rezervare", TimeLeft: time.Minute, Length: -1, Rest: rest,
			// A streamed body has a beginning: an empty one would be written as the last chunk, and the chunk after it
			// be read as the next request.
			Body: []byte("beginning"),
		}},
			routing.Output{At: until, Deadline: until, After: time.Minute}, s.clock)
		edit(a)
		s.upstream.mail.put(a)
		_, err := fmt.Sscan(<-announced, &ms)
		require.NoError(t, err)
		s.ended()
		return ms
	}
	require.Equal(t, 60_000, timeLeft(func(*attempt) {}))
	require.LessOrEqual(t, timeLeft(func(a *attempt) { // the body is complete, and half of the time is left
		until := s.clock.time(s.clock.now() + 30*time.Second)
		a.reschedule(until, until)
	}), 30_000)
}

// An attempt whose client leaves, or whose request gets its response, while its reused connection turns out to have ended
// is not begun again on a new one, in whichever order the two are seen.
func TestNotBegunAgainWithoutAClient(t *testing.T) {
	s := play(t, func(int, *net.TCPConn) {}, nil)
	for name, cross := range map[string]func(*attempt){
		"before it is written":        func(r *attempt) { r.cancelIfUnsent(); r.beginWriting(); r.resetWriting() },
		"as it is written":            func(r *attempt) { r.beginWriting(); r.cancelIfUnsent(); r.resetWriting() },
		"as a new connection is made": func(r *attempt) { r.beginWriting(); r.resetWriting(); r.cancelIfUnsent() },
	} {
		a := s.attempt("000000000000000a")
		cross(a)
		require.Error(t, a.ctx.Err(), name)
		require.False(t, a.beginWriting(), name)
	}
}

// An endpoint closes its idle connection once the next attempt has it: the attempt goes out on a new one, and that is the
// first time that it is sent. That it has the connection is known by the attempt after it, which gets none.
func TestReusedConnectionHadEnded(t *testing.T) {
	came, end := make(chan string, 4), make(chan struct{})
	s := play(t, func(n int, c *net.TCPConn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			came <- r.Header.Get("X-Correlation-Id")
			_, _ = io.WriteString(c, answerOf(r.Header.Get("X-Correlation-Id")))
			if n == 1 {
				<-end
				return
			}
		}
	}, func(set *upstreamSettings) { set.reuseDelay = 2 * time.Minute })
	for _, id := range []string{"000000000000000a", "000000000000000b", "000000000000000c"} {
		s.upstream.mail.put(s.attempt(id))
		if id != "000000000000000b" {
			_, body := s.ended()
			require.Equal(t, id, body)
			require.Equal(t, id, <-came)
		}
	}
	close(end)
	b, body := s.ended()
	require.Equal(t, balancer.Served, b.result.Outcome())
	require.Equal(t, "000000000000000b", body)
	require.False(t, b.result.Reused, "it went out on a new one")
	require.Len(t, came, 1, "once")
}
