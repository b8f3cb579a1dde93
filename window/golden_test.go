package window

import (
	"encoding/hex"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/contract"
	"dunestep/policy"
)

// update has the golden files written anew. They were made by the build before the packages were renamed: a
// change of them is a change of what other builds read.
var update = flag.Bool("update", false, "write testdata/golden anew")

// goldenForm is one encoded form by its name in a golden file.
type goldenForm struct {
	name string
	data []byte
}

// requireGolden compares encoded forms with a golden file of lines "name hex", and returns those of the file.
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

func goldenForm1() *form {
	return &form{
		ID: "disk of n1", Who: 3, Nodes: []string{"n1", "n2"}, Tenants: []string{"-", "east"},
		From: goldenNow + time.Hour, Drained: goldenNow + time.Hour + 100*time.Second,
		Back: goldenNow + 2*time.Hour, To: goldenNow + 2*time.Hour + 100*time.Second, Steps: 100, Policy: 7,
		Notice: LeastNotice,
	}
}

// goldenFormFull has no field that is zero.
func goldenFormFull() *form {
	f := goldenForm1()
	f.ID, f.State, f.Since, f.Held, f.Reason = "racks", Paused, goldenNow+time.Hour+time.Minute, 60, "a reason"
	f.Changes, f.Noted = 2, goldenNow+time.Second
	return f
}

// TestGoldenRecords: the records of the agreed log have the bytes that every build reads.
func TestGoldenRecords(t *testing.T) {
	records := []struct {
		name string
		record
	}{
		{"asked", record{
			Kind: asked, ID: "disk of n1", Who: 3, Now: goldenNow, Policy: 7, Revision: 4,
			Window: goldenForm1(),
		}},
		{"noted", record{Kind: noted, ID: "racks", Now: goldenNow + time.Second}},
		{"freed", record{Kind: freed, ID: "racks", Now: goldenNow + time.Minute, Changes: 1}},
		{"paused", record{
			Kind: paused, ID: "racks", Now: goldenNow + time.Minute, Changes: 1,
			Reason: "less capacity remains",
		}},
		{"resumed", record{Kind: resumed, ID: "racks", Now: goldenNow + time.Minute, Changes: 2}},
		{"returned", record{Kind: returned, ID: "racks", Now: goldenNow + time.Minute, Changes: 3, Reason: "x"}},
		{"stopped", record{Kind: stopped, ID: "racks", Who: 4, Now: goldenNow + time.Minute, Reason: "by staff"}},
		{"ended", record{Kind: ended, ID: "racks", Now: goldenNow + 3*time.Hour, Changes: 4}},
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
		require.Equal(t, r.name == "freed", Frees(stored[r.name]))
	}
	accepted, err := Accept(Asking{
		Window: goldenForm1().window(), Who: 3, Now: goldenNow, Policy: 7, Revision: 4,
	})
	require.NoError(t, err)
	require.Equal(t, stored["asked"], accepted)
	require.Equal(t, stored["stopped"], Stop("racks", 4, goldenNow+time.Minute, "by staff"))
}

// TestGoldenSnapshots: the agreed state in all its parts.
func TestGoldenSnapshots(t *testing.T) {
	full := state{
		Revision: 5, Now: goldenNow + time.Minute, Windows: []*form{goldenForm1(), goldenFormFull()},
		Had: []had{{Tenant: "east", Begun: []uint32{29990000, 29995000}}, {Tenant: "west", Begun: []uint32{29991000}}},
		Outcomes: []Outcome{
			{ID: "disk of n1", End: policy.Taken},
			{ID: "a", End: policy.NotTaken, Why: OldPolicy, Other: 7},
			{ID: "b", End: policy.NotTaken, Why: NoRoom},
		},
	}
	applied := NewMachine(func() uint64 { return 7 })
	f := goldenForm1()
	f.Notice = time.Hour
	early := *f
	early.ID, early.From, early.Drained = "early", f.From+time.Hour, f.Drained+time.Hour
	early.Back, early.To = f.Back+time.Hour, f.To+time.Hour
	for _, r := range []record{
		{Kind: asked, ID: f.ID, Who: 3, Now: goldenNow, Policy: 7, Window: f},
		{Kind: asked, ID: early.ID, Who: 4, Now: goldenNow, Policy: 7, Revision: 1, Window: &early},
		{Kind: asked, ID: "old", Who: 4, Now: goldenNow, Policy: 6, Revision: 2, Window: &form{ID: "old"}},
		{Kind: noted, ID: f.ID, Now: goldenNow + time.Second},
		{Kind: noted, ID: early.ID, Now: goldenNow + time.Second},
		{Kind: paused, ID: f.ID, Now: f.From + 40*time.Second, Changes: 1, Reason: "a reason"},
		{Kind: resumed, ID: f.ID, Now: f.From + 60*time.Second, Changes: 2},
		{Kind: freed, ID: f.ID, Now: f.From + 10*time.Minute, Changes: 3},
		{Kind: ended, ID: f.ID, Now: f.To, Changes: 4},
		{Kind: stopped, ID: early.ID, Who: 5, Now: early.From + 30*time.Second, Reason: "by staff"},
	} {
		applied.Apply(0, marshal(r))
	}
	stored := requireGolden(t, "snapshots.txt", []goldenForm{
		{"new", NewMachine(nil).Snapshot()},
		{"full", (&Machine{st: full}).Snapshot()},
		{"applied", applied.Snapshot()},
	})
	for name, state := range map[string]state{"new": {}, "full": full, "applied": applied.st} {
		m := NewMachine(nil)
		require.NoError(t, m.Restore(stored[name]), name)
		require.Equal(t, state, m.st, name)
		require.Equal(t, stored[name], m.Snapshot(), name)
	}
}

// TestGoldenWords: what agents tell voters while a window moves something.
func TestGoldenWords(t *testing.T) {
	words := []word{
		{Incarnation: 1800000000000, Number: 3, Storm: true, Counts: []Count{
			{Tenant: "east", Asked: 1000, Served: 900, Failed: 90, First: 10}, {Tenant: "-", Asked: 1},
		}},
		{Incarnation: 1, Number: 1},
	}
	var forms []goldenForm
	for i, w := range words {
		forms = append(forms, goldenForm{string(rune('a' + i)), Tell(w.Incarnation, w.Number, w.Counts, w.Storm)})
	}
	stored := requireGolden(t, "words.txt", forms)
	for i, w := range words {
		var read word
		require.NoError(t, decoding.Unmarshal(stored[forms[i].name], &read))
		require.Equal(t, w.Incarnation, read.Incarnation)
		require.Equal(t, w.Number, read.Number)
		require.Equal(t, w.Storm, read.Storm)
		require.Len(t, read.Counts, len(w.Counts))
		for j, c := range w.Counts {
			require.Equal(t, c, read.Counts[j])
		}
	}
}

// TestGoldenNumbersAndWords: numbers that are in what agents share, and words that operators' tools read.
func TestGoldenNumbersAndWords(t *testing.T) {
	states := []State{Planned, Draining, Drained, Free, Paused, Returning, Ended, Stopped}
	for i, word := range []string{
		"planned", "draining", "drained", "free", "paused", "returning", "ended", "stopped",
	} {
		require.Equal(t, State(i), states[i])
		require.Equal(t, word, states[i].String())
	}
	require.Equal(t, []Why{0, 1, 2, 3, 4}, []Why{NoReason, Unfit, OldPolicy, OldWindows, NoRoom})
	require.Equal(t, []string{"*", "-"}, []string{All, Rest})
}

// TestGoldenPlan: the window that an ask is for, in all its parts.
func TestGoldenPlan(t *testing.T) {
	c := always(t)
	w, err := Fit(Ask{
		ID: "disk of n1", Who: 3, Nodes: []string{"n1"}, Zone: "z2", Tenants: []string{All},
		From: goldenNow + time.Hour, To: goldenNow + 3*time.Hour, Pace: 0.02,
	}, Scene{
		Now: goldenNow, Nodes: []Node{
			{ID: "n1", Zone: "z1", Capacity: 1},
			{ID: "n2", Zone: "z2", Capacity: 1},
			{ID: "n3", Zone: "z1", Capacity: 2},
			{ID: "n4", Zone: "z1", Capacity: 4},
		},
		Contracts: map[string]*contract.Contract{"east": c, Rest: c}, Tenants: map[string]float64{"east": 0.5},
		Load: 0.2, Policy: 7,
	})
	require.NoError(t, err)
	data, err := Accept(Asking{Window: w, Who: 3, Now: goldenNow, Policy: 7, Revision: 4})
	require.NoError(t, err)
	requireGolden(t, "plan.txt", []goldenForm{{"plan", data}})
}
