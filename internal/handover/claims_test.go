package handover

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A release reaches the previous process before a later claim of the same id, and each claim gets its own result, in
// whatever order they come.
func TestClaimsInOrder(t *testing.T) {
	sent := make(chan Notification)
	c := NewClaimant(func(n Notification) { sent <- n })
	first, second := c.Claim("a"), c.Claim("b")
	c.Release("a")
	again := c.Claim("a")
	require.Equal(t, Notification{Claim: &Claim{Number: 1, ID: "a"}}, <-sent)
	require.Equal(t, Notification{Claim: &Claim{Number: 2, ID: "b"}}, <-sent)
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
