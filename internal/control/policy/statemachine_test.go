package policy

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// proposal returns the record of a proposal made from version 0, whose floor has the given number of attempts.
func proposal(t require.TestingT, id string, floor int) []byte {
	data, err := EncodeProposal(Proposal{
		ID: id, Now: time.Hour, EffectiveAt: time.Hour + time.Second,
		Document: fmt.Appendf(nil, "format = 1\n[floor]\nattempts = %d\n", floor),
	})
	require.NoError(t, err)
	return data
}

// TestOutcomesInLogOrder checks that of two concurrent proposals the first in the log is accepted, and the reason of each
// kind of rejection.
func TestOutcomesInLogOrder(t *testing.T) {
	m := NewStateMachine()
	apply := func(data []byte) { m.Apply(0, data) }
	outcome := func(id string) string { o := m.Outcome(id); return o.Status.String() + ": " + o.Reason() }
	require.Equal(t, "ask again: ", outcome("a"))
	apply(proposal(t, "a", 2))
	apply(proposal(t, "b", 2))
	require.Equal(t, "ask again: ", outcome("a"))
	require.Equal(t, "not taken: another change, version 1, is open", outcome("b"))
	apply(marshal(record{Kind: kindActivated, Version: 1}))
	apply(marshal(record{Kind: kindAbandoned, Version: 1, Code: UnreadableDocument, Text: "late"}))
	require.Equal(t, "taken: ", outcome("a"))
	before := m.Snapshot()
	apply(proposal(t, "a", 2)) // a repeated proposal has no effect
	require.Equal(t, before, m.Snapshot())
	apply(proposal(t, "c", 2))
	require.Equal(t, "not taken: version 1 is in force, not the one that the document was made from", outcome("c"))
	early, _ := EncodeProposal(Proposal{ID: "d", BaseVersion: 1, Now: time.Hour, EffectiveAt: time.Hour, Document: []byte("format = 1")})
	apply(early)
	require.Equal(t, "not taken: version 1 has not taken effect yet", outcome("d"))
	late := func(id string, base uint64, floor int) {
		data, _ := EncodeProposal(Proposal{
			ID: id, BaseVersion: base, Now: 2 * time.Hour, EffectiveAt: 2 * time.Hour,
			Document: fmt.Appendf(nil, "format = 1\n[floor]\nattempts = %d\n", floor),
		})
		apply(data)
	}
	late("e", 1, 1)
	apply(marshal(record{Kind: kindAbandoned, Version: 2, Agent: 7, Code: UnknownClass, Text: "no such class"}))
	require.Equal(t, "not taken: agent 7 cannot use the document: no such class", outcome("e"))
	require.Equal(t, uint64(1), m.State().InForce.Number)
	late("f", 1, 1)
	apply(marshal(record{Kind: kindActivated, Version: 3}))
	late("g", 3, 2)
	require.Equal(t, "not taken: agents that are cut off may still act within the floor that version 3 replaced", outcome("g"))
	apply(marshal(record{Kind: kindFloorReleased, Version: 3}))
	late("h", 3, 2)
	require.Equal(t, "ask again: ", outcome("h"))
	doc, ok := m.Document(1)
	require.True(t, ok)
	require.Contains(t, string(doc), "attempts = 2")
}

// TestArbitraryRecords checks that arbitrary records give the same bounded state with and without restoring snapshots, and
// that arbitrary snapshots and answers can be decoded without a crash.
func TestArbitraryRecords(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m, other := NewStateMachine(), NewStateMachine()
		for i := range rapid.IntRange(0, 120).Draw(t, "records") {
			data := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "bytes")
			if kind := rapid.IntRange(0, 9).Draw(t, "kind"); kind > 0 {
				st := m.State()
				data = marshal(record{
					Kind: kindActivated, Version: st.LastNumber, ID: fmt.Sprint(i), BaseVersion: st.InForce.Number, Now: time.Duration(i),
					EffectiveAt: time.Duration(i), Document: make([]byte, rapid.IntRange(0, MaxDocumentSize+1).Draw(t, "length")),
				})
				if kind > 1 && st.OpenChange == nil {
					data[1] = byte(kindProposed)
				} else {
					data[1] = byte(rapid.IntRange(1, 7).Draw(t, "any"))
				}
			}
			m.Apply(uint64(i), data)
			if rapid.IntRange(0, 5).Draw(t, "restored") == 0 {
				require.NoError(t, other.Restore(other.Snapshot()))
			}
			other.Apply(uint64(i), data)
		}
		require.Equal(t, m.Snapshot(), other.Snapshot())
		require.Less(t, len(m.Snapshot()), 50<<10)
		_ = other.Restore(rapid.SliceOf(rapid.Byte()).Draw(t, "snapshot"))
		n, ok := DecodeAnswer(rapid.SliceOf(rapid.Byte()).Draw(t, "note"))
		if again, is := DecodeAnswer(n.Encode()); ok {
			require.True(t, is)
			require.Equal(t, n.Version, again.Version)
			require.LessOrEqual(t, len(n.Encode()), MaxAnswerSize)
		}
	})
}
