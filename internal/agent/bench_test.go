package agent_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/agent"
	"dunestep/internal/balancer"
	"dunestep/internal/metrics"
	"dunestep/internal/protocol"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

// startEndpoint starts an endpoint that answers every request with the same response, and returns its address.
func startEndpoint(b testing.TB, size int) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = l.Close() })
	text := []byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size)))
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				in := make([]byte, 4096) // a request arrives in one read here
				for {
					if _, err := c.Read(in); err != nil {
						return
					}
					if _, err := c.Write(text); err != nil {
						return
					}
				}
			}()
		}
	}()
	return l.Addr().String()
}

// startAgent runs an agent in this process for one endpoint, and returns the address of its listener.
func startAgent(b *testing.B, server string) string {
	return startAgentWithObjective(b, time.Minute, server)
}

// startAgentWithObjective runs an agent in this process for endpoints and requests with a latency objective, and returns the
// address of its listener.
func startAgentWithObjective(b testing.TB, objective time.Duration, servers ...string) string {
	descriptors := transport.NewDescriptors(1024, func() {})
	bodies := transport.NewBodyLimits(24<<20, transport.BodyRules{MaxBytes: 4 << 20, ClientStallTimeout: 2 * time.Second, MaxClientLag: time.Second})
	class := balancer.Class{Name: "consult", LatencyObjective: objective, Deadline: objective}
	list := protocol.EndpointList{Version: 1, Full: true}
	for i, s := range servers {
		list.Endpoints = append(list.Endpoints, protocol.Endpoint{
			Server: balancer.Server{ID: fmt.Sprint("s-", i), Weight: 1}, Addr: netip.MustParseAddrPort(s),
		})
	}
	a, err := agent.Start(agent.Settings{
		Seed: 1, Descriptors: descriptors, Bodies: bodies,
		Deployment: protocol.Settings{ConnIdleTimeout: time.Hour, ConnectTimeout: time.Minute, Settings: balancer.Settings{
			Balancers: 1, Classes: []balancer.Class{class}, Tick: time.Millisecond,
			Limits: balancer.Limits{MaxAttempts: 3},
		}},
		Initial: state.Initial{ListAge: -1, List: list},
	})
	require.NoError(b, err)
	free, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	addr := free.Addr().(*net.TCPAddr).AddrPort()
	require.NoError(b, free.Close())
	listener := transport.NewListener(descriptors, bodies, metrics.New(nil), a)
	require.NoError(b, listener.Listen(addr, protocol.HTTP))
	go func() { _ = listener.Serve() }()
	b.Cleanup(listener.Close)
	return addr.String()
}

func reverseProxy(b *testing.B, server string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	s := &http.Server{Handler: httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: server})}
	go func() { _ = s.Serve(l) }()
	b.Cleanup(func() { _ = s.Close() })
	return l.Addr().String()
}

// BenchmarkResponses forwards responses one after another on one connection, through an agent and through a reverse proxy. Run
// it with -cpu 1. Client and endpoint are included, and are the same for both.
func BenchmarkResponses(b *testing.B) {
	for _, size := range []int{300, 8_000, 400_000} {
		for name, start := range map[string]func(*testing.B, string) string{"agent": startAgent, "ReverseProxy": reverseProxy} {
			b.Run(fmt.Sprintf("%s/%d", name, size), func(b *testing.B) {
				c, err := net.Dial("tcp", start(b, startEndpoint(b, size)))
				require.NoError(b, err)
				defer func() { _ = c.Close() }()
				in := bufio.NewReaderSize(c, 64<<10)
				id := 0
				roundTrip := func() {
					id++
					_, err := fmt.Fprintf(c, "GET /consult HTTP/1.1\r\nHost: x\r\nX-Correlation-Id: %016x\r\nX-Time-Left-Ms: 60000\r\n\r\n", id)
					require.NoError(b, err)
					resp, err := http.ReadResponse(in, nil)
					require.NoError(b, err)
					n, err := io.Copy(io.Discard, resp.Body)
					require.NoError(b, err)
					require.EqualValues(b, size, n)
				}
				roundTrip()
				b.SetBytes(int64(size))
				b.ReportAllocs()
				for b.Loop() {
					roundTrip()
				}
			})
		}
	}
}
