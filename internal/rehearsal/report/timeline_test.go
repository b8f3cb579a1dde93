package report

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/timeline"
)

// The timeline has a column for each lane, faults first, and contains the first breach of each rule.
func TestTimelineLanesAndFirstBreaches(t *testing.T) {
	var line timeline.Timeline
	line.Add(3*time.Second, "versions", "n1", "acts on 7")
	line.Add(time.Second, timeline.Faults, "", "n1 paused")
	breach := &judge.Breach{At: judge.Moment(2 * time.Second), Text: "too late"}
	r := New("day", "", 1, nil, judge.Verdict{Rules: []judge.Rule{{Name: "answers", First: breach}, {Name: "drains"}}})
	r.SetTimeline(&line)
	require.Equal(t, []TimelineEntry{{1, timeline.Faults, "", "n1 paused"}, {2, Breaches, "", "answers: too late"}, {3, "versions", "n1", "acts on 7"}}, r.Timeline)
	var b strings.Builder
	table := r.timelineTable()
	table.write(&b)
	require.Equal(t, []string{"second", "faults", "breaches", "versions"}, strings.Fields(strings.SplitN(b.String(), "\n", 2)[0]))
	require.Contains(t, b.String(), "n1: acts on 7")
	for range 25_000 {
		line.Add(0, "versions", "n2", "acts on 8")
	}
	r.SetTimeline(&line)
	require.Equal(t, 20_000, len(r.Timeline))
	require.Equal(t, 5_004, r.TimelineDropped, "includes the breach, which is marked a second time")
	rows := r.timelineTable().rows
	require.Len(t, rows, maxShownEntries+1)
	require.Equal(t, "and 24804 more", rows[maxShownEntries][1])
}
