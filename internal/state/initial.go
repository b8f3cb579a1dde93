package state

import (
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// Initial is the endpoint list and the learned statistics that an agent starts with.
type Initial struct {
	// List is the stored or the configured endpoint list, whichever has the higher version.
	List       protocol.EndpointList
	IsFromFile bool
	// ConfirmedAt is when discovery last confirmed this list or an earlier one, in Unix time; zero: unknown.
	ConfirmedAt time.Duration
	// ListAge is the time since ConfirmedAt; negative: unknown, or the clock was set back.
	ListAge time.Duration
	// Balancer, Overload and IdleConnections are the stored statistics, Age old; nil: none are stored.
	Balancer        *balancer.Snapshot
	Overload        *overload.Snapshot
	IdleConnections *routing.IdleSnapshot
	Age             time.Duration
}

// NewInitial combines the configured endpoint list with the stored file, which may be nil. Statistics of a
// server are kept only if the server has the same start time and address in the resulting list. If the stored
// list is invalid, the error says why and the Initial contains only the configured list.
func NewInitial(configured protocol.EndpointList, f *File, now time.Time) (Initial, error) {
	initial := Initial{List: configured, ListAge: -1}
	if f == nil {
		return initial, nil
	}
	var stored protocol.EndpointList
	if f.List != nil {
		var err error
		if stored, err = f.List.EndpointList(); err != nil {
			return initial, err
		}
		if stored.Version > configured.Version {
			initial.List, initial.IsFromFile = stored, true
		}
		// A configured list newer than the stored one was created after that confirmation, so it is no older.
		if f.List.ConfirmedMS > 0 {
			initial.ConfirmedAt = time.Duration(f.List.ConfirmedMS) * time.Millisecond
			initial.ListAge = now.Sub(time.UnixMilli(f.List.ConfirmedMS))
		}
	}
	initial.Balancer = keepSameServers(f.Balancer, stored, initial.List)
	initial.Overload, initial.IdleConnections, initial.Age = f.Overload, f.IdleConnections, f.Age(now)
	return initial, nil
}

// incarnation distinguishes one process of a server from the next.
type incarnation struct {
	addr      netip.AddrPort
	startedAt time.Duration
}

// incarnations returns the incarnations of a list's servers by server id.
func incarnations(list protocol.EndpointList) map[string]incarnation {
	byID := map[string]incarnation{}
	for _, e := range list.Endpoints {
		byID[e.ID] = incarnation{e.Addr, e.StartedAt}
	}
	return byID
}

// keepSameServers returns a copy of the snapshot with only the servers that have the same incarnation in both
// lists; nil if there is no snapshot.
func keepSameServers(learned *balancer.Snapshot, stored, current protocol.EndpointList) *balancer.Snapshot {
	if learned == nil {
		return nil
	}
	before, now := incarnations(stored), incarnations(current)
	same := *learned
	same.Servers = nil
	for _, s := range learned.Servers {
		if i, listed := before[s.ID]; listed && i == now[s.ID] && i.startedAt == s.StartedAt {
			same.Servers = append(same.Servers, s)
		}
	}
	return &same
}
