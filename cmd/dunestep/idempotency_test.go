package main

import (
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// The Idempotency-Key of a request is forwarded unchanged with each attempt. Otherwise a request of a class whose
// endpoints deduplicate by key could run twice.
func TestIdempotencyKeyIsForwarded(t *testing.T) {
	const key = "9b1f03aa-5c7e-2d41"
	w := start(t, 3, (*testbed).useLongTimeouts, func(w *testbed) {
		class := w.config["settings"].(object)["categories"].([]object)[1]
		class["effect"], class["keyScope"], class["memorySpan"] = "dedup", "all", 60_000_000
	})
	rejection := reply("503 Service Unavailable", "", "X-Unprocessed: 1")
	w.answerFirst(func(upstreamAttempt) string { return rejection }, ok)
	request := w.request("rezervare", 5000)
	request.Header.Set("Idempotency-Key", key)
	require.Equal(t, http.StatusOK, w.do(request).status)
	without := w.request("rezervare", 5000)
	require.Equal(t, http.StatusOK, w.do(without).status)
	attempts := 0
	for _, s := range w.servers {
		for _, attempt := range s.attempts() {
			attempts++
			if correlationID(attempt) == correlationID(upstreamAttempt{Request: request}) {
				require.Equal(t, []string{key}, attempt.Header["Idempotency-Key"], s.id)
			} else {
				require.NotContains(t, attempt.Header, "Idempotency-Key", "the client sent no key")
			}
		}
	}
	require.Equal(t, 3, attempts, "two attempts for the request with a key, one for the other")
}

// Guards against a booking that runs twice: the connection for its repeat is established only after the time for which
// endpoints recognize a repeat. The window is looked at when the repeat is written, not only when it is decided on.
func TestNoRepeatAfterDedupWindow(t *testing.T) {
	const window, work = time.Second, 700 * time.Millisecond
	w := start(t, 3, usePlainBinary, (*testbed).useLongTimeouts, func(w *testbed) {
		class := w.config["settings"].(object)["categories"].([]object)[1]
		class["effect"], class["keyScope"], class["memorySpan"] = "dedup", "all", window.Microseconds()
	})
	var connecting sync.Once
	w.answerAll(func(upstreamAttempt) string {
		connecting.Do(func() {
			for _, s := range w.servers {
				require.NoError(t, s.socket.IgnoreConnections())
				time.AfterFunc(work+900*time.Millisecond, func() { _ = s.socket.AcceptConnections() })
			}
		})
		time.Sleep(work)
		return reply("500 Oh", "") + hangUp
	})
	require.Equal(t, http.StatusBadGateway, w.do(w.request("rezervare", 5000)).status)
	time.Sleep(time.Second)
	var attempts []time.Time
	for _, s := range w.servers {
		for _, a := range s.attempts() {
			attempts = append(attempts, a.receivedAt)
		}
	}
	require.NotEmpty(t, attempts)
	slices.SortFunc(attempts, time.Time.Compare)
	require.Less(t, attempts[len(attempts)-1].Sub(attempts[0]), window+measuringSlack, "%d attempts", len(attempts))
}
