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

// upgrade starts the program a second time, with another ops address, and waits until it says yes.
func (w *testbed) upgrade() *testbed {
	next := w.another()
	next.launch()
	next.untilReady()
	return next
}

// untilReady waits until the process says yes at its ops address.
func (w *testbed) untilReady() {
	w.until("ready", func() bool {
		resp, err := http.Get("http://" + w.opsAddr + "/ops/readiness")
		if err != nil {
			return false
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
}

// another is the same agent's next process, not started yet.
func (w *testbed) another() *testbed {
	next := &testbed{
		t: w.t, deployment: w.deployment, config: w.config, env: w.env, operatorFile: w.operatorFile, program: w.program, addr: w.addr,
		tempDir: w.tempDir, log: &logBuffer{}, exited: make(chan struct{}), servers: w.servers, discovery: w.discovery,
	}
	next.lastID.Store(w.lastID.Load() + 1_000_000)
	door(next)
	return next
}

// load has clients ask all the time, on connections that they keep, and counts what they get. A request that
// meets a close which it crossed is sent once more, as the protocol says.
type load struct {
	bodySize                    int           // of what must not run twice; zero: a short one
	pause                       time.Duration // of each client
	stop                        chan struct{}
	wait                        sync.WaitGroup
	ok, rejected, lost, refused atomic.Int64
	failed                      atomic.Int64 // answers that say that it failed
	firstFailure                atomic.Value // of what was lost or failed
}

// tell keeps what was lost or failed first.
func (l *load) noteFailure(what ...any) { l.firstFailure.CompareAndSwap(nil, fmt.Sprint(what...)) }

// none tells that nothing was lost, turned back or failed.
func (l *load) none(t *testing.T) {
	t.Helper()
	require.Equal(t, []int64{0, 0, 0}, []int64{l.lost.Load(), l.refused.Load(), l.failed.Load()}, "beside %d that were served: %v",
		l.ok.Load(), l.firstFailure.Load())
}

func (w *testbed) load(clients int) *load {
	return w.runLoad(clients, &load{pause: 2 * time.Millisecond})
}

// startLongBodyLoad is a load of bodies that are passed on as they come, both ways.
func (w *testbed) startLongBodyLoad(clients int) *load {
	const size = 150_000
	rest := strings.Repeat("x", size)
	w.answerAll(func(s upstreamAttempt) string { return reply("200 OK", idOf(s)+rest) })
	return w.runLoad(clients, &load{bodySize: size, pause: 15 * time.Millisecond})
}

func (w *testbed) runLoad(clients int, l *load) *load {
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

func (l *load) send(client *http.Client, r *http.Request) {
	resp, err := client.Do(r)
	if errors.Is(err, syscall.ECONNRESET) && r.GetBody != nil { // the library sends a long one no second time
		r.Body, _ = r.GetBody()
		resp, err = client.Do(r)
	}
	if err != nil {
		l.noteFailure(err)
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			l.refused.Add(1)
		} else {
			l.lost.Add(1)
		}
		return
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	switch {
	case err != nil || resp.StatusCode == 200 && !strings.HasPrefix(string(body), r.Header.Get("X-Correlation-Id")):
		l.noteFailure(resp.StatusCode, len(body), err)
		l.lost.Add(1)
	case resp.StatusCode == 200:
		l.ok.Add(1)
	case resp.StatusCode == 503, resp.StatusCode == 429:
		l.rejected.Add(1)
	default:
		l.noteFailure(resp.StatusCode, string(body))
		l.failed.Add(1)
	}
}

func (l *load) end() { close(l.stop); l.wait.Wait() }

// once tells that no booking ran twice.
func (w *testbed) once() {
	w.t.Helper()
	ran := map[string]int{}
	for _, s := range w.servers {
		for _, step := range s.attempts() {
			if strings.HasPrefix(step.URL.Path, "/rezervare") {
				ran[idOf(step)]++
			}
		}
	}
	for id, n := range ran {
		require.Equal(w.t, 1, n, id)
	}
}

// Upgrades under load, one after the other, with endpoints out by hand before, between and after: nothing is
// lost, nothing turned back, no booking runs twice, bans hold, and the old process ends by itself.
func TestConsecutiveUpgradesUnderLoad(t *testing.T) {
	w := start(t, 3, door, (*testbed).useLongTimeouts)
	l := w.load(8)
	w.until("load", func() bool { return l.ok.Load() > 50 })
	now, out := w, 0
	ban := func(id int) {
		now.yes("POST", "/ops/booking-servers/up", fmt.Sprint("s-", out))
		out = id
		now.yes("POST", "/ops/booking-servers/down", fmt.Sprint("s-", out))
	}
	ban(0)
	for i := range 3 {
		next := now.upgrade()
		require.Contains(t, next.log.String(), "taking over from the running process")
		ban((i + 1) % 3) // told to the old one while both run
		require.Zero(t, now.stop(), now.log.String())
		now = next
		now.until("full limits", func() bool { return strings.Contains(now.log.String(), "full limits") })
		before := len(w.servers[out].attempts())
		goal := l.ok.Load() + 100
		w.until("it goes on", func() bool { return l.ok.Load() > goal })
		require.Len(t, w.servers[out].attempts(), before, "a booking server that is out gets nothing")
		require.Equal(t, 1, now.stats().Ejected)
	}
	l.end()
	l.none(t)
	w.once()
	require.Zero(t, now.stop())
}

// A new process that dies before it takes clients, or at any time, leaves the old one as it was; an old one that is
// killed leaves all to the new one.
func TestFailedUpgradeLeavesOldProcess(t *testing.T) {
	w := start(t, 2, door, (*testbed).useLongTimeouts)
	for _, wait := range []time.Duration{0, 2, 5, 10, 20, 50} {
		next := w.another()
		next.launch()
		time.Sleep(wait * time.Millisecond)
		_ = next.process.Process.Kill()
		await(t, next.exited)
		for range 5 {
			require.Equal(t, 200, w.send("consult").status)
		}
	}
	taken := w.another()
	taken.opsAddr = w.opsAddr // an address that is in use ends its start
	taken.launch()
	await(t, taken.exited)
	require.Equal(t, 1, taken.process.ProcessState.ExitCode())
	w.yes("POST", "/ops/booking-servers/down", "s-1")
	next := w.upgrade()
	_ = w.process.Process.Kill()
	await(t, w.exited)
	next.until("full limits", func() bool { return strings.Contains(next.log.String(), "full limits") })
	before := len(w.servers[1].attempts())
	for range 20 {
		require.Equal(t, 200, next.send("consult").status)
	}
	require.Len(t, w.servers[1].attempts(), before)
	require.Zero(t, next.stop())
	w.process = exec.Command("true") // it was killed: there is no exit code to look at
	require.NoError(t, w.process.Run())
}

// Staff tell both processes of an upgrade at the same moment: both hold what either was told, and so does the next.
func TestOpsCallsAtBothProcesses(t *testing.T) {
	now := start(t, 4, door)
	for round := range 4 {
		next := now.upgrade()
		var calls sync.WaitGroup
		for i, p := range []*testbed{now, next} {
			calls.Go(func() { p.yes("POST", "/ops/booking-servers/down", fmt.Sprint("s-", (round+i)%4)) })
		}
		calls.Wait()
		for _, p := range []*testbed{now, next} {
			p.until("both are out", func() bool { return p.stats().Ejected == 2 })
		}
		require.Zero(t, now.stop())
		now = next.upgrade()
		require.Equal(t, 2, now.stats().Ejected, "over the next upgrade")
		require.Zero(t, next.stop())
		for i := range 2 {
			now.yes("POST", "/ops/booking-servers/up", fmt.Sprint("s-", (round+i)%4))
		}
		require.Zero(t, now.stats().Ejected)
	}
	require.Zero(t, now.stop())
}

// A drain by hand holds over an upgrade, the new process says that it has taken over, and takes clients at the stop.
func TestUpgradeWhileDrained(t *testing.T) {
	w := start(t, 1, door)
	w.yes("POST", "/ops/drain/start", "")
	next := w.upgrade()
	require.Equal(t, 503, next.readyStatus())
	require.Zero(t, w.stop())
	require.Equal(t, 503, next.readyStatus())
	next.yes("POST", "/ops/drain/stop", "")
	require.Equal(t, 200, next.readyStatus())
	require.Zero(t, next.stop())
}

// What lies in the folder may be anything: the start is a fresh one then, with a line in the log.
func TestInvalidHandoverFiles(t *testing.T) {
	first := start(t, 1, door)
	first.yes("POST", "/ops/booking-servers/down", "s-0")
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
	for name, spoil := range map[string]func(){
		"torn":      func() { require.NoError(t, os.WriteFile(file, raw[:len(raw)/2], 0o600)) },
		"foreign":   func() { require.NoError(t, os.WriteFile(file, []byte(`{"format":1,"agent":"n7"}`), 0o600)) },
		"a folder":  func() { require.NoError(t, os.Mkdir(file, 0o700)) },
		"of future": func() { require.NoError(t, os.WriteFile(file, []byte(`{"format":9,"agent":"n0"}`), 0o600)) },
	} {
		require.NoError(t, os.RemoveAll(file))
		spoil()
		l, err := net.Listen("unix", socket+".x")
		require.NoError(t, err)
		require.NoError(t, os.Rename(socket+".x", socket)) // one who says nothing sensible
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

// A long body and a long answer that are on their way go on to their ends at the old process, while it ends.
func TestUpgradeWithLongBodies(t *testing.T) {
	const size = 400_000
	w := start(t, 1, door, (*testbed).useLongTimeouts)
	came, goOn := w.servers[0].pausing(size, size/2)
	begun, _ := w.upload("Content-Length: 2")
	_, _ = io.WriteString(begun, "ab")
	await(t, came)
	upload, id := w.upload(fmt.Sprint("Content-Length: ", size))
	body := long(size, id)
	_, _ = io.WriteString(upload, body[:size/2])
	next := w.upgrade()
	require.NoError(t, w.process.Process.Signal(syscall.SIGTERM))
	w.until("it ends", func() bool { return strings.Contains(w.log.String(), "draining") })
	close(goOn)
	_, _ = io.WriteString(upload, body[size/2:])
	for _, c := range []net.Conn{begun, upload} {
		status, text := answered(t, c)
		require.Equal(t, 200, status)
		require.Len(t, text, size)
	}
	require.Zero(t, w.stop())
	require.Zero(t, next.stop())
}

// Memory and descriptors of both processes together stay within one agent's limits while one takes over from the
// other under a load of long bodies both ways, and nothing is lost.
func TestUpgradeStaysWithinLimits(t *testing.T) {
	const memoryMB, sockets = 32, 256
	w := newSerialTestbed(t, 3).start(door, (*testbed).useLongTimeouts, usePlainBinary, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = memoryMB
		w.config["limits"].(object)["sockets"] = sockets
	})
	l := w.startLongBodyLoad(80) // a third of the descriptors
	both := []*testbed{w}
	most := func() (kB, descriptors int) {
		file := 0 // of the program, the same pages in both
		for _, p := range both {
			kB, descriptors = kB+p.status("RssAnon"), descriptors+p.descriptors()
			file = max(file, p.status("RssFile"))
		}
		return kB + file, descriptors
	}
	var peakKB, peakDescriptors int
	look := func(span time.Duration) {
		for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
			kB, descriptors := most()
			peakKB, peakDescriptors = max(peakKB, kB), max(peakDescriptors, descriptors)
		}
	}
	for range 3 {
		old := both[0]
		goal := l.ok.Load() + 50
		w.until("it goes on", func() bool { return l.ok.Load() > goal })
		next := old.another()
		next.launch()
		both = append(both, next)
		look(500 * time.Millisecond)
		require.Contains(t, next.log.String(), "taking over from the running process")
		require.NoError(t, old.process.Process.Signal(syscall.SIGTERM))
		look(time.Second)
		require.Zero(t, old.stop())
		both = both[1:]
	}
	l.end()
	t.Logf("at most %d kB and %d descriptors, %d served, %d refused", peakKB, peakDescriptors, l.ok.Load(), l.rejected.Load())
	l.none(t)
	require.LessOrEqual(t, peakKB, memoryMB<<10)
	require.LessOrEqual(t, peakDescriptors, sockets)
	w.once()
	require.Zero(t, both[0].stop())
}

// Either process is killed at any stage, with long bodies on the way: only what it had taken is lost, at most one
// request of each client, none runs twice, and the other goes on with what was set by hand.
func TestKillsDuringUpgrades(t *testing.T) {
	const clients = 8
	w := start(t, 3, door, (*testbed).useLongTimeouts)
	l := w.startLongBodyLoad(clients)
	now, out, lost := w, w.servers[2], int64(0)
	now.yes("POST", "/ops/booking-servers/down", "s-2")
	goesOn := func(stage string) {
		before, goal := len(out.attempts()), l.ok.Load()+40
		now.until(stage, func() bool { return l.ok.Load() > goal })
		require.Len(t, out.attempts(), before, stage)
		require.LessOrEqual(t, l.lost.Load()-lost, int64(clients), stage)
		lost = l.lost.Load()
	}
	goesOn("alone")
	require.Zero(t, lost)
	for _, wait := range []time.Duration{0, 5, 15, 30, 60, 200} {
		next := now.another()
		next.launch()
		time.Sleep(wait * time.Millisecond)
		_ = next.process.Process.Kill()
		await(t, next.exited)
		goesOn(fmt.Sprint("the new one killed after ", wait*time.Millisecond))
	}
	for _, wait := range []time.Duration{0, 20, 100} { // after its SIGTERM
		next := now.upgrade()
		_ = now.process.Process.Signal(syscall.SIGTERM)
		time.Sleep(wait * time.Millisecond)
		_ = now.process.Process.Kill()
		await(t, now.exited)
		now = next
		goesOn(fmt.Sprint("the old one killed ", wait*time.Millisecond, " after its SIGTERM"))
		require.Equal(t, 1, now.stats().Ejected)
	}
	l.end()
	require.Zero(t, l.refused.Load(), "no connection was refused")
	w.once()
	require.Zero(t, now.stop())
	w.process = exec.Command("true") // it was killed: there is no exit code to look at
	require.NoError(t, w.process.Run())
}

// SIGHUP in the middle of an upgrade is taken by both processes: each has the list from the new address, and the
// limits that are there once the old one has ended are the new ones.
func TestReloadDuringUpgrade(t *testing.T) {
	w := start(t, 2, door)
	first, second := w.discovery, newDiscovery(t)
	w.until("watch", func() bool { return first.watched() == 1 })
	next := w.upgrade()
	w.until("both watch", func() bool { return first.watched() == 2 })
	w.config["discovery"] = second.addr // both have it
	w.config["limits"].(object)["sockets"] = 700
	for _, p := range []*testbed{w, next} {
		p.configure()
		require.NoError(t, p.process.Process.Signal(syscall.SIGHUP))
	}
	w.until("both watch the new address", func() bool { return second.watched() == 2 && first.watched() == 0 })
	for _, p := range []*testbed{w, next} {
		require.Contains(t, p.log.String(), "sockets=700")
	}
	second.say(list(60, false, w.servers[0].entry("leaving")))
	for _, p := range []*testbed{w, next} {
		p.until("told", func() bool { return p.stats().Size == 2 })
	}
	require.Zero(t, w.stop())
	next.until("full limits", func() bool { return strings.Contains(next.log.String(), "full limits") })
	before := len(w.servers[0].attempts())
	for range 20 {
		require.Equal(t, 200, next.send("consult").status)
	}
	require.Len(t, w.servers[0].attempts(), before, "what drains by the new address gets nothing")
	require.Zero(t, next.stop())
}

// The agent's datagrams go on whichever process of an upgrade ends, from the same address.
func TestDatagramsDuringUpgrades(t *testing.T) {
	w := start(t, 1, door)
	heard := func(what string) {
		buf := make([]byte, 1024)
		for range 2 { // what is on its way may be of the one that ended
			require.NoError(t, w.peer.SetReadDeadline(time.Now().Add(waitTimeout)))
			_, from, err := w.peer.ReadFromUDP(buf)
			require.NoError(t, err, what)
			require.Equal(t, w.addr, from.String(), what)
		}
	}
	heard("alone")
	failed := w.upgrade()
	w.until("the new one speaks", func() bool { return strings.Contains(w.log.String(), "the new process accepts clients") })
	_ = failed.process.Process.Kill()
	await(t, failed.exited)
	w.until("it goes on", func() bool { return strings.Contains(w.log.String(), "this one continues") })
	heard("the new one has died")
	next := w.upgrade()
	require.Zero(t, w.stop())
	heard("the old one has ended")
	require.Zero(t, next.stop())
}
