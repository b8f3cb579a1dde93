package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// ListUpdated takes news of the booking servers in, brings their actors in line and tells the module. Where the
// kind is balancer.UpdateFailed or nothing has changed, the config is empty.
func (r *Router) ListUpdated(now time.Duration, kind balancer.UpdateKind, config protocol.EndpointList,
	word balancer.WatchStatus,
) []Output {
	r.out = r.out[:0]
	listed := make(map[string]bool, len(config.Endpoints))
	servers := make([]balancer.Server, 0, len(config.Endpoints))
	for _, s := range config.Endpoints {
		listed[s.ID] = true
		servers = append(servers, s.Server)
		r.updateEndpoint(s)
	}
	if kind == balancer.UpdateFull || kind == balancer.UpdateCached {
		for _, id := range sorted(r.endpoints) {
			if !listed[id] && r.endpoints[id].state != balancer.Gone {
				r.updateEndpoint(protocol.Endpoint{Server: balancer.Server{ID: id, State: balancer.Gone}})
			}
		}
	}
	r.decide(now, &balancer.ServerListUpdate{Kind: kind, Servers: servers, Watch: word})
	return r.out
}

// place keeps one server's actor in line. One that has left is kept where the module may still send to it.
func (r *Router) updateEndpoint(s protocol.Endpoint) {
	known := r.endpoints[s.ID]
	switch {
	case s.State == balancer.Gone && known == nil:
		return
	case s.State == balancer.Gone && !(r.sendsToRemoved && known.open):
		delete(r.endpoints, s.ID)
		if known.open {
			r.emit(Output{Kind: RemoveEndpoint, Endpoint: s.ID})
		}
		return
	case known == nil:
		known = &endpointState{}
		r.endpoints[s.ID] = known
	}
	known.state = s.State
	switch {
	case s.State == balancer.Gone || !s.Addr.IsValid(): // it only drains, or has left: the address stays
	case known.open:
		r.emit(Output{Kind: SetEndpointAddress, Endpoint: s.ID, Addr: s.Addr})
	default:
		known.open = true
		r.emit(Output{Kind: OpenEndpoint, Endpoint: s.ID, Addr: s.Addr})
	}
	if known.open && s.State == balancer.Draining { // nothing new goes there
		r.emit(Output{Kind: DrainEndpoint, Endpoint: s.ID})
	}
}

// HasReadyEndpoint tells whether a booking server is known that takes operations.
func (r *Router) HasReadyEndpoint() bool {
	for _, s := range r.endpoints {
		if s.state == balancer.Ready {
			return true
		}
	}
	return false
}

// sorted returns a map's keys in order, so that the order of what is done does not depend on the map's.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
