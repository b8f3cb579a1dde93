package maintenance

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestTurnCoversWholeWindow checks that it is a server's turn during all of a window that Covers allows,
// including the margins.
func TestTurnCoversWholeWindow(t *testing.T) {
	for h := range 24 * 8 {
		from := mondayNoon + time.Duration(h)*time.Hour
		to := from + 3*time.Hour
		for _, id := range []string{"x", "y", "z"} {
			if Turns(4).Covers(id, "", from, to) {
				for at := from - TurnMargin; at < to+TurnMargin; at += 10 * time.Minute {
					turn, until := Turns(4).At(at)
					require.Equal(t, Turns(4).Of(id, ""), turn)
					require.Greater(t, until, at)
				}
			}
		}
	}
	require.True(t, Turns(0).Covers("x", "", mondayNoon, mondayNoon+100*time.Hour))
}
