// Package quota estimates whether a request is likely beyond its tenant's quota, at one of several agents
// that each receive a fraction of the traffic.
//
// A quota applies to the whole service. An agent's fraction of it is its fraction of all arrivals. The agents
// find the mean arrivals per agent by gossip: each agent moves its mean halfway to every mean that it
// receives. No message can enlarge a quota permanently, because received means decay with each round.
//
// The package does no I/O and has no clock: the caller passes the current time. The same calls give the same
// results, bit for bit. A Tracker is not safe for concurrent use.
package quota
