package protocol

import (
	"bufio"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// golden collects decoded values, one a line, and compares them with a golden file.
type golden struct{ lines []string }

func (g *golden) add(key string, value any) {
	g.lines = append(g.lines, fmt.Sprintf("%s = %v", key, value))
}

func (g *golden) check(t *testing.T, name string) {
	t.Helper()
	path, got := filepath.Join("testdata", "golden", name), strings.Join(g.lines, "\n")+"\n"
	if *update {
		require.NoError(t, os.WriteFile(path, []byte(got), 0o600))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
}

func readGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", "golden", name))
	require.NoError(t, err)
	return raw
}

// list adds an endpoint list under the keys on the wire.
func (g *golden) list(key string, p EndpointList) {
	g.add(key+"version", p.Version)
	g.add(key+"full", p.Full)
	for i, s := range p.Endpoints {
		at := fmt.Sprintf("%sservers[%d].", key, i)
		g.add(at+"id", s.ID)
		g.add(at+"addr", s.Addr)
		g.add(at+"zone", s.Zone)
		g.add(at+"kind", s.MachineKind)
		g.add(at+"cell", s.Cell)
		g.add(at+"state", map[balancer.ServerState]string{
			balancer.Ready: "active", balancer.Draining: "leaving", balancer.Gone: "left",
		}[s.State])
		g.add(at+"weight", s.Weight)
		g.add(at+"started", s.StartedAt)
	}
}

// settings adds settings under the keys of the configuration file.
func (g *golden) settings(s Settings) {
	g.add("balancers", s.Balancers)
	g.add("ordinal", s.Self)
	g.add("zone", s.Zone)
	g.add("resolution", s.Tick)
	g.add("overShareWorth", s.OverQuotaWeight)
	g.add("discovery: on_request", s.DiscoveryOnDemand)
	g.add("clientHabits.marksRetry", s.ClientsMarkRetries)
	for i, c := range s.Classes {
		at := fmt.Sprintf("categories[%d].", i)
		g.add(at+"name", c.Name)
		g.add(at+"effect", map[balancer.Idempotency]string{
			balancer.Idempotent: "retryable", balancer.IdempotentWithKey: "dedup", balancer.NotIdempotent: "once",
		}[c.Idempotency])
		g.add(at+"keyScope", map[balancer.DedupScope]string{
			balancer.DedupScopeAll: "all", balancer.DedupScopeZone: "zone", balancer.DedupScopeCell: "cell",
		}[c.DedupScope])
		g.add(at+"aim", c.LatencyObjective)
		g.add(at+"deadline", c.Deadline)
		g.add(at+"memorySpan", c.DedupWindow)
		g.add(at+"aimStretch", c.ObjectivePerWork)
		g.add(at+"lateWorth", c.LateWeight)
		g.add(at+"value", c.PriorityWeight)
		g.add(at+"stream", c.Streaming)
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("customers[%d].", i)
		g.add(at+"name", t.Name)
		g.add(at+"quotaPerS", t.QuotaPerSecond)
		g.add(at+"share", t.Share)
	}
	g.add("bounds.cancel", s.Limits.Cancel)
	g.add("bounds.mayTell", s.Limits.Gossip)
	g.add("bounds.probes", s.Limits.Probes)
	g.add("bounds.retryAfter", s.Limits.RetryAfter)
	g.add("bounds.secondCopies", s.Limits.Hedging)
	g.add("bounds.sendCap", s.Limits.MaxAttempts)
	g.add("bounds.maxRetryAfter", s.Limits.MaxRetryAfter)
	g.add("bounds.connIdle", s.ConnIdleTimeout)
	g.add("bounds.connectTimeout", s.ConnectTimeout)
	g.add("rules.askWithin", s.Rules.MaxPollInterval)
	g.add("rules.cold", s.Rules.SlowStartDuration)
	g.add("rules.fall", s.Rules.OverloadWindow)
	g.add("rules.stopSendingWithin", s.Rules.DrainGrace)
	g.add("rules.fallMultiple", s.Rules.OverloadMultiple)
	g.add("rules.startCapacity", s.Rules.SlowStartCapacity)
	g.add("rules.onlyDrainingBinds", s.Rules.GoneUsable)
	g.add("prices.crossZone", s.Costs.CrossZone)
	g.add("prices.waste", s.Costs.WastedWork)
	g.add("prices.probe", s.Costs.Probe)
	g.add("prices.peer", s.Costs.PeerMessage)
	g.add("prices.lateFail", s.Costs.LateFailure)
	g.add("goal.whole", s.ScoreWeights.Total)
	g.add("goal.worstWindow", s.ScoreWeights.WorstWindow)
	g.add("goal.worstClass", s.ScoreWeights.WorstClass)
	g.add("goal.worstTenant", s.ScoreWeights.WorstTenant)
	g.add("goal.slowEnd", s.ScoreWeights.TailLatency)
	g.add("goal.tailMiss", s.ScoreWeights.TailMissRatio)
}

// TestConfigGolden checks the decoded value of each key of LB_CONFIG, and that a faulty file is rejected.
func TestConfigGolden(t *testing.T) {
	for _, name := range []string{"config", "least"} {
		t.Run(name, func(t *testing.T) {
			c, err := DecodeConfig(readGolden(t, name+".json"))
			require.NoError(t, err)
			var g golden
			g.add("name", c.Name)
			g.add("listen", c.Listen)
			g.add("discovery", c.Discovery)
			g.add("ops", c.Ops)
			g.add("seed", c.Seed)
			g.add("limits.cores", c.Limits.Cores)
			g.add("limits.memory_mb", c.Limits.MemoryMB)
			g.add("limits.sockets", c.Limits.Sockets)
			g.add("peer_listen", c.PeerListen)
			for i, p := range c.Peers {
				g.add(fmt.Sprintf("peers[%d]", i), p)
			}
			g.add("peers_all", c.PeersAll)
			g.list("known.", c.KnownEndpoints)
			g.settings(c.Settings)
			g.check(t, name+".txt")
		})
	}
	t.Run("faulty", func(t *testing.T) {
		raw := readGolden(t, "faulty.json")
		_, err := DecodeConfig(raw)
		require.Error(t, err)
		for _, p := range CheckConfig(raw, func(Config) (string, error) { return "", nil }) {
			require.Positive(t, p.Line)
			require.Positive(t, p.Column)
		}
	})
}

// TestDiscoveryGolden decodes complete lists, changes and malformed objects, one a line.
func TestDiscoveryGolden(t *testing.T) {
	var g golden
	n := 0
	for line := range strings.Lines(string(readGolden(t, "discovery.jsonl"))) {
		n++
		dropped := 0
		p, err := DecodeEndpointList([]byte(line), func(err error) {
			require.Error(t, err)
			dropped++
		})
		at := fmt.Sprintf("%d: ", n)
		if err != nil {
			g.add(at+"error", true)
			continue
		}
		g.list(at, p)
		g.add(at+"dropped", dropped)
	}
	g.check(t, "discovery.txt")
}

// TestDiscoveryCallGolden checks the calls to discovery byte for byte, and reading its response headers.
func TestDiscoveryCallGolden(t *testing.T) {
	var b []byte
	for _, c := range []ListRequest{{}, {Watch: true}, {Watch: true, FromVersion: 1234567890123}, {Watch: true, FromVersion: -1}} {
		b = AppendListRequest(b, "127.0.0.1:9002", c)
	}
	if path := filepath.Join("testdata", "golden", "calls.http"); *update {
		require.NoError(t, os.WriteFile(path, b, 0o600))
	}
	require.Equal(t, string(readGolden(t, "calls.http")), string(b))
	for name, c := range map[string]struct {
		head, body string
		wantErr    bool
	}{
		"watch": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13\r\n{\"version\":1}\n{\"ver\r\n6\r\nsion\":\r\n0\r\n\r\n",
			"{\"version\":1}\n{\"version\":", false,
		},
		"full list": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}", false},
		"busy":      {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "", true},
		"redirect":  {"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", "", true},
		"not HTTP":  {"hello\r\n\r\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := ReadListHeader(bufio.NewReader(strings.NewReader(c.head)))
			if c.wantErr {
				require.Error(t, err)
				return
			}
			require.NoError(t, err)
			text, err := io.ReadAll(body)
			require.NoError(t, err)
			require.Equal(t, c.body, string(text))
		})
	}
}
