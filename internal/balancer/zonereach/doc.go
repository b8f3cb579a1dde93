// Package zonereach detects which zones one agent cannot reach while it reaches others: the network between
// them is cut, or the whole zone is down.
//
// What an agent knows of single servers comes too late there: one of many agents that each send little tries
// a server once in seconds, so that it would find an unreachable zone server by server, each at the price of
// a request that waits for a connection. Here the ends of attempts are counted by zone: where a few different
// servers in a row gave no sign of life, nothing has come from the zone since, and another zone answers, the
// zone counts as unreachable. It is tried now and then, and whatever comes from it ends that.
//
// There is no input or output here, and no clock: every call brings the time. The same calls give the same
// answers. A Tracker is not safe for concurrent use.
package zonereach
