package transport

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// scriptedServer returns a connection to an upstream server that writes one text for each request that it receives, and
// closes its write side after the last one. It is a socket pair, since fuzzing over TCP would exhaust the machine's ports.
func scriptedServer(t testing.TB, texts ...[]byte) net.Conn {
	ours, server := socketPair(t)
	done := make(chan struct{})
	go func() {
		defer close(done)
		defer func() { _ = server.Close() }()
		in := bufio.NewReader(server)
		for _, text := range texts {
			if _, err := http.ReadRequest(in); err != nil {
				return
			}
			if _, err := server.Write(text); err != nil {
				return
			}
		}
		_ = server.CloseWrite()
		_, _ = io.Copy(io.Discard, server)
	}()
	t.Cleanup(func() { _ = ours.Close(); <-done })
	return ours
}

func socketPair(t testing.TB) (one, other *net.UnixConn) {
	pair, err := syscall.Socketpair(syscall.AF_UNIX, syscall.SOCK_STREAM, 0)
	require.NoError(t, err)
	var ends [2]*net.UnixConn
	for i, fd := range pair {
		f := os.NewFile(uintptr(fd), "pair")
		conn, err := net.FileConn(f)
		require.NoError(t, err)
		require.NoError(t, f.Close())
		ends[i] = conn.(*net.UnixConn)
	}
	return ends[0], ends[1]
}

// expectedResponse returns the body of the response in text, whether that is a complete valid response, and whether its
// connection stays open.
func expectedResponse(text []byte, maxLength int) (body []byte, isComplete, staysOpen bool) {
	r := bufio.NewReader(bytes.NewReader(text))
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return nil, false, false
	}
	body, err = io.ReadAll(resp.Body)
	return body, err == nil && resp.StatusCode == 200 && len(body) <= maxLength, err == nil && !resp.Close
}

// For any bytes that a server writes, buffered or streamed, the body delivered consists of the response's own bytes and is
// complete only if the response is. No more memory than reserved is used. On a reused connection, the next response is
// that to the next request.
func FuzzAnswers(f *testing.F) {
	head := "HTTP/1.1 200 OK\r\n"
	long := strings.Repeat("0123456789", 900)
	for _, s := range []string{
		"", "\r\n", "HTTP/1.1 200", head, head + "\r\n", head + "Content-Length: 3\r\n\r\nabc",
		head + "Content-Length: 3\r\n\r\nabcd", head + "Content-Length: 3\r\n\r\nab",
		head + "Content-Length: 9000\r\n\r\n" + long, head + "Content-Length: 9000\r\n\r\n" + long[:8999],
		head + "Content-Length: 9001\r\n\r\n" + long + "x", head + "Content-Length: 3000000000\r\n\r\n" + long,
		head + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n", head + "Connection: close\r\n\r\n" + long,
		head + "Transfer-Encoding: chunked\r\n\r\n2328\r\n" + long + "\r\n0\r\n\r\n" + head,
		head + "Transfer-Encoding: chunked\r\n\r\n2328\r\n" + long + "\r\nzz\r\n",
		head + "Transfer-Encoding: chunked\r\n\r\n2328\r\n" + long + "\r\n2328\r\n" + long + "\r\n0\r\n\r\n",
		head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"HTTP/1.1 102 Processing\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc",
		"HTTP/1.1 503 Service Unavailable\r\nX-Unprocessed: 1\r\nContent-Length: 4\r\n\r\nfull",
		"HTTP/1.1 204 No Content\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\n" + long, head + "Content-Length: -1\r\n\r\nabc",
	} {
		f.Add([]byte(s), uint16(100), true)
		f.Add([]byte(s), uint16(60000), false)
	}
	const maxLength, maxBuffered = 9000, 4000
	second := []byte(head + "Content-Length: 6\r\n\r\nsecond")
	f.Fuzz(func(t *testing.T, text []byte, readLimit uint16, isStreamed bool) {
		bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: maxLength, BufferedBytes: maxBuffered, ClientStallTimeout: time.Second})
		want, isComplete, staysOpen := expectedResponse(text, maxLength)
		texts := [][]byte{text}
		if staysOpen {
			texts = append(texts, second)
		}
		conn := scriptedServer(t, texts...)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		u, err := newUpstream(conn, "s-0", bodies, nil, func() {}, func(*UpstreamConn) {})
		require.NoError(t, err)
		defer u.Close()
		var got []byte
		var end error
		readBody := func(r protocol.UpstreamResponse) {
			defer r.BodyStream.CloseRead()
			for end == nil && len(got) <= int(readLimit) {
				var b []byte
				if b, end = r.BodyStream.ReadBuffer(); end == nil {
					require.LessOrEqual(t, bodies.Memory.Reserved(), int64(1<<20/maxBodyMemoryDivisor))
					got = append(got, b...)
					r.BodyStream.Consume(len(b))
				}
			}
		}
		isStarted := false
		r, reuse, err := u.RoundTrip(ctx, UpstreamRequest{
			Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Streamed: isStreamed,
			OnResponseStart: func(r protocol.UpstreamResponse) { isStarted = true; readBody(r) },
		})
		if !isStarted && r.BodyStream != nil {
			readBody(r)
		}
		require.True(t, bytes.HasPrefix(want, got), "%q is not a prefix of %q", got, want)
		if errors.Is(end, io.EOF) {
			require.True(t, isComplete)
			require.Len(t, got, len(want))
		}
		if err == nil && !isStarted && r.Outcome == balancer.Served {
			require.True(t, isComplete)
		}
		require.LessOrEqual(t, len(got), maxLength)
		if reuse {
			got, end, readLimit = nil, nil, 60000
			r, _, err = u.RoundTrip(ctx, UpstreamRequest{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")})
			// Bytes that arrived after the response ended the connection before it was reused.
			if !errors.Is(err, ErrStaleConnection) {
				require.NoError(t, err)
				readBody(r)
				require.Equal(t, "second", string(got))
			}
		}
		require.Zero(t, bodies.Memory.Reserved())
		require.NoError(t, ctx.Err(), "RoundTrip must not wait after the response has ended")
	})
}

// Guards against a leak: a response arrives before its request is written, and the write then fails. Nothing uses that
// response, which must not hold memory or a goroutine permanently.
func TestResponseBeforeRequestIsWritten(t *testing.T) {
	long := strings.Repeat("0123456789", 20_000)
	for name, text := range map[string]string{
		"short":     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"long":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"long, cut": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(long), long),
	} {
		t.Run(name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, BufferedBytes: 4000, ClientStallTimeout: time.Second})
			ours, server := socketPair(t)
			t.Cleanup(func() { _ = server.Close() })
			u, err := newUpstream(ours, "s-0", bodies, nil, func() {}, func(*UpstreamConn) {})
			require.NoError(t, err)
			go func() { // responds after the first byte, and closes when the response is being read
				_, _ = io.ReadFull(server, make([]byte, 1))
				go func() { _, _ = io.WriteString(server, text) }()
				for bodies.Memory.Reserved() == 0 {
					time.Sleep(time.Millisecond)
				}
				_ = server.Close()
			}()
			// Longer than the socket buffers; the server reads only the first byte.
			_, _, err = u.RoundTrip(t.Context(), UpstreamRequest{Head: make([]byte, 8<<20), OnResponseStart: func(protocol.UpstreamResponse) {
				require.Fail(t, "the response must not be started")
			}})
			require.ErrorIs(t, err, ErrNotWritten)
			require.Eventually(t, func() bool { return bodies.Memory.Reserved() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against a client that disconnects just when the last bytes of its response arrive: the connection is closed for
// that, and must not be reused.
func TestClientDisconnectsWithLastBytes(t *testing.T) {
	body := strings.Repeat("0123456789", 1000)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, BufferedBytes: 4000, ClientStallTimeout: time.Second})
	for i := range 300 {
		ours, server := socketPair(t)
		u, err := newUpstream(ours, "s-0", bodies, nil, func() {}, func(*UpstreamConn) {})
		require.NoError(t, err)
		go func() {
			in := bufio.NewReader(server)
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(server, head+body[:9990])
		}()
		request := UpstreamRequest{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), OnResponseStart: func(r protocol.UpstreamResponse) {
			for r.BodyStream.Progress().Received < 9990 {
				runtime.Gosched()
			}
			_, err = io.WriteString(server, body[9990:])
			require.NoError(t, err)
			for range i {
				runtime.Gosched()
			}
			r.BodyStream.CloseRead() // the client disconnects
		}}
		_, reuse, err := u.RoundTrip(t.Context(), request)
		if reuse {
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
			require.NoError(t, u.conn.SetDeadline(time.Time{}), "a connection reported as reusable must stay open")
		}
		u.Close()
		require.NoError(t, server.Close())
	}
	require.Eventually(t, func() bool { return bodies.Memory.Reserved() == 0 }, 10*time.Second, time.Millisecond)
}

// A response may start and end before it is known that its request was written: both events must be received.
func TestEarlyResponseStartAndEndAreReceived(t *testing.T) {
	u := &UpstreamConn{responses: make(chan responseEvent, 1)}
	u.responses <- responseEvent{} // end of the response
	write := newStreamedWrite(u, &UpstreamRequest{})
	write.result <- nil
	ended := make(chan bool, 1)
	go func() {
		early, isWritten := write.resolveEarlyResponse(responseEvent{isStart: true})
		ended <- isWritten && early.isStart && !(<-u.responses).isStart
	}()
	select {
	case right := <-ended:
		require.True(t, right)
	case <-time.After(15 * time.Second):
		require.Fail(t, "the start of the response is blocked by its end")
	}
}

// What a process reads late is as old as the system says, also where it was read long after its arrival.
func TestTimeSinceData(t *testing.T) {
	const pause = 100 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ours, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	theirs, err := l.Accept()
	require.NoError(t, err)
	defer func() { _ = theirs.Close() }()
	u, err := newUpstream(ours, "s-0", nil, nil, func() {}, func(*UpstreamConn) {})
	require.NoError(t, err)
	defer u.Close()
	_, err = theirs.Write([]byte("HTTP/1.1 200 OK\r\n"))
	require.NoError(t, err)
	time.Sleep(pause)
	require.GreaterOrEqual(t, u.TimeSinceData(), pause-minDataAge)
	u.Close()
	require.Zero(t, u.TimeSinceData(), "not known")
}
