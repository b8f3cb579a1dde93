// Package policy keeps the same policy in force at every agent of the fleet. A policy is a TOML document that
// an operator proposes. It takes effect at all agents at the same time, once every agent that may act has
// accepted it; otherwise it takes effect at none.
//
// # Protocol
//
// A change is a record in the agreed log with a time D at which it takes effect. An agent that applies the
// record checks the document against its own settings (Agent) and sends its answer to every voter, with its
// lease requests and in separate messages. An accepting answer is a promise: from D on, by its own clock, the
// agent does not act on the previous version unless it knows that the change was abandoned or postponed. It
// acts on the new version once it knows that the change was activated and D has passed. In between it acts
// within the floor, which every version allows.
//
// # Safety: no agent acts on the older version after another has acted on the newer
//
// No agent acts on version n before its activation is committed. The leader proposes the activation only once
// every process that may act has promised:
//
//   - A voter that has applied the change grants leases only to agents that have promised (Voter). So after
//     the fence (lease.Terms.FencePassed since the change was committed) every lease holder has promised, and
//     no report is needed from a voter that was killed or from an agent that is down.
//   - Before the fence, each voter that may have granted leases has to report that all its lease holders have
//     promised or that their leases have expired. If the set of voters has just changed, reports do not count
//     and the activation waits for the fence (Proposer).
//
// An agent that has promised stops acting on the older version at D by its own clock, and no agent acts on
// the newer one before D by its own clock. So both versions are in use together for at most twice the maximum
// clock error. Activation and abandonment are records of the same log: the first of them counts, at every
// agent. An agent that rejects a change gets no lease until the change is closed, so its rejection cannot be
// lost with the voter that received it.
//
// # Floor
//
// An agent without a lease acts within the floor of the newest version that it knows to be in force. A
// document must allow at least its own floor and that of the previous version. A replaced floor counts until
// no agent can act within it any more (State.FormerFloor). An agent that is cut off acts within a floor for
// Times.FloorValidity after its last lease, and after that within the lowest floor ("bottom"), which no
// document can forbid.
//
// # Concurrency and determinism
//
// The package does no input or output and reads no clock; every clock reading is an argument. Its types are
// not safe for concurrent use: the goroutine that runs the fleet node owns them. StateMachine depends on the
// records alone, so all agents reach the same state. docs/design/fleet-policy.md describes the design.
package policy
