// Package search model-checks one window in a small world: voters, any of which may lead at any moment,
// agents, and time that passes in whole steps. In each state every step is tried that is possible there: a
// record is learnt, a lease requested and granted, the leader sees a fault or none and has what it proposes
// agreed at once, late or never, a voter is restarted. A step that is not taken stands for what is lost or
// late; an agent that takes none stands for one that is paused, and it sends a request in each state in which
// it may. The state machine, agents and proposers are those of package maintenance; leases are reduced to the
// rules by which package lease grants and counts them, and the leases that agents have at the start are all
// that these rules allow.
//
// What a part does is worked out once for each key and cached by each worker: a part is identified by its
// fingerprint and what it has learnt. States are distinguished by hashes. Voters, and agents, that have
// changed places are the same. Workers are goroutines that Run starts and waits for.
package search
