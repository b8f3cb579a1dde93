// Package balancer makes the decisions of a client-side load balancer: which server gets a request, when an
// attempt is retried or hedged, which requests are rejected, and which servers are left alone.
//
// The package does no input or output. The caller builds a Balancer with New and feeds it events in order;
// each call of Step returns the actions to carry out, in order. Time is virtual: a time.Duration since any
// fixed point, which never runs backwards. The same settings, seed and events always give the same actions,
// to the last digit. A Balancer is not safe for concurrent use: one goroutine owns it.
//
// A Balancer owns what it has learned of servers, zones, classes and tenants. Its parts are packages of their
// own: ring (consistent hashing), outlier (ejection), slowstart, inflight (fairness accounts), probation
// (servers of an unconfirmed list), zonereach, quota, and discovery's backoff.
//
// Where to look:
//
//   - Step and the events' handlers: balancer.go, timers.go
//   - why a server is chosen or skipped: select.go, eligibility.go, saturation.go
//   - why a request is retried: retry.go; why one is rejected: rejection.go
//   - the server list and the ring: endpoints.go, ringassignment.go
//   - what is learned from an attempt's end: observe.go, latency.go, outliers.go
package balancer
