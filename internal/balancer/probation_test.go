package balancer

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A server of an unconfirmed list gets an idempotent request first, and another server gets it too; a request that must not be
// processed twice waits for a server that has answered, and goes there at once when there is one.
func TestServersOnProbation(t *testing.T) {
	set := testSettings()
	set.Limits.Hedging = true
	b := newStarted(t, set, serverList(4))
	b.StartProbation(0)
	require.Nil(t, findAction(b.Step(noon, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Send))
	acts := b.Step(noon, &Request{ID: 2, Class: "safe", Key: "k", ClientTimeout: time.Second})
	var sent []Action
	for _, a := range acts {
		if a.Kind == Send {
			sent = append(sent, a)
		}
	}
	require.Len(t, sent, 2)
	require.Less(t, sent[0].After, 400*ms/2)
	b.Step(noon+20*ms, &AttemptDone{ID: 2, Attempt: 1, Server: sent[1].Server, Outcome: Served, Latency: 20 * ms, RequestDone: true})
	notIdempotent := mustSend(t, b.Step(noon+20*ms, &TimerDue{Tag: 1<<2 | timerRetry}))
	require.Equal(t, sent[1].Server, notIdempotent.Server)
	b.Step(noon+200*ms, &AttemptDone{ID: 2, Attempt: 0, Server: sent[0].Server, Outcome: TimedOut, Latency: 200 * ms})

	// Without an answer from any server the request is sent at last, and rejected where it cannot be.
	b = newStarted(t, testSettings(), serverList(1))
	b.StartProbation(1)
	now := noon
	require.Nil(t, findAction(b.Step(now, &Request{ID: 1, Class: "unsafe", Key: "k", ClientTimeout: time.Second}), Send))
	for findAction(b.actions, Send) == nil {
		require.NotNil(t, findAction(b.actions, SetTimer), now)
		now += 10 * ms
		b.Step(now, &TimerDue{Tag: 1<<2 | timerRetry})
	}
	require.LessOrEqual(t, now, noon+110*ms)
	b.Step(now, &AttemptDone{ID: 1, Server: "s0", Outcome: ConnectFailed})
	require.NotNil(t, findAction(b.actions, Reject), "there is no other, and this one will not be ready in time")
	b.ConfirmServerList()
	mustSend(t, b.Step(now, &Request{ID: 3, Class: "unsafe", Key: "k", ClientTimeout: time.Second}))
}
