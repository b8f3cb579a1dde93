package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/replica"
)

// TestHolderCountsLeaseFromRequest checks which grants count as a lease and until when.
func TestHolderCountsLeaseFromRequest(t *testing.T) {
	bothAt := func(s float64) ClockReading { // a reading of both clocks
		return ClockReading{Unix: 1e6*time.Second + time.Duration(s*1e9), Mono: time.Duration(s * 1e9)}
	}
	h := NewHolder(HolderSettings{Self: 1, Incarnation: 3, Voters: []int{4}, Seed: 9}, bothAt(0))
	require.Equal(t, New, h.Standing(bothAt(0)))
	to, r, send := h.Tick(bothAt(0.5))
	require.True(t, send)
	h.HandleGrant(bothAt(0.6), to+1, Grant{Nonce: r.Nonce})
	h.HandleGrant(bothAt(0.6), to, Grant{Nonce: r.Nonce + 1})
	require.Equal(t, New, h.Standing(bothAt(0.6)), "replies of another voter or to another request are ignored")
	h.HandleGrant(bothAt(0.6), to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 5})
	require.Equal(t, New, h.Standing(bothAt(0.7)), "the position of the grant is not applied yet")
	h.SetApplied(replica.Position{Epoch: 1, Seq: 5})
	require.Equal(t, Full, h.Standing(bothAt(4.4)))
	setForward := bothAt(0.7)
	setForward.Unix += 5 * time.Second
	require.Equal(t, Floor, h.Standing(setForward), "a Unix clock that is set forward ends the lease")
	require.Equal(t, Floor, h.Standing(bothAt(0.7)), "an expired lease stays expired after the clock is set back")

	_, r, send = h.Tick(bothAt(5))
	require.True(t, send)
	setBack := bothAt(8.9)
	setBack.Unix -= time.Hour
	h.HandleGrant(setBack, to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 4})
	require.Equal(t, Full, h.Standing(setBack), "a Unix clock that is set back does not extend or end the lease")
	setBack.Mono += 200 * time.Millisecond
	require.Equal(t, Floor, h.Standing(setBack))
	_, r, _ = h.Tick(bothAt(10))
	h.HandleGrant(bothAt(14), to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 4})
	require.Equal(t, HolderStats{Requests: 3, Granted: 2, Late: 1, Unmatched: 2}, h.Stats())
}

// TestRetryScheduleFollowsLossAndRoundTrip checks that the delay of the first requests follows the round trip, and that
// the voters count as unreachable only after more lost requests than the known loss explains.
func TestRetryScheduleFollowsLossAndRoundTrip(t *testing.T) {
	for _, lost := range []int{0, 2} { // number of lost requests before each answered one
		h := NewHolder(HolderSettings{Voters: []int{4, 5, 6}, Seed: 9}, ClockReading{})
		now := ClockReading{}
		request := func() (int, Request, time.Duration) {
			previous := now.Mono
			now.Mono = h.Next()
			now.Unix = now.Mono
			to, r, send := h.Tick(now)
			require.True(t, send)
			return to, r, now.Mono - previous
		}
		request()
		_, _, first := request()
		require.Greater(t, first, 200*time.Millisecond, "the round trip is not known yet")
		for range 60 {
			for range lost {
				request()
			}
			to, r, _ := request()
			now.Mono, now.Unix = now.Mono+5*time.Millisecond, now.Unix+5*time.Millisecond
			h.HandleGrant(now, to, Grant{Nonce: r.Nonce})
		}
		var waits []time.Duration
		request()
		for range 40 {
			_, _, wait := request()
			waits = append(waits, wait)
		}
		require.Less(t, waits[0]+waits[1]+waits[2], 150*time.Millisecond)
		eager := 0
		for eager < len(waits) && waits[eager] < 300*time.Millisecond {
			eager++
		}
		require.InDelta(t, 16+6*lost, eager, 1, "lost %d", lost)
		require.Greater(t, waits[39], 1700*time.Millisecond)
	}
}

// TestOlderGrantDoesNotReplaceNewer checks that an older grant does not replace a newer one, and that a grant of an
// earlier epoch is ignored.
func TestOlderGrantDoesNotReplaceNewer(t *testing.T) {
	h := NewHolder(HolderSettings{Voters: []int{4}, Seed: 9}, ClockReading{})
	h.SetApplied(replica.Position{Epoch: 2, Seq: 5})
	request := func(s float64) Request {
		h.nextRequest = 0
		_, r, _ := h.Tick(at(s))
		return r
	}
	first, second, third := request(1), request(2), request(2.5)
	h.HandleGrant(at(2.6), 4, Grant{Nonce: third.Nonce, Epoch: 1, Seq: 9})
	require.Equal(t, New, h.Standing(at(2.6)))
	h.HandleGrant(at(2.6), 4, Grant{Nonce: second.Nonce, Epoch: 2, Seq: 5})
	h.HandleGrant(at(2.7), 4, Grant{Nonce: first.Nonce, Epoch: 2, Seq: 5})
	require.Equal(t, 3300*time.Millisecond, h.Remaining(at(2.7)))
	h.HandleGrant(at(3), 4, Grant{Nonce: request(3).Nonce, Epoch: 2, Seq: 6})
	pending, isPending := h.PendingPosition()
	require.True(t, isPending && pending.Seq == 6 && h.Holds(at(5.9)) && !h.Holds(at(6)), "the former grant remains in effect until it expires")

	rejected := request(4)
	before := h.nextRequest
	h.HandleGrant(at(4), 4, Grant{Nonce: rejected.Nonce, Rejected: true})
	require.Equal(t, before, h.nextRequest, "the only voter gets no request at once after it rejected one")
}

// at returns a reading of the steady clock in seconds; the Unix clock stands still.
func at(s float64) ClockReading { return ClockReading{Mono: time.Duration(s * 1e9)} }
