package raftlog

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"dunestep/internal/fleet/internal/golden"
)

// TestGoldenMessages checks that each kind of message is encoded as ever, and decoded to the same.
func TestGoldenMessages(t *testing.T) {
	const epoch = 1_800_000_000_000
	founders := []member{{1, 0, epoch}, {2, 100, epoch + 1}, {3, 299, epoch + 2}}
	h := hello{nonce: epoch + 5, epoch: epoch, id: 9, promisedNonce: 3, highestEpochSeen: epoch + 1, state: stuckLog, isReply: true}
	for name, h := range map[string]hello{"hello": h, "hello-new": {nonce: epoch}} {
		encoded := golden.Bytes(t, name, h.encode())
		require.Equal(t, []byte{wireVersion, wireHello}, encoded[:2])
		r := &reader{b: encoded[2:]}
		back := readHello(r)
		require.False(t, r.isTooShort || len(r.b) > 0)
		require.Equal(t, h, back)
		require.Equal(t, encoded, back.encode())
	}
	file := golden.Bytes(t, "relay", h.encodeRelay(299))
	require.Equal(t, []byte{wireVersion, wireRelay}, file[:2])
	r := &reader{b: file[2:]}
	from, back := r.u32(), readHello(r)
	require.False(t, r.isTooShort || len(r.b) > 0)
	require.Equal(t, file, back.encodeRelay(from))

	for name, w := range map[string]welcome{
		"welcome":         {nonce: epoch + 5, epoch: epoch, id: 9},
		"welcome-founder": {nonce: epoch + 1, epoch: epoch, id: 2, founders: founders},
	} {
		encoded := golden.Bytes(t, name, w.encode())
		require.Equal(t, []byte{wireVersion, wireWelcome}, encoded[:2])
		body := &reader{b: encoded[2:]}
		read := readWelcome(body)
		require.False(t, body.isTooShort || len(body.b) > 0)
		require.Equal(t, w, read)
		require.Equal(t, encoded, read.encode())
	}
	file = golden.Bytes(t, "gone", removed{epoch, 9}.encode())
	require.Equal(t, []byte{wireVersion, wireRemoved}, file[:2])
	r = &reader{b: file[2:]}
	require.Equal(t, file, readRemoved(r).encode())
	require.False(t, r.isTooShort || len(r.b) > 0)
}

// reencode decodes a message of raft's with its envelope, and encodes it again.
func reencode(t *testing.T, file []byte) []byte {
	t.Helper()
	require.Equal(t, []byte{wireVersion, wireRaft}, file[:2])
	r := &reader{b: file[2:]}
	e := readEnvelope(r)
	m := &raftpb.Message{}
	require.NoError(t, proto.Unmarshal(r.b, m))
	back, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(e.encode(), m)
	require.NoError(t, err)
	return back
}

// TestGoldenRaft checks the first message of each type that three voters send each other, as a log is founded, a record is
// committed, and a voter returns without its store.
func TestGoldenRaft(t *testing.T) {
	first := map[string][]byte{}
	tr := newTrio(t, false)
	note := func(b []byte) {
		if b[1] != wireRaft {
			return
		}
		m := &raftpb.Message{}
		require.NoError(t, proto.Unmarshal(b[2+5*8:], m))
		name := fmt.Sprintf("raft-%s", m.GetType())
		if m.GetType() == raftpb.MsgApp && len(m.GetEntries()) > 0 {
			name = fmt.Sprintf("raft-%s-%s", m.GetType(), m.GetEntries()[0].GetType())
		}
		if first[name] == nil {
			first[name] = append([]byte(nil), b...)
		}
	}
	tr.sent = note
	tr.run(5 * time.Second)
	leader := tr.leader()
	id := ProposalID{7, 1, tr.voters[0].Status().AppliedIndex}
	follower := (leader + 1) % 3
	require.NoError(t, tr.try(follower, Propose{id, []byte("a record")}))
	require.NoError(t, tr.try(leader, Withdraw{ProposalID{7, 2, id.Base}}))
	tr.run(time.Second)
	require.NoError(t, tr.try(leader, Compact{tr.voters[leader].Status().AppliedIndex, []byte("above")}))
	tr.voters[follower] = newVoter(t, follower, 1000, tr.now, false)
	tr.run(20 * time.Second)
	require.GreaterOrEqual(t, len(first), 12)
	for name, b := range first {
		file := golden.Bytes(t, name, b)
		require.Equal(t, file, reencode(t, file), name)
	}
}

// TestGoldenLog checks that records and snapshots are encoded as ever, and decoded to the same.
func TestGoldenLog(t *testing.T) {
	id := ProposalID{1 << 60, 300, 70_000}
	for kind, name := range map[recordKind]string{kindProposal: "record", kindWithdrawal: "record-withdrawal"} {
		file := golden.Bytes(t, name, encodeRecord(kind, id, []byte("data")))
		decodedKind, decodedID, data := decodeRecord(file)
		require.Equal(t, id, decodedID)
		require.Equal(t, file, encodeRecord(decodedKind, decodedID, data))
	}
	const epoch = 1_800_000_000_000
	ms := []member{{1, 0, epoch}, {2, 100, epoch + 1}, {4, 299, epoch + 2}}
	tb := logState{founders: ms[:2], members: ms, nextID: 5}
	tb.settle(ProposalID{1, 2, 3}, 4, kindProposal)
	tb.settle(ProposalID{1, 3, 3}, 5, kindWithdrawal)
	for name, tb := range map[string]logState{"snapshot": tb, "snapshot-first": {founders: ms, members: ms, nextID: 4}} {
		file := golden.Bytes(t, name, tb.encode([]byte("state above")))
		back, above, err := decodeLogState(file)
		require.NoError(t, err)
		require.Equal(t, "state above", string(above))
		require.Equal(t, file, back.encode(above))
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(foundingSnapshot(ms))
	require.NoError(t, err)
	golden.Bytes(t, "snapshot-of-founders", b)
}

// TestGoldenPhases checks the names that operators' commands show.
func TestGoldenPhases(t *testing.T) {
	require.Equal(t, []string{"seeking", "learning", "voting", "leading", "leaderless", "stuck", "broken"}, []string{
		Seeking.String(), Learning.String(), Voting.String(), Leading.String(), Leaderless.String(), Stuck.String(),
		Broken.String(),
	})
}
