package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHistoryIsLinearizable checks that histories without a fault are linearizable, and that each injected fault is found.
func TestHistoryIsLinearizable(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		record func(h *History)
		want   bool
	}{
		"in order": {func(h *History) {
			h.ProposalMade(1*s, "a")
			h.VersionRead(2*s, 2*s, 0)
			h.ProposalAnswered(3*s, "a", 1, 4*s)
			h.VersionRead(4*s, 4*s, 1)
			h.VersionRead(4*s, 4*s, 0) // within the clock error
			h.VersionRead(5*s, 5*s, 1)
		}, true},
		"a repeated proposal is applied once": {func(h *History) {
			h.ProposalMade(1*s, "a")
			h.ProposalAnswered(3*s, "a", 1, 2*s)
			h.ProposalMade(3*s, "a")
			h.ProposalAnswered(4*s, "a", 1, 2*s)
			h.VersionRead(5*s, 5*s, 1)
		}, true},
		"one proposal accepted as two versions": {func(h *History) {
			h.ProposalMade(1*s, "a")
			h.ProposalAnswered(3*s, "a", 1, 2*s)
			h.ProposalAnswered(4*s, "a", 2, 2*s)
		}, false},
		"older version read after the newer": {func(h *History) {
			h.ProposalMade(1*s, "a")
			h.ProposalAnswered(2*s, "a", 1, 2*s)
			h.VersionRead(3*s, 3*s, 1)
			h.VersionRead(4*s, 4*s, 0)
		}, false},
		"version read before it was proposed": {func(h *History) {
			h.VersionRead(s, s, 1)
			h.ProposalMade(3*s, "a")
			h.ProposalAnswered(4*s, "a", 1, 4*s)
		}, false},
		"accepted version never read": {func(h *History) {
			h.ProposalMade(s, "a")
			h.ProposalAnswered(2*s, "a", 1, 2*s)
			h.VersionRead(5*s, 5*s, 0)
		}, false},
		"rejected proposal read": {func(h *History) {
			h.ProposalMade(s, "a")
			h.ProposalAnswered(2*s, "a", 0, 0)
			h.VersionRead(5*s, 5*s, 1)
		}, false},
		"two proposals accepted as one version": {func(h *History) {
			h.ProposalMade(s, "a")
			h.ProposalMade(s, "b")
			h.ProposalAnswered(2*s, "a", 1, 0)
			h.ProposalAnswered(2*s, "b", 1, 0)
		}, false},
	} {
		h := NewHistory(200 * time.Millisecond)
		c.record(h)
		require.Equal(t, c.want, h.IsLinearizable(), name)
	}
}
