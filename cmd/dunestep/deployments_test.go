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
			{"garden", dedup, 26 * time.Second, 65 * time.Second, 4, 0}, // whose key is forgotten at once
			{"meadow", retryable, 28 * time.Second, 55 * time.Second, 1, 0},
			{"glacier", fragile, 22 * time.Second, 45 * time.Second, 8, 0},
		},
		discovery: "pushed", maxAttempts: 2, retryAfter: false, maxRetryAfter: 4 * time.Second,
		connectTimeout: 6 * time.Second, connIdle: 20 * time.Second, drainGrace: time.Second,
		slowStart: 6 * time.Second, slowStartCapacity: 0.25,
	}
)

// words are the names of a deployment.
func (d deployment) allNames() []string {
	all := append([]string{d.zone, d.kind, d.idPrefix}, d.tenants...)
	for _, c := range d.classes {
		all = append(all, c.name)
	}
	return all
}

// requestFor is a request of a class for a tenant, whose client waits for a minute longer than any class does.
func (w *testbed) requestFor(class, tenant string) *http.Request {
	r := w.request(class, 120_000)
	r.Header.Set("X-Account", tenant)
	r.Header.Set("Cookie", "sid="+w.nextID()) // so that all endpoints get some
	return r
}

// requireKeysForwarded looks that every step has the key that its request had, which is none but where the class has keys.
func (w *testbed) requireKeysForwarded() {
	w.t.Helper()
	for _, s := range w.servers {
		for _, st := range s.attempts() {
			name, key := strings.Split(st.URL.Path, "/")[1], ""
			if w.deployment.classNamed(name).effect == dedup {
				key = "key of " + st.Header.Get("X-Correlation-Id")
			}
			require.Equal(w.t, key, st.Header.Get("Idempotency-Key"), name)
		}
	}
}

// requireAllServed has a request of every class served for every tenant.
func (w *testbed) requireAllServed(site deployment) {
	w.t.Helper()
	for _, c := range site.classes {
		for _, tenant := range site.tenants {
			r := w.requestFor(c.name, tenant)
			got := w.do(r)
			require.Equal(w.t, http.StatusOK, got.status, "%s for %s: %s", c.name, tenant, got.body)
			require.True(w.t, strings.HasPrefix(got.body, r.Header.Get("X-Correlation-Id")+" "+site.idPrefix), got.body)
		}
	}
}

// requireAllUnknown has every class of a deployment rejected as unknown, with no word of it forwarded.
func (w *testbed) requireAllUnknown(site deployment) {
	w.t.Helper()
	before := w.attemptCount()
	for _, c := range site.classes {
		got := w.do(w.requestFor(c.name, site.tenants[0]))
		require.Equal(w.t, answer{http.StatusBadRequest, "unknown class\n", got.header}, got, c.name)
	}
	require.Equal(w.t, before, w.attemptCount(), "sent on")
}

// The same is asked of two deployments that have nothing in common: what an agent does goes by its settings alone.
func TestDeployments(t *testing.T) {
	t.Parallel()
	for name, pair := range map[string][2]deployment{"coast": {coast, hills}, "hills": {hills, coast}} {
		site, other := pair[0], pair[1]
		for what, look := range map[string]func(*testbed){
			"served": func(w *testbed) {
				w.requireAllServed(site)
				for _, s := range w.servers {
					for _, st := range s.attempts() {
						c := site.classNamed(strings.Split(st.URL.Path, "/")[1])
						require.Equal(w.t, map[bool]string{true: "GET", false: "POST"}[c.effect == retryable], st.Method)
						told, err := strconv.Atoi(st.Header.Get("X-Time-Left-Ms"))
						require.NoError(w.t, err)
						require.LessOrEqual(w.t, time.Duration(told)*time.Millisecond, c.deadline, c.name)
					}
				}
			},
			"keys": func(w *testbed) {
				for _, c := range site.classes {
					w.answerFirst(func(upstreamAttempt) string { return reply("503 No", "", "X-Unprocessed: 1") }, ok)
					require.Equal(w.t, http.StatusOK, w.do(w.requestFor(c.name, site.tenants[0])).status, c.name)
				}
				require.Equal(w.t, 2*len(site.classes), w.attemptCount())
				w.requireKeysForwarded()
			},
			"unknown": func(w *testbed) { w.requireAllUnknown(other); w.requireAllServed(site) },
			"may have run": func(w *testbed) {
				for _, c := range site.classes {
					w.answerFirst(func(upstreamAttempt) string { return hangUp }, ok)
					before := w.attemptCount()
					got := w.do(w.requestFor(c.name, site.tenants[0]))
					status, steps := http.StatusOK, 2
					if c.effect == fragile || c.effect == dedup && c.keyRetention == 0 {
						status, steps = http.StatusBadGateway, 1
					}
					require.Equal(w.t, []int{status, steps}, []int{got.status, w.attemptCount() - before}, c.name)
				}
			},
			"refused": func(w *testbed) {
				w.answerAll(func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") })
				for _, c := range site.classes {
					before := w.attemptCount()
					got := w.do(w.requestFor(c.name, site.tenants[0]))
					require.Equal(w.t, http.StatusServiceUnavailable, got.status, c.name)
					require.LessOrEqual(w.t, w.attemptCount()-before, site.maxAttempts, c.name)
					after, err := strconv.ParseFloat(got.header.Get("Retry-After"), 64)
					require.Equal(w.t, site.retryAfter, err == nil, got.header)
					require.LessOrEqual(w.t, after, site.maxRetryAfter.Seconds())
				}
			},
			"attempts": func(w *testbed) {
				w.answerAll(func(upstreamAttempt) string { return reply("500 Internal Server Error", "") })
				for _, c := range site.classes {
					if c.effect == retryable {
						w.do(w.requestFor(c.name, site.tenants[0]))
					}
				}
				require.Equal(w.t, site.maxAttempts, w.attemptCount())
			},
			"drains": func(w *testbed) {
				drains := w.watchDrains()
				w.until("watch", func() bool { return w.discovery.watched() == 1 })
				drains.told(w.servers[1], 0)
				w.discovery.say(list(42, false, w.servers[1].entry("leaving")))
				drains.hold()
				require.Empty(w.t, w.servers[0].attempts(), "it drained from the start on")
			},
		} {
			t.Run(name+"/"+what, func(t *testing.T) {
				t.Parallel()
				// A failure counts as an answer near the aim, and no further attempt goes to a server that slow: there are
				// more than fail here.
				w := newDeploymentTestbed(t, site, 8)
				if what == "drains" {
					w.config["known"] = object{"version": 41, "full": true, "servers": w.entries(w.servers[0])}
				}
				look(w.start())
			})
		}
	}
}

// transcript is all that an agent says to anybody: in answers, to endpoints, at its operators' socket and in its log.
type transcript struct {
	mu   sync.Mutex
	text strings.Builder
}

func (s *transcript) add(what ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintln(&s.text, what...)
}

// show notes what a testbed's agent has said so far beside its answers.
func (s *transcript) addOutput(w *testbed) {
	for _, server := range w.servers {
		for _, st := range server.attempts() {
			head, err := httputil.DumpRequest(st.Request, false)
			require.NoError(w.t, err)
			s.add(string(head), st.body)
		}
	}
	for _, path := range []string{"/ops/stats", "/ops/readiness"} {
		_, text := w.call("GET", path, "")
		s.add(text)
	}
	s.add(w.log.String())
}

// none looks that nothing of a deployment was said.
func (s *transcript) requireNoNameOf(t *testing.T, of deployment) {
	t.Helper()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, word := range of.allNames() {
		require.NotContains(t, s.text.String(), word)
	}
}

// asks asks for classes of its own, and of another deployment, where the first attempt meets answers of all kinds.
func (w *testbed) sendAllCombinations(s *transcript, own, other deployment) {
	for _, meets := range []func(upstreamAttempt) string{
		ok, func(upstreamAttempt) string { return reply("500 No", "") },
		func(upstreamAttempt) string { return reply("503 No", "", "X-Unprocessed: 1") }, func(upstreamAttempt) string { return hangUp },
	} {
		for _, c := range slices.Concat(own.classes, other.classes) {
			for _, tenant := range own.tenants {
				w.answerFirst(meets, ok)
				got := w.do(w.requestFor(c.name, tenant))
				s.add(got.status, got.header, got.body)
			}
		}
	}
}

// requireStatsOf looks that the figures are those of a deployment's classes.
func (w *testbed) requireStatsOf(site deployment) {
	w.t.Helper()
	var want, got []string
	for _, c := range site.classes {
		want = append(want, c.name)
	}
	for name := range w.stats().Responses {
		got = append(got, name)
	}
	require.ElementsMatch(w.t, want, got)
}

// Two agents of one name that share a machine and a folder, each with settings of its own, know nothing of each other:
// neither what was asked of the other one nor what staff told it.
func TestAgentsSideBySideShareNothing(t *testing.T) {
	t.Parallel()
	sites := [2]deployment{coast, hills}
	var worlds [2]*testbed
	folder := t.TempDir()
	for i, site := range sites {
		worlds[i] = newDeploymentTestbed(t, site, 3)
		worlds[i].tempDir = folder
		worlds[i].start(door)
		if i == 0 { // before the other one begins
			worlds[0].yes("POST", "/ops/booking-servers/down", worlds[0].servers[2].id)
			worlds[0].yes("POST", "/ops/drain/start", "")
		}
	}
	require.Equal(t, http.StatusOK, worlds[1].readyStatus(), "clients of the other one were sent away")
	require.Zero(t, worlds[1].stats().Ejected)
	require.NotContains(t, worlds[1].log.String(), "taking over")
	worlds[0].yes("POST", "/ops/drain/stop", "")
	var all sync.WaitGroup
	var said [2]transcript
	for i, w := range worlds {
		all.Go(func() { w.sendAllCombinations(&said[i], sites[i], sites[1-i]) })
	}
	all.Wait()
	for i, w := range worlds {
		w.requireStatsOf(sites[i])
		said[i].addOutput(w)
		said[i].requireNoNameOf(t, sites[1-i])
	}
}

// An agent that is told to read the configuration again, and finds another deployment's, goes on with the settings
// that it has, whose classes alone it knows; a process that takes over from it has those of the file alone.
func TestReloadIgnoresSettingsOfAnotherDeployment(t *testing.T) {
	t.Parallel()
	w := newDeploymentTestbed(t, coast, 3)
	w.start(door)
	w.until("watch", func() bool { return w.discovery.watched() == 1 })
	var said, next transcript
	own, limits := w.config["settings"], w.config["limits"]
	for round, with := range []any{hills.settings(), own, hills.settings()} {
		w.config["settings"] = with
		w.config["limits"] = object{"cores": 1.0, "memory_mb": 160 + round, "sockets": 900 + round}
		w.configure()
		require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
		w.until("taken over", func() bool {
			return strings.Contains(w.log.String(), fmt.Sprintf("memory_mb=%d sockets=%d", 160+round, 900+round))
		})
		w.requireAllUnknown(hills)
		w.sendAllCombinations(&said, coast, hills)
		w.requireStatsOf(coast)
	}
	said.addOutput(w)
	said.requireNoNameOf(t, hills)
	w.config["limits"] = limits

	inherits := w.another()
	inherits.deployment = hills
	inherits.servers = nil
	var entries []object
	for i := range 3 {
		s := newServer(t, fmt.Sprint(hills.idPrefix, i))
		s.zone, s.kind = hills.zone, hills.kind
		inherits.servers, entries = append(inherits.servers, s), append(entries, s.entry("active"))
	}
	w.config["known"] = object{"version": 7, "full": true, "servers": entries}
	inherits.launch()
	inherits.until("ready", func() bool {
		resp, err := http.Get("http://" + inherits.opsAddr + "/ops/readiness")
		if err == nil {
			_ = resp.Body.Close()
		}
		return err == nil && resp.StatusCode == http.StatusOK
	})
	require.Zero(t, w.stop())
	inherits.requireAllServed(hills)
	inherits.requireAllUnknown(coast)
	inherits.sendAllCombinations(&next, hills, coast)
	inherits.requireStatsOf(hills)
	next.addOutput(inherits)
	next.requireNoNameOf(t, coast)
	require.Zero(t, inherits.stop())
}

// What an agent has learned is its deployment's of the start, whatever the operator file calls it since: a process
// that takes over under the new name begins without.
func TestStateIsNotRestoredForAnotherDeployment(t *testing.T) {
	w := start(t, 2, door, func(w *testbed) { w.operatorFile = "[state]\ndeployment = \"coast\"\n" })
	w.operatorFile = "[state]\ndeployment = \"hills\"\n"
	w.configure()
	require.NoError(t, w.process.Process.Signal(syscall.SIGHUP))
	w.until("taken over", func() bool { return strings.Contains(w.log.String(), "configuration applied") })
	next := w.upgrade()
	require.Contains(t, next.log.String(), `msg="state not restored" error="state: belongs to another agent or another deployment"`)
	require.NotContains(t, next.log.String(), `msg="state restored"`)
	require.Zero(t, w.stop())
	require.Zero(t, next.stop())
}
