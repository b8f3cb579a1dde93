package routing

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// endpointState is the state of an endpoint that requests are or may be sent to, from the list.
type endpointState struct {
	state     balancer.ServerState
	addr      netip.AddrPort // invalid: attempts are not possible
	startedAt time.Duration  // of its process, which it identifies: an address may get another one
	hasActor  bool           // OpenEndpoint was emitted: an attempt was started
}

// open reports whether attempts at the endpoint are possible.
func (e *endpointState) open() bool { return e.addr.IsValid() }

// ListUpdated handles an update of the endpoint list: it changes and ends the endpoints' actors to match, and
// reports the update to the decision module. If the kind is balancer.UpdateFailed or nothing has
// changed, the list is empty.
func (r *Router) ListUpdated(now time.Duration, kind balancer.UpdateKind, list protocol.EndpointList,
	watch balancer.WatchStatus,
) []Output {
	r.out = r.out[:0]
	listed := make(map[string]bool, len(list.Endpoints))
	servers := make([]balancer.Server, 0, len(list.Endpoints))
	for _, e := range list.Endpoints {
		listed[e.ID] = true
		servers = append(servers, e.Server)
		r.updateEndpoint(e)
	}
	if kind == balancer.UpdateFull || kind == balancer.UpdateCached {
		for _, id := range sorted(r.endpoints) {
			if !listed[id] && r.endpoints[id].state != balancer.Gone {
				r.updateEndpoint(protocol.Endpoint{Server: balancer.Server{ID: id, State: balancer.Gone}})
			}
		}
	}
	r.startTimes.Convert(now, kind, watch, servers)
	r.decide(now, &balancer.ServerListUpdate{Kind: kind, Servers: servers, Watch: watch})
	return r.out
}

// updateEndpoint changes or ends one endpoint's actor to match its list entry. An endpoint that is gone keeps
// its actor if the decision module may still use it. Actors are started by the first attempt: an agent uses
// few of thousands of endpoints.
func (r *Router) updateEndpoint(e protocol.Endpoint) {
	known := r.endpoints[e.ID]
	if e.State == balancer.Gone {
		r.startTimes.Forget(e.ID)
	}
	switch {
	case e.State == balancer.Gone && known == nil:
		return
	case e.State == balancer.Gone && (!r.goneUsable || !known.open()):
		delete(r.endpoints, e.ID)
		if known.hasActor {
			delete(r.endpointsInUse, e.ID)
			r.emit(Output{Kind: RemoveEndpoint, Endpoint: e.ID})
		}
		return
	case known == nil:
		known = &endpointState{startedAt: e.StartedAt}
		r.endpoints[e.ID] = known
	}
	known.state = e.State
	if e.State != balancer.Gone && e.Addr.IsValid() { // else only the state has changed; the address stays
		known.addr = e.Addr
		if known.hasActor {
			r.emit(Output{Kind: SetEndpointAddress, Endpoint: e.ID, Addr: e.Addr})
		}
		if known.hasActor && e.StartedAt != known.startedAt {
			r.emit(Output{Kind: ReplaceEndpoint, Endpoint: e.ID})
		}
		known.startedAt = e.StartedAt
	}
	r.drainIfDraining(e.ID, known)
}

// drainIfDraining makes the actor of a draining endpoint, which gets no new requests, close its connections.
func (r *Router) drainIfDraining(id string, e *endpointState) {
	if e.hasActor && e.state == balancer.Draining {
		r.emit(Output{Kind: DrainEndpoint, Endpoint: id})
	}
}

// useEndpoint starts the endpoint's actor before the first attempt there.
func (r *Router) useEndpoint(id string) {
	e := r.endpoints[id]
	if e.hasActor {
		return
	}
	e.hasActor = true
	r.endpointsInUse[id] = struct{}{}
	r.emit(Output{Kind: OpenEndpoint, Endpoint: id, Addr: e.addr})
	r.drainIfDraining(id, e)
}

// HasReadyEndpoint reports whether at least one endpoint is ready.
func (r *Router) HasReadyEndpoint() bool {
	for _, e := range r.endpoints {
		if e.state == balancer.Ready {
			return true
		}
	}
	return false
}

// sorted returns a map's keys in order, so that the order of outputs is deterministic.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
