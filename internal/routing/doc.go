// Package routing has the routing state of an agent, without any I/O: one state machine for each actor of
// package agent. Each takes events as input and returns the outputs to carry out. The agent's actors carry
// them out on sockets; a simulation carries them out in virtual time.
//
// Nothing here waits, sleeps, reads a clock or starts a goroutine. Every input has the current time, on the
// clock of package balancer: a time.Duration since any fixed point, which must not run backwards. The same
// inputs in the same order always give the same outputs in the same order. No type is safe for concurrent
// use: each value belongs to one actor.
//
//   - Router: the requests, their attempts, the one final response of each, and the endpoints' state. It
//     calls the decision module (package overload in front of package balancer) for each decision.
//   - Pool: the connections to one endpoint. IdleLimit limits how long an idle connection may be reused,
//     ConnectTimeouts how long an attempt waits for a new one.
//   - ListTracker: the endpoint list's version, the calls to discovery, and the endpoints that an operator
//     has disabled. SavedList: the list as it is stored across a restart.
//   - Descriptors: how many of the process's file descriptors clients and endpoints may use.
//   - ShutdownPlan: the phases of a graceful shutdown and their times.
//   - AttemptResult: what was observed of an attempt, and its outcome. ResponseProgress: how much of a
//     response has been received, and whether it may continue.
package routing
