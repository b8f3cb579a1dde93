package routing

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/protocol"
)

// Guards against an attempt that is ended at its own time though its response is under way, and one that outlives its request.
func TestAttemptTime(t *testing.T) {
	const ms = time.Millisecond
	usual := AttemptTime{GiveUpAt: 500 * ms, Deadline: 2500 * ms}
	short := AttemptTime{GiveUpAt: 300 * ms, Deadline: 300 * ms} // the client gives less than the objective
	for _, c := range []struct {
		t     AttemptTime
		now   time.Duration
		stage ResponseStage
		want  AttemptStep
	}{
		{usual, 499 * ms, NoResponse, AttemptStep{NextAt: 500 * ms}},
		{usual, 500 * ms, NoResponse, AttemptStep{IsOver: true, NextAt: 500 * ms}},
		{usual, 499 * ms, ResponseBegun, AttemptStep{NextAt: 500 * ms}},
		{usual, 500 * ms, ResponseArriving, AttemptStep{IsOverdue: true, NextAt: 2400 * ms}},
		{usual, 500 * ms, ResponseBegun, AttemptStep{IsOverdue: true, NextAt: 2400 * ms}},
		{usual, 2400 * ms, ShortResponseBegun, AttemptStep{IsOverdue: true, NextAt: 2500 * ms}},
		{usual, 2500 * ms, ResponseBegun, AttemptStep{IsOver: true}},
		{usual, 2500 * ms, ShortResponseBegun, AttemptStep{IsOver: true}},
		{short, 199 * ms, NoResponse, AttemptStep{NextAt: 200 * ms}},
		{short, 200 * ms, NoResponse, AttemptStep{NextAt: 300 * ms}},
		{short, 200 * ms, ResponseBegun, AttemptStep{IsOverdue: true, NextAt: 300 * ms}},
		{short, 300 * ms, NoResponse, AttemptStep{IsOver: true, NextAt: 300 * ms}},
	} {
		require.Equal(t, c.want, c.t.Next(c.now, c.stage), "%+v", c)
	}
	require.Equal(t, 200*ms, short.FirstStepAt())
}

// For any times: the steps end, at the request's deadline at the latest, and not before it once a response is under way.
func TestAttemptTimeEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		at := AttemptTime{Deadline: time.Duration(rapid.IntRange(0, 3000).Draw(t, "deadline"))}
		at.GiveUpAt = min(time.Duration(rapid.IntRange(0, 3000).Draw(t, "giveUpAt")), at.Deadline)
		at.GiveUpAt, at.Deadline = at.GiveUpAt*time.Millisecond, at.Deadline*time.Millisecond
		begins := time.Duration(rapid.IntRange(0, 4000).Draw(t, "begins")) * time.Millisecond
		now := time.Duration(0)
		for range 10 {
			stage := NoResponse
			if now >= begins {
				stage = ResponseBegun
			}
			step := at.Next(now, stage)
			if step.IsOver {
				require.Equal(t, stage != NoResponse, now >= at.Deadline && begins <= now)
				require.LessOrEqual(t, now, max(at.Deadline, 0))
				return
			}
			require.Greater(t, step.NextAt, now)
			now = step.NextAt
		}
		t.Fatal("it does not end")
	})
}

// overdueOutputs plays a request whose only attempt's response has come to a stage when its own time is over, after that is
// reported at a time, and returns the kinds of output.
func overdueOutputs(t *testing.T, class string, stage ResponseStage, after time.Duration) (kinds []OutputKind) {
	d := newSimulation(testSettings(), 3)
	d.react = func(*sentAttempt) reaction { return reaction{duration: time.Hour} }
	id := d.arriveWithTimeLeft(class, "1", 2*time.Second)
	require.Len(t, d.sent, 1)
	d.router.ResponseBegun(d.now, id, 0, stage == ShortResponseBegun, false)
	for _, o := range d.router.AttemptOverdue(d.now+after, id, 0, OverdueAttempt{Stage: stage}) {
		if o.Kind == ForwardResponse || o.Kind == StartAttempt || o.Kind == Respond {
			kinds = append(kinds, o.Kind)
		}
	}
	return kinds
}

// A response that may be long becomes its request's when its attempt is overdue. A short one is waited for, and so is one whose
// head is not complete. None is answered for.
func TestOverdueResponseIsForwardedUnlessShort(t *testing.T) {
	const overdue = 495 * time.Millisecond
	for _, class := range []string{idempotent, notIdempotent} {
		require.Equal(t, []OutputKind{ForwardResponse}, overdueOutputs(t, class, ResponseBegun, overdue))
		require.Empty(t, overdueOutputs(t, class, ShortResponseBegun, overdue))
		require.Empty(t, overdueOutputs(t, class, ResponseArriving, overdue))
	}
}

// When the agent is about to end, a response that has begun and may be long is forwarded, others fail at once, no attempt is
// started, and what never began is answered at the end.
func TestFailAllForwardsResponsesThatHaveBegun(t *testing.T) {
	d := newSimulation(testSettings(), 3)
	d.react = func(*sentAttempt) reaction { return reaction{duration: time.Hour} }
	begun, short := d.arrive(notIdempotent, "1"), d.arrive(notIdempotent, "2")
	d.router.ResponseBegun(d.now, begun, 0, false, false)
	d.router.ResponseBegun(d.now, short, 0, true, false)
	var kinds []OutputKind
	for _, o := range d.router.FailAll() {
		if o.Kind == ForwardResponse || o.Kind == Respond {
			kinds = append(kinds, o.Kind)
			require.Equal(t, o.Kind == ForwardResponse, o.Request == begun)
		}
	}
	require.Equal(t, []OutputKind{ForwardResponse, Respond}, kinds)
	for _, o := range d.router.EndResponses() {
		if o.Kind == Respond {
			require.Equal(t, begun, o.Request)
			require.Equal(t, protocol.Failed, o.Result)
		}
	}
}

// Guards against an endpoint that is occupied until the end of a request's time by a response that nobody waits for.
func TestOverdueResponseWithoutClientEnds(t *testing.T) {
	d := newSimulation(testSettings(), 3)
	d.react = func(*sentAttempt) reaction { return reaction{duration: time.Hour} }
	id := d.arriveWithTimeLeft(notIdempotent, "1", 2*time.Second)
	d.router.ResponseBegun(d.now, id, 0, false, false)
	d.router.ClientGone(d.now, id)
	require.Equal(t, []Output{{Kind: CancelAttempt, Request: id, Reason: TimedOut}},
		d.router.AttemptOverdue(d.now+495*time.Millisecond, id, 0, OverdueAttempt{Stage: ResponseBegun}))
	id = d.arriveWithTimeLeft(notIdempotent, "2", 2*time.Second)
	d.router.ResponseBegun(d.now, id, 0, false, false)
	d.router.ResponseStarted(d.now, id, 0)
	require.Empty(t, d.router.AttemptOverdue(d.now+495*time.Millisecond, id, 0, OverdueAttempt{Stage: ResponseBegun}), "it is passed on")
}
