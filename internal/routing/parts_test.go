package routing

import (
	"errors"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/outlier"
	"dunestep/internal/discovery/backoff"
	"dunestep/internal/protocol"
)

var here, there = netip.MustParseAddrPort("127.0.0.1:1"), netip.MustParseAddrPort("127.0.0.1:2")

// Connections are used again, the last one first, where they are sure to be open: not once they have stood idle,
// ended, lead to a former address, or their server has left.
func TestPool(t *testing.T) {
	p := NewPool[string](here, NewIdleLimit(0, 10*time.Second), 0) // 6 s are allowed
	begin := func(now time.Duration, reuses string, closes ...string) {
		lease, closing := p.Acquire(now)
		require.Equal(t, reuses, lease.Conn)
		require.Equal(t, reuses != "", lease.Reused)
		require.ElementsMatch(t, closes, closing)
	}
	for range 3 {
		begin(0, "")
	}
	for i, c := range []string{"a", "b", "c"} {
		require.Empty(t, p.Release(time.Duration(i), c, here, false))
	}
	begin(time.Second, "c")
	require.Empty(t, p.Release(time.Second, "c", here, false))
	due, _ := p.NextExpiry()
	require.Equal(t, 6*time.Second, due)
	require.Equal(t, []string{"a"}, p.Expire(due))
	require.Equal(t, []string{"b"}, p.ConnectionEnded("b"))
	require.Empty(t, p.ConnectionEnded("b"))
	begin(7*time.Second+1, "", "c")
	_, any := p.NextExpiry()
	require.False(t, any)
	require.Equal(t, []string{"d"}, p.Release(0, "d", here, true), "ended before it came back")
	for range 4 {
		begin(0, "")
	}
	for _, c := range []string{"e", "f", "g"} {
		p.Release(0, c, here, false)
	}
	require.Equal(t, []string{"e", "f"}, p.CloseIdleHalf())
	require.Empty(t, p.SetAddress(here))
	require.Equal(t, []string{"g"}, p.SetAddress(there))
	require.Equal(t, []string{"h"}, p.Release(0, "h", here, false))
	begin(0, "")
	begin(0, "")
	require.Empty(t, p.Release(0, "i", there, false))
	require.Equal(t, []string{"i"}, p.Retire())
	require.False(t, p.IsDone())
	require.Equal(t, []string{"j"}, p.Release(0, "j", there, false))
	require.True(t, p.IsDone())
}

// Guards against idle connections that are forgotten on the way long before the settings say, of which only the
// loss of the next route step tells: after a few losses they are not used again, until it is put to the test.
func TestForgottenConnections(t *testing.T) {
	d := newDay(deployment(), 1)
	most := d.limit.Limit()
	require.Equal(t, 9*time.Second, most)
	forgets := 20 * time.Millisecond
	d.react = func(s *attempted) reaction {
		if s.lease.Reused && s.lease.IdleFor > forgets {
			return broke(AwaitingResponse)
		}
		return whole(balancer.Served)
	}
	lost := 0
	for i := range 60 {
		n := d.arrive(fragile, string(rune('a'+i)))
		d.run(50 * time.Millisecond)
		if d.answers[n][0].Result != protocol.Served {
			require.Less(t, i, 40, "learnt by then")
			lost++
		}
	}
	require.Greater(t, lost, 2, "what was seen is all that there is to go by")
	require.LessOrEqual(t, d.limit.Limit(), 2*forgets)
	for range 600 { // half of it is forgotten every 30 s
		d.limit.Record(d.now, 0, false)
		d.now += time.Second
	}
	require.Equal(t, most, d.limit.Limit())
}

// The list on the watch: what comes of which call, and the handover to another address.
func TestList(t *testing.T) {
	cut, mute := errors.New("cut"), &SilenceError{time.Second}
	at := func(v int64, full bool) protocol.EndpointList { return protocol.EndpointList{Version: v, Full: full} }
	begins := func(call int, from int64, addr netip.AddrPort) ListOutput {
		return ListOutput{Kind: StartCall, Call: call, Addr: addr, Request: protocol.ListRequest{Watch: true, FromVersion: from}}
	}
	failed := func(call error, end backoff.CallResult, w balancer.WatchStatus) []ListOutput {
		w.End = end
		return []ListOutput{{Kind: CallFailed, Err: call}, {Kind: ListUpdate, Update: balancer.UpdateFailed, Watch: w}}
	}
	news := func(kind balancer.UpdateKind, c protocol.EndpointList) ListOutput {
		return ListOutput{Kind: ListUpdate, Update: kind, List: c, DiscoveryList: c, Confirms: c.Version > 0}
	}
	none := protocol.EndpointList{}
	takenUp := ListOutput{Kind: ListUpdate, Update: balancer.UpdateIncremental, Watch: balancer.WatchStatus{Opened: true}}
	ends := func(call int) ListOutput { return ListOutput{Kind: EndCall, Call: call} }
	l := NewListTracker(here, protocol.EndpointList{Version: 41}, nil)
	k := slices.Clone[[]ListOutput]
	for i, c := range []struct{ got, want []ListOutput }{
		{k(l.Watch()), []ListOutput{begins(1, 41, here)}},
		{k(l.CallAccepted(1)), []ListOutput{takenUp}},
		{k(l.CallIdle(1)), []ListOutput{{Kind: ListUpdate, Update: balancer.UpdateIncremental, Confirms: true}}},
		{k(l.CallIdle(7)), nil},
		{k(l.CallReceived(1, at(43, false))), []ListOutput{news(balancer.UpdateIncremental, at(43, false))}},
		{k(l.CallReceived(1, at(7, true))), []ListOutput{news(balancer.UpdateFull, at(7, true))}},
		{k(l.CallReceived(1, at(44, false))), []ListOutput{news(balancer.UpdateIncremental, at(44, false))}},
		{k(l.Watch()), []ListOutput{ends(1), begins(2, 44, here)}},
		{k(l.CallReceived(1, at(50, false))), nil}, // not waited for any more
		{k(l.CallEnded(1, cut)), nil},
		{k(l.CallEnded(2, cut)), failed(cut, backoff.CallFailed, balancer.WatchStatus{})},
		{k(l.Watch()), []ListOutput{ends(2), begins(3, 44, here)}},
		{k(l.SetAddress(here)), nil},
		{k(l.SetAddress(there)), []ListOutput{begins(4, 44, there)}},
		{k(l.CallReceived(3, at(45, false))), []ListOutput{news(balancer.UpdateIncremental, at(45, false))}}, // until the new one begins
		{k(l.CallEnded(4, cut)), failed(cut, backoff.AddressMoved, balancer.WatchStatus{})},
		{k(l.Watch()), []ListOutput{ends(4), begins(5, 45, there)}},                                          // the module tries again
		{k(l.CallReceived(3, at(46, false))), []ListOutput{news(balancer.UpdateIncremental, at(46, false))}}, // still
		{k(l.SetAddress(here)), []ListOutput{ends(3), begins(6, 46, here)}},
		{k(l.SetAddress(there)), []ListOutput{ends(5), begins(7, 46, there)}},
		{k(l.CallEnded(6, cut)), nil},
		{k(l.CallAccepted(7)), []ListOutput{takenUp}},
		{k(l.SetAddress(here)), []ListOutput{begins(8, 46, here)}},
		{k(l.CallAccepted(8)), []ListOutput{ends(7), takenUp}},
		{k(l.CallReceived(8, at(12, false))), []ListOutput{{Kind: ListOutOfOrder, Version: 12, KnownVersion: 46}, ends(8)}},
		{k(l.CallReceived(8, at(47, false))), nil}, // it would make the next watch ask for what comes after only
		{k(l.CallIdle(8)), nil}, // what it would confirm is not known
		{k(l.CallEnded(8, cut)), failed(cut, backoff.Unreadable, balancer.WatchStatus{})},
		{k(l.Watch()), []ListOutput{ends(8), begins(9, 0, here)}},
		{k(l.CallReceived(9, at(45, true))), []ListOutput{news(balancer.UpdateFull, at(45, true))}},
		{k(l.Fetch()), []ListOutput{{Kind: StartCall, Call: 10, Addr: here}}},
		{k(l.CallAccepted(10)), nil},
		{k(l.CallReceived(10, at(44, true))), []ListOutput{news(balancer.UpdateIncremental, none)}}, // the watch has told more since
		{k(l.CallEnded(10, nil)), nil},
		{k(l.CallAccepted(9)), []ListOutput{takenUp}},
		{k(l.SetAddress(there)), []ListOutput{begins(11, 45, there)}},
		{k(l.CallEnded(9, mute)), []ListOutput{{
			Kind: ListUpdate, Update: balancer.UpdateFailed,
			Watch: balancer.WatchStatus{End: backoff.WatchSilent, SilentFor: time.Second, Replaced: true},
		}}}, // the clock runs from there on
		{k(l.CallAccepted(11)), []ListOutput{takenUp}},
		{k(l.CallEnded(11, mute)), failed(mute, backoff.WatchSilent, balancer.WatchStatus{SilentFor: time.Second})},
		{k(l.Watch()), []ListOutput{ends(11), begins(12, 45, there)}},
		{k(l.CallAccepted(12)), []ListOutput{takenUp}},
		{k(l.CallEnded(12, cut)), failed(cut, backoff.WatchLost, balancer.WatchStatus{})},
		{k(l.CallIdle(12)), nil}, // it ended instead of telling
	} {
		require.ElementsMatch(t, c.want, c.got, i)
	}
}

// The shares of the descriptors hold whatever is taken in whatever order, and an eighth is always the front's.
func TestDescriptors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.IntRange(0, 80).Draw(t, "limit")
		d, total := NewDescriptors(limit), max(limit-32, 8)
		var front, upstream int
		often := rapid.IntRange(1, 9).Draw(t, "front")
		for _, who := range rapid.SliceOfN(rapid.IntRange(0, 9), 80, 200).Draw(t, "who") {
			if who < often {
				ok, full := d.AcquireDownstream()
				require.Equal(t, front < total*5/8 && front+upstream < total, ok)
				require.Equal(t, ok && front+1 > total/6 || !ok && front >= total*5/8, full)
				if ok {
					front++
				}
			} else if d.AcquireUpstream() {
				upstream++
			} else {
				require.GreaterOrEqual(t, upstream+max(front, total/8), total)
			}
			require.LessOrEqual(t, upstream+max(front, total/8), total)
			crowded, pressing := d.Pressure()
			require.Equal(t, []bool{front > total/6, front > total/4}, []bool{crowded, pressing})
		}
		for ; front > 0; front-- {
			d.ReleaseDownstream()
		}
		for ; upstream > 0; upstream-- {
			d.ReleaseUpstream()
		}
		require.Equal(t, *NewDescriptors(limit), *d)
	})
}

// A drain takes clients in for a while, waits for what is out, and is over before the agent could be killed.
func TestDrain(t *testing.T) {
	ms := time.Millisecond
	for deadline, until := range map[time.Duration][3]time.Duration{
		2500 * ms: {750 * ms, 2900 * ms, 3050 * ms},
		time.Hour: {750 * ms, 3400 * ms, 3550 * ms},
		100 * ms:  {500 * ms, 500 * ms, 650 * ms},
	} {
		d, now := NewShutdownPlan(epoch, []balancer.Class{{Deadline: deadline}, {Deadline: ms}}), epoch
		for phase, end := range until {
			if now < epoch+end { // else no time is left for it
				got, next := d.PhaseAt(now)
				require.Equal(t, ShutdownPhase(phase), got)
				require.Equal(t, epoch+end, next)
				now = next
			}
		}
		got, _ := d.PhaseAt(now)
		require.Equal(t, ShutdownOver, got)
	}
}

// An answer that has begun goes on while its booking server gives, however late, and its client takes; what ends
// it is not the booking server's fault unless it stopped itself.
func TestAnswersGoOn(t *testing.T) {
	ms := time.Millisecond
	for i, c := range []struct {
		p                 ResponseProgress
		sent, left, quiet time.Duration
		want              EndReason
		outcome           balancer.Outcome
	}{
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, ms, 999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, -999 * ms, 2999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, 1 * ms, 3001 * ms, NotEnded, 0},
		{ResponseProgress{Length: 70000, Received: 1, Receiving: 200 * ms}, 200 * ms, 0, 3001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: -1, Received: 70000, Receiving: 200 * ms}, 200 * ms, 0, 3001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: -1, Received: 70000, Receiving: 200 * ms}, 200 * ms, -999 * ms, 2999 * ms, NotEnded, 0},
		// A short one is of use in its time alone, and lost to its client half a second later.
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms}, 200 * ms, ms, 999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms}, 200 * ms, 0, 200 * ms, NotEnded, 0},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms}, 200 * ms, 0, 201 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: 65536, Received: 1, Receiving: 200 * ms}, 200 * ms, -400 * ms, 0, NotEnded, 0},
		{ResponseProgress{Length: 65536, Received: 1, Receiving: 200 * ms}, 200 * ms, -401 * ms, 0, TimedOut, balancer.TimedOut},
		// One whose length was not told may turn out to be long: what its server still gives is not cut off.
		{ResponseProgress{Length: -1, Received: 1000, Receiving: 200 * ms}, 200 * ms, -401 * ms, 2999 * ms, NotEnded, 0},
		{ResponseProgress{Length: -1, Received: 1000, Receiving: 200 * ms}, 200 * ms, -401 * ms, 3001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms, Stream: true}, 200 * ms, -999 * ms, 2999 * ms, NotEnded, 0},
		{ResponseProgress{Length: 1000, Received: 1, Receiving: 200 * ms, Stream: true}, 200 * ms, 0, 3001 * ms, TimedOut, balancer.TimedOut},
		{ResponseProgress{Length: -1, Received: 1, Receiving: time.Hour}, time.Hour, -maxLongOverrun - 1, 0, TimedOut, balancer.TimedOut},
		{
			ResponseProgress{Length: 1000, Received: 1, Receiving: 99 * ms, Blocked: 100 * ms},
			999 * ms, 0, 3001 * ms, TimedOut,
			balancer.Canceled,
		},
		{ResponseProgress{Complete: true}, 99 * ms, -time.Hour, 0, NotEnded, 0},
		{ResponseProgress{Length: -1, Received: 1, Blocked: 300 * ms}, 500 * ms, ms, 0, NotEnded, 0}, // 200 of its own and 100 more
		{ResponseProgress{Length: -1, Received: 1, Blocked: 301 * ms}, 500 * ms, ms, 0, ClientTooSlow, balancer.Canceled},
		{ResponseProgress{Length: -1, Received: 9000, Blocked: 500 * ms}, 501 * ms, ms, 0, NotEnded, 0}, // it takes a fair number
		{ResponseProgress{Length: -1, Received: 1, Blocked: 300 * ms, DelayBefore: ms}, 500 * ms, ms, 0, ClientTooSlow, balancer.Canceled},
		{ResponseProgress{Complete: true, Blocked: 900 * ms}, 500 * ms, ms, 0, NotEnded, 0},
	} {
		why := c.p.CheckLimits(c.sent, c.left, c.quiet, 100*ms)
		require.Equal(t, c.want, why, i)
		if why != NotEnded {
			require.Equal(t, c.outcome, AttemptResult{Phase: Responding, EndReason: why, Streamed: true, Progress: c.p}.Outcome(), i)
		}
	}
	require.Equal(t, balancer.Canceled, AttemptResult{Phase: AwaitingResponse, EndReason: TimedOut, Progress: ResponseProgress{Complete: true}}.Outcome())
	for saw, phase := range map[AttemptResult]outlier.Phase{
		{EndReason: TimedOut}:                         outlier.PhaseConnecting,
		{Phase: Writing, EndReason: BrokenByEndpoint}: outlier.PhaseWriting, {Phase: AwaitingResponse, EndReason: TimedOut}: outlier.PhaseAwaiting,
		{Phase: Responding, EndReason: Completed, Response: balancer.ServerError}: outlier.PhaseAwaiting, // a whole 500 is not spoilt
		{Phase: Responding, EndReason: InvalidResponse}:                           outlier.PhaseAnswering,
		{Phase: Responding, EndReason: BrokenByEndpoint}:                          outlier.PhaseAnswering,
	} {
		saw.Reused, saw.IdleFor, saw.Refused, saw.LocalFault, saw.LocalDelay = true, 1, true, true, 2
		require.Equal(t, outlier.Evidence{Phase: phase, ConnectionReused: true, IdleFor: 1, ConnectionRefused: true, LocalShortage: true, ActedLateBy: 2},
			saw.Evidence())
	}
	_, lost, counts := AttemptResult{Phase: Responding, EndReason: BrokenByEndpoint, Streamed: true}.IdleEvidence()
	require.Equal(t, []bool{false, true}, []bool{lost, counts}, "it did carry")
}
