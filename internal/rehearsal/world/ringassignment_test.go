package world

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// TestRingAssignmentRun checks a run with ring assignment: agents start with settled shares by machine
// kind, new generations follow a deploy and a partition, and at the end all agents have the same one,
// without servers that are gone. The run is reproducible, and another run results without the setting.
func TestRingAssignmentRun(t *testing.T) {
	sc := deployment(40 * time.Second)
	sc.Kinds[0].Speed, sc.Kinds[1].Speed = span(2, 2), span(1, 1)
	sc.Agents.RingPlacement = true
	sc.Faults = []scenario.FaultSpec{
		{
			Kind: scenario.Deploy, At: scenario.ExactTime(5 * time.Second), For: scenario.ExactTime(4 * time.Second),
			Part: span(0.5, 0.5), Size: span(0.2, 0.2), Drain: scenario.ExactTime(3 * time.Second),
		},
		{
			Kind: scenario.Partition, At: scenario.ExactTime(8 * time.Second), For: scenario.ExactTime(5 * time.Second),
			Zone: sc.Network.Zones[1],
		},
		{Kind: scenario.AgentsKilled, At: scenario.ExactTime(12 * time.Second), For: scenario.ExactTime(2 * time.Second), Count: 1},
	}
	d := &recordingSink{}
	w, err := newRun(sc, 3, d, Options{})
	require.NoError(t, err)
	before := w.agents[0].proc.ring.Assignment(w.clockReading(), 0)
	require.Nil(t, before, "there is no assignment without a lease")
	settled := w.generations.stateMachine.State()
	require.Len(t, settled.Members, 13)
	for _, s := range w.servers {
		for _, n := range settled.Members {
			if n.ID == s.id {
				require.InDelta(t, 200*w.generations.kindCapacity[s.machine.kind], n.PointsOnRing(), 25, "settled on the kind's capacity")
			}
		}
	}
	require.NoError(t, w.run(context.Background()))
	requireBalanced(t, d)
	require.Greater(t, w.generations.stateMachine.State().Number, settled.Number+2)
	var last *balancer.RingAssignment
	for _, a := range w.agents {
		require.NotNil(t, a.proc.appliedAssignment)
		if last == nil {
			last = a.proc.appliedAssignment
		}
		require.Equal(t, last, a.proc.appliedAssignment, a.name)
	}
	for _, s := range w.servers {
		require.Equal(t, !s.leaving, last.Points[s.id] > 0, s.id)
	}
	again := play(t, sc, 3, Options{})
	require.Equal(t, len(d.events), len(again.events))
	require.Equal(t, d.ofKind(record.AttemptSent), again.ofKind(record.AttemptSent))
	sc.Agents.RingPlacement = false
	require.NotEqual(t, len(d.events), len(play(t, sc, 3, Options{}).events))
	require.Equal(t, len(d.events), len(play(t, sc, 3, Options{RingAssignment: true}).events))
}
