// Package lease decides until when an agent may act on the records that the fleet has agreed on, so that a
// time can be given after which no agent acts on an earlier agreement.
//
// An agent (Holder) requests a lease from one of the voters. The voter (Granter) grants it only if a read at
// the leader recently confirmed the position up to which records are committed, and states that position in
// the grant. The agent may act on its records while the lease is unexpired and it has applied all records up
// to that position. Without a lease it acts only within the floor, which every policy has to allow.
//
// # Terms
//
// L is Terms.Duration and H is Terms.MaxKnowledgeAge. d is Terms.MaxDrift: over any period, each steady clock
// runs at 1-d to 1+d times the rate of true time. E is Terms.MaxClockError: each Unix clock differs from true
// time by at most E, including its steps.
//
// # Why no agent acts without record i after the fence
//
// All times in this section are true time. Record i is committed at time t. A holder that acts at time x
// without having applied i had a grant. The following happened at these times:
//
//	p  the voter started a linearizable read at the leader (raft's ReadIndex: the leader answers only after
//	   a majority has confirmed, since p, that it still leads)
//	g  the voter granted the lease, having applied everything that the answer covers, up to position S
//	q  the holder read its clock, before it sent its request
//
// The following is true:
//
//  1. The answer covers everything that was committed before p. The holder has applied S and lacks i, so i is
//     not in S and p <= t. This does not depend on which voter leads or on how late the answer arrives: a
//     leader that was cut off finds no majority after p, and a late answer still counts from its old p.
//  2. The voter grants only while its own clock shows at most H since p: g <= p + H/(1-d). A voter that is
//     cut off from the leader gets no new p. A voter that was paused reads its clock again for each request,
//     after it has received the request; its clock kept running, so it detects that p is old. If the time
//     between two inputs exceeds Terms.MaxPause, it also discards p, regardless of the time since p.
//  3. The request had arrived by g, so q <= g. A grant is used only if its nonce is that of one of the
//     holder's own outstanding requests, so this is also true for grants that are late, duplicated, or for
//     another process or incarnation.
//  4. The holder acts only while its own clock shows less than L since q: x < q + L/(1-d). The time that the
//     request, the grant and the voter take only shortens the remaining time; so does a pause between reading
//     the clock and sending. Holds takes the clock reading of the decision itself, so a pause before it is
//     included.
//
// Together: x < t + (H+L)/(1-d). No step compares the clocks of two machines.
//
// The time since an earlier reading is the larger one of the times that the Unix and the steady clock show. A
// Unix clock that is set forward ends leases early, which puts the agent on the floor for a moment and does
// no other harm. A Unix clock that is set back changes nothing, as the steady clock shows more. If the steady
// clock stood still (a suspended machine, a restored image), the Unix clock compensates for it, provided that
// it is right by then and was not set back meanwhile. If both stood still, the machine cannot detect it: use
// a steady clock that keeps running while the machine is suspended (CLOCK_BOOTTIME).
//
// A lease cannot protect against a pause between the clock reading of a decision and the effect of that
// decision. A queued request has to check Holds again when it is forwarded; a request that was already sent
// cannot be taken back.
//
// To wait for the fence by its own clocks (Terms.FencePassed), a machine needs (H+L)*(1+d)/(1-d) on both of
// them since a reading at which i was certainly committed; a new leader counts from the time at which it
// first knew that. A machine that receives t as a Unix time from another machine, and compares it with its
// own Unix clock, has to add 2E (Terms.Fence).
//
// The package does no I/O and reads no clock. Its types start no goroutines and are not safe for concurrent
// use.
package lease
