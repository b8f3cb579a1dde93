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
	// StartCall calls discovery: Call, Addr, Request. Its acceptance, the lists it receives and its end
	// are reported with Call.
	StartCall ListOutputKind = iota
	// EndCall ends a call: Call. Its end is reported like any other.
	EndCall
	// ListUpdate is an input for Router.ListUpdated: Update, List, DiscoveryList, Watch, Confirms.
	ListUpdate
	// ListOutOfOrder requests a log line about an update that is out of order: Version, KnownVersion.
	ListOutOfOrder
	// ListOutdated requests a log line about an older list at discovery's former address, which is dropped:
	// Version, KnownVersion.
	ListOutdated
)

// ListOutput is one output of a ListTracker, for the caller to carry out. Which fields are set depends on
// Kind.
type ListOutput struct {
	Kind          ListOutputKind
	Call          int // number of the call
	Addr          netip.AddrPort
	Request       protocol.ListRequest
	Update        balancer.UpdateKind
	List          protocol.EndpointList // with disabled endpoints draining
	DiscoveryList protocol.EndpointList // as discovery sent it
	Watch         balancer.WatchStatus  // how a call ended, or that an operator caused the update
	Confirms      bool                  // discovery has confirmed that the list is up to date
	Version       int64
	KnownVersion  int64
}

// ListTracker tracks the endpoint list's version, the calls to discovery and the endpoints that an operator
// has disabled, and reports balancer.UpdateFailed as soon as a watch ends. The decision module decides when
// to call again, from what is reported of the current watch: its start at a new address, its acceptance and
// its end, each once. Inputs return the outputs in order, valid until the next input. Events of a call that
// has been replaced are ignored.
type ListTracker struct {
	addr           netip.AddrPort
	version        int64
	calls          int                          // started so far
	watch          watchCall                    // the current one, at addr
	formerWatch    watchCall                    // at a former address, until the current one has received
	addressChanged bool                         // the current watch is the first call to a new address
	hasReceived    bool                         // the current watch has received an empty line
	outOfOrder     bool                         // the current watch was out of order and is ignored
	fetches        map[int]bool                 // fetches under way, by number
	entries        map[string]protocol.Endpoint // as discovery sent them
	knownIDs       map[string]bool              // ids that are or were listed or disabled; see rememberID
	knownOrder     []string                     // keys of knownIDs, the oldest first
	disabled       map[string]DisabledEndpoint
	out            []ListOutput
}

// NewListTracker returns a ListTracker with discovery's address, a known list, and the endpoints that are
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

// WasListed reports whether an endpoint with that id is or was listed. Of more than maxRememberedIDs ids, the
// oldest are forgotten.
func (l *ListTracker) WasListed(id string) bool { return l.knownIDs[id] }

// Size returns how many endpoints are listed, and how many of these are disabled.
func (l *ListTracker) Size() (listed, disabled int) {
	for id := range l.disabled {
		if _, isListed := l.entries[id]; isListed && l.isDisabled(id) {
			disabled++
		}
	}
	return len(l.entries), disabled
}

// Endpoints returns the listed endpoints, sorted by id, with the disabled ones draining.
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

// acceptList applies and emits a list or change that a call received. A change older than the known
// version is out of order and would undo later ones: the current watch is ended and the next one
// requests the complete list.
func (l *ListTracker) acceptList(list protocol.EndpointList, status balancer.WatchStatus) {
	if !list.Full && list.Version < l.version {
		l.emit(ListOutput{Kind: ListOutOfOrder, Version: list.Version, KnownVersion: l.version})
		l.version, l.outOfOrder = 0, true
		l.end(l.watch)
		return
	}
	l.version = list.Version
	kind := balancer.UpdateIncremental
	if list.Full {
		kind = balancer.UpdateFull
	}
	l.recordList(kind, list)
	l.emit(ListOutput{
		Kind: ListUpdate, Update: kind, List: l.overlayDisabled(list), DiscoveryList: list, Watch: status,
		Confirms: true,
	})
}

// recordList records a list or change as discovery sent it.
func (l *ListTracker) recordList(kind balancer.UpdateKind, list protocol.EndpointList) {
	if kind == balancer.UpdateFull {
		clear(l.entries)
	}
	for _, e := range list.Endpoints {
		if d := l.disabled[e.ID]; d.EnabledAt > 0 && e.StartedAt != d.StartedAt {
			delete(l.disabled, e.ID) // discovery has reported the restart
		}
		if e.State == balancer.Gone {
			delete(l.entries, e.ID)
			continue
		}
		l.entries[e.ID] = e
		l.rememberID(e.ID)
	}
}

// rememberID records an id that was listed or disabled, and forgets the oldest ids beyond maxRememberedIDs.
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

// SilenceError is the error of a call that received nothing for Duration.
type SilenceError struct{ Duration time.Duration }

// Error implements error.
func (*SilenceError) Error() string { return "discovery has been silent for too long" }

// UnreadableError is the error of a call that received something that can't be decoded.
type UnreadableError struct{ Err error }

// Error implements error.
func (e *UnreadableError) Error() string { return e.Err.Error() }
