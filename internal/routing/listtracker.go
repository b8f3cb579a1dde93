package routing

import (
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/protocol"
)

// ListOutputKind is the kind of a ListOutput.
type ListOutputKind uint8

// The kinds of output, with the fields of ListOutput that each one uses.
const (
	// StartCall calls discovery: Call, Addr, Request. Its acceptance, what it brings and its end are reported
	// with Call.
	StartCall ListOutputKind = iota
	// EndCall ends a call: Call. Its end is reported as any other.
	EndCall
	// ListUpdate is for Router.ListUpdated: Update, List, DiscoveryList, Watch, Confirms.
	ListUpdate
	// ListOutOfOrder is for the log: Version, KnownVersion.
	ListOutOfOrder
	// CallFailed is for the log: Err.
	CallFailed
)

// ListOutput is one thing that a ListTracker wants done. Which fields are set depends on Kind.
type ListOutput struct {
	Kind          ListOutputKind
	Call          int // its number
	Addr          netip.AddrPort
	Request       protocol.ListRequest
	Update        balancer.UpdateKind
	List          protocol.EndpointList // with disabled endpoints draining
	DiscoveryList protocol.EndpointList // as discovery sent it
	Watch         balancer.WatchStatus  // how a call ended, or that an operator caused the update
	Confirms      bool                  // by this discovery has said what the complete list is
	Version       int64
	KnownVersion  int64
	Err           error
}

// ListTracker holds the endpoint list's version, the calls to discovery and the endpoints that an operator
// has disabled, and reports balancer.UpdateFailed as soon as a call ends. When to call again is for the
// decision module to say. Inputs return what is to be done, in order, valid until the next input; what comes
// of a call that is not waited for any more is ignored.
type ListTracker struct {
	addr           netip.AddrPort
	version        int64
	calls          int  // started so far
	watchCall      int  // the watch, by its number; zero: none yet
	accepted       bool // discovery has accepted it, and it has not ended
	addressChanged bool // it is the first call to another address
	// the watch at the address before, until the present one is accepted; zero: none
	formerWatch int
	outOfOrder  bool                         // the watch was out of order: the rest of it is ignored
	fetches     map[int]bool                 // those that are outstanding
	entries     map[string]protocol.Endpoint // as discovery sent them
	knownIDs    map[string]bool              // ids that were ever listed
	knownOrder  []string                     // the same, in the order in which they came
	disabled    map[string]DisabledEndpoint
	out         []ListOutput
}

// NewListTracker returns a ListTracker with a known list, discovery's address, and the endpoints that are
// disabled from the start.
func NewListTracker(
	addr netip.AddrPort,
	known protocol.EndpointList,
	disabled []DisabledEndpoint,
) *ListTracker {
	l := &ListTracker{
		addr: addr, version: known.Version, fetches: map[int]bool{}, disabled: map[string]DisabledEndpoint{},
		knownIDs: map[string]bool{}, entries: map[string]protocol.Endpoint{},
	}
	for _, e := range disabled[:min(len(disabled), maxDisabled)] {
		l.disabled[e.ID] = e
		l.rememberID(e.ID)
	}
	l.recordList(balancer.UpdateFull, known)
	return l
}

// WasListed reports whether a list ever had an id.
func (l *ListTracker) WasListed(id string) bool { return l.knownIDs[id] }

// Size returns how many endpoints are listed, and how many of these are disabled.
func (l *ListTracker) Size() (listed, disabled int) {
	for id := range l.entries {
		if l.isDisabled(id) {
			disabled++
		}
	}
	return len(l.entries), disabled
}

// Endpoints returns those that are listed, by id, with the disabled ones draining.
func (l *ListTracker) Endpoints() (all []balancer.Server) {
	list := protocol.EndpointList{}
	for _, id := range sorted(l.entries) {
		list.Endpoints = append(list.Endpoints, l.entries[id])
	}
	for _, e := range l.overlayDisabled(list).Endpoints {
		all = append(all, e.Server)
	}
	return all
}

// acceptList passes on what a call brought. Changes older than what is known are out of order: they would
// undo later ones, so the next watch asks for the complete list, whatever the present one still brings.
func (l *ListTracker) acceptList(list protocol.EndpointList) {
	if !list.Full && list.Version < l.version {
		l.emit(ListOutput{Kind: ListOutOfOrder, Version: list.Version, KnownVersion: l.version})
		l.version, l.outOfOrder = 0, true
		l.endFormerWatch()
		if l.watchCall != 0 {
			l.emit(ListOutput{Kind: EndCall, Call: l.watchCall}) // its end will be reported
		}
		return
	}
	l.version = list.Version
	kind := balancer.UpdateIncremental
	if list.Full {
		kind = balancer.UpdateFull
	}
	l.recordList(kind, list)
	l.emit(ListOutput{
		Kind: ListUpdate, Update: kind, List: l.overlayDisabled(list), DiscoveryList: list, Confirms: true,
	})
}

// recordList stores what discovery sent.
func (l *ListTracker) recordList(kind balancer.UpdateKind, list protocol.EndpointList) {
	if kind == balancer.UpdateFull {
		clear(l.entries)
	}
	for _, e := range list.Endpoints {
		if d := l.disabled[e.ID]; d.EnabledAt > 0 && e.StartedAt != d.StartedAt {
			delete(l.disabled, e.ID) // the restart has been reported
		}
		if e.State == balancer.Gone {
			delete(l.entries, e.ID)
			continue
		}
		l.entries[e.ID] = e
		l.rememberID(e.ID)
	}
}

// rememberID notes that an id was listed.
func (l *ListTracker) rememberID(id string) {
	if l.knownIDs[id] {
		return
	}
	l.knownIDs[id] = true
	l.knownOrder = append(l.knownOrder, id)
	for len(l.knownIDs) > maxRememberedIDs {
		delete(l.knownIDs, l.knownOrder[0])
		l.knownOrder = l.knownOrder[1:]
	}
}

func (l *ListTracker) emit(o ListOutput) { l.out = append(l.out, o) }

// SilenceError is how a call ends on which nothing has come for too long.
type SilenceError struct{ Duration time.Duration }

// Error implements error.
func (*SilenceError) Error() string { return "discovery has been silent for too long" }

// UnreadableError is how a call ends that has brought something unreadable.
type UnreadableError struct{ Err error }

// Error implements error.
func (e *UnreadableError) Error() string { return e.Err.Error() }
