package protocol

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/metrics"
)

// The paths, methods and queries of the operators' interface are those of commit 3bec2d9, one for each call.
func TestGoldenOpsCalls(t *testing.T) {
	const window = `{"nodes":["s-1"],"tenants":["*"],"from":"2026-12-03T10:00:00Z","to":"2026-12-03T12:00:00Z","pace":0.5}`
	windowRequest := WindowRequest{
		Nodes: []string{"s-1"}, Tenants: []string{"*"}, From: time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC),
		To: time.Date(2026, 12, 3, 12, 0, 0, 0, time.UTC), Pace: 0.5,
	}
	calls := []struct {
		method, target, body string
		want                 OpsCall
		fleet                bool
	}{
		{"GET", "/ops/readiness", "", OpsCall{Kind: OpsReadiness}, false},
		{"GET", "/ops/stats", "", OpsCall{Kind: OpsStats}, false},
		{"GET", "/ops/delays", "", OpsCall{Kind: OpsDelays}, false},
		{"GET", "/ops/discovery", "", OpsCall{Kind: OpsDiscovery}, false},
		{"POST", "/ops/booking-servers/down", "s-0\n", OpsCall{Kind: OpsDisable, ID: "s-0"}, false},
		{"POST", "/ops/booking-servers/up", "s-0", OpsCall{Kind: OpsEnable, ID: "s-0"}, false},
		{"POST", "/ops/drain/start", "", OpsCall{Kind: OpsDrainStart}, false},
		{"POST", "/ops/drain/stop", "", OpsCall{Kind: OpsDrainStop}, false},
		{"GET", "/ops/fleet/status", "", OpsCall{Kind: OpsFleetStatus}, true},
		{"GET", "/ops/fleet/ticket?n=7", "", OpsCall{Kind: OpsFleetTicket, Ticket: 7}, true},
		{"GET", "/ops/fleet/policy", "", OpsCall{Kind: OpsPolicy}, true},
		{
			"POST", "/ops/fleet/policy/propose?id=a&within_ms=1500", "text",
			OpsCall{Kind: OpsPolicyPropose, ID: "a", EffectiveIn: 1500 * time.Millisecond, Document: []byte("text")},
			true,
		},
		{"GET", "/ops/fleet/policy/outcome?id=a", "", OpsCall{Kind: OpsPolicyOutcome, ID: "a"}, true},
		{"GET", "/ops/fleet/policy/document?version=3", "", OpsCall{Kind: OpsPolicyDocument, Version: 3}, true},
		{"GET", "/ops/fleet/windows", "", OpsCall{Kind: OpsWindows}, true},
		{"POST", "/ops/fleet/windows/ask?id=w", window, OpsCall{Kind: OpsWindowRequest, ID: "w", Window: windowRequest}, true},
		{"POST", "/ops/fleet/windows/check", window, OpsCall{Kind: OpsWindowCheck, Window: windowRequest}, true},
		{"POST", "/ops/fleet/windows/stop?id=w", "", OpsCall{Kind: OpsWindowStop, ID: "w"}, true},
		{"GET", "/ops/fleet/windows/outcome?id=w", "", OpsCall{Kind: OpsWindowOutcome, ID: "w"}, true},
		{"POST", "/ops/fleet/booking-servers/down", "s-0", OpsCall{Kind: OpsFleetDisable, ID: "s-0"}, true},
		{"POST", "/ops/fleet/booking-servers/up", "s-0", OpsCall{Kind: OpsFleetEnable, ID: "s-0"}, true},
	}
	require.Len(t, opsCalls, len(calls), "every call must be checked here")
	for _, c := range calls {
		t.Run(c.method+" "+c.target, func(t *testing.T) {
			got, status := DecodeOpsCall(httptest.NewRequest(c.method, c.target, strings.NewReader(c.body)))
			require.Equal(t, http.StatusOK, status)
			require.Equal(t, c.want, got)
			require.Equal(t, c.fleet, got.IsFleetCall())
			other := map[string]string{"GET": "POST", "POST": "GET"}[c.method]
			_, status = DecodeOpsCall(httptest.NewRequest(other, c.target, strings.NewReader(c.body)))
			require.Equal(t, http.StatusMethodNotAllowed, status)
		})
	}
	require.Equal(t, []int64{14<<10 + 1, 48<<10 + 1, 48<<10 + 1, 260}, []int64{
		MaxOpsBodyBytes("/ops/fleet/policy/propose"), MaxOpsBodyBytes("/ops/fleet/windows/ask"),
		MaxOpsBodyBytes("/ops/fleet/windows/check"), MaxOpsBodyBytes("/ops/stats"),
	})
}

// The bodies of calls to the operators' interface and of its responses are byte for byte those of commit 3bec2d9.
func TestGoldenOpsBodies(t *testing.T) {
	stats, err := EncodeOpsStats(metrics.Reading{
		Attempts: 1, Active: 2, Listed: 3, Ejected: 4,
		Responses: map[string]metrics.Counts{"consult": {OK: 5, Rejected: 6, Errors: 7}},
	})
	require.NoError(t, err)
	want, err := os.ReadFile("testdata/golden/ops-stats.json")
	require.NoError(t, err)
	require.Equal(t, string(want), string(stats))
	at := time.Date(2026, 12, 3, 10, 0, 0, 0, time.UTC)
	for want, value := range map[string]any{
		`{"ticket":8,"result":"taken","in_force":true}`: FleetProposal{Ticket: 8, Result: "taken", InForce: true},
		`{"zone":"a","tenants":["x"],"from":"2026-12-03T10:00:00Z","to":"2026-12-03T11:00:00Z"}`: WindowRequest{
			Zone: "a", Tenants: []string{"x"}, From: at, To: at.Add(time.Hour),
		},
		`{"nodes":["s"],"tenants":["x"],"from":"2026-12-03T10:00:00Z","to":"2026-12-03T11:00:00Z","pace":0.5}`: WindowRequest{
			Nodes: []string{"s"}, Tenants: []string{"x"}, From: at, To: at.Add(time.Hour), Pace: 0.5,
		},
	} {
		raw, err := json.Marshal(value)
		require.NoError(t, err)
		require.Equal(t, want, string(raw))
	}
}
