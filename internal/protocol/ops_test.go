package protocol

import (
	"fmt"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// FuzzOpsCall holds what is decoded of any call to its bounds: a known call with an id that can be written to the
// log, or a status that says no.
func FuzzOpsCall(f *testing.F) {
	f.Add("POST", "/ops/booking-servers/down", "s-0\n")
	f.Add("POST", "/ops/booking-servers/up", strings.Repeat("x", 300))
	f.Add("GET", "/ops/stats", "")
	f.Add("POST", "/ops/fleet/windows/check", `{"zone":"a","tenants":["*"]}`)
	f.Fuzz(func(t *testing.T, method, path, body string) {
		r, err := http.NewRequest("GET", "http://x/", strings.NewReader(body))
		require.NoError(t, err)
		r.Method, r.URL = method, &url.URL{Path: path}
		call, status := DecodeOpsCall(r)
		if status != http.StatusOK {
			require.GreaterOrEqual(t, status, 400)
			return
		}
		known := opsCalls[path]
		require.Equal(t, known.kind, call.Kind)
		require.Equal(t, known.method, method)
		if call.Kind.namesEndpoint() {
			require.NotEmpty(t, call.ID)
			require.LessOrEqual(t, len(call.ID), MaxEndpointID+2)
			require.NotContains(t, call.ID, "\n")
		}
	})
}

// What is asked for as a window is taken whole or refused: no unknown key, no name twice, no time that makes no sense.
func TestWindowCalls(t *testing.T) {
	from, to := time.Now().Add(time.Hour).Format(time.RFC3339), time.Now().Add(2*time.Hour).Format(time.RFC3339)
	ask := func(more string) string { return fmt.Sprintf(`{"from":%q,"to":%q,%s}`, from, to, more) }
	call := func(path, body string) (OpsCall, int) {
		method := http.MethodPost
		if !strings.Contains(path, "?") || strings.Contains(path, "outcome") {
			method = http.MethodGet
		}
		if strings.HasSuffix(path, "check") {
			method = http.MethodPost
		}
		r, err := http.NewRequest(method, "http://x/ops/fleet/windows"+path, strings.NewReader(body))
		require.NoError(t, err)
		return DecodeOpsCall(r)
	}
	good := ask(`"nodes":["s-1"],"tenants":["*"],"pace":0.5`)
	got, status := call("/ask?id=a", good)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "a", got.ID)
	require.Equal(t, []string{"s-1"}, got.Window.Nodes)
	require.True(t, got.IsFleetCall())
	for _, path := range []string{"", "/check", "/stop?id=a", "/outcome?id=a"} {
		_, code := call(path, good)
		require.Equal(t, http.StatusOK, code, path)
	}
	for path, body := range map[string]string{
		"/ask?id=": good, "/ask?id=a%20b": good, "/stop?id=": "",
		"/ask?id=" + strings.Repeat("x", 65): good,
		"/ask?id=1":                          ask(`"nodes":["s-1"],"zone":"a","tenants":["*"]`), "/ask?id=2": ask(`"tenants":["*"]`),
		"/ask?id=3": ask(`"zone":"a","tenants":[]`), "/ask?id=4": ask(`"zone":"a","tenants":["x","x"]`),
		"/ask?id=5": ask(`"zone":"a","tenants":["x"],"more":1`), "/ask?id=6": good + "{}",
		"/ask?id=7": ask(`"zone":"a","tenants":["x"],"pace":1.1`), "/ask?id=8": ask(`"zone":"a\n","tenants":["x"]`),
		"/ask?id=9":  fmt.Sprintf(`{"zone":"a","tenants":["x"],"from":%q,"to":%q}`, to, from),
		"/ask?id=10": `{"zone":"a","tenants":["x"],"from":"1677-01-01T00:00:00Z","to":"2300-01-01T00:00:00Z"}`,
		"/ask?id=11": ask(`"tenants":["x"],"nodes":["` + strings.Join(strings.Fields(strings.Repeat("s ", 65)), `","`) + `"]`),
	} {
		_, code := call(path, body)
		require.Equal(t, http.StatusBadRequest, code, path)
	}
	_, status = call("/ask?id=a", good+strings.Repeat(" ", maxWindowBytes))
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
}
