package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/bodystream"
	"dunestep/internal/bytebudget"
	"dunestep/internal/protocol"
)

// The outcome of each kind of attempt. A request's first attempt gets the reaction, further ones are served. A request that is
// not idempotent is sent again only if it cannot have been processed.
func TestOutcomesAndRetries(t *testing.T) {
	for name, c := range map[string]struct {
		first       reaction
		unprocessed bool
		outcome     balancer.Outcome
	}{
		"served":        {completed(balancer.Served), false, balancer.Served},
		"error":         {completed(balancer.ServerError), false, balancer.ServerError},
		"rejected":      {completed(balancer.Rejected), true, balancer.Rejected},
		"no connection": {broken(Connecting), true, balancer.ConnectFailed},
		"not written":   {broken(Writing), true, balancer.ConnectFailed},
		"no response":   {broken(AwaitingResponse), false, balancer.ConnectionLost},
		"closed":        {broken(Responding), false, balancer.ConnectionLost},
		"invalid":       {reaction{result: AttemptResult{Phase: Responding, EndReason: InvalidResponse}}, false, balancer.ServerError},
	} {
		d := newSimulation(testSettings(), 3)
		for _, class := range []string{idempotent, notIdempotent} {
			first := true
			d.react = func(*sentAttempt) reaction {
				if first {
					first = false
					return c.first
				}
				return completed(balancer.Served)
			}
			want, attempts := protocol.Served, 2
			if c.outcome == balancer.Served {
				attempts = 1
			} else if class == notIdempotent && !c.unprocessed {
				want, attempts = protocol.Failed, 1
			}
			got, n := d.request(class)
			require.Equal(t, want, got, "%s %s", name, class)
			require.Equal(t, attempts, n, "%s %s", name, class)
			require.Equal(t, c.outcome, d.sent[len(d.sent)-n].outcome, name)
		}
		require.Empty(t, d.violations)
	}
}

// An attempt without a response ends at the objective, and the request is answered at once. A client's timeout counts
// from when the request was sent, not from when it was read. Without an endpoint, or when the agent ends, a request is
// answered without an attempt.
func TestRespondsWithinTimeout(t *testing.T) {
	var at []time.Duration
	var d *simulation
	for _, c := range []struct {
		class string
		age   time.Duration
		kind  protocol.ResponseKind
	}{{idempotent, 0, protocol.Rejected}, {notIdempotent, 0, protocol.Failed}, {notIdempotent, 700 * time.Millisecond, protocol.Failed}} {
		d = newSimulation(testSettings(), 1)
		d.react = func(*sentAttempt) reaction { return noResponse }
		id := d.arriveAfterDelay(&protocol.Request{CorrelationID: "1", Class: c.class, TimeLeft: 900 * time.Millisecond}, c.age)
		for len(d.responses[id]) == 0 {
			d.run(time.Millisecond)
		}
		at = append(at, d.now-epoch)
		require.Len(t, d.sent, 1)
		require.Equal(t, balancer.TimedOut, d.sent[0].outcome)
		require.Equal(t, c.kind, d.responses[id][0].Result)
		require.Equal(t, c.kind == protocol.Rejected, d.responses[id][0].After > 0)
	}
	require.Equal(t, []time.Duration{495 * time.Millisecond, 495 * time.Millisecond, 195 * time.Millisecond}, at)

	d = newSimulation(testSettings(), 3)
	for i := range uint32(9) {
		require.Equal(t, i+1, d.arrive(idempotent, fmt.Sprint(i)))
	}
	for i, o := range d.router.FailAll() { // in the order of arrival
		want := Output{Kind: CancelIfUnsent, Request: uint32(i/2 + 1)}
		if i%2 == 1 {
			want = Output{Kind: Respond, Request: want.Request, Result: protocol.Failed, Text: FailedText, Cause: "shutting down"}
		}
		require.Equal(t, want, o)
	}
	require.Equal(t, protocol.Rejected, d.responses[d.arrive(idempotent, "late")][0].Result)

	d = newSimulation(testSettings(), 0)
	require.False(t, d.router.HasReadyEndpoint())
	require.Equal(t, 1, d.watches)
	kind, _ := d.request(idempotent)
	require.Equal(t, protocol.Rejected, kind)
	d.list(balancer.UpdateIncremental, 1, balancer.Ready)
	require.True(t, d.router.HasReadyEndpoint())
	d.list(balancer.UpdateIncremental, 1, balancer.Draining)
	require.False(t, d.router.HasReadyEndpoint())
	require.Empty(t, d.violations)
}

// Ids on the wire have 64 bits. An id is in use until its request has no open attempts, even if the client has left. Requests
// with an id in use or an unknown class are answered as malformed and not sent.
func TestCorrelationIDs(t *testing.T) {
	d := newSimulation(testSettings(), 2)
	n := d.arrive(notIdempotent, "1111111100000007")
	other := d.arrive(notIdempotent, "2222222200000007")
	require.NotEqual(t, n, other)
	require.Equal(t, protocol.Malformed, d.responses[d.arrive(notIdempotent, "1111111100000007")][0].Result)
	require.Equal(t, protocol.Malformed, d.responses[d.arrive("other", "3")][0].Result)
	d.clientLeaves(n)
	require.Equal(t, protocol.Malformed, d.responses[d.arrive(idempotent, "1111111100000007")][0].Result)
	d.run(time.Second)
	require.Empty(t, d.responses[n], "no response after the client has left")
	require.Contains(t, d.module.events, &balancer.ClientGone{ID: n})
	require.Len(t, d.responses[other], 1)
	require.Len(t, d.sent, 2)
	d.arrive(idempotent, "1111111100000007")
	require.Len(t, d.sent, 3)

	// Request numbers that wrap around skip those in use.
	d.router.lastID = d.sent[2].id - 1
	require.NotEqual(t, d.sent[2].id, d.arrive(idempotent, "wrapped"))
}

// A response that is being streamed is canceled when its client leaves, and its request is not sent again.
func TestStreamedResponseIsNotRetried(t *testing.T) {
	for _, c := range []struct {
		ends func(*simulation, uint32)
		end  EndReason
		want balancer.Outcome
	}{
		{func(*simulation, uint32) {}, Completed, balancer.Served},
		{func(*simulation, uint32) {}, BrokenByEndpoint, balancer.ConnectionLost},
		{(*simulation).clientLeaves, Completed, balancer.Canceled},
		{func(d *simulation, _ uint32) { d.apply(d.router.FailAll()) }, Completed, balancer.Served},
		{func(d *simulation, _ uint32) { d.apply(d.router.EndResponses()) }, Completed, balancer.Canceled},
	} {
		d := newSimulation(testSettings(), 2)
		d.react = func(*sentAttempt) reaction {
			return reaction{
				streamDelay: 10 * time.Millisecond, duration: 100 * time.Millisecond,
				result: AttemptResult{Phase: Responding, EndReason: c.end},
			}
		}
		n := d.arrive(idempotent, "a")
		d.run(50 * time.Millisecond)
		require.Len(t, d.responses[n], 1)
		require.True(t, d.responses[n][0].Streaming)
		c.ends(d, n)
		c.ends(d, n)
		d.run(time.Second)
		require.Len(t, d.sent, 1, "not sent again")
		require.Equal(t, c.want, d.sent[0].outcome)
		require.Contains(t, d.module.events, &balancer.StreamStarted{ID: n})
		require.True(t, slices.ContainsFunc(d.module.events, func(ev balancer.Event) bool {
			done, is := ev.(*balancer.AttemptDone)
			return is && done.RequestDone
		}))
		d.run(time.Minute)
		d.checkDone()
		require.Empty(t, d.violations)
	}
}

// An attempt whose connection is not established yet is canceled when the client leaves, and is no evidence about its endpoint.
func TestUnsentAttemptIsCanceledWhenClientLeaves(t *testing.T) {
	for _, class := range []string{idempotent, notIdempotent} {
		d := newSimulation(testSettings(), 2)
		d.react = func(*sentAttempt) reaction {
			r := completed(balancer.Served)
			r.writeDelay = 300 * time.Millisecond
			return r
		}
		n := d.arrive(class, "a")
		d.run(100 * time.Millisecond)
		d.clientLeaves(n)
		d.run(time.Second)
		require.Len(t, d.sent, 1)
		require.Equal(t, balancer.Canceled, d.sent[0].outcome)
		require.False(t, d.sent[0].written && !d.sent[0].ended)
		d.checkDone()
		require.Empty(t, d.violations)
	}
}

// kinds returns the outputs of one kind.
func kinds(out []Output, kind OutputKind) (found []Output) {
	for _, o := range out {
		if o.Kind == kind {
			found = append(found, o)
		}
	}
	return found
}

// The timeout of a request whose body is still being received counts from the body's last byte, and is that of its client: the
// endpoint may still have to take the body then. A request of which a part is no
// longer buffered is not sent again; if it was not processed, it is rejected at once.
func TestRequestWithStreamedBody(t *testing.T) {
	d := newSimulation(testSettings(), 2)
	arrive := func(id string) (uint32, Output) {
		in := &protocol.Request{
			CorrelationID: id, Class: notIdempotent, Length: -1, TimeLeft: 900 * time.Millisecond,
			Rest: bodystream.New(-1, bytebudget.Grant{}, 0), BodyComplete: make(chan time.Time),
		}
		n, out := d.router.RequestArrived(d.now, in, d.now)
		starts := kinds(out, StartAttempt)
		require.Len(t, starts, 1)
		return n, starts[0]
	}
	n, start := arrive("a")
	require.Equal(t, d.now+MaxBodyTime, start.At)
	require.Equal(t, 900*time.Millisecond, start.After)
	require.Equal(t, start.Deadline, start.At, "the attempt goes on as long as its request")
	d.now += time.Minute
	rescheduled := kinds(d.router.BodyComplete(d.now, n), RescheduleAttempt)
	require.Len(t, rescheduled, 1)
	require.Equal(t, []time.Duration{d.now + 900*time.Millisecond - ResponseMargin, d.now + 900*time.Millisecond - ResponseMargin},
		[]time.Duration{rescheduled[0].Deadline, rescheduled[0].At})
	require.Empty(t, d.router.BodyComplete(d.now, n), "a repeated report is ignored")
	out := d.router.AttemptEnded(d.now, n, 0, AttemptResult{Phase: Responding, EndReason: Completed, Response: balancer.Served})
	require.Equal(t, protocol.Served, kinds(out, Respond)[0].Result)

	n, _ = arrive("b")
	out = d.router.AttemptEnded(d.now, n, 0, AttemptResult{Phase: Writing, EndReason: BrokenByEndpoint, BodyConsumed: true})
	require.Empty(t, kinds(out, StartAttempt))
	require.Equal(t, protocol.Rejected, kinds(out, Respond)[0].Result)
	require.Empty(t, d.router.BodyComplete(d.now, n), "the request is forgotten")
}

// A body that has been passed on can't be sent again. Its request is rejected only where no attempt may have been processed, or a
// repeat by the client does no harm; else it has failed. The first attempt is written whole, and its connection breaks.
func TestBodyConsumedAfterAttemptThatMayHaveBeenProcessed(t *testing.T) {
	dedup := func(scope balancer.DedupScope, window time.Duration) balancer.Class {
		return balancer.Class{
			Name: "dedup", LatencyObjective: objective, Deadline: time.Second, PriorityWeight: 1,
			Idempotency: balancer.IdempotentWithKey, DedupScope: scope, DedupWindow: window,
		}
	}
	for name, c := range map[string]struct {
		class balancer.Class
		phase AttemptPhase
		want  protocol.ResponseKind
	}{
		"not written": {dedup(balancer.DedupScopeZone, time.Second), Writing, protocol.Rejected},
		"zone":        {dedup(balancer.DedupScopeZone, time.Second), AwaitingResponse, protocol.Failed},
		"cell":        {dedup(balancer.DedupScopeCell, time.Second), AwaitingResponse, protocol.Failed},
		"all":         {dedup(balancer.DedupScopeAll, time.Second), AwaitingResponse, protocol.Rejected},
		"all, after the window": {
			dedup(balancer.DedupScopeAll, 50*time.Millisecond), AwaitingResponse, protocol.Failed,
		},
		"idempotent":     {testSettings().Classes[0], AwaitingResponse, protocol.Rejected},
		"not idempotent": {testSettings().Classes[1], AwaitingResponse, protocol.Failed},
	} {
		t.Run(name, func(t *testing.T) {
			set := testSettings()
			set.Classes = []balancer.Class{c.class}
			d := newSimulation(set, 3)
			n, out := d.router.RequestArrived(d.now, &protocol.Request{
				CorrelationID: "a", Class: c.class.Name, Length: 192 << 10, TimeLeft: 900 * time.Millisecond,
				Rest: bodystream.New(-1, bytebudget.Grant{}, 0), BodyComplete: make(chan time.Time),
			}, d.now)
			require.Len(t, kinds(out, StartAttempt), 1)
			d.now += 60 * time.Millisecond
			out = d.router.AttemptEnded(d.now, n, 0, AttemptResult{
				Phase: c.phase, EndReason: BrokenByEndpoint, BodyConsumed: true,
			})
			require.Empty(t, kinds(out, StartAttempt))
			responses := kinds(out, Respond)
			require.Len(t, responses, 1)
			require.Equal(t, c.want, responses[0].Result)
		})
	}
}

// BenchmarkRequest runs one request through Router and Pool, with the module: arrival, attempt, reuse of a connection, response.
func BenchmarkRequest(b *testing.B) {
	d := newSimulation(testSettings(), 0)
	d.router = NewRouter(testSettings(), d.module.Balancer) // without recording
	d.list(balancer.UpdateCached, 13, balancer.Ready)
	in := &protocol.Request{
		CorrelationID: "9b1f03aa5c7e2d41", Class: idempotent, Key: "7f3a9c21e0b4d655",
		TimeLeft: 900 * time.Millisecond,
	}
	now := d.now
	b.ReportAllocs()
	for b.Loop() {
		now += 3 * time.Millisecond
		id, out := d.router.RequestArrived(now, in, now)
		pool := d.pools[out[0].Endpoint]
		checkout, _ := pool.Acquire(now)
		d.limit.Record(now, checkout.IdleFor, false)
		d.router.AttemptEnded(now+time.Millisecond, id, 0, AttemptResult{
			Phase: Responding, EndReason: Completed,
			Latency: time.Millisecond,
		})
		pool.Release(now+time.Millisecond, 1, checkout.Addr, false)
	}
}
