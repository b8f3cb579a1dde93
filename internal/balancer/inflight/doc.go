// Package inflight evens out the in-flight time that one of many agents causes at each upstream server.
//
// An agent that sends to a server only occasionally has nothing in flight there when it decides, however
// loaded the server is by the other agents. A limit on its own requests in flight never applies, and all
// agents together would overload the servers of a popular key, slow machines and faulty servers. What each
// agent can even out is the in-flight time over a longer period. Every server has an Account. Each request
// is charged to it by its in-flight time, in usual requests, and credited to all accounts by their fractions
// of the capacity, plus a small surplus. A server thus gets its fraction, a slow one gets fewer requests,
// and a request that timed out is charged for its whole wait. As all agents keep such accounts, the sum of
// what they send to each server is bounded, although no agent knows what the others send.
//
// Credit accrues with sent requests, not with time: it follows a burst at once, and does not change while
// nothing is sent.
//
// The package does no I/O and has no clock. The same calls give the same results, bit for bit. Accounts are
// not safe for concurrent use.
package inflight
