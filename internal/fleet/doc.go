// Package fleet lets the agents of a fleet agree on a log of records. It implements one agent's part:
// the voters' log, its replica at every agent, the leases on its newest records, and the membership, which
// records which agents are alive.
//
// A Node combines the packages raftlog (the voter), replica (the copy of the log), gossip (the replication of
// that copy), lease, membership, and fragment (the transport of all of them). It owns their state. The agreed
// records are applied to StateMachines, which an Application uses.
//
// A Node does no I/O: datagrams, completed writes and the passing of time are inputs with a reading of both
// clocks, and Out returns the datagrams to send, the data to write and the events to report. Equal inputs
// give equal outputs. A Node starts no goroutines and is not safe for concurrent use; its owner is
// internal/agent's fleet actor. See docs/design/fleet-agrees.md.
package fleet
