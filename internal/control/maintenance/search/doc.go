// Package search model-checks one maintenance window in a small system: voters, any of which may lead at
// any moment, agents, and time that advances in steps of equal length. From each state it explores every
// possible step: a record is applied, a lease is requested and granted, the leader observes a fault or none
// and its proposals are agreed at once, later or never, a voter is restarted. A step that is not taken
// represents a lost or late message, and an agent that takes no step represents a paused one; each agent
// sends a request in each state in which it may. The state machine, agents and proposers are those of
// package maintenance; leases are reduced to the rules by which package lease grants and expires them. The
// search starts from all sets of leases that these rules allow.
//
// Each worker caches the results of components by key; a component is identified by its fingerprint and the
// records that it has applied. States are distinguished by hashes. States that differ only in the numbering
// of voters or of agents are the same. Workers are goroutines that Run starts and waits for.
package search
