package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Servers of an unconfirmed list first get idempotent requests, each hedged at a second server. A request that must not be
// processed twice waits until a server has responded, and then goes there at once.
func TestServersOnProbation(t *testing.T) {
	set := testSettings()
	set.Limits.Hedging = true
	b := newStarted(t, set, serverList(4))
	b.StartProbation(0)
	require.Nil(t, findAction(b.Step(testStart, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Send))
	acts := b.Step(testStart, &Request{ID: 2, Class: "safe", Key: "k", ClientTimeout: time.Second})
	var sent []Action
	for _, a := range acts {
		if a.Kind == Send {
			sent = append(sent, a)
		}
	}
	require.Len(t, sent, 2)
	require.Less(t, sent[0].After, 400*ms/2)
	b.Step(testStart+20*ms, &AttemptDone{ID: 2, Attempt: 1, Server: sent[1].Server, Outcome: Served, Latency: 20 * ms, RequestDone: true})
	notIdempotent := mustSend(t, b.Step(testStart+20*ms, &TimerDue{Tag: 1<<2 | timerRetry}))
	require.Equal(t, sent[1].Server, notIdempotent.Server)
	b.Step(testStart+200*ms, &AttemptDone{ID: 2, Attempt: 0, Server: sent[0].Server, Outcome: TimedOut, Latency: 200 * ms})

	// Without a response from any server the request is sent once its wait is over, and rejected if that fails.
	b = newStarted(t, testSettings(), serverList(1))
	b.StartProbation(1)
	now := testStart
	require.Nil(t, findAction(b.Step(now, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Send))
	for findAction(b.actions, Send) == nil {
		require.NotNil(t, findAction(b.actions, SetTimer), now)
		now += 10 * ms
		b.Step(now, &TimerDue{Tag: 1<<2 | timerRetry})
	}
	require.LessOrEqual(t, now, testStart+110*ms)
	b.Step(now, &AttemptDone{ID: 1, Server: "s0", Outcome: ConnectFailed})
	require.NotNil(t, findAction(b.actions, Reject), "there is no other server, and this one will not finish its probation in time")
	b.ConfirmServerList()
	mustSend(t, b.Step(now, &Request{ID: 3, Class: "unsafe", Key: "k", ClientTimeout: time.Second}))
}
