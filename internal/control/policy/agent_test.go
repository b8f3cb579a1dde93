package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/lease"
)

// TestAgentActivePolicyAndAnswer checks on which policy an agent acts during a change, with and without a lease, which
// voters it notifies of its answer, and that it rejects a document that its settings do not allow.
func TestAgentActivePolicyAndAnswer(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	a, m := NewAgent(testSettings(), Times{FloorValidity: time.Minute}), NewStateMachine()
	active := func(d time.Duration, s lease.Standing) string {
		policy := a.Active(at(d), s)
		return fmt.Sprint(policy.Mode, " ", policy.Version)
	}
	learn := func(data []byte) { m.Apply(0, data); a.Learn(m) }
	require.Equal(t, "bottom 0", active(0, lease.New))
	require.Equal(t, "full 0", active(0, lease.Full))
	require.Empty(t, a.VotersToNotify(at(0), []int{1}))
	learn(proposal(t, "a", 1))
	require.Equal(t, []int{1, 2}, a.VotersToNotify(at(0), []int{1, 2}))
	a.Acknowledged(2, a.EncodedAnswer())
	a.Acknowledged(1, Answer{Version: 9}.Encode()) // an answer to another change
	require.Empty(t, a.VotersToNotify(at(time.Millisecond), []int{1, 2}), "the retry interval has not passed")
	require.Equal(t, []int{1}, a.VotersToNotify(at(time.Second), []int{1, 2}))
	require.Equal(t, "full 0", active(999*time.Millisecond, lease.Full))
	require.Equal(t, "floor 0", active(time.Second, lease.Full), "the agent has promised not to act on the former version")
	learn(marshal(record{Kind: kindPostponed, Version: 1, EffectiveAt: time.Hour + 2*time.Second}))
	require.Equal(t, "full 0", active(time.Second, lease.Full))
	learn(marshal(record{Kind: kindActivated, Version: 1}))
	require.Equal(t, "full 0", active(time.Second, lease.Full))
	require.Equal(t, "floor 0", active(time.Second, lease.Floor))
	require.Equal(t, "full 1", active(2*time.Second, lease.Full))
	require.Equal(t, "full 1", active(time.Second, lease.Full), "a version stays effective after the clock is set back")
	require.Equal(t, "floor 1", active(30*time.Second, lease.Floor))
	require.Equal(t, "bottom 0", active(2*time.Minute, lease.Floor))
	effect := a.Active(at(time.Minute), lease.Full).Effect
	require.Same(t, effect, a.Active(at(time.Minute), lease.Full).Effect)

	narrow := testSettings()
	narrow.Settings.Classes = narrow.Settings.Classes[:1]
	rejecting := NewAgent(narrow, Times{})
	bad, _ := EncodeProposal(Proposal{
		ID: "b", BaseVersion: 1, Now: 2 * time.Hour, EffectiveAt: 2 * time.Hour,
		Document: []byte("format = 1\n[floor]\nattempts = 1\n[classes.book]\nattempts = 2"),
	})
	m.Apply(0, bad)
	rejecting.Learn(m)
	answer, ok := DecodeAnswer(rejecting.EncodedAnswer())
	require.True(t, ok)
	require.Equal(t, Answer{Version: 2, Code: UnknownClass, Text: "not in the settings: class book"}, answer)
	m.Apply(0, marshal(record{Kind: kindActivated, Version: 2})) // as if it had been down at the activation
	rejecting.Learn(m)
	require.False(t, rejecting.IsUsable())
	require.Equal(t, ModeFloor, rejecting.Active(at(3*time.Hour), lease.Full).Mode)
}

// TestContractsAndCapacitiesApplyWithinTheFloor checks that a version's contracts and capacities apply with and without a
// lease, and also after a change of settings that cannot use the document. The lowest floor and version 0 have none.
func TestContractsAndCapacitiesApplyWithinTheFloor(t *testing.T) {
	at := lease.ClockReading{Unix: 2 * time.Hour, Mono: time.Hour}
	m := NewStateMachine()
	apply := func(document string) {
		data, err := EncodeProposal(Proposal{ID: "a", Now: time.Hour, EffectiveAt: time.Hour, Document: []byte("format = 1\n" + document)})
		require.NoError(t, err)
		m.Apply(0, data)
	}
	learned, started := NewAgent(testSettings(), Times{}), NewAgent(testSettings(), Times{})
	require.Zero(t, learned.Active(at, lease.Full).Effect.Capacity)
	apply("[contracts.east]\nzone = 'UTC'\nhours = ['mon 01:00-02:00']\nkeep = 0.8\n[capacity]\nkinds = {lent = 2}\nservers = {a = 3}")
	learned.Learn(m) // checks the document while the change is open
	m.Apply(0, marshal(record{Kind: kindActivated, Version: 1}))
	for _, a := range []*Agent{learned, started} {
		a.Learn(m)
		for _, standing := range []lease.Standing{lease.Full, lease.Floor} {
			e := a.Active(at, standing).Effect
			require.InDelta(t, 0.8, e.Contracts["east"].KeptCapacity(), 0)
			require.Nil(t, e.Contracts["west"])
			require.Equal(t, []float64{3, 2, 1}, []float64{e.Capacity.Of("a", "lent"), e.Capacity.Of("b", "lent"), e.Capacity.Of("b", "")})
		}
		narrow := testSettings()
		narrow.Settings.Tenants = nil
		a.SetLocalSettings(narrow)
		require.Equal(t, ModeFloor, a.Active(at, lease.Full).Mode)
		require.Contains(t, a.Active(at, lease.Full).Effect.Contracts, "east")
		require.Nil(t, a.Active(at, lease.New).Effect.Contracts)
	}
}
