package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/lease"
)

// TestVoterDuringChange checks which agents are granted leases while a change is open, and when the voter reports that all
// its lease holders have promised, or that an agent rejects the change.
func TestVoterDuringChange(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	accepting, rejecting := Answer{Version: 1}.Encode(), Answer{Version: 1, Code: SharesExceedTotal, Text: "too much"}.Encode()
	newVoter := func() (*Voter, *StateMachine) { // with an open change and two lease holders
		v, m := NewVoter(3, Times{}, at(-time.Minute)), NewStateMachine()
		require.True(t, v.AllowLease(at(0), 5, 1, nil))
		require.True(t, v.AllowLease(at(0), 5, 2, nil), "a second process of the agent, as during an upgrade")
		m.Apply(0, proposal(t, "a", 2))
		v.Learn(m)
		return v, m
	}
	due := func(v *Voter, d time.Duration) (kinds []recordKind) {
		records, next := v.Due(at(d))
		require.Greater(t, next, at(d).Mono)
		for _, data := range records {
			var r record
			require.NoError(t, decoding.Unmarshal(data, &r))
			kinds = append(kinds, r.Kind)
		}
		return kinds
	}
	v, m := newVoter()
	require.False(t, v.AllowLease(at(0), 6, 1, nil), "an agent that has not applied the change")
	require.False(t, v.AllowLease(at(0), 6, 1, make([]byte, 99)))
	require.Empty(t, due(v, 0))
	v.AnswerReceived(5, 1, accepting)
	require.Empty(t, due(v, 0), "the other process has not promised")
	v.AnswerReceived(5, 2, accepting)
	require.Equal(t, []recordKind{kindPromised}, due(v, 0))
	require.Empty(t, due(v, 0), "the record was just proposed")
	m.Apply(0, marshal(record{Kind: kindPromised, Version: 1, Agent: 3}))
	v.Learn(m)
	require.Empty(t, due(v, time.Minute))

	v = NewVoter(3, Times{}, at(-time.Minute))
	require.True(t, v.AllowLease(at(0), 5, 1, nil))
	v.AnswerReceived(5, 1, accepting)
	require.True(t, v.AllowLease(at(0), 5, 1, nil), "a request from before the answer, at a voter that has not applied the change")
	m = NewStateMachine()
	m.Apply(0, proposal(t, "a", 2))
	v.Learn(m)
	require.Equal(t, []recordKind{kindPromised}, due(v, 0), "an earlier answer still counts")

	v, _ = newVoter()
	require.Empty(t, due(v, 3*time.Second))
	require.Equal(t, []recordKind{kindPromised}, due(v, 5*time.Second), "the leases have expired")
	v, _ = newVoter()
	v.ProcessStopped(5, 1)
	v.ProcessStopped(5, 2)
	require.Equal(t, []recordKind{kindPromised}, due(v, 0))
	v, _ = newVoter()
	v.startedAt = at(0)
	v.ProcessStopped(5, 1)
	v.ProcessStopped(5, 2)
	require.Empty(t, due(v, 3*time.Second), "an earlier process of the voter may have granted leases")

	v, m = newVoter()
	require.False(t, v.AllowLease(at(0), 5, 1, rejecting))
	require.Equal(t, []recordKind{kindAbandoned}, due(v, 0))
	v = NewVoter(3, Times{}, at(0))
	require.True(t, v.AllowLease(at(0), 5, 1, rejecting), "the answer is to a change that the voter has not applied yet")
	v.Learn(m)
	require.Equal(t, []recordKind{kindAbandoned}, due(v, 0))
}
