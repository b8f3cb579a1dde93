package main

import (
	"fmt"
	"net/http"
	"net/http/httputil"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// coast and hills are deployments that have no name, class, tenant, limit, time or effect in common.
var (
	coast = deployment{
		zone: "wharf", kind: "granite", idPrefix: "gull-",
		tenants: []string{"lighthouse", "breakwater"}, quota: 900,
		classes: []class{
			{"browse", retryable, 15 * time.Second, 25 * time.Second, 1, 0},
			{"moor", fragile, 20 * time.Second, 40 * time.Second, 9, 0},
			{"logbook", dedup, 18 * time.Second, 35 * time.Second, 2, 30 * time.Second},
		},
		discovery: "on_request", maxAttempts: 3, retryAfter: true, maxRetryAfter: 700 * time.Millisecond,
		connectTimeout: 8 * time.Second, connIdle: 12 * time.Second, drainGrace: 2 * time.Second,
		slowStart: 4 * time.Second, slowStartCapacity: 0.5,
	}
	hills = deployment{
		zone: "ridge", kind: "basalt", idPrefix: "marmot-",
		tenants: []string{"shepherd", "alpinist", "beekeeper"}, quota: 400,
		classes: []class{
			{"summit", fragile, 30 * time.Second, 60 * time.Second, 3, 0},
			{"orchard", dedup, 24 * time.Second, 50 * time.Second, 5, 40 * time.Second},
			{"garden", dedup, 26 * time.Second, 65 * time.Second, 4, 0}, // keys are not retained
			{"meadow", retryable, 28 * time.Second, 55 * time.Second, 1, 0},
			{"glacier", fragile, 22 * time.Second, 45 * time.Second, 8, 0},
		},
		discovery: "pushed", maxAttempts: 2, retryAfter: false, maxRetryAfter: 4 * time.Second,
		connectTimeout: 6 * time.Second, connIdle: 20 * time.Second, drainGrace: time.Second,
		slowStart: 6 * time.Second, slowStartCapacity: 0.25,
	}
)

// allNames returns the names that a deployment uses: of zone, machine kind, endpoints, tenants and classes.
func (d deployment) allNames() []string {
	all := append([]string{d.zone, d.kind, d.idPrefix}, d.tenants...)
	for _, c := range d.classes {
		all = append(all, c.name)
	}
	return all
}

// requestFor returns a request of a class for a tenant. Its time left is about a minute longer than any class's deadline.
func (w *testbed) requestFor(class, tenant string) *http.Request {
	r := w.request(class, 120_000)
	r.Header.Set("X-Account", tenant)
	r.Header.Set("Cookie", "sid="+w.nextID()) // so that the requests go to all endpoints
	return r
}

// requireKeysForwarded checks that every attempt carries its request's idempotency key, or none if the class uses no keys.
func (w *testbed) requireKeysForwarded() {
	w.t.Helper()
	for _, s := range w.servers {
		for _, attempt := range s.attempts() {
			name, key := strings.Split(attempt.URL.Path, "/")[1], ""
			if w.deployment.classNamed(name).effect == dedup {
				key = "key of " + attempt.Header.Get("X-Correlation-Id")
			}
			require.Equal(w.t, key, attempt.Header.Get("Idempotency-Key"), name)
		}
	}
}

// requireAllServed checks that a request of every class is served for every tenant.
func (w *testbed) requireAllServed(d deployment) {
	w.t.Helper()
	for _, c := range d.classes {
		for _, tenant := range d.tenants {
			r := w.requestFor(c.name, tenant)
			got := w.do(r)
			require.Equal(w.t, http.StatusOK, got.status, "%s for %s: %s", c.name, tenant, got.body)
			require.True(w.t, strings.HasPrefix(got.body, r.Header.Get("X-Correlation-Id")+" "+d.idPrefix), got.body)
		}
	}
}

// requireAllUnknown checks that requests of every class of a deployment are rejected as of an unknown class, and that none
// is forwarded.
func (w *testbed) requireAllUnknown(d deployment) {
	w.t.Helper()
	before := w.attemptCount()
	for _, c := range d.classes {
		got := w.do(w.requestFor(c.name, d.tenants[0]))
		require.Equal(w.t, answer{http.StatusBadRequest, "unknown class\n", got.header}, got, c.name)
	}
	require.Equal(w.t, before, w.attemptCount(), "no request was forwarded")
}

// The same checks pass for two deployments that have nothing in common: an agent's behaviour depends on its settings only.
func TestDeployments(t *testing.T) {
	t.Parallel()
	for name, pair := range map[string][2]deployment{"coast": {coast, hills}, "hills": {hills, coast}} {
		own, other := pair[0], pair[1]
		for check, run := range map[string]func(*testbed){
			"served": func(w *testbed) {
				w.requireAllServed(own)
				for _, s := range w.servers {
					for _, attempt := range s.attempts() {
						c := own.classNamed(strings.Split(attempt.URL.Path, "/")[1])
						require.Equal(w.t, map[bool]string{true: "GET", false: "POST"}[c.effect == retryable], attempt.Method)
						timeLeft, err := strconv.Atoi(attempt.Header.Get("X-Time-Left-Ms"))
						require.NoError(w.t, err)
						require.LessOrEqual(w.t, time.Duration(timeLeft)*time.Millisecond, c.deadline, c.name)
					}
				}
			},
			"idempotency keys": func(w *testbed) {
				for _, c := range own.classes {
					w.answerFirst(func(upstreamAttempt) string { return reply("503 No", "", "X-Unprocessed: 1") }, ok)
					require.Equal(w.t, http.StatusOK, w.do(w.requestFor(c.name, own.tenants[0])).status, c.name)
				}
				require.Equal(w.t, 2*len(own.classes), w.attemptCount())
				w.requireKeysForwarded()
			},
			"unknown classes": func(w *testbed) { w.requireAllUnknown(other); w.requireAllServed(own) },
			"may have run": func(w *testbed) {
				for _, c := range own.classes {
					w.answerFirst(func(upstreamAttempt) string { return hangUp }, ok)
					before := w.attemptCount()
					got := w.do(w.requestFor(c.name, own.tenants[0]))
					status, attempts := http.StatusOK, 2
					if c.effect == fragile || c.effect == dedup && c.keyRetention == 0 {
						status, attempts = http.StatusBadGateway, 1
					}
					require.Equal(w.t, []int{status, attempts}, []int{got.status, w.attemptCount() - before}, c.name)
				}
			},
			"rejected": func(w *testbed) {
				w.answerAll(func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") })
				for _, c := range own.classes {
					before := w.attemptCount()
					got := w.do(w.requestFor(c.name, own.tenants[0]))
					require.Equal(w.t, http.StatusServiceUnavailable, got.status, c.name)
					require.LessOrEqual(w.t, w.attemptCount()-before, own.maxAttempts, c.name)
					after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					require.Equal(w.t, own.retryAfter, err == nil, got.header)
					require.LessOrEqual(w.t, after, own.maxRetryAfter.Seconds())
				}
			},
			"attempts": func(w *testbed) {
				w.answerAll(func(upstreamAttempt) string { return reply("500 Internal Server Error", "") })
				for _, c := range own.classes {
					if c.effect == retryable {
						w.do(w.requestFor(c.name, own.tenants[0]))
					}
				}
				require.Equal(w.t, own.maxAttempts, w.attemptCount())
			},
			"drains": func(w *testbed) {
				drains := w.startDrainCheck()
				w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
				drains.expectDrained(w.servers[1], 0)
				w.discovery.sendLine(listJSON(42, false, w.servers[1].listEntry("leaving")))
				drains.check()
				require.Empty(w.t, w.servers[0].attempts(), "the endpoint was draining from the start")
			},
		} {
			t.Run(name+"/"+check, func(t *testing.T) {
				t.Parallel()
				// A failure counts as an answer that takes about the latency objective, and the balancer makes no attempt
				// at a server that slow. So there are more servers than failures.
				w := newDeploymentTestbed(t, own, 8)
				if check == "drains" {
					w.config["known"] = object{"version": 41, "full": true, "servers": w.listEntries(w.servers[0])}
				}
				run(w.start())
			})
		}
	}
}

// transcript collects an agent's output: answers, forwarded requests, responses of its operators' socket, and its log.
type transcript struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *transcript) add(values ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintln(&s.text, values...)
}

// addOutput adds the output of a testbed's agent so far, except its answers.
func (s *transcript) addOutput(w *testbed) {
	for _, server := range w.servers {
		for _, attempt := range server.attempts() {
			head, err := httputil.DumpRequest(attempt.Request, false)
			require.NoError(w.t, err)
			s.add(string(head), attempt.body)
		}
	}
	for _, path := range []string{"/ops/stats", "/ops/readiness"} {
		_, text := w.callOps("GET", path, "")
		s.add(text)
	}
	s.add(w.log.String())
}

// requireNoNameOf checks that the output contains no name of a deployment.
func (s *transcript) requireNoNameOf(t *testing.T, of deployment) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, name := range of.allNames() {
		require.NotContains(t, s.text.String(), name)
	}
}

// sendAllCombinations sends requests of all classes of both deployments for all tenants of its own, with each kind of answer
// to the first attempt. It adds the answers to the transcript.
func (w *testbed) sendAllCombinations(s *transcript, own, other deployment) {
	for _, answer := range []func(upstreamAttempt) string{
		ok, func(upstreamAttempt) string { return reply("500 No", "") },
		func(upstreamAttempt) string { return reply("503 No", "", "X-Unprocessed: 1") }, func(upstreamAttempt) string { return hangUp },
	} {
		for _, c := range slices.Concat(own.classes, other.classes) {
			for _, tenant := range own.tenants {
				w.answerFirst(answer, ok)
				got := w.do(w.requestFor(c.name, tenant))
				s.add(got.status, got.header, got.body)
			}
		}
	}
}

// requireStatsOf checks that the agent's statistics have exactly a deployment's classes.
func (w *testbed) requireStatsOf(d deployment) {
	w.t.Helper()
	var want, got []string
	for _, c := range d.classes {
		want = append(want, c.name)
	}
	for name := range w.stats().Responses {
		got = append(got, name)
	}
	require.ElementsMatch(w.t, want, got)
}

// Two agents with the same name and temporary folder run on one machine, each with its own settings. Neither is affected
// by the other one's requests or by operators' commands to it.
func TestAgentsSideBySideShareNothing(t *testing.T) {
	t.Parallel()
	deployments := [2]deployment{coast, hills}
	var testbeds [2]*testbed
	folder := t.TempDir()
	for i, d := range deployments {
		testbeds[i] = newDeploymentTestbed(t, d, 3)
		testbeds[i].tempDir = folder
		testbeds[i].start(withOpsSocket)
		if i == 0 { // before the other agent starts
			testbeds[0].requireOpsOK("POST", "/ops/booking-servers/down", testbeds[0].servers[2].id)
			testbeds[0].requireOpsOK("POST", "/ops/drain/start", "")
		}
	}
	require.Equal(t, http.StatusOK, testbeds[1].readyStatus(), "the drain of the other agent does not affect this one")
	require.Zero(t, testbeds[1].stats().Ejected)
	require.NotContains(t, testbeds[1].log.String(), "taking over")
	testbeds[0].requireOpsOK("POST", "/ops/drain/stop", "")
	var all sync.WaitGroup
	var transcripts [2]transcript
	for i, w := range testbeds {
		all.Go(func() { w.sendAllCombinations(&transcripts[i], deployments[i], deployments[1-i]) })
	}
	all.Wait()
	for i, w := range testbeds {
		w.requireStatsOf(deployments[i])
		transcripts[i].addOutput(w)
		transcripts[i].requireNoNameOf(t, deployments[1-i])
	}
}

// An agent that reloads the configuration of another deployment keeps its own settings, and still knows only the classes
// of these. A process that takes over from it uses only the settings of the file.
func TestReloadIgnoresSettingsOfAnotherDeployment(t *testing.T) {
	t.Parallel()
	w := newDeploymentTestbed(t, coast, 3)
	w.start(withOpsSocket)
	w.waitUntil("watch", func() bool { return w.discovery.watchCount() == 1 })
	var output, successorOutput transcript
	own, limits := w.config["settings"], w.config["limits"]
	for round, settings := range []any{hills.settings(), own, hills.settings()} {
		w.config["settings"] = settings
		w.config["limits"] = object{"cores": 1.0, "memory_mb": 160 + round, "sockets": 900 + round}
		w.writeConfig()
		require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
		w.waitUntil("configuration applied", func() bool {
			return strings.Contains(w.log.String(), fmt.Sprintf("memory_mb=%d sockets=%d", 160+round, 900+round))
		})
		w.requireAllUnknown(hills)
		w.sendAllCombinations(&output, coast, hills)
		w.requireStatsOf(coast)
	}
	output.addOutput(w)
	output.requireNoNameOf(t, hills)
	w.config["limits"] = limits

	successor := w.nextProcess()
	successor.deployment = hills
	successor.servers = nil
	var entries []object
	for i := range 3 {
		s := newServer(t, fmt.Sprint(hills.idPrefix, i))
		s.zone, s.kind = hills.zone, hills.kind
		successor.servers, entries = append(successor.servers, s), append(entries, s.listEntry("active"))
	}
	w.config["known"] = object{"version": 7, "full": true, "servers": entries}
	successor.launch()
	successor.waitUntil("ready", func() bool {
		resp, err := http.Get("http://" + successor.opsAddr + "/ops/readiness")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	})
	require.Zero(t, w.stop())
	successor.requireAllServed(hills)
	successor.requireAllUnknown(coast)
	successor.sendAllCombinations(&successorOutput, hills, coast)
	successor.requireStatsOf(hills)
	successorOutput.addOutput(successor)
	successorOutput.requireNoNameOf(t, coast)
	require.Zero(t, successor.stop())
}

// An agent's state belongs to the deployment that the operator file named at its start, although a reload changed the
// name. A process that takes over under the new name does not restore the state.
func TestStateIsNotRestoredForAnotherDeployment(t *testing.T) {
	w := start(t, 2, withOpsSocket, func(w *testbed) { w.operatorFile = "[state]\ndeployment = \"coast\"\n" })
	w.operatorFile = "[state]\ndeployment = \"hills\"\n"
	w.writeConfig()
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	w.waitUntil("configuration applied", func() bool { return strings.Contains(w.log.String(), "configuration applied") })
	next := w.upgrade()
	require.Contains(t, next.log.String(), `msg="state not restored" error="state: belongs to another agent or another deployment"`)
	require.NotContains(t, next.log.String(), `msg="state restored"`)
	require.Zero(t, w.stop())
	require.Zero(t, next.stop())
}
