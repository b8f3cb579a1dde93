package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What follows when the first attempt of a class ends with an outcome: a retry, a rejection or a failure.
func TestRetryOrAnswerByOutcome(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		after   time.Duration
		retry   bool // another attempt must follow
		reject  bool // without a retry: the final answer is a rejection, not a failure
	}{
		{"safe", ServerError, 5 * ms, true, true},
		{"safe", TimedOut, 5 * ms, true, true},
		{"zone", Rejected, 5 * ms, true, true},
		{"zone", ConnectionLost, 5 * ms, true, false},
		{"zone", ServerError, 600 * ms, false, false}, // after the deduplication window
		{"cell", ServerError, 5 * ms, true, false},
		{"cell", ServerError, 600 * ms, false, false},
		{"all", ServerError, 5 * ms, true, true},
		{"all", ServerError, 600 * ms, false, false},
		{"unsafe", ConnectFailed, 5 * ms, true, true},
		{"unsafe", Rejected, 5 * ms, true, true},
		{"unsafe", ServerError, 5 * ms, false, false},
		{"unsafe", TimedOut, 5 * ms, false, false},
		{"unsafe", ConnectionLost, 5 * ms, false, false},
	} {
		b := newStarted(t, testSettings(), serverList(12))
		first := mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: c.class, Key: "k", ClientTimeout: 2 * time.Second}))
		acts := b.Step(time.Second+c.after, &AttemptDone{ID: 1, Server: first.Server, Outcome: c.outcome, Latency: c.after})
		next := findAction(acts, Send)
		if (next != nil) != c.retry {
			t.Errorf("%s after %d: retry %v", c.class, c.outcome, next)
		}
		if next == nil {
			if rejected := findAction(acts, Reject) != nil; rejected != c.reject || rejected == (findAction(acts, Fail) != nil) {
				t.Errorf("%s after %d: %+v", c.class, c.outcome, acts)
			}
			continue
		}
		server1, server2 := b.servers[first.Server], b.servers[next.Server]
		if server1 == server2 {
			t.Errorf("%s: the retry goes to the same server", c.class)
		}
		if !c.outcome.Unprocessed() && (c.class == "zone" && server1.Zone != server2.Zone || c.class == "cell" && server1.Cell != server2.Cell) {
			t.Errorf("%s: the retry left the deduplication scope", c.class)
		}
	}
}

// Retries of unprocessed attempts at healthy servers have their own tokens, so they are not rejected when the ordinary retry
// tokens are used up.
func TestRetriesOfUnprocessedAttempts(t *testing.T) {
	for _, c := range []struct {
		outcome Outcome
		tokens  float64 // for retries of unprocessed attempts
		retry   bool
	}{{Rejected, 1, true}, {Rejected, -2, false}, {ServerError, 1, false}} {
		b := newStarted(t, testSettings(), serverList(6))
		a := mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: "safe", Key: "k", ClientTimeout: time.Second}))
		b.retryTokens, b.unprocessedRetryTokens = 0, c.tokens
		acts := b.Step(time.Second+5*ms, &AttemptDone{ID: 1, Server: a.Server, Outcome: c.outcome, Latency: 5 * ms})
		assert.Equal(t, c.retry, findAction(acts, Send) != nil, "outcome %d, %.0f tokens", c.outcome, c.tokens)
		assert.Equal(t, !c.retry, findAction(acts, Reject) != nil)
	}
}

// A client whose timeout is shorter than the latency objective gets its answer when the last attempt that the timeout
// permits has ended. It does not wait for a retry that could start only after the client gave up.
func TestShortClientTimeoutIsAnsweredInTime(t *testing.T) {
	for _, left := range []time.Duration{30 * ms, 4 * ms} { // of the client's timeout, when the second attempt ends
		b := newStarted(t, testSettings(), serverList(6))
		mustSend(t, b.Step(time.Second, &Request{ID: 1, Class: "all", Key: "k", ClientTimeout: 250 * ms}))
		b.meanLatency = 0.001
		acts := b.Step(time.Second+100*ms, &AttemptDone{ID: 1, Server: "s0", Outcome: ConnectFailed, Latency: 100 * ms})
		mustSend(t, acts)
		b.retryTokens = 5
		acts = b.Step(time.Second+250*ms-left, &AttemptDone{ID: 1, Attempt: 1, Outcome: ConnectFailed, Latency: 100 * ms})
		require.NotNil(t, findAction(acts, Reject), "%+v", acts)
	}
}

func TestLateClientRetryIsRejectedAtOnce(t *testing.T) {
	b := newStarted(t, testSettings(), serverList(4))
	b.Step(1, &Request{ID: 1, Class: "safe", Key: "a", ClientTimeout: time.Second})
	acts := b.Step(2, &Request{ID: 2, Class: "safe", Key: "b", ClientTimeout: 500 * ms}) // 0.5 s old, with an objective of 0.4 s
	if findAction(acts, Reject) == nil || findAction(acts, Send) != nil {
		t.Errorf("%+v", acts)
	}
}

// If clients mark their retries, a first try with a short timeout is not rejected as a late retry.
func TestOnlyMarkedRetriesAreLateWhereClientsMarkThem(t *testing.T) {
	set := testSettings()
	set.ClientsMarkRetries = true
	b := newStarted(t, set, serverList(4))
	b.Step(1, &Request{ID: 1, Class: "safe", Key: "a", ClientTimeout: time.Second})
	mustSend(t, b.Step(2, &Request{ID: 2, Class: "safe", Key: "b", ClientTimeout: 500 * ms}))
	acts := b.Step(3, &Request{ID: 3, Class: "safe", Key: "c", ClientTimeout: 500 * ms, ClientRetry: true})
	if findAction(acts, Reject) == nil {
		t.Errorf("a marked retry that is too late: %+v", acts)
	}
}
