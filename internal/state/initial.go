package state

import (
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// Initial is what an agent starts from.
type Initial struct {
	// List is the file's or the configuration's, whichever has the higher version.
	List       protocol.EndpointList
	IsFromFile bool
	// ConfirmedAt is when discovery last confirmed this list, or one before it, in Unix time; zero: not known.
	ConfirmedAt time.Duration
	// ListAge is how long ago that was; negative: not known, or the clock was set back.
	ListAge time.Duration
	// Balancer, Overload and IdleConnections are what was learned until Age before now; nil: nothing.
	Balancer        *balancer.Snapshot
	Overload        *overload.Snapshot
	IdleConnections *routing.IdleSnapshot
	Age             time.Duration
}

// NewInitial returns what an agent starts from: the list that its configuration has, and its file, which may
// be nil. What the file has of a server holds only if that has the same start and address in the list. The
// error says why the file's list can't be used; then the Initial has the configured list alone.
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
		// A configured list that is newer than the stored one was made after that was confirmed: it is no older.
		if f.List.ConfirmedMS > 0 {
			initial.ConfirmedAt = time.Duration(f.List.ConfirmedMS) * time.Millisecond
			initial.ListAge = now.Sub(time.UnixMilli(f.List.ConfirmedMS))
		}
	}
	initial.Balancer = keepSameServers(f.Balancer, stored, initial.List)
	initial.Overload, initial.IdleConnections, initial.Age = f.Overload, f.IdleConnections, f.Age(now)
	return initial, nil
}

// incarnation is what tells one process of a server from the next.
type incarnation struct {
	addr      netip.AddrPort
	startedAt time.Duration
}

// incarnations are those of a list's servers, by id.
func incarnations(list protocol.EndpointList) map[string]incarnation {
	byID := map[string]incarnation{}
	for _, e := range list.Endpoints {
		byID[e.ID] = incarnation{e.Addr, e.StartedAt}
	}
	return byID
}

// keepSameServers returns a snapshot without the servers that are not the same incarnation in both lists.
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
