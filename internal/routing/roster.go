package routing

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// SavedList is the list as it was last had, for whoever keeps it over a restart, and what came of it since.
type SavedList struct {
	version   int64
	servers   map[string]protocol.Endpoint
	sorted    []protocol.Endpoint // the same, by id; nil: not put in order since they changed
	confirmed time.Duration       // by discovery, on the clock; zero: not that anyone knows
	told      bool                // since the start
	live      bool                // discovery would say so, were it not so any more
}

// NewSavedList begins with the list that an agent starts from, and when discovery last said that this is it, on
// the clock; zero: nobody knows.
func NewSavedList(saved protocol.EndpointList, confirmed time.Duration) *SavedList {
	r := &SavedList{servers: map[string]protocol.Endpoint{}, confirmed: confirmed}
	r.Update(0, balancer.UpdateCached, saved, false)
	return r
}

// Update takes news of the list in. Confirms: by them discovery has said what the list is, and it will say what
// changes. It returns those servers that turn out to be others than the list of the start had under their
// names, by address or start: what was learned before the start is not of them.
func (r *SavedList) Update(now time.Duration, kind balancer.UpdateKind, config protocol.EndpointList,
	confirms bool,
) (replaced []string) {
	if confirms || r.live {
		r.confirmed = now
	}
	r.live = confirms || r.live && kind != balancer.UpdateFailed
	if kind == balancer.UpdateFailed {
		return nil
	}
	old := r.servers
	if kind != balancer.UpdateIncremental {
		r.servers = make(map[string]protocol.Endpoint, len(config.Endpoints))
	}
	if config.Full {
		r.version = config.Version
	}
	r.version = max(r.version, config.Version)
	if len(config.Endpoints) > 0 || kind != balancer.UpdateIncremental {
		r.sorted = nil
	}
	for _, s := range config.Endpoints {
		before, known := old[s.ID]
		if known && !r.told && (before.StartedAt != s.StartedAt || s.Addr.IsValid() && before.Addr != s.Addr) {
			replaced = append(replaced, s.ID)
		}
		if s.State == balancer.Gone {
			delete(r.servers, s.ID)
			continue
		}
		if !s.Addr.IsValid() {
			s.Addr = before.Addr
		}
		r.servers[s.ID] = s
	}
	r.told = r.told || confirms
	return replaced
}

// DiscoveryList tells whether discovery has said what the list is since the start.
func (r *SavedList) WasConfirmed() bool { return r.told }

// ConfirmedAt is when discovery last said what the list is, on the clock; zero: nobody knows.
func (r *SavedList) ConfirmedAt(now time.Duration) time.Duration {
	if r.live {
		return now
	}
	return r.confirmed
}

// Version is the version of the list as it is known.
func (r *SavedList) Version() int64 { return r.version }

// List returns the whole list as it is known, by id. It is not to be changed.
func (r *SavedList) List() protocol.EndpointList {
	if r.sorted == nil {
		r.sorted = make([]protocol.Endpoint, 0, len(r.servers))
		for _, id := range sorted(r.servers) {
			r.sorted = append(r.sorted, r.servers[id])
		}
	}
	return protocol.EndpointList{Version: r.version, Full: true, Endpoints: r.sorted}
}
