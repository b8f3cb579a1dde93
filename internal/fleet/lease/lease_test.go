package lease

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/fleet/replica"
	"dunestep/internal/simnet"
)

// TestNoAgentActsWithoutRecordAfterFence checks that no agent acts without a record after the fence of that record.
func TestNoAgentActsWithoutRecordAfterFence(t *testing.T) {
	decisions, underLease := 0, 0
	for seed := range uint64(200) {
		l := simulate(seed, "")
		require.Empty(t, l.violation, "seed %d", seed)
		decisions, underLease = decisions+l.decisions, underLease+l.underLease
	}
	require.Greater(t, float64(underLease)/float64(decisions), 0.25, "agents act under a lease in a large part of the decisions")
	t.Logf("%d decisions, %.2f of them under a lease", decisions, float64(underLease)/float64(decisions))
}

// TestEachProtectionIsNeeded checks that a violation is found if any one of the protections is disabled.
func TestEachProtectionIsNeeded(t *testing.T) {
	for _, disabled := range []string{"knowledge age", "request time", "decision time", "read start", "applied", "steady clock", "Unix time"} {
		t.Run(disabled, func(t *testing.T) {
			for seed := range uint64(200) {
				if simulate(seed, disabled).violation != "" {
					t.Logf("found by seed %d", seed)
					return
				}
			}
			t.Error("no violation within 200 seeds without this protection")
		})
	}
}

// TestLeasesAreKeptUnderLoss checks that, with loss as the only fault, agents nearly always hold a lease, and that the
// requests are distributed over the voters.
func TestLeasesAreKeptUnderLoss(t *testing.T) {
	for _, c := range []struct {
		loss, leased, perVoter float64
		isVoterDown            bool // one of the 3 voters is down
	}{{0, 1, 52, false}, {0.1, 0.999, 75, false}, {0.3, 0.98, 110, false}, {0, 1, 80, true}, {0.1, 0.99, 110, true}} {
		l := newLab(1, 300, simnet.Faults{Loss: c.loss, MinDelay: time.Millisecond, MaxDelay: 5 * time.Millisecond}, Terms{}, "")
		l.Run(l.Now() + 5*time.Second)
		if c.isVoterDown {
			l.Pause(2, l.Now()+time.Hour)
		}
		begin, sent := l.Now(), l.SentMessages[0]
		scheduleEvery(l, begin, begin+60*time.Second, 200*time.Millisecond, l.decide)
		l.Run(begin + 60*time.Second)
		leased, rate := float64(l.underLease)/float64(l.decisions), float64(l.SentMessages[0]-sent)/60
		t.Logf("loss %.0f%%, one of 3 voters down %v: under a lease %.4f, a voter sends %.0f/s", c.loss*100, c.isVoterDown, leased, rate)
		require.GreaterOrEqual(t, leased, c.leased)
		require.Less(t, rate, c.perVoter)
	}
}

// TestDecodeArbitraryBytes checks that decoding accepts only data whose encoding is within the bounds, and that the
// bounds of Terms are checked.
func TestDecodeArbitraryBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOf(rapid.Byte()).Draw(t, "data")
		r, err := DecodeRequest(data)
		if err == nil {
			require.LessOrEqual(t, len(r.Encode()), 60)
		}
		_, _ = DecodeGrant(data)
	})
	r := Request{Agent: 7, Incarnation: math.MaxUint64, Nonce: 1, Epoch: 2, Seq: 3}
	decoded, err := DecodeRequest(r.Encode())
	require.NoError(t, err)
	require.Equal(t, r, decoded)
	require.ErrorIs(t, Terms{Duration: 1, MaxKnowledgeAge: 1}.Validate(), ErrInvalidTerms)
	require.NoError(t, Terms{}.WithDefaults().Validate())
}

// TestClockCheckAndRejectionByMayGrant checks that a clock that differs from most voters' clocks is detected, with the
// time between request and grant as tolerance, and that MayGrant can reject a request at the time of the grant by its
// note.
func TestClockCheckAndRejectionByMayGrant(t *testing.T) {
	terms := Terms{}.WithDefaults()
	var notes []string
	g := NewGranter(GranterSettings{Terms: terms, Agents: 4, MayGrant: func(_ ClockReading, from int, r Request) bool {
		notes = append(notes, string(r.Note))
		return string(r.Note) != "no"
	}})
	h := NewHolder(HolderSettings{Terms: terms, Self: 3, Voters: []int{0, 1, 2}, Seed: 1}, ClockReading{})
	for i, c := range []struct {
		off  time.Duration
		note string
		want bool
	}{{0, "", false}, {time.Second, "", false}, {time.Second, "", true}, {0, "", true}, {0, "no", true}, {0, "", false}} {
		now := ClockReading{Unix: time.Duration(i+1) * 10 * time.Second, Mono: time.Duration(i+1) * 10 * time.Second}
		to, r, send := h.Tick(now)
		require.True(t, send)
		r.Note = []byte(c.note)
		decoded, err := DecodeRequest(r.Encode())
		require.NoError(t, err)
		voterReading := ClockReading{Unix: now.Unix + c.off, Mono: now.Mono}
		g.HandleRequest(voterReading, 3, decoded)
		replies := g.HandleConfirmed(voterReading, voterReading, replica.Position{Epoch: 1})
		require.Len(t, replies, 1)
		grant, err := DecodeGrant(replies[0].Grant.Encode())
		require.NoError(t, err)
		require.Equal(t, c.note == "no", grant.Rejected)
		h.HandleGrant(now, to, grant)
		require.Equal(t, c.want, h.IsClockOff(now), i)
		set := ClockReading{Unix: now.Unix + 5*time.Second, Mono: now.Mono}
		require.True(t, h.IsClockOff(set), "a clock that was set since the last comparison is detected")
	}
	require.Len(t, notes, 6)
	long, err := DecodeRequest(Request{Note: make([]byte, MaxNoteBytes+1)}.Encode())
	require.Error(t, err, long)
}
