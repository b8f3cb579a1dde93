package transport

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/routing"
)

// Guards against a complete request that is taken for a slow one, and its connection closed with no answer: its handler was not
// scheduled yet.
func TestCompleteRequestIsNotEvictedForMemory(t *testing.T) {
	now := time.Now()
	const header = "POST /consult HTTP/1.1\r\nContent-Length: 5\r\n\r\n"
	rankAfter := func(input string, isHeaderRead bool) evictionRank {
		began := now.Add(-time.Minute)
		c := &downstreamConn{state: connReading, stateSince: began, receivedAt: began, isHeaderRead: isHeaderRead}
		c.framing.advance([]byte(input), began)
		rank, _, _ := c.evictionCandidacy(now, true)
		return rank
	}
	require.Equal(t, notEvictable, rankAfter(header+"12345", false))
	require.Equal(t, notEvictable, rankAfter(header+"12345", true))
	require.NotEqual(t, notEvictable, rankAfter(header[:30], false))
	require.NotEqual(t, notEvictable, rankAfter(header+"123", true))
}

// What a connection holds is given back with its request's answer, and at its close.
func TestClientMemoryIsReturned(t *testing.T) {
	d := NewDescriptors(100, func() {})
	d.SetMemoryLimit(routing.ConnectionBytes * 3)
	c := &downstreamConn{conns: &downstreamConns{descriptors: d}}
	ok, _ := d.tryDownstream()
	require.True(t, ok)
	c.mu.Lock()
	c.setState(connReading)
	c.framing.advance([]byte("GET / HTTP/1.1\r\nA: "+strings.Repeat("b", 20_000)), time.Now())
	isOver := c.chargeMemory()
	c.mu.Unlock()
	require.True(t, isOver)
	require.Greater(t, d.ClientMemory(), int64(routing.ConnectionBytes+40_000))
	ok, isFull := d.tryDownstream()
	require.False(t, ok)
	require.True(t, isFull)
	c.mu.Lock()
	c.setState(connIdle)
	c.mu.Unlock()
	require.EqualValues(t, routing.ConnectionBytes, d.ClientMemory())
	d.releaseDownstream()
	require.Zero(t, d.ClientMemory())
}
