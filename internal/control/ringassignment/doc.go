// Package ringassignment keeps the consistent-hash ring the same in the whole fleet, and stable. Which
// servers are on the ring, and with how many points, is an agreed generation (State). The next generation
// follows from the present one, from what the voters' leader sees and from the time, by rules that can be
// read (rules.go).
//
// # Phases of a server
//
//	expected  listed, not ready yet; it has no points
//	joining   its points grow, no faster than slow start and the limit on moved keys permit
//	whole     Complete: it has the points of its agreed capacity, or is on the way from one to another
//	suspect   it vanished or is not ready; nobody uses it, and its points are kept for
//	          Parameters.SuspectRetention
//	away      it drains, or has long not been ready; it has no points and may come back
//	gone      not listed; only its penalty is remembered, for Parameters.GoneRetention
//
// # Invariants
//
// The next generation is proposed only once no agent that holds a lease can use the one before the present
// (lease.Terms.FencePassed since the present one was applied), so such agents never use more than two
// neighbouring generations. Points are nested (package ring): a changed number moves keys of that server
// alone. Keys that move without need are limited to Parameters.MaxMoveRate; what lost servers had may be made
// up for at once, as far as slow start permits at the others. Each unplanned loss of a server is a flap and
// raises its penalty, which decays. A server that comes back stays off until it was ready for
// Parameters.MinReadyTime without a break, twice as long for each further flap. So a server that flaps every
// 2 s moves its keys once.
//
// A server that maintenance windows have fully drained (View.FullyDrained) stays on the ring as it is: the
// windows keep all keys off it, and end by each agent's own clock, which no generation may delay.
//
// An agreed generation says only which servers share the keys. A server that the agent's own endpoint list
// says is draining or gone is not used, whatever the generation says, and a server that the list lacks is not
// made known by the generation.
//
// # Concurrency and determinism
//
// The package does no input or output and reads no clock. Its types are not safe for concurrent use: the
// goroutine that runs the fleet's node owns them. StateMachine depends on the records alone, so all agents
// reach the same state. docs/design/placement.md has the design.
package ringassignment
