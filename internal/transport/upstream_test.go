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

// scripted is a connection to a booking server that writes one text for each request that comes, and ends its
// sending after the last one. It is a pair of sockets: fuzzing by TCP would use up the machine's ports.
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

// oracle is the body that a whole read of the text gives, if it holds an answer that is whole; and whether its
// connection stays open.
func expectedResponse(text []byte, longest int) (body []byte, whole, stays bool) {
	r := bufio.NewReader(bytes.NewReader(text))
	resp, err := http.ReadResponse(r, nil)
	for err == nil && resp.StatusCode < 200 {
		resp, err = http.ReadResponse(r, nil)
	}
	if err != nil {
		return nil, false, false
	}
	body, err = io.ReadAll(resp.Body)
	return body, err == nil && resp.StatusCode == 200 && len(body) <= longest, err == nil && !resp.Close
}

// Whatever a server writes, and whether its answer is held whole or passed on: what is taken is the answer's own
// bytes, whole only if it is; no more memory than granted; and on a connection that is used again, the next answer
// is that of the next route step.
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
	const longest, held = 9000, 4000
	second := []byte(head + "Content-Length: 6\r\n\r\nsecond")
	f.Fuzz(func(t *testing.T, text []byte, leaves uint16, atOnce bool) {
		bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: longest, BufferedBytes: held, ClientStall: time.Second})
		want, whole, stays := expectedResponse(text, longest)
		texts := [][]byte{text}
		if stays {
			texts = append(texts, second)
		}
		conn := scriptedServer(t, texts...)
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		u, err := newUpstream(conn, "s-0", bodies, func() {}, func(*UpstreamConn) {})
		require.NoError(t, err)
		defer u.Close()
		var taken []byte
		var end error
		take := func(r protocol.UpstreamResponse) {
			defer r.BodyStream.CloseRead()
			for end == nil && len(taken) <= int(leaves) {
				var b []byte
				if b, end = r.BodyStream.ReadBuffer(); end == nil {
					require.LessOrEqual(t, bodies.Memory.Reserved(), int64(1<<20/maxBodyMemoryDivisor))
					taken = append(taken, b...)
					r.BodyStream.Consumed(len(b))
				}
			}
		}
		begun := false
		r, reuse, err := u.RoundTrip(ctx, UpstreamRequest{
			Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), Streamed: atOnce,
			OnResponseStart: func(r protocol.UpstreamResponse) { begun = true; take(r) },
		})
		if !begun && r.BodyStream != nil {
			take(r)
		}
		require.True(t, bytes.HasPrefix(want, taken), "%q is not of %q", taken, want)
		if errors.Is(end, io.EOF) {
			require.True(t, whole)
			require.Len(t, taken, len(want))
		}
		if err == nil && !begun && r.Outcome == balancer.Served {
			require.True(t, whole)
		}
		require.LessOrEqual(t, len(taken), longest)
		if reuse {
			taken, end, leaves = nil, nil, 60000
			r, _, err = u.RoundTrip(ctx, UpstreamRequest{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")})
			// What came late, after the answer, ended the connection before it was used again.
			if !errors.Is(err, ErrStaleConnection) {
				require.NoError(t, err)
				take(r)
				require.Equal(t, "second", string(taken))
			}
		}
		require.Zero(t, bodies.Memory.Reserved())
		require.NoError(t, ctx.Err(), "waits for what has ended")
	})
}

// Guards against an answer that comes before its route step is written, where the writing then fails: the answer
// is nobody's, and must not hold memory or a goroutine for good.
func TestResponseBeforeRequestIsWritten(t *testing.T) {
	long := strings.Repeat("0123456789", 20_000)
	for name, text := range map[string]string{
		"short":     "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"long":      fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"long, cut": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", 2*len(long), long),
	} {
		t.Run(name, func(t *testing.T) {
			t.Cleanup(func() { goleak.VerifyNone(t) })
			bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, BufferedBytes: 4000, ClientStall: time.Second})
			ours, server := socketPair(t)
			t.Cleanup(func() { _ = server.Close() })
			u, err := newUpstream(ours, "s-0", bodies, func() {}, func(*UpstreamConn) {})
			require.NoError(t, err)
			go func() { // answers once the first byte is there, and goes when the answer is read
				_, _ = io.ReadFull(server, make([]byte, 1))
				go func() { _, _ = io.WriteString(server, text) }()
				for bodies.Memory.Reserved() == 0 {
					time.Sleep(time.Millisecond)
				}
				_ = server.Close()
			}()
			// More than the sockets hold, of which the server reads nothing.
			_, _, err = u.RoundTrip(t.Context(), UpstreamRequest{Head: make([]byte, 8<<20), OnResponseStart: func(protocol.UpstreamResponse) {
				require.Fail(t, "begun")
			}})
			require.ErrorIs(t, err, ErrNotWritten)
			require.Eventually(t, func() bool { return bodies.Memory.Reserved() == 0 }, 10*time.Second, time.Millisecond)
		})
	}
}

// Guards against a client that leaves just when its answer's last bytes come: the connection is closed for it, and
// must not carry the next route step by then.
func TestClientDisconnectsWithLastBytes(t *testing.T) {
	body := strings.Repeat("0123456789", 1000)
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n", len(body))
	bodies := NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, BufferedBytes: 4000, ClientStall: time.Second})
	for i := range 300 {
		ours, server := socketPair(t)
		u, err := newUpstream(ours, "s-0", bodies, func() {}, func(*UpstreamConn) {})
		require.NoError(t, err)
		go func() {
			in := bufio.NewReader(server)
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(server, head+body[:9990])
		}()
		step := UpstreamRequest{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"), OnResponseStart: func(r protocol.UpstreamResponse) {
			for r.BodyStream.Progress().Received < 9990 {
				runtime.Gosched()
			}
			_, err = io.WriteString(server, body[9990:])
			require.NoError(t, err)
			for range i {
				runtime.Gosched()
			}
			r.BodyStream.CloseRead() // the client leaves
		}}
		_, reuse, err := u.RoundTrip(t.Context(), step)
		if reuse {
			require.NoError(t, err)
			time.Sleep(time.Millisecond)
			require.NoError(t, u.conn.SetDeadline(time.Time{}), "closed by now")
		}
		u.Close()
		require.NoError(t, server.Close())
	}
	require.Eventually(t, func() bool { return bodies.Memory.Reserved() == 0 }, 10*time.Second, time.Millisecond)
}

// An answer may begin and end before it is told that its route step was written whole: both are still to be had.
func TestEarlyResponseStartAndEndAreReceived(t *testing.T) {
	u := &UpstreamConn{responses: make(chan responseEvent, 1)}
	u.responses <- responseEvent{} // its end
	wrote := make(chan error, 1)
	wrote <- nil
	ended := make(chan bool, 1)
	go func() {
		first, whole := u.resolveEarlyResponse(&UpstreamRequest{}, responseEvent{isStart: true}, wrote)
		ended <- whole && first.isStart && !(<-u.responses).isStart
	}()
	select {
	case right := <-ended:
		require.True(t, right)
	case <-time.After(15 * time.Second):
		require.Fail(t, "the beginning waits behind the end")
	}
}
