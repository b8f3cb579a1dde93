package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/scenario"
)

// agentConn is an agent's end of a connection.
type agentConn struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func dialAgentConn(t *testing.T, addr string) *agentConn {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err, "connections are established during faults")
	t.Cleanup(func() { _ = c.Close() })
	return &agentConn{t, c, bufio.NewReader(c)}
}

func (c *agentConn) sendRequest() {
	_, err := io.WriteString(c, "GET /?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(c.t, err)
}

// hasInputWithin reports whether a byte arrives within a time. It returns an error if the connection ends.
func (c *agentConn) hasInputWithin(within time.Duration) (bool, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.in.Peek(1)
	if timedOut, is := err.(net.Error); is && timedOut.Timeout() {
		return false, nil
	}
	return err == nil, err
}

const (
	silencePeriod = 150 * time.Millisecond // in which nothing may arrive
	eventTimeout  = 10 * time.Second       // limit for an expected event
)

// TestLinkHoldsBytesUntilFaultEnds: each fault holds the bytes of its directions, on open connections and on new
// ones, and they are delivered when the fault ends.
func TestLinkHoldsBytesUntilFaultEnds(t *testing.T) {
	for fault, reachesServer := range map[scenario.ConnFault]bool{
		scenario.StreamSilent: false, scenario.StreamToAgent: false,
		scenario.StreamFromAgent: true,
	} {
		t.Run(string(fault), func(t *testing.T) {
			var requests atomic.Int32
			s, err := Listen("127.0.0.1:0", Events{RequestReceived: func(c *Conn, _ *http.Request, _ []byte) {
				requests.Add(1)
				c.Reply(Reply{Status: 200, Body: "booked\n"}, "")
				c.Close() // held like the response
			}})
			require.NoError(t, err)
			defer s.Close()
			open := dialAgentConn(t, s.Addr())
			for range 2 { // faults are counted
				s.Link().BeginFault(fault)
			}
			s.Link().EndFault(fault)
			conns := []*agentConn{open, dialAgentConn(t, s.Addr())}
			for _, c := range conns {
				c.sendRequest()
				hasInput, err := c.hasInputWithin(silencePeriod)
				require.NoError(t, err, "the connection must stay open without data")
				require.False(t, hasInput)
			}
			if reachesServer {
				require.Eventually(t, func() bool { return requests.Load() == 2 }, eventTimeout, time.Millisecond)
			} else {
				require.Zero(t, requests.Load())
			}
			s.Link().EndFault(fault)
			for _, c := range conns {
				hasInput, err := c.hasInputWithin(eventTimeout)
				require.NoError(t, err)
				require.True(t, hasInput)
				r, err := http.ReadResponse(c.in, nil)
				require.NoError(t, err)
				body, err := io.ReadAll(r.Body)
				require.NoError(t, err)
				require.Equal(t, "booked\n", string(body))
			}
		})
	}
}

func TestLinkResetsConnections(t *testing.T) {
	s, err := Listen("127.0.0.1:0", answerOK(""))
	require.NoError(t, err)
	defer s.Close()
	open := dialAgentConn(t, s.Addr())
	s.Link().BeginFault(scenario.StreamReset)
	c, err := net.Dial("tcp", s.Addr()) // may fail with the reset already
	if err == nil {
		defer c.Close()
		_, err = (&agentConn{t, c, bufio.NewReader(c)}).hasInputWithin(eventTimeout)
	}
	require.ErrorContains(t, err, "reset")
	hasInput, err := open.hasInputWithin(eventTimeout)
	require.ErrorContains(t, err, "reset")
	require.False(t, hasInput)
	s.Link().EndFault(scenario.StreamReset)
	after := dialAgentConn(t, s.Addr())
	after.sendRequest()
	hasInput, err = after.hasInputWithin(eventTimeout)
	require.NoError(t, err)
	require.True(t, hasInput)
}

// TestLinkHoldsDiscoveryStream: a fault also holds discovery's empty lines, and Close does not wait for a fault's end.
func TestLinkHoldsDiscoveryStream(t *testing.T) {
	d, err := ListenDiscovery("127.0.0.1:0", 10*time.Millisecond, func(c *Call) { c.WriteStatus(200) }, func(*Call) {})
	require.NoError(t, err)
	c := dialAgentConn(t, d.Addr)
	c.sendRequest()
	hasInput, _ := c.hasInputWithin(eventTimeout)
	require.True(t, hasInput)
	d.Link().BeginFault(scenario.StreamFromAgent)
	require.Eventually(t, func() bool { // reads what was sent before the fault
		_, _ = c.in.Discard(c.in.Buffered())
		hasInput, err := c.hasInputWithin(silencePeriod)
		return !hasInput && err == nil
	}, eventTimeout, time.Millisecond)
	waiting := dialAgentConn(t, d.Addr)
	waiting.sendRequest()
	d.Link().EndFault(scenario.StreamFromAgent)
	hasInput, _ = waiting.hasInputWithin(eventTimeout)
	require.True(t, hasInput)
	d.Link().BeginFault(scenario.StreamSilent)
	dialAgentConn(t, d.Addr).sendRequest()
	d.Close()
}
