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

// TestGoldenMessages checks that the encoding of each kind of message has not changed, and that decoding reverses it.
func TestGoldenMessages(t *testing.T) {
	const epoch = 1_800_000_000_000
	founders := []member{{1, 0, epoch}, {2, 100, epoch + 1}, {3, 299, epoch + 2}}
	h := hello{nonce: epoch + 5, epoch: epoch, id: 9, promisedNonce: 3, highestEpochSeen: epoch + 1, state: stuckLog, isReply: true}
	for name, h := range map[string]hello{"hello": h, "hello-new": {nonce: epoch}} {
		encoded := golden.Bytes(t, name, h.encode())
		require.Equal(t, []byte{wireVersion, wireHello}, encoded[:2])
		r := &reader{b: encoded[2:]}
		decoded := readHello(r)
		require.False(t, r.isTruncated || len(r.b) > 0)
		require.Equal(t, h, decoded)
		require.Equal(t, encoded, decoded.encode())
	}
	file := golden.Bytes(t, "relay", h.encodeRelay(299))
	require.Equal(t, []byte{wireVersion, wireRelay}, file[:2])
	r := &reader{b: file[2:]}
	from, relayed := r.u32(), readHello(r)
	require.False(t, r.isTruncated || len(r.b) > 0)
	require.Equal(t, file, relayed.encodeRelay(from))

	for name, w := range map[string]welcome{
		"welcome":         {nonce: epoch + 5, epoch: epoch, id: 9},
		"welcome-founder": {nonce: epoch + 1, epoch: epoch, id: 2, founders: founders},
	} {
		encoded := golden.Bytes(t, name, w.encode())
		require.Equal(t, []byte{wireVersion, wireWelcome}, encoded[:2])
		body := &reader{b: encoded[2:]}
		decoded := readWelcome(body)
		require.False(t, body.isTruncated || len(body.b) > 0)
		require.Equal(t, w, decoded)
		require.Equal(t, encoded, decoded.encode())
	}
	file = golden.Bytes(t, "gone", removed{epoch, 9}.encode())
	require.Equal(t, []byte{wireVersion, wireRemoved}, file[:2])
	r = &reader{b: file[2:]}
	require.Equal(t, file, readRemoved(r).encode())
	require.False(t, r.isTruncated || len(r.b) > 0)
}

// reencode decodes a raft message with its envelope, and returns it encoded again.
func reencode(t *testing.T, file []byte) []byte {
	t.Helper()
	require.Equal(t, []byte{wireVersion, wireRaft}, file[:2])
	r := &reader{b: file[2:]}
	e := readEnvelope(r)
	m := &raftpb.Message{}
	require.NoError(t, proto.Unmarshal(r.b, m))
	encoded, err := proto.MarshalOptions{Deterministic: true}.MarshalAppend(e.encode(), m)
	require.NoError(t, err)
	return encoded
}

// TestGoldenRaftMessages checks the encoding of the first message of each type that three voters send each other while
// a log is founded, a record is committed, and a voter returns without its store.
func TestGoldenRaftMessages(t *testing.T) {
	firstByType := map[string][]byte{}
	cluster := newTestCluster(t, false)
	noteFirst := func(b []byte) {
		if b[1] != wireRaft {
			return
		}
		m := &raftpb.Message{}
		require.NoError(t, proto.Unmarshal(b[2+5*8:], m))
		name := fmt.Sprintf("raft-%s", m.GetType())
		if m.GetType() == raftpb.MsgApp && len(m.GetEntries()) > 0 {
			name = fmt.Sprintf("raft-%s-%s", m.GetType(), m.GetEntries()[0].GetType())
		}
		if firstByType[name] == nil {
			firstByType[name] = append([]byte(nil), b...)
		}
	}
	cluster.onSend = noteFirst
	cluster.run(5 * time.Second)
	leader := cluster.leader()
	id := ProposalID{7, 1, cluster.voters[0].Status().AppliedIndex}
	follower := (leader + 1) % 3
	require.NoError(t, cluster.stepErr(follower, Propose{id, []byte("a record")}))
	require.NoError(t, cluster.stepErr(leader, Withdraw{ProposalID{7, 2, id.Base}}))
	cluster.run(time.Second)
	require.NoError(t, cluster.stepErr(leader, Compact{cluster.voters[leader].Status().AppliedIndex, []byte("above")}))
	cluster.voters[follower] = newVoter(t, follower, 1000, cluster.now, false)
	cluster.run(20 * time.Second)
	require.GreaterOrEqual(t, len(firstByType), 12)
	for name, b := range firstByType {
		file := golden.Bytes(t, name, b)
		require.Equal(t, file, reencode(t, file), name)
	}
}

// TestGoldenRecordsAndSnapshots checks that the encoding of records and snapshots has not changed, and that decoding
// reverses it.
func TestGoldenRecordsAndSnapshots(t *testing.T) {
	id := ProposalID{1 << 60, 300, 70_000}
	for kind, name := range map[recordKind]string{kindProposal: "record", kindWithdrawal: "record-withdrawal"} {
		file := golden.Bytes(t, name, encodeRecord(kind, id, []byte("data")))
		decodedKind, decodedID, data := decodeRecord(file)
		require.Equal(t, id, decodedID)
		require.Equal(t, file, encodeRecord(decodedKind, decodedID, data))
	}
	const epoch = 1_800_000_000_000
	members := []member{{1, 0, epoch}, {2, 100, epoch + 1}, {4, 299, epoch + 2}}
	state := logState{founders: members[:2], members: members, nextID: 5}
	state.settle(ProposalID{1, 2, 3}, 4, kindProposal)
	state.settle(ProposalID{1, 3, 3}, 5, kindWithdrawal)
	for name, s := range map[string]logState{"snapshot": state, "snapshot-first": {founders: members, members: members, nextID: 4}} {
		file := golden.Bytes(t, name, s.encode([]byte("state above")))
		decoded, application, err := decodeLogState(file)
		require.NoError(t, err)
		require.Equal(t, "state above", string(application))
		require.Equal(t, file, decoded.encode(application))
	}
	b, err := proto.MarshalOptions{Deterministic: true}.Marshal(foundingSnapshot(members))
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
