// Package balancer makes the decisions of a client-side load balancer: which server gets a request, when an
// attempt is retried or hedged, which requests are rejected, and which servers get no requests.
//
// The package does no input or output. The caller creates a Balancer with New and passes events to Step in
// order; each call of Step returns the actions to carry out, in order. Time is a time.Duration since any
// fixed point and never runs backwards. The same settings, seed and events always give exactly the same
// actions. A Balancer is not safe for concurrent use: one goroutine owns it.
//
// A Balancer owns the state of servers, zones, classes and tenants. Parts of it are packages of their own:
// ring (consistent hashing), outlier (ejection), slowstart, inflight (fairness accounts), probation (servers
// of an unconfirmed list), zonereach (unreachable zones), quota, and discovery's backoff.
//
// Where to look:
//
//   - Step and the events' handlers: balancer.go, timers.go
//   - why a server is chosen or skipped: select.go, eligibility.go, saturation.go
//   - why a request is retried: retry.go; why one is rejected: rejection.go
//   - the server list and the ring: endpoints.go, ringassignment.go
//   - what the end of an attempt changes: observe.go, latency.go, outliers.go
package balancer
