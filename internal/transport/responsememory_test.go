package transport

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/protocol"
)

// Guards against servers that write heads and then nothing, and so hold the memory that all bodies share; and against a wait
// for memory that counts as the server's: a body waits for its memory once it has begun, and that wait is reported as such.
func TestHeadWithoutBodyHoldsNoMemory(t *testing.T) {
	u, bodies, server := tcpPair(t)
	defer u.Close()
	bodies.Set(1<<20, BodyRules{MaxBytes: 1 << 20, ClientStallTimeout: time.Minute, MaxBuffering: time.Minute})
	hold, err := bodies.Memory.Reserve(t.Context(), bytebudget.Holder{Name: u.server}, bodies.Memory.Limit())
	require.NoError(t, err)
	heads, awaited, begun := make(chan ResponseHead, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	ended := make(chan error, 1)
	const size = 200_000
	go func() {
		_, _, tripErr := u.RoundTrip(testContext(t), UpstreamRequest{
			Head:           []byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"),
			OnResponseHead: func(head ResponseHead) { heads <- head }, OnBodyAwaited: func() { awaited <- struct{}{} },
			OnBodyBegun:     func() { begun <- struct{}{} },
			OnResponseStart: func(r protocol.UpstreamResponse) { go discard(r.BodyStream) },
		})
		ended <- tripErr
	}()
	_, err = http.ReadRequest(bufio.NewReader(server))
	require.NoError(t, err)
	_, err = io.WriteString(server, "HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n")
	require.NoError(t, err)
	head := <-heads
	<-awaited
	require.False(t, head.IsShort)
	require.Equal(t, hold.Size(), bodies.Memory.Reserved(), "the head holds nothing")
	_, err = io.WriteString(server, "x")
	require.NoError(t, err)
	require.Eventually(t, func() bool { return head.Body.Progress().WaitsForMemory }, 10*time.Second, time.Millisecond)
	require.Zero(t, head.Body.Progress().SilentFor, "it waits for memory, not for the server")
	head.Start() // its first bytes are passed on, with or without memory for the rest
	hold.Release()
	<-begun
	_, err = io.WriteString(server, strings.Repeat("x", size-1))
	require.NoError(t, err)
	require.NoError(t, <-ended)
	require.Eventually(t, func() bool { return bodies.Memory.Reserved() == 0 }, 10*time.Second, time.Millisecond)
}

// discard reads a body to its end.
func discard(body *bodystream.Stream) {
	defer body.CloseRead()
	for {
		b, err := body.ReadBuffer()
		if err != nil {
			return
		}
		body.Consume(len(b))
	}
}
