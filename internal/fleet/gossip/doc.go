// Package gossip replicates the agreed records from agent to agent, so that no voter has to serve hundreds of
// agents.
//
// An agent with new records pushes to a few others, drawn at random, how far its replica goes (a digest of
// some 40 bytes) or the newest records themselves. An agent that is behind pulls what follows from one that
// is ahead, and receives a bounded segment; then it has something new to push itself. The first pushes follow
// each other quickly, later ones more and more slowly, down to one per Settings.IdleInterval, which never
// stop: through them an agent that missed everything finds out. So the idle cost of an agent does not depend
// on the size of the fleet. An agent that receives a digest of less than it has replies with its own. One
// that is too far behind, or of an earlier epoch, receives the snapshot. What is larger than a message is
// transferred in chunks, which may come from one agent after the other. Replicas that differ are never mixed
// (package replica); the difference is reported.
//
// What an agent serves is bounded in bytes per second, and so is what it pulls: above that it does not
// answer, and the others ask elsewhere.
//
// An agent that starts asks some others, a voter among them, how far they are, and is caught up once one
// voter or several agents that are caught up themselves have replied and it has everything that they know. In
// a fleet whose agents all start at once nobody is trusted: only voters that know (MarkCaughtUp) begin it.
//
// The package does no I/O and reads no clock: time is that of one steady clock. Equal settings and calls give
// equal messages. A Replicator starts no goroutines and is not safe for concurrent use.
package gossip
