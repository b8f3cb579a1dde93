package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/replica"
)

// An agent that starts reports that it has caught up only when it has all records, also if no voter is reachable. It does
// not catch up while no reachable agent is trusted, and after the deadline it is Late or, without any reply, Alone.
func TestCatchUp(t *testing.T) {
	set := Settings{BytesPerSecond: 1 << 20}
	l := newLab(1, 12, faultsOf(0.1), set)
	for range 130 {
		l.commit(300)
	}
	require.Less(t, l.runUntilEqual(12, time.Minute), 10*time.Second)
	l.Run(l.Now() + 5*time.Second)
	for v := range voters { // no voter is reachable
		for a := range 12 {
			l.SetCut(v, a, true)
		}
	}
	for a := voters; a < 11; a++ {
		l.agents[a].SetTrust(Untrusted)
	}
	l.restart(11)
	l.Run(l.Now() + 1500*time.Millisecond)
	require.Equal(t, Asking, l.agents[11].CatchUpState(l.SteadyTime(11)))
	for a := voters; a < 11; a++ {
		l.agents[a].SetTrust(Trusted)
	}
	l.Run(l.Now() + 30*time.Second)
	require.Equal(t, CaughtUp, l.agents[11].CatchUpState(l.SteadyTime(11)))
	require.Equal(t, l.committed.Last(), l.logs[11].Last())
	require.Positive(t, l.agents[11].Stats().Snapshots)

	l.restart(11)
	l.agents[11].Step(l.SteadyTime(11), 0, encode(kindDigest, digest{Epoch: 1, Trusted: true, AnswerTo: 1}))
	require.Equal(t, Asking, l.agents[11].CatchUpState(l.SteadyTime(11)), "a reply to a request of an earlier process does not count")
	for a := voters; a < 12; a++ {
		l.restart(a)
		l.SetCut(a, 11, true)
	}
	l.Run(l.Now() + 4*time.Second)
	require.Equal(t, Late, l.agents[5].CatchUpState(l.SteadyTime(5)))
	require.Equal(t, Alone, l.agents[11].CatchUpState(l.SteadyTime(11)))
	for v := range voters {
		l.SetCut(v, 5, false)
	}
	l.Run(l.Now() + 10*time.Second)
	require.Equal(t, CaughtUp, l.agents[5].CatchUpState(l.SteadyTime(5)))
	require.Equal(t, l.committed.Last(), l.logs[5].Last())
}

// A false trusted reply, with a position that no agent has, delays catching up only until the replies are discarded.
func TestFalseTrustedReplyOnlyDelaysCatchUp(t *testing.T) {
	replicator := New(Settings{Agents: 9, Self: 1, Voters: []int{0}, Seed: 1}, newLog(replica.Limits{}), 0)
	reply := func(now time.Duration, from int, seq uint64) {
		replicator.Step(now, from, encode(kindDigest, digest{
			Epoch: 1, Seq: seq, Sum: replica.InitialSnapshot(1).Sum,
			AnswerTo: replicator.catchUp.requestID, Trusted: true,
		}))
	}
	reply(0, 5, 1<<60)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		replicator.Tick(now)
		reply(now, 0, 0)
	}
	require.Equal(t, CaughtUp, replicator.CatchUpState(time.Minute))
}
