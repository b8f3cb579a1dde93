// Package replica keeps one agent's replica of the fleet's log: a snapshot, and the records after it.
//
// Each record has a sum, which is a checksum over itself and everything before it. Two replicas are equal up
// to a record exactly if their sums at that record are equal. A replica appends only records that continue
// its own content: a segment of another replica is checked completely, from the sum before its first record
// to the one after its last, before any of it is appended. If two replicas have different sums at the same
// position, one of them is wrong, and it cannot be determined which one. That is an error to report to an
// operator, and neither replica is changed.
//
// If the voters lose their log, they found a new one with a higher epoch, which replaces the former log
// completely. A lower epoch is never accepted again. Sums protect against faults of the network and of
// memory, but not against an agent that fabricates a complete epoch: callers have to decide whose messages
// they accept.
//
// The package does no I/O and reads no clock. A Log starts no goroutines and is not safe for concurrent use.
package replica
