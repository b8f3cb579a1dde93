package standin

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"dunestep/internal/rehearsal/scenario"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// answerOK answers every request with status 200.
func answerOK(fault scenario.ConnFault) Events {
	return Events{RequestReceived: func(c *Conn, _ *http.Request, _ []byte) { c.Reply(Reply{Status: 200, Body: "booked\n"}, fault) }}
}

func sendRequest(s *Server) (string, error) {
	c, err := net.DialTimeout("tcp", s.Addr(), 300*time.Millisecond)
	if err != nil {
		return "", err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(300 * time.Millisecond))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	buf := make([]byte, 1024)
	n, err := c.Read(buf)
	return string(buf[:n]), err
}

// TestServerRefusesIgnoresAndAcceptsAgain: a server can refuse, leave unanswered and accept connections repeatedly at the
// same address.
func TestServerRefusesIgnoresAndAcceptsAgain(t *testing.T) {
	s, err := Listen("127.77.0.1:0", answerOK(""))
	require.NoError(t, err)
	defer s.Close()
	for range 3 {
		require.NoError(t, s.AcceptConnections())
		require.Eventually(t, func() bool {
			text, err := sendRequest(s)
			return err == nil && strings.HasSuffix(text, "booked\n")
		}, 10*time.Second, time.Millisecond)
		s.RefuseConnections()
		_, err = sendRequest(s)
		require.ErrorContains(t, err, "refused")
		require.NoError(t, s.IgnoreConnections())
		require.Eventually(t, func() bool {
			_, err := sendRequest(s)
			timedOut, is := err.(net.Error)
			return is && timedOut.Timeout()
		}, 10*time.Second, time.Millisecond)
	}
	s.Close()
	require.ErrorIs(t, s.AcceptConnections(), net.ErrClosed)
}

// TestIgnoreConnectionsServesEstablished: a connection established just before IgnoreConnections is served: its
// request does not stay unread until the server accepts again.
func TestIgnoreConnectionsServesEstablished(t *testing.T) {
	s, err := Listen("127.77.0.1:0", answerOK(""))
	require.NoError(t, err)
	defer s.Close()
	for range 20 {
		require.NoError(t, s.AcceptConnections())
		_ = s.listener.SetDeadline(time.Unix(1, 0)) // stops accept
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		require.NoError(t, s.IgnoreConnections())
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		text, err := bufio.NewReader(c).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, text, "200")
		require.Eventually(t, s.IsBacklogFull, 10*time.Second, time.Millisecond)
		c.Close()
	}
}

// TestIsBacklogFullReturnsFalseWhileFilling: IsBacklogFull returns false while fillBacklog runs. A filler can fill the
// backlog although its dial timed out; the server then accepts it, and the next connection attempt succeeds.
func TestIsBacklogFullReturnsFalseWhileFilling(t *testing.T) {
	s, err := Listen("127.77.0.1:0", answerOK(""))
	require.NoError(t, err)
	defer s.Close()
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // stops accept
	s.mu.Lock()
	require.NoError(t, s.setBacklog(0))
	s.activeFills++
	s.mu.Unlock()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.acceptQueueFull()
	}, 10*time.Second, time.Millisecond)
	require.False(t, s.IsBacklogFull())
	s.mu.Lock()
	s.activeFills--
	s.mu.Unlock()
	require.True(t, s.IsBacklogFull())
}

// TestCountConnectingCountsOwnProcessOnly: a connection that is not established is counted for its own process only, and an
// established one is not.
func TestCountConnectingCountsOwnProcessOnly(t *testing.T) {
	s, err := Listen("127.77.0.1:0", answerOK(""))
	require.NoError(t, err)
	defer s.Close()
	up, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer up.Close()
	require.NoError(t, s.IgnoreConnections())
	require.Eventually(t, s.IsBacklogFull, 10*time.Second, time.Millisecond)
	before, err := CountConnecting(os.Getpid())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = new(net.Dialer).DialContext(ctx, "tcp", s.Addr())
	}()
	require.Eventually(t, func() bool {
		n, err := CountConnecting(os.Getpid())
		return err == nil && n == before+1
	}, 10*time.Second, time.Millisecond)
	others, err := CountConnecting(os.Getppid())
	require.NoError(t, err)
	require.Zero(t, others)
	cancel()
	<-ended
	n, err := CountConnecting(os.Getpid())
	require.NoError(t, err)
	require.Equal(t, before, n)
}

// TestAcceptConnectionsResetsIgnoredConnections: a connection that got into the backlog during IgnoreConnections is
// reset when the server accepts again, as its request is old by then.
func TestAcceptConnectionsResetsIgnoredConnections(t *testing.T) {
	s, err := Listen("127.77.0.1:0", answerOK(""))
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.IgnoreConnections())
	require.Eventually(t, s.IsBacklogFull, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	require.NoError(t, s.setBacklog(1)) // as if two were established at the same moment
	s.mu.Unlock()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, s.AcceptConnections())
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	text, err := sendRequest(s)
	require.NoError(t, err)
	require.Contains(t, text, "200")
}

// TestClientReportsUnreadRequests: a client tells from the end of its connection whether the agent read the request. An
// agent that has not read it resets the connection, and one that has closes it in order. Between requests, a close in
// order may have crossed the next request.
func TestClientReportsUnreadRequests(t *testing.T) {
	const answered = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		agent  func(net.Conn)
		unread bool
	}{
		"not read": {func(c net.Conn) { _ = c.Close() }, true},
		"read": {func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_ = c.Close()
		}, false},
		"between requests": {func(c net.Conn) {
			in := bufio.NewReader(c)
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, answered)
			_, _ = http.ReadRequest(in)
			_ = c.Close()
		}, true},
		"begun between requests": {func(c net.Conn) {
			in := bufio.NewReader(c)
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, answered)
			_, _ = http.ReadRequest(in)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nboo")
			_ = c.Close()
		}, false},
		"begun": {func(c net.Conn) {
			_, _ = http.ReadRequest(bufio.NewReader(c))
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nboo")
			_ = c.Close()
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			defer l.Close()
			request := "GET / HTTP/1.1\r\nHost: x\r\n\r\n"
			ended := make(chan bool, 1)
			var client *Client
			dialled := make(chan struct{})
			client = Dial(l.Addr().String(), []byte(request), func(*http.Response, []byte) {
				<-dialled
				client.Send([]byte(request))
			}, func(unread bool) { ended <- unread })
			close(dialled)
			defer client.Close()
			agent, err := l.Accept()
			require.NoError(t, err)
			raw, err := agent.(*net.TCPConn).SyscallConn()
			require.NoError(t, err)
			require.NoError(t, raw.Read(func(fd uintptr) bool { // the request has arrived
				n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1024), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				return n == len(request)
			}))
			c.agent(agent)
			require.Equal(t, c.unread, <-ended)
		})
	}
}
