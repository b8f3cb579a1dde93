package core

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"dunestep/decide"
	"dunestep/internal/protocol"
)

// PoolNews takes news of the booking servers in, brings their actors in line and tells the module. Where the
// kind is decide.SyncFailed or nothing has changed, the config is empty.
func (r *Router) PoolNews(now time.Duration, kind decide.SyncKind, config protocol.PoolConfig,
	word decide.Word,
) []Output {
	r.out = r.out[:0]
	listed := make(map[string]bool, len(config.Servers))
	servers := make([]decide.Server, 0, len(config.Servers))
	for _, s := range config.Servers {
		listed[s.ID] = true
		servers = append(servers, s.Server)
		r.place(s)
	}
	if kind == decide.SyncFull || kind == decide.SyncSaved {
		for _, id := range sorted(r.servers) {
			if !listed[id] && r.servers[id].state != decide.Gone {
				r.place(protocol.PoolServer{Server: decide.Server{ID: id, State: decide.Gone}})
			}
		}
	}
	r.step(now, &decide.Membership{Kind: kind, Servers: servers, Word: word})
	return r.out
}

// place keeps one server's actor in line. One that has left is kept where the module may still send to it.
func (r *Router) place(s protocol.PoolServer) {
	known := r.servers[s.ID]
	switch {
	case s.State == decide.Gone && known == nil:
		return
	case s.State == decide.Gone && !(r.stays && known.open):
		delete(r.servers, s.ID)
		if known.open {
			r.put(Output{Kind: RetireServer, Server: s.ID})
		}
		return
	case known == nil:
		known = &standing{}
		r.servers[s.ID] = known
	}
	known.state = s.State
	switch {
	case s.State == decide.Gone || !s.Addr.IsValid(): // it only drains, or has left: the address stays
	case known.open:
		r.put(Output{Kind: MoveServer, Server: s.ID, Addr: s.Addr})
	default:
		known.open = true
		r.put(Output{Kind: OpenServer, Server: s.ID, Addr: s.Addr})
	}
	if known.open && s.State == decide.Draining { // nothing new goes there
		r.put(Output{Kind: RestServer, Server: s.ID})
	}
}

// Ready tells whether a booking server is known that takes operations.
func (r *Router) Ready() bool {
	for _, s := range r.servers {
		if s.state == decide.Ready {
			return true
		}
	}
	return false
}

// sorted returns a map's keys in order, so that the order of what is done does not depend on the map's.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
