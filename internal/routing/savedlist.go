package routing

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// Confirmation reports whether discovery has confirmed with an update that the whole list is up to date,
// without missed changes.
type Confirmation bool

// The values of Confirmation.
const (
	Unconfirmed Confirmation = false
	Confirmed   Confirmation = true
)

// SavedList is the endpoint list as it is stored across a restart: the last known list, and when
// discovery last confirmed it.
type SavedList struct {
	version      int64
	endpoints    map[string]protocol.Endpoint
	sorted       []protocol.Endpoint // endpoints sorted by id; nil: not sorted since the last change
	confirmedAt  time.Duration       // on the clock; zero: not known
	wasConfirmed bool                // since the start
	isWatched    bool                // a watch is open, so the list is confirmed at every moment
}

// NewSavedList returns the list that an agent starts with. confirmedAt is when discovery last confirmed it,
// on the clock; zero: not known.
func NewSavedList(initial protocol.EndpointList, confirmedAt time.Duration) *SavedList {
	l := &SavedList{endpoints: map[string]protocol.Endpoint{}, confirmedAt: confirmedAt}
	l.Update(0, balancer.UpdateCached, initial, Unconfirmed)
	return l
}

// Update applies an update of the list. A confirmed update also means that discovery will report further
// changes. Until discovery's first confirmation, Update returns the ids of endpoints that have another
// address or start time than in the initial list: what was learned before the start is invalid for them.
func (l *SavedList) Update(now time.Duration, kind balancer.UpdateKind, list protocol.EndpointList,
	confirmation Confirmation,
) (replaced []string) {
	confirmed := confirmation == Confirmed
	if confirmed || l.isWatched {
		l.confirmedAt = now
	}
	l.isWatched = confirmed || l.isWatched && kind != balancer.UpdateFailed
	if kind == balancer.UpdateFailed {
		return nil
	}
	before := l.endpoints
	if kind != balancer.UpdateIncremental {
		l.endpoints = make(map[string]protocol.Endpoint, len(list.Endpoints))
	}
	if list.Full {
		l.version = list.Version
	}
	l.version = max(l.version, list.Version)
	if len(list.Endpoints) > 0 || kind != balancer.UpdateIncremental {
		l.sorted = nil
	}
	for _, e := range list.Endpoints {
		old, known := before[e.ID]
		if known && !l.wasConfirmed && isReplaced(old, e) {
			replaced = append(replaced, e.ID)
		}
		if e.State == balancer.Gone {
			delete(l.endpoints, e.ID)
			continue
		}
		if !e.Addr.IsValid() {
			e.Addr = old.Addr
		}
		l.endpoints[e.ID] = e
	}
	l.wasConfirmed = l.wasConfirmed || confirmed
	return replaced
}

// isReplaced reports whether two entries with the same id are different servers, or different starts of one.
func isReplaced(old, now protocol.Endpoint) bool {
	return old.StartedAt != now.StartedAt || now.Addr.IsValid() && old.Addr != now.Addr
}

// WasConfirmed reports whether discovery has confirmed the list since the start.
func (l *SavedList) WasConfirmed() bool { return l.wasConfirmed }

// ConfirmedAt returns when discovery last confirmed the list, on the clock; zero: not known.
func (l *SavedList) ConfirmedAt(now time.Duration) time.Duration {
	if l.isWatched {
		return now
	}
	return l.confirmedAt
}

// Version returns the version of the list.
func (l *SavedList) Version() int64 { return l.version }

// List returns the list, sorted by id. The caller must not modify it.
func (l *SavedList) List() protocol.EndpointList {
	if l.sorted == nil {
		l.sorted = make([]protocol.Endpoint, 0, len(l.endpoints))
		for _, id := range sorted(l.endpoints) {
			l.sorted = append(l.sorted, l.endpoints[id])
		}
	}
	return protocol.EndpointList{Version: l.version, Full: true, Endpoints: l.sorted}
}
