package transport

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/protocol"
)

// tcpPair returns a TCP connection to an upstream server, and the server's side of it.
func tcpPair(t *testing.T) (u *UpstreamConn, bodies *BodyLimits, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ours, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	bodies = NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, BufferedBytes: 1 << 20, ClientStallTimeout: time.Minute, MaxBuffering: time.Minute})
	u, err = newUpstream(ours, "s-0", bodies, nil, func() {}, func(*UpstreamConn) {})
	require.NoError(t, err)
	t.Cleanup(u.Close)
	return u, bodies, c.(*net.TCPConn)
}

// testContext returns a context with a timeout, so that a test does not hang.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func resetConn(t *testing.T, c *net.TCPConn) {
	assert.NoError(t, c.SetLinger(0))
	assert.NoError(t, c.Close())
}

// waitEnded waits until the agent has noticed that an idle connection has ended.
func waitEnded(t *testing.T, u *UpstreamConn) {
	select {
	case <-u.Done():
	case <-time.After(15 * time.Second):
		require.Fail(t, "the end of the connection was not noticed")
	}
}

var getRequest = UpstreamRequest{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")}

const headerWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// A response that ends with its connection is complete if the connection is closed normally, and never if it is reset,
// however much was received. The reset arrives when everything before it has been read, so that it is all that the next
// read of the socket returns. No other read may consume it before the read that reports it.
func TestResetDuringResponseWithoutLength(t *testing.T) {
	const body = "0123456789"
	for _, isBuffered := range []bool{true, false} {
		for _, received := range []int{0, 1, len(body) / 2, len(body)} {
			for _, resets := range []bool{true, false} {
				t.Run(fmt.Sprint("buffered ", isBuffered, ", bytes ", received, ", reset ", resets), func(t *testing.T) {
					u, bodies, server := tcpPair(t)
					written, bodyEnd := make(chan struct{}), make(chan error, 1)
					end := func() {
						if resets {
							resetConn(t, server)
						} else {
							_ = server.Close()
						}
					}
					go func() {
						defer close(written)
						_, _ = http.ReadRequest(bufio.NewReader(server))
						_, _ = io.WriteString(server, headerWithoutLength+body[:received])
						if !isBuffered && received > 0 {
							return // the reset follows once the body is consumed
						}
						for isBuffered && received > 0 && bodies.Memory.Reserved() == 0 { // until the body is being read
							time.Sleep(time.Millisecond)
						}
						end()
					}()
					request := getRequest
					request.Streamed = !isBuffered
					request.OnResponseStart = func(response protocol.UpstreamResponse) {
						go func() {
							defer response.BodyStream.CloseRead()
							for n := 0; n < received; {
								b, err := response.BodyStream.ReadBuffer()
								if err != nil {
									break
								}
								n += len(b)
								response.BodyStream.Consume(len(b))
							}
							<-written
							end()
							_, err := response.BodyStream.ReadBuffer()
							bodyEnd <- err
						}()
					}
					response, reuse, err := u.RoundTrip(testContext(t), request)
					<-written
					require.False(t, reuse)
					if resets {
						require.Error(t, err)
						require.NotErrorIs(t, err, ErrNotWritten, "the request may have been executed")
						require.NotErrorIs(t, err, ErrStaleConnection, "the request may have been executed")
					} else {
						require.NoError(t, err)
					}
					if !isBuffered && received > 0 {
						if end := <-bodyEnd; resets {
							require.Error(t, end)
							require.NotErrorIs(t, end, io.EOF, "a reset is not the end of the body")
						} else {
							require.ErrorIs(t, end, io.EOF)
						}
						return
					}
					if response.BodyStream != nil {
						response.BodyStream.CloseRead()
					}
				})
			}
		}
	}
}

// A response with a length that was received completely is valid, whatever happens to its connection. An incomplete one
// is an error of the connection, not an invalid response.
func TestResetDuringResponseWithLength(t *testing.T) {
	const body = "0123456789"
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	for _, missing := range []int{0, 1, len(body) / 2, len(body), len(text) - 1} {
		t.Run(fmt.Sprint(missing, " bytes are missing"), func(t *testing.T) {
			u, _, server := tcpPair(t)
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(server))
				_, _ = io.WriteString(server, text[:len(text)-missing])
				resetConn(t, server)
			}()
			r, reuse, err := u.RoundTrip(testContext(t), getRequest)
			if missing > 0 {
				require.Error(t, err)
				require.NotErrorIs(t, err, ErrInvalidResponse)
				require.NotErrorIs(t, err, ErrNotWritten)
				return
			}
			require.NoError(t, err)
			require.Equal(t, balancer.Served, r.Outcome)
			got, err := r.BodyStream.ReadBuffer()
			require.NoError(t, err)
			require.Equal(t, body, string(got))
			r.BodyStream.CloseRead()
			if reuse { // the reset was not noticed yet
				waitEnded(t, u)
				require.True(t, u.HasEnded())
				_, _, err = u.RoundTrip(testContext(t), getRequest)
				require.ErrorIs(t, err, ErrStaleConnection, "nothing must be written to an ended connection")
			}
		})
	}
}

// If anything is received on an idle connection, no request may be written to it, even if the goroutine that reads the
// connection has not noticed yet. The cases are half a line, the connection's end, and a reset, which a read consumes.
func TestIdleConnectionEndsBeforeWrite(t *testing.T) {
	for name, ends := range map[string]func(*testing.T, *net.TCPConn){
		"normally":    func(_ *testing.T, c *net.TCPConn) { _ = c.Close() },
		"by a reset":  resetConn,
		"half a line": func(_ *testing.T, c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 40") },
	} {
		for _, isNoticed := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", noticed ", isNoticed), func(t *testing.T) {
				u, _, server := tcpPair(t)
				ends(t, server)
				waitEnded(t, u)
				if !isNoticed { // as if the goroutine that reads had not noticed yet
					u.mu.Lock()
					u.hasEnded = false
					u.mu.Unlock()
				}
				_, reuse, err := u.RoundTrip(testContext(t), getRequest)
				require.ErrorIs(t, err, ErrStaleConnection)
				require.False(t, reuse)
			})
		}
	}
}

// An upstream server resets the connection during a request. The request was not executed if the reset occurs before its
// last byte was written, and may have been executed afterwards. The request is longer than the socket buffers, and the
// server reads only its first byte.
func TestConnectionEndsDuringWrite(t *testing.T) {
	u, _, server := tcpPair(t)
	go func() {
		_, _ = io.ReadFull(server, make([]byte, 1)) // once it is being written
		resetConn(t, server)
	}()
	_, reuse, err := u.RoundTrip(testContext(t), UpstreamRequest{Head: make([]byte, 32<<20)})
	require.ErrorIs(t, err, ErrNotWritten)
	require.False(t, reuse)

	for name, ends := range map[string]func(*testing.T, *net.TCPConn){
		"normally":   func(_ *testing.T, c *net.TCPConn) { _ = c.Close() },
		"by a reset": resetConn,
	} {
		t.Run("after the last byte, "+name, func(t *testing.T) {
			u, _, server := tcpPair(t)
			go func() {
				_, _ = http.ReadRequest(bufio.NewReader(server))
				ends(t, server)
			}()
			_, reuse, err := u.RoundTrip(testContext(t), getRequest)
			require.Error(t, err)
			require.False(t, reuse)
			for _, never := range []error{ErrStaleConnection, ErrNotWritten, ErrInvalidResponse} {
				require.NotErrorIs(t, err, never, "the request may have been executed")
			}
		})
	}
}

// An upstream server's response may arrive before the write of its request returns, which may happen late. A request that
// was written completely may have been executed, and must not be reported as not written.
func TestEarlyResponseWithLateWriteResult(t *testing.T) {
	u, _, _ := tcpPair(t)
	rest := bodystream.New(-1, bytebudget.Grant{}, 0)
	write := newStreamedWrite(u, &UpstreamRequest{Rest: rest})
	go func() {
		_, _ = rest.ReadBuffer() // blocks until the stream is aborted
		write.result <- nil
	}()
	early, isWritten := write.resolveEarlyResponse(responseEvent{UpstreamResponse: protocol.UpstreamResponse{Outcome: balancer.Served}})
	require.True(t, isWritten, "the request may have been executed")
	require.NoError(t, early.err)
	require.True(t, early.Close, "its connection must be closed")
}

// A response waits for the result of a write that is ending, however late the write's goroutine is scheduled: it is neither cut
// off nor taken for one that came too early. Only where the system takes no more bytes, or bytes are missing, is it early.
func TestResponseWaitsForWriteThatIsEnding(t *testing.T) {
	response := responseEvent{UpstreamResponse: protocol.UpstreamResponse{Outcome: balancer.Served}}
	t.Run("written, and not known yet", func(t *testing.T) {
		u, _, _ := tcpPair(t)
		write := newStreamedWrite(u, &UpstreamRequest{Rest: bodystream.New(-1, bytebudget.Grant{}, 0)})
		write.isEnding.Store(true)
		resolved := make(chan responseEvent)
		go func() {
			early, isWritten := write.resolveEarlyResponse(response)
			assert.True(t, isWritten)
			resolved <- *early
		}()
		select {
		case <-resolved:
			require.Fail(t, "the result of the write is not known")
		case <-time.After(20 * writableCheckInterval): // many checks
		}
		write.result <- nil
		early := <-resolved
		require.NoError(t, early.err)
		require.False(t, early.Close)
		require.False(t, u.HasEnded())
		require.NoError(t, u.conn.SetDeadline(time.Time{}), "the connection must be open")
	})
	t.Run("the system takes no more", func(t *testing.T) {
		u, _, _ := tcpPair(t) // nobody reads
		rest := bodystream.New(-1, bytebudget.Grant{}, 0)
		write := newStreamedWrite(u, &UpstreamRequest{Rest: rest})
		write.isEnding.Store(true)
		go func() {
			_, err := io.Copy(u.conn, zeros{})
			write.result <- err
		}()
		require.Eventually(t, func() bool { return !u.isWritable() }, 15*time.Second, time.Millisecond)
		early, isWritten := write.resolveEarlyResponse(response)
		require.False(t, isWritten)
		require.ErrorIs(t, early.err, ErrNotWritten)
	})
}

// zeros is an endless input.
type zeros struct{}

func (zeros) Read(b []byte) (int, error) { return len(b), nil }

// An upstream server ends the connection during an upload, or responds before it has received everything. The request was
// not executed, so that it may be retried if no part of it was discarded. Of early responses, only a rejection is used.
func TestServerEndsConnectionDuringUpload(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		ends   bool
		want   error // nil: the response is used
	}{
		"resets":                      {"", true, ErrNotWritten},
		"serves, stays open":          {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, ErrInvalidResponse},
		"serves and resets":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, ErrNotWritten},
		"serves, no length, and ends": {headerWithoutLength + "ok", true, ErrNotWritten},
		"rejects":                     {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false, nil},
		"fails, which is not used":    {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, ErrInvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			u, bodies, server := tcpPair(t)
			grant, err := bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 4)
			require.NoError(t, err)
			rest := bodystream.New(4, grant, 4)
			buffer, err := rest.WriteBuffer()
			require.NoError(t, err)
			copy(buffer, "ab")
			rest.CommitWrite(2) // the rest never arrives
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				in := bufio.NewReader(server)
				r, _ := http.ReadRequest(in)
				_, _ = io.ReadFull(r.Body, make([]byte, 2))
				_, _ = io.WriteString(server, c.answer)
				if c.ends {
					if c.answer != "" { // wait until it is read, upon which the connection may be closed at once
						for bodies.Memory.Reserved() < 5 && !isEnded(server) {
							time.Sleep(time.Millisecond)
						}
					}
					resetConn(t, server)
				}
			}()
			r, reuse, err := u.RoundTrip(testContext(t), UpstreamRequest{
				Head: []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"),
				Rest: rest, OnResponseStart: func(protocol.UpstreamResponse) { require.Fail(t, "the response must not be started") },
			})
			<-ended
			require.False(t, reuse)
			if c.want == nil {
				require.NoError(t, err)
				require.Equal(t, balancer.Rejected, r.Outcome)
			} else {
				require.ErrorIs(t, err, c.want)
			}
			rest.CloseWrite(io.ErrUnexpectedEOF)
			rest.CloseRead()
			require.Eventually(t, func() bool { return bodies.Memory.Reserved() == 0 }, 15*time.Second, time.Millisecond)
		})
	}
}

// isEnded reports whether a connection's peer has closed it.
func isEnded(c *net.TCPConn) (isEnded bool) {
	rawConn, err := c.SyscallConn()
	if err != nil {
		return true
	}
	err = rawConn.Control(func(fd uintptr) { isEnded = isClosedByPeer(fd) })
	return err != nil || isEnded
}

// Guards against a request that is reported as not written, and so as not executed, although the server has all of it: the
// attempt is given up after the last byte of a body of known length was written, before the end of the stream is known.
func TestBodyWrittenToItsLastByteCountsAsWritten(t *testing.T) {
	u, bodies, server := tcpPair(t)
	const length = 1000
	grant, err := bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "c", IsRequest: true}, length)
	require.NoError(t, err)
	rest := bodystream.New(length, grant, length)
	buffer, err := rest.WriteBuffer()
	require.NoError(t, err)
	rest.CommitWrite(len(buffer)) // the stream's end is not known yet
	ctx, giveUp := context.WithCancel(testContext(t))
	go func() {
		r, readErr := http.ReadRequest(bufio.NewReader(server))
		if assert.NoError(t, readErr) {
			_, readErr = io.Copy(io.Discard, r.Body)
			assert.NoError(t, readErr, "the server has the whole request")
		}
		giveUp()
	}()
	_, _, err = u.RoundTrip(ctx, UpstreamRequest{
		Head: []byte(fmt.Sprintf("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", length)), Rest: rest,
	})
	require.Error(t, err)
	require.NotErrorIs(t, err, ErrNotWritten)
	rest.CloseWrite(io.EOF)
	rest.CloseRead()
}
