package agent

import (
	"context"
	"net/netip"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
)

// fleetSources are where the agent reads what its fleet has agreed on, and what it has applied of that. It is
// of the agent's actor.
type fleetSources struct {
	policy            func() *policy.Effect // nil: there is none
	appliedPolicy     *policy.Effect
	exclusions        func() *balancer.Exclusions // the same
	appliedExclusions *balancer.Exclusions
	ring              func() *balancer.RingAssignment // the same
	appliedRing       *balancer.RingAssignment
}

// applyFleetState has the router go by what is agreed at this moment. It comes before the router is told of
// anything, so that a lease that has run out, as while the process was paused, is seen before the next
// decision.
func (a *Agent) applyFleetState() {
	f := &a.fleet
	if f.policy != nil {
		if e := f.policy(); e != f.appliedPolicy {
			f.appliedPolicy = e
			a.router.SetFleetPolicy(e)
		}
	}
	if f.exclusions != nil {
		if x := f.exclusions(); x != f.appliedExclusions {
			f.appliedExclusions = x
			a.router.SetExclusions(x)
		}
	}
	if f.ring != nil {
		if r := f.ring(); r != f.appliedRing {
			f.appliedRing = r
			a.router.SetRingAssignment(r)
		}
	}
}

// ask puts a message that has a place for its reply, and waits for the reply; false where ctx ends before.
func ask[T any](
	ctx context.Context,
	mail *mailbox[any],
	message func(reply chan<- T) any,
) (value T, ok bool) {
	reply := make(chan T, 1)
	mail.put(message(reply))
	select {
	case value = <-reply:
		return value, true
	case <-ctx.Done():
		return value, false
	}
}

// ReceiveDatagram takes another agent's datagram, or drops it where too many messages wait.
func (a *Agent) ReceiveDatagram(d protocol.Datagram) {
	if a.mail.waiting() < maxDatagramsWaiting {
		a.mail.put(d)
	}
}

// SetDiscovery has the endpoint list watched at another address from now on.
func (a *Agent) SetDiscovery(addr netip.AddrPort) { a.list.mail.put(discoveryMoved{addr}) }

// SetOverload changes the configuration of overload control.
func (a *Agent) SetOverload(c overload.Config) { a.mail.put(overloadChanged{c}) }

// SetFleetPolicy has the agent go by an agreed policy, from the next message on; nil: by its settings alone.
// The effect is not to be changed any more. It holds until the next call, also over SetOverload.
func (a *Agent) SetFleetPolicy(effect *policy.Effect) { a.mail.put(fleetPolicyChanged{effect}) }

// SetFleetSize tells balancer and overload control how many agents are present; see balancer.FleetSize and
// overload.Controller.
func (a *Agent) SetFleetSize(forBalancer balancer.FleetSize, forOverload int) {
	a.mail.put(fleetSizeChanged{forBalancer, forOverload})
}

// TenantStats returns how the tenants' requests have fared since the start: first those of none, then in the
// order of the settings; and whether load is being shed. Nil where ctx ends before.
func (a *Agent) TenantStats(ctx context.Context) (stats []balancer.TenantStats, shedding bool) {
	r, _ := ask(ctx, a.mail, func(reply chan<- tenantStatsReply) any { return tenantStatsQuery{reply} })
	return r.stats, r.shedding
}

// BaselineLatencies returns the latencies of the machine kinds; nil where ctx ends before.
func (a *Agent) BaselineLatencies(ctx context.Context) []balancer.BaselineLatency {
	all, _ := ask(ctx, a.mail, func(reply chan<- []balancer.BaselineLatency) any { return baselineQuery{reply} })
	return all
}

// Snapshot returns the state to store over a restart; false where ctx ends before.
func (a *Agent) Snapshot(ctx context.Context) (state.Content, bool) {
	s, ok := ask(ctx, a.mail, func(reply chan<- state.Snapshot) any { return snapshotQuery{reply} })
	if !ok {
		return state.Content{}, false
	}
	return s.Content(), true
}

// FailAll fails every request that has no response: the process is about to end.
func (a *Agent) FailAll() { a.mail.put(failAll{}) }

// ReleaseIdle closes idle connections to endpoints.
func (a *Agent) ReleaseIdle() { a.mail.put(releaseIdle{}) }

// DisableEndpoint takes an endpoint out of use. Listed is false where no list ever had the id; disabled are
// all that are out of use then, or were lately.
func (a *Agent) DisableEndpoint(
	ctx context.Context,
	id string,
) (disabled []routing.DisabledEndpoint, listed bool,
	err error,
) {
	return a.setDisabled(ctx, setDisabled{id: id})
}

// EnableEndpoint puts an endpoint back into use; see DisableEndpoint.
func (a *Agent) EnableEndpoint(
	ctx context.Context,
	id string,
) (disabled []routing.DisabledEndpoint, listed bool,
	err error,
) {
	return a.setDisabled(ctx, setDisabled{id: id, enable: true})
}

func (a *Agent) setDisabled(ctx context.Context, m setDisabled) ([]routing.DisabledEndpoint, bool, error) {
	r, ok := ask(ctx, a.list.mail, func(reply chan<- disableResult) any {
		m.reply = reply
		return m
	})
	if !ok {
		return nil, false, ctx.Err()
	}
	return r.disabled, r.listed, r.err
}

// WasListed tells whether a list ever had an endpoint; false where that is not known before ctx ends.
func (a *Agent) WasListed(ctx context.Context, id string) bool {
	listed, _ := ask(ctx, a.list.mail, func(reply chan<- bool) any { return listedQuery{id, reply} })
	return listed
}

// Endpoints returns those of this agent's own list, those that are disabled as draining; false where ctx ends
// before.
func (a *Agent) Endpoints(ctx context.Context) ([]balancer.Server, bool) {
	return ask(ctx, a.list.mail, func(reply chan<- []balancer.Server) any { return endpointsQuery{reply} })
}

// MergeDisabled applies what another process of this agent, or the fleet, was told, where that is newer.
func (a *Agent) MergeDisabled(disabled []routing.DisabledEndpoint) {
	a.list.mail.put(mergeDisabled{disabled})
}
