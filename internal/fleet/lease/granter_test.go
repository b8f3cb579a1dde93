package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/replica"
)

// TestGranterDelaysGrantsAndRejects checks when requests wait, are granted and are rejected.
func TestGranterDelaysGrantsAndRejects(t *testing.T) {
	g := NewGranter(GranterSettings{Agents: 2})
	replies, startRead := g.HandleRequest(at(1), 1, Request{Agent: 1, Nonce: 7})
	require.True(t, startRead)
	require.Empty(t, replies, "the request waits for the leader's confirmation")
	position := replica.Position{Epoch: 1, Seq: 3}
	require.Equal(t, []Reply{{To: 1, Grant: Grant{Nonce: 7, Epoch: 1, Seq: 3}}}, g.HandleConfirmed(at(1.1), at(1), position))
	require.Len(t, g.ActiveHolders(at(5)), 1)
	require.Empty(t, g.ActiveHolders(at(5.2)))
	for _, c := range []struct {
		now        float64
		isRejected bool
		startRead  bool
	}{{1.3, false, false}, {1.9, false, true}, {2.1, true, false}, {2.6, true, true}, {4, true, true}} {
		replies, startRead = g.HandleRequest(at(c.now), 0, Request{})
		require.Equal(t, c.startRead, startRead, "%v", c.now)
		if c.now != 2.1 { // the request at 2.1 s waits for the read that was started a short while ago
			require.Equal(t, c.isRejected, replies[0].Grant.Rejected, "%v", c.now)
		} else {
			require.Empty(t, replies)
		}
	}
	require.Empty(t, g.HandleConfirmed(at(5.5), at(4), position), "the read started too long ago")
	_, _ = g.HandleRequest(at(5.6), 7, Request{Agent: 7})
	_, _ = g.HandleRequest(at(5.6), 0, Request{Agent: 1})
	require.Equal(t, uint64(2), g.Stats().Dropped)
	_ = g.HandleConfirmed(at(5.7), at(5.6), position)
	g.HandleConfirmed(at(7.5), at(7.4), position)
	require.Equal(t, uint64(3), g.Stats().Pauses)

	g = NewGranter(GranterSettings{Agents: 1, Terms: Terms{MaxPause: 200 * time.Millisecond}})
	g.HandleConfirmed(at(1), at(0.9), position)
	g.HandleConfirmed(at(1.1), at(0.5), replica.Position{Epoch: 1, Seq: 2})
	replies, _ = g.HandleRequest(at(1.2), 0, Request{})
	require.Equal(t, uint64(3), replies[0].Grant.Seq, "an older confirmation that arrives later is ignored")
	replies, _ = g.HandleRequest(at(1.5), 0, Request{})
	require.Empty(t, replies, "a position that was confirmed before a pause is not used")
}
