package maintenance

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/policy"
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

const goldenNow = 1800000000 * time.Second // Unix time

func goldenWindow() *storedWindow {
	return &storedWindow{
		ID: "disk of n1", Agent: 3, Nodes: []string{"n1", "n2"}, Tenants: []string{"-", "east"},
		From: goldenNow + time.Hour, DrainedAt: goldenNow + time.Hour + 100*time.Second,
		ReturnFrom: goldenNow + 2*time.Hour, To: goldenNow + 2*time.Hour + 100*time.Second, Steps: 100, PolicyVersion: 7,
		MinNotice: MinNotice,
	}
}

// goldenWindowFull returns a window in which no field is zero.
func goldenWindowFull() *storedWindow {
	w := goldenWindow()
	w.ID, w.State, w.StateSince, w.HeldSteps, w.Reason = "racks", Paused, goldenNow+time.Hour+time.Minute, 60, "a reason"
	w.ChangeCount, w.ConfirmedAt = 2, goldenNow+time.Second
	return w
}

// TestGoldenRecords checks that the encoding of the agreed log's records is unchanged.
func TestGoldenRecords(t *testing.T) {
	records := []struct {
		name string
		record
	}{
		{"asked", record{
			Kind: kindAccepted, ID: "disk of n1", Agent: 3, Now: goldenNow, PolicyVersion: 7, Revision: 4,
			Window: goldenWindow(),
		}},
		{"noted", record{Kind: kindConfirmed, ID: "racks", Now: goldenNow + time.Second}},
		{"freed", record{Kind: kindTrafficFree, ID: "racks", Now: goldenNow + time.Minute, ChangeCount: 1}},
		{"paused", record{
			Kind: kindPaused, ID: "racks", Now: goldenNow + time.Minute, ChangeCount: 1,
			Reason: "less capacity remains",
		}},
		{"resumed", record{Kind: kindResumed, ID: "racks", Now: goldenNow + time.Minute, ChangeCount: 2}},
		{"returned", record{Kind: kindReturned, ID: "racks", Now: goldenNow + time.Minute, ChangeCount: 3, Reason: "x"}},
		{"stopped", record{Kind: kindStopped, ID: "racks", Agent: 4, Now: goldenNow + time.Minute, Reason: "by staff"}},
		{"ended", record{Kind: kindEnded, ID: "racks", Now: goldenNow + 3*time.Hour, ChangeCount: 4}},
	}
	var forms []goldenForm
	for i, r := range records {
		require.Equal(t, i+1, int(r.Kind))
		forms = append(forms, goldenForm{r.name, marshal(r.record)})
	}
	stored := requireGolden(t, "records.txt", forms)
	for _, r := range records {
		var read record
		require.NoError(t, decoding.Unmarshal(stored[r.name], &read), r.name)
		require.Equal(t, r.record, read, r.name)
		require.Equal(t, r.name == "freed", IsTrafficFreeRecord(stored[r.name]))
	}
	accepted, err := EncodeProposal(Proposal{
		Window: goldenWindow().window(), Agent: 3, Now: goldenNow, PolicyVersion: 7, Revision: 4,
	})
	require.NoError(t, err)
	require.Equal(t, stored["asked"], accepted)
	require.Equal(t, stored["stopped"], EncodeStop("racks", 4, goldenNow+time.Minute, "by staff"))
}

// TestGoldenSnapshots checks that the encoding of the agreed state, with all its parts, is unchanged.
func TestGoldenSnapshots(t *testing.T) {
	full := state{
		Revision: 5, Now: goldenNow + time.Minute, Windows: []*storedWindow{goldenWindow(), goldenWindowFull()},
		History: []tenantHistory{{Tenant: "east", BeginMinutes: []uint32{29990000, 29995000}}, {Tenant: "west", BeginMinutes: []uint32{29991000}}},
		Outcomes: []Outcome{
			{ID: "disk of n1", Status: policy.StatusAccepted},
			{ID: "a", Status: policy.StatusRejected, Cause: PolicyChanged, Found: 7},
			{ID: "b", Status: policy.StatusRejected, Cause: TooManyWindows},
		},
	}
	applied := NewStateMachine(func() uint64 { return 7 })
	f := goldenWindow()
	f.MinNotice = time.Hour
	early := *f
	early.ID, early.From, early.DrainedAt = "early", f.From+time.Hour, f.DrainedAt+time.Hour
	early.ReturnFrom, early.To = f.ReturnFrom+time.Hour, f.To+time.Hour
	for _, r := range []record{
		{Kind: kindAccepted, ID: f.ID, Agent: 3, Now: goldenNow, PolicyVersion: 7, Window: f},
		{Kind: kindAccepted, ID: early.ID, Agent: 4, Now: goldenNow, PolicyVersion: 7, Revision: 1, Window: &early},
		{Kind: kindAccepted, ID: "old", Agent: 4, Now: goldenNow, PolicyVersion: 6, Revision: 2, Window: &storedWindow{ID: "old"}},
		{Kind: kindConfirmed, ID: f.ID, Now: goldenNow + time.Second},
		{Kind: kindConfirmed, ID: early.ID, Now: goldenNow + time.Second},
		{Kind: kindPaused, ID: f.ID, Now: f.From + 40*time.Second, ChangeCount: 1, Reason: "a reason"},
		{Kind: kindResumed, ID: f.ID, Now: f.From + 60*time.Second, ChangeCount: 2},
		{Kind: kindTrafficFree, ID: f.ID, Now: f.From + 10*time.Minute, ChangeCount: 3},
		{Kind: kindEnded, ID: f.ID, Now: f.To, ChangeCount: 4},
		{Kind: kindStopped, ID: early.ID, Agent: 5, Now: early.From + 30*time.Second, Reason: "by staff"},
	} {
		applied.Apply(0, marshal(r))
	}
	stored := requireGolden(t, "snapshots.txt", []goldenForm{
		{"new", NewStateMachine(nil).Snapshot()},
		{"full", (&StateMachine{state: full}).Snapshot()},
		{"applied", applied.Snapshot()},
	})
	for name, state := range map[string]state{"new": {}, "full": full, "applied": applied.state} {
		m := NewStateMachine(nil)
		require.NoError(t, m.Restore(stored[name]), name)
		require.Equal(t, state, m.state, name)
		require.Equal(t, stored[name], m.Snapshot(), name)
	}
}

// TestGoldenReports checks that the encoding of agents' reports to voters is unchanged.
func TestGoldenReports(t *testing.T) {
	reports := []Report{
		{Incarnation: 1800000000000, Number: 3, Overloaded: true, Counts: []TenantCounts{
			{Tenant: "east", Requests: 1000, Served: 900, Failed: 90, ExclusionOverrides: 10}, {Tenant: "-", Requests: 1},
		}},
		{Incarnation: 1, Number: 1},
	}
	var forms []goldenForm
	for i, r := range reports {
		forms = append(forms, goldenForm{string(rune('a' + i)), EncodeReport(r)})
	}
	stored := requireGolden(t, "words.txt", forms)
	for i, r := range reports {
		var read Report
		require.NoError(t, decoding.Unmarshal(stored[forms[i].name], &read))
		require.Equal(t, r.Incarnation, read.Incarnation)
		require.Equal(t, r.Number, read.Number)
		require.Equal(t, r.Overloaded, read.Overloaded)
		require.Len(t, read.Counts, len(r.Counts))
		for j, c := range r.Counts {
			require.Equal(t, c, read.Counts[j])
		}
	}
}

// TestGoldenEnumValues checks that numeric values in the agreed state and names that operators' tools match
// are unchanged.
func TestGoldenEnumValues(t *testing.T) {
	states := []State{Planned, Draining, Drained, Free, Paused, Returning, Ended, Stopped}
	for i, word := range []string{
		"planned", "draining", "drained", "free", "paused", "returning", "ended", "stopped",
	} {
		require.Equal(t, State(i), states[i])
		require.Equal(t, word, states[i].String())
	}
	require.Equal(t, []RejectionCause{0, 1, 2, 3, 4}, []RejectionCause{NotRejected, Malformed, PolicyChanged, WindowsChanged, TooManyWindows})
	require.Equal(t, []string{"*", "-"}, []string{AllTenants, NoTenant})
}

// TestGoldenPlan checks that the window planned for a request is unchanged in all its fields.
func TestGoldenPlan(t *testing.T) {
	c := anytimeContract(t)
	w, err := Plan(WindowRequest{
		ID: "disk of n1", Agent: 3, Nodes: []string{"n1"}, Zone: "z2", Tenants: []string{AllTenants},
		From: goldenNow + time.Hour, To: goldenNow + 3*time.Hour, MoveRate: 0.02,
	}, PlanInput{
		Now: goldenNow, Servers: []Server{
			{ID: "n1", Zone: "z1", Capacity: 1},
			{ID: "n2", Zone: "z2", Capacity: 1},
			{ID: "n3", Zone: "z1", Capacity: 2},
			{ID: "n4", Zone: "z1", Capacity: 4},
		},
		Contracts: map[string]*contract.Contract{"east": c, NoTenant: c}, TenantLoads: map[string]float64{"east": 0.5},
		PeakLoad: 0.2, PolicyVersion: 7,
	})
	require.NoError(t, err)
	data, err := EncodeProposal(Proposal{Window: w, Agent: 3, Now: goldenNow, PolicyVersion: 7, Revision: 4})
	require.NoError(t, err)
	requireGolden(t, "plan.txt", []goldenForm{{"plan", data}})
}
