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

// caller is an agent's end of a connection.
type caller struct {
	t *testing.T
	net.Conn
	in *bufio.Reader
}

func call(t *testing.T, addr string) *caller {
	c, err := net.Dial("tcp", addr)
	require.NoError(t, err, "it comes up whatever the fault")
	t.Cleanup(func() { _ = c.Close() })
	return &caller{t, c, bufio.NewReader(c)}
}

func (c *caller) ask() {
	_, err := io.WriteString(c, "GET /?watch=1 HTTP/1.1\r\nHost: x\r\n\r\n")
	require.NoError(c.t, err)
}

// hears tells whether an answer's head comes soon; its error is that it is not silence.
func (c *caller) hears(within time.Duration) (bool, error) {
	_ = c.SetReadDeadline(time.Now().Add(within))
	_, err := c.in.Peek(1)
	if timedOut, is := err.(net.Error); is && timedOut.Timeout() {
		return false, nil
	}
	return err == nil, err
}

const (
	quiet = 150 * time.Millisecond // in which nothing is to come
	soon  = 10 * time.Second       // by when what is to come has come
)

// Each fault keeps from passing what it says, on open connections and on new ones, and what waited comes when it is
// over.
func TestStrait(t *testing.T) {
	for fault, reaches := range map[scenario.Fault]bool{
		scenario.StreamSilent: false, scenario.StreamToAgent: false,
		scenario.StreamFromAgent: true,
	} {
		t.Run(string(fault), func(t *testing.T) {
			var came atomic.Int32
			s, err := Listen("127.0.0.1:0", Events{Came: func(c *Conn, _ *http.Request, _ []byte) {
				came.Add(1)
				c.Reply(Reply{Status: 200, Body: "booked\n"}, "")
				c.Close() // which is held with the rest
			}})
			require.NoError(t, err)
			defer s.Close()
			open := call(t, s.Addr())
			for range 2 { // as often as it likes
				s.Way().Begin(fault)
			}
			s.Way().End(fault)
			both := []*caller{open, call(t, s.Addr())}
			for _, c := range both {
				c.ask()
				any, err := c.hears(quiet)
				require.NoError(t, err, "silence, and no end")
				require.False(t, any)
			}
			if reaches {
				require.Eventually(t, func() bool { return came.Load() == 2 }, soon, time.Millisecond)
			} else {
				require.Zero(t, came.Load())
			}
			s.Way().End(fault)
			for _, c := range both {
				any, err := c.hears(soon)
				require.NoError(t, err)
				require.True(t, any)
				r, err := http.ReadResponse(c.in, nil)
				require.NoError(t, err)
				body, err := io.ReadAll(r.Body)
				require.NoError(t, err)
				require.Equal(t, "booked\n", string(body))
			}
		})
	}
}

func TestStraitResets(t *testing.T) {
	s, err := Listen("127.0.0.1:0", booked(""))
	require.NoError(t, err)
	defer s.Close()
	open := call(t, s.Addr())
	s.Way().Begin(scenario.StreamReset)
	c, err := net.Dial("tcp", s.Addr()) // which may see the reset already
	if err == nil {
		defer c.Close()
		_, err = (&caller{t, c, bufio.NewReader(c)}).hears(soon)
	}
	require.ErrorContains(t, err, "reset")
	any, err := open.hears(soon)
	require.ErrorContains(t, err, "reset")
	require.False(t, any)
	s.Way().End(scenario.StreamReset)
	after := call(t, s.Addr())
	after.ask()
	any, err = after.hears(soon)
	require.NoError(t, err)
	require.True(t, any)
}

// Discovery too: its empty lines are not heard while it is silent, and closing it waits for no fault's end.
func TestStraitOfDiscovery(t *testing.T) {
	d, err := ListenDiscovery("127.0.0.1:0", 10*time.Millisecond, func(c *Call) { c.Begin(200) }, func(*Call) {})
	require.NoError(t, err)
	c := call(t, d.Addr)
	c.ask()
	any, _ := c.hears(soon)
	require.True(t, any)
	d.Way().Begin(scenario.StreamFromAgent)
	require.Eventually(t, func() bool { // what was on its way is read
		_, _ = c.in.Discard(c.in.Buffered())
		any, err := c.hears(quiet)
		return !any && err == nil
	}, soon, time.Millisecond)
	waits := call(t, d.Addr)
	waits.ask()
	d.Way().End(scenario.StreamFromAgent)
	any, _ = waits.hears(soon)
	require.True(t, any)
	d.Way().Begin(scenario.StreamSilent)
	call(t, d.Addr).ask()
	d.Close()
}
