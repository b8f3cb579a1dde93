// Package simnet simulates networks of agents in virtual time, with fault injection. It is for tests and
// searches of code that does no I/O itself.
//
//   - Cluster runs processes of agents: anything with the four methods of Process. Each direction between two
//     agents has a Link of its own; processes can be paused, killed and restarted. It has one clock, from
//     which each agent's may differ.
//   - Network carries messages between plain nodes with timers; all directions have the same Faults. Nodes
//     can be paused. Each has two clocks, whose offset and rate can be set.
//
// Both use an event queue and a random source of their own: the same seed and calls give the same run, on any
// machine. They start no goroutines, and are not safe for concurrent use.
package simnet
