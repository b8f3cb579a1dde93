package policy

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/decide"
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

const goldenDocument = "format = 1\nnote = \"golden\"\n[tenants.east]\nshare = 0.55\n"

func goldenFloor() []byte {
	return Floor{Share: 0.25, Attempts: 2, Copies: true, Pace: 80 * time.Millisecond, InVain: 0.125}.encode()
}

// TestGoldenRecords: the records of the agreed log have the bytes that every build reads.
func TestGoldenRecords(t *testing.T) {
	records := []struct {
		name string
		record
	}{
		{"proposed", record{
			Kind: proposed, ID: "p-1", Who: 3, Base: 7, Now: 1800000000 * time.Second,
			By: 1800000002 * time.Second, Document: []byte(goldenDocument), Floor: goldenFloor(),
		}},
		{"answered", record{Kind: answered, Version: 8, Who: 2}},
		{"abandoned", record{Kind: abandoned, Version: 8, Who: 5, Code: OverTotal, Text: "tenants together get 1.1"}},
		{"postponed", record{Kind: postponed, Version: 8, By: 1800000003 * time.Second}},
		{"activated", record{Kind: activated, Version: 8}},
		{"settled", record{Kind: settled, Version: 9}},
	}
	var forms []goldenForm
	for _, r := range records {
		forms = append(forms, goldenForm{r.name, marshal(r.record)})
	}
	for _, f := range forms {
		var n int
		require.NoError(t, decoding.Unmarshal(f.data[1:2], &n)) // the kind is the first element
		require.Equal(t, int(records[n-1].Kind), n)
	}
	stored := requireGolden(t, "records.txt", forms)
	for _, r := range records {
		var read record
		require.NoError(t, decoding.Unmarshal(stored[r.name], &read), r.name)
		require.Equal(t, r.record, read, r.name)
		require.Equal(t, r.name == "postponed", Postpones(stored[r.name]))
		require.Equal(t, r.name == "answered", Reports(stored[r.name]))
	}
}

// TestGoldenProposal: a proposal, as an agent's operators make it, is the record with the document's floor.
func TestGoldenProposal(t *testing.T) {
	document := "format = 1\n[floor]\nshare = 0.25\nattempts = 1\ncopies = true\npace_ms = 80\nin_vain = 0.125\n"
	data, err := Propose(Proposal{
		ID: "p-1", Who: 3, Base: 7, Now: 1800000000 * time.Second, By: 1800000002 * time.Second,
		Document: []byte(document),
	})
	require.NoError(t, err)
	requireGolden(t, "proposal.txt", []goldenForm{{"proposal", data}, {"floor-of-version-0", Beginning().encode()}})
}

// TestGoldenSnapshot: the agreed state in all its parts.
func TestGoldenSnapshot(t *testing.T) {
	const at = 1800000000 * time.Second
	first := Version{
		Number: 1, By: at, ID: "p-1", Who: 3, Document: []byte(goldenDocument),
		Floor: Beginning().encode(),
	}
	full := State{
		Last: 3,
		Now: Version{
			Number: 2, By: at + time.Minute, ID: "p-2", Who: 4, Document: []byte(goldenDocument),
			Floor: goldenFloor(),
		},
		Past: []Version{first, {Floor: Beginning().encode()}},
		Open: &Change{Base: 2, Yes: []int{0, 2}, Version: Version{
			Number: 3, By: at + time.Hour, ID: "p-3", Who: 5, Document: []byte("format = 1\n"),
			Floor: goldenFloor(),
		}},
		Former: &Former{Floor: Beginning().encode(), Since: 2, SinceBy: at + time.Minute},
		Outcomes: []Outcome{
			{ID: "p-1", End: Taken, Version: 1, By: at, Who: 3},
			{ID: "p-2", End: Taken, Version: 2, By: at + time.Minute, Who: 4},
			{ID: "p-0", End: NotTaken, Why: OldBase, Other: 2, Who: 1},
			{ID: "p-4", End: NotTaken, Version: 4, Why: Refused, Who: 6, Code: UnknownTenant, Text: "tenant north"},
			{ID: "p-3", End: AskAgain, Version: 3, Who: 5},
		},
	}
	begun, applied := NewMachine(), NewMachine()
	for _, r := range []record{
		{Kind: proposed, ID: "p-1", Who: 3, Now: at, By: at, Document: []byte(goldenDocument), Floor: goldenFloor()},
		{Kind: answered, Version: 1, Who: 2},
		{Kind: postponed, Version: 1, By: at + time.Second},
		{Kind: activated, Version: 1},
		{
			Kind: proposed, ID: "p-2", Who: 4, Base: 1, Now: at + time.Minute, By: at + time.Minute,
			Document: []byte(goldenDocument), Floor: goldenFloor(),
		},
		{Kind: abandoned, Version: 2, Who: 5, Code: BelowFloor, Text: "allows less"},
		{Kind: proposed, ID: "p-3", Who: 4, Base: 0, Now: at + time.Minute, By: at + time.Minute, Document: []byte("x")},
	} {
		applied.Apply(0, marshal(r))
	}
	stored := requireGolden(t, "snapshots.txt", []goldenForm{
		{"new", begun.Snapshot()},
		{"full", (&Machine{st: full}).Snapshot()},
		{"applied", applied.Snapshot()},
	})
	for name, state := range map[string]State{"new": begun.State(), "full": full, "applied": applied.State()} {
		m := NewMachine()
		require.NoError(t, m.Restore(stored[name]), name)
		require.Equal(t, state, m.State(), name)
		require.Equal(t, stored[name], m.Snapshot(), name)
	}
}

// TestGoldenNotes: agents' answers, as they go with their requests for leases.
func TestGoldenNotes(t *testing.T) {
	notes := []Note{
		{Version: 1},
		{Version: 300, Code: OverTotal, Text: "tenants together get 1.1"},
		{Version: 1 << 40, Code: FloorUnlike, Text: strings.Repeat("x", MaxNote-10-2)},
		{Version: 2, Code: Unreadable, Text: "ä"},
	}
	var forms []goldenForm
	for _, n := range notes {
		forms = append(forms, goldenForm{string(rune('a' + len(forms))), n.Encode()})
	}
	stored := requireGolden(t, "notes.txt", forms)
	for i, n := range notes {
		read, ok := DecodeNote(stored[forms[i].name])
		require.True(t, ok)
		require.Equal(t, n, read)
	}
}

// TestGoldenNumbersAndWords: numbers that are in what agents share, and words that operators' tools read.
func TestGoldenNumbersAndWords(t *testing.T) {
	require.Equal(t, []Code{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, []Code{
		Yes, Unreadable, UnknownTenant, UnknownClass, OverTotal, TooManyTries, CopiesForbid, BelowFloor,
		BelowOwnFloor, FloorUnlike,
	})
	require.Equal(t, []Why{0, 1, 2, 3, 4, 5, 6, 7}, []Why{
		NoReason, OtherOpen, OldBase, TooSoon, FloorOpen, Unfit, Refused, TimeIsLost,
	})
	require.Equal(t, []End{0, 1, 2}, []End{AskAgain, Taken, NotTaken})
	require.Equal(t, []string{"ask again", "taken", "not taken"},
		[]string{AskAgain.String(), Taken.String(), NotTaken.String()})
	require.Equal(t, []How{0, 1, 2}, []How{Bottom, Within, Full})
	require.Equal(t, []string{"bottom", "floor", "full"}, []string{Bottom.String(), Within.String(), Full.String()})
}

// TestGoldenDocument: each key of a document, and what it means with an agent's settings.
func TestGoldenDocument(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/document.toml")
	require.NoError(t, err)
	own := Own{InVain: 0.9, Settings: decide.Settings{
		Tenants: []decide.Tenant{{Name: "east", QuotaPerS: 60}, {Name: "west", QuotaPerS: 40}, {Name: "free"}},
		Classes: []decide.Class{{Name: "find"}, {Name: "book"}},
		Limits:  decide.Limits{MaxAttempts: 3, SecondCopies: true},
	}}
	d, err := Read("document.toml", text)
	require.NoError(t, err)
	e, err := d.Effect(own)
	require.NoError(t, err)
	floor := d.Floor()
	classes := []any{}
	for _, c := range e.Classes {
		classes = append(classes, map[string]any{"attempts": c.Attempts, "copies": c.Copies, "pace": c.Pace.String()})
	}
	contracts := map[string]any{}
	for name, c := range e.Contracts {
		begins, ends, ok := c.Next(1800000000 * time.Second)
		contracts[name] = map[string]any{
			"notice": c.Notice().String(), "longest": c.Longest().String(), "monthly": c.Monthly(),
			"keep": c.Keep(), "served": c.Served(), "until": c.Until().String(),
			"next": []any{begins.String(), ends.String(), ok},
		}
	}
	got, err := json.MarshalIndent(map[string]any{
		"note": d.Note(), "quota": e.Quota, "in_vain": e.InVain, "classes": classes, "contracts": contracts,
		"capacity": map[string]any{
			"load": e.Capacity.Load, "most": e.Capacity.Most, "kinds": e.Capacity.Kinds, "servers": e.Capacity.Servers,
		},
		"floor": map[string]any{
			"share": floor.Share, "attempts": floor.Attempts, "copies": floor.Copies, "pace": floor.Pace.String(),
			"in_vain": floor.InVain,
		},
		"zone_without_rules": d.unruled,
	}, "", "  ")
	require.NoError(t, err)
	const path = "testdata/golden/document.json"
	if *update {
		require.NoError(t, os.WriteFile(path, append(got, '\n'), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.JSONEq(t, string(want), string(got))
}

// TestGoldenFill: what is added to a document whose contracts' zone it does not describe. The zone is one that
// never changes, so that the machine's zone data do not count.
func TestGoldenFill(t *testing.T) {
	const text = "format = 1\n[contracts.east]\nzone = 'Etc/GMT-2'\nhours = ['mon-fri 20:00-06:00']\n"
	filled, err := Fill([]byte(text), time.Unix(1800000000, 0))
	require.NoError(t, err)
	const path = "testdata/golden/filled.toml"
	if *update {
		require.NoError(t, os.WriteFile(path, filled, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(filled))
	again, err := Fill(want, time.Unix(1800000000, 0))
	require.NoError(t, err)
	require.Equal(t, string(want), string(again))
}
