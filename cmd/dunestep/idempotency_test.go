package main

import (
	"net/http"
	"testing"

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
