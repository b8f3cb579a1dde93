package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drainGraceWithSlack returns for how long after a drain has been reported an endpoint may still get requests, with a
// tolerance of 50 ms.
func (w *testbed) drainGraceWithSlack() time.Duration {
	return w.deployment.drainGrace + 50*time.Millisecond
}

// drainChecker checks that draining endpoints get no requests after their deadlines.
type drainChecker struct {
	testbed     *testbed
	deadlines   map[*server]time.Time // the last time at which an endpoint may get requests
	stopClients func()
}

// startDrainCheck starts clients that send requests with new keys all the time, so that every endpoint in use gets requests.
func (w *testbed) startDrainCheck() *drainChecker {
	done := make(chan struct{})
	var clients sync.WaitGroup
	for range 4 {
		clients.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				r := w.request(w.deployment.classes[1].name, 900)
				r.Header.Set("Cookie", fmt.Sprintf("sid=%x", rand.Uint64()))
				if resp, err := http.DefaultClient.Do(r); err == nil {
					_ = resp.Body.Close()
				}
			}
		})
	}
	end := sync.OnceFunc(func() { close(done); clients.Wait() })
	w.t.Cleanup(end)
	return &drainChecker{testbed: w, deadlines: map[*server]time.Time{}, stopClients: end}
}

// expectDrained waits until the endpoint gets requests, and sets its deadline: its drain counts as reported after the delay.
func (d *drainChecker) expectDrained(s *server, delay time.Duration) {
	d.testbed.t.Helper()
	before := len(s.attempts())
	d.testbed.waitUntil("request at "+s.id, func() bool { return len(s.attempts()) > before })
	d.deadlines[s] = time.Now().Add(delay + d.testbed.drainGraceWithSlack())
}

// check waits until after all deadlines, and requires that no endpoint got a request after its own.
func (d *drainChecker) check() {
	d.testbed.t.Helper()
	last := time.Now()
	for _, at := range d.deadlines {
		if at.After(last) {
			last = at
		}
	}
	time.Sleep(time.Until(last.Add(300 * time.Millisecond)))
	d.stopClients()
	for s, at := range d.deadlines {
		for _, attempt := range s.attempts() {
			require.False(d.testbed.t, attempt.receivedAt.After(at), "%s got a request %v after the deadline of its drain", s.id, attempt.receivedAt.Sub(at))
		}
	}
}

// listEntries returns the list entries of all endpoints. Those given are draining.
func (w *testbed) listEntries(drain ...*server) (all []object) {
	for _, s := range w.servers {
		all = append(all, s.listEntry("active"))
		for _, d := range drain {
			if d == s {
				all[len(all)-1] = s.listEntry("leaving")
			}
		}
	}
	return all
}

func indented(t *testing.T, line string) string {
	var text bytes.Buffer
	require.NoError(t, json.Indent(&text, []byte(line), "", "  "))
	return text.String()
}

// A watch ends before it reports a drain, and the next watch begins with a full list without the endpoint. The agent
// removes the endpoint, although it still answers.
func TestFullListRemovesUnlistedEndpoint(t *testing.T) {
	t.Parallel()
	w := newSerialTestbed(t, 4).start()
	discovery := w.discovery
	w.waitUntil("watch", func() bool { return discovery.watchCount() == 1 })
	drains := w.startDrainCheck()
	unlisted, others := w.servers[3], []object{}
	for _, s := range w.servers[:3] {
		others = append(others, s.listEntry("active"))
	}
	discovery.setInitialText(listJSON(43, true, others...) + "\n")
	drains.expectDrained(unlisted, 0)
	discovery.endWatches()
	w.waitUntil("new watch", func() bool { return discovery.watchCount() == 1 })
	drains.check()
}

// A drain is applied whatever the form of the list that reports it.
func TestDrainAppliesInAnyListForm(t *testing.T) {
	t.Parallel()
	retryIfStalled(t, func() error { return tryDrainListForms(t) }) // pieces that arrive over 0.75 s apart end a watch
}

func tryDrainListForms(t *testing.T) error {
	w := newSerialTestbed(t, 8).start()
	discovery := w.discovery
	w.waitUntil("watch", func() bool { return discovery.watchCount() == 1 })
	drains := w.startDrainCheck()
	lastDraining, fullRequested := 0, true
	nextDraining := func() object { lastDraining++; return w.servers[lastDraining].listEntry("leaving") }
	for i, report := range []func(version int){
		func(version int) { discovery.sendLine(indented(t, listJSON(version, false, nextDraining()))) },
		func(version int) {
			for _, piece := range strings.SplitAfter(listJSON(version, false, nextDraining())+"\n", `"`) {
				discovery.sendText(piece)
				time.Sleep(10 * time.Millisecond)
			}
		},
		func(version int) {
			line := listJSON(version, false, nextDraining())
			discovery.sendText(line + "\n" + line + "\n")
		},
		func(version int) {
			discovery.sendText(listJSON(version, false) + listJSON(version, false, nextDraining()) + "\n\n\n")
		},
		func(version int) { // out of order: the agent requests the full list
			discovery.setInitialText(indented(t, listJSON(version, true, w.listEntries(append(w.servers[1:lastDraining+1], w.servers[lastDraining+1])...)...)) + "\n")
			lastDraining++
			discovery.sendLine(listJSON(12, false, w.servers[1].listEntry("active")))
			requested := func() bool { calls := discovery.callTargets(); return strings.HasSuffix(calls[len(calls)-1], "from=0") }
			for until := time.Now().Add(5 * time.Second); !requested() && time.Now().Before(until); {
				time.Sleep(time.Millisecond)
			}
			fullRequested = requested() // false if a busy machine let the watch end before
		},
		func(int) { // versions that restart at 1
			discovery.setInitialText(listJSON(1, true, w.listEntries(w.servers[1:lastDraining+1]...)...) + "\n")
			discovery.endWatches()
			w.waitUntil("new watch", func() bool { return discovery.watchCount() == 1 })
			discovery.sendLine(listJSON(2, false, nextDraining()))
		},
	} {
		drains.expectDrained(w.servers[i+1], 0)
		report(42 + i)
	}
	drains.check()
	if !fullRequested {
		return errors.New("the full list was not requested after a list that is out of order")
	}
	if n := len(discovery.callTargets()); n != 3 {
		return fmt.Errorf("%d calls: a watch may only end when a list is out of order or discovery ends it", n)
	}
	return nil
}

// With discovery set to pushed, the agent watches discovery all the same, as nothing is pushed over a socket. An endpoint
// that is draining in the configured list gets no requests from the start.
func TestPushedDiscoveryIsStillWatched(t *testing.T) {
	w := newTestbed(t, 3)
	w.config["settings"].(object)["discovery"] = "pushed"
	w.config["known"] = object{"version": 41, "full": true, "servers": w.listEntries(w.servers[0])}
	w.start()
	drains := w.startDrainCheck()
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	drains.expectDrained(w.servers[1], 0)
	w.discovery.sendLine(listJSON(42, false, w.servers[1].listEntry("leaving")))
	drains.check()
	require.Empty(t, w.servers[0].attempts())
}

// A silent watch is replaced, and a drain that it missed is applied 3 s after it counts as reported. That is 6 s after
// the silence began, or 4 s after SIGHUP has changed discovery's address. This also applies in a large fleet, where
// discovery delays the call that replaces the watch, and where the watch falls silent while the call to the new address
// waits.
func TestDrainMissedBySilentWatch(t *testing.T) {
	t.Parallel()
	const emptyLineInterval, callDelay = 500 * time.Millisecond, 1500 * time.Millisecond
	for name, c := range map[string]struct {
		agents    int
		callDelay time.Duration
		moved     bool
	}{
		"large fleet":               {318, 0, false},
		"large fleet, delayed call": {318, callDelay, false},
		"delayed call":              {2, callDelay, false},
		"new address":               {2, callDelay, true},
	} {
		t.Run(name, func(t *testing.T) {
			w := start(t, 3, func(w *testbed) { w.config["settings"].(object)["balancers"] = c.agents })
			w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
			next, reportedAfter := w.discovery, 6*time.Second-emptyLineInterval
			if c.moved {
				next, reportedAfter = newDiscovery(t), 4*time.Second
				w.config["discovery"] = next.addr
				w.writeConfig()
			}
			next.mu.Lock()
			next.responseDelay, next.initialText = c.callDelay, indented(t, listJSON(42, false, w.servers[0].listEntry("leaving")))+"\n"
			next.mu.Unlock()
			drains := w.startDrainCheck()
			drains.expectDrained(w.servers[0], reportedAfter)
			w.discovery.stopKeepalives()
			if c.moved {
				require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
			}
			drains.check()
			require.Positive(t, next.watchCount())
		})
	}
}

// Discovery reports a drain byte by byte, and would answer another call at once: the drain is applied in time.
func TestDrainMissedInTrickledObject(t *testing.T) {
	t.Parallel()
	w := newSerialTestbed(t, 3).start()
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	drains := w.startDrainCheck()
	drains.expectDrained(w.servers[0], missedKnownAfter)
	line := listJSON(42, false, w.servers[0].listEntry("leaving")) + "\n"
	w.discovery.setInitialText(line)
	done := make(chan struct{})
	var trickle sync.WaitGroup
	trickle.Go(func() {
		for _, piece := range strings.Split(line, "") {
			if w.discovery.sendText(piece); w.discovery.watchCount() == 0 {
				return
			}
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	})
	drains.check()
	close(done)
	trickle.Wait()
}

// A watch on which only empty lines arrive stays open: each new call costs discovery work.
func TestWatchWithoutUpdatesStaysOpen(t *testing.T) {
	w := start(t, 1)
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	time.Sleep(4 * time.Second)
	require.Len(t, w.discovery.callTargets(), 1)
}

// While discovery is unreachable the agent applies the list that it has: the configured one from the start, and in the
// next outage what it received in between.
func TestListAppliesWithoutDiscovery(t *testing.T) {
	t.Parallel()
	for _, mode := range []string{"on_request", "pushed"} {
		t.Run(mode, func(t *testing.T) {
			w := newTestbed(t, 4)
			w.config["settings"].(object)["discovery"] = mode
			w.config["known"] = object{"version": 41, "full": true, "servers": w.listEntries(w.servers[0])}
			w.discovery.setResponse(http.StatusServiceUnavailable, false)
			w.start()
			drains := w.startDrainCheck()
			w.waitUntil("failed call", func() bool { return len(w.discovery.callTargets()) > 0 })
			drains.expectDrained(w.servers[1], 0)
			w.discovery.setInitialText(listJSON(42, false, w.servers[1].listEntry("leaving")) + "\n")
			w.discovery.setResponse(http.StatusOK, false)
			w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
			drains.deadlines[w.servers[1]] = time.Now().Add(w.drainGraceWithSlack())
			w.discovery.setResponse(http.StatusServiceUnavailable, false)
			w.discovery.endWatches()
			before := len(w.discovery.callTargets())
			w.waitUntil("more failed calls", func() bool { return len(w.discovery.callTargets()) > before+1 })
			drains.check()
			require.Empty(t, w.servers[0].attempts())
		})
	}
}
