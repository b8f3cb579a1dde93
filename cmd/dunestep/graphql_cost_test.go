package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// cpuTime returns the processor time that the program has used.
func (w *testbed) cpuTime() time.Duration {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", w.process.Process.Pid))
	require.NoError(w.t, err)
	_, after, _ := strings.Cut(string(raw), ") ")
	fields := strings.Fields(after)
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// costPerRequest sends requests from eight clients and returns the program's processor time for each request.
func (w *testbed) costPerRequest(requests int, newRequest func(i int) *http.Request) time.Duration {
	before := w.cpuTime()
	var clients sync.WaitGroup
	for c := range 8 {
		clients.Go(func() {
			client := http.Client{Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for i := c; i < requests; i += 8 {
				resp, err := client.Do(newRequest(i))
				if err != nil {
					w.t.Error(err)
					return
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
	clients.Wait()
	return (w.cpuTime() - before) / time.Duration(requests)
}

// Measures the processor time of GraphQL requests and of plain requests with the same bodies, and checks memory with all
// caches full and with requests whose documents exceed the limits. The program is built without the race detector.
// DUNESTEP_COST sets the number of requests in each phase: processor time is accurate only over many requests.
func TestGraphQLCost(t *testing.T) {
	requests, _ := strconv.Atoi(os.Getenv("DUNESTEP_COST"))
	requests = max(requests, 1000)
	w := newSerialTestbed(t, 4).start(withGraphQL(), usePlainBinary, func(w *testbed) {
		w.config["limits"].(object)["memory_mb"] = 48
		w.useLongTimeouts()
	})
	w.answerAll(func(s upstreamAttempt) string { return reply("200 OK", `{"data":{}}`) })
	document := `query Slots($day: String) { slots(day: $day) { ` + strings.Repeat("startsAt practitioner { displayName } ", 25) + "} }"
	body := func(day int) string {
		return fmt.Sprintf(`{"query":%q,"variables":{"day":"day-%d"}}`, document, day)
	}
	plain := func(i int) *http.Request {
		r := w.request("rezervare", 60000)
		r.URL.Path, r.URL.RawPath = "/consult/slots", ""
		text := body(i)
		r.Body, r.ContentLength = io.NopCloser(strings.NewReader(text)), int64(len(text))
		r.Header.Set("Content-Type", "application/json")
		return r
	}
	graphQL := func(i int) *http.Request { return w.graphQLRequest(document, fmt.Sprintf(`{"day":"day-%d"}`, i)) }
	var cost [2]time.Duration
	for range 5 {
		cost[0] += w.costPerRequest(requests, plain) / 5
		cost[1] += w.costPerRequest(requests, graphQL) / 5
	}
	unseen := w.costPerRequest(requests, func(i int) *http.Request {
		return w.graphQLRequest(strings.Replace(document, "Slots", fmt.Sprint("Slots", i), 1), "{}")
	})
	tooDeep := w.costPerRequest(requests, func(i int) *http.Request {
		return w.graphQLRequest(fmt.Sprintf("query Q%d ", i)+strings.Repeat("{a", 4000), "{}")
	})
	peak, now := w.memoryKiB()
	t.Logf("processor time of a request: plain %v, GraphQL %v (%+.1f%%), with documents not seen before %v, too deep %v; "+
		"memory %.1f MB at its peak, %.1f MB at the end", cost[0], cost[1], 100*(float64(cost[1])/float64(cost[0])-1), unseen, tooDeep,
		float64(peak)/1024, float64(now)/1024)
	require.Less(t, peak, 48<<10)
}
