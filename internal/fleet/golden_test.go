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

// tape is a machine whose state is all that it was told.
type tape struct{ said []byte }

func (m *tape) Apply(_ uint64, data []byte) { m.said = append(m.said, data...) }
func (m *tape) Snapshot() []byte            { return m.said }

func (m *tape) Restore(data []byte) error {
	m.said = append([]byte(nil), data...)
	return nil
}

// TestGoldenRecord: a record, and a snapshot of the log above the voters', keep their bytes, and are read from them as they
// were.
func TestGoldenRecord(t *testing.T) {
	name := proposalName{1 << 63, 300}
	file := golden.Bytes(t, "record", encodeRecord(2, name, []byte("data")))
	machine, back, data, ok := decodeRecord(file)
	require.True(t, ok)
	require.Equal(t, name, back)
	require.Equal(t, file, encodeRecord(machine, back, data))

	s := replica.Snapshot{Epoch: 1_800_000_000_000, Seq: 300, Sum: 1 << 62, Data: []byte("states")}
	file = golden.Bytes(t, "snapshot", encodeSnapshot(s))
	read, err := decodeSnapshot(file)
	require.NoError(t, err)
	require.Equal(t, s, read)
	require.Equal(t, file, encodeSnapshot(read))
}

// TestGoldenStates: the machines' states in a snapshot keep their bytes, and what an earlier build keeps for later ones is
// written again as it was.
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
	require.Equal(t, "onekept", string(later.known[1].(*tape).said))
}

// alone is a node that is the only voter, and leads. All that it says goes to itself or, if it is of more agents, to them.
func alone(t *testing.T, agents int) (*Node, ClockReading) {
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

// TestGoldenProposals: what goes to a voter of a proposal, and what it answers, keeps its bytes.
func TestGoldenProposals(t *testing.T) {
	name := proposalName{1 << 63, 300}
	p := &proposal{name: name, record: encodeRecord(1, name, []byte("data"))}
	based, recalled := *p, *p
	based.baseIndex, recalled.baseIndex, recalled.isWithdrawn = 70_000, 70_000, true
	for form, p := range map[string]*proposal{"propose-first": p, "propose": &based, "withdraw": &recalled} {
		golden.Bytes(t, form, p.encode())
	}
	n, now := alone(t, 1)
	base := n.voter.Status().AppliedIndex
	n.selfMessages = nil
	answered := func(form string, p proposal) {
		t.Helper()
		n.handleProposal(now, 0, p.encode())
		require.Len(t, n.selfMessages, 1, form)
		require.EqualValues(t, channelProposalReply, n.selfMessages[0].channel)
		golden.Bytes(t, form, n.selfMessages[0].bytes)
		n.selfMessages = nil
	}
	answered("outcome-base", *p)
	based.baseIndex = base
	answered("outcome-taken", based)
	recalled.baseIndex, recalled.name.number = base, 301
	answered("outcome-not-taken", recalled)
	recalled.baseIndex, recalled.name.number = base+1000, 302
	answered("outcome-unknown", recalled)
	other, err := New(Settings{Self: 0, Agents: 3, Voters: []int{0, 1, 2}, Incarnation: 1, Seed: 3}, now)
	require.NoError(t, err)
	n = other
	answered("outcome-no-leader", based)
	require.Equal(t, []byte{replyUnknown, replyCommitted, replyNotCommitted, replyForgotten}, []byte{
		replyFor(raftlog.Unknown), replyFor(raftlog.Committed), replyFor(raftlog.NotCommitted), replyFor(raftlog.Forgotten),
	})
	golden.Bytes(t, "outcomes", []byte{
		replyBase, replyUnknown, replyCommitted, replyNotCommitted, replyForgotten, replyNoLeader,
	})
}

// TestGoldenDatagrams: messages of a node go on their channels, and with a word before them where they had one.
func TestGoldenDatagrams(t *testing.T) {
	golden.Bytes(t, "channels", []byte{
		channelRaft, channelGossip, channelLeaseRequest, channelLeaseGrant, channelProposal, channelProposalReply, channelApplication,
		channelApplicationReply,
	})
	n, now := alone(t, 30)
	n.Out(now)
	n.sendWithUpdate(now, 7, channelGossip, []byte("digest"))
	n.sendWithUpdate(now, 8, channelLeaseRequest, []byte("request"))
	n.sendWithUpdate(now, 9, channelLeaseGrant, []byte("grant"))
	n.send(now, 10, channelProposal, []byte("propose"))
	sent := n.Out(now).Datagrams
	require.Len(t, sent, 4)
	for i, name := range []string{"datagram-spread", "datagram-lease", "datagram-grant", "datagram-propose"} {
		file := golden.Bytes(t, name, sent[i].Bytes)
		other := fragment.New(fragment.Config{Agents: 30, Incarnation: 5})
		got := other.Receive(steadyTime(now), 0, file)
		require.Len(t, got, 1)
		if name == "datagram-propose" {
			require.Equal(t, "propose", string(got[0].Bytes))
			continue
		}
		rest, ok := n.takeUpdate(now, 5, got[0].Bytes)
		require.True(t, ok)
		require.Equal(t, []string{"digest", "request", "grant"}[i], string(rest))
	}
}

// TestGoldenPlaced: messages of what is stacked after the first keep their bytes, and are read from them as they were.
func TestGoldenPlaced(t *testing.T) {
	s := &applicationStack{others: []Application{nil, said{}}}
	for name, data := range map[string][]byte{
		"placed-short": []byte("short"), "placed-long": make([]byte, minSlottedBytes+10), "placed-empty": {},
	} {
		file := golden.Bytes(t, name, encodeSlot(1, data))
		require.True(t, isSlotted(file))
		i, a, rest := s.decodeSlot(file)
		require.Equal(t, 1, i)
		require.NotNil(t, a)
		require.Equal(t, data, rest)
		require.Equal(t, file, encodeSlot(i, rest))
	}
}

// said is an Application of which only the place is looked at.
type said struct{ Application }

// TestGoldenResults: staff's commands and pages show these words.
func TestGoldenResults(t *testing.T) {
	require.Equal(t, []string{"waiting", "taken", "not taken", "ask again", "ask again"},
		[]string{Pending.String(), Committed.String(), NotCommitted.String(), Indeterminate.String(), Result(200).String()})
}
