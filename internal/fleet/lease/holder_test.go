package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/replica"
)

// TestHolder checks which grants count as a lease and until when.
func TestHolder(t *testing.T) {
	bothAt := func(s float64) ClockReading { // with both clocks
		return ClockReading{Unix: 1e6*time.Second + time.Duration(s*1e9), Mono: time.Duration(s * 1e9)}
	}
	h := NewHolder(HolderSettings{Self: 1, Incarnation: 3, Voters: []int{4}, Seed: 9}, bothAt(0))
	require.Equal(t, New, h.Standing(bothAt(0)))
	to, r, send := h.Tick(bothAt(0.5))
	require.True(t, send)
	h.HandleGrant(bothAt(0.6), to+1, Grant{Nonce: r.Nonce})
	h.HandleGrant(bothAt(0.6), to, Grant{Nonce: r.Nonce + 1})
	require.Equal(t, New, h.Standing(bothAt(0.6)), "from another voter, for another request")
	h.HandleGrant(bothAt(0.6), to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 5})
	require.Equal(t, New, h.Standing(bothAt(0.7)), "not applied")
	h.SetApplied(replica.Position{Epoch: 1, Seq: 5})
	require.Equal(t, Full, h.Standing(bothAt(4.4)))
	setForward := bothAt(0.7)
	setForward.Unix += 5 * time.Second
	require.Equal(t, Floor, h.Standing(setForward), "a clock was set forward")
	require.Equal(t, Floor, h.Standing(bothAt(0.7)), "and back: an expired lease does not come back")

	_, r, send = h.Tick(bothAt(5))
	require.True(t, send)
	setBack := bothAt(8.9)
	setBack.Unix -= time.Hour
	h.HandleGrant(setBack, to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 4})
	require.Equal(t, Full, h.Standing(setBack), "a clock that was set back does not count")
	setBack.Mono += 200 * time.Millisecond
	require.Equal(t, Floor, h.Standing(setBack))
	_, r, _ = h.Tick(bothAt(10))
	h.HandleGrant(bothAt(14), to, Grant{Nonce: r.Nonce, Epoch: 1, Seq: 4})
	require.Equal(t, HolderStats{Requests: 3, Granted: 2, Late: 1, Unmatched: 2}, h.Stats())
}

// A voter is waited for as long as replies take, and the voters count as unreachable after as many requests as the
// known loss explains, not before.
func TestRetrySchedule(t *testing.T) {
	for _, lost := range []int{0, 2} { // requests that are lost before each one that is answered
		h := NewHolder(HolderSettings{Voters: []int{4, 5, 6}, Seed: 9}, ClockReading{})
		now := ClockReading{}
		request := func() (int, Request, time.Duration) {
			since := now.Mono
			now.Mono = h.Next()
			now.Unix = now.Mono
			to, r, send := h.Tick(now)
			require.True(t, send)
			return to, r, now.Mono - since
		}
		request()
		_, _, first := request()
		require.Greater(t, first, 200*time.Millisecond, "no reply came yet")
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

// An older grant never replaces a newer one, nor one of an earlier epoch one of a later.
func TestGrantsOutOfOrder(t *testing.T) {
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
	behind, isBehind := h.Behind()
	require.True(t, isBehind && behind.Seq == 6 && h.Holds(at(5.9)) && !h.Holds(at(6)), "the former grant holds until it expires")

	rejected := request(4)
	before := h.nextRequest
	h.HandleGrant(at(4), 4, Grant{Nonce: rejected.Nonce, Rejected: true})
	require.Equal(t, before, h.nextRequest, "the only voter is not asked again at once after it rejected")
}

func at(s float64) ClockReading { return ClockReading{Mono: time.Duration(s * 1e9)} }
