// Package routing holds the decisions of an agent's routing without its input and output: state machines, one
// for each actor of package agent, that take in what happened and return what is to be done. The agent's
// actors carry that out on sockets, a simulation does in virtual time.
//
// Nothing here waits, sleeps, reads a clock or starts a goroutine. Every input carries the time, on the clock
// of package balancer: a time.Duration since any fixed point, which must not run backwards. The same inputs
// in the same order always give the same outputs in the same order. No type is safe for concurrent use: one
// actor owns each.
//
//   - Router: the requests, their attempts, the one answer of each, and the endpoints' state. It asks the
//     decision module (package balancer behind package overload) for each decision.
//   - Pool: the connections to one endpoint. IdleLimit says how long idle ones are reused, ConnectTimeouts
//     how long a new one is waited for.
//   - ListTracker: the endpoint list's version and order, the calls to discovery, and the endpoints that an
//     operator has disabled. SavedList: the list as it is stored over a restart.
//   - Descriptors: the quotas of client and endpoint connections in the process's descriptors.
//   - ShutdownPlan: what a graceful shutdown does when.
//   - AttemptResult: what was seen of an attempt, and its outcome. ResponseProgress: how far an answer has
//     come, and whether it may go on.
package routing
