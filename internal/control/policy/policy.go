// Package policy has one policy be in force in the whole fleet, or none: a document that is proposed, that
// every agent which acts says yes to, and that takes hold at one time, or nowhere.
//
// # What an agent does
//
// A change is a record of the agreed log, with a time D at which it is to take hold. An agent that applies it
// checks the document against its own settings, and tells each voter its answer with a request for a lease
// (Agent). A yes is a promise: from D on, by its own clock, it does not act on the version before unless it
// knows that the change was abandoned or put off. It acts on the new one once it knows that it was activated
// and D has come. In between, from D on, it acts within the floor: what every version allows.
//
// # RejectionCause none acts under the older version after one has acted under the newer
//
// Nobody acts under version n before its Activated is committed. That is proposed only once nobody that may
// act has not promised:
//
//   - A voter that has applied the change grants leases only to agents that have promised (Voter). So after
//     the fence (lease.Terms.Passed since the change was committed) all that hold a lease have promised, and
//     no report is needed: not of a voter that was killed, nor of an agent that is down.
//   - Before the fence, each voter that may have granted leases reports that all its holders have promised,
//     or that their leases are over. Where the set of voters has just changed, only the fence counts
//     (Proposer).
//
// One that has promised stops acting on the older version at D by its own clock, and none acts on the newer
// before D by its own: between the two there is twice the clocks' error at most. Activated and Abandoned are
// both records of one log: the first of them counts, at every agent. An agent that says no gets no lease
// before the change is closed, so its no cannot be lost with the voter that it told.
//
// # The floor
//
// An agent without a lease acts within the floor of the newest version that it knows to be in force. A
// document may allow no less than its own floor and that of the version before; a floor that was replaced
// counts until nobody can go by it (settled): a cut-off agent goes by a floor for Times.FloorValidity after its last
// lease, and by the bottom then, which no document can forbid.
//
// It does no input or output, and knows no clock. Types are not safe for concurrent use. The design is told
// in docs/design/fleet-policy.md.
package policy

import (
	"math"
	"time"

	"dunestep/internal/fleet/lease"
)

// Times are the same at all agents of a fleet.
type Times struct {
	Terms lease.Terms
	// ActivationLead is how long before it takes hold an activation is to be committed, so that agents know of it; 400
	// ms.
	ActivationLead time.Duration
	// FloorValidity is for how long after its last lease an agent goes by the floor that it knows; 15 min.
	FloorValidity time.Duration
}

// WithDefaults returns the times with the defaults for what is zero.
func (t Times) WithDefaults() Times {
	t.Terms = t.Terms.WithDefaults()
	if t.ActivationLead == 0 {
		t.ActivationLead = 400 * time.Millisecond
	}
	if t.FloorValidity == 0 {
		t.FloorValidity = 15 * time.Minute
	}
	return t
}

// stretched is how long one waits by its own clocks for what takes so long by another's.
func (t Times) withClockDrift(d time.Duration) time.Duration {
	return time.Duration(math.Ceil(float64(d)*(1+t.Terms.MaxDrift)/(1-t.Terms.MaxDrift))) + 1
}

// maxLeaseAge is how long after a grant its holder may still act, by the granter's clocks.
func (t Times) maxLeaseAge() time.Duration { return t.withClockDrift(t.Terms.Duration) }

// since is how long ago an earlier reading was at the least, by the clock that says less.
func minElapsed(earlier, now lease.ClockReading) time.Duration {
	return min(now.Unix-earlier.Unix, now.Mono-earlier.Mono)
}
