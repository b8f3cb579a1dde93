// Package ringassignment keeps the consistent-hash ring stable and the same at all agents of the fleet. A
// generation (State) is the agreed set of servers on the ring with the number of points of each. The next
// generation follows from the current one, from the leader's view of the servers and from the time, by the
// rules in rules.go.
//
// # Phases of a server
//
//	expected  listed and not ready yet; it has no points
//	joining   its points grow, no faster than slow start and the limit on moved keys permit
//	whole     Complete: it has the points of its agreed capacity, or is changing from one capacity to another
//	suspect   not listed or not ready; no agent uses it, and its points are kept for
//	          Parameters.SuspectRetention
//	away      draining, or not ready for longer than that; it has no points and may return
//	gone      not listed; only its penalty is kept, for Parameters.GoneRetention
//
// # Invariants
//
// The next generation is proposed only once no agent that holds a lease can use the previous one
// (lease.Terms.FencePassed since the current one was applied), so such agents use at most two consecutive
// generations at the same time. Points are nested (package ring): changing a server's number of points moves
// only keys to or from that server. The rate of key moves that no loss of a server makes necessary is limited
// to Parameters.MaxMoveRate. Points of lost servers may be replaced at once, as far as slow start at the
// other servers permits. Each unplanned loss of a server is a flap and raises its penalty, which decays. A
// server that returns stays off the ring until it has been ready for Parameters.MinReadyTime without
// interruption, and twice as long for each further flap. So a server that flaps every 2 s moves its keys only
// once.
//
// A server that maintenance windows have fully drained (View.FullyDrained) keeps its phase and points: the
// windows already keep all keys off it, and they end by each agent's own clock, which no generation may
// delay.
//
// A generation only determines which servers share the keys. An agent does not use a server that its own
// endpoint list reports as draining or does not contain, even if the generation includes it.
//
// # Concurrency and determinism
//
// The package does no input or output and reads no clock. Its types are not safe for concurrent use: the
// goroutine that runs the fleet node owns them. StateMachine depends on the records alone, so all agents
// reach the same state. docs/design/placement.md describes the design.
package ringassignment
