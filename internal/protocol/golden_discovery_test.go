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

	"dunestep/decide"
)

var update = flag.Bool("update", false, "write the golden files anew")

// golden compares what was decoded, line by line, with a golden file.
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

// list adds a list of servers by the keys that discovery writes.
func (g *golden) list(key string, p PoolConfig) {
	g.add(key+"version", p.Version)
	g.add(key+"full", p.Full)
	for i, s := range p.Servers {
		at := fmt.Sprintf("%sservers[%d].", key, i)
		g.add(at+"id", s.ID)
		g.add(at+"addr", s.Addr)
		g.add(at+"zone", s.Zone)
		g.add(at+"kind", s.Kind)
		g.add(at+"cell", s.Cell)
		g.add(at+"state", map[decide.ServerState]string{
			decide.Ready: "active", decide.Draining: "leaving", decide.Gone: "left",
		}[s.State])
		g.add(at+"weight", s.Weight)
		g.add(at+"started", s.Started)
	}
}

// settings adds settings by the keys of the file.
func (g *golden) settings(s Settings) {
	g.add("balancers", s.Balancers)
	g.add("ordinal", s.Self)
	g.add("zone", s.Zone)
	g.add("resolution", s.Tick)
	g.add("overShareWorth", s.OverShareWorth)
	g.add("discovery: on_request", s.OnRequest)
	g.add("clientHabits.marksRetry", s.MarksRetry)
	for i, c := range s.Classes {
		at := fmt.Sprintf("categories[%d].", i)
		g.add(at+"name", c.Name)
		g.add(at+"effect", map[decide.Effect]string{
			decide.Safe: "retryable", decide.Keyed: "dedup", decide.Unsafe: "once",
		}[c.Effect])
		g.add(at+"keyScope", map[decide.Scope]string{
			decide.ScopeAll: "all", decide.ScopeZone: "zone", decide.ScopeCell: "cell",
		}[c.Scope])
		g.add(at+"aim", c.Aim)
		g.add(at+"deadline", c.Deadline)
		g.add(at+"memorySpan", c.Memory)
		g.add(at+"aimStretch", c.AimStretch)
		g.add(at+"lateWorth", c.LateWorth)
		g.add(at+"value", c.Worth)
		g.add(at+"stream", c.Stream)
	}
	for i, t := range s.Tenants {
		at := fmt.Sprintf("customers[%d].", i)
		g.add(at+"name", t.Name)
		g.add(at+"quotaPerS", t.QuotaPerS)
		g.add(at+"share", t.Share)
	}
	g.add("bounds.cancel", s.Limits.Cancel)
	g.add("bounds.mayTell", s.Limits.Peers)
	g.add("bounds.probes", s.Limits.Probes)
	g.add("bounds.retryAfter", s.Limits.RetryAfter)
	g.add("bounds.secondCopies", s.Limits.SecondCopies)
	g.add("bounds.sendCap", s.Limits.MaxAttempts)
	g.add("bounds.maxRetryAfter", s.Limits.MaxRetryAfter)
	g.add("bounds.connIdle", s.ConnIdle)
	g.add("bounds.connectTimeout", s.ConnectTimeout)
	g.add("rules.askWithin", s.Rules.AskWithin)
	g.add("rules.cold", s.Rules.ColdFor)
	g.add("rules.fall", s.Rules.FallWindow)
	g.add("rules.stopSendingWithin", s.Rules.DrainGrace)
	g.add("rules.fallMultiple", s.Rules.FallMultiple)
	g.add("rules.startCapacity", s.Rules.ColdShare)
	g.add("rules.onlyDrainingBinds", s.Rules.OnlyDrainingBind)
	g.add("prices.crossZone", s.Prices.CrossZone)
	g.add("prices.waste", s.Prices.Waste)
	g.add("prices.probe", s.Prices.Probe)
	g.add("prices.peer", s.Prices.Peer)
	g.add("prices.lateFail", s.Prices.LateFail)
	g.add("goal.whole", s.Goal.Whole)
	g.add("goal.worstWindow", s.Goal.WorstWindow)
	g.add("goal.worstClass", s.Goal.WorstClass)
	g.add("goal.worstTenant", s.Goal.WorstTenant)
	g.add("goal.slowEnd", s.Goal.SlowEnd)
	g.add("goal.tailMiss", s.Goal.TailMiss)
}

// TestConfigGolden: what each key of LB_CONFIG comes to, and what is said where it is wrong.
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
			g.list("known.", c.Known)
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

// TestDiscoveryGolden: full lists, changes and what is wrong with either, one object a line.
func TestDiscoveryGolden(t *testing.T) {
	var g golden
	n := 0
	for line := range strings.Lines(string(readGolden(t, "discovery.jsonl"))) {
		n++
		dropped := 0
		p, err := DecodePoolConfig([]byte(line), func(err error) {
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

// TestDiscoveryCallGolden: the calls to discovery, byte for byte, and the heads of its answers.
func TestDiscoveryCallGolden(t *testing.T) {
	var b []byte
	for _, c := range []ListCall{{}, {Watch: true}, {Watch: true, From: 1234567890123}, {Watch: true, From: -1}} {
		b = AppendListCall(b, "127.0.0.1:9002", c)
	}
	if path := filepath.Join("testdata", "golden", "calls.http"); *update {
		require.NoError(t, os.WriteFile(path, b, 0o600))
	}
	require.Equal(t, string(readGolden(t, "calls.http")), string(b))
	for name, c := range map[string]struct {
		head, body string
		refused    bool
	}{
		"watch": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n13\r\n{\"version\":1}\n{\"ver\r\n6\r\nsion\":\r\n0\r\n\r\n",
			"{\"version\":1}\n{\"version\":", false,
		},
		"whole list": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", "{}", false},
		"busy":       {"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", "", true},
		"moved":      {"HTTP/1.1 302 Found\r\nLocation: /\r\nContent-Length: 0\r\n\r\n", "", true},
		"no HTTP":    {"hello\r\n\r\n", "", true},
	} {
		t.Run(name, func(t *testing.T) {
			body, err := ReadListHead(bufio.NewReader(strings.NewReader(c.head)))
			if c.refused {
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
