// Package lab simulates changes of the fleet policy in virtual time, with fault injection: datagrams that
// are lost, delayed, duplicated and reordered, connections that are cut in one direction, voters and agents
// that are paused or stopped at any step, and clocks with errors. The agreed log is reduced to its
// guarantees: a leader that reaches a majority appends records in sequence, and each node applies them some
// time later. Leases are those of package lease. Package judge checks the agents' decisions.
//
// A Lab is deterministic: the same Setup gives the same events. It is not safe for concurrent use; different
// Labs may run concurrently.
package lab
