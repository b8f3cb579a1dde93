package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
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

// An attempt whose request gets its final response while the attempt waits for its connection is not sent. The connection
// that was opened for it is used by the next attempt.
func TestAttemptIsNotSentAfterFinalResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	received := make(chan string, 4)
	var accepted atomic.Int32
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted.Add(1)
			go func() {
				defer func() { _ = c.Close() }()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					received <- r.Header.Get("X-Correlation-Id")
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			}()
		}
	}()
	agentClock := newClock()
	reports := make(chan any, 4)
	u := startUpstream(upstreamSettings{
		clock: agentClock, maxConnectTimeout: time.Minute, reuseDelay: routing.ReuseDelay, connectTimeouts: &connectTimeouts{},
		idleLimit:   &idleLimit{shared: routing.NewIdleLimit(agentClock.now(), time.Hour)},
		descriptors: transport.NewDescriptors(16, func() {}), metrics: metrics.New(nil),
		bodies: transport.NewBodyLimits(1<<20, transport.BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Second, MaxClientLag: time.Second}),
	},
		l.Addr().(*net.TCPAddr).AddrPort(), func(m any) { reports <- m })
	attemptOf := func(id string) *attempt {
		until := agentClock.now() + time.Minute
		return newAttempt(&request{Request: &protocol.Request{
			Method: http.MethodGet, Target: "/consult",
			CorrelationID: id, Class: "consult", TimeLeft: time.Minute,
		}}, routing.Output{At: until, Deadline: until}, agentClock, func(any) {})
	}
	late := attemptOf("000000000000000a")
	late.obsolete = true // as if the response arrived while the connection was being opened
	u.mail.put(late)
	require.Equal(t, balancer.Canceled, (<-reports).(attemptEnded).result.Outcome())
	u.mail.put(attemptOf("000000000000000b"))
	require.Equal(t, balancer.Served, (<-reports).(attemptEnded).result.Outcome())
	require.Equal(t, "000000000000000b", <-received, "only the second attempt is sent")

	// The response arrives while the connection is being opened. The test calls the methods in that order, since it can't
	// choose the moment from outside. An attempt that is being written continues.
	answered := attemptOf("000000000000000d")
	answered.resetWriting()
	answered.cancelIfUnsent()
	require.False(t, answered.beginWriting())
	writing := attemptOf("000000000000000e")
	require.True(t, writing.beginWriting())
	writing.cancelIfUnsent()
	require.NoError(t, writing.ctx.Err())

	// No connection is opened for a request that has ended already.
	openedBefore := accepted.Load()
	ended := []*attempt{attemptOf("000000000000000f"), attemptOf("0000000000000010")} // more than there are idle connections
	for _, a := range ended {
		a.request.end()
		u.mail.put(a)
	}
	for range ended {
		require.Equal(t, balancer.Canceled, (<-reports).(attemptEnded).result.Outcome())
	}
	require.Equal(t, openedBefore, accepted.Load())

	waiting := attemptOf("000000000000000c")
	waiting.cancelIfUnsent()
	require.Error(t, waiting.ctx.Err(), "it stops waiting for its connection")
	u.mail.put(retire{})
}

// Guards against an attempt whose long body goes on to its endpoint after its client has gone: the endpoint begins a request
// with its last byte, and would take it when it reads again.
func TestPartlyWrittenBodyIsNotSentOn(t *testing.T) {
	readAgain, seen := make(chan struct{}), make(chan int64, 1)
	resume := sync.OnceFunc(func() { close(readAgain) })
	defer resume()
	const size = 16 << 20 // more than all buffers on the way
	s := startUpstreamHarness(t, func(_ int, c *net.TCPConn) {
		<-readAgain
		n, _ := io.Copy(io.Discard, c)
		seen <- n
	}, nil)
	grant, err := bytebudget.NewPool(1<<20).Reserve(t.Context(), bytebudget.Holder{Name: "c", IsRequest: true}, bodystream.ChunkBytes)
	require.NoError(t, err)
	body := bodystream.New(size, grant, bodystream.ChunkBytes)
	go func() {
		for sent := 0; sent < size; {
			buffer, err := body.WriteBuffer()
			if err != nil {
				body.CloseWrite(err)
				return
			}
			body.CommitWrite(len(buffer))
			sent += len(buffer)
		}
		body.CloseWrite(io.EOF)
	}()
	a := s.newAttempt("000000000000000a")
	a.request.Method, a.request.Length, a.request.Rest = http.MethodPost, size, body
	s.upstream.mail.put(a)
	require.Eventually(t, func() bool { return body.Progress().StalledFor > 100*time.Millisecond }, time.Minute, time.Millisecond)
	a.cancelIfUnsent()
	end, _ := s.awaitEnd()
	require.Equal(t, balancer.Canceled, end.result.Outcome(), "it does not count against the endpoint")
	resume()
	require.Less(t, <-seen, int64(size))
	body.CloseRead()
}

// Guards against an attempt for a client that has gone, or whose time ended, while this process was not scheduled between
// its decision to write and the write: the last look is right before the write.
func TestClientIsAskedRightBeforeTheWrite(t *testing.T) {
	var requests atomic.Int32
	s := startUpstreamHarness(t, func(_ int, c *net.TCPConn) {
		respondToAll(c, func(*http.Request) { requests.Add(1) })
	}, nil)
	for _, isReused := range []bool{false, true} {
		before := requests.Load()
		if isReused {
			s.upstream.mail.put(s.newAttempt("000000000000000a"))
			end, _ := s.awaitEnd()
			require.Equal(t, balancer.Served, end.result.Outcome())
			before++
		}
		a := s.newAttempt("000000000000000b")
		asked := 0
		a.request.ClientGone = func() bool { asked++; return asked > 1 }
		s.upstream.mail.put(a)
		end, _ := s.awaitEnd()
		require.Equal(t, balancer.Canceled, end.result.Outcome(), "reused %v", isReused)
		require.Equal(t, before, requests.Load(), "reused %v", isReused)
	}
	s.upstream.mail.put(s.newAttempt("000000000000000c"))
	end, _ := s.awaitEnd()
	require.Equal(t, balancer.Served, end.result.Outcome(), "the next attempt has a connection")
}

// Guards against a repeat that is written after the time in which it is recognized as one: an attempt that waits for its
// connection until then is not written.
func TestAttemptIsNotWrittenAfterItsWindow(t *testing.T) {
	var requests atomic.Int32
	s := startUpstreamHarness(t, func(_ int, c *net.TCPConn) {
		respondToAll(c, func(*http.Request) { requests.Add(1) })
	}, func(set *upstreamSettings) { set.reuseDelay = time.Minute })
	s.upstream.mail.put(s.newAttempt("000000000000000a"))
	end, _ := s.awaitEnd()
	require.Equal(t, balancer.Served, end.result.Outcome())

	base := s.newAttempt("000000000000000b")
	until := s.clock.now() + time.Minute
	late := newAttempt(base.request, routing.Output{At: until, Deadline: until, WriteBy: s.clock.now() + 50*time.Millisecond}, s.clock, func(any) {})
	s.upstream.mail.put(late) // it waits for the reuse of the connection
	end, _ = s.awaitEnd()
	require.Equal(t, balancer.Canceled, end.result.Outcome())
	require.EqualValues(t, 1, requests.Load())
}
