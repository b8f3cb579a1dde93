// Package maintenance has maintenance windows: the traffic of tenants is moved off servers for a while, only
// in the hours that the tenants' contracts allow.
//
// A window is planned once, by the agent that is asked for it (Plan), and accepted as a record of the agreed
// log (StateMachine). Everything in it is an absolute time, so that no agent needs a calendar, or a message
// from anybody, to end it. Each agent works out by its own clock which keys of which tenants keep off which
// servers (Agent). The leader confirms, pauses, resumes and ends windows (Proposer), by what it knows of
// leases and by the reports that agents send to the voters.
//
// # Course of a window
//
// A window is planned, and confirmed by the leader. From From on its servers are draining: the fraction of
// the keys that is moved grows in equal steps, until all keys are moved at DrainedAt. Once no request can
// arrive there any more, the leader declares the servers free. From ReturnFrom to To the keys come back, in
// as many steps. On a fault the leader pauses the window, which keeps the moved fraction as it is, and
// returns it early where the fault lasts.
//
// # Concurrency and determinism
//
// The package does no input or output and reads no clock. Its types are not safe for concurrent use: the
// goroutine that runs the fleet's node owns them. StateMachine depends on the records alone, and on which
// policy is in force by them, so all agents reach the same state. docs/design/fleet-windows.md and
// docs/design/windows-plan.md have the design.
package maintenance
