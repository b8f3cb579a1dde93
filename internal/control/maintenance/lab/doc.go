// Package lab simulates weeks with maintenance windows in virtual time, with fault injection: agents that
// are cut off before, during and across the end of a window, paused or restarted, leaders that stop at any
// record of a window, contracts that change during a window, nights with a change to or from summer time,
// failing servers, overload, and operators who stop windows. The agreed log, leases and the policy are
// simulated by the lab of package policy; the production code of package maintenancelog runs beside them.
// Time without events is skipped: all nodes are paused then, and learn the new time from their own clocks.
// Package judge checks the agents' requests.
//
// A Lab is deterministic: the same Setup gives the same week. It is not safe for concurrent use; different
// Labs may run concurrently.
package lab
