// Package quota estimates whether a request is likely beyond its tenant's quota, at one of several agents
// that see a fraction of the traffic each.
//
// A quota is the whole service's. This agent's fraction of it is its fraction of all arrivals: the mean
// arrivals over all agents are found by gossip, where each agent moves halfway to what it receives. No
// message makes a quota larger for good: what is received decays with each round.
//
// There is no input or output here, and no clock: every call brings the time. The same calls give the same
// answers, to the last digit. A Tracker is not safe for concurrent use.
package quota
