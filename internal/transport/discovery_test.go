package transport

import (
	"context"
	"io"
	"net"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// serveOneCall accepts one connection, which serve may use until the other side has closed it, and returns the address.
func serveOneCall(t *testing.T, serve func(c net.Conn, clientClosed <-chan struct{})) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, acceptErr := l.Accept()
		if acceptErr != nil {
			return
		}
		clientClosed := make(chan struct{})
		go func() { _, _ = io.Copy(io.Discard, c); close(clientClosed) }()
		serve(c, clientClosed)
		<-clientClosed
		_ = c.Close()
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// watchObjects watches at an address until the watch ends, and calls received with each object.
func watchObjects(ctx context.Context, addr netip.AddrPort, received func(raw []byte)) error {
	return CallDiscovery(ctx, addr, protocol.ListRequest{Watch: true}, CallHandlers{
		Accepted: func() {}, KeptAlive: func() {}, Object: received,
	})
}

// The objects of a watch are read whatever white space they contain. The timeout for the rest of an object must be
// shorter than that for the next object, and empty lines must not extend it.
func TestWatchObjectsAndStall(t *testing.T) {
	pieces := []string{
		"HTTP/1.1 200 OK\r\n\r\n", "{\"version\":43}\n", "\n", "{\n  \"version\"", ": 44\n", "}\n\n",
		"{\"version\":45} {\"version\":46}", "\r\n", "{\n\"version\":", "\n\n",
	}
	addr := serveOneCall(t, func(c net.Conn, clientClosed <-chan struct{}) {
		for i := 0; ; i++ {
			_, _ = io.WriteString(c, pieces[min(i, len(pieces)-1)])
			select {
			case <-clientClosed:
				return
			case <-time.After(20 * time.Millisecond):
			}
		}
	})
	var objects []string
	startedAt := time.Now()
	err := watchObjects(context.Background(), addr, func(raw []byte) { objects = append(objects, string(raw)) })
	var silence *routing.SilenceError
	require.ErrorAs(t, err, &silence)
	require.Equal(t, objectStallTimeout, silence.Duration)
	require.Equal(t, []string{`{"version":43}`, "{\n  \"version\": 44\n}", `{"version":45}`, `{"version":46}`}, objects)
	require.Less(t, time.Since(startedAt), watchSilenceTimeout-500*time.Millisecond)
}

// An object that comes byte by byte must not hold a watch for longer than its changes may stay unknown. The silence counts
// from its first byte: its changes were made before.
func TestTrickledObjectEndsWatch(t *testing.T) {
	t.Parallel()
	const interval = 300 * time.Millisecond
	addr := serveOneCall(t, func(c net.Conn, _ <-chan struct{}) {
		_, err := io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{\"version\":43}\n{\"version\":")
		for err == nil {
			time.Sleep(interval)
			_, err = io.WriteString(c, "1")
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), missedKnownAfter+time.Second)
	defer cancel()
	var objects []string
	startedAt := time.Now()
	err := watchObjects(ctx, addr, func(raw []byte) { objects = append(objects, string(raw)) })
	var silence *routing.SilenceError
	require.ErrorAs(t, err, &silence)
	require.Equal(t, []string{`{"version":43}`}, objects)
	require.Less(t, time.Since(startedAt), missedKnownAfter)
	require.InDelta(t, time.Since(startedAt), silence.Duration, float64(interval))
}

// An object that can't be read ends the watch at once, and is reported as such, though discovery keeps the connection open.
func TestUnreadableObjectEndsWatchAtOnce(t *testing.T) {
	t.Parallel()
	addr := serveOneCall(t, func(c net.Conn, _ <-chan struct{}) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"version\":43]\n\n\r\n")
	})
	startedAt := time.Now()
	err := watchObjects(context.Background(), addr, func([]byte) {})
	var unreadable *routing.UnreadableError
	require.ErrorAs(t, err, &unreadable)
	require.Less(t, time.Since(startedAt), objectStallTimeout)
}

// missedKnownAfter is when a change that was not received counts as known.
const missedKnownAfter = 6 * time.Second

// An endless object must not be read into memory.
func TestEndlessObjectIsAnError(t *testing.T) {
	endless := io.MultiReader(strings.NewReader("{"), endlessBlanks{})
	silence := newSilenceTimer(time.Hour, nil, func() {})
	err := readObjects(&watchBody{Reader: endless, silence: silence, onKeptAlive: func() {}}, func([]byte) {})
	var unread *routing.UnreadableError
	require.ErrorAs(t, err, &unread)
	require.ErrorIs(t, unread.Err, errListTooLong)
}

type endlessBlanks struct{}

func (endlessBlanks) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = ' '
	}
	return len(b), nil
}

// Only discovery's silence ends a watch: not the time that this process takes for an object, or finds it received.
func TestWatchGoesOnWhereThisProcessIsSlow(t *testing.T) {
	addr := serveOneCall(t, func(c net.Conn, _ <-chan struct{}) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\n{\"version\":43}\n{\"version\":44}\n")
	})
	var objects []string
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	err := watchObjects(ctx, addr, func(raw []byte) {
		objects = append(objects, string(raw))
		time.Sleep(objectStallTimeout + 200*time.Millisecond)
		if len(objects) == 2 {
			cancel()
		}
	})
	require.Equal(t, []string{`{"version":43}`, `{"version":44}`}, objects)
	var silence *routing.SilenceError
	require.NotErrorAs(t, err, &silence)
}
