// Package lease says until when an agent may act on what the fleet has agreed on, so that a moment can be
// told after which nobody acts on what was before.
//
// An agent (a Holder) asks one of the voters for a lease; the voter (a Granter) grants it only if it knows
// for sure what was committed a short while ago, and names how far that goes. The agent may act on its
// records while the lease holds and it has all that the grant names. Without one it acts within the floor
// only.
//
// # Terms
//
// L is Terms.Duration and H is Terms.MaxKnowledgeAge; d is Terms.MaxDrift: over any time each steady clock runs between 1-d
// and 1+d as fast as it should. E is Terms.MaxClockError: each Unix clock is off by E at most, its steps included.
//
// # Why nobody acts without record i after the fence
//
// All moments are true time. Record i is committed at t. A holder that acts at x without it had a grant:
//
//	p  the voter begins to ask the leader what is committed (a linearizable read, raft's ReadIndex: the leader
//	   answers only after a majority has confirmed, since p, that it still leads)
//	g  the voter grants, having applied what the answer named, and names that as S
//	q  the holder read its clock before it sent its request
//
// These follow each other:
//
//  1. The answer covers all that was committed before p. The holder has applied S; it lacks i, so i
//     is not in S, so p <= t. That holds whoever leads, and however late the answer comes: a leader
//     that was cut off finds no majority after p, and a late answer has an old p, not a new one.
//  2. The voter grants only while its own clock shows at most H since p: g <= p + H/(1-d). A voter
//     that is cut off from the leader has no new p. One that was paused reads its clock anew for
//     each request, after it has taken the request from the way; its clock ran on, so it sees that
//     p is old. Where the time between two inputs is more than Terms.MaxPause it also forgets p,
//     whatever the clocks' difference says.
//  3. The request had arrived by g, so q <= g. No grant is used whose request number is not that of
//     one of the holder's own open requests, so this holds for grants that are late, doubled, of
//     another process or of an earlier incarnation.
//  4. The holder acts only while its own clock shows less than L since q: x < q + L/(1-d). How long
//     the request, the grant and the voter took only makes what is left shorter; so does a pause
//     between reading the clock and sending. Holds takes the reading of the decision itself: a
//     pause before it is seen.
//
// Together: x < t + (H+L)/(1-d). No step compares two machines' clocks.
//
// Time since an earlier reading is the larger of what the Unix and the steady clock show. A Unix clock that
// is set forward ends leases early (a moment of floor, nothing worse); one that is set back changes nothing
// as the steady one counts. A steady clock that stood still (a suspended machine, a restored image) is made
// up for by the Unix one where that is right by then, and was not set back meanwhile. If both stood still,
// nothing in the machine can tell: take a steady clock that runs on while suspended (CLOCK_BOOTTIME).
//
// Between the reading of a decision and its effect an agent may be paused: no lease helps there. A request
// that waits in hand has to ask Holds again when it is sent on; what was already sent cannot be taken back.
//
// Who waits for the fence by its own clock (Terms.FencePassed) needs (H+L)*(1+d)/(1-d) on both of its clocks since
// a reading at which i was committed for sure; a new leader counts from when it first knew that. Who is told
// t as a Unix time by another machine and compares it with its own has to add 2E (Terms.Fence).
//
// It does no input or output, and knows no clock. Types are not safe for concurrent use.
package lease

import (
	"errors"
	"math"
	"time"
)

// Terms are the same at all agents of a fleet.
type Terms struct {
	Duration        time.Duration // how long a lease lasts from when it was asked for; 4 s
	MaxKnowledgeAge time.Duration // how old a voter's knowledge may be as it grants; 1 s
	MaxPause        time.Duration // a longer time between two of a voter's inputs makes it forget what it knew; MaxKnowledgeAge
	MaxClockError   time.Duration // how far a Unix clock may be off; 100 ms
	MaxDrift        float64       // how much faster or slower a steady clock may run; 0.001
}

// ErrInvalidTerms: the terms cannot be kept.
var ErrInvalidTerms = errors.New("leases last 100 ms to 1 h, voters' knowledge 50 ms to 1 h, clocks drift 0 to 10%")

// WithDefaults returns the terms with the defaults for what is zero.
func (t Terms) WithDefaults() Terms {
	usual := func(v *time.Duration, d time.Duration) {
		if *v == 0 {
			*v = d
		}
	}
	usual(&t.Duration, 4*time.Second)
	usual(&t.MaxKnowledgeAge, time.Second)
	usual(&t.MaxPause, t.MaxKnowledgeAge)
	usual(&t.MaxClockError, 100*time.Millisecond)
	if t.MaxDrift == 0 {
		t.MaxDrift = 0.001
	}
	return t
}

// Validate gives ErrInvalidTerms where nobody could hold a lease by them, or no fence could be told.
func (t Terms) Validate() error {
	if t.Duration < 100*time.Millisecond || t.MaxKnowledgeAge < 50*time.Millisecond || t.MaxPause < 0 || t.MaxClockError < 0 ||
		!(t.MaxDrift >= 0 && t.MaxDrift <= 0.1) || t.Duration > time.Hour || t.MaxKnowledgeAge > time.Hour || t.MaxClockError > time.Hour {
		return ErrInvalidTerms
	}
	return nil
}

// Fence is the moment, in the Unix time of any machine, after which no agent acts without what was committed
// at a moment in the Unix time of another. Committed has to be read when that was so, not before.
func (t Terms) Fence(committed time.Duration) time.Duration {
	return committed + t.stretched(1/(1-t.MaxDrift)) + 2*t.MaxClockError
}

// FenceWait is how long one waits for the same by its own steady clock.
func (t Terms) FenceWait() time.Duration { return t.stretched((1 + t.MaxDrift) / (1 - t.MaxDrift)) }

func (t Terms) stretched(by float64) time.Duration {
	return time.Duration(math.Ceil(float64(t.MaxKnowledgeAge+t.Duration)*by)) + 1
}

// FencePassed tells whether no agent acts any more without what was committed for sure at an earlier reading of
// the same machine.
func (t Terms) FencePassed(committed, now ClockReading) bool {
	return min(now.Unix-committed.Unix, now.Mono-committed.Mono) >= t.FenceWait()
}

// ClockReading is what a machine's clocks show at one moment: the Unix time, which may be set, and a steady one
// from any beginning that is never set and runs on while the process and the machine stand still. Who has
// only one clock gives it twice, and bears what it lacks.
type ClockReading struct {
	Unix, Mono time.Duration
}

// Since is how long ago an earlier reading was, by the clock that says more.
func (r ClockReading) Since(earlier ClockReading) time.Duration {
	return max(r.Unix-earlier.Unix, r.Mono-earlier.Mono)
}
