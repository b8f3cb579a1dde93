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

// During an upgrade, the new process applies the fleet state of the old one, which still takes part in the fleet for the
// agent. The new process keeps to the policy's floor, sends nothing to a server that a maintenance window has freed, and
// uses the same ring.
func TestInheritedFleetState(t *testing.T) {
	w := newTestbed(t, 4)
	usePlainBinary(w)
	withOpsSocket(w)
	w.operatorFile = strings.Replace(shortFleetTimes, "[0, 1, 2]", "[0]", 1) + "placement = true\n[storm]\non = false\n"
	w.useLongTimeouts()
	w.start()
	file := w.t.TempDir() + "/policy.toml"
	text := "format = 1\n[contracts.acme]\nzone = \"UTC\"\nhours = [\"mon-sun 00:00-24:00\"]\nkeep = 0.5\n[capacity]\nload = 0.3\n" +
		"[floor]\nattempts = 1\n"
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	client := opsClient{w.opsAddr}
	w.waitUntil("a lease", func() bool {
		var s fleetStatus
		return client.call(http.MethodGet, "/ops/fleet/status", "", &s) == nil && s.Standing == "full" && s.Ring.Active > 0
	})
	require.NoError(t, policyProposeCommand{opsClient: client, File: file, Within: time.Second, Wait: waitTimeout}.Run())
	require.NoError(t, windowAskCommand{windowFlags: windowFlags{
		opsClient: client, Node: []string{"s-0"}, Tenant: []string{"acme"},
		From: "+8s", To: "+20m", Pace: 1,
	}, ID: "w", Wait: waitTimeout}.Run())
	require.Eventually(t, func() bool {
		var s windowsState
		return client.call(http.MethodGet, "/ops/fleet/windows", "", &s) == nil && s.Windows[0].State == "free"
	}, 2*waitTimeout, 50*time.Millisecond, "free")
	next := w.upgrade()
	// The old process drains and has a request in progress meanwhile. Only the new one accepts clients, and it does not take
	// part in the fleet yet.
	w.answerAll(func(upstreamAttempt) string { return silence })
	before := w.attemptCount()
	go func() { _, _ = http.DefaultClient.Do(w.request("consult", 60_000)) }()
	w.waitUntil("a request is in progress", func() bool { return w.attemptCount() > before })
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	w.waitUntil("old process drains", func() bool { return strings.Contains(w.log.String(), "draining") })
	w.answerAll(ok)
	attemptsAtFreed := len(w.servers[0].attempts())
	maxAttempts := func(n int) (highest int) {
		ids := map[string]int{}
		for i := range n {
			r := next.request("consult", 5000)
			r.Header.Set("Cookie", fmt.Sprint("sid=k", i))
			ids[r.Header.Get("X-Correlation-Id")] = 0
			next.do(r)
		}
		for _, s := range w.servers {
			for _, attempt := range s.attempts() {
				if _, sent := ids[attempt.Header.Get("X-Correlation-Id")]; sent {
					ids[attempt.Header.Get("X-Correlation-Id")]++
					highest = max(highest, ids[attempt.Header.Get("X-Correlation-Id")])
				}
			}
		}
		return highest
	}
	require.Equal(t, 1, maxAttempts(40))
	require.Len(t, w.servers[0].attempts(), attemptsAtFreed, "the freed server gets no requests")
	w.answerAll(func(s upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") })
	require.Equal(t, 1, maxAttempts(3), "the policy's floor permits one attempt")
	require.NotContains(t, next.log.String(), "fleet: lease acquired", "the new process does not take part in the fleet yet")
	require.Zero(t, next.stop())
}
