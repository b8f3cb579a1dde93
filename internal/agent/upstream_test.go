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

// upstreamHarness is an upstream's actor with an endpoint that the test implements.
type upstreamHarness struct {
	t        *testing.T
	clock    clock
	upstream *upstream
	reports  chan any
}

// startUpstreamHarness starts an upstreamHarness. serve is called for the endpoint's side of each connection, in its own
// goroutine, with the number of the connection from 1 on. edit changes the actor's settings.
func startUpstreamHarness(t *testing.T, serve func(n int, c *net.TCPConn), edit func(*upstreamSettings)) *upstreamHarness {
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
	s := &upstreamHarness{t: t, clock: newClock(), reports: make(chan any, 16)}
	set := upstreamSettings{
		clock: s.clock, maxConnectTimeout: time.Minute, connectTimeouts: &connectTimeouts{},
		idleLimit:   &idleLimit{shared: routing.NewIdleLimit(s.clock.now(), time.Hour)},
		descriptors: transport.NewDescriptors(1024, func() {}), metrics: metrics.New(nil),
		bodies: transport.NewBodyLimits(1<<20, transport.BodyRules{
			MaxBytes: 1 << 20, BufferedBytes: 1 << 20, ClientStallTimeout: time.Minute,
			MaxClientLag: time.Minute,
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

// newAttempt returns an attempt with a timeout of a minute.
func (s *upstreamHarness) newAttempt(id string) *attempt {
	until := s.clock.now() + time.Minute
	return newAttempt(&request{Request: &protocol.Request{
		Method: http.MethodGet, Target: "/consult",
		CorrelationID: id, Class: "consult", TimeLeft: time.Minute,
	}}, routing.Output{At: until, Deadline: until}, s.clock, func(any) {})
}

// awaitEnd waits for the end of an attempt, and returns its report with the response's body.
func (s *upstreamHarness) awaitEnd() (attemptEnded, string) {
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
		require.Fail(s.t, "the attempt has not ended within a minute")
		return attemptEnded{}, ""
	}
}

const responseFormat = "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s"

func responseTo(id string) string { return fmt.Sprintf(responseFormat, len(id), id) }

// respondToAll answers the requests of a connection with their ids, until it ends. onRequest is called with each request
// before its body is read.
func respondToAll(c *net.TCPConn, onRequest func(*http.Request)) {
	for in := bufio.NewReader(c); ; {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		onRequest(r)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Correlation-Id")))
	}
}

// An endpoint sends a second response to a request when the next attempt has already acquired the connection. The next attempt
// must not take it for its own: it waits for the reuse delay, and is sent on another connection if data arrives meanwhile. The
// endpoint writes the second response as soon as it has read the next request, or after 100 ms.
func TestLateSecondResponseIsDiscarded(t *testing.T) {
	const late = 100 * time.Millisecond
	s := startUpstreamHarness(t, func(n int, c *net.TCPConn) {
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		response := responseTo(r.Header.Get("X-Correlation-Id"))
		_, _ = io.WriteString(c, response)
		if n > 1 {
			return
		}
		received := make(chan struct{})
		go func() {
			defer close(received)
			if r, err := http.ReadRequest(in); err == nil {
				_, _ = io.WriteString(c, response+responseTo(r.Header.Get("X-Correlation-Id")))
			}
		}()
		select {
		case <-received:
		case <-time.After(late):
			_, _ = io.WriteString(c, response)
			<-received // the agent closes the connection
		}
	}, func(set *upstreamSettings) { set.reuseDelay = time.Minute })
	s.upstream.mail.put(s.newAttempt("000000000000000a"))
	_, body := s.awaitEnd()
	require.Equal(t, "000000000000000a", body)
	s.upstream.mail.put(s.newAttempt("000000000000000b"))
	end, body := s.awaitEnd()
	require.Equal(t, balancer.Served, end.result.Outcome())
	require.Equal(t, "000000000000000b", body, "the body is the response to its own request")
}

// An attempt that is given up during the reuse delay is not sent. Its connection is returned to the pool, and its idle time
// continues.
func TestAttemptCanceledDuringReuseDelayIsNotSent(t *testing.T) {
	received := make(chan string, 4)
	s := startUpstreamHarness(t, func(_ int, c *net.TCPConn) {
		respondToAll(c, func(r *http.Request) { received <- r.Header.Get("X-Correlation-Id") })
	}, func(set *upstreamSettings) { set.reuseDelay = time.Minute })
	s.upstream.mail.put(s.newAttempt("000000000000000a"))
	s.awaitEnd()
	for _, c := range []struct {
		end  func(*attempt)
		want balancer.Outcome
	}{
		{(*attempt).cancelIfUnsent, balancer.Canceled},
		{func(a *attempt) { a.cancel(routing.Canceled) }, balancer.Canceled},
		{func(a *attempt) { a.cancel(routing.TimedOut) }, balancer.ConnectFailed},
	} {
		canceled := s.newAttempt("000000000000000b")
		s.upstream.mail.put(canceled)
		c.end(canceled)
		end, _ := s.awaitEnd()
		require.Equal(t, c.want, end.result.Outcome())
		require.True(t, end.result.LocalFault || c.want == balancer.Canceled, "not counted as a fault of the endpoint")
	}
	require.Len(t, received, 1)
}

// The body of a long request is complete while its connection is still being opened, or delayed: the time left that is sent to
// the endpoint is that at the time of sending, not the timeout counted from the last byte, which has long been received.
func TestAnnouncedTimeLeftAfterBodyIsComplete(t *testing.T) {
	announced := make(chan string, 1)
	s := startUpstreamHarness(t, func(_ int, c *net.TCPConn) {
		respondToAll(c, func(r *http.Request) { announced <- r.Header.Get("X-Time-Left-Ms") })
	}, nil)
	timeLeft := func(edit func(*attempt)) (ms int) {
		rest := bodystream.New(-1, bytebudget.Grant{}, 0)
		rest.CloseWrite(io.EOF)
		until := s.clock.now() + 15*time.Minute // while its body is still being received
		a := newAttempt(&request{Request: &protocol.Request{
			Method: http.MethodPost, Target: "/rezervare",
			CorrelationID: "000000000000000a", Class: "rezervare", TimeLeft: time.Minute, Length: -1, Rest: rest,
			// A streamed body has a non-empty beginning: an empty one would be written as the last chunk, and the chunk
			// after it would be read as the next request.
			Body: []byte("beginning"),
		}},
			routing.Output{At: until, Deadline: until, After: time.Minute}, s.clock, func(any) {})
		edit(a)
		s.upstream.mail.put(a)
		_, err := fmt.Sscan(<-announced, &ms)
		require.NoError(t, err)
		s.awaitEnd()
		return ms
	}
	require.Equal(t, 60_000, timeLeft(func(*attempt) {}))
	require.LessOrEqual(t, timeLeft(func(a *attempt) { // the body is complete, and half of the time is left
		until := s.clock.time(s.clock.now() + 30*time.Second)
		a.reschedule(until, until)
	}), 30_000)
}

// An attempt whose client leaves, or whose request gets its response, while its reused connection turns out to have ended is not
// sent again on a new connection, whichever of the two events is handled first.
func TestAttemptIsNotResentWithoutClient(t *testing.T) {
	s := startUpstreamHarness(t, func(int, *net.TCPConn) {}, nil)
	for name, steps := range map[string]func(*attempt){
		"before it is written":    func(a *attempt) { a.cancelIfUnsent(); a.beginWriting(); a.resetWriting() },
		"while it is written":     func(a *attempt) { a.beginWriting(); a.cancelIfUnsent(); a.resetWriting() },
		"before a new connection": func(a *attempt) { a.beginWriting(); a.resetWriting(); a.cancelIfUnsent() },
	} {
		a := s.newAttempt("000000000000000a")
		steps(a)
		require.Error(t, a.ctx.Err(), name)
		require.False(t, a.beginWriting(), name)
	}
}

// An endpoint closes its idle connection when the next attempt has already acquired it: the attempt is sent once, on a new
// connection. A third attempt, which gets a new connection, shows that the second one has acquired the idle connection.
func TestAttemptUsesNewConnectionWhenReusedOneHasEnded(t *testing.T) {
	received, end := make(chan string, 4), make(chan struct{})
	s := startUpstreamHarness(t, func(n int, c *net.TCPConn) {
		for in := bufio.NewReader(c); ; {
			r, err := http.ReadRequest(in)
			if err != nil {
				return
			}
			received <- r.Header.Get("X-Correlation-Id")
			_, _ = io.WriteString(c, responseTo(r.Header.Get("X-Correlation-Id")))
			if n == 1 {
				<-end
				return
			}
		}
	}, func(set *upstreamSettings) { set.reuseDelay = 2 * time.Minute })
	for _, id := range []string{"000000000000000a", "000000000000000b", "000000000000000c"} {
		s.upstream.mail.put(s.newAttempt(id))
		if id != "000000000000000b" {
			_, body := s.awaitEnd()
			require.Equal(t, id, body)
			require.Equal(t, id, <-received)
		}
	}
	close(end)
	b, body := s.awaitEnd()
	require.Equal(t, balancer.Served, b.result.Outcome())
	require.Equal(t, "000000000000000b", body)
	require.False(t, b.result.Reused, "it was sent on a new connection")
	require.Len(t, received, 1, "it was sent once")
}

// Guards against an endpoint that takes nothing of a long body and is waited for as long as the client sends. The attempt
// times out, and counts against the endpoint; where the client sends nothing for a while, the attempt goes on.
func TestServerThatTakesNothingOfABody(t *testing.T) {
	t.Parallel()
	const timeout = 100 * time.Millisecond
	hung := make(chan struct{})
	s := startUpstreamHarness(t, func(int, *net.TCPConn) { <-hung }, nil)
	defer close(hung)
	bodies := bytebudget.NewPool(1 << 20)
	newUpload := func(id string) (*attempt, *bodystream.Stream) {
		grant, err := bodies.Reserve(t.Context(), bytebudget.Holder{Name: "c", IsRequest: true}, bodystream.ChunkBytes)
		require.NoError(t, err)
		rest := bodystream.New(-1, grant, bodystream.ChunkBytes)
		a := s.newAttempt(id)
		a.request.Method, a.request.Length, a.request.Rest = http.MethodPost, -1, rest
		a.deadlines.Load().timeAfterBody = timeout
		return a, rest
	}
	slow, slowBody := newUpload("000000000000000a")
	s.upstream.mail.put(slow)
	a, body := newUpload("000000000000000b")
	s.upstream.mail.put(a)
	began := time.Now()
	go func() {
		for {
			buffer, err := body.WriteBuffer()
			if err != nil {
				body.CloseWrite(err)
				return
			}
			body.CommitWrite(len(buffer))
		}
	}()
	end, _ := s.awaitEnd()
	body.CloseRead()
	require.Equal(t, a, end.attempt)
	require.Equal(t, routing.TimedOut, end.result.EndReason)
	require.Equal(t, routing.Writing, end.result.Phase)
	require.False(t, end.result.LocalFault, "it counts against the endpoint")
	require.Greater(t, time.Since(began), time.Second, "an endpoint may pause")
	require.Less(t, time.Since(began), 2*time.Second)

	slow.cancel(routing.Canceled)
	end, _ = s.awaitEnd()
	require.Equal(t, routing.Canceled, end.result.EndReason, "a body that its client has not sent yet does not time out")
	slowBody.CloseWrite(bodystream.ErrAbandoned)
	slowBody.CloseRead()
}
