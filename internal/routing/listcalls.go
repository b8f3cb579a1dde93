package routing

import (
	"errors"
	"net/netip"

	"dunestep/internal/balancer"
	"dunestep/internal/discovery/backoff"
	"dunestep/internal/protocol"
)

// watchCall is a watch, from the start of its call to its end. The zero value means that there is none.
type watchCall struct {
	number   int  // of the call; zero: none
	accepted bool // by discovery
}

// Watch starts a new watch from the known version, which replaces a current one that discovery has not
// accepted. One that it has accepted stays, and is reported again. A watch at the former address continues,
// since the decision module also retries when the new address can't be reached.
func (l *ListTracker) Watch() []ListOutput {
	l.out = l.out[:0]
	if l.watch.accepted {
		l.reportWatch(balancer.WatchStatus{Opened: true})
		return l.out
	}
	l.end(l.watch)
	l.startWatch()
	return l.out
}

// SetAddress starts a watch at another address. The latest accepted watch continues until the new one has
// received something, so that no change is missed between the two.
func (l *ListTracker) SetAddress(addr netip.AddrPort) []ListOutput {
	l.out = l.out[:0]
	if addr == l.addr {
		return l.out
	}
	l.addr = addr
	if l.outOfOrder { // it is being ended, and what it still receives does not count
		l.watch = watchCall{}
	}
	if l.watch.accepted || !l.formerWatch.accepted {
		l.end(l.formerWatch)
		l.formerWatch = l.watch
	} else {
		l.end(l.watch)
	}
	l.startWatch()
	l.addressChanged = true
	l.reportWatch(balancer.WatchStatus{AddressChanged: true})
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
	switch call {
	case l.watch.number: // reported even if no change was missed
		l.watch.accepted = true
		l.reportWatch(balancer.WatchStatus{Opened: true})
	case l.formerWatch.number:
		l.formerWatch.accepted = true
	}
	return l.out
}

// CallReceived handles a list or change that a call received.
func (l *ListTracker) CallReceived(call int, list protocol.EndpointList) []ListOutput {
	l.out = l.out[:0]
	isOlder := list.Version < l.version
	switch {
	case call == l.watch.number && !l.outOfOrder:
		l.endFormerWatch()
		l.acceptList(list, balancer.WatchStatus{})
	case l.fetches[call] && isOlder: // the watch has received a newer version since
	case call == l.formerWatch.number && isOlder:
		l.emit(ListOutput{Kind: ListOutdated, Version: list.Version, KnownVersion: l.version})
	case l.fetches[call] || call == l.formerWatch.number:
		l.acceptList(list, balancer.WatchStatus{OtherCall: true})
	}
	return l.out
}

// CallKeptAlive handles an empty line between two lists or changes: the watch has received all changes until
// now.
func (l *ListTracker) CallKeptAlive(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.watch.number && !l.outOfOrder && !l.hasReceived {
		l.hasReceived = true
		l.endFormerWatch()
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Confirms: true})
	}
	return l.out
}

// CallIdle handles the end of the time after a call's acceptance in which a pending change would have
// arrived: the known list is then up to date.
func (l *ListTracker) CallIdle(call int) []ListOutput {
	l.out = l.out[:0]
	if call == l.watch.number && l.watch.accepted && !l.outOfOrder {
		l.emit(ListOutput{
			Kind: ListUpdate, Update: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Opened: true},
			Confirms: true,
		})
	}
	return l.out
}

// CallEnded handles the end of a call. err is nil only for a fetch that received the complete list.
func (l *ListTracker) CallEnded(call int, err error) []ListOutput {
	l.out = l.out[:0]
	delete(l.fetches, call)
	switch call {
	case l.formerWatch.number:
		status := watchEnd(err, l.formerWatch.accepted)
		status.OtherCall = true
		l.formerWatch = watchCall{}
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: status})
	case l.watch.number:
		status := watchEnd(err, l.watch.accepted)
		switch {
		case l.outOfOrder:
			status.End = backoff.Unreadable
		case l.addressChanged && status.End == backoff.CallFailed:
			status.End = backoff.AddressMoved
		}
		l.watch = watchCall{}
		l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: status})
	}
	return l.out
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
	l.watch = watchCall{number: l.calls}
	l.outOfOrder, l.addressChanged, l.hasReceived = false, false, false
	l.emit(ListOutput{
		Kind: StartCall, Call: l.calls, Addr: l.addr,
		Request: protocol.ListRequest{Watch: true, FromVersion: l.version},
	})
}

// reportWatch reports a change of the current watch to the decision module.
func (l *ListTracker) reportWatch(status balancer.WatchStatus) {
	l.emit(ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Watch: status})
}

// end ends a watch, if there is one. Its end is reported later.
func (l *ListTracker) end(watch watchCall) {
	if watch.number != 0 {
		l.emit(ListOutput{Kind: EndCall, Call: watch.number})
	}
}

func (l *ListTracker) endFormerWatch() {
	l.end(l.formerWatch)
	l.formerWatch = watchCall{}
}
