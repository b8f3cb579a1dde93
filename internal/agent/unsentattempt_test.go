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

// An attempt whose request gets its final response while it waits for its connection is not sent any more; the
// connection, which came up for it, serves the next one.
func TestNothingIsSentAfterTheFinalResponse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	came := make(chan string, 4)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
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
		clock: k, maxConnectTimeout: time.Minute, reuseDelay: routing.ReuseDelay, connectTimeouts: &connectTimeouts{},
		idleLimit:   &idleLimit{shared: routing.NewIdleLimit(k.now(), time.Hour)},
		descriptors: transport.NewDescriptors(16, func() {}), metrics: metrics.New(nil),
		bodies: transport.NewBodyLimits(1<<20, transport.BodyRules{MaxBytes: 1 << 20, ClientStall: time.Second, ClientLag: time.Second}),
	},
		l.Addr().(*net.TCPAddr).AddrPort(), func(m any) { reports <- m })
	attemptOf := func(id string) *attempt {
		until := k.now() + time.Minute
		return newAttempt(&request{Request: &protocol.Request{
			Method: http.MethodGet, Target: "/consult",
			CorrelationID: id, Class: "consult", TimeLeft: time.Minute,
		}}, routing.Output{At: until, Deadline: until}, k)
	}
	late := attemptOf("000000000000000a")
	late.unwanted = true // as if the response came while the connection was being opened
	b.mail.put(late)
	require.Equal(t, balancer.Canceled, (<-reports).(attemptEnded).result.Outcome())
	b.mail.put(attemptOf("000000000000000b"))
	require.Equal(t, balancer.Served, (<-reports).(attemptEnded).result.Outcome())
	require.Equal(t, "000000000000000b", <-came, "and nothing before it")

	// The response comes while the connection is being opened: by the order of calls, since that moment can't be chosen
	// from outside. An attempt that is being written goes on.
	crossed := attemptOf("000000000000000d")
	crossed.resetWriting()
	crossed.cancelIfUnsent()
	require.False(t, crossed.beginWriting())
	begun := attemptOf("000000000000000e")
	require.True(t, begun.beginWriting())
	begun.cancelIfUnsent()
	require.NoError(t, begun.ctx.Err())

	waits := attemptOf("000000000000000c")
	waits.cancelIfUnsent()
	require.Error(t, waits.ctx.Err(), "it does not wait for its connection any more")
	b.mail.put(retire{})
}
