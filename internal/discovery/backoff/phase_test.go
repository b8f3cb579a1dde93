package backoff

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// Whatever happens, in any order: unless discovery has accepted the current call, a call is due soon. A planned call is
// never put off.
func TestCallIsAlwaysDueWithoutWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := New(Settings{Agents: rapid.IntRange(1, 5000).Draw(t, "agents"), MaxPollInterval: 10 * time.Second, DrainGrace: grace})
		now := time.Hour
		s.CallStarted(now)
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond
			before, wasPlanned := s.NextCallAt()
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				s.CallStarted(now)
			case 1:
				s.AddressChanged(now)
			case 2:
				s.Accepted()
			case 3:
				s.Answered(ListContent(rapid.Bool().Draw(t, "entries")))
			case 4:
				s.OtherWatchEnded(now, time.Duration(rapid.IntRange(0, 3000).Draw(t, "silence"))*time.Millisecond)
			case 5:
				result := rapid.SampledFrom([]CallResult{WatchSilent, WatchLost, CallFailed, Unreadable, AddressMoved}).Draw(t, "result")
				s.CallEnded(now, result, rapid.Float64Range(0, 1).Draw(t, "draw"))
			default:
				if s.IsDue(now) {
					s.CallStarted(now)
				}
			}
			after, isPlanned := s.NextCallAt()
			if wasPlanned && isPlanned && now < before {
				require.LessOrEqual(t, after, before)
			}
			require.True(t, s.phase == watching || s.IsDue(now+s.settings.MaxPollInterval/2))
		}
	})
}
