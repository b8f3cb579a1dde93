package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func TestStartsFromConfiguredEndpointList(t *testing.T) {
	w := start(t, 1, func(w *testbed) { w.discovery.setResponse(503, false) })
	require.Equal(t, 200, w.send("consult").status)
	w.waitUntil("discovery polled again", func() bool { return len(w.discovery.callTargets()) > 1 })
	require.Equal(t, "/registry/instances?watch=1&from=41", w.discovery.callTargets()[0])
}

// The program is ready only once it knows an endpoint: before that, it rejects all requests.
func TestReadyOnceEndpointIsKnown(t *testing.T) {
	w := newTestbed(t, 1)
	w.config["known"] = object{"version": 0, "full": true, "servers": []object{}}
	w.launch()
	w.waitUntil("running without being ready", func() bool { return w.readyStatus() == 503 && w.discovery.watchCount() == 1 })
	require.Equal(t, 503, w.send("consult").status)
	w.discovery.sendLine(listJSON(1, true, w.servers[0].listEntry("active")))
	w.waitUntil("ready", func() bool { return w.readyStatus() == 200 })
	require.Equal(t, 200, w.send("consult").status)
	require.Zero(t, w.stop())
}

// Updates from the watch: the first object may be a delta or the full list, and an endpoint's address may change. A
// draining or removed endpoint gets no new requests. A malformed entry is dropped, and the valid entries of the same
// object are applied.
func TestEndpointList(t *testing.T) {
	w := start(t, 2, func(w *testbed) {
		w.config["settings"].(object)["bounds"].(object)["connIdle"] = 300000000 // no connection is closed for being idle
	})
	moved := newServer(t, "s-1")
	reaches := func(s *server) func() bool {
		return func() bool {
			before := len(s.attempts())
			require.Equal(t, 200, w.send("rezervare").status)
			return len(s.attempts()) > before
		}
	}
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	w.discovery.sendLine(listJSON(42, false, w.servers[0].listEntry("leaving"), object{"id": 7}, object{"id": "s-9", "state": "?"},
		object{"id": "s-8", "state": "active", "addr": "nowhere"}))
	w.waitUntil("update with the drain applied", func() bool { return strings.Count(w.log.String(), "entry dropped") == 3 })
	for range 10 {
		require.True(t, reaches(w.servers[1])())
	}
	w.discovery.sendLine(listJSON(43, false, moved.listEntry("active"))) // s-1 has a new address
	w.waitUntil("new address in use", reaches(moved))
	w.discovery.sendLine(listJSON(44, true, w.servers[0].listEntry("active"))) // s-1 is no longer listed
	w.waitUntil("s-0 in use again", reaches(w.servers[0]))
	for range 10 {
		require.True(t, reaches(w.servers[0])())
	}
	w.waitUntil("connections to the removed endpoint are closed", func() bool { return moved.openCount() == 0 })
}

// However a watch ends, also by malformed data, the agent watches again from the version that it has.
func TestWatchIsRenewed(t *testing.T) {
	w := start(t, 1)
	for i, c := range []struct {
		name string
		ends func()
		from int
	}{
		{"end of stream", w.discovery.endWatches, 43},
		{"not JSON", func() { w.discovery.sendLine("{") }, 43},
		{"no version", func() { w.discovery.sendLine(`{"servers":[]}`) }, 43},
		{"another type", func() { w.discovery.sendLine(`{"version":"x","servers":{}}`) }, 43},
		{"silence", func() {
			w.discovery.setResponse(200, true)
			w.discovery.endWatches()
			w.waitUntil("watch on which nothing is sent", func() bool { return w.discovery.watchCount() == 1 })
		}, 43},
		{"no answer", func() {
			calls := len(w.discovery.callTargets())
			w.discovery.setResponse(0, false)
			w.discovery.endWatches()
			w.waitUntil("call that gets no answer", func() bool { return len(w.discovery.callTargets()) > calls })
		}, 43},
		{"changes out of order", func() { w.discovery.sendLine(listJSON(12, false)) }, 0},
	} {
		w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
		w.discovery.sendLine(listJSON(43, i > 0))
		w.discovery.sendLine(listJSON(43, false, w.servers[0].listEntry("active")))
		w.waitUntil("endpoint list applied", func() bool { return w.readyStatus() == 200 })
		calls := len(w.discovery.callTargets())
		c.ends()
		if c.name == "silence" || c.name == "no answer" {
			calls++ // that call itself
		}
		w.waitUntil("new watch after "+c.name, func() bool { return len(w.discovery.callTargets()) > calls })
		w.discovery.setResponse(200, false)
		require.Equal(t, fmt.Sprintf("/registry/instances?watch=1&from=%d", c.from), w.discovery.callTargets()[calls], c.name)
		w.discovery.endWatches() // nothing may be sent on this watch either
	}
	require.Equal(t, 200, w.send("consult").status)
}

// SIGHUP applies a new configuration: discovery is watched at its new address from the known version, and requests are
// served throughout. A file that cannot be used changes nothing.
func TestReload(t *testing.T) {
	w := start(t, 2)
	first, second := w.discovery, newDiscovery(t)
	w.waitUntil("watch", func() bool { return first.watchCount() == 1 })
	first.sendLine(listJSON(44, false))
	reload := func(log string) {
		before := strings.Count(w.log.String(), log)
		require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
		w.waitUntil(log, func() bool { return strings.Count(w.log.String(), log) > before })
		require.Equal(t, 200, w.send("rezervare").status)
	}
	for _, broken := range []string{"", `{"name":`, `{"discovery":"` + second.addr + `"}`} {
		require.NoError(t, os.WriteFile(w.configPath, []byte(broken), 0o600))
		reload("configuration not applied")
	}
	require.NoError(t, os.Remove(w.configPath))
	reload("configuration not applied")
	require.Equal(t, 1, first.watchCount())
	require.Empty(t, second.callTargets())

	w.config["discovery"] = second.addr
	w.writeConfig()
	reload("configuration applied")
	w.waitUntil("watch at the new address", func() bool { return second.watchCount() == 1 })
	require.Equal(t, "/registry/instances?watch=1&from=44", second.callTargets()[0])
	w.waitUntil("no watch at the old address", func() bool { return first.watchCount() == 0 })
	second.sendLine(listJSON(45, false, w.servers[0].listEntry("leaving")))
	w.waitUntil("drained endpoint gets no requests", func() bool {
		before := len(w.servers[0].attempts())
		for range 10 {
			require.Equal(t, 200, w.send("rezervare").status)
		}
		return len(w.servers[0].attempts()) == before
	})
	reload("configuration applied") // unchanged
	require.Len(t, second.callTargets(), 1)
	require.Len(t, first.callTargets(), 1)
}

// Datagrams of at most 256 bytes reach the peers. Malformed ones and those from unknown senders are dropped.
func TestDatagrams(t *testing.T) {
	w := start(t, 1)
	buf := make([]byte, 1024)
	require.NoError(t, w.peer.SetReadDeadline(time.Now().Add(waitTimeout)))
	n, from, err := w.peer.ReadFromUDP(buf)
	require.NoError(t, err)
	require.Equal(t, w.addr, from.String(), "peers know the sender by its address")
	require.True(t, n > 0 && n <= 256)
	to := net.UDPAddrFromAddrPort(from.AddrPort())
	for _, garbage := range []int{0, 1, 6, 256, 257, 4000} {
		_, err = w.peer.WriteToUDP([]byte(strings.Repeat("q", garbage)), to)
		require.NoError(t, err)
	}
	stranger, err := net.DialUDP("udp", nil, to)
	require.NoError(t, err)
	defer func() { _ = stranger.Close() }()
	w.waitUntil("dropped", func() bool {
		_, err := stranger.Write([]byte("hello"))
		return err == nil && strings.Contains(w.log.String(), "not among the peers")
	})
	require.Contains(t, w.log.String(), "1 to 256 bytes")
	require.Equal(t, 200, w.send("consult").status)
}

// At SIGTERM, the agent still accepts requests for a while, answers every request that it has accepted, and exits.
func TestDrain(t *testing.T) {
	w := start(t, 1, (*testbed).useLongTimeouts)
	received, release := make(chan struct{}), make(chan struct{})
	w.answerFirst(func(s upstreamAttempt) string { close(received); <-release; return ok(s) }, ok)
	status := make(chan int, 1)
	go func() { status <- w.do(w.request("rezervare", 60000)).status }()
	await(t, received)
	unused := w.sendRaw("") // a connection without a request does not delay the exit
	idle := w.sendRaw("GET /health/live HTTP/1.1\r\nHost: x\r\n\r\n")
	_, err := idle.Read(make([]byte, 1))
	require.NoError(t, err)
	began := time.Now()
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	w.waitUntil("no longer ready", func() bool { return w.readyStatus() == 503 })
	for time.Since(began) < 400*time.Millisecond { // it accepts requests for at least 0.75 s
		require.Equal(t, 200, w.send("consult").status)
	}
	close(release)
	require.Equal(t, 200, await(t, status))
	require.Zero(t, w.stop())
	_ = unused.Close()
	require.Contains(t, w.log.String(), "stopped")
	require.NotContains(t, w.log.String(), "drain deadline reached")
}

// A drain does not wait for answers indefinitely: requests that are unanswered at its deadline fail.
func TestDrainStopsAtDeadline(t *testing.T) {
	w := start(t, 1, (*testbed).useLongTimeouts)
	received := make(chan struct{})
	w.answerAll(func(upstreamAttempt) string { close(received); return silence })
	status := make(chan int, 1)
	go func() { status <- w.do(w.request("rezervare", 60000)).status }()
	await(t, received)
	w.sendRaw("GET /consult HTTP/1.1\r\n") // an incomplete request does not delay the exit further
	require.Zero(t, w.stop())
	require.Equal(t, 502, await(t, status))
	require.Contains(t, w.log.String(), "drain deadline reached")
}

// With a configuration that cannot be used, the program prints one line and exits with 1.
func TestBadConfiguration(t *testing.T) {
	t.Parallel()
	broken := filepath.Join(t.TempDir(), "broken.json") // outlives the parallel tests below
	require.NoError(t, os.WriteFile(broken, []byte(`{"name":`), 0o600))
	set := func(value any, path ...string) func(*testbed) {
		return func(w *testbed) {
			at := w.config
			for _, key := range path[:len(path)-1] {
				at = at[key].(object)
			}
			at[path[len(path)-1]] = value
		}
	}
	for name, edit := range map[string]func(*testbed){
		"LB_NAME is not set":      func(w *testbed) { w.env = []string{"LB_NAME="} },
		"LB_LISTEN is not set":    func(w *testbed) { w.env = []string{"LB_LISTEN="} },
		"LB_DISCOVERY is not set": func(w *testbed) { w.env = []string{"LB_DISCOVERY="} },
		"LB_CONFIG is not set":    func(w *testbed) { w.env = []string{"LB_CONFIG="} },
		"LB_LISTEN: ":             func(w *testbed) { w.env = []string{"LB_LISTEN=here"} },
		"no such file":            func(w *testbed) { w.env = []string{"LB_CONFIG=" + broken + "x"} },
		"unexpected end":          func(w *testbed) { w.env = []string{"LB_CONFIG=" + broken} },
		"listen: ":                set("nowhere", "listen"),
		"discovery: ":             set(nil, "discovery"),
		"seed: ":                  set("xyz", "seed"),
		"limits: ":                set(0, "limits", "sockets"),
		"peers[1]: ":              set([]string{"127.0.0.1:1", "x"}, "peers"),
		"known: ":                 set(object{"servers": []object{}}, "known"),
		"no settings":             set(nil, "settings"),
		"no request classes":      set([]object{}, "settings", "categories"),
		"resolution":              set(0, "settings", "resolution"),
		"connIdle":                set(0, "settings", "bounds", "connIdle"),
		"cannot unmarshal":        set("x", "settings", "balancers"),
	} {
		t.Run(name, func(t *testing.T) {
			w := newTestbed(t, 1)
			edit(w)
			w.launch()
			await(t, w.exited)
			require.Equal(t, 1, w.process.ProcessState.ExitCode())
			line := w.log.String()
			require.Contains(t, line, name)
			require.Equal(t, 1, strings.Count(line, "\n"), line)
		})
	}
}
