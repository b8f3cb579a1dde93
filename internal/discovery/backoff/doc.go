// Package backoff schedules the next call to discovery after a call has ended.
//
// Two requirements conflict. A discovery service with too many callers answers none of them in time, so that
// a large fleet has to back off. But a change of the endpoint list that is made while discovery can be
// reached counts as known to the agent a fixed time later, whether the agent has received it or not and
// however its calls ended. From then on the rule for draining servers applies: a draining server may get
// requests only for a grace period. A Schedule therefore keeps the time since which changes may have been
// missed, and makes the next call early enough that another one still fits in before the grace period ends.
//
// The Schedule also knows whether there is a watch. Without one, a call is under way or planned: no event
// leads to a state that only another event from outside could end.
//
// The package does no I/O and has no clock: the caller passes the current time and random draws. The same
// calls give the same results. A Schedule is not safe for concurrent use.
package backoff
