// Package gossip replicates the agreed records from agent to agent, so that no voter has to serve hundreds of
// agents.
//
// An agent with new records pushes a message to a few other agents, drawn at random: the newest records, or a
// digest of some 40 bytes with the position of its replica. An agent that lags pulls the records that it
// lacks from an agent that is ahead, and receives a bounded segment of them. It then pushes these records
// itself. The interval between pushes doubles up to Settings.IdleInterval. Pushes never stop, so that an
// agent that missed all earlier ones still learns that it lags. The idle traffic of an agent therefore does
// not depend on the size of the fleet. An agent that receives a digest with an earlier position than its own
// replies with its own digest. An agent that lags too far, or has a log of an earlier epoch, receives the
// snapshot. A record or a snapshot larger than a message is transferred in chunks, which may be from several
// agents in succession. Replicas that differ are never mixed (package replica); the difference is reported.
//
// The bytes per second that an agent serves are bounded, and so are those that it pulls. An agent that has
// reached its bound does not reply, and the others pull from another agent.
//
// An agent that starts requests digests from some other agents, among them a voter. It has caught up once a
// voter, or several agents that have caught up themselves, have replied and it has all records that they
// reported. If all agents of a fleet start at once, no agent is trusted until a voter has confirmed by a read
// that it has all committed records (MarkCaughtUp).
//
// The package does no I/O and reads no clock: time is that of one steady clock. Equal settings and calls give
// equal messages. A Replicator starts no goroutines and is not safe for concurrent use.
package gossip
