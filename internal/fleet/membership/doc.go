// Package membership determines which agents of a fleet are alive, from the messages that this agent receives
// and from the reports of other agents about the messages that they received.
//
// It sends no messages of its own. It provides an update of a bounded number of bytes, which is added to
// other messages between agents. An update contains the sender's incarnation, the time since the sender last
// received a message from the addressee, the time since any agent last received a message from each of a
// range of agents (the age of the agent's last contact), and some events (an agent left, was restarted, or
// does not receive messages). The latest contact of each agent is remembered. Ages are rounded up on each
// hop, so that repeated reports cannot prolong the time for which an agent seems to be alive. An agent is
// silent if it had no contact for a timeout, which grows with the size of the fleet, as updates have to reach
// all agents.
//
// Each process has an incarnation. A report that an agent has left applies to one incarnation only. An agent
// that receives a false report that it has left, or that it has a later incarnation than its own, raises its
// incarnation above the reported one. All agents accept the higher incarnation, which ends the false report.
//
// A network path can be closed in one direction. Each update contains the time since its sender last received
// a message from the addressee. An agent that receives updates from another one, and sees in them that the
// other one has not received its last messages, reports a closed path. An agent is OneWay if two other agents
// report that it does not receive their messages. An agent whose messages nobody receives detects this from
// the updates of others (Connection).
//
// A false report that is repeated can make a dead agent seem alive, or a live agent seem to have left. The
// former ends when the reports end; the latter is refuted by the agent itself. False reports cannot add
// agents beyond the numbers of the fleet, and cannot increase the use of memory, which is some 120 bytes for
// each number.
//
// The package does no I/O and reads no clock: time is that of one steady clock. Equal settings and calls give
// equal updates. A List starts no goroutines and is not safe for concurrent use.
package membership
