package maintenancelog

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/fleet"
)

// update rewrites the golden files. They were made by an earlier build: a change of a golden file is a change of
// the format that other builds read.
var update = flag.Bool("update", false, "rewrite testdata/golden")

// goldenForm is an encoded value with its name in a golden file.
type goldenForm struct {
	name string
	data []byte
}

// requireGolden requires that encoded forms equal those in a golden file of lines "name hex", and returns the
// decoded bytes of the file by name.
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

// TestGoldenMessages checks that the encodings of a proposal, an operator's stop, an agent's report to voters
// and a snapshot are unchanged.
func TestGoldenMessages(t *testing.T) {
	w := newLeader(t)
	w.settings.Incarnation = 1800000000123
	request := maintenance.WindowRequest{
		ID: "a", Agent: 3, Nodes: []string{"n1"}, Tenants: []string{"east"}, From: mondayNoon + 9*time.Hour,
		To: mondayNoon + 11*time.Hour,
	}
	record, _, err := w.EncodeProposal(at(0), request, maintenance.PlanInput{
		Servers: w.nodes, Contracts: w.active.Effect.Contracts,
		TenantLoads: map[string]float64{"east": 0.5}, PeakLoad: 0.5, PolicyVersion: 1,
	})
	require.NoError(t, err)
	w.Apply(1, record)
	w.RecordsApplied(at(0), false)
	moving := at(9*time.Hour + time.Second)
	w.SetOverloaded(true)
	w.AddCounts(moving, []maintenance.TenantCounts{{Tenant: "east", Requests: 100, Served: 80, Failed: 15, ExclusionOverrides: 5}})
	actions := w.NextActions(moving, fleet.VoterState{Voters: []int{1}})
	require.Len(t, actions.Messages, 1)
	requireGolden(t, "messages.txt", []goldenForm{
		{"ask", record},
		{"stop", w.EncodeStop(moving, "a", "by staff")},
		{"word", actions.Messages[0].Data},
		{"snapshot", w.Snapshot()},
	})
}
