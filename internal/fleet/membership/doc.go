// Package membership determines which agents of a fleet are alive, from what an agent receives itself and
// from what others report that they received.
//
// It sends nothing. Into messages that go to other agents anyway it adds an update of a bounded number of
// bytes: the sender's incarnation, how long ago it received something from the addressee, how long ago
// anybody received something from each of a range of agents, and some events (an agent left, was restarted,
// or receives nothing). Of what is received, the latest contact of each agent is remembered. Ages are rounded
// up on each hop, so that no agent seems to be alive for longer by being reported on. An agent without
// contact for long is silent; how long that is grows with the fleet, as updates have to reach all of it.
//
// Each process has an incarnation. That an agent has left is reported of one incarnation and means nothing
// for its later ones. An agent that receives a report that it has left, or of a later incarnation of its own,
// takes a higher one, which all accept: so a false report ends.
//
// A network path can be closed in one direction. Each update tells its addressee how long ago something was
// received from it; an agent that has sent several messages to another one, receives from it, and is not
// received by it, reports that. An agent that two others report not to receive them is OneWay. One that
// nobody receives sees that in the updates of others (Connection).
//
// A false report can, as long as it is repeated, make a dead agent seem alive, or a live one seem to have
// left; the first ends with the reports, the second is refuted by the agent itself. It cannot add an agent
// beyond the fleet's numbers, nor take memory: some 120 bytes are used for each number.
//
// The package does no I/O and reads no clock: time is that of one steady clock. Equal settings and calls give
// equal updates. A List starts no goroutines and is not safe for concurrent use.
package membership
