package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// timedPair is tcpPair, for a server that is known to take this long to answer.
func timedPair(t *testing.T, times *ResponseTimes) (u *UpstreamConn, server net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ours, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	server, err = l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = server.Close() })
	bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute, MaxBuffering: time.Minute})
	u, err = newUpstream(ours, "s-0", bodies, times, func() {}, func(*UpstreamConn) {})
	require.NoError(t, err)
	t.Cleanup(u.Close)
	return u, server
}

// bodyOf reads a response's body.
func bodyOf(t *testing.T, u *UpstreamConn) (body string, reuse bool) {
	response, reuse, err := u.RoundTrip(testContext(t), getRequest)
	require.NoError(t, err)
	require.Equal(t, balancer.Served, response.Outcome)
	defer response.BodyStream.CloseRead()
	for {
		b, err := response.BodyStream.ReadBuffer()
		if err != nil {
			require.ErrorIs(t, err, io.EOF)
			return body, reuse
		}
		body += string(b)
		response.BodyStream.Consume(len(b))
	}
}

// workingTime is how long the servers of these tests take for the first response on a connection.
const workingTime = 100 * time.Millisecond

func served(body string) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// A second copy of a response that crosses the next request is not taken for its response. What follows is, and the
// connection is not used again.
func TestSecondCopyThatCrossesTheNextRequest(t *testing.T) {
	for name, length := range map[string]int{"short": 10, "longer than what is compared": 3 * comparedBytes} {
		t.Run(name, func(t *testing.T) {
			first, second := strings.Repeat("a", length), strings.Repeat("b", length)
			u, server := timedPair(t, &ResponseTimes{})
			go func() {
				in := bufio.NewReader(server)
				_, _ = http.ReadRequest(in)
				time.Sleep(workingTime)
				_, _ = io.WriteString(server, served(first))
				_, _ = http.ReadRequest(in)
				_, _ = io.WriteString(server, served(first))
				_, _ = io.WriteString(server, served(second))
			}()
			body, reuse := bodyOf(t, u)
			require.Equal(t, first, body)
			require.True(t, reuse)
			body, reuse = bodyOf(t, u)
			require.Equal(t, second, body)
			require.False(t, reuse)
		})
	}
}

// A second copy that is too long to be held back does not begin a response.
func TestLongSecondCopyIsInvalid(t *testing.T) {
	long := strings.Repeat("a", 2*defaultBufferedBytes)
	u, server := timedPair(t, &ResponseTimes{})
	go func() {
		in := bufio.NewReader(server)
		for _, delay := range []time.Duration{workingTime, 0} {
			_, _ = http.ReadRequest(in)
			time.Sleep(delay)
			_, _ = io.WriteString(server, served(long))
		}
	}()
	request := getRequest
	started := make(chan struct{}, 1)
	request.OnResponseStart = func(r protocol.UpstreamResponse) {
		started <- struct{}{}
		go func() {
			defer r.BodyStream.CloseRead()
			for {
				b, err := r.BodyStream.ReadBuffer()
				if err != nil {
					return
				}
				r.BodyStream.Consume(len(b))
			}
		}()
	}
	_, reuse, err := u.RoundTrip(testContext(t), request)
	require.NoError(t, err)
	require.True(t, reuse)
	<-started
	_, _, err = u.RoundTrip(testContext(t), request)
	require.ErrorIs(t, err, ErrInvalidResponse)
	require.Empty(t, started)
}

// serveAlike answers every request alike, the first after one delay and the others after another.
func serveAlike(server net.Conn, first, others time.Duration) {
	in := bufio.NewReader(server)
	for delay := first; ; delay = others {
		if _, err := http.ReadRequest(in); err != nil {
			return
		}
		time.Sleep(delay)
		if _, err := io.WriteString(server, served("ok")); err != nil {
			return
		}
	}
}

// A server whose responses are all alike is not suspected as long as they take as long as ever. One that proves to be
// faster than known is not suspected again.
func TestLikeResponsesAreNoCopies(t *testing.T) {
	times := &ResponseTimes{}
	for range minSamples {
		times.record(workingTime)
	}
	u, server := timedPair(t, times)
	go serveAlike(server, workingTime, workingTime)
	for range 5 {
		body, reuse := bodyOf(t, u)
		require.Equal(t, "ok", body)
		require.True(t, reuse)
	}
	u, server = timedPair(t, times)
	go serveAlike(server, workingTime, 0)
	_, _ = bodyOf(t, u)
	ended := time.AfterFunc(100*time.Millisecond, u.Close)
	defer ended.Stop()
	_, _, err := u.RoundTrip(testContext(t), getRequest)
	require.Error(t, err, "the response was dropped, and no other follows")
	require.NotErrorIs(t, err, ErrNotWritten)
	require.Eventually(t, func() bool { return !times.isTooFast(workingTime / 4) }, 15*time.Second, time.Millisecond)
}

// Guards against a sound response that is dropped since it is like the one before and comes sooner than that: the first
// responses of a server may have been slow for a reason that has passed. It is given when its attempt ends, or the
// connection does.
func TestLikeResponseOfLittleKnownServerIsNotLost(t *testing.T) {
	for name, end := range map[string]func(u *UpstreamConn, cancel func()){
		"the connection ends": func(u *UpstreamConn, _ func()) { u.Close() },
		"the attempt ends":    func(_ *UpstreamConn, cancel func()) { cancel() },
	} {
		t.Run(name, func(t *testing.T) {
			times := &ResponseTimes{}
			u, server := timedPair(t, times)
			go serveAlike(server, workingTime, 0)
			_, _ = bodyOf(t, u)
			ctx, cancel := context.WithCancel(testContext(t))
			defer time.AfterFunc(100*time.Millisecond, func() { end(u, cancel) }).Stop()
			response, reuse, err := u.RoundTrip(ctx, getRequest)
			require.NoError(t, err)
			require.False(t, reuse)
			require.Equal(t, balancer.Served, response.Outcome)
			b, err := response.BodyStream.ReadBuffer()
			require.NoError(t, err)
			require.Equal(t, "ok", string(b))
			response.BodyStream.CloseRead()
			require.False(t, times.isTooFast(workingTime/4))
		})
	}
}
