// Package slowstart limits how much one agent may send to an upstream server that is warming up, or that is
// ejected and gets probe requests, so that all agents together do not overload it.
//
// Each agent keeps a Budget for each such server, filled in proportion to its own traffic to a warm server.
// No agent knows what the others send. Their sum stays below the limit because each fill rate is a fraction
// of the agent's own traffic, and because budgets start with a random fraction of a request.
//
// The package does no I/O and has no clock: the caller passes the current time. The same calls give the same
// results, bit for bit. A Budget is not safe for concurrent use.
package slowstart
