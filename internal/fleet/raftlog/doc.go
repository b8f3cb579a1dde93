// Package raftlog implements one voter of the fleet's replicated log: a few configured agents that agree on
// one order of records.
//
// # Responsibility
//
// Consensus is done by go.etcd.io/raft (pre-vote, check-quorum, joint configuration changes). This package
// drives a raft node and adds what raft leaves to its user:
//
//   - Identity. An agent's number is not its raft ID: the log assigns each ID once, to one store, and a store
//     is identified by its nonce. An agent that lost its store, or runs without a disk, returns with a new
//     store; the other voters add that store as a learner, and it replaces the earlier one (joining.go,
//     membership.go).
//   - Founding and abandoning a log (founding.go, abandonment.go).
//   - Idempotent proposals with an outcome that is committed, not committed or unknown (proposals.go).
//   - Freshness: a point in time up to which a voter is known to have applied everything that was committed
//     (freshness.go).
//
// # Epochs and guarantees
//
// Each log has an epoch, higher than that of every log before it. A new log is founded only by all configured
// voters together, when each of them has no log or knows that its log cannot continue.
//
// With durable stores, no record that was reported as committed is lost while a majority of the stores
// exists, however often processes end. With volatile stores, none is lost while a majority of the processes
// runs; if a majority ends at the same time, the log is lost and a new, empty one is founded under a higher
// epoch.
//
// An agent must not run two voters at the same time: the earlier one has to end before the later one starts,
// which a lock on the state folder and the handover during an upgrade ensure. A replaced process that keeps
// running cannot harm a log that has a majority, but it can harm a volatile log that is being abandoned.
//
// # Determinism, concurrency, bounds
//
// A Voter has no clock, network, disk or random source of its own: Step takes one input with its time, and
// returns the data to write, send and apply. Equal inputs give equal outputs. A Voter starts no
// goroutines and is not safe for concurrent use. Memory is bounded. Messages from other agents are validated;
// a message that raft itself cannot process stops the voter (Phase Broken), not the process.
package raftlog
