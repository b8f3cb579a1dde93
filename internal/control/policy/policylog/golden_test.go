package policylog

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/policy"
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

// TestGoldenMessages checks the encoding of an agent's answer to an open change, of a voter's acknowledgement, and of
// the record that proposes a document.
func TestGoldenMessages(t *testing.T) {
	now := fleet.ClockReading{Unix: 1800000000 * time.Second, Mono: time.Hour}
	s := New(Settings{Self: 3, IsVoter: true, Incarnation: 1800000000123, MachineNumber: 1, Local: testSettings}, now)
	record, err := s.EncodeProposal(now, "p-1", []byte("format = 1\n[tenants.east]\nshare = 0.5\n"), now.Unix+2*time.Second)
	require.NoError(t, err)
	s.Apply(1, record)
	s.RecordsApplied(now, false)
	due := s.NextActions(now, fleet.VoterState{Voters: []int{1, 3}})
	require.Len(t, due.Messages, 2)
	require.Equal(t, due.Messages[0].Data, due.Messages[1].Data)
	stored := requireGolden(t, "messages.txt", []goldenForm{
		{"record", record},
		{"answer", due.Messages[0].Data},
		{"heard", s.HandleMessage(now, 2, due.Messages[0].Data)},
		{"note", s.LeaseNote()},
		{"snapshot", s.Snapshot()},
	})
	require.Equal(t, stored["heard"], s.HandleMessage(now, 2, stored["answer"]))
	note, ok := policy.DecodeAnswer(stored["heard"])
	require.True(t, ok)
	require.Equal(t, policy.Answer{Version: 1}, note)
}
