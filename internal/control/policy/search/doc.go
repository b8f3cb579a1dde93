// Package search model-checks one policy change in a small system: two or three voters, any of which may
// lead at any moment, two agents, and time that advances in whole seconds. From each state it explores
// every possible step: a record is applied, a lease is requested and granted, an answer is received, a
// report or a decision is proposed, agreed or lost, a process is restarted. A step that is not taken
// represents a lost or late message, and an agent that takes no step represents a paused one. The
// components are those of package policy; leases are reduced to the rules by which package lease grants and
// expires them.
//
// Each worker caches the results of components by key; a component is identified by its fingerprint and the
// records that it has applied. States are distinguished by hashes. Workers are goroutines that Run starts and
// waits for.
package search
