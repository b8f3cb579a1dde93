package main

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/state"
)

// relaunch launches the program again after its exit, and waits until it is ready.
func (w *testbed) relaunch() {
	w.exited = make(chan struct{})
	w.launch()
	w.waitUntil("ready again", func() bool { return w.readyStatus() == http.StatusOK })
}

// repeatCount returns how often a test repeats a slow part: RESTART_RUNS times if that is set, otherwise few times.
func repeatCount(few int) int {
	if n, err := strconv.Atoi(os.Getenv("RESTART_RUNS")); err == nil {
		return n
	}
	return few
}

// answerSlowly answers after 20 to 60 ms.
func answerSlowly(s upstreamAttempt) string {
	time.Sleep(20*time.Millisecond + rand.N(40*time.Millisecond))
	return ok(s)
}

// serviceCount counts the requests of a class, and those of them that were served within the latency objective.
type serviceCount struct{ sent, served atomic.Int64 }

func (s *serviceCount) servedFraction() float64 {
	return float64(s.served.Load()) / float64(max(s.sent.Load(), 1))
}

// sendLoad sends 60 requests per second, 70 % of them idempotent, and returns the counts of the idempotent and the
// non-idempotent class.
func (w *testbed) sendLoad(duration time.Duration) (idempotent, nonIdempotent *serviceCount) {
	idempotent, nonIdempotent = &serviceCount{}, &serviceCount{}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}, Timeout: 3 * time.Second}
	defer client.CloseIdleConnections()
	var wait sync.WaitGroup
	began := time.Now()
	for n := 0; time.Since(began) < duration; n++ {
		class, count := "consult", idempotent
		if n%10 >= 7 {
			class, count = "rezervare", nonIdempotent
		}
		r := w.request(class, 900)
		r.Header.Set("Cookie", fmt.Sprintf("sid=k%d", n%97))
		count.sent.Add(1)
		wait.Go(func() {
			sent := time.Now()
			resp, err := client.Do(r)
			if err != nil {
				return
			}
			defer func() { _ = resp.Body.Close() }()
			_, err = io.Copy(io.Discard, resp.Body)
			if err == nil && resp.StatusCode == http.StatusOK && time.Since(sent) < 500*time.Millisecond {
				count.served.Add(1)
			}
		})
		time.Sleep(time.Until(began.Add(time.Duration(n+1) * time.Second / 60)))
	}
	wait.Wait()
	return idempotent, nonIdempotent
}

// fillBacklog makes the server accept no more connections and fills its backlog, so that new ones are never established.
func (s *server) fillBacklog(t *testing.T) {
	require.NoError(t, s.socket.IgnoreConnections())
	s.socket.CloseConnections()
	for connected := true; connected; { // until the backlog is full
		c, err := net.DialTimeout("tcp", s.socket.Addr(), 200*time.Millisecond)
		if connected = err == nil; connected {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
}

// Half of the listed endpoints are unusable and discovery is unreachable: both classes are served all the same. Once
// discovery is reachable, endpoints that it reports as removed get no requests.
func TestStartWithoutDiscovery(t *testing.T) {
	t.Parallel()
	for name, disable := range map[string]func(*testing.T, *server){
		"silent":         func(_ *testing.T, s *server) { s.setAnswer(func(upstreamAttempt) string { return silence }) },
		"not listening":  func(_ *testing.T, s *server) { s.stop() },
		"never connects": func(t *testing.T, s *server) { s.fillBacklog(t) },
		"another program": func(_ *testing.T, s *server) {
			s.setAnswer(func(upstreamAttempt) string { return reply("404 Not Found", "there is no such page") })
		},
	} {
		for run := range repeatCount(1) {
			t.Run(fmt.Sprint(name, " ", run), func(t *testing.T) {
				w := newTestbed(t, 10)
				w.answerAll(answerSlowly)
				for _, s := range w.servers[:5] {
					disable(t, s)
				}
				var listed []object
				for _, s := range w.servers {
					listed = append(listed, s.listEntry("active"))
				}
				w.config["known"].(object)["servers"] = listed
				w.discovery.setResponse(503, false)
				w.operatorFile = "[state]\nprove_list = " + strconv.FormatBool(os.Getenv("RESTART_UNPROVED") == "")
				w.start()
				duration := 3 * time.Second
				if repeatCount(1) > 1 {
					duration = 10 * time.Second
				}
				idempotent, nonIdempotent := w.sendLoad(duration)
				t.Logf("%s: consult %.4f rezervare %.4f", name, idempotent.servedFraction(), nonIdempotent.servedFraction())
				if os.Getenv("RESTART_UNPROVED") == "" {
					require.Greater(t, min(idempotent.servedFraction(), nonIdempotent.servedFraction()), 0.9)
				}
				require.Contains(t, w.log.String(), "discovery not reachable since the start")

				w.discovery.setResponse(200, false)
				w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
				var removed []object
				for _, s := range w.servers[:6] { // one of these was serving
					removed = append(removed, s.listEntry("left"))
				}
				w.discovery.sendLine(listJSON(42, false, removed...))
				w.waitUntil("list confirmed", func() bool { return strings.Contains(w.log.String(), "discovery confirmed the endpoint list") })
				before := make([]int, 6)
				for i, s := range w.servers[:6] {
					before[i] = len(s.attempts())
				}
				for range 30 {
					require.Equal(t, 200, w.send("consult").status)
				}
				for i, s := range w.servers[:6] {
					require.Len(t, s.attempts(), before[i], s.id)
				}
			})
		}
	}
}

// enableState makes the program store its state in a folder, and returns that folder. More is added to the operator file.
func (w *testbed) enableState(more string) string {
	path := w.t.TempDir()
	w.operatorFile = fmt.Sprintf("[state]\nfolder = %q\nperiod_s = 1\nwrites_a_minute = 60\n%s", path, more)
	return path
}

// newestState returns the newest state file of a folder; nil: it has none.
func newestState(t *testing.T, path string) (newest *state.File) {
	for _, name := range []string{"state-a", "state-b"} {
		raw, err := os.ReadFile(filepath.Join(path, name))
		if os.IsNotExist(err) {
			continue
		}
		require.NoError(t, err)
		f, err := state.Decode(raw)
		require.NoError(t, err)
		if newest == nil || f.IsNewerThan(newest) {
			newest = f
		}
	}
	return newest
}

// startSecondAgent starts another agent with the same operator file, and returns its log and a function that kills it.
func (w *testbed) startSecondAgent() (log *logBuffer, end func()) {
	free, err := net.Listen("tcp", w.addr[:strings.LastIndex(w.addr, ":")]+":0")
	require.NoError(w.t, err)
	config := maps.Clone(w.config)
	config["listen"], config["peer_listen"] = free.Addr().String(), ""
	require.NoError(w.t, free.Close())
	raw, err := json.Marshal(config)
	require.NoError(w.t, err)
	path := filepath.Join(w.t.TempDir(), "other.json")
	log = &logBuffer{}
	require.NoError(w.t, os.WriteFile(path, raw, 0o600))
	other := exec.Command(raceBinary, "--operator", w.configPath+".toml")
	other.Env = []string{
		"LB_NAME=n1", fmt.Sprint("LB_LISTEN=", config["listen"]), "LB_DISCOVERY=" + w.discovery.addr,
		"LB_CONFIG=" + path,
	}
	other.Stdout, other.Stderr = log, log
	require.NoError(w.t, other.Start())
	end = sync.OnceFunc(func() {
		_ = other.Process.Kill()
		_ = other.Wait()
	})
	w.t.Cleanup(end)
	return log, end
}

// What the agent has learned of servers, and the endpoint list, are restored after a restart. Another agent with the same
// folder runs without stored state and does not overwrite the first agent's.
func TestStateIsRestored(t *testing.T) {
	w := newTestbed(t, 3)
	path := w.enableState("")
	w.answerAll(answerSlowly)
	w.servers[0].setAnswer(func(upstreamAttempt) string { return silence })
	w.start()
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	w.discovery.sendLine(listJSON(77, false, w.servers[1].listEntry("active")))
	w.sendLoad(2 * time.Second)
	w.waitUntil("s-0 ejected", func() bool { return strings.Contains(w.log.String(), "server s-0 ejected") })

	log, end := w.startSecondAgent()
	w.waitUntil("the second agent serves", func() bool { return strings.Contains(log.String(), "serving name=n1") })
	require.Contains(t, log.String(), "in use by another agent")
	end()

	require.Zero(t, w.stop())
	stored := newestState(t, path)
	require.Equal(t, "n0", stored.Owner.Agent)
	require.Equal(t, int64(77), stored.List.Version)
	require.True(t, stored.Balancer.Servers[0].Outlier.Ejected)
	out, err := exec.Command(raceBinary, "state", "show", filepath.Join(path, "state-a")).CombinedOutput()
	require.NoError(t, err, string(out))
	require.Contains(t, string(out), w.servers[1].socket.Addr())

	attemptsBefore := len(w.servers[0].attempts())
	w.relaunch()
	require.Contains(t, w.log.String(), "state restored")
	w.waitUntil("watch from the restored version", func() bool {
		calls := w.discovery.callTargets()
		return strings.HasSuffix(calls[len(calls)-1], "from=77")
	})
	idempotent, nonIdempotent := w.sendLoad(2 * time.Second)
	require.InDelta(t, 1.0, nonIdempotent.servedFraction(), 0)
	require.Greater(t, idempotent.servedFraction(), 0.97)
	require.Less(t, len(w.servers[0].attempts())-attemptsBefore, 6, "probes only")
	require.Zero(t, w.stop())

	// A damaged file is logged, and the agent starts without it.
	require.NoError(t, os.WriteFile(filepath.Join(path, "state-a"), []byte("DUNESTEP, but nothing that fits"), 0o600))
	require.NoError(t, os.Remove(filepath.Join(path, "state-b")))
	w.relaunch()
	require.Contains(t, w.log.String(), "damaged")
	require.Equal(t, 200, w.send("rezervare").status)
	require.Zero(t, w.stop())
	require.NotNil(t, newestState(t, path))
	require.Error(t, exec.Command(raceBinary, "state", "check", w.configPath).Run())
}

// The process is killed repeatedly, also while it writes its state at the end. Every start finds a complete file.
func TestKillLeavesReadableState(t *testing.T) {
	w := newTestbed(t, 2)
	path := w.enableState("")
	w.start()
	last := uint64(0)
	for range repeatCount(12) {
		require.Equal(t, 200, w.send("consult").status)
		require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
		time.Sleep(rand.N(8 * time.Millisecond))
		require.NoError(t, w.process.Process.Kill())
		await(t, w.exited)
		if stored := newestState(t, path); stored != nil {
			require.GreaterOrEqual(t, stored.Generation, last)
			last = stored.Generation
		}
		w.relaunch()
		require.NotRegexp(t, "not restored|not applied|cannot be used|takeover from the running process failed", w.log.String())
	}
	require.NotZero(t, last)
	require.Zero(t, w.stop())
}
