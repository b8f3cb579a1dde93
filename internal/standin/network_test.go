package standin

import (
	"fmt"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/scenario"
)

// udpAgent is an agent that only sends and receives datagrams.
type udpAgent struct {
	*net.UDPConn
	mu       sync.Mutex
	received []string
}

func (a *udpAgent) receivedSoFar() []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return append([]string(nil), a.received...)
}

// startUDPAgents starts n agents on a network.
func startUDPAgents(t testing.TB, n int) (agents []*udpAgent, network *Network) {
	var addrs []netip.AddrPort
	for range n {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
		require.NoError(t, err)
		a := &udpAgent{UDPConn: c}
		agents, addrs = append(agents, a), append(addrs, c.LocalAddr().(*net.UDPAddr).AddrPort())
		done := make(chan struct{})
		go func() {
			defer close(done)
			buf := make([]byte, 2048)
			for {
				n, err := c.Read(buf)
				if err != nil {
					return
				}
				a.mu.Lock()
				a.received = append(a.received, string(buf[:n]))
				a.mu.Unlock()
			}
		}()
		t.Cleanup(func() { _ = c.Close(); <-done })
	}
	network, err := ListenNetwork("127.0.0.2", addrs, 5)
	require.NoError(t, err)
	t.Cleanup(network.Close)
	return agents, network
}

func (a *udpAgent) send(t testing.TB, addr, text string) {
	_, err := a.WriteToUDPAddrPort([]byte(text), netip.MustParseAddrPort(addr))
	require.NoError(t, err)
}

// TestNetworkAppliesFaultsByDirection checks on sockets that a fault applies to one direction, that delayed copies
// arrive when they are due and not before, and that faults apply to each receiver of a broadcast by itself.
func TestNetworkAppliesFaultsByDirection(t *testing.T) {
	agents, n := startUDPAgents(t, 3)
	addrs := func(of int) []string { each, _ := n.Addrs(of); return each }
	requireReceived := func(agent int, want ...string) {
		t.Helper()
		require.Eventually(t, func() bool { return fmt.Sprint(agents[agent].receivedSoFar()) == fmt.Sprint(want) }, eventTimeout, time.Millisecond,
			"%v", want)
	}
	cut, err := n.BeginFault(mishap.Fault{From: []int{0}, To: []int{1}, Impairment: mishap.Impairment{Cut: true}})
	require.NoError(t, err)
	_, everyone := n.Addrs(0)
	agents[0].send(t, everyone, "to all")
	requireReceived(2, "to all")
	agents[1].send(t, addrs(1)[0], "back")
	requireReceived(0, "back")
	require.Empty(t, agents[1].receivedSoFar())
	n.EndFault(cut)
	const delay = 200 * time.Millisecond
	slow, err := n.BeginFault(mishap.Fault{From: []int{0}, Impairment: mishap.Impairment{Duplicate: 1, Delay: scenario.ExactTime(delay)}})
	require.NoError(t, err)
	sent := time.Now()
	agents[0].send(t, addrs(0)[1], "late")
	require.Eventually(t, func() bool { return n.Stats().Duplicated == 1 }, eventTimeout, time.Millisecond)
	n.EndFault(slow)
	agents[0].send(t, addrs(0)[1], "first")
	requireReceived(1, "first", "late", "late")
	require.GreaterOrEqual(t, time.Since(sent), delay)
	f := n.Stats()
	require.Equal(t, 5, f.Datagrams)
	require.Equal(t, 1, f.Cut)
	require.EqualValues(t, 2, f.Lateness.TotalCount())
	_, err = n.BeginFault(mishap.Fault{Impairment: mishap.Impairment{Loss: 2}})
	require.ErrorContains(t, err, "loss is 2")
}

// BenchmarkNetwork measures the fraction of datagrams that the network forwards between 50 agents under faults at
// several rates, and the lateness of delayed copies.
func BenchmarkNetwork(b *testing.B) {
	for _, rate := range []int{5_000, 20_000, 50_000} {
		b.Run(fmt.Sprint(rate, "/s"), func(b *testing.B) {
			agents, n := startUDPAgents(b, 50)
			_, err := n.BeginFault(mishap.Fault{Impairment: mishap.Impairment{Loss: 0.1, Duplicate: 0.1, Reorder: 0.1, HoldTime: scenario.ExactTime(20 * time.Millisecond)}})
			require.NoError(b, err)
			data, sent := string(make([]byte, 256)), 0
			for b.Loop() {
				each, _ := n.Addrs(sent % 50)
				agents[sent%50].send(b, each[(sent+1+sent/50%49)%50], data)
				if sent++; sent%10 == 0 {
					time.Sleep(time.Duration(sent)*time.Second/time.Duration(rate) - b.Elapsed())
				}
			}
			elapsed := b.Elapsed().Seconds()
			time.Sleep(100 * time.Millisecond)
			f := n.Stats()
			b.ReportMetric(float64(sent)/elapsed, "sent/s")
			b.ReportMetric(float64(f.Datagrams)/float64(sent), "passed/sent")
			b.ReportMetric(float64(f.Lateness.ValueAtQuantile(50)), "late-p50-us")
			b.ReportMetric(float64(f.Lateness.ValueAtQuantile(99)), "late-p99-us")
		})
	}
}
