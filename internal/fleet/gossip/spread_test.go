package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet/lossy"
)

// lab plays a fleet whose first five agents are voters: what is committed is in all of their logs at once.
type lab struct {
	*lossy.Network
	set    Settings
	limits replica.Limits
	logs   []*replica.Log
	agents []*Replicator
	lives  uint64
	truth  *replica.Log
	sums   map[uint64]uint64 // of the truth, by record
	breach string
	had    []replica.Position // after the last input
}

const voters = 5

func newLab(seed uint64, agents int, faults lossy.Faults, set Settings) *lab {
	l := &lab{
		Network: lossy.NewNetwork(seed, agents, time.Hour, faults), set: set, logs: make([]*replica.Log, agents),
		agents: make([]*Replicator, agents), truth: empty(replica.Limits{}), sums: map[uint64]uint64{},
		had: make([]replica.Position, agents),
	}
	l.set.Agents, l.set.Voters = agents, []int{0, 1, 2, 3, 4}
	l.OnMessage = func(to, from int, data []byte) {
		if l.agents[to] != nil {
			l.done(to, l.agents[to].Step(l.SteadyTime(to), from, data))
		}
	}
	l.OnTimer = func(node int) {
		if l.agents[node] != nil {
			l.done(node, l.agents[node].Tick(l.SteadyTime(node)))
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

func empty(limits replica.Limits) *replica.Log {
	log, err := replica.New(replica.InitialSnapshot(1), limits)
	if err != nil {
		panic(err)
	}
	return log
}

func (l *lab) restart(a int) {
	set := l.set
	l.lives++
	set.Self, set.Seed, set.NeverPull = a, l.lives, a < voters
	if l.logs[a] = empty(l.limits); a < voters {
		l.logs[a] = l.truth
	}
	l.had[a] = l.logs[a].Last()
	l.agents[a] = New(set, l.logs[a], l.SteadyTime(a))
	l.SetTimer(a, l.agents[a].Next())
}

func (l *lab) done(node int, out Output) {
	for _, m := range out.Messages {
		l.Send(node, m.To, m.Data)
	}
	l.SetTimer(node, l.agents[node].Next())
	if s := l.logs[node].Snapshot(); node >= voters && !out.IsRestarted && !l.had[node].Covers(s.Position()) {
		l.breach = "a state machine is not told to go on from a snapshot"
	}
	l.had[node] = l.logs[node].Last()
	l.compact(l.logs[node])
	if last := l.logs[node].Last(); last.Epoch == l.truth.Last().Epoch && last.Seq > 0 && l.sums[last.Seq] != last.Sum || out.HasDiverged {
		l.breach = "a copy is not the beginning of what was agreed"
	}
}

// compact is the state machine's part: every 40 records a snapshot that is larger than a message.
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
		l.done(v, l.agents[v].RecordsAdded(l.SteadyTime(v)))
	}
}

// until plays until so many agents have what the voters have, and gives how long that took.
func (l *lab) until(count int, most time.Duration) time.Duration {
	for begin := l.Now(); ; l.Run(l.Now() + 10*time.Millisecond) {
		have := 0
		for _, log := range l.logs {
			if log.Last() == l.truth.Last() {
				have++
			}
		}
		if took := l.Now() - begin; have >= count || took > most {
			return took
		}
	}
}

func ways(loss float64) lossy.Faults {
	return lossy.Faults{Loss: loss, Duplicate: loss / 10, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond}
}

// TestTimeAndPrice: how long news takes to reach agents, and what it costs when there are none; the table of
// docs/design/fleet-spread.md.
func TestTimeAndPrice(t *testing.T) {
	for _, n := range []int{5, 50, 300, 1000} {
		for _, loss := range []float64{0, 0.1, 0.3} {
			l := newLab(uint64(n), n, ways(loss), Settings{})
			l.Run(l.Now() + 10*time.Second)
			sent, bytes := sum(l.SentMessages), sum(l.SentBytes)
			l.Run(l.Now() + 20*time.Second)
			quiet, quietBytes := float64(sum(l.SentMessages)-sent)/float64(20*n), float64(sum(l.SentBytes)-bytes)/float64(20*n)
			require.Less(t, quiet, 1.0)
			require.Less(t, quietBytes, 150.0)
			var took [3]time.Duration
			sent = sum(l.SentMessages)
			const times = 3
			for range times {
				l.commit(200)
				begin := l.Now()
				for i, count := range []int{(n + 1) / 2, (n*99 + 99) / 100, n} {
					l.until(count, 30*time.Second)
					took[i] = max(took[i], l.Now()-begin)
				}
				l.Run(begin + 5*time.Second)
			}
			extra := (float64(sum(l.SentMessages)-sent)/float64(n) - quiet*5*times) / times
			t.Logf("%4d agents, loss %2.0f%%: 50%% %v, 99%% %v, all %v; quiet %.2f messages/s, %.0f bytes/s; news %.1f "+
				"messages an agent", n, loss*100, took[0], took[1], took[2], quiet, quietBytes, extra)
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

// TestCopiesThroughAllFaults: whatever is lost, late, doubled, cut, paused and restarted, each copy is a beginning
// of what was agreed; who says that it has caught up has all that was agreed before it began, and when the faults
// end, all have all soon.
func TestCopiesThroughAllFaults(t *testing.T) {
	for seed := range uint64(30) {
		faults := lossy.Faults{
			Loss: 0.2, Duplicate: 0.1, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond, Late: 0.1,
			Lateness: 3 * time.Second,
		}
		l := newLab(seed, 20, faults, Settings{})
		rng, begun := l.Rand(), make([]uint64, 20)
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
					begun[node] = l.truth.Last().Seq
				}
				for a := voters; a < 20; a++ {
					asked := l.agents[a].catchUp // several agents that vouch may all be behind
					if asked.state == CaughtUp && asked.hasVoterReply && l.logs[a].Last().Seq < begun[a] {
						l.breach = "one says that it has caught up, and has not"
					}
				}
			})
		}
		l.Run(time.Hour + 30*time.Second)
		l.Faults = ways(0)
		for i := range 400 {
			l.SetCut(i/20, i%20, false)
		}
		l.Run(l.Now() + 5*time.Second) // pauses end
		require.Less(t, l.until(20, 10*time.Second), 5*time.Second, "seed %d", seed)
		require.Empty(t, l.breach, "seed %d", seed)
	}
}

// TestNewsBringsRecords: a record that fits is told, not only told of; one message less may be lost. Where more is
// missing, or it does not fit, the rest is asked for, and again soon where answers come soon.
func TestNewsBringsRecords(t *testing.T) {
	told := func(size int) (out Output, log *replica.Log) {
		log = empty(replica.Limits{})
		s := New(Settings{Agents: 2, Seed: 1}, log, 0)
		s.MarkCaughtUp()
		for seq := range uint64(9) {
			require.NoError(t, log.Append(replica.Record{Seq: seq + 1, Data: make([]byte, size)}))
		}
		s.RecordsAdded(time.Second)
		return s.Tick(s.Next()), log
	}
	out, log := told(60)
	require.Len(t, out.Messages, 1)
	require.LessOrEqual(t, len(out.Messages[0].Data), 200)
	for _, has := range []uint64{8, 3} {
		mine := empty(replica.Limits{})
		for seq := range has {
			require.NoError(t, mine.Append(replica.Record{Seq: seq + 1, Data: make([]byte, 60)}))
		}
		s := New(Settings{Agents: 2, Self: 1, Seed: 1}, mine, 0)
		s.MarkCaughtUp()
		asked := s.Step(time.Second, 0, out.Messages[0].Data)
		if has == 8 {
			require.Equal(t, log.Last(), mine.Last())
			require.Empty(t, asked.Messages)
			continue
		}
		require.Equal(t, has, mine.Last().Seq)
		require.Equal(t, byte(kindPull), asked.Messages[0].Data[0])
		require.Equal(t, time.Second+150*time.Millisecond, s.Next(), "no answer came yet")
		s.noteRoundTrip(10 * time.Millisecond)
		again := s.Tick(s.Next())
		require.Equal(t, byte(kindPull), again.Messages[0].Data[0])
		require.Equal(t, time.Second+190*time.Millisecond, s.Next())
	}
	out, _ = told(400)
	require.Equal(t, byte(kindDigest), out.Messages[0].Data[0])
}

// TestReturning: one that begins has all before it says so, from agents alone too; a fleet in which nobody knows
// vouches for nothing, and says whether it was alone.
func TestReturning(t *testing.T) {
	set := Settings{BytesPerSecond: 1 << 20}
	l := newLab(1, 12, ways(0.1), set)
	for range 130 {
		l.commit(300)
	}
	require.Less(t, l.until(12, time.Minute), 10*time.Second)
	l.Run(l.Now() + 5*time.Second)
	for v := range voters { // no voter is to be had
		for a := range 12 {
			l.SetCut(v, a, true)
		}
	}
	for a := voters; a < 11; a++ {
		l.agents[a].SetTrusted(false)
	}
	l.restart(11)
	l.Run(l.Now() + 1500*time.Millisecond)
	require.Equal(t, Asking, l.agents[11].CatchUpState(l.SteadyTime(11)))
	for a := voters; a < 11; a++ {
		l.agents[a].SetTrusted(true)
	}
	l.Run(l.Now() + 30*time.Second)
	require.Equal(t, CaughtUp, l.agents[11].CatchUpState(l.SteadyTime(11)))
	require.Equal(t, l.truth.Last(), l.logs[11].Last())
	require.Positive(t, l.agents[11].Stats().Snapshots)

	l.restart(11)
	l.agents[11].Step(l.SteadyTime(11), 0, encode(kindDigest, digest{Epoch: 1, Trusted: true, AnswerTo: 1}))
	require.Equal(t, Asking, l.agents[11].CatchUpState(l.SteadyTime(11)), "an answer to a question of before")
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

// TestHelpingIsBounded: however many ask, an agent gives so many bytes a second at most, and takes so many.
func TestHelpingIsBounded(t *testing.T) {
	l := newLab(1, 40, ways(0), Settings{BytesPerSecond: 4 << 10})
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
	var unhelped uint64
	for _, a := range l.agents {
		unhelped += a.Stats().Throttled
	}
	require.Positive(t, unhelped)
	require.Less(t, l.until(40, time.Minute), time.Minute)
}

// TestAskingIsBounded: one that is behind asks for so many bytes a second at most, remembers so many partners, and
// leaves one that brings nothing.
func TestAskingIsBounded(t *testing.T) {
	l := newLab(1, 10, ways(0), Settings{BytesPerSecond: 1 << 20})
	for range 50 {
		l.commit(1000)
	}
	l.Run(l.Now() + 5*time.Second)
	l.set.BytesPerSecond = 5 << 10
	l.restart(9)
	require.Greater(t, l.until(10, time.Minute), 8*time.Second)

	s := New(Settings{Agents: 20, Self: 1, Seed: 1}, empty(replica.Limits{}), 0)
	far := encode(kindDigest, digest{Epoch: 1, Seq: 50})
	for from := 2; from < 15; from++ {
		s.Step(0, from, far)
		require.LessOrEqual(t, len(s.aheadPeers), maxAheadPeers)
	}
	asked := s.pullPeer
	s.Step(0, asked, far)
	s.Step(0, asked, encode(kindSegment, segment{
		Epoch: 1, First: 1, PriorSum: replica.InitialSnapshot(1).Sum,
		Sum: replica.InitialSnapshot(1).Sum, LastSeq: 50,
	}))
	for _, p := range s.aheadPeers {
		require.NotEqual(t, asked, p.agent)
	}
	s.Step(0, 3, encode(kindChunk, chunk{Epoch: 1, Seq: 5, ItemBytes: 100, Data: []byte{1}}))
	require.False(t, s.partial.isStarted, "it would not follow")
}

// TestALogThatBeganAnew: a later epoch replaces the former at every agent, also while it is empty, and by its
// snapshot; a copy that differs in a record is told of, and neither changes.
func TestALogThatBeganAnew(t *testing.T) {
	for _, commits := range []int{0, 1, 130} {
		l := newLab(1, 20, ways(0.1), Settings{BytesPerSecond: 1 << 20})
		for range 100 {
			l.commit(100)
		}
		require.Less(t, l.until(20, time.Minute), 10*time.Second)
		l.Pause(19, l.Now()+3*time.Second)
		taken, err := l.truth.Install(replica.InitialSnapshot(2))
		require.True(t, taken && err == nil)
		l.sums = map[uint64]uint64{}
		for v := range voters {
			l.done(v, l.agents[v].RecordsAdded(l.SteadyTime(v)))
		}
		for range commits {
			l.commit(100)
		}
		require.Less(t, l.until(20, time.Minute), 15*time.Second, "%d records", commits)
		require.Empty(t, l.breach)
	}
	var logs []*replica.Log
	for _, data := range []string{"a", "b"} {
		logs = append(logs, empty(replica.Limits{}))
		require.NoError(t, logs[len(logs)-1].Append(replica.Record{Seq: 1, Data: []byte(data)}))
	}
	require.NoError(t, logs[1].Append(replica.Record{Seq: 2}))
	one, two := New(Settings{Agents: 2, Seed: 1}, logs[0], 0), New(Settings{Agents: 2, Self: 1, Seed: 1}, logs[1], 0)
	before := logs[0].Last()
	out := one.Step(0, 1, encode(kindDigest, two.ownDigest()))
	require.False(t, out.HasDiverged, "what is ahead can't be compared")
	out = two.Step(0, 0, out.Messages[0].Data)
	require.True(t, out.HasDiverged && out.DivergedFrom == 0)
	records, _ := logs[1].Segment(2, 100)
	out = one.Step(0, 1, encode(kindSegment, segment{
		Epoch: 1, First: 2, PriorSum: records.PriorSum, Sum: records.Sum,
		Records: records.Records, LastSeq: 2,
	}))
	require.True(t, out.HasDiverged)
	require.Equal(t, before, logs[0].Last())
}

// TestALieAtTheStartEnds: one that says it had caught up, with what nobody has, is believed for a while only.
func TestALieAtTheStartEnds(t *testing.T) {
	s := New(Settings{Agents: 9, Self: 1, Voters: []int{0}, Seed: 1}, empty(replica.Limits{}), 0)
	tell := func(now time.Duration, from int, seq uint64) {
		s.Step(now, from, encode(kindDigest, digest{
			Epoch: 1, Seq: seq, Sum: replica.InitialSnapshot(1).Sum,
			AnswerTo: s.catchUp.question, Trusted: true,
		}))
	}
	tell(0, 5, 1<<60)
	for now := time.Duration(0); now < time.Minute; now += 100 * time.Millisecond {
		s.Tick(now)
		tell(now, 0, 0)
	}
	require.Equal(t, CaughtUp, s.CatchUpState(time.Minute))
}

// TestNobodysMessagesDoHarm: bytes of any kind, and messages that are well formed and lie, bring no panic, no
// record that does not follow, and no memory beyond the bounds.
func TestNobodysMessagesDoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		log := empty(replica.Limits{MaxRecords: 10, MaxRecordBytes: 5000, MaxSnapshotBytes: 5000})
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
