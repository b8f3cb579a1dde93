package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/lease"
)

// TestAgent: what an agent acts on, and what it answers.
func TestAgent(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	a, m := NewAgent(own(), Times{FloorValidity: time.Minute}), NewStateMachine()
	acts := func(d time.Duration, s lease.Standing) string {
		act := a.Active(at(d), s)
		return fmt.Sprint(act.Mode, " ", act.Version)
	}
	learn := func(data []byte) { m.Apply(0, data); a.Learn(m) }
	require.Equal(t, "bottom 0", acts(0, lease.New))
	require.Equal(t, "full 0", acts(0, lease.Full))
	require.Empty(t, a.VotersToNotify(at(0), []int{1}))
	learn(change(t, "a", 1))
	require.Equal(t, []int{1, 2}, a.VotersToNotify(at(0), []int{1, 2}))
	a.Acknowledged(2, a.EncodedAnswer())
	a.Acknowledged(1, Answer{Version: 9}.Encode()) // of another change
	require.Empty(t, a.VotersToNotify(at(time.Millisecond), []int{1, 2}), "not again at once")
	require.Equal(t, []int{1}, a.VotersToNotify(at(time.Second), []int{1, 2}))
	require.Equal(t, "full 0", acts(999*time.Millisecond, lease.Full))
	require.Equal(t, "floor 0", acts(time.Second, lease.Full), "the agent has promised")
	learn(marshal(record{Kind: kindPostponed, Version: 1, EffectiveAt: time.Hour + 2*time.Second}))
	require.Equal(t, "full 0", acts(time.Second, lease.Full))
	learn(marshal(record{Kind: kindActivated, Version: 1}))
	require.Equal(t, "full 0", acts(time.Second, lease.Full))
	require.Equal(t, "floor 0", acts(time.Second, lease.Floor))
	require.Equal(t, "full 1", acts(2*time.Second, lease.Full))
	require.Equal(t, "full 1", acts(time.Second, lease.Full), "a version stays effective where the clock goes back")
	require.Equal(t, "floor 1", acts(30*time.Second, lease.Floor))
	require.Equal(t, "bottom 0", acts(2*time.Minute, lease.Floor))
	effect := a.Active(at(time.Minute), lease.Full).Effect
	require.Same(t, effect, a.Active(at(time.Minute), lease.Full).Effect)

	narrow := own()
	narrow.Settings.Classes = narrow.Settings.Classes[:1]
	b := NewAgent(narrow, Times{})
	bad, _ := EncodeProposal(Proposal{
		ID: "b", BaseVersion: 1, Now: 2 * time.Hour, EffectiveAt: 2 * time.Hour,
		Document: []byte("format = 1\n[floor]\nattempts = 1\n[classes.book]\nattempts = 2"),
	})
	m.Apply(0, bad)
	b.Learn(m)
	n, ok := DecodeAnswer(b.EncodedAnswer())
	require.True(t, ok)
	require.Equal(t, Answer{Version: 2, Code: UnknownClass, Text: "not in the settings: class book"}, n)
	m.Apply(0, marshal(record{Kind: kindActivated, Version: 2})) // while it was down, say
	b.Learn(m)
	require.False(t, b.IsUsable())
	require.Equal(t, ModeFloor, b.Active(at(3*time.Hour), lease.Full).Mode)
}

// TestContractsAndCapacitiesApplyWithinTheFloor: they are the same with a lease and without one, and where settings that
// changed later cannot use the document; the lowest floor and version 0 have none.
func TestContractsAndCapacitiesApplyWithinTheFloor(t *testing.T) {
	at := lease.ClockReading{Unix: 2 * time.Hour, Mono: time.Hour}
	m := NewStateMachine()
	apply := func(document string) {
		data, err := EncodeProposal(Proposal{ID: "a", Now: time.Hour, EffectiveAt: time.Hour, Document: []byte("format = 1\n" + document)})
		require.NoError(t, err)
		m.Apply(0, data)
	}
	learned, started := NewAgent(own(), Times{}), NewAgent(own(), Times{})
	require.Zero(t, learned.Active(at, lease.Full).Effect.Capacity)
	apply("[contracts.east]\nzone = 'UTC'\nhours = ['mon 01:00-02:00']\nkeep = 0.8\n[capacity]\nkinds = {lent = 2}\nservers = {a = 3}")
	learned.Learn(m) // checks it while it is open
	m.Apply(0, marshal(record{Kind: kindActivated, Version: 1}))
	for _, a := range []*Agent{learned, started} {
		a.Learn(m)
		for _, standing := range []lease.Standing{lease.Full, lease.Floor} {
			e := a.Active(at, standing).Effect
			require.InDelta(t, 0.8, e.Contracts["east"].KeptCapacity(), 0)
			require.Nil(t, e.Contracts["west"])
			require.Equal(t, []float64{3, 2, 1}, []float64{e.Capacity.Of("a", "lent"), e.Capacity.Of("b", "lent"), e.Capacity.Of("b", "")})
		}
		narrow := own()
		narrow.Settings.Tenants = nil
		a.SetLocalSettings(narrow)
		require.Equal(t, ModeFloor, a.Active(at, lease.Full).Mode)
		require.Contains(t, a.Active(at, lease.Full).Effect.Contracts, "east")
		require.Nil(t, a.Active(at, lease.New).Effect.Contracts)
	}
}
