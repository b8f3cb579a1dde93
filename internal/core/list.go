package core

import (
	"errors"
	"maps"
	"net/netip"
	"slices"
	"time"

	"dunestep/asking"
	"dunestep/decide"
	"dunestep/internal/protocol"
)

// ListOutputKind names what a List wants done.
type ListOutputKind uint8

// The kinds of output, with the fields of ListOutput that each one uses.
const (
	// BeginCall calls discovery: Call, Addr, Form. Its beginning, its objects and its end are told, with Call.
	BeginCall ListOutputKind = iota
	// EndCall ends a call: Call. Its end is told as any other.
	EndCall
	// News is for the Router's PoolNews: Sync, Config, Told, Word, Confirms.
	News
	// OutOfOrder is for the log: Version, Known.
	OutOfOrder
	// CallFailed is for the log: Err.
	CallFailed
)

// ListOutput is one thing that a List wants done.
type ListOutput struct {
	Kind   ListOutputKind
	Call   int
	Addr   netip.AddrPort
	Form   protocol.ListCall
	Sync   decide.SyncKind
	Config protocol.PoolConfig // with the bans over it
	Told   protocol.PoolConfig // as discovery told it
	// Word says whether a ban or a lift has brought it, and how a call ended.
	Word decide.Word
	// Confirms: by this discovery has said what the whole list is.
	Confirms bool
	Version  int64
	Known    int64
	Err      error
}

// Ban is a booking server that staff have taken out by hand, or have put back since.
type Ban struct {
	ID string `json:"id"`
	// Started is when it had started by the list of then, in Unix time; zero: long ago, or it was not listed.
	Started time.Duration `json:"started_ns"`
	// Set is when staff took it out, in Unix time.
	Set time.Duration `json:"set_ns,omitempty"`
	// Lifted is when it was put back, in Unix time; zero: it is out. It stands for the start until discovery
	// tells of another one than Started.
	Lifted time.Duration `json:"lifted_ns,omitempty"`
}

// said is when staff last said something of it.
func (b Ban) said() time.Duration { return max(b.Set, b.Lifted) }

// MergeBans is what holds where two processes of one agent were told different things: of each booking
// server what was said last, and that it is out where both were said at once. By id; at most as many as a
// List holds, those that are out before the others.
func MergeBans(one, other []Ban) []Ban {
	latest := map[string]Ban{}
	for _, b := range slices.Concat(one, other) {
		if known, is := latest[b.ID]; !is || b.said() > known.said() || b.said() == known.said() && b.Lifted == 0 {
			latest[b.ID] = b
		}
	}
	if len(latest) > mostBans {
		maps.DeleteFunc(latest, func(_ string, b Ban) bool { return b.Lifted > 0 })
	}
	bans := make([]Ban, 0, len(latest))
	for _, id := range sorted(latest) {
		bans = append(bans, latest[id])
	}
	return bans[:min(len(bans), mostBans)]
}

const (
	// mostBans is how many booking servers can be out by hand at once, those that have left the list included.
	mostBans = 1024
	// mostSeen is how many ids that were once listed are remembered; the oldest are forgotten first.
	mostSeen = 8192
)

// ErrTooManyBans means that no further booking server can be taken out by hand.
var ErrTooManyBans = errors.New("too many booking servers are out by hand")

// List is the pool config's actor without its mailbox: it holds the version and the calls to discovery,
// and says FAILED as soon as a call ends. When to call again is the module's to say. Inputs return what
// is to be done, in order, valid until the next input; what comes of a call that is not waited for any
// more is passed over.
type List struct {
	addr    netip.AddrPort
	version int64
	calls   int                            // begun so far
	present int                            // the watch, by its number; zero: none yet
	begun   bool                           // discovery has taken it up, and it has not ended
	moved   bool                           // it is the first call to another address
	former  int                            // the watch at the address before, until the present one has begun
	undone  bool                           // the present watch was out of order: the rest of it is passed over
	fetches map[int]bool                   // those that are out
	entries map[string]protocol.PoolServer // by discovery's word, without the bans
	seen    map[string]bool                // ids that were ever listed
	order   []string                       // the same, as they came
	bans    map[string]Ban
	out     []ListOutput
}

// NewList returns a List that knows a list, and where discovery is. The bans hold from the start.
func NewList(addr netip.AddrPort, known protocol.PoolConfig, bans []Ban) *List {
	l := &List{
		addr: addr, version: known.Version, fetches: map[int]bool{}, bans: map[string]Ban{},
		seen: map[string]bool{}, entries: map[string]protocol.PoolServer{},
	}
	for _, b := range bans[:min(len(bans), mostBans)] {
		l.bans[b.ID] = b
		l.see(b.ID)
	}
	l.note(decide.SyncFull, known)
	return l
}

// Known is the list as it is known, for the start, with the bans over it.
func (l *List) Known(known protocol.PoolConfig) protocol.PoolConfig { return l.overlay(known) }

// Ban takes a booking server out until Lift, whatever discovery says of it; listed is false where no list
// ever had it. One that is out stays so. Now is Unix time.
func (l *List) Ban(id string, now time.Duration) (out []ListOutput, listed bool, err error) {
	l.out = l.out[:0]
	switch {
	case !l.seen[id]:
		return nil, false, nil
	case l.banned(id):
		return nil, true, nil
	case len(l.bans) >= mostBans && !l.forgetLifted():
		return nil, true, ErrTooManyBans
	}
	l.bans[id] = Ban{ID: id, Started: l.entries[id].Started, Set: max(now, l.bans[id].said()+1)}
	l.renew(id)
	return l.out, true, nil
}

// Lift ends the ban of a booking server. What discovery has told since counts; where that is no further
// start, the server counts as started now, in Unix time: it is taken out to be restarted, and discovery is
// late.
func (l *List) Lift(id string, now time.Duration) (out []ListOutput, listed bool) {
	l.out = l.out[:0]
	if !l.banned(id) {
		return nil, l.seen[id]
	}
	b := l.bans[id]
	b.Lifted = max(now, b.said()+1) // also where the clock was set back: the later word must look later
	l.bans[id] = b
	l.renew(id)
	return l.out, true
}

// JoinBans takes in what another process of this agent was told, as far as the bound on bans allows.
func (l *List) JoinBans(bans []Ban) []ListOutput {
	l.out = l.out[:0]
	before := l.bans
	l.bans = make(map[string]Ban, len(before))
	for _, b := range MergeBans(slices.Collect(maps.Values(before)), bans) {
		if b.Started == 0 { // it was said where that is not known, as for a whole fleet
			b.Started = l.startedAt(b.ID, before)
		}
		l.bans[b.ID] = b
		l.see(b.ID)
	}
	changed := maps.Clone(l.bans)
	maps.Copy(changed, before)
	for _, id := range sorted(changed) {
		if l.bans[id] != before[id] {
			l.renew(id)
		}
	}
	return l.out
}

// startedAt is when a booking server had started as it was taken out, as far as it was noted here.
func (l *List) startedAt(id string, before map[string]Ban) time.Duration {
	if b, is := before[id]; is {
		return b.Started
	}
	return l.entries[id].Started
}

// Listed tells whether a list ever had an id.
func (l *List) Listed(id string) bool { return l.seen[id] }

// Bans are those that hold, and those that were lifted while discovery has told of no further start; by id.
func (l *List) Bans() []Ban {
	bans := make([]Ban, 0, len(l.bans))
	for _, id := range sorted(l.bans) {
		bans = append(bans, l.bans[id])
	}
	return bans
}

// banned tells whether a booking server is out by hand.
func (l *List) banned(id string) bool {
	b, is := l.bans[id]
	return is && b.Lifted == 0
}

// forgetLifted drops the bans that are over, and tells whether there were any.
func (l *List) forgetLifted() bool {
	before := len(l.bans)
	maps.DeleteFunc(l.bans, func(_ string, b Ban) bool { return b.Lifted > 0 })
	return len(l.bans) < before
}

// Size tells how many booking servers are listed, and how many of these are out by hand.
func (l *List) Size() (listed, banned int) {
	for id := range l.entries {
		if l.banned(id) {
			banned++
		}
	}
	return len(l.entries), banned
}

// Servers are those that are listed, by id, as the bans leave them.
func (l *List) Servers() (all []decide.Server) {
	c := protocol.PoolConfig{}
	for _, id := range sorted(l.entries) {
		c.Servers = append(c.Servers, l.entries[id])
	}
	for _, s := range l.overlay(c).Servers {
		all = append(all, s.Server)
	}
	return all
}

// renew passes on what holds of one booking server now.
func (l *List) renew(id string) {
	s, listed := l.entries[id]
	if !listed {
		return
	}
	c := l.overlay(protocol.PoolConfig{Version: l.version, Servers: []protocol.PoolServer{s}})
	l.put(ListOutput{Kind: News, Sync: decide.SyncChange, Config: c, Word: decide.Word{Local: true}})
}

// overlay is what holds of a list: a booking server that is out by hand drains, and one that was put back
// has started then, unless discovery tells of a start since it was taken out.
func (l *List) overlay(c protocol.PoolConfig) protocol.PoolConfig {
	if len(l.bans) == 0 {
		return c
	}
	c.Servers = slices.Clone(c.Servers)
	for i := range c.Servers {
		s := &c.Servers[i]
		b, is := l.bans[s.ID]
		switch {
		case !is || s.State != decide.Ready:
		case b.Lifted == 0:
			s.State = decide.Draining
		case s.Started == b.Started:
			s.Started = b.Lifted
		}
	}
	return c
}

// note keeps what discovery says, without the bans.
func (l *List) note(kind decide.SyncKind, c protocol.PoolConfig) {
	if kind == decide.SyncFull {
		clear(l.entries)
	}
	for _, s := range c.Servers {
		if b := l.bans[s.ID]; b.Lifted > 0 && s.Started != b.Started {
			delete(l.bans, s.ID) // what was missed is told
		}
		if s.State == decide.Gone {
			delete(l.entries, s.ID)
			continue
		}
		l.entries[s.ID] = s
		l.see(s.ID)
	}
}

// see remembers that an id was listed.
func (l *List) see(id string) {
	if l.seen[id] {
		return
	}
	l.seen[id] = true
	l.order = append(l.order, id)
	for len(l.seen) > mostSeen {
		delete(l.seen, l.order[0])
		l.order = l.order[1:]
	}
}

// Subscribe has the list watched anew, from the version that is known. A watch at the address before goes
// on: the module asks again also where the new address can't be reached.
func (l *List) Subscribe() []ListOutput {
	l.out = l.out[:0]
	if l.present != 0 {
		l.put(ListOutput{Kind: EndCall, Call: l.present})
	}
	l.watch()
	return l.out
}

// Relocate has the list watched at another address. The watch at the old one goes on until the new one has
// begun: nothing is missed between the two.
func (l *List) Relocate(addr netip.AddrPort) []ListOutput {
	l.out = l.out[:0]
	if addr != l.addr {
		l.addr = addr
		l.endFormer()
		l.former = l.present
		l.watch()
		l.moved = true
	}
	return l.out
}

// Fetch has the whole list asked for once.
func (l *List) Fetch() []ListOutput {
	l.out = l.out[:0]
	l.calls++
	l.fetches[l.calls] = true
	l.put(ListOutput{Kind: BeginCall, Call: l.calls, Addr: l.addr})
	return l.out
}

// CallBegun takes in that discovery has accepted a call.
func (l *List) CallBegun(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.present { // the answer to the module's call, also where nothing was missed
		l.begun = true
		l.endFormer()
		l.put(ListOutput{Kind: News, Sync: decide.SyncChange, Word: decide.Word{Begun: true}})
	}
	return l.out
}

// CallSays takes in an object that a call brought.
func (l *List) CallSays(call int, config protocol.PoolConfig) []ListOutput {
	l.out = l.out[:0]
	fetched := l.fetches[call]
	switch {
	case fetched && config.Version < l.version: // the watch has told more since
		l.news(decide.SyncChange, protocol.PoolConfig{})
	case fetched || call == l.present && !l.undone || call == l.former:
		l.take(config)
	}
	return l.out
}

// CallQuiet takes in that a call was accepted and has brought nothing since, for longer than what it had to
// bring would have taken: the list that is known is the present one.
func (l *List) CallQuiet(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.present && l.begun && !l.undone {
		l.put(ListOutput{Kind: News, Sync: decide.SyncChange, Confirms: true})
	}
	return l.out
}

// CallEnded takes in the end of a call, with nil only for a fetch that came whole.
func (l *List) CallEnded(call int, err error) []ListOutput {
	l.out = l.out[:0]
	fetched := l.fetches[call]
	delete(l.fetches, call)
	switch {
	case call == l.former:
		l.former = 0 // the present one is still being tried
		if word := ended(err, true); word.End == asking.Silent && l.present != 0 {
			word.Waiting = true
			l.put(ListOutput{Kind: News, Sync: decide.SyncFailed, Word: word})
		}
	case call == l.present || fetched && err != nil:
		l.put(ListOutput{Kind: CallFailed, Err: err})
		word := ended(err, call == l.present && l.begun)
		switch {
		case call == l.present && l.undone:
			word.End = asking.Unread
		case call == l.present && l.moved && word.End == asking.Refused:
			word.End = asking.Moved
		}
		if call == l.present { // nothing more is to be concluded from its silence
			l.begun = false
		}
		l.put(ListOutput{Kind: News, Sync: decide.SyncFailed, Word: word})
	}
	return l.out
}

// Silence is how a call ends on which nothing came any more.
type Silence struct{ For time.Duration }

// Error implements error.
func (s *Silence) Error() string { return "discovery has been silent for too long" }

// Unread is how a call ends that has brought what can't be used.
type Unread struct{ Err error }

// Error implements error.
func (u *Unread) Error() string { return u.Err.Error() }

// ended tells the module how a call has ended; begun: discovery had taken it up.
func ended(err error, begun bool) decide.Word {
	var silence *Silence
	var unread *Unread
	switch {
	case errors.As(err, &unread):
		return decide.Word{End: asking.Unread}
	case !begun:
		return decide.Word{End: asking.Refused}
	case errors.As(err, &silence):
		return decide.Word{End: asking.Silent, Quiet: silence.For}
	}
	return decide.Word{End: asking.Lost}
}

// watch begins a watch, from the version that is known.
func (l *List) watch() {
	l.calls++
	l.present, l.begun, l.undone, l.moved = l.calls, false, false, false
	l.put(ListOutput{
		Kind: BeginCall, Call: l.present, Addr: l.addr,
		Form: protocol.ListCall{Watch: true, From: l.version},
	})
}

// take passes an object on. Changes that are older than what is known are out of order: they would undo
// later ones, so the next watch asks for the whole list. What the present one says until its end must not
// make it ask for less.
func (l *List) take(c protocol.PoolConfig) {
	if !c.Full && c.Version < l.version {
		l.put(ListOutput{Kind: OutOfOrder, Version: c.Version, Known: l.version})
		l.version, l.undone = 0, true
		l.endFormer()
		if l.present != 0 {
			l.put(ListOutput{Kind: EndCall, Call: l.present}) // its end is told
		}
		return
	}
	l.version = c.Version
	kind := decide.SyncChange
	if c.Full {
		kind = decide.SyncFull
	}
	l.note(kind, c)
	l.put(ListOutput{Kind: News, Sync: kind, Config: l.overlay(c), Told: c, Confirms: true})
}

func (l *List) endFormer() {
	if l.former != 0 {
		l.put(ListOutput{Kind: EndCall, Call: l.former})
	}
	l.former = 0
}

func (l *List) news(kind decide.SyncKind, c protocol.PoolConfig) {
	l.put(ListOutput{Kind: News, Sync: kind, Config: c})
}

func (l *List) put(o ListOutput) { l.out = append(l.out, o) }
