package assignmentlog

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/ringassignment"
	"dunestep/internal/fleet"
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

// TestGoldenMessages checks the encoding of each kind of message that agents and voters send to voters.
func TestGoldenMessages(t *testing.T) {
	now := fleet.ClockReading{Unix: 1800000000 * time.Second, Mono: time.Hour}
	s := New(Settings{IsVoter: true, Incarnation: 1800000000123, MachineNumber: 3}, now)
	record := ringassignment.Change{
		Now: now.Unix, EffectiveAt: now.Unix, Members: []ringassignment.Member{{ID: "a-1", Points: 200}},
	}.Encode()
	s.SetPaces(map[string]float64{"lent": 0.9})
	s.Apply(1, record)
	now = fleet.ClockReading{Unix: now.Unix + 10*time.Second, Mono: now.Mono + 10*time.Second}
	s.RecordsApplied(now, false)
	now = fleet.ClockReading{Unix: now.Unix + 2*time.Second, Mono: now.Mono + 2*time.Second}
	due := s.NextActions(now, fleet.VoterState{IsVoter: true, Voters: []int{1}, Members: []int{1}, Generation: 5})
	require.Len(t, due.Messages, 3)
	require.Equal(t, []byte{messageAppliedGeneration, messageVoterReport, messagePaceReport},
		[]byte{due.Messages[0].Data[0], due.Messages[1].Data[0], due.Messages[2].Data[0]})
	stored := requireGolden(t, "messages.txt", []goldenForm{
		{"mark", due.Messages[0].Data},
		{"report", due.Messages[1].Data},
		{"word", due.Messages[2].Data},
		{"snapshot", s.Snapshot()},
	})
	require.Equal(t, stored["mark"], s.HandleMessage(now, 1, stored["mark"]))
	require.Nil(t, s.HandleMessage(now, 1, stored["report"]))
}
