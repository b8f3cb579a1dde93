package raftlog

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"
)

var start = time.Unix(1_800_000_000, 0)

// testCluster is a set of voters. Their writes are done at once, and their messages are delivered at once unless drop
// drops them.
type testCluster struct {
	t         require.TestingT
	now       time.Time
	voters    []*Voter
	committed [][]Entry
	drop      func(from, to uint32) bool // reports whether a message is dropped; nil: none is
	onSend    func(b []byte)             // called with each message; nil: not used
}

// newTestCluster returns three new voters.
func newTestCluster(t require.TestingT, volatile bool) *testCluster {
	c := &testCluster{t: t, now: start, committed: make([][]Entry, 3)}
	for a := range uint32(3) {
		c.voters = append(c.voters, newVoter(t, a, uint64(a)+100, c.now, volatile))
	}
	return c
}

// newVoter returns the voter of an agent with a new store, one of the voters 0, 1 and 2.
func newVoter(t require.TestingT, agent uint32, nonce uint64, now time.Time, volatile bool) *Voter {
	v, err := New(Config{Agent: agent, Voters: []uint32{0, 1, 2}, Nonce: nonce, Volatile: volatile}, now, Stored{})
	require.NoError(t, err)
	return v
}

// step passes an input to a voter. A rejection is ignored.
func (c *testCluster) step(a uint32, in Input) { _ = c.stepErr(a, in) }

// stepErr passes an input to a voter, delivers the messages that it sends, and returns the error if the input is
// rejected.
func (c *testCluster) stepErr(a uint32, in Input) error {
	out := c.voters[a].Step(c.now, in)
	c.committed[a] = append(c.committed[a], out.Committed...)
	if out.Persist != nil {
		c.step(a, Persisted{out.Persist.Token})
	}
	for _, m := range out.Messages {
		if c.onSend != nil {
			c.onSend(m.Bytes)
		}
		if c.drop == nil || !c.drop(a, m.To) {
			c.step(m.To, MessageReceived{a, m.Bytes})
		}
	}
	if out.SnapshotWanted {
		c.step(a, Compact{c.voters[a].Status().AppliedIndex, []byte("above")})
	}
	return out.Err
}

// run runs the timers of all voters every 20 ms.
func (c *testCluster) run(d time.Duration) {
	for end := c.now.Add(d); c.now.Before(end); c.now = c.now.Add(20 * time.Millisecond) {
		for a := range c.voters {
			c.step(uint32(a), TimePassed{})
		}
	}
}

// leader returns the agent that leads.
func (c *testCluster) leader() uint32 {
	for a, v := range c.voters {
		if v.Status().Phase == Leading {
			return uint32(a)
		}
	}
	require.Fail(c.t, "no leader")
	return 0
}

func (c *testCluster) phases() (p []Phase) {
	for _, v := range c.voters {
		p = append(p, v.Status().Phase)
	}
	return p
}

// isolate drops all messages from and to an agent.
func isolate(a uint32) func(from, to uint32) bool {
	return func(from, to uint32) bool { return from == a || to == a }
}

// TestOneLogIsFoundedByAllVoters checks that a log is founded only when all configured voters are reachable, and only
// once.
func TestOneLogIsFoundedByAllVoters(t *testing.T) {
	cluster := newTestCluster(t, false)
	cluster.drop = isolate(2)
	cluster.run(20 * time.Second)
	require.Equal(t, []Phase{Seeking, Seeking, Seeking}, cluster.phases())
	cluster.drop = nil
	cluster.run(5 * time.Second)
	require.NotContains(t, cluster.phases(), Seeking)
	epoch := cluster.voters[0].Status().Identity.Epoch
	cluster.drop = isolate(0)
	cluster.run(20 * time.Second)
	cluster.drop = nil
	cluster.run(5 * time.Second)
	for _, v := range cluster.voters {
		require.Equal(t, epoch, v.Status().Identity.Epoch)
	}
}

// TestFounderNeedsPromisesOfAllVoters checks that a log is founded only if all other voters promised to join it.
func TestFounderNeedsPromisesOfAllVoters(t *testing.T) {
	for _, promise := range []uint64{0, 99, 100} {
		v := newVoter(t, 0, 100, start, false)
		v.Step(start, Persisted{v.Step(start, TimePassed{}).Persist.Token})
		for a := range uint32(2) {
			v.Step(start, MessageReceived{a + 1, hello{nonce: 5, promisedNonce: promise, isReply: true}.encode()})
		}
		v.Step(start.Add(time.Second), TimePassed{})
		require.Equal(t, promise != 100, v.Status().Phase == Seeking)
	}
}

// TestStoreJoinsOnlyLogOfPromisedFounder checks that a store whose last promise is to a later founder does not join the
// log of an earlier one.
func TestStoreJoinsOnlyLogOfPromisedFounder(t *testing.T) {
	v := newVoter(t, 1, 100, start, false)
	receiveHello := func(h hello) { v.Step(start, MessageReceived{0, h.encode()}) }
	confirmWrite := func() { v.Step(start, Persisted{v.writeToken}) }
	v.Step(start, TimePassed{})
	confirmWrite()
	receiveHello(hello{nonce: 7, isReply: true})
	confirmWrite()
	receiveHello(hello{nonce: 8, isReply: true})
	require.EqualValues(t, 8, v.Status().Identity.PromisedNonce)
	confirmWrite()
	welcomeFrom := func(founder uint64) welcome {
		members := []member{{1, 0, founder}, {2, 1, 100}, {3, 2, 9}}
		return welcome{nonce: 100, epoch: uint64(start.UnixMilli()), id: 2, founders: members}
	}
	v.Step(start, MessageReceived{0, welcomeFrom(7).encode()})
	require.Equal(t, Seeking, v.Status().Phase)
	v.Step(start, MessageReceived{0, welcomeFrom(8).encode()})
	require.Equal(t, Leaderless, v.Status().Phase)
}

// TestLogWithoutMajorityIsReplaced checks that a volatile log which permanently lost its majority is replaced by a new
// one, and that a durable one is replaced only after an operator's consent.
func TestLogWithoutMajorityIsReplaced(t *testing.T) {
	for _, volatile := range []bool{true, false} {
		cluster := newTestCluster(t, volatile)
		cluster.run(5 * time.Second)
		epoch := cluster.voters[0].Status().Identity.Epoch
		cluster.voters[1], cluster.voters[2] = newVoter(t, 1, 1000, cluster.now, volatile), newVoter(t, 2, 1000, cluster.now, volatile)
		cluster.run(20 * time.Second)
		if !volatile {
			require.Equal(t, []Phase{Stuck, Seeking, Seeking}, cluster.phases())
			cluster.step(0, LiveLogSeen{epoch})
			cluster.step(0, AbandonLog{})
			cluster.run(5 * time.Second)
			require.Equal(t, Stuck, cluster.phases()[0], "a log is not abandoned shortly after a live log was seen")
			cluster.run(20 * time.Second)
		}
		require.NotContains(t, cluster.phases(), Seeking)
		require.Greater(t, cluster.voters[0].Status().Identity.Epoch, epoch)
		require.Equal(t, cluster.voters[0].Status().Identity.Epoch, cluster.voters[2].Status().Identity.Epoch)
	}
}

// TestLogNotAbandonedWhileLiveElsewhere checks that a log is not abandoned while another voter reports that its log can
// continue.
func TestLogNotAbandonedWhileLiveElsewhere(t *testing.T) {
	for _, other := range []storeState{hasLog, stuckLog} {
		cluster := newTestCluster(t, true)
		cluster.run(5 * time.Second)
		epoch := cluster.voters[0].Status().Identity.Epoch
		cluster.drop = func(_, _ uint32) bool { return true }
		for range 40 {
			cluster.step(0, MessageReceived{1, hello{nonce: 1000, isReply: true}.encode()})
			h := hello{nonce: 1000, epoch: epoch, id: 9, state: other, isReply: true}
			cluster.step(0, MessageReceived{2, h.encode()})
			cluster.run(500 * time.Millisecond)
		}
		require.Equal(t, other == hasLog, cluster.voters[0].Status().Identity.Epoch == epoch)
	}
}

// TestReturningVoterKeepsLeader checks that a voter which was isolated and returns does not disturb the leader.
func TestReturningVoterKeepsLeader(t *testing.T) {
	cluster := newTestCluster(t, false)
	cluster.run(5 * time.Second)
	leader := cluster.leader()
	term := cluster.voters[leader].Status().Term
	cluster.drop = isolate((leader + 1) % 3)
	cluster.run(10 * time.Second)
	cluster.drop = nil
	cluster.run(5 * time.Second)
	require.Equal(t, term, cluster.voters[leader].Status().Term)
	require.Equal(t, leader, cluster.leader())
}

// TestRaftIDIsNotReused checks that a voter which lost its store returns under a new raft ID.
func TestRaftIDIsNotReused(t *testing.T) {
	cluster := newTestCluster(t, false)
	cluster.run(5 * time.Second)
	cluster.voters[2] = newVoter(t, 2, 1000, cluster.now, false)
	cluster.run(10 * time.Second)
	for _, v := range cluster.voters {
		ids := []uint64{}
		for _, m := range v.Status().Members {
			require.True(t, m.Votes)
			ids = append(ids, m.ID)
		}
		require.Equal(t, []uint64{1, 2, 4}, ids)
	}
}

// TestProposalOutcomes checks that a proposal which is repeated, at any voter, is committed once, and that one
// which was withdrawn before it is proposed is never committed.
func TestProposalOutcomes(t *testing.T) {
	cluster := newTestCluster(t, false)
	require.ErrorIs(t, cluster.stepErr(0, Propose{ProposalID{1, 1, 0}, nil}), ErrNoLeader)
	cluster.run(5 * time.Second)
	base := cluster.voters[0].Status().AppliedIndex
	id := ProposalID{1, 1, base}
	for a := range uint32(3) {
		require.NoError(t, cluster.stepErr(a, Propose{id, []byte("x")}))
	}
	require.NoError(t, cluster.stepErr(0, Withdraw{ProposalID{1, 2, base}}))
	cluster.run(time.Second)
	require.ErrorIs(t, cluster.stepErr(1, Propose{ProposalID{1, 2, base}, []byte("y")}), ErrTooOld)
	require.ErrorIs(t, cluster.stepErr(1, Propose{ProposalID{1, 3, base}, make([]byte, MaxProposalBytes+1)}), ErrTooLong)
	cluster.run(time.Second)
	for a, v := range cluster.voters {
		require.Len(t, cluster.committed[a], 1)
		require.Equal(t, "x", string(cluster.committed[a][0].Data))
		for n, want := range []Outcome{Committed, NotCommitted, Unknown} {
			o, _ := v.Outcome(ProposalID{1, uint64(n) + 1, base})
			require.Equal(t, want, o)
		}
	}
}

// TestRememberedOutcomesAreBounded checks that only outcomes of proposals whose window has passed are forgotten, and
// that an outcome does not change once it was reported.
func TestRememberedOutcomesAreBounded(t *testing.T) {
	var state logState
	rng := rand.New(rand.NewPCG(1, 1))
	applied, notCommitted := map[ProposalID]uint64{}, map[ProposalID]bool{}
	for i := uint64(1); i < 5000; i++ {
		id := ProposalID{1, rng.Uint64N(50), i - 1 - min(i-1, rng.Uint64N(4*ProposalWindow))/64*64}
		id.Base -= id.Base % 64
		if state.settle(id, i, kindProposal) {
			require.NotContains(t, applied, id)
			require.False(t, notCommitted[id])
			applied[id] = i
		}
		require.LessOrEqual(t, len(state.settledOrder), rememberedRecords)
		o, index := state.outcome(id, i)
		notCommitted[id] = notCommitted[id] || o == NotCommitted
		if o == Committed {
			require.Equal(t, applied[id], index)
		}
		if i%1000 == 0 {
			decoded, application, err := decodeLogState(state.encode([]byte("state")))
			require.NoError(t, err)
			require.Equal(t, "state", string(application))
			require.Equal(t, state.settled, decoded.settled)
			state = decoded
		}
	}
	require.NotEmpty(t, notCommitted)
}

// TestInvalidConfChangesAreIgnored checks which configuration changes are invalid, among them those with an ID that was
// used before or is unknown, and those during another change.
func TestInvalidConfChangesAreIgnored(t *testing.T) {
	state := logState{members: []member{{1, 0, 1}, {2, 1, 1}, {4, 3, 1}}, nextID: 5}
	conf := &raftpb.ConfState{Voters: []uint64{1, 2}, Learners: []uint64{4}}
	joint := &raftpb.ConfState{Voters: []uint64{1, 4}, VotersOutgoing: []uint64{1, 2}}
	ctx := make([]byte, changeContextBytes)
	const add, learn, remove = raftpb.ConfChangeAddNode, raftpb.ConfChangeAddLearnerNode, raftpb.ConfChangeRemoveNode
	for name, c := range map[string]struct {
		conf    *raftpb.ConfState
		change  *raftpb.ConfChangeV2
		isValid bool
	}{
		"next ID":               {conf, confChange(ctx, singleChange(learn, 5)), true},
		"used ID":               {conf, confChange(ctx, singleChange(learn, 3)), false},
		"skipped ID":            {conf, confChange(ctx, singleChange(learn, 6)), false},
		"without a nonce":       {conf, confChange(nil, singleChange(learn, 5)), false},
		"learner becomes voter": {conf, confChange(nil, singleChange(add, 4), singleChange(remove, 2)), true},
		"not a learner":         {conf, confChange(nil, singleChange(add, 5)), false},
		"unknown ID":            {conf, confChange(nil, singleChange(remove, 3)), false},
		"no voter left":         {conf, confChange(nil, singleChange(remove, 1), singleChange(remove, 2)), false},
		"during another change": {joint, confChange(ctx, singleChange(learn, 5)), false},
		"leave joint":           {joint, confChange(nil), true},
		"empty change":          {conf, confChange(nil), false},
	} {
		require.Equal(t, c.isValid, state.isValidChange(c.change, c.conf), name)
	}
}

// TestFreshnessFollowsConfirmedRounds checks that a voter is fresh as of the start of a confirmed round, not as of the
// answers to it, and that the freshness of an isolated voter does not advance.
func TestFreshnessFollowsConfirmedRounds(t *testing.T) {
	cluster := newTestCluster(t, false)
	cluster.run(5 * time.Second)
	leader := cluster.leader()
	for _, v := range cluster.voters {
		require.Less(t, cluster.now.Sub(v.Status().FreshAsOf), time.Second)
	}
	isolated := (leader + 1) % 3
	isolatedAt := cluster.now
	cluster.drop = isolate(isolated)
	cluster.run(2 * time.Second)
	require.False(t, cluster.voters[isolated].Status().FreshAsOf.After(isolatedAt))
	require.Less(t, cluster.now.Sub(cluster.voters[leader].Status().FreshAsOf), time.Second)
	cluster.drop = isolate(leader)
	isolatedAt = cluster.now
	cluster.run(600 * time.Millisecond) // still the leader
	require.Equal(t, Leading, cluster.voters[leader].Status().Phase)
	require.False(t, cluster.voters[leader].Status().FreshAsOf.After(isolatedAt))

	f := &freshness{}
	f.beginTerm(3)
	conf := &raftpb.ConfState{Voters: []uint64{1, 2, 3}}
	f.beginRound(10, 5)
	f.beginRound(20, 6)
	require.True(t, f.noteAck(1, 2, 10, conf))
	require.Equal(t, heartbeatRound{10, 5}, f.confirmed)
	conf.VotersOutgoing = []uint64{1, 4, 5}
	f.noteAck(1, 2, 20, conf)
	require.Equal(t, heartbeatRound{10, 5}, f.confirmed, "a round needs both majorities of a joint configuration")
	f.noteAck(1, 5, 20, conf)
	require.Equal(t, heartbeatRound{20, 6}, f.confirmed)
}

// TestMessagesWaitForWrites checks that no message is sent before the state that it depends on is written, and that an
// incomplete store is rejected.
func TestMessagesWaitForWrites(t *testing.T) {
	v := newVoter(t, 1, 100, start, false)
	out := v.Step(start, MessageReceived{0, hello{nonce: 7}.encode()})
	require.NotNil(t, out.Persist)
	require.Empty(t, out.Messages)
	require.Empty(t, v.Step(start, Persisted{out.Persist.Token + 1}).Messages)
	out = v.Step(start, Persisted{out.Persist.Token})
	require.NotEmpty(t, out.Messages)
	_, err := New(Config{Agent: 0, Voters: []uint32{0}}, start, Stored{
		Identity: Identity{Nonce: 1, Epoch: 1, ID: 1},
		Entries:  []*raftpb.Entry{{Index: new(uint64(5)), Term: new(uint64(1))}},
	})
	require.ErrorContains(t, err, "missing")
}

// TestSingleVoterCommitsAndIsFresh checks a log with a single voter.
func TestSingleVoterCommitsAndIsFresh(t *testing.T) {
	v, err := New(Config{Agent: 4, Voters: []uint32{4}, Nonce: 1}, start, Stored{})
	require.NoError(t, err)
	cluster := &testCluster{t: t, now: start, voters: []*Voter{v}, committed: make([][]Entry, 1)}
	cluster.run(5 * time.Second)
	require.NoError(t, cluster.stepErr(0, Propose{ProposalID{1, 1, v.Status().AppliedIndex}, []byte("x")}))
	cluster.run(time.Second)
	require.Len(t, cluster.committed[0], 1)
	require.Less(t, cluster.now.Sub(v.Status().FreshAsOf), time.Second)
}

// FuzzMessageReceived checks that no message from another voter ends the process.
func FuzzMessageReceived(f *testing.F) {
	f.Add(uint8(0), []byte{1, 2, 3})
	m, _ := proto.Marshal(&raftpb.Message{
		Type: raftpb.MsgApp.Enum(), To: new(uint64(2)), From: new(uint64(1)),
		Term: new(uint64(5)), Commit: new(uint64(9)), Index: new(uint64(1)), LogTerm: new(uint64(1)),
	})
	f.Add(uint8(1), append(envelope{}.encode()[2:], m...))
	f.Add(uint8(2), hello{nonce: 5}.encode()[2:])
	f.Add(uint8(3), welcome{nonce: 5, epoch: 1, id: 1}.encode()[2:])
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		cluster := newTestCluster(t, false)
		cluster.run(3 * time.Second)
		if e := cluster.voters[1].Status().Identity.Epoch; kind == wireRaft && len(b) >= 8 {
			b = append(envelope{epoch: e}.encode()[2:10], b[8:]...)
		}
		cluster.step(1, MessageReceived{0, append([]byte{wireVersion, kind}, b...)})
		cluster.run(time.Second)
	})
}

// TestLongAppendIsNotRepeated checks that a long append is not repeated while its fragments may be in flight.
func TestLongAppendIsNotRepeated(t *testing.T) {
	v := newVoter(t, 0, 100, start, false)
	isInFlight := func(index uint64, size int, after time.Duration) bool {
		v.now = start.Add(after)
		return v.isLongAppendInFlight(&raftpb.Message{To: new(uint64(2)), Index: &index}, size)
	}
	require.False(t, isInFlight(7, longMessageBytes, 0))
	require.True(t, isInFlight(7, longMessageBytes, 400*time.Millisecond))
	require.False(t, isInFlight(7, longMessageBytes-1, 400*time.Millisecond), "a short append is not delayed")
	require.False(t, isInFlight(7, longMessageBytes, 600*time.Millisecond), "an append may be lost after half an election timeout")
	require.False(t, isInFlight(8, longMessageBytes, 650*time.Millisecond), "an append of other entries is not delayed")
}
