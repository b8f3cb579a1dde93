package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// What may follow when the first attempt of a class ended so: a retry, a rejection or a failure.
func TestRetryOrAnswerByOutcome(t *testing.T) {
	for _, c := range []struct {
		class   string
		outcome Outcome
		after   time.Duration
		retry   bool // another attempt must follow
		reject  bool // else: the final answer is a rejection, not a failure
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
		one, two := b.servers[first.Server], b.servers[next.Server]
		if one == two {
			t.Errorf("%s: the same server again", c.class)
		}
		if !c.outcome.Unprocessed() && (c.class == "zone" && one.Zone != two.Zone || c.class == "cell" && one.Cell != two.Cell) {
			t.Errorf("%s: the retry left the deduplication scope", c.class)
		}
	}
}

// A retry of an unprocessed attempt is not rejected for lack of ordinary retry tokens, unless the server that would get it
// is not healthy.
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

// A client that gives less time than the objective is answered when the last attempt that its time allows has ended: it is
// not kept waiting for one that could only be made after it has left.
func TestShortClientTimeoutIsAnsweredInTime(t *testing.T) {
	for _, left := range []time.Duration{30 * ms, 4 * ms} { // of the client's time, when the second attempt ends
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
	acts := b.Step(2, &Request{ID: 2, Class: "safe", Key: "b", ClientTimeout: 500 * ms}) // 0.5 s old, the objective is 0.4
	if findAction(acts, Reject) == nil || findAction(acts, Send) != nil {
		t.Errorf("%+v", acts)
	}
}

// Where clients mark their retries, a first try with little time left is not rejected as a late retry.
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
