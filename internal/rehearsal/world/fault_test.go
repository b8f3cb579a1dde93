package world

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// outcomes counts how attempts ended, in addition to judging the run.
type outcomes struct {
	*judge.Judge
	ended [record.UnreadableAnswer + 1]int
}

func (o *outcomes) Observe(e *record.Event) {
	if e.Kind == record.AttemptEnded {
		o.ended[e.Outcome]++
	}
	o.Judge.Observe(e)
}

// TestWireFaultOutcomes checks that each fault on the wire leads to its outcome in a simulated run and
// breaks no rule.
func TestWireFaultOutcomes(t *testing.T) {
	for _, f := range scenario.AnswerFaults {
		t.Run(string(f), func(t *testing.T) {
			sc, err := scenario.Load("../../../rehearsals/calm-monday.toml")
			require.NoError(t, err)
			text, err := scenario.Encode(sc)
			require.NoError(t, err)
			fault := "\n[[trouble]]\nkind = \"on_wire\"\nat_s = 2\nfor_s = 20\npart = 0.3\nsize = 0.3\nfault = \"" + string(f) + "\"\n"
			sc, err = scenario.Parse("day", []byte(strings.TrimSpace(string(text))+fault))
			require.NoError(t, err)
			sc.Run.Length /= 3
			o := &outcomes{Judge: judge.New(sc)}
			require.NoError(t, Play(t.Context(), sc, 1, o, Options{}))
			for _, rule := range o.Verdict().Rules {
				require.Nil(t, rule.First)
			}
			shows := map[scenario.FaultEffect]record.Outcome{
				scenario.Unanswered:       record.Abandoned,
				scenario.BreaksConnection: record.Broken, scenario.Unreadable: record.UnreadableAnswer,
			}
			if of, is := shows[f.Effect()]; is {
				require.Greater(t, o.ended[of], 100)
			}
		})
	}
}
