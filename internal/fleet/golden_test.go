package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/fragment"
	"dunestep/internal/fleet/internal/golden"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleet/replica"
)

// concatenation is a state machine whose state is the concatenated data of all records.
type concatenation struct{ data []byte }

func (m *concatenation) Apply(_ uint64, data []byte) { m.data = append(m.data, data...) }
func (m *concatenation) Snapshot() []byte            { return m.data }

func (m *concatenation) Restore(data []byte) error {
	m.data = append([]byte(nil), data...)
	return nil
}

// TestGoldenRecord checks that the encodings of a record and of a snapshot in the voters' log match the golden files and
// decode to the same values.
func TestGoldenRecord(t *testing.T) {
	id := proposalID{1 << 63, 300}
	file := golden.Bytes(t, "record", encodeRecord(2, id, []byte("data")))
	machine, decoded, data, isValid := decodeRecord(file)
	require.True(t, isValid)
	require.Equal(t, id, decoded)
	require.Equal(t, file, encodeRecord(machine, decoded, data))

	s := replica.Snapshot{Epoch: 1_800_000_000_000, Seq: 300, Sum: 1 << 62, Data: []byte("states")}
	file = golden.Bytes(t, "snapshot", encodeSnapshot(s))
	read, err := decodeSnapshot(file)
	require.NoError(t, err)
	require.Equal(t, s, read)
	require.Equal(t, file, encodeSnapshot(read))
}

// TestGoldenStates checks that the encoding of the states in a snapshot matches the golden file, and that an earlier build
// encodes the states and records that it keeps for later builds unchanged.
func TestGoldenStates(t *testing.T) {
	later := stateMachines{known: []StateMachine{&concatenation{}, &concatenation{}, &concatenation{}}}
	earlier := stateMachines{known: []StateMachine{&concatenation{}}}
	for seq, c := range []struct {
		machine uint8
		data    string
	}{{0, "zero"}, {1, "one"}, {0, "more"}, {2, ""}} {
		require.NoError(t, later.apply(uint64(seq)+1, encodeRecord(c.machine, proposalID{9, uint64(seq)}, []byte(c.data))))
	}
	b, err := later.snapshot()
	require.NoError(t, err)
	file := golden.Bytes(t, "states", b)
	require.NoError(t, earlier.restore(file))
	b, err = earlier.snapshot()
	require.NoError(t, err)
	require.Equal(t, file, b, "an earlier build encodes unknown states unchanged")
	require.ErrorIs(t, earlier.apply(5, encodeRecord(1, proposalID{9, 5}, []byte("kept"))), errUnknownMachine)
	b, err = earlier.snapshot()
	require.NoError(t, err)
	file = golden.Bytes(t, "states-kept", b)
	require.NoError(t, earlier.restore(file))
	b, err = earlier.snapshot()
	require.NoError(t, err)
	require.Equal(t, file, b, "an earlier build encodes unknown records unchanged")
	require.NoError(t, later.restore(file))
	require.Equal(t, "onekept", string(later.known[1].(*concatenation).data))
}

// newLeader returns a node that is the only voter and has become the leader.
func newLeader(t *testing.T, agents int) (*Node, ClockReading) {
	t.Helper()
	now := ClockReading{Unix: 1_800_000_000 * time.Second, Mono: time.Hour}
	n, err := New(Settings{Self: 0, Agents: agents, Voters: []int{0}, Incarnation: 1_800_000_000_123, Seed: 3}, now)
	require.NoError(t, err)
	for range 100 {
		now.Unix, now.Mono = now.Unix+50*time.Millisecond, now.Mono+50*time.Millisecond
		n.Wake(now)
		n.Out(now)
	}
	require.Equal(t, raftlog.Leading, n.voter.Status().Phase)
	return n, now
}

// TestGoldenProposals checks that the encodings of requests to voters about proposals, and of their replies, match the
// golden files and decode to the same values.
func TestGoldenProposals(t *testing.T) {
	id := proposalID{1 << 63, 300}
	p := &proposal{id: id, record: encodeRecord(1, id, []byte("data"))}
	based, withdrawn := *p, *p
	based.baseIndex, withdrawn.baseIndex, withdrawn.isWithdrawn = 70_000, 70_000, true
	for form, p := range map[string]*proposal{"propose-first": p, "propose": &based, "withdraw": &withdrawn} {
		file := golden.Bytes(t, form, p.request().encode())
		r, isValid := decodeProposalRequest(file)
		require.True(t, isValid, form)
		require.Equal(t, file, r.encode(), form)
	}
	n, now := newLeader(t, 1)
	base := n.voter.Status().AppliedIndex
	n.selfMessages = nil
	checkReply := func(form string, p proposal) {
		t.Helper()
		n.handleProposal(now, 0, p.request().encode())
		require.Len(t, n.selfMessages, 1, form)
		require.EqualValues(t, channelProposalReply, n.selfMessages[0].channel)
		file := golden.Bytes(t, form, n.selfMessages[0].bytes)
		r, isValid := decodeProposalReply(file)
		require.True(t, isValid, form)
		require.Equal(t, file, r.encode(), form)
		n.selfMessages = nil
	}
	checkReply("reply-base", *p)
	based.baseIndex = base
	checkReply("reply-committed", based)
	withdrawn.baseIndex, withdrawn.id.number = base, 301
	checkReply("reply-not-committed", withdrawn)
	withdrawn.baseIndex, withdrawn.id.number = base+1000, 302
	checkReply("reply-unknown", withdrawn)
	other, err := New(Settings{Self: 0, Agents: 3, Voters: []int{0, 1, 2}, Incarnation: 1, Seed: 3}, now)
	require.NoError(t, err)
	n = other
	checkReply("reply-no-leader", based)
	require.Equal(t, []proposalOutcome{replyUnknown, replyCommitted, replyNotCommitted, replyForgotten}, []proposalOutcome{
		replyFor(raftlog.Unknown), replyFor(raftlog.Committed), replyFor(raftlog.NotCommitted), replyFor(raftlog.Forgotten),
	})
	golden.Bytes(t, "reply-outcomes", []byte{
		byte(replyBase), byte(replyUnknown), byte(replyCommitted), byte(replyNotCommitted), byte(replyForgotten),
		byte(replyNoLeader),
	})
}

// TestGoldenDatagrams checks the numbers of the channels, and the encoding of messages with a membership update in front.
func TestGoldenDatagrams(t *testing.T) {
	golden.Bytes(t, "channels", []byte{
		channelRaft, channelGossip, channelLeaseRequest, channelLeaseGrant, channelProposal, channelProposalReply, channelApplication,
		channelApplicationReply,
	})
	n, now := newLeader(t, 30)
	n.Out(now)
	n.sendWithUpdate(now, 7, channelGossip, []byte("digest"))
	n.sendWithUpdate(now, 8, channelLeaseRequest, []byte("request"))
	n.sendWithUpdate(now, 9, channelLeaseGrant, []byte("grant"))
	n.send(now, 10, channelProposal, []byte("propose"))
	sent := n.Out(now).Datagrams
	require.Len(t, sent, 4)
	for i, name := range []string{"datagram-gossip", "datagram-lease-request", "datagram-lease-grant", "datagram-proposal"} {
		file := golden.Bytes(t, name, sent[i].Bytes)
		other := fragment.New(fragment.Config{Agents: 30, Incarnation: 5})
		got := other.Receive(steadyTime(now), 0, file)
		require.Len(t, got, 1)
		if name == "datagram-proposal" {
			require.Equal(t, "propose", string(got[0].Bytes))
			continue
		}
		rest, isValid := n.handleUpdate(now, 5, got[0].Bytes)
		require.True(t, isValid)
		require.Equal(t, []string{"digest", "request", "grant"}[i], string(rest))
	}
}

// TestGoldenSlots checks that the encodings of messages of applications after the first match the golden files and decode
// to the same messages.
func TestGoldenSlots(t *testing.T) {
	s := &applicationStack{others: []Application{nil, stubApplication{}}}
	for name, data := range map[string][]byte{
		"slotted-short": []byte("short"), "slotted-long": make([]byte, minSlottedBytes+10), "slotted-empty": {},
	} {
		file := golden.Bytes(t, name, encodeSlot(1, data))
		require.True(t, isSlotted(file))
		slot, a, content := s.decodeSlot(file)
		require.Equal(t, 1, slot)
		require.NotNil(t, a)
		require.Equal(t, data, content)
		require.Equal(t, file, encodeSlot(slot, content))
	}
}

// stubApplication is an Application whose methods must not be called.
type stubApplication struct{ Application }

// TestGoldenResults checks the names of results in operators' commands.
func TestGoldenResults(t *testing.T) {
	require.Equal(t, []string{"waiting", "taken", "not taken", "ask again", "ask again"},
		[]string{Pending.String(), Committed.String(), NotCommitted.String(), Indeterminate.String(), Result(200).String()})
}
