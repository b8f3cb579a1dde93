// Package lab plays weeks with maintenance windows in virtual time, with all that can go wrong: agents that
// are cut off before, in the middle and across the end of the hours, paused or restarted, leaders that end at
// each record of a window, contracts that change in the middle, nights on which clocks change, servers that
// fail, overload, operators who stop windows. The agreed log, leases and the policy are those of the policy's
// lab; package maintenancelog runs beside them as it is shipped. Time in which nothing happens is skipped:
// all nodes are paused then, and find out by their own clocks where they are. Package judge checks the
// agents' requests from the outside.
//
// A Lab is deterministic: the same Setup gives the same week. It is not safe for concurrent use; several may
// run at once.
package lab
