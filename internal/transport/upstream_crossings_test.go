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

// tcpPair is a connection to a booking server by TCP, and the server's side of it.
func tcpPair(t *testing.T) (u *UpstreamConn, bodies *BodyLimits, server *net.TCPConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	ours, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	c, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	bodies = NewBodyLimits(1<<20, BodyRules{MaxBytes: 1 << 20, BufferedBytes: 1 << 20, ClientStall: time.Minute, MaxBuffering: time.Minute})
	u, err = newUpstream(ours, "s-0", bodies, func() {}, func(*UpstreamConn) {})
	require.NoError(t, err)
	t.Cleanup(u.Close)
	return u, bodies, c.(*net.TCPConn)
}

// bounded ends what waits for what does not come.
func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(t.Context(), 15*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func resetConn(t *testing.T, c *net.TCPConn) {
	assert.NoError(t, c.SetLinger(0))
	assert.NoError(t, c.Close())
}

// over waits until a connection without a step on it is known to have ended.
func waitEnded(t *testing.T, u *UpstreamConn) {
	select {
	case <-u.Done():
	case <-time.After(15 * time.Second):
		require.Fail(t, "it does not end")
	}
}

var getRequest = UpstreamRequest{Head: []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")}

const headerWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

// An answer that ends with its connection is whole where that ends in good order, and never where it is reset, after
// however much of it. The reset comes when all that came before it has been read, so that it is the only thing that
// the next look at the socket finds: nothing may look beside the read that tells of it.
func TestResetDuringResponseWithoutLength(t *testing.T) {
	const body = "0123456789"
	for _, held := range []bool{true, false} {
		for _, came := range []int{0, 1, len(body) / 2, len(body)} {
			for _, resets := range []bool{true, false} {
				t.Run(fmt.Sprint("held whole ", held, ", after ", came, ", reset ", resets), func(t *testing.T) {
					u, bodies, server := tcpPair(t)
					wrote, taken := make(chan struct{}), make(chan error, 1)
					end := func() {
						if resets {
							resetConn(t, server)
						} else {
							_ = server.Close()
						}
					}
					go func() {
						defer close(wrote)
						_, _ = http.ReadRequest(bufio.NewReader(server))
						_, _ = io.WriteString(server, headerWithoutLength+body[:came])
						if !held && came > 0 {
							return // the reset follows the taking
						}
						for held && came > 0 && bodies.Memory.Reserved() == 0 { // the body's beginning has been reached
							time.Sleep(time.Millisecond)
						}
						end()
					}()
					s := getRequest
					s.Streamed = !held
					s.OnResponseStart = func(r protocol.UpstreamResponse) {
						go func() {
							defer r.BodyStream.CloseRead()
							for n := 0; n < came; {
								b, err := r.BodyStream.ReadBuffer()
								if err != nil {
									break
								}
								n += len(b)
								r.BodyStream.Consumed(len(b))
							}
							<-wrote
							end()
							_, err := r.BodyStream.ReadBuffer()
							taken <- err
						}()
					}
					r, reuse, err := u.RoundTrip(testContext(t), s)
					<-wrote
					require.False(t, reuse)
					if resets {
						require.Error(t, err)
						require.NotErrorIs(t, err, ErrNotWritten, "it may have run")
						require.NotErrorIs(t, err, ErrStaleConnection, "it may have run")
					} else {
						require.NoError(t, err)
					}
					if !held && came > 0 {
						if end := <-taken; resets {
							require.Error(t, end)
							require.NotErrorIs(t, end, io.EOF, "a reset is no end")
						} else {
							require.ErrorIs(t, end, io.EOF)
						}
						return
					}
					if r.BodyStream != nil {
						r.BodyStream.CloseRead()
					}
				})
			}
		}
	}
}

// An answer with a length that came whole stands, whatever becomes of its connection; one of which a part is missing
// is broken off, and not spoilt.
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
			if reuse { // the reset was not seen yet
				waitEnded(t, u)
				require.True(t, u.HasEnded())
				_, _, err = u.RoundTrip(testContext(t), getRequest)
				require.ErrorIs(t, err, ErrStaleConnection, "nothing was written on it")
			}
		})
	}
}

// What comes on an idle connection before a step is written on it means that nothing is written: also where nobody
// has been told yet, as the goroutine that waits on it has not got to it. Half a line, the connection's end and a
// reset, which a look takes away.
func TestIdleConnectionEndsBeforeWrite(t *testing.T) {
	for name, ends := range map[string]func(*testing.T, *net.TCPConn){
		"in good order": func(_ *testing.T, c *net.TCPConn) { _ = c.Close() },
		"by a reset":    resetConn,
		"half a line":   func(_ *testing.T, c *net.TCPConn) { _, _ = io.WriteString(c, "HTTP/1.1 40") },
	} {
		for _, told := range []bool{true, false} {
			t.Run(fmt.Sprint(name, ", told ", told), func(t *testing.T) {
				u, _, server := tcpPair(t)
				ends(t, server)
				waitEnded(t, u)
				if !told { // as if the goroutine that waits had not said so yet
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

// A booking server resets its connection under a step: before the last byte is written it never ran, from then on it
// may have. What is written is more than the sockets hold, and the server reads none of it.
func TestConnectionEndsDuringWrite(t *testing.T) {
	u, _, server := tcpPair(t)
	go func() {
		_, _ = io.ReadFull(server, make([]byte, 1)) // it is being written
		resetConn(t, server)
	}()
	_, reuse, err := u.RoundTrip(testContext(t), UpstreamRequest{Head: make([]byte, 32<<20)})
	require.ErrorIs(t, err, ErrNotWritten)
	require.False(t, reuse)

	for name, ends := range map[string]func(*testing.T, *net.TCPConn){
		"in good order": func(_ *testing.T, c *net.TCPConn) { _ = c.Close() },
		"by a reset":    resetConn,
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
				require.NotErrorIs(t, err, never, "it may have run")
			}
		})
	}
}

// A booking server's answer may be there before it is told that the step was written, which the machine may tell
// late: a step that was written whole may have run, and is not taken for one that never did.
func TestEarlyResponseWithLateWriteResult(t *testing.T) {
	u, _, _ := tcpPair(t)
	wrote := make(chan error, 1)
	rest := bodystream.New(-1, bytebudget.Grant{}, 0)
	go func() {
		_, _ = rest.ReadBuffer() // until it is given up, once the wait is over
		wrote <- nil
	}()
	first, whole := u.resolveEarlyResponse(&UpstreamRequest{Rest: rest}, responseEvent{UpstreamResponse: protocol.UpstreamResponse{Outcome: balancer.Served}}, wrote)
	require.True(t, whole, "it may have run")
	require.NoError(t, first.err)
	require.True(t, first.Close, "its connection was given up")
}

// A booking server ends the connection while a long request is coming, or answers before it has it: it never ran, so
// that whoever may send it again does, unless a part of it is gone. Only an answer that turns it away is believed.
func TestServerEndsConnectionDuringUpload(t *testing.T) {
	for name, c := range map[string]struct {
		answer string
		ends   bool
		want   error // nil: the answer is taken
	}{
		"resets":                       {"", true, ErrNotWritten},
		"serves and goes on":           {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false, ErrInvalidResponse},
		"serves and resets":            {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", true, ErrNotWritten},
		"serves, no length, and ends":  {headerWithoutLength + "ok", true, ErrNotWritten},
		"turns away":                   {"HTTP/1.1 503 No\r\nX-Unprocessed: 1\r\nContent-Length: 0\r\n\r\n", false, nil},
		"fails, which is not believed": {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", false, ErrInvalidResponse},
	} {
		t.Run(name, func(t *testing.T) {
			u, bodies, server := tcpPair(t)
			grant, err := bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: "s-0"}, 4)
			require.NoError(t, err)
			rest := bodystream.New(4, grant, 4)
			room, err := rest.WriteBuffer()
			require.NoError(t, err)
			copy(room, "ab")
			rest.Wrote(2) // and no more comes
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				in := bufio.NewReader(server)
				r, _ := http.ReadRequest(in)
				_, _ = io.ReadFull(r.Body, make([]byte, 2))
				_, _ = io.WriteString(server, c.answer)
				if c.ends {
					if c.answer != "" { // once it is read
						for bodies.Memory.Reserved() < 5 {
							time.Sleep(time.Millisecond)
						}
					}
					resetConn(t, server)
				}
			}()
			r, reuse, err := u.RoundTrip(testContext(t), UpstreamRequest{
				Head: []byte("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 4\r\n\r\n"),
				Rest: rest, OnResponseStart: func(protocol.UpstreamResponse) { require.Fail(t, "begun") },
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
