// Package overload is the overload control in front of the load balancer: an admission controller that
// rejects requests where sending them on would make an overload worse.
//
// It has five parts, each in files of its own:
//
//   - latency episodes: work is slow at every server at once. All agents shed load in the same seconds, so
//     that the servers can recover (episode.go, shedding.go, servicetime.go, peers.go);
//   - outages: no server responds. Only a few trial requests are forwarded, and after the first response the
//     servers get no more than they prove to serve (outage.go, recovery.go);
//   - retry storms: more client retries than first attempts come, and most find no capacity (retrystorm.go);
//   - the adaptive throttle of an agent in a large fleet, by how many of its attempts are wasted
//     (throttle.go);
//   - the order in which requests are admitted when not all can be, tenants' quotas and the Retry-After
//     schedule of those that are rejected (fairness.go, quota.go, retryafter.go).
//
// A Controller owns the state of all of these, and what it has learned of the servers' usual service times,
// which is kept over a restart (snapshot.go). It is fed the balancer's events in order and passes on those
// that the balancer is to see; each call of Step returns the actions to carry out, its own and the
// balancer's.
//
// Concurrency: a Controller is not safe for concurrent use; one goroutine owns it. There is no input or
// output here, and no clock: every event brings the time, which should be the same at every agent, as
// shedding starts at agreed times. Determinism: the same settings, seed and events always give the same
// actions, to the last digit; the order of random draws and of floating-point operations is therefore part of
// the behaviour.
package overload
