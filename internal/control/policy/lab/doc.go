// Package lab plays changes of policy in virtual time, with all that can go wrong on the way: datagrams that
// are lost, late, duplicated and out of order, connections that are cut in one direction, voters and agents
// that are paused or end at any step, clocks that are off. The agreed log is reduced to what it promises:
// records come one after the other, from a leader that reaches a majority, and each node learns them some
// time later. Leases are package lease's own. Package judge checks the agents' decisions from the outside.
//
// A Lab is deterministic: the same Setup gives the same events. It is not safe for concurrent use; several
// may run at once.
package lab
