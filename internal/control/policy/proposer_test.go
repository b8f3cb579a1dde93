package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/lease"
)

// TestProposerEndsOpenChange checks when a change is activated, postponed or abandoned, depending on the local answer, the
// voters and the time, and that the same records are not proposed again at once.
func TestProposerEndsOpenChange(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	accepting := Answer{Version: 1}.Encode()
	for name, c := range map[string]struct {
		answer   []byte // of the agent in the same process
		voters   []int
		since    time.Duration // last change of the voters
		attempts int           // in the document's floor
		at       time.Duration
		want     []recordKind
	}{
		"all have reported":       {accepting, []int{3}, -time.Minute, 2, 0, []recordKind{kindActivated}},
		"one has not reported":    {accepting, []int{3, 4}, -time.Minute, 2, 0, nil},
		"one is not in time":      {accepting, []int{3, 4}, -time.Minute, 2, 700 * time.Millisecond, []recordKind{kindPostponed}},
		"late":                    {accepting, []int{3}, -time.Minute, 2, 700 * time.Millisecond, []recordKind{kindPostponed, kindActivated}},
		"the voters just changed": {accepting, []int{3}, -time.Second, 2, 0, nil},
		"nobody knows the voters": {accepting, nil, 0, 2, 0, nil},
		"at the fence":            {accepting, []int{3, 4}, 0, 2, 6 * time.Second, []recordKind{kindPostponed, kindActivated}},
		"not checked here":        {nil, []int{3}, -time.Minute, 2, 0, nil},
		"not usable here":         {Answer{Version: 1, Code: BelowFloor}.Encode(), []int{3}, -time.Minute, 2, 0, []recordKind{kindAbandoned}},
	} {
		t.Run(name, func(t *testing.T) {
			m, proposer := NewStateMachine(), NewProposer(3, Times{})
			if c.voters != nil {
				proposer.SetVoters(at(c.since-time.Minute), c.voters, 1)
				proposer.SetVoters(at(c.since), c.voters, 2)
			}
			m.Apply(0, proposal(t, "a", c.attempts))
			m.Apply(0, marshal(record{Kind: kindPromised, Version: 1, Agent: 3}))
			proposer.Learn(at(0), m, c.answer)
			records, next := proposer.Due(at(c.at))
			require.Greater(t, next, at(c.at).Mono)
			var kinds []recordKind
			for _, data := range records {
				var r record
				require.NoError(t, decoding.Unmarshal(data, &r))
				kinds = append(kinds, r.Kind)
			}
			require.Equal(t, c.want, kinds)
			again, _ := proposer.Due(at(c.at))
			require.Empty(t, again)
		})
	}
}
