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

// FuzzOpsCall checks that any call is decoded either to a known call, with an id that can be written to the log, or to
// an error status.
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

// A request for a window is accepted as a whole or rejected: unknown keys, duplicate names and senseless times are
// errors.
func TestWindowCalls(t *testing.T) {
	from, to := time.Now().Add(time.Hour).Format(time.RFC3339), time.Now().Add(2*time.Hour).Format(time.RFC3339)
	request := func(fields string) string { return fmt.Sprintf(`{"from":%q,"to":%q,%s}`, from, to, fields) }
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
	valid := request(`"nodes":["s-1"],"tenants":["*"],"pace":0.5`)
	got, status := call("/ask?id=a", valid)
	require.Equal(t, http.StatusOK, status)
	require.Equal(t, "a", got.ID)
	require.Equal(t, []string{"s-1"}, got.Window.Nodes)
	require.True(t, got.IsFleetCall())
	for _, path := range []string{"", "/check", "/stop?id=a", "/outcome?id=a"} {
		_, code := call(path, valid)
		require.Equal(t, http.StatusOK, code, path)
	}
	for path, body := range map[string]string{
		"/ask?id=": valid, "/ask?id=a%20b": valid, "/stop?id=": "",
		"/ask?id=" + strings.Repeat("x", 65): valid,
		"/ask?id=1":                          request(`"nodes":["s-1"],"zone":"a","tenants":["*"]`), "/ask?id=2": request(`"tenants":["*"]`),
		"/ask?id=3": request(`"zone":"a","tenants":[]`), "/ask?id=4": request(`"zone":"a","tenants":["x","x"]`),
		"/ask?id=5": request(`"zone":"a","tenants":["x"],"more":1`), "/ask?id=6": valid + "{}",
		"/ask?id=7": request(`"zone":"a","tenants":["x"],"pace":1.1`), "/ask?id=8": request(`"zone":"a\n","tenants":["x"]`),
		"/ask?id=9":  fmt.Sprintf(`{"zone":"a","tenants":["x"],"from":%q,"to":%q}`, to, from),
		"/ask?id=10": `{"zone":"a","tenants":["x"],"from":"1677-01-01T00:00:00Z","to":"2300-01-01T00:00:00Z"}`,
		"/ask?id=11": request(`"tenants":["x"],"nodes":["` + strings.Join(strings.Fields(strings.Repeat("s ", 65)), `","`) + `"]`),
	} {
		_, code := call(path, body)
		require.Equal(t, http.StatusBadRequest, code, path)
	}
	_, status = call("/ask?id=a", valid+strings.Repeat(" ", maxWindowBytes))
	require.Equal(t, http.StatusRequestEntityTooLarge, status)
}
