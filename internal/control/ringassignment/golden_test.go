package ringassignment

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/fleet/lease"
)

// update rewrites the golden files. They were made by an earlier build: a change of a golden file is a change of
// the encoding that other builds read.
var update = flag.Bool("update", false, "rewrite testdata/golden")

// goldenForm is one encoded value and its name in a golden file.
type goldenForm struct {
	name string
	data []byte
}

// requireGolden requires that a golden file of lines "name hex" has exactly the given values, and returns the file's
// values by name.
func requireGolden(t *testing.T, file string, forms []goldenForm) map[string][]byte {
	t.Helper()
	path := filepath.Join("testdata", "golden", file)
	text := ""
	for _, f := range forms {
		text += f.name + " " + hex.EncodeToString(f.data) + "\n"
	}
	if *update {
		require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	}
	golden, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(golden), text, file)
	stored := map[string][]byte{}
	for line := range strings.Lines(string(golden)) {
		name, digits, _ := strings.Cut(strings.TrimSuffix(line, "\n"), " ")
		stored[name], err = hex.DecodeString(digits)
		require.NoError(t, err)
	}
	return stored
}

const goldenNow = 1800000000 * time.Second // Unix time

func goldenMembers() []Member {
	return []Member{
		{ID: "a-1", Phase: Complete, Points: 200},
		{ID: "a-2", Phase: Expected, FullPoints: 200, Since: 1799999990},
		{ID: "b-1", Phase: Joining, Points: 40, FullPoints: 360, Since: 1799999991, Penalty: 100},
		{ID: "b-2", Phase: Suspect, Points: 200, FullPoints: 180, Since: 1799999992, Penalty: 150},
		{ID: "c-1", Phase: Away, FullPoints: 200, Since: 1799999993, Penalty: 20},
		{ID: "c-2", Phase: Gone, Since: 1799999994, Penalty: 2000},
	}
}

// TestGoldenRecords checks that the records of the agreed log have the encoding that other builds read.
func TestGoldenRecords(t *testing.T) {
	changes := []struct {
		name string
		Change
	}{
		{"full", Change{
			Base: 3, Now: goldenNow, EffectiveAt: goldenNow + 500*time.Millisecond, Members: goldenMembers(),
			RemovedIDs: []string{"d-1", "d-2"}, OwedPoints: 80, LostAt: 1799999992,
			Paces: []Pace{{Kind: "lent", Percent: 90}, {Kind: "own", Percent: 110}},
		}},
		{"off", Change{Base: 4, Now: goldenNow, EffectiveAt: goldenNow + 500*time.Millisecond, Suspend: true}},
	}
	var forms []goldenForm
	for _, c := range changes {
		with := c.Change
		with.MovesKeys, with.Urgent = true, true // not part of the record
		require.Equal(t, c.Encode(), with.Encode())
		forms = append(forms, goldenForm{c.name, c.Encode()})
	}
	stored := requireGolden(t, "records.txt", forms)
	for _, c := range changes {
		var read Change
		require.NoError(t, decoding.Unmarshal(stored[c.name], &read), c.name)
		require.Equal(t, c.Change, read, c.name)
	}
}

// TestGoldenSnapshots checks the encoding of snapshots in which each part of the state is set.
func TestGoldenSnapshots(t *testing.T) {
	full := State{
		Number: 4, EffectiveAt: goldenNow, Suspended: true, Members: goldenMembers(), OwedPoints: 80, LostAt: 1799999992,
		Paces: []Pace{{Kind: "lent", Percent: 90}}, PacesChangedAt: 1799990000,
	}
	applied := NewStateMachine()
	for _, c := range []Change{
		{Now: goldenNow - time.Minute, EffectiveAt: goldenNow - time.Minute, Members: append(goldenMembers(), Member{ID: "d-1", Points: 9})},
		{
			Base: 1, Now: goldenNow, EffectiveAt: goldenNow + time.Second, RemovedIDs: []string{"d-1"}, OwedPoints: 200, LostAt: 1800000000,
			Members: []Member{{ID: "a-1", Phase: Suspect, Points: 200, Since: 1800000000, Penalty: 100}},
			Paces:   []Pace{{Kind: "own", Percent: 110}},
		},
	} {
		applied.Apply(0, c.Encode())
	}
	stored := requireGolden(t, "snapshots.txt", []goldenForm{
		{"new", NewStateMachine().Snapshot()},
		{"full", (&StateMachine{state: full}).Snapshot()},
		{"applied", applied.Snapshot()},
	})
	for name, state := range map[string]State{"new": {}, "full": full, "applied": applied.State()} {
		m := NewStateMachine()
		require.NoError(t, m.Restore(stored[name]), name)
		require.Equal(t, state, m.State(), name)
		require.Equal(t, stored[name], m.Snapshot(), name)
	}
}

// TestGoldenMessages checks the encoding of generation IDs and pace reports, which agents and voters send to each other.
func TestGoldenMessages(t *testing.T) {
	id := GenerationID{Number: 4, EffectiveAt: goldenNow}
	report := EncodePaceReport(map[string]float64{"own": 1.1, "lent": 0.9, "strange": -1})
	stored := requireGolden(t, "messages.txt", []goldenForm{
		{"mark", id.Encode(nil)}, {"word", report}, {"word-of-none", EncodePaceReport(nil)},
	})
	read, ok := DecodeGenerationID(stored["mark"])
	require.True(t, ok)
	require.Equal(t, id, read)
	proposer := NewProposer(Parameters{UsePaces: true}, lease.ClockReading{Unix: goldenNow})
	require.True(t, proposer.PaceReportReceived(lease.ClockReading{Unix: goldenNow}, 1, stored["word"]))
	require.Equal(t, 1, proposer.PaceReporters(lease.ClockReading{Unix: goldenNow}))
}

// TestGoldenNumbersAndWords checks the phases' numbers in the agreed state, and their words that operators' tools read.
func TestGoldenNumbersAndWords(t *testing.T) {
	require.Equal(t, []Phase{0, 1, 2, 3, 5, 6}, []Phase{Complete, Expected, Joining, Suspect, Away, Gone})
	for phase, word := range map[Phase]string{
		Complete: "whole", Expected: "expected", Joining: "joining", Suspect: "suspect", Away: "away", Gone: "gone",
	} {
		require.Equal(t, word, phase.String())
	}
}
