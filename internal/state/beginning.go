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
	// StoredList is the file's or the configuration's, whichever is newer.
	List       protocol.EndpointList
	IsFromFile bool
	// ConfirmedAt is when discovery last said that this is the list, or one that came before it, in Unix time;
	// zero: nobody knows. ListAge is how long ago that was; negative: not known, or not to be believed.
	ConfirmedAt time.Duration
	ListAge     time.Duration
	// Balancer, Overload and IdleConnections are what was learned, taken so long ago; nil: nothing.
	Balancer        *balancer.Snapshot
	Overload        *overload.Snapshot
	IdleConnections *routing.IdleSnapshot
	Age             time.Duration
}

// NewInitial puts together what an agent starts from: the list that its configuration has, and its file, which may
// be nil. What the file says of a server holds only for one with the same start and address in that list. The
// error tells of a list in the file that can't be used; all else can be.
func NewInitial(known protocol.EndpointList, f *File, now time.Time) (Initial, error) {
	b := Initial{List: known, ListAge: -1}
	if f == nil {
		return b, nil
	}
	b.Balancer, b.Overload, b.IdleConnections, b.Age = f.Balancer, f.Overload, f.IdleConnections, f.Age(now)
	var kept protocol.EndpointList
	if f.List != nil {
		var err error
		if kept, err = f.List.EndpointList(); err != nil {
			return Initial{List: known, ListAge: -1}, err
		}
	}
	if f.List != nil && kept.Version > known.Version {
		b.List, b.IsFromFile = kept, true
	}
	// A list that is newer than the one in the file was made after that was confirmed, so it is no older.
	if f.List != nil && f.List.ConfirmedMS > 0 {
		b.ConfirmedAt = time.Duration(f.List.ConfirmedMS) * time.Millisecond
		b.ListAge = now.Sub(time.UnixMilli(f.List.ConfirmedMS))
	}
	b.Balancer = keepSameServers(f.Balancer, kept, b.List)
	return b, nil
}

// keepSameServers leaves out of a module's memory the servers that are not the same in both lists.
func keepSameServers(m *balancer.Snapshot, kept, now protocol.EndpointList) *balancer.Snapshot {
	if m == nil {
		return nil
	}
	type process struct {
		addr    netip.AddrPort
		started time.Duration
	}
	was, is := map[string]process{}, map[string]process{}
	for _, s := range kept.Endpoints {
		was[s.ID] = process{s.Addr, s.StartedAt}
	}
	for _, s := range now.Endpoints {
		is[s.ID] = process{s.Addr, s.StartedAt}
	}
	same := *m
	same.Servers = nil
	for _, s := range m.Servers {
		if p, listed := was[s.ID]; listed && p == is[s.ID] && p.started == s.StartedAt {
			same.Servers = append(same.Servers, s)
		}
	}
	return &same
}
