package gossip

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/replica"
)

// A push carries the newest records if they fit into a message, and otherwise a digest. An agent that lacks earlier records
// pulls them, with the maximum timeout at first, and with one that follows the round-trip time later.
func TestPushCarriesRecords(t *testing.T) {
	push := func(size int) (out Output, log *replica.Log) {
		log = newLog(replica.Limits{})
		replicator := New(Settings{Agents: 2, Seed: 1}, log, 0)
		replicator.MarkCaughtUp()
		for seq := range uint64(9) {
			require.NoError(t, log.Append(replica.Record{Seq: seq + 1, Data: make([]byte, size)}))
		}
		replicator.RecordsAdded(time.Second)
		return replicator.Tick(replicator.Next()), log
	}
	out, log := push(60)
	require.Len(t, out.Messages, 1)
	require.LessOrEqual(t, len(out.Messages[0].Data), 200)
	for _, has := range []uint64{8, 3} {
		own := newLog(replica.Limits{})
		for seq := range has {
			require.NoError(t, own.Append(replica.Record{Seq: seq + 1, Data: make([]byte, 60)}))
		}
		replicator := New(Settings{Agents: 2, Self: 1, Seed: 1}, own, 0)
		replicator.MarkCaughtUp()
		pulled := replicator.Step(time.Second, 0, out.Messages[0].Data)
		if has == 8 {
			require.Equal(t, log.Last(), own.Last())
			require.Empty(t, pulled.Messages)
			continue
		}
		require.Equal(t, has, own.Last().Seq)
		require.Equal(t, byte(kindPull), pulled.Messages[0].Data[0])
		require.Equal(t, time.Second+150*time.Millisecond, replicator.Next(), "the timeout is the maximum before the first reply")
		replicator.roundTrip.AddSample(10 * time.Millisecond)
		again := replicator.Tick(replicator.Next())
		require.Equal(t, byte(kindPull), again.Messages[0].Data[0])
		require.Equal(t, time.Second+190*time.Millisecond, replicator.Next())
	}
	out, _ = push(400)
	require.Equal(t, byte(kindDigest), out.Messages[0].Data[0])
}

// An agent serves at most Settings.BytesPerSecond, however many agents pull from it.
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
	require.Less(t, l.runUntilEqual(40, time.Minute), time.Minute)
}

// An agent that lags pulls at most Settings.BytesPerSecond, remembers at most maxAheadPeers agents, and forgets an agent
// whose segment contains no new records.
func TestPullingIsBounded(t *testing.T) {
	l := newLab(1, 10, faultsOf(0), Settings{BytesPerSecond: 1 << 20})
	for range 50 {
		l.commit(1000)
	}
	l.Run(l.Now() + 5*time.Second)
	l.settings.BytesPerSecond = 5 << 10
	l.restart(9)
	require.Greater(t, l.runUntilEqual(10, time.Minute), 8*time.Second)

	replicator := New(Settings{Agents: 20, Self: 1, Seed: 1}, newLog(replica.Limits{}), 0)
	farAhead := encode(kindDigest, digest{Epoch: 1, Seq: 50})
	for from := 2; from < 15; from++ {
		replicator.Step(0, from, farAhead)
		require.LessOrEqual(t, len(replicator.aheadPeers), maxAheadPeers)
	}
	pulled := replicator.pullPeer
	replicator.Step(0, pulled, farAhead)
	replicator.Step(0, pulled, encode(kindSegment, segment{
		Epoch: 1, First: 1, PriorSum: replica.InitialSnapshot(1).Sum,
		Sum: replica.InitialSnapshot(1).Sum, LastSeq: 50,
	}))
	for _, p := range replicator.aheadPeers {
		require.NotEqual(t, pulled, p.agent)
	}
	replicator.Step(0, 3, encode(kindChunk, chunk{Epoch: 1, Seq: 5, ItemBytes: 100, Data: []byte{1}}))
	require.False(t, replicator.partial.isStarted, "a chunk that does not extend the log is not collected")
}
