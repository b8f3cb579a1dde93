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

// booked answers every request.
func booked(fault scenario.Fault) Events {
	return Events{Came: func(c *Conn, _ *http.Request, _ []byte) { c.Reply(Reply{Status: 200, Body: "booked\n"}, fault) }}
}

func ask(s *Server) (string, error) {
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

// A server refuses, says nothing and accepts again, at one address, as often as it is told to.
func TestGates(t *testing.T) {
	s, err := Listen("127.77.0.1:0", booked(""))
	require.NoError(t, err)
	defer s.Close()
	for range 3 {
		require.NoError(t, s.Accept())
		require.Eventually(t, func() bool {
			text, err := ask(s)
			return err == nil && strings.HasSuffix(text, "booked\n")
		}, 10*time.Second, time.Millisecond)
		s.Refuse()
		_, err = ask(s)
		require.ErrorContains(t, err, "refused")
		require.NoError(t, s.Mute())
		require.Eventually(t, func() bool {
			_, err := ask(s)
			timedOut, is := err.(net.Error)
			return is && timedOut.Timeout()
		}, 10*time.Second, time.Millisecond)
	}
	s.Close()
	require.ErrorIs(t, s.Accept(), net.ErrClosed)
}

// A connection that came up as the server was muted is served: its request does not lie unread until the server
// accepts again.
func TestUpBeforeTheMute(t *testing.T) {
	s, err := Listen("127.77.0.1:0", booked(""))
	require.NoError(t, err)
	defer s.Close()
	for range 20 {
		require.NoError(t, s.Accept())
		_ = s.listener.SetDeadline(time.Unix(1, 0)) // it is slow to accept
		c, err := net.Dial("tcp", s.Addr())
		require.NoError(t, err)
		require.NoError(t, s.Mute())
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
		require.NoError(t, err)
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		text, err := bufio.NewReader(c).ReadString('\n')
		require.NoError(t, err)
		require.Contains(t, text, "200")
		require.Eventually(t, s.Full, 10*time.Second, time.Millisecond)
		c.Close()
	}
}

// A server that still takes the room for connections does not say that there is none: a connection of its own that has
// the room for the system, and for itself came too late, is taken in, and whoever comes next is up.
func TestNotFullWhileTheRoomIsTaken(t *testing.T) {
	s, err := Listen("127.77.0.1:0", booked(""))
	require.NoError(t, err)
	defer s.Close()
	_ = s.listener.SetDeadline(time.Unix(1, 0)) // nobody accepts
	s.mu.Lock()
	require.NoError(t, s.backlog(0))
	s.fills++
	s.mu.Unlock()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	require.Eventually(t, func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return s.noRoom()
	}, 10*time.Second, time.Millisecond)
	require.False(t, s.Full())
	s.mu.Lock()
	s.fills--
	s.mu.Unlock()
	require.True(t, s.Full())
}

// A connection that does not come up is counted, and of its own process alone; one that is up is not.
func TestConnecting(t *testing.T) {
	s, err := Listen("127.77.0.1:0", booked(""))
	require.NoError(t, err)
	defer s.Close()
	up, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer up.Close()
	require.NoError(t, s.Mute())
	require.Eventually(t, s.Full, 10*time.Second, time.Millisecond)
	before, err := Connecting(os.Getpid())
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = new(net.Dialer).DialContext(ctx, "tcp", s.Addr())
	}()
	require.Eventually(t, func() bool {
		n, err := Connecting(os.Getpid())
		return err == nil && n == before+1
	}, 10*time.Second, time.Millisecond)
	others, err := Connecting(os.Getppid())
	require.NoError(t, err)
	require.Zero(t, others)
	cancel()
	<-ended
	n, err := Connecting(os.Getpid())
	require.NoError(t, err)
	require.Equal(t, before, n)
}

// What has got into a muted server all the same is reset when it accepts again: its request is old by then.
func TestInspiteOfTheMute(t *testing.T) {
	s, err := Listen("127.77.0.1:0", booked(""))
	require.NoError(t, err)
	defer s.Close()
	require.NoError(t, s.Mute())
	require.Eventually(t, s.Full, 10*time.Second, time.Millisecond)
	s.mu.Lock()
	require.NoError(t, s.backlog(1)) // as where two come up at one moment
	s.mu.Unlock()
	c, err := net.Dial("tcp", s.Addr())
	require.NoError(t, err)
	defer c.Close()
	_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(t, err)
	require.NoError(t, s.Accept())
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	_, err = c.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	text, err := ask(s)
	require.NoError(t, err)
	require.Contains(t, text, "200")
}

// What a client makes of the end of its connection: an agent that has not read a request resets, and one that has
// ends without a word. Between requests an end without a word may have crossed the request.
func TestUnread(t *testing.T) {
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
				client.Ask([]byte(request))
			}, func(unread bool) { ended <- unread })
			close(dialled)
			defer client.Close()
			agent, err := l.Accept()
			require.NoError(t, err)
			raw, err := agent.(*net.TCPConn).SyscallConn()
			require.NoError(t, err)
			require.NoError(t, raw.Read(func(fd uintptr) bool { // it has come, read or not
				n, _, _ := syscall.Recvfrom(int(fd), make([]byte, 1024), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
				return n == len(request)
			}))
			c.agent(agent)
			require.Equal(t, c.unread, <-ended)
		})
	}
}
