package policy

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/lease"
)

// TestProposer: when a change is activated, postponed or abandoned.
func TestProposer(t *testing.T) {
	at := func(d time.Duration) lease.ClockReading {
		return lease.ClockReading{Unix: time.Hour + d, Mono: time.Hour + d}
	}
	yes := Answer{Version: 1}.Encode()
	for name, c := range map[string]struct {
		note   []byte
		voters []int
		since  time.Duration // of the voters
		floor  int
		at     time.Duration
		want   []recordKind
	}{
		"all have reported":       {yes, []int{3}, -time.Minute, 2, 0, []recordKind{kindActivated}},
		"one has not":             {yes, []int{3, 4}, -time.Minute, 2, 0, nil},
		"one has not in time":     {yes, []int{3, 4}, -time.Minute, 2, 700 * time.Millisecond, []recordKind{kindPostponed}},
		"late":                    {yes, []int{3}, -time.Minute, 2, 700 * time.Millisecond, []recordKind{kindPostponed, kindActivated}},
		"the voters just changed": {yes, []int{3}, -time.Second, 2, 0, nil},
		"nobody knows the voters": {yes, nil, 0, 2, 0, nil},
		"at the fence":            {yes, []int{3, 4}, 0, 2, 6 * time.Second, []recordKind{kindPostponed, kindActivated}},
		"not checked here":        {nil, []int{3}, -time.Minute, 2, 0, nil},
		"not usable here":         {Answer{Version: 1, Code: BelowFloor}.Encode(), []int{3}, -time.Minute, 2, 0, []recordKind{kindAbandoned}},
	} {
		t.Run(name, func(t *testing.T) {
			m, proposer := NewStateMachine(), NewProposer(3, Times{})
			if c.voters != nil {
				proposer.SetVoters(at(c.since-time.Minute), c.voters, 1)
				proposer.SetVoters(at(c.since), c.voters, 2)
			}
			m.Apply(0, change(t, "a", c.floor))
			m.Apply(0, marshal(record{Kind: kindPromised, Version: 1, Agent: 3}))
			proposer.Learn(at(0), m, c.note)
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
