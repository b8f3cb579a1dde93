package transport

import (
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// connectedPair returns both ends of a connection, and the access to the accepted one's descriptor.
func connectedPair(t *testing.T) (client net.Conn, accepted *net.TCPConn, raw syscall.RawConn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	client, err = net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = client.Close() })
	inner, err := l.Accept()
	require.NoError(t, err)
	t.Cleanup(func() { _ = inner.Close() })
	accepted = inner.(*net.TCPConn)
	raw, err = accepted.SyscallConn()
	require.NoError(t, err)
	return client, accepted, raw
}

// A request that waited in its socket while nothing read it is as old as it is, and its client may have left.
func TestArrivalOfDataReadLate(t *testing.T) {
	const delay = 300 * time.Millisecond
	client, accepted, raw := connectedPair(t)
	c := &downstreamConn{Conn: accepted, rawConn: raw, conns: &downstreamConns{descriptors: NewDescriptors(100, func() {})}}
	_, err := io.WriteString(client, "GET / HTTP/1.1\r\n\r\n")
	require.NoError(t, err)
	sentAt := time.Now()
	time.Sleep(delay)
	n, err := c.Read(make([]byte, 100))
	require.NoError(t, err)
	require.Positive(t, n)
	require.WithinDuration(t, sentAt, c.receivedAt, 50*time.Millisecond)
	require.False(t, c.isClosedByClient())
	require.NoError(t, client.Close())
	require.Eventually(t, c.isClosedByClient, 5*time.Second, time.Millisecond)
}

// Guards against a client that has gone and counts as open, since bytes that it sent before are unread: a close and a reset
// are known behind them. A client that is open and has sent bytes is not taken for one that has gone.
func TestCloseBehindUnreadBytes(t *testing.T) {
	for name, end := range map[string]func(*net.TCPConn) error{
		"close":      (*net.TCPConn).Close,
		"half close": (*net.TCPConn).CloseWrite,
		"reset": func(c *net.TCPConn) error {
			return errors.Join(c.SetLinger(0), c.Close())
		},
	} {
		t.Run(name, func(t *testing.T) {
			client, accepted, raw := connectedPair(t)
			c := &downstreamConn{Conn: accepted, rawConn: raw, conns: &downstreamConns{descriptors: NewDescriptors(100, func() {})}}
			require.False(t, c.isClosedByClient())
			_, err := io.WriteString(client, testRequest+testRequest)
			require.NoError(t, err)
			require.Eventually(t, c.hasInput, 5*time.Second, time.Millisecond)
			require.False(t, c.isClosedByClient(), "open, with unread bytes")
			require.NoError(t, end(client.(*net.TCPConn)))
			require.Eventually(t, c.isClosedByClient, 5*time.Second, time.Millisecond)
		})
	}
}

// Where the system does not tell the age of data, a late timer shows that this process was not scheduled.
func TestPauseMonitor(t *testing.T) {
	var m pauseMonitor
	require.WithinDuration(t, time.Now(), m.earliestArrival(), time.Second)
	now := int64(time.Since(m.startedAt))
	m.tickedAt.Store(now - int64(time.Second)) // as if the process had been stopped for a second
	require.WithinDuration(t, time.Now().Add(-time.Second), m.earliestArrival(), 100*time.Millisecond)
	m.tick()
	require.WithinDuration(t, time.Now().Add(-time.Second), m.earliestArrival(), 100*time.Millisecond, "right after the pause")
	time.Sleep(10 * pauseTick)
	require.Less(t, time.Since(m.earliestArrival()), 500*time.Millisecond)
}
