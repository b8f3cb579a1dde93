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

// tape is a state machine whose state is the data of all records.
type tape struct{ data []byte }

func (m *tape) Apply(_ uint64, data []byte) { m.data = append(m.data, data...) }
func (m *tape) Snapshot() []byte            { return m.data }

func (m *tape) Restore(data []byte) error {
	m.data = append([]byte(nil), data...)
	return nil
}

// TestGoldenRecord checks that a record, and a snapshot in the voters' log, are encoded as ever and decoded to the same.
func TestGoldenRecord(t *testing.T) {
	name := proposalName{1 << 63, 300}
	file := golden.Bytes(t, "record", encodeRecord(2, name, []byte("data")))
	machine, decoded, data, isValid := decodeRecord(file)
	require.True(t, isValid)
	require.Equal(t, name, decoded)
	require.Equal(t, file, encodeRecord(machine, decoded, data))

	s := replica.Snapshot{Epoch: 1_800_000_000_000, Seq: 300, Sum: 1 << 62, Data: []byte("states")}
	file = golden.Bytes(t, "snapshot", encodeSnapshot(s))
	read, err := decodeSnapshot(file)
	require.NoError(t, err)
	require.Equal(t, s, read)
	require.Equal(t, file, encodeSnapshot(read))
}

// TestGoldenStates checks that the states in a snapshot are encoded as ever, and that what an earlier build keeps for later
// ones is encoded again as it was.
func TestGoldenStates(t *testing.T) {
	later := stateMachines{known: []StateMachine{&tape{}, &tape{}, &tape{}}}
	earlier := stateMachines{known: []StateMachine{&tape{}}}
	for seq, c := range []struct {
		machine uint8
		data    string
	}{{0, "zero"}, {1, "one"}, {0, "more"}, {2, ""}} {
		require.NoError(t, later.apply(uint64(seq)+1, encodeRecord(c.machine, proposalName{9, uint64(seq)}, []byte(c.data))))
	}
	b, err := later.snapshot()
	require.NoError(t, err)
	file := golden.Bytes(t, "states", b)
	require.NoError(t, earlier.restore(file))
	b, err = earlier.snapshot()
	require.NoError(t, err)
	require.Equal(t, file, b, "an earlier build's")
	require.ErrorIs(t, earlier.apply(5, encodeRecord(1, proposalName{9, 5}, []byte("kept"))), errUnknownMachine)
	b, err = earlier.snapshot()
	require.NoError(t, err)
	file = golden.Bytes(t, "states-kept", b)
	require.NoError(t, earlier.restore(file))
	b, err = earlier.snapshot()
	require.NoError(t, err)
	require.Equal(t, file, b, "an earlier build's")
	require.NoError(t, later.restore(file))
	require.Equal(t, "onekept", string(later.known[1].(*tape).data))
}

// newLeader returns a node that is the only voter, and leads.
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

// TestGoldenProposals checks that requests to voters about proposals, and their replies, are encoded as ever, and decoded to
// the same.
func TestGoldenProposals(t *testing.T) {
	name := proposalName{1 << 63, 300}
	p := &proposal{name: name, record: encodeRecord(1, name, []byte("data"))}
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
	replied := func(form string, p proposal) {
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
	replied("reply-base", *p)
	based.baseIndex = base
	replied("reply-committed", based)
	withdrawn.baseIndex, withdrawn.name.number = base, 301
	replied("reply-not-committed", withdrawn)
	withdrawn.baseIndex, withdrawn.name.number = base+1000, 302
	replied("reply-unknown", withdrawn)
	other, err := New(Settings{Self: 0, Agents: 3, Voters: []int{0, 1, 2}, Incarnation: 1, Seed: 3}, now)
	require.NoError(t, err)
	n = other
	replied("reply-no-leader", based)
	require.Equal(t, []proposalOutcome{replyUnknown, replyCommitted, replyNotCommitted, replyForgotten}, []proposalOutcome{
		replyFor(raftlog.Unknown), replyFor(raftlog.Committed), replyFor(raftlog.NotCommitted), replyFor(raftlog.Forgotten),
	})
	golden.Bytes(t, "reply-outcomes", []byte{
		byte(replyBase), byte(replyUnknown), byte(replyCommitted), byte(replyNotCommitted), byte(replyForgotten),
		byte(replyNoLeader),
	})
}

// TestGoldenDatagrams checks the channels of messages, and that membership updates precede them as ever.
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
		rest, isValid := n.takeUpdate(now, 5, got[0].Bytes)
		require.True(t, isValid)
		require.Equal(t, []string{"digest", "request", "grant"}[i], string(rest))
	}
}

// TestGoldenSlots checks that messages of stacked applications after the first are encoded as ever, and decoded to the same.
func TestGoldenSlots(t *testing.T) {
	s := &applicationStack{others: []Application{nil, silent{}}}
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

// silent is an Application that is never called.
type silent struct{ Application }

// TestGoldenResults checks the names that operators' commands show.
func TestGoldenResults(t *testing.T) {
	require.Equal(t, []string{"waiting", "taken", "not taken", "ask again", "ask again"},
		[]string{Pending.String(), Committed.String(), NotCommitted.String(), Indeterminate.String(), Result(200).String()})
}
