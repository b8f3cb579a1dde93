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

// trio is three voters whose messages are delivered and whose writes are done at once, except for what drop drops.
type trio struct {
	t         require.TestingT
	now       time.Time
	voters    []*Voter
	committed [][]Entry
	drop      func(from, to uint32) bool // nil: nothing is dropped
	sent      func(b []byte)             // called with each message; nil: not used
}

func newTrio(t require.TestingT, volatile bool) *trio {
	tr := &trio{t: t, now: start, committed: make([][]Entry, 3)}
	for a := range uint32(3) {
		tr.voters = append(tr.voters, newVoter(t, a, uint64(a)+100, tr.now, volatile))
	}
	return tr
}

func newVoter(t require.TestingT, a uint32, nonce uint64, now time.Time, volatile bool) *Voter {
	v, err := New(Config{Agent: a, Voters: []uint32{0, 1, 2}, Nonce: nonce, Volatile: volatile}, now, Stored{})
	require.NoError(t, err)
	return v
}

// step has a voter process an input whose rejection does not matter to the test.
func (tr *trio) step(a uint32, in Input) { _ = tr.try(a, in) }

// try has a voter process an input, and delivers what it sends.
func (tr *trio) try(a uint32, in Input) error {
	out := tr.voters[a].Step(tr.now, in)
	tr.committed[a] = append(tr.committed[a], out.Committed...)
	if out.Persist != nil {
		tr.step(a, Persisted{out.Persist.Token})
	}
	for _, m := range out.Messages {
		if tr.sent != nil {
			tr.sent(m.Bytes)
		}
		if tr.drop == nil || !tr.drop(a, m.To) {
			tr.step(m.To, MessageReceived{a, m.Bytes})
		}
	}
	if out.SnapshotWanted {
		tr.step(a, Compact{tr.voters[a].Status().AppliedIndex, []byte("above")})
	}
	return out.Err
}

func (tr *trio) run(d time.Duration) {
	for end := tr.now.Add(d); tr.now.Before(end); tr.now = tr.now.Add(20 * time.Millisecond) {
		for a := range tr.voters {
			tr.step(uint32(a), TimePassed{})
		}
	}
}

func (tr *trio) leader() uint32 {
	for a, v := range tr.voters {
		if v.Status().Phase == Leading {
			return uint32(a)
		}
	}
	require.Fail(tr.t, "no leader")
	return 0
}

func (tr *trio) phases() (p []Phase) {
	for _, v := range tr.voters {
		p = append(p, v.Status().Phase)
	}
	return p
}

func isolate(a uint32) func(from, to uint32) bool {
	return func(from, to uint32) bool { return from == a || to == a }
}

// A log is founded once, and only when all configured voters are reachable.
func TestFoundsOneLogWithAllVoters(t *testing.T) {
	tr := newTrio(t, false)
	tr.drop = isolate(2)
	tr.run(20 * time.Second)
	require.Equal(t, []Phase{Seeking, Seeking, Seeking}, tr.phases())
	tr.drop = nil
	tr.run(5 * time.Second)
	require.NotContains(t, tr.phases(), Seeking)
	epoch := tr.voters[0].Status().Identity.Epoch
	tr.drop = isolate(0)
	tr.run(20 * time.Second)
	tr.drop = nil
	tr.run(5 * time.Second)
	for _, v := range tr.voters {
		require.Equal(t, epoch, v.Status().Identity.Epoch)
	}
}

// A founder needs the promises of all other voters.
func TestFounderNeedsPromises(t *testing.T) {
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

// A store that promised itself to a later founder does not join the log of an earlier one.
func TestPromiseBinds(t *testing.T) {
	v := newVoter(t, 1, 100, start, false)
	receive := func(h hello) { v.Step(start, MessageReceived{0, h.encode()}) }
	written := func() { v.Step(start, Persisted{v.writeToken}) }
	v.Step(start, TimePassed{})
	written()
	receive(hello{nonce: 7, isReply: true})
	written()
	receive(hello{nonce: 8, isReply: true})
	require.EqualValues(t, 8, v.Status().Identity.PromisedNonce)
	written()
	foundedBy := func(founder uint64) welcome {
		members := []member{{1, 0, founder}, {2, 1, 100}, {3, 2, 9}}
		return welcome{nonce: 100, epoch: uint64(start.UnixMilli()), id: 2, founders: members}
	}
	v.Step(start, MessageReceived{0, foundedBy(7).encode()})
	require.Equal(t, Seeking, v.Status().Phase)
	v.Step(start, MessageReceived{0, foundedBy(8).encode()})
	require.Equal(t, Leaderless, v.Status().Phase)
}

// A volatile log that lost its majority for good is replaced by a new one; a durable one waits for an operator.
func TestMajorityGone(t *testing.T) {
	for _, volatile := range []bool{true, false} {
		tr := newTrio(t, volatile)
		tr.run(5 * time.Second)
		epoch := tr.voters[0].Status().Identity.Epoch
		tr.voters[1], tr.voters[2] = newVoter(t, 1, 1000, tr.now, volatile), newVoter(t, 2, 1000, tr.now, volatile)
		tr.run(20 * time.Second)
		if !volatile {
			require.Equal(t, []Phase{Stuck, Seeking, Seeking}, tr.phases())
			tr.step(0, LiveLogSeen{epoch})
			tr.step(0, AbandonLog{})
			tr.run(5 * time.Second)
			require.Equal(t, Stuck, tr.phases()[0], "abandoned though a live log was seen")
			tr.run(20 * time.Second)
		}
		require.NotContains(t, tr.phases(), Seeking)
		require.Greater(t, tr.voters[0].Status().Identity.Epoch, epoch)
		require.Equal(t, tr.voters[0].Status().Identity.Epoch, tr.voters[2].Status().Identity.Epoch)
	}
}

// A log is not abandoned while another voter reports that its log can continue.
func TestLogNotAbandonedWhileLiveElsewhere(t *testing.T) {
	for _, other := range []storeState{hasLog, stuckLog} {
		tr := newTrio(t, true)
		tr.run(5 * time.Second)
		epoch := tr.voters[0].Status().Identity.Epoch
		tr.drop = func(_, _ uint32) bool { return true }
		for range 40 {
			tr.step(0, MessageReceived{1, hello{nonce: 1000, isReply: true}.encode()})
			h := hello{nonce: 1000, epoch: epoch, id: 9, state: other, isReply: true}
			tr.step(0, MessageReceived{2, h.encode()})
			tr.run(500 * time.Millisecond)
		}
		require.Equal(t, other == hasLog, tr.voters[0].Status().Identity.Epoch == epoch)
	}
}

// A voter that was isolated and returns does not disturb the leader.
func TestReturningVoterKeepsLeader(t *testing.T) {
	tr := newTrio(t, false)
	tr.run(5 * time.Second)
	leader := tr.leader()
	term := tr.voters[leader].Status().Term
	tr.drop = isolate((leader + 1) % 3)
	tr.run(10 * time.Second)
	tr.drop = nil
	tr.run(5 * time.Second)
	require.Equal(t, term, tr.voters[leader].Status().Term)
	require.Equal(t, leader, tr.leader())
}

// A voter that lost its store returns under a new raft ID.
func TestRaftIDIsNotReused(t *testing.T) {
	tr := newTrio(t, false)
	tr.run(5 * time.Second)
	tr.voters[2] = newVoter(t, 2, 1000, tr.now, false)
	tr.run(10 * time.Second)
	for _, v := range tr.voters {
		ids := []uint64{}
		for _, m := range v.Status().Members {
			require.True(t, m.Votes)
			ids = append(ids, m.ID)
		}
		require.Equal(t, []uint64{1, 2, 4}, ids)
	}
}

// A proposal that is repeated, at any voter, is committed once; one that was withdrawn before, never.
func TestProposalOutcomes(t *testing.T) {
	tr := newTrio(t, false)
	require.ErrorIs(t, tr.try(0, Propose{ProposalID{1, 1, 0}, nil}), ErrNoLeader)
	tr.run(5 * time.Second)
	base := tr.voters[0].Status().AppliedIndex
	id := ProposalID{1, 1, base}
	for a := range uint32(3) {
		require.NoError(t, tr.try(a, Propose{id, []byte("x")}))
	}
	require.NoError(t, tr.try(0, Withdraw{ProposalID{1, 2, base}}))
	tr.run(time.Second)
	require.ErrorIs(t, tr.try(1, Propose{ProposalID{1, 2, base}, []byte("y")}), ErrTooOld)
	require.ErrorIs(t, tr.try(1, Propose{ProposalID{1, 3, base}, make([]byte, MaxProposalBytes+1)}), ErrTooLong)
	tr.run(time.Second)
	for a, v := range tr.voters {
		require.Len(t, tr.committed[a], 1)
		require.Equal(t, "x", string(tr.committed[a][0].Data))
		for n, want := range []Outcome{Committed, NotCommitted, Unknown} {
			o, _ := v.Outcome(ProposalID{1, uint64(n) + 1, base})
			require.Equal(t, want, o)
		}
	}
}

// Only outcomes of proposals whose window has passed are forgotten, and an outcome once reported does not change.
func TestRememberedOutcomesAreBounded(t *testing.T) {
	var tb logState
	r := rand.New(rand.NewPCG(1, 1))
	applied, never := map[ProposalID]uint64{}, map[ProposalID]bool{}
	for i := uint64(1); i < 5000; i++ {
		id := ProposalID{1, r.Uint64N(50), i - 1 - min(i-1, r.Uint64N(4*ProposalWindow))/64*64}
		id.Base -= id.Base % 64
		if tb.settle(id, i, kindProposal) {
			require.NotContains(t, applied, id)
			require.False(t, never[id])
			applied[id] = i
		}
		require.LessOrEqual(t, len(tb.settledOrder), rememberedRecords)
		o, index := tb.outcome(id, i)
		never[id] = never[id] || o == NotCommitted
		if o == Committed {
			require.Equal(t, applied[id], index)
		}
		if i%1000 == 0 {
			decoded, application, err := decodeLogState(tb.encode([]byte("state")))
			require.NoError(t, err)
			require.Equal(t, "state", string(application))
			require.Equal(t, tb.settled, decoded.settled)
			tb = decoded
		}
	}
	require.NotEmpty(t, never)
}

// Invalid configuration changes are ignored: an ID used twice, an unknown ID, a change during another one.
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

// A voter is fresh as of when the leader began a round, not as of its answers; an isolated voter does not advance.
func TestFreshness(t *testing.T) {
	tr := newTrio(t, false)
	tr.run(5 * time.Second)
	leader := tr.leader()
	for _, v := range tr.voters {
		require.Less(t, tr.now.Sub(v.Status().FreshAsOf), time.Second)
	}
	isolated := (leader + 1) % 3
	isolatedAt := tr.now
	tr.drop = isolate(isolated)
	tr.run(2 * time.Second)
	require.False(t, tr.voters[isolated].Status().FreshAsOf.After(isolatedAt))
	require.Less(t, tr.now.Sub(tr.voters[leader].Status().FreshAsOf), time.Second)
	tr.drop = isolate(leader)
	isolatedAt = tr.now
	tr.run(600 * time.Millisecond) // still the leader
	require.Equal(t, Leading, tr.voters[leader].Status().Phase)
	require.False(t, tr.voters[leader].Status().FreshAsOf.After(isolatedAt))

	f := &freshness{}
	f.beginTerm(3)
	conf := &raftpb.ConfState{Voters: []uint64{1, 2, 3}}
	f.beginRound(10, 5)
	f.beginRound(20, 6)
	require.True(t, f.noteAck(1, 2, 10, conf))
	require.Equal(t, heartbeatRound{10, 5}, f.confirmed)
	conf.VotersOutgoing = []uint64{1, 4, 5}
	f.noteAck(1, 2, 20, conf)
	require.Equal(t, heartbeatRound{10, 5}, f.confirmed, "needs both majorities of a joint configuration")
	f.noteAck(1, 5, 20, conf)
	require.Equal(t, heartbeatRound{20, 6}, f.confirmed)
}

// Nothing is sent before what it rests on is written, and an incomplete store is rejected.
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

// A single voter commits and is fresh.
func TestSingleVoter(t *testing.T) {
	v, err := New(Config{Agent: 4, Voters: []uint32{4}, Nonce: 1}, start, Stored{})
	require.NoError(t, err)
	tr := &trio{t: t, now: start, voters: []*Voter{v}, committed: make([][]Entry, 1)}
	tr.run(5 * time.Second)
	require.NoError(t, tr.try(0, Propose{ProposalID{1, 1, v.Status().AppliedIndex}, []byte("x")}))
	tr.run(time.Second)
	require.Len(t, tr.committed[0], 1)
	require.Less(t, tr.now.Sub(v.Status().FreshAsOf), time.Second)
}

// FuzzReceived checks that no message ends the process.
func FuzzReceived(f *testing.F) {
	f.Add(uint8(0), []byte{1, 2, 3})
	m, _ := proto.Marshal(&raftpb.Message{
		Type: raftpb.MsgApp.Enum(), To: new(uint64(2)), From: new(uint64(1)),
		Term: new(uint64(5)), Commit: new(uint64(9)), Index: new(uint64(1)), LogTerm: new(uint64(1)),
	})
	f.Add(uint8(1), append(envelope{}.encode()[2:], m...))
	f.Add(uint8(2), hello{nonce: 5}.encode()[2:])
	f.Add(uint8(3), welcome{nonce: 5, epoch: 1, id: 1}.encode()[2:])
	f.Fuzz(func(t *testing.T, kind uint8, b []byte) {
		tr := newTrio(t, false)
		tr.run(3 * time.Second)
		if e := tr.voters[1].Status().Identity.Epoch; kind == wireRaft && len(b) >= 8 {
			b = append(envelope{epoch: e}.encode()[2:10], b[8:]...)
		}
		tr.step(1, MessageReceived{0, append([]byte{wireVersion, kind}, b...)})
		tr.run(time.Second)
	})
}

// A long append is not repeated while its fragments are in flight.
func TestLongAppendIsNotRepeated(t *testing.T) {
	v := newVoter(t, 0, 100, start, false)
	isInFlight := func(index uint64, size int, after time.Duration) bool {
		v.now = start.Add(after)
		return v.isLongAppendInFlight(&raftpb.Message{To: new(uint64(2)), Index: &index}, size)
	}
	require.False(t, isInFlight(7, longMessageBytes, 0))
	require.True(t, isInFlight(7, longMessageBytes, 400*time.Millisecond))
	require.False(t, isInFlight(7, longMessageBytes-1, 400*time.Millisecond), "short")
	require.False(t, isInFlight(7, longMessageBytes, 600*time.Millisecond), "it may be lost by now")
	require.False(t, isInFlight(8, longMessageBytes, 650*time.Millisecond), "other entries")
}
