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

// fleetSources has the functions that return what the fleet has agreed on, and the last results that were
// applied. It is accessed only by the agent's actor.
type fleetSources struct {
	policy            func() *policy.Effect // nil: there is none
	appliedPolicy     *policy.Effect
	exclusions        func() *balancer.Exclusions // nil: there are none
	appliedExclusions *balancer.Exclusions
	ring              func() *balancer.RingAssignment // nil: there is none
	appliedRing       *balancer.RingAssignment
}

// applyFleetState updates the router with the agreed state of this moment. It is called before each input
// of the router, so that a lease that has expired, for example while the process was paused, takes effect
// before the next decision.
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

// ask puts a message with a reply channel and returns the reply. ok is false if ctx ends first.
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

// ReceiveDatagram handles another agent's datagram, or drops it if too many messages are waiting.
func (a *Agent) ReceiveDatagram(d protocol.Datagram) {
	if a.mail.waiting() < maxDatagramsWaiting {
		a.mail.put(d)
	}
}

// SetDiscovery changes discovery's address, where the endpoint list is watched.
func (a *Agent) SetDiscovery(addr netip.AddrPort) { a.list.mail.put(discoveryAddrChanged{addr}) }

// SetOverload changes the configuration of overload control.
func (a *Agent) SetOverload(c overload.Config) { a.mail.put(overloadChanged{c}) }

// SetFleetPolicy makes the agent apply an agreed policy from the next message on; nil: only its
// settings. The caller must not modify the effect afterwards. It stays in force until the next call,
// even after SetOverload.
func (a *Agent) SetFleetPolicy(effect *policy.Effect) { a.mail.put(fleetPolicyChanged{effect}) }

// SetFleetSize sets the number of agents for the balancer and for overload control; see balancer.FleetSize
// and overload.Controller.
func (a *Agent) SetFleetSize(forBalancer balancer.FleetSize, forOverload int) {
	a.mail.put(fleetSizeChanged{forBalancer, forOverload})
}

// TenantStats returns the statistics of the tenants' requests since the start, and whether load is being
// shed. The first entry is for requests without a tenant, the others are in the order of the settings. It
// returns nil if ctx ends first.
func (a *Agent) TenantStats(ctx context.Context) (stats []balancer.TenantStats, shedding bool) {
	r, _ := ask(ctx, a.mail, func(reply chan<- tenantStatsReply) any { return tenantStatsQuery{reply} })
	return r.stats, r.shedding
}

// BaselineLatencies returns the baseline latencies of the machine kinds; nil if ctx ends first.
func (a *Agent) BaselineLatencies(ctx context.Context) []balancer.BaselineLatency {
	all, _ := ask(ctx, a.mail, func(reply chan<- []balancer.BaselineLatency) any { return baselineQuery{reply} })
	return all
}

// Snapshot returns the state to store across a restart; false if ctx ends first.
func (a *Agent) Snapshot(ctx context.Context) (state.Content, bool) {
	s, ok := ask(ctx, a.mail, func(reply chan<- state.Snapshot) any { return snapshotQuery{reply} })
	if !ok {
		return state.Content{}, false
	}
	return s.Content(), true
}

// FailAll fails every request without a response and makes the agent reject later ones: the
// process is about to end.
func (a *Agent) FailAll() { a.mail.put(failAll{}) }

// EndResponses ends the responses that are being forwarded: the process ends now.
func (a *Agent) EndResponses() { a.mail.put(endResponses{}) }

// ReleaseIdle closes idle connections to endpoints.
func (a *Agent) ReleaseIdle() { a.mail.put(releaseIdle{}) }

// DisableEndpoint disables an endpoint. listed is false if no list has had the id. disabled are all
// endpoints that are disabled then, and those enabled again whose restart discovery has not reported yet.
// The error is routing.ErrTooManyDisabled or ctx's.
func (a *Agent) DisableEndpoint(
	ctx context.Context,
	id string,
) (disabled []routing.DisabledEndpoint, listed bool,
	err error,
) {
	return a.setDisabled(ctx, setDisabled{id: id})
}

// EnableEndpoint enables a disabled endpoint again; the results are those of DisableEndpoint.
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

// WasListed reports whether an endpoint with that id is or was listed; false if ctx ends first.
func (a *Agent) WasListed(ctx context.Context, id string) bool {
	listed, _ := ask(ctx, a.list.mail, func(reply chan<- bool) any { return listedQuery{id, reply} })
	return listed
}

// Endpoints returns the endpoints of this agent's own list, with the disabled ones draining;
// false if ctx ends first.
func (a *Agent) Endpoints(ctx context.Context) ([]balancer.Server, bool) {
	return ask(ctx, a.list.mail, func(reply chan<- []balancer.Server) any { return endpointsQuery{reply} })
}

// MergeDisabled applies the entries of another process of this agent, or of the fleet, that
// are newer than its own.
func (a *Agent) MergeDisabled(disabled []routing.DisabledEndpoint) {
	a.list.mail.put(mergeDisabled{disabled})
}
