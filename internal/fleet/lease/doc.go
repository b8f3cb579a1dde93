// Package lease decides until when an agent may act on what the fleet has agreed on, so that a time can be
// given after which no agent acts on an earlier agreement.
//
// An agent (Holder) requests a lease from one of the voters. The voter (Granter) grants it only if it knows
// for sure what was committed a short while ago, and names how far that goes. The agent may act on its
// records while the lease is unexpired and it has applied everything that the grant names. Without a lease it
// acts within the floor only: what every policy has to allow.
//
// # Terms
//
// L is Terms.Duration and H is Terms.MaxKnowledgeAge. d is Terms.MaxDrift: over any period each steady clock
// runs between 1-d and 1+d times as fast as it should. E is Terms.MaxClockError: each Unix clock is off by at
// most E, its steps included.
//
// # Why no agent acts without record i after the fence
//
// All times in this section are true time. Record i is committed at t. A holder that acts at x without it had
// a grant:
//
//	p  the voter starts a linearizable read at the leader (raft's ReadIndex: the leader answers only after
//	   a majority has confirmed, since p, that it still leads)
//	g  the voter grants, having applied what the answer named, and names that as S
//	q  the holder reads its clock, before it sends its request
//
// The following holds:
//
//  1. The answer covers everything that was committed before p. The holder has applied S and lacks i, so i is
//     not in S and p <= t. That holds whoever leads and however late the answer comes: a leader that was cut
//     off finds no majority after p, and a late answer has an old p, not a new one.
//  2. The voter grants only while its own clock shows at most H since p: g <= p + H/(1-d). A voter that is
//     cut off from the leader gets no new p. One that was paused reads its clock anew for each request, after
//     it has received the request; its clock kept running, so it sees that p is old. Where the time between
//     two inputs exceeds Terms.MaxPause it also discards p, whatever the difference of the clocks is.
//  3. The request had arrived by g, so q <= g. A grant is used only if its nonce is that of one of the
//     holder's own outstanding requests, so this holds for grants that are late, duplicated, or for another
//     process or incarnation.
//  4. The holder acts only while its own clock shows less than L since q: x < q + L/(1-d). Whatever time the
//     request, the grant and the voter took only shortens what remains; so does a pause between reading the
//     clock and sending. Holds takes the clock reading of the decision itself, so a pause before it is seen.
//
// Together: x < t + (H+L)/(1-d). No step compares the clocks of two machines.
//
// The time since an earlier reading is the larger of what the Unix and the steady clock show. A Unix clock
// that is set forward ends leases early (a moment on the floor, nothing worse); one that is set back changes
// nothing, as the steady one counts. A steady clock that stood still (a suspended machine, a restored image)
// is compensated by the Unix one if that is right by then and was not set back meanwhile. If both stood
// still, nothing in the machine can tell: use a steady clock that keeps running while suspended
// (CLOCK_BOOTTIME).
//
// Between the clock reading of a decision and its effect an agent may be paused: no lease helps there. A
// request that is queued has to check Holds again when it is forwarded; what was already sent cannot be taken
// back.
//
// Waiting for the fence by one's own clock (Terms.FencePassed) needs (H+L)*(1+d)/(1-d) on both of one's
// clocks since a reading at which i was committed for sure; a new leader counts from when it first knew that.
// Whoever is told t as a Unix time by another machine and compares it with its own has to add 2E
// (Terms.Fence).
//
// The package does no I/O and reads no clock. Its types start no goroutines and are not safe for concurrent
// use.
package lease
