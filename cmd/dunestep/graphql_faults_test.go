package main

import (
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// executionLog counts what the endpoints executed, by the operations' tokens. m-1 is a mutation's token, q-2 a query's.
type executionLog struct {
	mu         sync.Mutex
	executed   map[string]int
	faults     int
	faultKinds map[int]int // count of each of attemptFaults, by index
}

var tokenPattern = regexp.MustCompile(`[mq]-\d+`)

// execute records the execution of an attempt's operations, whose tokens are in its body or target.
func (l *executionLog) execute(s upstreamAttempt) {
	text, _ := url.QueryUnescape(s.RequestURI)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, token := range tokenPattern.FindAllString(s.body+text, -1) {
		l.executed[token]++
	}
}

// attemptFaults are faults of an endpoint at an attempt: whether the endpoint executes the attempt, the delay of its answer,
// and the answer, in which $ is replaced by a correct answer.
var attemptFaults = []struct {
	executes bool
	wait     time.Duration
	answer   string
}{
	{false, 0, reply("500 Internal Server Error", "")},
	{true, 0, reply("500 Internal Server Error", "")},
	{false, 0, reply("503 Service Unavailable", "", "X-Unprocessed: 1")},
	{false, 0, reply("504 Gateway Timeout", "", "X-Unprocessed: 1")},
	{true, 0, reply("503 Service Unavailable", "")},
	{false, 0, hangUp},
	{true, 0, hangUp},
	{true, 0, "HTTP/1.1 200 OK\r\nConte" + hangUp},
	{true, 0, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n{\"data\"" + hangUp},
	{true, 0, "\x00\xff{}\r\n\r\n"},
	{true, 0, "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nx"},
	{false, 0, silence},
	{true, 0, silence},
	{true, 250 * time.Millisecond, "$"},
	{false, 250 * time.Millisecond, reply("500 Internal Server Error", "")},
	{true, 0, "HTTP/1.1 102 Processing\r\n\r\n$"},
	{true, 0, "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 100<<10)},
	{true, 0, "$" + reply("200 OK", "stale")},
	{true, 0, "$" + hangUp},
	{true, 0, reply("200 OK", "x", "Connection: close")},
}

// answer answers an attempt. One attempt in four gets one of attemptFaults.
func (l *executionLog) answer(s upstreamAttempt) string {
	kind := rand.IntN(4 * len(attemptFaults))
	if kind >= len(attemptFaults) {
		l.execute(s)
		return ok(s)
	}
	l.mu.Lock()
	l.faultKinds[kind]++
	l.faults++
	l.mu.Unlock()
	fault := attemptFaults[kind]
	if fault.executes && kind%2 == 0 { // executed before the delay or after it
		l.execute(s)
	}
	time.Sleep(fault.wait)
	if fault.executes && kind%2 == 1 {
		l.execute(s)
	}
	return strings.Replace(fault.answer, "$", ok(s), 1)
}

// operationKind is the keyword of a GraphQL operation.
type operationKind string

const (
	query    operationKind = "query"
	mutation operationKind = "mutation"
)

// operationBody returns the body of a request with an operation of that kind, in one of eight forms. Among them are
// documents with several operations, fragments, text that looks like another operation, hashes, and batches. other is the
// token of a second operation in a batch.
func operationBody(form int, kind operationKind, token, other string) (body string) {
	field := map[operationKind]string{query: "slots", mutation: "book"}[kind]
	text := func(s string) string { raw, _ := json.Marshal(s); return string(raw) }
	variables := fmt.Sprintf(`"variables":{"token":%q}`, token)
	document := fmt.Sprintf(`%s Run($token: ID) { %s(token: $token) { id } }`, kind, field)
	persisted := fmt.Sprintf(`"extensions":{"persistedQuery":{"version":1,"sha256Hash":"%x"}}`, sha256.Sum256([]byte(document)))
	switch form {
	case 0:
		document = `query A { slots } mutation B { book } ` + document
		return fmt.Sprintf(`{"operationName":"Run","query":%s,%s}`, text(document), variables)
	case 1:
		document = fmt.Sprintf(`%s { ...F @skip(if: false) } fragment F on Any { %s(note: """query { x }""") } # query {`, kind, field)
	case 2:
		return fmt.Sprintf(`{"query":%s,%s,%s}`, text(document), variables, persisted)
	case 3: // the hash is mostly known by now
		return fmt.Sprintf(`{%s,%s}`, variables, persisted)
	case 5: // a hash whose document was never sent
		return fmt.Sprintf(`{%s,"documentId":"sha256:%x"}`, variables, sha256.Sum256([]byte(token)))
	case 6: // a syntax that GraphQL does not have yet
		return fmt.Sprintf(`{"query":%s,%s}`, text(string(kind)+` { `+field+`! }`), variables)
	case 4:
		return fmt.Sprintf(`[{"query":"{ slots }","variables":{"token":%q}},{"query":%s,%s}]`, other, text(document), variables)
	}
	return fmt.Sprintf(`{"query":%s,%s}`, text(document), variables)
}

// No mutation is executed twice under faults of attempts and endpoints, endpoint list updates and restarts of the agent.
// Queries are retried, so that more of them are served. DUNESTEP_FAULTS sets the number of injected faults.
func TestNoMutationRunsTwice(t *testing.T) {
	target, _ := strconv.Atoi(os.Getenv("DUNESTEP_FAULTS"))
	target = max(target, 400)
	executions := &executionLog{executed: map[string]int{}, faultKinds: map[int]int{}}
	w := newSerialTestbed(t, 8)
	withGraphQL(`batch = "strictest"`)(w)
	for _, class := range w.config["settings"].(object)["categories"].([]object) {
		class["aim"], class["deadline"] = 100000, 400000
	}
	w.answerAll(executions.answer)
	w.launch()
	w.waitUntil("ready", func() bool { return w.readyStatus() == http.StatusOK })
	var served, sent [2]atomic.Int64 // of queries, of mutations
	done := make(chan struct{})
	var clients sync.WaitGroup
	for range 48 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				w.sendOperation(&served, &sent)
			}
		})
	}
	for version, round := 100, 0; !executions.isDone(target); round++ {
		time.Sleep(400 * time.Millisecond)
		version = w.replaceOldestServer(version, executions.answer, exitMode(round%3 == 2))
		if round%4 == 1 {
			w.restart(exitMode(round%8 == 1))
		}
	}
	close(done)
	clients.Wait()
	require.Zero(t, w.stop(), "exit code")
	executions.mu.Lock()
	defer executions.mu.Unlock()
	mutations, repeated := 0, executions.repeatedQueries()
	for token, n := range executions.executed {
		if strings.HasPrefix(token, "m-") {
			mutations++
			require.Equal(t, 1, n, token)
		}
	}
	share := func(i int) float64 { return float64(served[i].Load()) / float64(sent[i].Load()) }
	t.Logf("%d faults, %d mutations executed once each, %d queries executed more than once; served: %.3f of queries, %.3f of mutations",
		executions.faults, mutations, repeated, share(0), share(1))
	require.Len(t, executions.faultKinds, len(attemptFaults))
	require.Greater(t, repeated, target/20)
	if target >= 10000 { // with fewer faults, random variation could reverse the order
		require.Greater(t, share(0), share(1))
	}
}

// isDone reports whether enough faults were injected and enough queries were executed more than once. The latter depends on
// how often all endpoints are unavailable, so it may take several times as many faults. It also reports true at five times
// the target: then the program is at fault.
func (l *executionLog) isDone(target int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults >= target && l.repeatedQueries() > target/20 || l.faults >= 5*target
}

// repeatedQueries returns how many queries were executed more than once. The caller holds mu.
func (l *executionLog) repeatedQueries() (n int) {
	for token, executed := range l.executed {
		if strings.HasPrefix(token, "q-") && executed > 1 {
			n++
		}
	}
	return n
}

// sendOperation sends one operation once and counts whether it was served.
func (w *testbed) sendOperation(served, sent *[2]atomic.Int64) {
	n := w.lastID.Add(2)
	kind, prefix := rand.IntN(2), "qm"
	token, other := fmt.Sprintf("%c-%d", prefix[kind], n), fmt.Sprintf("q-%d", n+1)
	body := operationBody(rand.IntN(8), []operationKind{query, mutation}[kind], token, other)
	r, err := http.NewRequest(http.MethodPost, "http://"+w.graphQLAddr+"/graphql", io.NopCloser(strings.NewReader(body)))
	if err != nil {
		return
	}
	r.ContentLength = int64(len(body))
	r.Header.Set("Content-Type", "application/json")
	sent[kind].Add(1)
	resp, err := http.DefaultClient.Do(r)
	if err != nil { // the agent does not run
		time.Sleep(20 * time.Millisecond)
		return
	}
	_, err = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if err == nil && resp.StatusCode == http.StatusOK {
		served[kind].Add(1)
	} else if resp.StatusCode == http.StatusServiceUnavailable {
		time.Sleep(5 * time.Millisecond)
	}
}

// exitMode is how a process is ended.
type exitMode bool

const (
	drained exitMode = false
	killed  exitMode = true
)

// replaceOldestServer replaces the oldest endpoint and returns the next version of the endpoint list. The endpoint drains
// before it stops, or stops first and is then removed from the list.
func (w *testbed) replaceOldestServer(version int, answer func(upstreamAttempt) string, how exitMode) int {
	old := w.servers[0]
	next := newServer(w.t, fmt.Sprintf("s-%d", version))
	next.setAnswer(answer)
	w.servers = append(w.servers[1:], next)
	if how == killed {
		old.stop()
		time.Sleep(50 * time.Millisecond)
	} else {
		old.setAnswer(func(upstreamAttempt) string { return reply("503 Service Unavailable", "", "X-Unprocessed: 1") })
		w.discovery.sendLine(listJSON(version, false, old.listEntry("leaving"), next.listEntry("active")))
		time.Sleep(200 * time.Millisecond)
		old.stop()
	}
	w.discovery.sendLine(listJSON(version+1, false, old.listEntry("left"), next.listEntry("active")))
	return version + 2
}

// restart ends the agent, by a kill or a drain, and starts it with the current servers as its endpoint list.
func (w *testbed) restart(how exitMode) {
	if how == killed {
		_ = w.process.Process.Signal(syscall.SIGKILL)
		await(w.t, w.exited)
	} else {
		require.Zero(w.t, w.stop())
	}
	var entries []object
	for _, s := range w.servers {
		entries = append(entries, s.listEntry("active"))
	}
	w.config["known"] = object{"version": 1, "full": true, "servers": entries}
	w.exited = make(chan struct{})
	w.launch()
	w.waitUntil("ready", func() bool { return w.readyStatus() == http.StatusOK })
}
