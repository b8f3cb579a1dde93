package judge

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// What one register explains, and what it does not: each fault planted is seen.
func TestHistory(t *testing.T) {
	const s = time.Second
	for name, c := range map[string]struct {
		play func(h *History)
		is   bool
	}{
		"in order": {func(h *History) {
			h.Called(1*s, "a")
			h.Read(2*s, 2*s, 0)
			h.Answered(3*s, "a", 1, 4*s)
			h.Read(4*s, 4*s, 1)
			h.Read(4*s, 4*s, 0) // within the clocks' error
			h.Read(5*s, 5*s, 1)
		}, true},
		"a call that is made again changes once": {func(h *History) {
			h.Called(1*s, "a")
			h.Answered(3*s, "a", 1, 2*s)
			h.Called(3*s, "a")
			h.Answered(4*s, "a", 1, 2*s)
			h.Read(5*s, 5*s, 1)
		}, true},
		"it changes twice": {func(h *History) {
			h.Called(1*s, "a")
			h.Answered(3*s, "a", 1, 2*s)
			h.Answered(4*s, "a", 2, 2*s)
		}, false},
		"the older one after the newer": {func(h *History) {
			h.Called(1*s, "a")
			h.Answered(2*s, "a", 1, 2*s)
			h.Read(3*s, 3*s, 1)
			h.Read(4*s, 4*s, 0)
		}, false},
		"before it was asked for": {func(h *History) {
			h.Read(s, s, 1)
			h.Called(3*s, "a")
			h.Answered(4*s, "a", 1, 4*s)
		}, false},
		"told taken, and never acted on": {func(h *History) {
			h.Called(s, "a")
			h.Answered(2*s, "a", 1, 2*s)
			h.Read(5*s, 5*s, 0)
		}, false},
		"what was not taken is acted on": {func(h *History) {
			h.Called(s, "a")
			h.Answered(2*s, "a", 0, 0)
			h.Read(5*s, 5*s, 1)
		}, false},
		"two at one number": {func(h *History) {
			h.Called(s, "a")
			h.Called(s, "b")
			h.Answered(2*s, "a", 1, 0)
			h.Answered(2*s, "b", 1, 0)
		}, false},
	} {
		h := NewHistory(200 * time.Millisecond)
		c.play(h)
		require.Equal(t, c.is, h.IsLinearizable(), name)
	}
}
