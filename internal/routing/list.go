package routing

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/discovery/backoff"
	"dunestep/internal/protocol"
)

// ListOutputKind names what a ListTracker wants done.
type ListOutputKind uint8

// The kinds of output, with the fields of ListOutput that each one uses.
const (
	// StartCall calls discovery: Call, Addr, Request. Its beginning, its objects and its end are told, with Call.
	StartCall ListOutputKind = iota
	// EndCall ends a call: Call. Its end is told as any other.
	EndCall
	// ListUpdate is for the Router's ListUpdated: Update, List, DiscoveryList, Watch, Confirms.
	ListUpdate
	// ListOutOfOrder is for the log: Version, KnownVersion.
	ListOutOfOrder
	// CallFailed is for the log: Err.
	CallFailed
)

// ListOutput is one thing that a ListTracker wants done.
type ListOutput struct {
	Kind          ListOutputKind
	Call          int
	Addr          netip.AddrPort
	Request       protocol.ListRequest
	Update        balancer.UpdateKind
	List          protocol.EndpointList // with the bans over it
	DiscoveryList protocol.EndpointList // as discovery told it
	// Watch says whether a ban or a lift has brought it, and how a call ended.
	Watch balancer.WatchStatus
	// Confirms: by this discovery has said what the whole list is.
	Confirms     bool
	Version      int64
	KnownVersion int64
	Err          error
}

// DisabledEndpoint is a booking server that staff have taken out by hand, or have put back since.
type DisabledEndpoint struct {
	ID string `json:"id"`
	// StartedAt is when it had started by the list of then, in Unix time; zero: long ago, or it was not listed.
	StartedAt time.Duration `json:"started_ns"`
	// DisabledAt is when staff took it out, in Unix time.
	DisabledAt time.Duration `json:"set_ns,omitempty"`
	// EnabledAt is when it was put back, in Unix time; zero: it is out. It stands for the start until discovery
	// tells of another one than StartedAt.
	EnabledAt time.Duration `json:"lifted_ns,omitempty"`
}

// said is when staff last said something of it.
func (b DisabledEndpoint) changedAt() time.Duration { return max(b.DisabledAt, b.EnabledAt) }

// MergeDisabled is what holds where two processes of one agent were told different things: of each booking
// server what was said last, and that it is out where both were said at once. By id; at most as many as a
// ListTracker holds, those that are out before the others.
func MergeDisabled(one, other []DisabledEndpoint) []DisabledEndpoint {
	latest := map[string]DisabledEndpoint{}
	for _, b := range slices.Concat(one, other) {
		if known, is := latest[b.ID]; !is || b.changedAt() > known.changedAt() || b.changedAt() == known.changedAt() && b.EnabledAt == 0 {
			latest[b.ID] = b
		}
	}
	if len(latest) > maxDisabled {
		maps.DeleteFunc(latest, func(_ string, b DisabledEndpoint) bool { return b.EnabledAt > 0 })
	}
	bans := make([]DisabledEndpoint, 0, len(latest))
	for _, id := range sorted(latest) {
		bans = append(bans, latest[id])
	}
	return bans[:min(len(bans), maxDisabled)]
}

const (
	// maxDisabled is how many booking servers can be out by hand at once, those that have left the list included.
	maxDisabled = 1024
	// maxRememberedIDs is how many ids that were once listed are remembered; the oldest are forgotten first.
	maxRememberedIDs = 8192
)

// ErrTooManyDisabled means that no further booking server can be taken out by hand.
var ErrTooManyDisabled = errors.New("too many booking servers are out by hand")

// ListTracker is the pool config's actor without its mailbox: it holds the version and the calls to discovery,
// and says FAILED as soon as a call ends. When to call again is the module's to say. Inputs return what
// is to be done, in order, valid until the next input; what comes of a call that is not waited for any
// more is passed over.
type ListTracker struct {
	addr           netip.AddrPort
	version        int64
	calls          int                          // begun so far
	watchCall      int                          // the watch, by its number; zero: none yet
	accepted       bool                         // discovery has taken it up, and it has not ended
	addressChanged bool                         // it is the first call to another address
	formerWatch    int                          // the watch at the address before, until the present one has begun
	outOfOrder     bool                         // the present watch was out of order: the rest of it is passed over
	fetches        map[int]bool                 // those that are out
	entries        map[string]protocol.Endpoint // by discovery's word, without the bans
	knownIDs       map[string]bool              // ids that were ever listed
	knownOrder     []string                     // the same, as they came
	disabled       map[string]DisabledEndpoint
	out            []ListOutput
}

// NewListTracker returns a ListTracker that knows a list, and where discovery is. The bans hold from the start.
func NewListTracker(addr netip.AddrPort, known protocol.EndpointList, bans []DisabledEndpoint) *ListTracker {
	l := &ListTracker{
		addr: addr, version: known.Version, fetches: map[int]bool{}, disabled: map[string]DisabledEndpoint{},
		knownIDs: map[string]bool{}, entries: map[string]protocol.Endpoint{},
	}
	for _, b := range bans[:min(len(bans), maxDisabled)] {
		l.disabled[b.ID] = b
		l.rememberID(b.ID)
	}
	l.recordList(balancer.UpdateFull, known)
	return l
}

// KnownVersion is the list as it is known, for the start, with the bans over it.
func (l *ListTracker) ApplyDisabled(known protocol.EndpointList) protocol.EndpointList {
	return l.overlayDisabled(known)
}

// DisabledEndpoint takes a booking server out until Enable, whatever discovery says of it; listed is false where no list
// ever had it. One that is out stays so. Now is Unix time.
func (l *ListTracker) Disable(id string, now time.Duration) (out []ListOutput, listed bool, err error) {
	l.out = l.out[:0]
	switch {
	case !l.knownIDs[id]:
		return nil, false, nil
	case l.isDisabled(id):
		return nil, true, nil
	case len(l.disabled) >= maxDisabled && !l.forgetEnabled():
		return nil, true, ErrTooManyDisabled
	}
	l.disabled[id] = DisabledEndpoint{ID: id, StartedAt: l.entries[id].StartedAt, DisabledAt: max(now, l.disabled[id].changedAt()+1)}
	l.publishEndpoint(id)
	return l.out, true, nil
}

// Enable ends the ban of a booking server. What discovery has told since counts; where that is no further
// start, the server counts as started now, in Unix time: it is taken out to be restarted, and discovery is
// late.
func (l *ListTracker) Enable(id string, now time.Duration) (out []ListOutput, listed bool) {
	l.out = l.out[:0]
	if !l.isDisabled(id) {
		return nil, l.knownIDs[id]
	}
	b := l.disabled[id]
	b.EnabledAt = max(now, b.changedAt()+1) // also where the clock was set back: the later word must look later
	l.disabled[id] = b
	l.publishEndpoint(id)
	return l.out, true
}

// MergeDisabled takes in what another process of this agent was told, as far as the bound on bans allows.
func (l *ListTracker) MergeDisabled(bans []DisabledEndpoint) []ListOutput {
	l.out = l.out[:0]
	before := l.disabled
	l.disabled = make(map[string]DisabledEndpoint, len(before))
	for _, b := range MergeDisabled(slices.Collect(maps.Values(before)), bans) {
		if b.StartedAt == 0 { // it was said where that is not known, as for a whole fleet
			b.StartedAt = l.startedAt(b.ID, before)
		}
		l.disabled[b.ID] = b
		l.rememberID(b.ID)
	}
	changed := maps.Clone(l.disabled)
	maps.Copy(changed, before)
	for _, id := range sorted(changed) {
		if l.disabled[id] != before[id] {
			l.publishEndpoint(id)
		}
	}
	return l.out
}

// startedAt is when a booking server had started as it was taken out, as far as it was noted here.
func (l *ListTracker) startedAt(id string, before map[string]DisabledEndpoint) time.Duration {
	if b, is := before[id]; is {
		return b.StartedAt
	}
	return l.entries[id].StartedAt
}

// WasListed tells whether a list ever had an id.
func (l *ListTracker) WasListed(id string) bool { return l.knownIDs[id] }

// Disabled are those that hold, and those that were lifted while discovery has told of no further start; by id.
func (l *ListTracker) Disabled() []DisabledEndpoint {
	bans := make([]DisabledEndpoint, 0, len(l.disabled))
	for _, id := range sorted(l.disabled) {
		bans = append(bans, l.disabled[id])
	}
	return bans
}

// banned tells whether a booking server is out by hand.
func (l *ListTracker) isDisabled(id string) bool {
	b, is := l.disabled[id]
	return is && b.EnabledAt == 0
}

// forgetEnabled drops the bans that are over, and tells whether there were any.
func (l *ListTracker) forgetEnabled() bool {
	before := len(l.disabled)
	maps.DeleteFunc(l.disabled, func(_ string, b DisabledEndpoint) bool { return b.EnabledAt > 0 })
	return len(l.disabled) < before
}

// Size tells how many booking servers are listed, and how many of these are out by hand.
func (l *ListTracker) Size() (listed, banned int) {
	for id := range l.entries {
		if l.isDisabled(id) {
			banned++
		}
	}
	return len(l.entries), banned
}

// Endpoints are those that are listed, by id, as the bans leave them.
func (l *ListTracker) Endpoints() (all []balancer.Server) {
	c := protocol.EndpointList{}
	for _, id := range sorted(l.entries) {
		c.Endpoints = append(c.Endpoints, l.entries[id])
	}
	for _, s := range l.overlayDisabled(c).Endpoints {
		all = append(all, s.Server)
	}
	return all
}

// renew passes on what holds of one booking server now.
func (l *ListTracker) publishEndpoint(id string) {
	s, listed := l.entries[id]
	if !listed {
		return
	}
	c := l.overlayDisabled(protocol.EndpointList{Version: l.version, Endpoints: []protocol.Endpoint{s}})
	l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, List: c, Watch: balancer.WatchStatus{Local: true}})
}

// overlay is what holds of a list: a booking server that is out by hand drains, and one that was put back
// has started then, unless discovery tells of a start since it was taken out.
func (l *ListTracker) overlayDisabled(c protocol.EndpointList) protocol.EndpointList {
	if len(l.disabled) == 0 {
		return c
	}
	c.Endpoints = slices.Clone(c.Endpoints)
	for i := range c.Endpoints {
		s := &c.Endpoints[i]
		b, is := l.disabled[s.ID]
		switch {
		case !is || s.State != balancer.Ready:
		case b.EnabledAt == 0:
			s.State = balancer.Draining
		case s.StartedAt == b.StartedAt:
			s.StartedAt = b.EnabledAt
		}
	}
	return c
}

// note keeps what discovery says, without the bans.
func (l *ListTracker) recordList(kind balancer.UpdateKind, c protocol.EndpointList) {
	if kind == balancer.UpdateFull {
		clear(l.entries)
	}
	for _, s := range c.Endpoints {
		if b := l.disabled[s.ID]; b.EnabledAt > 0 && s.StartedAt != b.StartedAt {
			delete(l.disabled, s.ID) // what was missed is told
		}
		if s.State == balancer.Gone {
			delete(l.entries, s.ID)
			continue
		}
		l.entries[s.ID] = s
		l.rememberID(s.ID)
	}
}

// see remembers that an id was listed.
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

// WatchList has the list watched anew, from the version that is known. A watch at the address before goes
// on: the module asks again also where the new address can't be reached.
func (l *ListTracker) Watch() []ListOutput {
	l.out = l.out[:0]
	if l.watchCall != 0 {
		l.emit(ListOutput{Kind: EndCall, Call: l.watchCall})
	}
	l.startWatch()
	return l.out
}

// SetAddress has the list watched at another address. The watch at the old one goes on until the new one has
// begun: nothing is missed between the two.
func (l *ListTracker) SetAddress(addr netip.AddrPort) []ListOutput {
	l.out = l.out[:0]
	if addr != l.addr {
		l.addr = addr
		l.endFormerWatch()
		l.formerWatch = l.watchCall
		l.startWatch()
		l.addressChanged = true
	}
	return l.out
}

// FetchList has the whole list asked for once.
func (l *ListTracker) Fetch() []ListOutput {
	l.out = l.out[:0]
	l.calls++
	l.fetches[l.calls] = true
	l.emit(ListOutput{Kind: StartCall, Call: l.calls, Addr: l.addr})
	return l.out
}

// CallAccepted takes in that discovery has accepted a call.
func (l *ListTracker) CallAccepted(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.watchCall { // the answer to the module's call, also where nothing was missed
		l.accepted = true
		l.endFormerWatch()
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Opened: true}})
	}
	return l.out
}

// CallReceived takes in an object that a call brought.
func (l *ListTracker) CallReceived(call int, config protocol.EndpointList) []ListOutput {
	l.out = l.out[:0]
	fetched := l.fetches[call]
	switch {
	case fetched && config.Version < l.version: // the watch has told more since
		l.publish(balancer.UpdateIncremental, protocol.EndpointList{})
	case fetched || call == l.watchCall && !l.outOfOrder || call == l.formerWatch:
		l.acceptList(config)
	}
	return l.out
}

// CallIdle takes in that a call was accepted and has brought nothing since, for longer than what it had to
// bring would have taken: the list that is known is the present one.
func (l *ListTracker) CallIdle(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.watchCall && l.accepted && !l.outOfOrder {
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Confirms: true})
	}
	return l.out
}

// CallEnded takes in the end of a call, with nil only for a fetch that came whole.
func (l *ListTracker) CallEnded(call int, err error) []ListOutput {
	l.out = l.out[:0]
	fetched := l.fetches[call]
	delete(l.fetches, call)
	switch {
	case call == l.formerWatch:
		l.formerWatch = 0 // the present one is still being tried
		if word := watchEnd(err, true); word.End == backoff.WatchSilent && l.watchCall != 0 {
			word.Replaced = true
			l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: word})
		}
	case call == l.watchCall || fetched && err != nil:
		l.emit(ListOutput{Kind: CallFailed, Err: err})
		word := watchEnd(err, call == l.watchCall && l.accepted)
		switch {
		case call == l.watchCall && l.outOfOrder:
			word.End = backoff.Unreadable
		case call == l.watchCall && l.addressChanged && word.End == backoff.CallFailed:
			word.End = backoff.AddressMoved
		}
		if call == l.watchCall { // nothing more is to be concluded from its silence
			l.accepted = false
		}
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: word})
	}
	return l.out
}

// SilenceError is how a call ends on which nothing came any more.
type SilenceError struct{ Duration time.Duration }

// Error implements error.
func (s *SilenceError) Error() string { return "discovery has been silent for too long" }

// UnreadableError is how a call ends that has brought what can't be used.
type UnreadableError struct{ Err error }

// Error implements error.
func (u *UnreadableError) Error() string { return u.Err.Error() }

// ended tells the module how a call has ended; begun: discovery had taken it up.
func watchEnd(err error, begun bool) balancer.WatchStatus {
	var silence *SilenceError
	var unread *UnreadableError
	switch {
	case errors.As(err, &unread):
		return balancer.WatchStatus{End: backoff.Unreadable}
	case !begun:
		return balancer.WatchStatus{End: backoff.CallFailed}
	case errors.As(err, &silence):
		return balancer.WatchStatus{End: backoff.WatchSilent, SilentFor: silence.Duration}
	}
	return balancer.WatchStatus{End: backoff.WatchLost}
}

// watch begins a watch, from the version that is known.
func (l *ListTracker) startWatch() {
	l.calls++
	l.watchCall, l.accepted, l.outOfOrder, l.addressChanged = l.calls, false, false, false
	l.emit(ListOutput{
		Kind: StartCall, Call: l.watchCall, Addr: l.addr,
		Request: protocol.ListRequest{Watch: true, FromVersion: l.version},
	})
}

// take passes an object on. Changes that are older than what is known are out of order: they would undo
// later ones, so the next watch asks for the whole list. What the present one says until its end must not
// make it ask for less.
func (l *ListTracker) acceptList(c protocol.EndpointList) {
	if !c.Full && c.Version < l.version {
		l.emit(ListOutput{Kind: ListOutOfOrder, Version: c.Version, KnownVersion: l.version})
		l.version, l.outOfOrder = 0, true
		l.endFormerWatch()
		if l.watchCall != 0 {
			l.emit(ListOutput{Kind: EndCall, Call: l.watchCall}) // its end is told
		}
		return
	}
	l.version = c.Version
	kind := balancer.UpdateIncremental
	if c.Full {
		kind = balancer.UpdateFull
	}
	l.recordList(kind, c)
	l.emit(ListOutput{Kind: ListUpdate, Update: kind, List: l.overlayDisabled(c), DiscoveryList: c, Confirms: true})
}

func (l *ListTracker) endFormerWatch() {
	if l.formerWatch != 0 {
		l.emit(ListOutput{Kind: EndCall, Call: l.formerWatch})
	}
	l.formerWatch = 0
}

func (l *ListTracker) publish(kind balancer.UpdateKind, c protocol.EndpointList) {
	l.emit(ListOutput{Kind: ListUpdate, Update: kind, List: c})
}

func (l *ListTracker) emit(o ListOutput) { l.out = append(l.out, o) }
