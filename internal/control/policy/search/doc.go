// Package search model-checks one change of policy in a small world: two voters or three, any of which may
// lead at any moment, two agents, and time that passes in whole seconds. In each state every step is tried
// that is possible there: a record is learnt, a lease requested and granted, an answer received, a report or
// a decision proposed, agreed or lost, a process ended and started anew. A step that is not taken stands for
// what is lost or late, and an agent that takes none for one that is paused. The parts are those of package
// policy itself; leases are reduced to the rules by which package lease grants and counts them.
//
// What a part does is worked out once for each key and cached by each worker: a part is identified by its
// fingerprint and what it has learnt. States are distinguished by hashes. Workers are goroutines that Run
// starts and waits for.
package search
