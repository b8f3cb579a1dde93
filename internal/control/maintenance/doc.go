// Package maintenance implements maintenance windows: a window moves the traffic of tenants off servers for a
// limited time, only during the hours that the tenants' contracts allow.
//
// The agent that receives an operator's request plans the window once (Plan); the window is accepted as a
// record of the agreed log (StateMachine). All its times are absolute, so that an agent can end it without a
// calendar and without a message from any other agent. Each agent computes from its own clock which keys of
// which tenants are kept off which servers (Agent). The leader confirms, pauses, resumes and ends windows
// (Proposer), based on the leases that were granted and on the reports that agents send to the voters.
//
// # Lifecycle of a window
//
// After a window is planned, the leader confirms it. At From its servers start to drain: the fraction of the
// keys that is moved grows in equal steps until all keys are moved at DrainedAt. Once no more requests can
// arrive at the servers, the leader declares them free. From ReturnFrom to To the keys return in the same
// number of steps. On a fault the leader pauses the window, which freezes the moved fraction; if the fault
// persists, it returns the keys early.
//
// # Concurrency and determinism
//
// The package does no I/O and reads no clock. Its types are not safe for concurrent use: the goroutine that
// runs the fleet's node owns them. StateMachine depends only on the records, and on the policy version that
// they put in force, so all agents reach the same state. The design is described in
// docs/design/fleet-windows.md and docs/design/windows-plan.md.
package maintenance
