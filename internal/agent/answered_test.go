package agent

import (
	"bufio"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/transport"
)

// A step whose operation got its final answer while it waited for its connection is not sent on any more; the
// connection, which came up for it, serves the next one.
func TestNothingIsSentOnAfterTheFinalAnswer(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer l.Close()
	came := make(chan string, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				in := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					came <- r.Header.Get("X-Correlation-Id")
					_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
				}
			}()
		}
	}()
	k := newClock()
	reports := make(chan any, 4)
	b := startUpstream(upstreamSettings{
		clock: k, connectTimeout: time.Minute, reuseDelay: routing.ReuseDelay, connectTimeouts: &connectTimeouts{},
		idleLimit:   &idleLimit{core: routing.NewIdleLimit(k.now(), time.Hour)},
		descriptors: transport.NewDescriptors(16, func() {}), metrics: metrics.New(nil),
		bodies: transport.NewBodyLimits(1<<20, transport.BodyRules{MaxBytes: 1 << 20, ClientStall: time.Second, ClientLag: time.Second}),
	},
		l.Addr().(*net.TCPAddr).AddrPort(), func(m any) { reports <- m })
	step := func(id string) *attempt {
		until := k.now() + time.Minute
		return newAttempt(&request{Request: &protocol.Request{
			Method: http.MethodGet, Target: "/consult",
			CorrelationID: id, Class: "consult", TimeLeft: time.Minute,
		}}, routing.Output{At: until, Deadline: until}, k)
	}
	late := step("000000000000000a")
	late.unwanted = true // as if the answer had crossed the connection's coming up
	b.mail.put(late)
	require.Equal(t, balancer.Canceled, (<-reports).(attemptEnded).result.Outcome())
	b.mail.put(step("000000000000000b"))
	require.Equal(t, balancer.Served, (<-reports).(attemptEnded).result.Outcome())
	require.Equal(t, "000000000000000b", <-came, "and nothing before it")

	// Its end comes while its connection is being opened: by order of events, since the moment between the two is not
	// to be had from outside. What has begun goes on.
	crossed := step("000000000000000d")
	crossed.resetWritten()
	crossed.cancelIfUnsent()
	require.False(t, crossed.mayWrite())
	begun := step("000000000000000e")
	require.True(t, begun.mayWrite())
	begun.cancelIfUnsent()
	require.NoError(t, begun.ctx.Err())

	waits := step("000000000000000c")
	waits.cancelIfUnsent()
	require.Error(t, waits.ctx.Err(), "it does not wait for its connection any longer")
	b.mail.put(retire{})
}
