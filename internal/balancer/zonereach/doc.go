// Package zonereach detects zones that one agent cannot reach while it reaches others, because the network
// between them is cut or the whole zone is down.
//
// The state of single servers is not enough for that: one of many agents that each send little sends to a
// server only once in several seconds. It would detect an unreachable zone server by server, each time at
// the cost of a request that waits for a connection. This package counts the ends of attempts by zone. A
// zone is unreachable if a few different servers in a row did not respond, nothing has been received from
// the zone since, and another zone responds. It is then probed at intervals, and any response makes it
// reachable again.
//
// The package does no I/O and has no clock: the caller passes the current time. The same calls give the same
// results. A Tracker is not safe for concurrent use.
package zonereach
