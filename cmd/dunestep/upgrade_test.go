package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// upgrade starts the agent's next process, with its own address of the operators' socket, and waits until it is ready.
func (w *testbed) upgrade() *testbed {
	next := w.nextProcess()
	next.launch()
	next.awaitReady()
	return next
}

// awaitReady waits until the process reports at its operators' socket that it is ready.
func (w *testbed) awaitReady() {
	w.waitUntil("ready", func() bool {
		resp, err := http.Get("http://" + w.opsAddr + "/ops/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// nextProcess returns the same agent's next process, not started yet.
func (w *testbed) nextProcess() *testbed {
	next := &testbed{
		t: w.t, deployment: w.deployment, config: w.config, env: w.env, operatorFile: w.operatorFile, program: w.program, addr: w.addr,
		tempDir: w.tempDir, log: &logBuffer{}, exited: make(chan struct{}), servers: w.servers, discovery: w.discovery,
	}
	next.lastID.Store(w.lastID.Load() + 1_000_000)
	withOpsSocket(next)
	return next
}

// loadGenerator has clients that send requests all the time on persistent connections, and counts the outcomes. A request
// that crosses the close of its connection is sent again, as the protocol permits.
type loadGenerator struct {
	bodySize int           // size of the body of non-idempotent requests; zero: a short one
	pause    time.Duration // between a client's requests
	stop     chan struct{}
	wait     sync.WaitGroup
	// Numbers of requests by outcome. A lost request got no response, an incomplete one or that of another request.
	served, rejected, lost, connRefused atomic.Int64
	failed                              atomic.Int64 // error responses
	firstFailure                        atomic.Value // first loss or failure
}

// recordFailure records the first loss or failure.
func (l *loadGenerator) recordFailure(details ...any) {
	l.firstFailure.CompareAndSwap(nil, fmt.Sprint(details...))
}

// requireNoFailures requires that no request was lost, refused or failed.
func (l *loadGenerator) requireNoFailures(t *testing.T) {
	t.Helper()
	require.Equal(t, []int64{0, 0, 0}, []int64{l.lost.Load(), l.connRefused.Load(), l.failed.Load()}, "%d were served; first failure: %v",
		l.served.Load(), l.firstFailure.Load())
}

func (w *testbed) startLoad(clients int) *loadGenerator {
	return w.runLoad(clients, &loadGenerator{pause: 2 * time.Millisecond})
}

// startLongBodyLoad starts a load with bodies both ways that are too long to be buffered and so are streamed.
func (w *testbed) startLongBodyLoad(clients int) *loadGenerator {
	const size = 150_000
	rest := strings.Repeat("x", size)
	w.answerAll(func(s upstreamAttempt) string { return reply("200 OK", correlationID(s)+rest) })
	return w.runLoad(clients, &loadGenerator{bodySize: size, pause: 15 * time.Millisecond})
}

func (w *testbed) runLoad(clients int, l *loadGenerator) *loadGenerator {
	l.stop = make(chan struct{})
	for range clients {
		l.wait.Go(func() {
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
			defer client.CloseIdleConnections()
			for n := 0; ; n++ {
				select {
				case <-l.stop:
					return
				case <-time.After(l.pause):
				}
				r := w.request([]string{"consult", "rezervare"}[n%2], 2000)
				if l.bodySize > 0 && n%2 == 1 {
					r.ContentLength = int64(l.bodySize)
					r.GetBody = func() (io.ReadCloser, error) {
						return io.NopCloser(strings.NewReader(strings.Repeat("y", l.bodySize))), nil
					}
					r.Body, _ = r.GetBody()
				}
				l.send(client, r)
			}
		})
	}
	return l
}

func (l *loadGenerator) send(client *http.Client, r *http.Request) {
	resp, err := client.Do(r)
	if errors.Is(err, syscall.ECONNRESET) && r.GetBody != nil { // net/http does not send a long body again
		r.Body, _ = r.GetBody()
		resp, err = client.Do(r)
	}
	if err != nil {
		l.recordFailure(err)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			l.connRefused.Add(1)
		} else {
			l.lost.Add(1)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil || resp.StatusCode == 200 && !strings.HasPrefix(string(body), r.Header.Get("X-Correlation-Id")):
		l.recordFailure(resp.StatusCode, len(body), err)
		l.lost.Add(1)
	case resp.StatusCode == 200:
		l.served.Add(1)
	case resp.StatusCode == 503, resp.StatusCode == 429:
		l.rejected.Add(1)
	default:
		l.recordFailure(resp.StatusCode, string(body))
		l.failed.Add(1)
	}
}

func (l *loadGenerator) finish() { close(l.stop); l.wait.Wait() }

// requireNoneRanTwice requires that no non-idempotent request reached endpoints twice.
func (w *testbed) requireNoneRanTwice() {
	w.t.Helper()
	ran := map[string]int{}
	for _, s := range w.servers {
		for _, attempt := range s.attempts() {
			if strings.HasPrefix(attempt.URL.Path, "/rezervare") {
				ran[correlationID(attempt)]++
			}
		}
	}
	for id, n := range ran {
		require.Equal(w.t, 1, n, id)
	}
}

// Consecutive upgrades under load, with endpoints disabled by operators before, during and after each: no request is lost,
// refused or run twice, disabled endpoints stay disabled, and the old process exits by itself.
func TestConsecutiveUpgradesUnderLoad(t *testing.T) {
	w := start(t, 3, withOpsSocket, (*testbed).useLongTimeouts)
	load := w.startLoad(8)
	w.waitUntil("load", func() bool { return load.served.Load() > 50 })
	current, disabled := w, 0
	disable := func(id int) {
		current.requireOpsOK("POST", "/ops/booking-servers/up", fmt.Sprint("s-", disabled))
		disabled = id
		current.requireOpsOK("POST", "/ops/booking-servers/down", fmt.Sprint("s-", disabled))
	}
	disable(0)
	for i := range 3 {
		next := current.upgrade()
		require.Contains(t, next.log.String(), "taking over from the running process")
		disable((i + 1) % 3) // reported to the old process while both run
		require.Zero(t, current.stop(), current.log.String())
		current = next
		current.waitUntil("full limits", func() bool { return strings.Contains(current.log.String(), "full limits") })
		before := len(w.servers[disabled].attempts())
		goal := load.served.Load() + 100
		w.waitUntil("requests are still served", func() bool { return load.served.Load() > goal })
		require.Len(t, w.servers[disabled].attempts(), before, "a disabled endpoint gets no requests")
		require.Equal(t, 1, current.stats().Ejected)
	}
	load.finish()
	load.requireNoFailures(t)
	w.requireNoneRanTwice()
	require.Zero(t, current.stop())
}

// A new process that dies during the upgrade, or cannot start, does not affect the old one. If the old process is killed
// after the upgrade, the new one continues with its state.
func TestFailedUpgradeLeavesOldProcess(t *testing.T) {
	w := start(t, 2, withOpsSocket, (*testbed).useLongTimeouts)
	for _, wait := range []time.Duration{0, 2, 5, 10, 20, 50} {
		next := w.nextProcess()
		next.launch()
		time.Sleep(wait * time.Millisecond)
		_ = next.process.Process.Kill()
		await(t, next.exited)
		for range 5 {
			require.Equal(t, 200, w.send("consult").status)
		}
	}
	conflicting := w.nextProcess()
	conflicting.opsAddr = w.opsAddr // with an address that is in use it cannot start
	conflicting.launch()
	await(t, conflicting.exited)
	require.Equal(t, 1, conflicting.process.ProcessState.ExitCode())
	w.requireOpsOK("POST", "/ops/booking-servers/down", "s-1")
	next := w.upgrade()
	_ = w.process.Process.Kill()
	await(t, w.exited)
	next.waitUntil("full limits", func() bool { return strings.Contains(next.log.String(), "full limits") })
	before := len(w.servers[1].attempts())
	for range 20 {
		require.Equal(t, 200, next.send("consult").status)
	}
	require.Len(t, w.servers[1].attempts(), before)
	require.Zero(t, next.stop())
	w.process = exec.Command("true") // replaces the killed process, for the exit code check
	require.NoError(t, w.process.Run())
}

// Operators disable endpoints at both processes of an upgrade at the same time: both processes, and the next one, apply
// both changes.
func TestOpsCallsAtBothProcesses(t *testing.T) {
	current := start(t, 4, withOpsSocket)
	for round := range 4 {
		next := current.upgrade()
		var calls sync.WaitGroup
		for i, p := range []*testbed{current, next} {
			calls.Go(func() { p.requireOpsOK("POST", "/ops/booking-servers/down", fmt.Sprint("s-", (round+i)%4)) })
		}
		calls.Wait()
		for _, p := range []*testbed{current, next} {
			p.waitUntil("both endpoints are disabled", func() bool { return p.stats().Ejected == 2 })
		}
		require.Zero(t, current.stop())
		current = next.upgrade()
		require.Equal(t, 2, current.stats().Ejected, "endpoints stay disabled over the next upgrade")
		require.Zero(t, next.stop())
		for i := range 2 {
			current.requireOpsOK("POST", "/ops/booking-servers/up", fmt.Sprint("s-", (round+i)%4))
		}
		require.Zero(t, current.stats().Ejected)
	}
	require.Zero(t, current.stop())
}

// A drain by operators lasts over an upgrade: the new process takes over, and accepts clients once the drain is stopped.
func TestUpgradeWhileDrained(t *testing.T) {
	w := start(t, 1, withOpsSocket)
	w.requireOpsOK("POST", "/ops/drain/start", "")
	next := w.upgrade()
	require.Equal(t, 503, next.readyStatus())
	require.Zero(t, w.stop())
	require.Equal(t, 503, next.readyStatus())
	next.requireOpsOK("POST", "/ops/drain/stop", "")
	require.Equal(t, 200, next.readyStatus())
	require.Zero(t, next.stop())
}

// Unusable files or a broken server in the handover folder: the new process logs a failed takeover and starts without the
// old one's state.
func TestInvalidHandoverFiles(t *testing.T) {
	first := start(t, 1, withOpsSocket)
	first.requireOpsOK("POST", "/ops/booking-servers/down", "s-0")
	files, err := filepath.Glob(filepath.Join(first.tempDir, "dunestep-*"))
	require.NoError(t, err)
	var file, socket string
	for _, f := range files {
		switch filepath.Ext(f) {
		case ".json":
			file = f
		case ".sock":
			socket = f
		}
	}
	raw, err := os.ReadFile(file)
	require.NoError(t, err)
	require.True(t, json.Valid(raw))
	for name, replace := range map[string]func(){
		"truncated":     func() { require.NoError(t, os.WriteFile(file, raw[:len(raw)/2], 0o600)) },
		"another agent": func() { require.NoError(t, os.WriteFile(file, []byte(`{"format":1,"agent":"n7"}`), 0o600)) },
		"a folder":      func() { require.NoError(t, os.Mkdir(file, 0o700)) },
		"later format":  func() { require.NoError(t, os.WriteFile(file, []byte(`{"format":9,"agent":"n0"}`), 0o600)) },
	} {
		require.NoError(t, os.RemoveAll(file))
		replace()
		l, err := net.Listen("unix", socket+".x")
		require.NoError(t, err)
		require.NoError(t, os.Rename(socket+".x", socket)) // a server that sends garbage
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				_, _ = c.Write([]byte("\x00\x00\x00\x10{\"sockets\": -1}xxx"))
			}
		}()
		next := first.upgrade()
		require.Contains(t, next.log.String(), "takeover from the running process failed", name)
		require.Zero(t, next.stop(), name)
		_ = l.Close()
	}
	_ = syscall.Unlink(socket)
}

// A long body and a long answer in transit are completed by the old process while it drains.
func TestUpgradeWithLongBodies(t *testing.T) {
	const size = 400_000
	w := start(t, 1, withOpsSocket, (*testbed).useLongTimeouts)
	received, release := w.servers[0].pauseAnswersAt(size, size/2)
	slowResponse, _ := w.upload("Content-Length: 2")
	_, _ = io.WriteString(slowResponse, "ab")
	await(t, received)
	upload, id := w.upload(fmt.Sprint("Content-Length: ", size))
	body := uniqueBody(size, id)
	_, _ = io.WriteString(upload, body[:size/2])
	next := w.upgrade()
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	w.waitUntil("the old process drains", func() bool { return strings.Contains(w.log.String(), "draining") })
	close(release)
	_, _ = io.WriteString(upload, body[size/2:])
	for _, c := range []net.Conn{slowResponse, upload} {
		status, text := readResponse(t, c)
		require.Equal(t, 200, status)
		require.Len(t, text, size)
	}
	require.Zero(t, w.stop())
	require.Zero(t, next.stop())
}

// During upgrades under a load of long bodies both ways, memory and descriptors of both processes together stay within one
// agent's limits, and no request is lost.
func TestUpgradeStaysWithinLimits(t *testing.T) {
	const memoryMB, sockets = 32, 256
	w := newSerialTestbed(t, 3).start(withOpsSocket, (*testbed).useLongTimeouts, usePlainBinary, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = memoryMB
		w.config["limits"].(object)["sockets"] = sockets
	})
	load := w.startLongBodyLoad(80) // a third of the descriptors
	processes := []*testbed{w}
	usage := func() (kB, descriptors int) {
		file := 0 // pages of the binary, which both processes share
		for _, p := range processes {
			kB, descriptors = kB+p.processStatusKB("RssAnon"), descriptors+p.descriptorCount()
			file = max(file, p.processStatusKB("RssFile"))
		}
		return kB + file, descriptors
	}
	var peakKB, peakDescriptors int
	recordPeaks := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			kB, descriptors := usage()
			peakKB, peakDescriptors = max(peakKB, kB), max(peakDescriptors, descriptors)
		}
	}
	for range 3 {
		old := processes[0]
		goal := load.served.Load() + 50
		w.waitUntil("requests are still served", func() bool { return load.served.Load() > goal })
		next := old.nextProcess()
		next.launch()
		processes = append(processes, next)
		recordPeaks(500 * time.Millisecond)
		require.Contains(t, next.log.String(), "taking over from the running process")
		require.NoError(t, old.process.Process.Signal(syscall.SIGTERM))
		recordPeaks(time.Second)
		require.Zero(t, old.stop())
		processes = processes[1:]
	}
	load.finish()
	t.Logf("at most %d kB and %d descriptors, %d served, %d rejected", peakKB, peakDescriptors, load.served.Load(), load.rejected.Load())
	load.requireNoFailures(t)
	require.LessOrEqual(t, peakKB, memoryMB<<10)
	require.LessOrEqual(t, peakDescriptors, sockets)
	w.requireNoneRanTwice()
	require.Zero(t, processes[0].stop())
}

// Either process is killed at any stage of an upgrade, with long bodies in transit: at most the requests that it had
// accepted are lost, one per client. None runs twice, and the other process continues with the operators' settings.
func TestKillsDuringUpgrades(t *testing.T) {
	const clients = 8
	w := start(t, 3, withOpsSocket, (*testbed).useLongTimeouts)
	load := w.startLongBodyLoad(clients)
	current, disabled, lost := w, w.servers[2], int64(0)
	current.requireOpsOK("POST", "/ops/booking-servers/down", "s-2")
	requireServing := func(stage string) {
		before, goal := len(disabled.attempts()), load.served.Load()+40
		current.waitUntil(stage, func() bool { return load.served.Load() > goal })
		require.Len(t, disabled.attempts(), before, stage)
		require.LessOrEqual(t, load.lost.Load()-lost, int64(clients), stage)
		lost = load.lost.Load()
	}
	requireServing("alone")
	require.Zero(t, lost)
	for _, wait := range []time.Duration{0, 5, 15, 30, 60, 200} {
		next := current.nextProcess()
		next.launch()
		time.Sleep(wait * time.Millisecond)
		_ = next.process.Process.Kill()
		await(t, next.exited)
		requireServing(fmt.Sprint("the new process killed after ", wait*time.Millisecond))
	}
	for _, wait := range []time.Duration{0, 20, 100} { // from SIGTERM to SIGKILL
		next := current.upgrade()
		_ = current.process.Process.Signal(syscall.SIGTERM)
		time.Sleep(wait * time.Millisecond)
		_ = current.process.Process.Kill()
		await(t, current.exited)
		current = next
		requireServing(fmt.Sprint("the old process killed ", wait*time.Millisecond, " after its SIGTERM"))
		require.Equal(t, 1, current.stats().Ejected)
	}
	load.finish()
	require.Zero(t, load.connRefused.Load(), "no connection was refused")
	w.requireNoneRanTwice()
	require.Zero(t, current.stop())
	w.process = exec.Command("true") // replaces the killed process, for the exit code check
	require.NoError(t, w.process.Run())
}

// SIGHUP during an upgrade is applied by both processes: each watches discovery at the new address, and once the old one
// has exited the new limits apply.
func TestReloadDuringUpgrade(t *testing.T) {
	w := start(t, 2, withOpsSocket)
	first, second := w.discovery, newDiscovery(t)
	w.waitUntil("watch", func() bool { return first.watchCount() == 1 })
	next := w.upgrade()
	w.waitUntil("both watch", func() bool { return first.watchCount() == 2 })
	w.config["discovery"] = second.addr // both processes have the same configuration
	w.config["limits"].(object)["sockets"] = 700
	for _, p := range []*testbed{w, next} {
		p.writeConfig()
		require.NoError(t, p.process.Process.Signal(syscall.SIGHUP))
	}
	w.waitUntil("both watch the new address", func() bool { return second.watchCount() == 2 && first.watchCount() == 0 })
	for _, p := range []*testbed{w, next} {
		require.Contains(t, p.log.String(), "sockets=700")
	}
	second.sendLine(listJSON(60, false, w.servers[0].listEntry("leaving")))
	for _, p := range []*testbed{w, next} {
		p.waitUntil("update applied", func() bool { return p.stats().Size == 2 })
	}
	require.Zero(t, w.stop())
	next.waitUntil("full limits", func() bool { return strings.Contains(next.log.String(), "full limits") })
	before := len(w.servers[0].attempts())
	for range 20 {
		require.Equal(t, 200, next.send("consult").status)
	}
	require.Len(t, w.servers[0].attempts(), before, "an endpoint draining at the new address gets no requests")
	require.Zero(t, next.stop())
}

// Datagrams are sent from the same address, whichever process of an upgrade ends.
func TestDatagramsDuringUpgrades(t *testing.T) {
	w := start(t, 1, withOpsSocket)
	requireDatagrams := func(stage string) {
		buf := make([]byte, 1024)
		for range 2 { // a datagram in transit may be from the process that ended
			require.NoError(t, w.peer.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, from, err := w.peer.ReadFromUDP(buf)
			require.NoError(t, err, stage)
			require.Equal(t, w.addr, from.String(), stage)
		}
	}
	requireDatagrams("alone")
	failed := w.upgrade()
	w.waitUntil("the new process accepts clients", func() bool { return strings.Contains(w.log.String(), "the new process accepts clients") })
	_ = failed.process.Process.Kill()
	await(t, failed.exited)
	w.waitUntil("the old process continues", func() bool { return strings.Contains(w.log.String(), "this one continues") })
	requireDatagrams("after the new process died")
	next := w.upgrade()
	require.Zero(t, w.stop())
	requireDatagrams("after the old process ended")
	require.Zero(t, next.stop())
}
