package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// lab simulates a fleet whose first five agents are voters: what is committed is in all of their logs at once.
type lab struct {
	*simnet.Network
	settings      Settings
	limits        replica.Limits
	logs          []*replica.Log
	agents        []*Replicator
	incarnations  uint64
	truth         *replica.Log
	sums          map[uint64]uint64 // of the truth by the record
	violation     string
	lastPositions []replica.Position // after the last input of each agent
}

const voters = 5

func newLab(seed uint64, agents int, faults simnet.Faults, set Settings) *lab {
	l := &lab{
		Network: simnet.NewNetwork(seed, agents, time.Hour, faults), settings: set, logs: make([]*replica.Log, agents),
		agents: make([]*Replicator, agents), truth: newLog(replica.Limits{}), sums: map[uint64]uint64{},
		lastPositions: make([]replica.Position, agents),
	}
	l.settings.Agents, l.settings.Voters = agents, []int{0, 1, 2, 3, 4}
	l.OnMessage = func(to, from int, data []byte) {
		if l.agents[to] != nil {
			l.carryOut(to, l.agents[to].Step(l.SteadyTime(to), from, data))
		}
	}
	l.OnTimer = func(node int) {
		if l.agents[node] != nil {
			l.carryOut(node, l.agents[node].Tick(l.SteadyTime(node)))
		}
	}
	for a := range agents {
		l.restart(a)
		if a < voters {
			l.agents[a].MarkCaughtUp()
		}
	}
	return l
}

func newLog(limits replica.Limits) *replica.Log {
	log, err := replica.New(replica.InitialSnapshot(1), limits)
	if err != nil {
		panic(err)
	}
	return log
}

func (l *lab) restart(a int) {
	set := l.settings
	l.incarnations++
	set.Self, set.Seed, set.NeverPull = a, l.incarnations, a < voters
	if l.logs[a] = newLog(l.limits); a < voters {
		l.logs[a] = l.truth
	}
	l.lastPositions[a] = l.logs[a].Last()
	l.agents[a] = New(set, l.logs[a], l.SteadyTime(a))
	l.SetTimer(a, l.agents[a].Next())
}

func (l *lab) carryOut(node int, out Output) {
	for _, m := range out.Messages {
		l.Send(node, m.To, m.Data)
	}
	l.SetTimer(node, l.agents[node].Next())
	if s := l.logs[node].Snapshot(); node >= voters && !out.IsRestarted && !l.lastPositions[node].Covers(s.Position()) {
		l.violation = "a state machine is not told to continue from a snapshot"
	}
	l.lastPositions[node] = l.logs[node].Last()
	l.compact(l.logs[node])
	if last := l.logs[node].Last(); last.Epoch == l.truth.Last().Epoch && last.Seq > 0 && l.sums[last.Seq] != last.Sum || out.HasDiverged {
		l.violation = "a replica is not a prefix of what was agreed"
	}
}

// compact does the state machine's part: every 40 records a snapshot that is larger than a message.
func (l *lab) compact(log *replica.Log) {
	for log.Len() >= 60 {
		seq := log.Snapshot().Seq + 40
		sum, _ := log.SumAt(seq)
		s := replica.Snapshot{Epoch: log.Last().Epoch, Seq: seq, Sum: sum, Data: slices.Repeat([]byte{byte(seq)}, 3000+int(seq))}
		if err := log.Compact(s); err != nil {
			panic(err)
		}
	}
}

func (l *lab) commit(size int) {
	seq := l.truth.Last().Seq + 1
	if err := l.truth.Append(replica.Record{Seq: seq, Data: slices.Repeat([]byte{byte(seq)}, size)}); err != nil {
		panic(err)
	}
	l.sums[seq] = l.truth.Last().Sum
	l.compact(l.truth)
	for v := range voters {
		l.carryOut(v, l.agents[v].RecordsAdded(l.SteadyTime(v)))
	}
}

// until runs until so many agents have what the voters have, for at most a time, and returns how long that took.
func (l *lab) until(count int, timeout time.Duration) time.Duration {
	for begin := l.Now(); ; l.Run(l.Now() + 10*time.Millisecond) {
		caughtUp := 0
		for _, log := range l.logs {
			if log.Last() == l.truth.Last() {
				caughtUp++
			}
		}
		if took := l.Now() - begin; caughtUp >= count || took > timeout {
			return took
		}
	}
}

func faultsOf(loss float64) simnet.Faults {
	return simnet.Faults{Loss: loss, Duplicate: loss / 10, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond}
}

// TestLatencyAndCost bounds how long a record takes to reach all agents, and what an idle fleet sends: the table of
// docs/design/fleet-spread.md.
func TestLatencyAndCost(t *testing.T) {
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
					l.until(count, 30*time.Second)
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

func sum(of []int) (n int) {
	for _, v := range of {
		n += v
	}
	return n
}

// Under loss, delays, duplicates, cuts, pauses and restarts, each replica is a prefix of what was agreed; an agent that
// reports that it has caught up has everything that was agreed before it started; and after the faults all agents catch up
// soon.
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
					startedAt[node] = l.truth.Last().Seq
				}
				for a := voters; a < 20; a++ {
					state := l.agents[a].catchUp // several trusted agents may all be behind
					if state.state == CaughtUp && state.hasVoterReply && l.logs[a].Last().Seq < startedAt[a] {
						l.violation = "an agent reports that it has caught up, and has not"
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
		require.Less(t, l.until(20, 10*time.Second), 5*time.Second, "seed %d", seed)
		require.Empty(t, l.violation, "seed %d", seed)
	}
}

// News that fits carries the records themselves. If more records are missing, or they do not fit, they are pulled, and
// pulled again soon if replies usually come soon.
func TestNewsCarriesRecords(t *testing.T) {
	announce := func(size int) (out Output, log *replica.Log) {
		log = newLog(replica.Limits{})
		s := New(Settings{Agents: 2, Seed: 1}, log, 0)
		s.MarkCaughtUp()
		for seq := range uint64(9) {
			require.NoError(t, log.Append(replica.Record{Seq: seq + 1, Data: make([]byte, size)}))
		}
		s.RecordsAdded(time.Second)
		return s.Tick(s.Next()), log
	}
	out, log := announce(60)
	require.Len(t, out.Messages, 1)
	require.LessOrEqual(t, len(out.Messages[0].Data), 200)
	for _, has := range []uint64{8, 3} {
		own := newLog(replica.Limits{})
		for seq := range has {
			require.NoError(t, own.Append(replica.Record{Seq: seq + 1, Data: make([]byte, 60)}))
		}
		s := New(Settings{Agents: 2, Self: 1, Seed: 1}, own, 0)
		s.MarkCaughtUp()
		pulled := s.Step(time.Second, 0, out.Messages[0].Data)
		if has == 8 {
			require.Equal(t, log.Last(), own.Last())
			require.Empty(t, pulled.Messages)
			continue
		}
		require.Equal(t, has, own.Last().Seq)
		require.Equal(t, byte(kindPull), pulled.Messages[0].Data[0])
		require.Equal(t, time.Second+150*time.Millisecond, s.Next(), "no reply came yet")
		s.noteRoundTrip(10 * time.Millisecond)
		again := s.Tick(s.Next())
		require.Equal(t, byte(kindPull), again.Messages[0].Data[0])
		require.Equal(t, time.Second+190*time.Millisecond, s.Next())
	}
	out, _ = announce(400)
	require.Equal(t, byte(kindDigest), out.Messages[0].Data[0])
}

// An agent that starts has everything before it reports that it has caught up, also from agents alone; a fleet in which
// nobody is trusted does not catch up, and an agent reports whether it was alone.
func TestCatchUp(t *testing.T) {
	set := Settings{BytesPerSecond: 1 << 20}
	l := newLab(1, 12, faultsOf(0.1), set)
	for range 130 {
		l.commit(300)
	}
	require.Less(t, l.until(12, time.Minute), 10*time.Second)
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
	require.Equal(t, l.truth.Last(), l.logs[11].Last())
	require.Positive(t, l.agents[11].Stats().Snapshots)

	l.restart(11)
	l.agents[11].Step(l.SteadyTime(11), 0, encode(kindDigest, digest{Epoch: 1, Trusted: true, AnswerTo: 1}))
	require.Equal(t, Asking, l.agents[11].CatchUpState(l.SteadyTime(11)), "an answer to the question of an earlier process")
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
	require.Equal(t, l.truth.Last(), l.logs[5].Last())
}

// However many agents pull, an agent serves at most its bytes per second.
func TestServingIsBounded(t *testing.T) {
	l := newLab(1, 40, faultsOf(0), Settings{BytesPerSecond: 4 << 10})
	for range 50 {
		l.commit(1000)
	}
	for range 20 {
		before := slices.Clone(l.SentBytes)
		l.Run(l.Now() + time.Second)
		for a := range before {
			require.Less(t, l.SentBytes[a]-before[a], 3*4<<10)
		}
	}
	var throttled uint64
	for _, a := range l.agents {
		throttled += a.Stats().Throttled
	}
	require.Positive(t, throttled)
	require.Less(t, l.until(40, time.Minute), time.Minute)
}

// An agent that is behind pulls at most its bytes per second, remembers a bounded number of agents, and forgets one that
// brings nothing.
func TestPullingIsBounded(t *testing.T) {
	l := newLab(1, 10, faultsOf(0), Settings{BytesPerSecond: 1 << 20})
	for range 50 {
		l.commit(1000)
	}
	l.Run(l.Now() + 5*time.Second)
	l.settings.BytesPerSecond = 5 << 10
	l.restart(9)
	require.Greater(t, l.until(10, time.Minute), 8*time.Second)

	s := New(Settings{Agents: 20, Self: 1, Seed: 1}, newLog(replica.Limits{}), 0)
	farAhead := encode(kindDigest, digest{Epoch: 1, Seq: 50})
	for from := 2; from < 15; from++ {
		s.Step(0, from, farAhead)
		require.LessOrEqual(t, len(s.aheadPeers), maxAheadPeers)
	}
	pulled := s.pullPeer
	s.Step(0, pulled, farAhead)
	s.Step(0, pulled, encode(kindSegment, segment{
		Epoch: 1, First: 1, PriorSum: replica.InitialSnapshot(1).Sum,
		Sum: replica.InitialSnapshot(1).Sum, LastSeq: 50,
	}))
	for _, p := range s.aheadPeers {
		require.NotEqual(t, pulled, p.agent)
	}
	s.Step(0, 3, encode(kindChunk, chunk{Epoch: 1, Seq: 5, ItemBytes: 100, Data: []byte{1}}))
	require.False(t, s.partial.isStarted, "it does not extend the log")
}

// A later epoch replaces the former one at every agent, also while it is empty, and by its snapshot. A replica that differs
// in a record is reported, and neither changes.
func TestLaterEpochAndDivergence(t *testing.T) {
	for _, commits := range []int{0, 1, 130} {
		l := newLab(1, 20, faultsOf(0.1), Settings{BytesPerSecond: 1 << 20})
		for range 100 {
			l.commit(100)
		}
		require.Less(t, l.until(20, time.Minute), 10*time.Second)
		l.Pause(19, l.Now()+3*time.Second)
		isInstalled, err := l.truth.Install(replica.InitialSnapshot(2))
		require.True(t, isInstalled && err == nil)
		l.sums = map[uint64]uint64{}
		for v := range voters {
			l.carryOut(v, l.agents[v].RecordsAdded(l.SteadyTime(v)))
		}
		for range commits {
			l.commit(100)
		}
		require.Less(t, l.until(20, time.Minute), 15*time.Second, "%d records", commits)
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
	require.False(t, out.HasDiverged, "a position that is ahead cannot be compared")
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

// A false trusted reply, with a position that nobody has, delays catching up only for a while.
func TestFalseTrustedReply(t *testing.T) {
	s := New(Settings{Agents: 9, Self: 1, Voters: []int{0}, Seed: 1}, newLog(replica.Limits{}), 0)
	reply := func(now time.Duration, from int, seq uint64) {
		s.Step(now, from, encode(kindDigest, digest{
			Epoch: 1, Seq: seq, Sum: replica.InitialSnapshot(1).Sum,
			AnswerTo: s.catchUp.question, Trusted: true,
		}))
	}
	reply(0, 5, 1<<60)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		s.Tick(now)
		reply(now, 0, 0)
	}
	require.Equal(t, CaughtUp, s.CatchUpState(time.Minute))
}

// Arbitrary bytes, and well-formed messages with false content, cause no panic, no record that does not follow, and no
// memory beyond the bounds.
func TestArbitraryMessages(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := newLog(replica.Limits{MaxRecords: 10, MaxRecordBytes: 5000, MaxSnapshotBytes: 5000})
		s := New(Settings{Agents: 20, Self: 1, Voters: []int{0}, Seed: 1}, log, 0)
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
					Question: uint32(any64("ask")), AnswerTo: s.catchUp.question, Trusted: true,
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
			out := s.Step(now, rapid.IntRange(-1, 21).Draw(t, "from"), data)
			require.LessOrEqual(t, len(out.Messages), 2)
			s.Tick(now)
			require.LessOrEqual(t, len(s.aheadPeers), maxAheadPeers)
			require.LessOrEqual(t, cap(s.partial.data), 20000)
			require.Greater(t, s.Next(), now-time.Second)
			require.Zero(t, log.Last().Seq)
		}
	})
}
