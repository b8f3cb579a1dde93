package routing

import (
	"errors"
	"net/netip"

	"dunestep/internal/balancer"
	"dunestep/internal/discovery/backoff"
	"dunestep/internal/protocol"
)

// Watch starts a new watch from the known version, which replaces the current one. A watch at the former
// address continues, since the decision module also retries when the new address can't be reached.
func (l *ListTracker) Watch() []ListOutput {
	l.out = l.out[:0]
	if l.watchCall != 0 {
		l.emit(ListOutput{Kind: EndCall, Call: l.watchCall})
	}
	l.startWatch()
	return l.out
}

// SetAddress starts a watch at another address. The watch at the old address continues until the new one is
// accepted, so that no change is missed between the two.
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

// Fetch starts a call that requests the complete list once.
func (l *ListTracker) Fetch() []ListOutput {
	l.out = l.out[:0]
	l.calls++
	l.fetches[l.calls] = true
	l.emit(ListOutput{Kind: StartCall, Call: l.calls, Addr: l.addr})
	return l.out
}

// CallAccepted handles discovery's acceptance of a call.
func (l *ListTracker) CallAccepted(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.watchCall { // reported even if no change was missed
		l.accepted = true
		l.endFormerWatch()
		l.emit(ListOutput{
			Kind: ListUpdate, Update: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Opened: true},
		})
	}
	return l.out
}

// CallReceived handles a list or change that a call received.
func (l *ListTracker) CallReceived(call int, list protocol.EndpointList) []ListOutput {
	l.out = l.out[:0]
	fetched := l.fetches[call]
	switch {
	case fetched && list.Version < l.version: // the watch has received a newer version since
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental})
	case fetched || call == l.watchCall && !l.outOfOrder || call == l.formerWatch:
		l.acceptList(list)
	}
	return l.out
}

// CallIdle handles the end of the time after a call's acceptance in which a pending change would have
// arrived: the known list is then up to date.
func (l *ListTracker) CallIdle(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.watchCall && l.accepted && !l.outOfOrder {
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Confirms: true})
	}
	return l.out
}

// CallEnded handles the end of a call. err is nil only for a fetch that received the complete list.
func (l *ListTracker) CallEnded(call int, err error) []ListOutput {
	l.out = l.out[:0]
	fetched := l.fetches[call]
	delete(l.fetches, call)
	switch {
	case call == l.formerWatch:
		l.formerWatchEnded(err)
	case call == l.watchCall || fetched && err != nil:
		status := watchEnd(err, call == l.watchCall && l.accepted)
		switch {
		case call == l.watchCall && l.outOfOrder:
			status.End = backoff.Unreadable
		case call == l.watchCall && l.addressChanged && status.End == backoff.CallFailed:
			status.End = backoff.AddressMoved
		}
		if call == l.watchCall { // its silence no longer confirms the list
			l.accepted = false
		}
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: status})
	}
	return l.out
}

// formerWatchEnded handles the end of the watch at the former address, while the current watch is not yet
// accepted.
func (l *ListTracker) formerWatchEnded(err error) {
	l.formerWatch = 0
	if status := watchEnd(err, true); status.End == backoff.WatchSilent && l.watchCall != 0 {
		status.Replaced = true
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: status})
	}
}

// watchEnd returns how a call ended, for the decision module.
func watchEnd(err error, accepted bool) balancer.WatchStatus {
	var silence *SilenceError
	var unreadable *UnreadableError
	switch {
	case errors.As(err, &unreadable):
		return balancer.WatchStatus{End: backoff.Unreadable}
	case !accepted:
		return balancer.WatchStatus{End: backoff.CallFailed}
	case errors.As(err, &silence):
		return balancer.WatchStatus{End: backoff.WatchSilent, SilentFor: silence.Duration}
	}
	return balancer.WatchStatus{End: backoff.WatchLost}
}

// startWatch starts a watch from the known version.
func (l *ListTracker) startWatch() {
	l.calls++
	l.watchCall, l.accepted, l.outOfOrder, l.addressChanged = l.calls, false, false, false
	l.emit(ListOutput{
		Kind: StartCall, Call: l.watchCall, Addr: l.addr,
		Request: protocol.ListRequest{Watch: true, FromVersion: l.version},
	})
}

func (l *ListTracker) endFormerWatch() {
	if l.formerWatch != 0 {
		l.emit(ListOutput{Kind: EndCall, Call: l.formerWatch})
	}
	l.formerWatch = 0
}
