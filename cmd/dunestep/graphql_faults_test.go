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

// ledger is what the endpoints executed, by the tokens of operations: m-1 is a mutation's, q-2 a query's.
type executionLog struct {
	mu         sync.Mutex
	executed   map[string]int
	faults     int
	faultKinds map[int]int // of faults, by the numbers of troubles
}

var tokenPattern = regexp.MustCompile(`[mq]-\d+`)

// execute executes what an attempt asks for, as its document or its hash says.
func (l *executionLog) execute(s upstreamAttempt) {
	text, _ := url.QueryUnescape(s.RequestURI)
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, token := range tokenPattern.FindAllString(s.body+text, -1) {
		l.executed[token]++
	}
}

// troubles is what may happen to an attempt that has reached an endpoint: whether it is executed, how long
// the answer then takes, and what it is; $ stands for a good one.
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

// answer gives a quarter of the attempts one of the troubles.
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
	trouble := attemptFaults[kind]
	if trouble.executes && kind%2 == 0 { // when the answer is late, the execution may be, too
		l.execute(s)
	}
	time.Sleep(trouble.wait)
	if trouble.executes && kind%2 == 1 {
		l.execute(s)
	}
	return strings.Replace(trouble.answer, "$", ok(s), 1)
}

// operationKind is the keyword of a GraphQL operation.
type operationKind string

const (
	query    operationKind = "query"
	mutation operationKind = "mutation"
)

// disguises are the ways in which an operation of a kind may come. Mutations come among queries, by name, through
// fragments, in words that look like queries, by their hash, and in batches.
func operationBody(way int, kind operationKind, token, other string) (body string) {
	field := map[operationKind]string{query: "slots", mutation: "book"}[kind]
	text := func(s string) string { raw, _ := json.Marshal(s); return string(raw) }
	variables := fmt.Sprintf(`"variables":{"token":%q}`, token)
	document := fmt.Sprintf(`%s Run($token: ID) { %s(token: $token) { id } }`, kind, field)
	persisted := fmt.Sprintf(`"extensions":{"persistedQuery":{"version":1,"sha256Hash":"%x"}}`, sha256.Sum256([]byte(document)))
	switch way {
	case 0:
		document = `query A { slots } mutation B { book } ` + document
		return fmt.Sprintf(`{"operationName":"Run","query":%s,%s}`, text(document), variables)
	case 1:
		document = fmt.Sprintf(`%s { ...F @skip(if: false) } fragment F on Any { %s(note: """query { x }""") } # query {`, kind, field)
	case 2:
		return fmt.Sprintf(`{"query":%s,%s,%s}`, text(document), variables, persisted)
	case 3: // it is known by now, mostly
		return fmt.Sprintf(`{%s,%s}`, variables, persisted)
	case 5: // a hash that nobody has seen with its document
		return fmt.Sprintf(`{%s,"documentId":"sha256:%x"}`, variables, sha256.Sum256([]byte(token)))
	case 6: // what is no GraphQL yet
		return fmt.Sprintf(`{"query":%s,%s}`, text(string(kind)+` { `+field+`! }`), variables)
	case 4:
		return fmt.Sprintf(`[{"query":"{ slots }","variables":{"token":%q}},{"query":%s,%s}]`, other, text(document), variables)
	}
	return fmt.Sprintf(`{"query":%s,%s}`, text(document), variables)
}

// No mutation runs twice, whatever happens to its attempts, to the endpoints, to the list and to the
// agent; and queries are repeated and so served more often. DUNESTEP_FAULTS sets how many faults are injected.
func TestNoMutationRunsTwice(t *testing.T) {
	target, _ := strconv.Atoi(os.Getenv("DUNESTEP_FAULTS"))
	target = max(target, 400)
	l := &executionLog{executed: map[string]int{}, faultKinds: map[int]int{}}
	w := newSerialTestbed(t, 8)
	withGraphQL(`batch = "strictest"`)(w)
	for _, class := range w.config["settings"].(object)["categories"].([]object) {
		class["aim"], class["deadline"] = 100000, 400000
	}
	w.answerAll(l.answer)
	w.launch()
	w.until("ready", func() bool { return w.readyStatus() == http.StatusOK })
	var served, asked [2]atomic.Int64 // of queries, of mutations
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
				w.sendOperation(&served, &asked)
			}
		})
	}
	for version, round := 100, 0; !l.isDone(target); round++ {
		time.Sleep(400 * time.Millisecond)
		version = w.replaceOldestServer(version, l.answer, exitMode(round%3 == 2))
		if round%4 == 1 {
			w.restart(exitMode(round%8 == 1))
		}
	}
	close(done)
	clients.Wait()
	require.Zero(t, w.stop(), "exit code")
	l.mu.Lock()
	defer l.mu.Unlock()
	mutations, repeated := 0, l.repeatedQueries()
	for token, n := range l.executed {
		if strings.HasPrefix(token, "m-") {
			mutations++
			require.Equal(t, 1, n, token)
		}
	}
	share := func(i int) float64 { return float64(served[i].Load()) / float64(asked[i].Load()) }
	t.Logf("%d faults, %d mutations executed once each, %d queries executed again; served: %.3f of queries, %.3f of mutations",
		l.faults, mutations, repeated, share(0), share(1))
	require.Len(t, l.faultKinds, len(attemptFaults))
	require.Greater(t, repeated, target/20)
	if target >= 10000 { // with fewer, chance could have it otherwise
		require.Greater(t, share(0), share(1))
	}
}

// done tells whether enough faults were injected, and enough queries executed again. How many are depends on how often
// the fleet is out, so there may be several times as many faults until they are; more than that is the program's fault.
func (l *executionLog) isDone(target int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults >= target && l.repeatedQueries() > target/20 || l.faults >= 5*target
}

// repeated counts the queries that were executed more than once. The lock is held.
func (l *executionLog) repeatedQueries() (n int) {
	for token, executed := range l.executed {
		if strings.HasPrefix(token, "q-") && executed > 1 {
			n++
		}
	}
	return n
}

// sendOperation sends one operation and counts whether it was served. It is not sent again: that would be another.
func (w *testbed) sendOperation(served, asked *[2]atomic.Int64) {
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
	asked[kind].Add(1)
	resp, err := http.DefaultClient.Do(r)
	if err != nil { // the agent is away
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

// ending is how a process ends.
type exitMode bool

const (
	drained exitMode = false
	killed  exitMode = true
)

// replaceOldestServer replaces the oldest endpoint: it drains and goes, or dies without a word and the list follows.
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
		w.discovery.say(list(version, false, old.entry("leaving"), next.entry("active")))
		time.Sleep(200 * time.Millisecond)
		old.stop()
	}
	w.discovery.say(list(version+1, false, old.entry("left"), next.entry("active")))
	return version + 2
}

// restart ends the agent, by a kill or a drain, and starts it anew with the servers of now.
func (w *testbed) restart(how exitMode) {
	if how == killed {
		_ = w.process.Process.Signal(syscall.SIGKILL)
		await(w.t, w.exited)
	} else {
		require.Zero(w.t, w.stop())
	}
	var entries []object
	for _, s := range w.servers {
		entries = append(entries, s.entry("active"))
	}
	w.config["known"] = object{"version": 1, "full": true, "servers": entries}
	w.exited = make(chan struct{})
	w.launch()
	w.until("ready", func() bool { return w.readyStatus() == http.StatusOK })
}
