package routing

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/discovery/backoff"
	"dunestep/internal/protocol"
)

// The outputs for each event of a watch or fetch, and for a change of discovery's address.
func TestListTrackerOutputs(t *testing.T) {
	lost, silence := errors.New("lost"), &SilenceError{time.Second}
	at := func(v int64, full bool) protocol.EndpointList { return protocol.EndpointList{Version: v, Full: full} }
	starts := func(call int, from int64, addr netip.AddrPort) ListOutput {
		return ListOutput{Kind: StartCall, Call: call, Addr: addr, Request: protocol.ListRequest{Watch: true, FromVersion: from}}
	}
	failed := func(end backoff.CallResult, w balancer.WatchStatus) []ListOutput {
		w.End = end
		return []ListOutput{{Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: w}}
	}
	updated := func(kind balancer.UpdateKind, c protocol.EndpointList) ListOutput {
		return ListOutput{Kind: ListUpdate, Update: kind, List: c, DiscoveryList: c, Confirms: c.Version > 0}
	}
	none := protocol.EndpointList{}
	accepted := ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Opened: true}}
	ends := func(call int) ListOutput { return ListOutput{Kind: EndCall, Call: call} }
	l := NewListTracker(firstAddr, protocol.EndpointList{Version: 41}, nil)
	k := slices.Clone[[]ListOutput]
	for i, c := range []struct{ got, want []ListOutput }{
		{k(l.Watch()), []ListOutput{starts(1, 41, firstAddr)}},
		{k(l.CallAccepted(1)), []ListOutput{accepted}},
		{k(l.CallIdle(1)), []ListOutput{{Kind: ListUpdate, Update: balancer.UpdateIncremental, Confirms: true}}},
		{k(l.CallIdle(7)), nil},
		{k(l.CallReceived(1, at(43, false))), []ListOutput{updated(balancer.UpdateIncremental, at(43, false))}},
		{k(l.CallReceived(1, at(7, true))), []ListOutput{updated(balancer.UpdateFull, at(7, true))}},
		{k(l.CallReceived(1, at(44, false))), []ListOutput{updated(balancer.UpdateIncremental, at(44, false))}},
		{k(l.Watch()), []ListOutput{ends(1), starts(2, 44, firstAddr)}},
		{k(l.CallReceived(1, at(50, false))), nil}, // the call was replaced
		{k(l.CallEnded(1, lost)), nil},
		{k(l.CallEnded(2, lost)), failed(backoff.CallFailed, balancer.WatchStatus{})},
		{k(l.Watch()), []ListOutput{ends(2), starts(3, 44, firstAddr)}},
		{k(l.SetAddress(firstAddr)), nil},
		{k(l.SetAddress(secondAddr)), []ListOutput{starts(4, 44, secondAddr)}},
		{k(l.CallReceived(3, at(45, false))), []ListOutput{updated(balancer.UpdateIncremental, at(45, false))}}, // accepted until the new watch is
		{k(l.CallEnded(4, lost)), failed(backoff.AddressMoved, balancer.WatchStatus{})},
		{k(l.Watch()), []ListOutput{ends(4), starts(5, 45, secondAddr)}},                                        // the decision module retries
		{k(l.CallReceived(3, at(46, false))), []ListOutput{updated(balancer.UpdateIncremental, at(46, false))}}, // the new watch is still not accepted
		{k(l.SetAddress(firstAddr)), []ListOutput{ends(3), starts(6, 46, firstAddr)}},
		{k(l.SetAddress(secondAddr)), []ListOutput{ends(5), starts(7, 46, secondAddr)}},
		{k(l.CallEnded(6, lost)), nil},
		{k(l.CallAccepted(7)), []ListOutput{accepted}},
		{k(l.SetAddress(firstAddr)), []ListOutput{starts(8, 46, firstAddr)}},
		{k(l.CallAccepted(8)), []ListOutput{ends(7), accepted}},
		{k(l.CallReceived(8, at(12, false))), []ListOutput{{Kind: ListOutOfOrder, Version: 12, KnownVersion: 46}, ends(8)}},
		{k(l.CallReceived(8, at(47, false))), nil}, // accepting it would make the next watch start after this version
		{k(l.CallIdle(8)), nil}, // the known list is incomplete
		{k(l.CallEnded(8, lost)), failed(backoff.Unreadable, balancer.WatchStatus{})},
		{k(l.Watch()), []ListOutput{ends(8), starts(9, 0, firstAddr)}},
		{k(l.CallReceived(9, at(45, true))), []ListOutput{updated(balancer.UpdateFull, at(45, true))}},
		{k(l.Fetch()), []ListOutput{{Kind: StartCall, Call: 10, Addr: firstAddr}}},
		{k(l.CallAccepted(10)), nil},
		{k(l.CallReceived(10, at(44, true))), []ListOutput{updated(balancer.UpdateIncremental, none)}}, // the watch has received a newer version
		{k(l.CallEnded(10, nil)), nil},
		{k(l.CallAccepted(9)), []ListOutput{accepted}},
		{k(l.SetAddress(secondAddr)), []ListOutput{starts(11, 45, secondAddr)}},
		{k(l.CallEnded(9, silence)), []ListOutput{{
			Kind: ListUpdate, Update: balancer.UpdateFailed,
			Watch: balancer.WatchStatus{End: backoff.WatchSilent, SilentFor: time.Second, Replaced: true},
		}}}, // the former watch was silent
		{k(l.CallAccepted(11)), []ListOutput{accepted}},
		{k(l.CallEnded(11, silence)), failed(backoff.WatchSilent, balancer.WatchStatus{SilentFor: time.Second})},
		{k(l.Watch()), []ListOutput{ends(11), starts(12, 45, secondAddr)}},
		{k(l.CallAccepted(12)), []ListOutput{accepted}},
		{k(l.CallEnded(12, lost)), failed(backoff.WatchLost, balancer.WatchStatus{})},
		{k(l.CallIdle(12)), nil}, // the call has ended
	} {
		require.ElementsMatch(t, c.want, c.got, i)
	}
}
