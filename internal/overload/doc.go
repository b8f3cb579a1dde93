// Package overload is the overload control in front of the load balancer: an admission controller that
// rejects requests whose forwarding would make an overload worse.
//
// It has five parts, each in its own files:
//
//   - latency episodes: every server is slow at once. All agents shed load in the same seconds, so that the
//     servers can recover (episode.go, shedding.go, servicetime.go, peers.go);
//   - outages: no server responds. Only a few trial requests are forwarded. After the first response, the
//     servers get no more than they prove able to serve (outage.go, recovery.go);
//   - retry storms: client retries outnumber first attempts, and most requests find no capacity
//     (retrystorm.go);
//   - the adaptive throttle of an agent in a large fleet, driven by the fraction of its attempts that are
//     wasted (throttle.go);
//   - the order in which requests are admitted when not all can be, the tenants' quotas, and the
//     Retry-After schedule of rejected clients (fairness.go, quota.go, retryafter.go).
//
// A Controller owns the state of all five parts and the usual service times that it has learned, which a
// Snapshot keeps across a restart (snapshot.go). It processes the balancer's events in order and passes on
// those that concern the balancer; each call of Step returns the actions to carry out, its own and the
// balancer's.
//
// Concurrency: a Controller is not safe for concurrent use; one goroutine owns it. The package does no I/O
// and reads no clock: every event carries the time. The agents' clocks should agree, because shedding
// starts at agreed times. Determinism: the same settings, seed and events always give the same actions, to
// the last digit; the order of random draws and of floating-point operations is therefore part of the
// behaviour.
package overload
