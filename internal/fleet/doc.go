// Package fleet is one agent's part in what the agents of a fleet agree on: the voters' log, its replica at
// every agent, the leases on its newest records, and which agents are alive.
//
// A Node combines the parts: raftlog (the voter), replica (the copy of the log), gossip (its replication),
// lease, membership, and fragment (the transport of all of them). It owns their state. StateMachines are
// applied to the agreed records, and an Application stands on top of them.
//
// A Node does no I/O: datagrams, completed writes and the passing of time are inputs with a reading of both
// clocks, and Out returns what is to be sent, written and reported. Equal inputs give equal outputs. A Node
// starts no goroutines and is not safe for concurrent use; its owner is internal/agent's fleet actor. See
// docs/design/fleet-agrees.md.
package fleet
