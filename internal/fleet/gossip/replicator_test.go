package gossip

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// TestSpreadLatencyAndIdleTraffic bounds the time until a record is at all agents, and the traffic of an idle fleet. It
// logs the table of docs/design/fleet-spread.md.
func TestSpreadLatencyAndIdleTraffic(t *testing.T) {
	for _, n := range []int{5, 50, 300, 1000} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			l := newLab(uint64(n), n, faultsOf(loss), Settings{})
			l.Run(l.Now() + 10*time.Second)
			sent, bytes := sum(l.SentMessages), sum(l.SentBytes)
			l.Run(l.Now() + 20*time.Second)
			idle, idleBytes := float64(sum(l.SentMessages)-sent)/float64(20*n), float64(sum(l.SentBytes)-bytes)/float64(20*n)
			require.Less(t, idle, 1.0)
			require.Less(t, idleBytes, 150.0)
			var took [3]time.Duration
			sent = sum(l.SentMessages)
			const commits = 3
			for range commits {
				l.commit(200)
				begin := l.Now()
				for i, count := range []int{(n + 1) / 2, (n*99 + 99) / 100, n} {
					l.runUntilEqual(count, 30*time.Second)
					took[i] = max(took[i], l.Now()-begin)
				}
				l.Run(begin + 5*time.Second)
			}
			extra := (float64(sum(l.SentMessages)-sent)/float64(n) - idle*5*commits) / commits
			t.Logf("%4d agents, loss %2.0f%%: 50%% %v, 99%% %v, all %v; idle %.2f messages/s, %.0f bytes/s; a record %.1f "+
				"messages an agent", n, loss*100, took[0], took[1], took[2], idle, idleBytes, extra)
			require.Less(t, took[2], map[float64]time.Duration{0: time.Second, 0.1: time.Second, 0.3: 1200 * time.Millisecond}[loss])
		}
	}
}

// Under loss, delays, duplicates, cuts, pauses and restarts, each replica is a prefix of the committed log. An agent that
// reports that it has caught up has all records that were committed before it started. After the faults all agents catch up
// within 5 s.
func TestReplicasUnderFaults(t *testing.T) {
	for seed := range uint64(30) {
		faults := simnet.Faults{
			Loss: 0.2, Duplicate: 0.1, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond, Late: 0.1,
			Lateness: 3 * time.Second,
		}
		l := newLab(seed, 20, faults, Settings{})
		rng, startedAt := l.Rand(), make([]uint64, 20)
		for at := l.Now(); at < time.Hour+30*time.Second; at += 100 * time.Millisecond {
			l.At(at, func() {
				if rng.IntN(2) == 0 {
					l.commit([]int{10, 100, 5000}[rng.IntN(3)])
				}
				node, other := voters+rng.IntN(15), rng.IntN(20)
				switch rng.IntN(20) {
				case 0:
					l.Pause(node, l.Now()+time.Duration(rng.Int64N(int64(5*time.Second))))
				case 1, 2, 3, 4:
					l.SetCut(node, other, rng.IntN(3) > 0)
				case 5, 6, 7, 8:
					l.SetCut(other, node, rng.IntN(3) > 0)
				case 9:
					l.restart(node)
					startedAt[node] = l.committed.Last().Seq
				}
				for a := voters; a < 20; a++ {
					state := l.agents[a].catchUp // several trusted agents may all be behind
					if state.state == CaughtUp && state.hasVoterReply && l.logs[a].Last().Seq < startedAt[a] {
						l.violation = "an agent reports that it has caught up, but lacks records"
					}
				}
			})
		}
		l.Run(time.Hour + 30*time.Second)
		l.Faults = faultsOf(0)
		for i := range 400 {
			l.SetCut(i/20, i%20, false)
		}
		l.Run(l.Now() + 5*time.Second) // pauses end
		require.Less(t, l.runUntilEqual(20, 10*time.Second), 5*time.Second, "seed %d", seed)
		require.Empty(t, l.violation, "seed %d", seed)
	}
}

// A log of a later epoch replaces the former one at every agent, while it is empty, by its records, and by its snapshot. A
// replica that differs in a record is reported, and neither replica changes.
func TestLaterEpochAndDivergence(t *testing.T) {
	for _, commits := range []int{0, 1, 130} {
		l := newLab(1, 20, faultsOf(0.1), Settings{BytesPerSecond: 1 << 20})
		for range 100 {
			l.commit(100)
		}
		require.Less(t, l.runUntilEqual(20, time.Minute), 10*time.Second)
		l.Pause(19, l.Now()+3*time.Second)
		isInstalled, err := l.committed.Install(replica.InitialSnapshot(2))
		require.True(t, isInstalled && err == nil)
		l.sums = map[uint64]uint64{}
		for v := range voters {
			l.carryOut(v, l.agents[v].RecordsAdded(l.SteadyTime(v)))
		}
		for range commits {
			l.commit(100)
		}
		require.Less(t, l.runUntilEqual(20, time.Minute), 15*time.Second, "%d records", commits)
		require.Empty(t, l.violation)
	}
	var logs []*replica.Log
	for _, data := range []string{"a", "b"} {
		logs = append(logs, newLog(replica.Limits{}))
		require.NoError(t, logs[len(logs)-1].Append(replica.Record{Seq: 1, Data: []byte(data)}))
	}
	require.NoError(t, logs[1].Append(replica.Record{Seq: 2}))
	one, two := New(Settings{Agents: 2, Seed: 1}, logs[0], 0), New(Settings{Agents: 2, Self: 1, Seed: 1}, logs[1], 0)
	before := logs[0].Last()
	out := one.Step(0, 1, encode(kindDigest, two.ownDigest()))
	require.False(t, out.HasDiverged, "a position that is ahead of the log cannot be compared by its checksum")
	out = two.Step(0, 0, out.Messages[0].Data)
	require.True(t, out.HasDiverged && out.DivergedFrom == 0)
	s, _ := logs[1].Segment(2, 100)
	out = one.Step(0, 1, encode(kindSegment, segment{
		Epoch: 1, First: 2, PriorSum: s.PriorSum, Sum: s.Sum,
		Records: s.Records, LastSeq: 2,
	}))
	require.True(t, out.HasDiverged)
	require.Equal(t, before, logs[0].Last())
}

// Arbitrary bytes, and well-formed messages with false content, cause no panic, add no records, and use no memory beyond
// the limits.
func TestArbitraryMessagesAreHarmless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newLog(replica.Limits{MaxRecords: 10, MaxRecordBytes: 5000, MaxSnapshotBytes: 5000})
		replicator := New(Settings{Agents: 20, Self: 1, Voters: []int{0}, Seed: 1}, log, 0)
		any64 := func(name string) uint64 {
			return rapid.SampledFrom([]uint64{0, 1, 2, 1 << 63, 1<<64 - 1}).Draw(t, name)
		}
		size := func(name string) int {
			return rapid.SampledFrom([]int{0, 1, 5, 4999, 5000, 5001, 1 << 62, -1}).Draw(t, name)
		}
		for i := range 60 {
			data := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "data")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				data = encode(kindDigest, digest{
					Epoch: any64("e"), Seq: any64("s"), Sum: any64("sum"),
					Question: uint32(any64("ask")), AnswerTo: replicator.catchUp.requestID, Trusted: true,
				})
			case 1:
				data = encode(kindPull, pull{
					Epoch: any64("e"), Seq: any64("s"), Sum: any64("sum"), PartialSum: any64("c"),
					Offset: size("o"),
				})
			case 2:
				data = encode(kindSegment, segment{
					Epoch: any64("e"), First: any64("f"), PriorSum: any64("p"), Sum: any64("a"),
					Records: [][]byte{data}, LastSeq: any64("l"),
				})
			case 3:
				data = encode(kindChunk, chunk{
					Snapshot: rapid.Bool().Draw(t, "snap"), Epoch: any64("e"), Seq: any64("s"),
					ItemBytes: size("size"), Offset: size("o"), Data: data, ItemSum: any64("c"), LastSeq: any64("l"),
				})
			}
			now := time.Duration(i) * 100 * time.Millisecond
			out := replicator.Step(now, rapid.IntRange(-1, 21).Draw(t, "from"), data)
			require.LessOrEqual(t, len(out.Messages), 2)
			replicator.Tick(now)
			require.LessOrEqual(t, len(replicator.aheadPeers), maxAheadPeers)
			require.LessOrEqual(t, cap(replicator.partial.data), 20000)
			require.Greater(t, replicator.Next(), now-time.Second)
			require.Zero(t, log.Last().Seq)
		}
	})
}
