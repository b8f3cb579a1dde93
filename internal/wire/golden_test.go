package wire

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"flag"
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
)

var updateGolden = flag.Bool("update", false, "rewrite testdata/golden/actions.txt")

// dispositions, modes and availabilities are the names on the wire, indexed by the values that they encode.
var (
	dispositions = []string{
		"served", "server_error", "turned_away", "no_answer", "no_connection", "connection_lost", "called_off", "not_sent",
	}
	modes          = []string{"INCREMENTAL", "FULL", "SAVED", "FAILED"}
	availabilities = []string{"in_service", "terminating", "terminated"}
)

// fields builds one item of a line from its fields, in order.
type fields struct{ text []string }

func (f *fields) add(name string, value any) {
	f.text = append(f.text, fmt.Sprintf(`"%s":%v`, name, value))
}

func (f *fields) String() string { return "{" + strings.Join(f.text, ",") + "}" }

func quoted(s string) string { return string(AppendString(nil, s)) }

// encoded returns the item that a message was decoded from, rebuilt from the message.
func encoded(m *Message) string {
	var f fields
	f.add("kind", quoted(m.Kind))
	if m.Agent != "" {
		f.add("agentId", quoted(m.Agent))
	}
	switch m.Kind {
	case "REQUEST":
		f.add("call", m.ID)
		f.add("weightHint", m.WorkHint)
		f.add("subject", quoted(m.Key))
		if m.Tenant == "" {
			f.add("org", 0)
		} else {
			f.add("org", quoted(m.Tenant))
		}
		f.add("class", quoted(m.Class))
		f.add("budget", m.ClientTimeout)
		f.add("isRetry", m.ClientRetry)
	case "DONE", "CHECKED":
		if m.Kind == "DONE" {
			f.add("call", m.ID)
			f.add("go", m.Attempt)
		}
		f.add("backend", quoted(m.Server))
		f.add("disposition", quoted(m.Outcome))
		f.add("latency", m.Latency)
		if m.Kind == "DONE" {
			f.add("complete", m.Complete)
		}
		if m.HasLoadReport {
			f.add("stats", encodedLoad(m.LoadReport))
		}
	case "STREAMING":
		f.add("call", m.ID)
		f.add("go", m.Attempt)
	case "TIMED_OUT_CLIENT":
		f.add("call", m.ID)
	case "NEIGHBOUR_SAYS":
		f.add("by", m.From)
		f.add("body", quoted(hex.EncodeToString(m.Data)))
	case "TIMER":
		f.add("tag", m.Tag)
	case "SYNC":
		f.add("mode", quoted(m.Mode))
		f.add("sheet", m.List)
	case "POOL":
		f.add("sheet", m.List)
		f.add("members", encodedServers(m.Servers))
	case "NEW_INSTANCE":
		f.add("prng", m.Seed)
		f.add("env", string(m.Settings))
	}
	return f.String()
}

func encodedLoad(l balancer.LoadReport) string {
	var f fields
	for _, x := range []struct {
		name  string
		value float64
	}{{"rif", l.InFlight}, {"lat_ms", l.Latency * 1e3}, {"rate", l.Rate}, {"fail_rate", l.ErrorRatio}} {
		if x.value >= 0 {
			f.add(x.name, x.value)
		}
	}
	return f.String()
}

func encodedServers(servers []balancer.Server) string {
	var all []string
	for _, s := range servers {
		var f fields
		f.add("backend", quoted(s.ID))
		f.add("campus", quoted(s.Zone))
		f.add("machine", quoted(s.MachineKind))
		f.add("cohort", s.Cell)
		f.add("availability", quoted(availabilities[s.State]))
		f.add("heft", s.Weight)
		f.add("startedAt", s.StartedAt.Microseconds())
		all = append(all, f.String())
	}
	return "[" + strings.Join(all, ",") + "]"
}

// Each line of the file is a batch, with the fields in the order that encoded uses. Every kind of message occurs.
func TestGoldenBatches(t *testing.T) {
	file, err := os.ReadFile(filepath.Join("testdata", "golden", "batches.txt"))
	require.NoError(t, err)
	decoder, lines := NewDecoder(), bufio.NewScanner(bytes.NewReader(file))
	kinds := map[string]bool{}
	for lines.Scan() {
		var items []string
		now, err := decoder.DecodeBatch(lines.Bytes(), func(_ time.Duration, m *Message) error {
			kinds[m.Kind] = true
			items = append(items, encoded(m))
			if m.Outcome != "" {
				require.Equal(t, m.Outcome, dispositions[ParseOutcome(m.Outcome)])
			}
			if m.Mode != "" {
				kind, err := ParseUpdateKind(m.Mode)
				require.NoError(t, err)
				require.Equal(t, m.Mode, modes[kind])
			}
			return nil
		})
		require.NoError(t, err, lines.Text())
		rebuilt := fmt.Sprintf(`{"time":%d,"items":[%s]}`, now.Microseconds(), strings.Join(items, ","))
		require.Equal(t, lines.Text(), rebuilt)
	}
	require.NoError(t, lines.Err())
	require.Len(t, kinds, 11)
}

// Each line of the file is an encoded action.
func TestGoldenActions(t *testing.T) {
	var output bytes.Buffer
	for _, a := range []balancer.Action{
		{Kind: balancer.Send, ID: 1, Server: "backend_abuevth", After: 80 * time.Millisecond},
		{Kind: balancer.Send, ID: math.MaxUint32, Server: "a\"b\\c\td", After: time.Hour},
		{Kind: balancer.Fail, ID: 2},
		{Kind: balancer.Reject, ID: 3},
		{Kind: balancer.Reject, ID: 4, After: 1500 * time.Microsecond},
		{Kind: balancer.Reject, ID: 5, OverQuota: true},
		{Kind: balancer.Cancel, ID: 6, Attempt: 1},
		{Kind: balancer.Probe, Server: "s1"},
		{Kind: balancer.SendToPeer, Peer: 3, Data: []byte{'q', 1, 2, 3, 4, 5}},
		{Kind: balancer.SendToPeer, Peer: 0},
		{Kind: balancer.SetTimer, After: time.Second, Tag: math.MaxUint64},
		{Kind: balancer.Subscribe},
		{Kind: balancer.Fetch},
		{Kind: balancer.Log, Text: "two servers known"},
	} {
		output.Write(append(AppendAction(nil, "agent-3", &a), '\n'))
	}
	output.Write(append(AppendFatal(nil, "agent-3", "no request classes"), '\n'))
	path := filepath.Join("testdata", "golden", "actions.txt")
	if *updateGolden {
		require.NoError(t, os.WriteFile(path, output.Bytes(), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), output.String())
}
