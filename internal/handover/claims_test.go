package handover

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A release reaches the previous process before a later claim of the same id, and each claim gets its own result, in
// whatever order they come.
func TestClaimsInOrder(t *testing.T) {
	sent := make(chan Notification)
	c := NewClaimant(func(n Notification) { sent <- n })
	first, second := c.Claim("a"), c.Claim("b")
	require.Equal(t, Notification{Claim: &Claim{Number: 1, ID: "a"}}, <-sent)
	require.Equal(t, Notification{Claim: &Claim{Number: 2, ID: "b"}}, <-sent)
	c.Release("a")
	again := c.Claim("a")
	require.Equal(t, Notification{Release: "a"}, <-sent)
	require.Equal(t, Notification{Claim: &Claim{Number: 3, ID: "a"}}, <-sent)
	c.Resolve(ClaimResult{Number: 2, InUse: true})
	c.Resolve(ClaimResult{Number: 2}) // ignored
	c.Resolve(ClaimResult{Number: 1})
	require.True(t, <-second)
	require.False(t, <-first)
	c.End()
	_, isAnswered := <-again
	require.False(t, isAnswered, "the previous process has ended")
	_, isAnswered = <-c.Claim("c")
	require.False(t, isAnswered)
	c.Release("c")
}

// While the previous process takes nothing, what waits for it does not grow with the requests that were answered.
func TestUnsentClaimIsWithdrawn(t *testing.T) {
	sent := make(chan Notification)
	c := NewClaimant(func(n Notification) { sent <- n })
	defer c.End()
	c.Claim("first") // is being sent
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return len(c.queue) == 0
	}, time.Second, time.Millisecond)
	for range 1000 {
		c.Claim("a")
		c.Release("a")
	}
	require.Len(t, c.waiting, 1)
	c.Claim("last")
	require.Equal(t, Notification{Claim: &Claim{Number: 1, ID: "first"}}, <-sent)
	require.Equal(t, Notification{Claim: &Claim{Number: 1002, ID: "last"}}, <-sent)
}
