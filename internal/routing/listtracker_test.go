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
	updated := func(kind balancer.UpdateKind, c protocol.EndpointList, w balancer.WatchStatus) ListOutput {
		return ListOutput{Kind: ListUpdate, Update: kind, List: c, DiscoveryList: c, Watch: w, Confirms: true}
	}
	reported := func(w balancer.WatchStatus) ListOutput {
		return ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Watch: w}
	}
	watch, other := balancer.WatchStatus{}, balancer.WatchStatus{OtherCall: true}
	accepted, moved := reported(balancer.WatchStatus{Opened: true}), reported(balancer.WatchStatus{AddressChanged: true})
	idle, keptAlive := accepted, reported(watch)
	idle.Confirms, keptAlive.Confirms = true, true
	ends := func(call int) ListOutput { return ListOutput{Kind: EndCall, Call: call} }
	l := NewListTracker(firstAddr, protocol.EndpointList{Version: 41}, nil)
	k := slices.Clone[[]ListOutput]
	incremental, full := balancer.UpdateIncremental, balancer.UpdateFull
	for i, c := range []struct{ got, want []ListOutput }{
		{k(l.Watch()), []ListOutput{starts(1, 41, firstAddr)}},
		{k(l.CallAccepted(1)), []ListOutput{accepted}},
		{k(l.Watch()), []ListOutput{accepted}}, // an accepted watch is not replaced
		{k(l.CallIdle(1)), []ListOutput{idle}},
		{k(l.CallIdle(7)), nil},
		{k(l.CallKeptAlive(7)), nil},
		{k(l.CallKeptAlive(1)), []ListOutput{keptAlive}},
		{k(l.CallKeptAlive(1)), nil}, // reported once
		{k(l.CallReceived(1, at(43, false))), []ListOutput{updated(incremental, at(43, false), watch)}},
		{k(l.CallReceived(1, at(7, true))), []ListOutput{updated(full, at(7, true), watch)}},
		{k(l.CallReceived(1, at(44, false))), []ListOutput{updated(incremental, at(44, false), watch)}},
		{k(l.CallEnded(1, lost)), failed(backoff.WatchLost, watch)},
		{k(l.CallEnded(1, lost)), nil}, // reported once
		{k(l.Watch()), []ListOutput{starts(2, 44, firstAddr)}},
		{k(l.Watch()), []ListOutput{ends(2), starts(3, 44, firstAddr)}},
		{k(l.CallReceived(2, at(50, false))), nil}, // the call was replaced
		{k(l.CallKeptAlive(2)), nil},
		{k(l.CallAccepted(2)), nil},
		{k(l.CallEnded(2, lost)), nil},
		{k(l.CallEnded(3, lost)), failed(backoff.CallFailed, watch)},
		{k(l.Watch()), []ListOutput{starts(4, 44, firstAddr)}},
		{k(l.SetAddress(firstAddr)), nil},
		{k(l.SetAddress(secondAddr)), []ListOutput{starts(5, 44, secondAddr), moved}},
		{k(l.CallAccepted(4)), nil},                                                                              // the former one, which is still accepted
		{k(l.CallReceived(4, at(45, false))), []ListOutput{updated(incremental, at(45, false), other)}},          // and received
		{k(l.CallReceived(4, at(44, false))), []ListOutput{{Kind: ListOutdated, Version: 44, KnownVersion: 45}}}, // unless it is older
		{k(l.CallReceived(4, at(44, true))), []ListOutput{{Kind: ListOutdated, Version: 44, KnownVersion: 45}}},
		{k(l.CallEnded(5, lost)), failed(backoff.AddressMoved, watch)},
		{k(l.Watch()), []ListOutput{starts(6, 45, secondAddr)}},                                         // the decision module retries
		{k(l.CallReceived(4, at(46, false))), []ListOutput{updated(incremental, at(46, false), other)}}, // the new watch has not received anything
		{k(l.SetAddress(firstAddr)), []ListOutput{ends(6), starts(7, 46, firstAddr), moved}},            // the accepted watch is kept
		{k(l.SetAddress(secondAddr)), []ListOutput{ends(7), starts(8, 46, secondAddr), moved}},
		{k(l.CallEnded(7, lost)), nil},
		{k(l.CallAccepted(8)), []ListOutput{accepted}},
		{k(l.CallIdle(8)), []ListOutput{idle}},
		{k(l.CallReceived(4, at(47, false))), []ListOutput{updated(incremental, at(47, false), other)}}, // still
		{k(l.CallKeptAlive(8)), []ListOutput{ends(4), keptAlive}},
		{k(l.CallEnded(4, lost)), nil},
		{k(l.SetAddress(firstAddr)), []ListOutput{starts(9, 47, firstAddr), moved}},
		{k(l.CallAccepted(9)), []ListOutput{accepted}},
		{k(l.CallReceived(9, at(48, false))), []ListOutput{ends(8), updated(incremental, at(48, false), watch)}},
		{k(l.CallReceived(9, at(12, false))), []ListOutput{{Kind: ListOutOfOrder, Version: 12, KnownVersion: 48}, ends(9)}},
		{k(l.CallReceived(9, at(49, false))), nil}, // accepting it would make the next watch start after this version
		{k(l.CallIdle(9)), nil},                    // the known list is incomplete
		{k(l.CallKeptAlive(9)), nil},
		{k(l.CallEnded(9, lost)), failed(backoff.Unreadable, watch)},
		{k(l.Watch()), []ListOutput{starts(10, 0, firstAddr)}},
		{k(l.CallReceived(10, at(45, true))), []ListOutput{updated(full, at(45, true), watch)}},
		{k(l.Fetch()), []ListOutput{{Kind: StartCall, Call: 11, Addr: firstAddr}}},
		{k(l.CallAccepted(11)), nil},
		{k(l.CallReceived(11, at(44, true))), nil}, // the watch has received a newer version
		{k(l.CallReceived(11, at(45, true))), []ListOutput{updated(full, at(45, true), other)}},
		{k(l.CallEnded(11, nil)), nil},
		{k(l.CallAccepted(10)), []ListOutput{accepted}},
		{k(l.SetAddress(secondAddr)), []ListOutput{starts(12, 45, secondAddr), moved}},
		{k(l.CallEnded(10, silence)), failed(backoff.WatchSilent, balancer.WatchStatus{SilentFor: time.Second, OtherCall: true})}, // the former watch was silent
		{k(l.CallAccepted(12)), []ListOutput{accepted}},
		{k(l.CallEnded(12, silence)), failed(backoff.WatchSilent, balancer.WatchStatus{SilentFor: time.Second})},
		{k(l.Watch()), []ListOutput{starts(13, 45, secondAddr)}},
		{k(l.CallAccepted(13)), []ListOutput{accepted}},
		{k(l.SetAddress(firstAddr)), []ListOutput{starts(14, 45, firstAddr), moved}},
		{k(l.CallEnded(13, lost)), failed(backoff.WatchLost, other)}, // the former watch ended before the new one was accepted
		{k(l.SetAddress(secondAddr)), []ListOutput{starts(15, 45, secondAddr), moved}},
		{k(l.SetAddress(firstAddr)), []ListOutput{ends(14), starts(16, 45, firstAddr), moved}}, // of two that are not accepted, the later one is kept
		{k(l.CallAccepted(16)), []ListOutput{accepted}},
		{k(l.CallEnded(16, lost)), failed(backoff.WatchLost, watch)},
		{k(l.CallIdle(16)), nil}, // the call has ended
		{k(l.CallKeptAlive(16)), nil},
	} {
		require.ElementsMatch(t, c.want, c.got, i)
	}
}
