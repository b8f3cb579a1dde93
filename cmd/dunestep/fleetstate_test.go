package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// At an upgrade the new process goes by what the one before had agreed on, while that still takes part for the agent:
// within the policy's floor, off the server that is free, and on the same ring.
func TestInheritedFleetState(t *testing.T) {
	w := newTestbed(t, 4)
	usePlainBinary(w)
	door(w)
	w.operatorFile = strings.Replace(shortTerms, "[0, 1, 2]", "[0]", 1) + "placement = true\n[storm]\non = false\n"
	w.useLongTimeouts()
	w.start()
	file := w.t.TempDir() + "/policy.toml"
	text := "format = 1\n[contracts.acme]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.5\n[capacity]\nload = 0.3\n" +
		"[floor]\nattempts = 1\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	d := opsClient{w.opsAddr}
	w.until("a lease", func() bool {
		var s fleetStatus
		return d.call(http.MethodGet, "/ops/fleet/status", "", &s) == nil && s.Standing == "full" && s.Ring.Active > 0
	})
	require.NoError(t, policyProposeCommand{opsClient: d, File: file, Within: time.Second, Wait: waitTimeout}.Run())
	require.NoError(t, windowAskCommand{windowFlags: windowFlags{
		opsClient: d, Node: []string{"s-0"}, Tenant: []string{"acme"},
		From: "+8s", To: "+20m", Pace: 1,
	}, ID: "w", Wait: waitTimeout}.Run())
	require.Eventually(t, func() bool {
		var s windowsState
		return d.call(http.MethodGet, "/ops/fleet/windows", "", &s) == nil && s.Windows[0].State == "free"
	}, 2*waitTimeout, 50*time.Millisecond, "free")
	next := w.upgrade()
	// The old process ends, and has a request in hand meanwhile: the new one alone takes clients, and takes no part.
	w.answerAll(func(upstreamAttempt) string { return silence })
	before := w.attemptCount()
	go func() { _, _ = http.DefaultClient.Do(w.request("consult", 60_000)) }()
	w.until("a request is in hand", func() bool { return w.attemptCount() > before })
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	w.until("it ends", func() bool { return strings.Contains(w.log.String(), "draining") })
	w.answerAll(ok)
	seen := len(w.servers[0].attempts())
	ask := func(n int) (tried int) {
		ids := map[string]int{}
		for i := range n {
			r := next.request("consult", 5000)
			r.Header.Set("Cookie", fmt.Sprint("sid=k", i))
			ids[r.Header.Get("X-Correlation-Id")] = 0
			next.do(r)
		}
		for _, s := range w.servers {
			for _, step := range s.attempts() {
				if _, is := ids[step.Header.Get("X-Correlation-Id")]; is {
					ids[step.Header.Get("X-Correlation-Id")]++
					tried = max(tried, ids[step.Header.Get("X-Correlation-Id")])
				}
			}
		}
		return tried
	}
	require.Equal(t, 1, ask(40))
	require.Len(t, w.servers[0].attempts(), seen, "it is free")
	w.answerAll(func(s upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") })
	require.Equal(t, 1, ask(3), "one attempt, as the floor has it")
	require.NotContains(t, next.log.String(), "fleet: lease acquired", "all that before it took part itself")
	require.Zero(t, next.stop())
}
