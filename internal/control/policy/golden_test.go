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

	"dunestep/internal/balancer"
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

const goldenDocument = "format = 1\nnote = \"golden\"\n[tenants.east]\nshare = 0.55\n"

func goldenFloor() []byte {
	return Floor{QuotaShare: 0.25, MaxAttempts: 2, Hedging: true, MinAttemptInterval: 80 * time.Millisecond, MaxFailedRatio: 0.125}.encode()
}

// TestGoldenRecords checks that each kind of record in the agreed log has the encoding that other builds read.
func TestGoldenRecords(t *testing.T) {
	records := []struct {
		name string
		record
	}{
		{"proposed", record{
			Kind: kindProposed, ID: "p-1", Agent: 3, BaseVersion: 7, Now: 1800000000 * time.Second,
			EffectiveAt: 1800000002 * time.Second, Document: []byte(goldenDocument), Floor: goldenFloor(),
		}},
		{"answered", record{Kind: kindPromised, Version: 8, Agent: 2}},
		{"abandoned", record{Kind: kindAbandoned, Version: 8, Agent: 5, Code: SharesExceedTotal, Text: "tenants together get 1.1"}},
		{"postponed", record{Kind: kindPostponed, Version: 8, EffectiveAt: 1800000003 * time.Second}},
		{"activated", record{Kind: kindActivated, Version: 8}},
		{"settled", record{Kind: kindFloorReleased, Version: 9}},
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
		require.Equal(t, r.name == "postponed", IsPostponement(stored[r.name]))
		require.Equal(t, r.name == "answered", IsPromiseReport(stored[r.name]))
	}
}

// TestGoldenProposal checks the record that EncodeProposal makes: it includes the document's floor.
func TestGoldenProposal(t *testing.T) {
	document := "format = 1\n[floor]\nshare = 0.25\nattempts = 1\ncopies = true\npace_ms = 80\nin_vain = 0.125\n"
	data, err := EncodeProposal(Proposal{
		ID: "p-1", Agent: 3, BaseVersion: 7, Now: 1800000000 * time.Second, EffectiveAt: 1800000002 * time.Second,
		Document: []byte(document),
	})
	require.NoError(t, err)
	requireGolden(t, "proposal.txt", []goldenForm{{"proposal", data}, {"floor-of-version-0", InitialFloor().encode()}})
}

// TestGoldenSnapshot checks the encoding of snapshots in which each part of the agreed state is set.
func TestGoldenSnapshot(t *testing.T) {
	const at = 1800000000 * time.Second
	first := Version{
		Number: 1, EffectiveAt: at, ProposalID: "p-1", ProposedBy: 3, Document: []byte(goldenDocument),
		Floor: InitialFloor().encode(),
	}
	full := State{
		LastNumber: 3,
		InForce: Version{
			Number: 2, EffectiveAt: at + time.Minute, ProposalID: "p-2", ProposedBy: 4, Document: []byte(goldenDocument),
			Floor: goldenFloor(),
		},
		Past: []Version{first, {Floor: InitialFloor().encode()}},
		OpenChange: &Change{BaseVersion: 2, PromisedVoters: []int{0, 2}, Version: Version{
			Number: 3, EffectiveAt: at + time.Hour, ProposalID: "p-3", ProposedBy: 5, Document: []byte("format = 1\n"),
			Floor: goldenFloor(),
		}},
		FormerFloor: &FormerFloor{Floor: InitialFloor().encode(), ReplacedBy: 2, ReplacedAt: at + time.Minute},
		Outcomes: []Outcome{
			{ID: "p-1", Status: StatusAccepted, Version: 1, EffectiveAt: at, Agent: 3},
			{ID: "p-2", Status: StatusAccepted, Version: 2, EffectiveAt: at + time.Minute, Agent: 4},
			{ID: "p-0", Status: StatusRejected, Cause: StaleBase, BlockingVersion: 2, Agent: 1},
			{ID: "p-4", Status: StatusRejected, Version: 4, Cause: RejectedByAgent, Agent: 6, Code: UnknownTenant, Text: "tenant north"},
			{ID: "p-3", Status: StatusUnknown, Version: 3, Agent: 5},
		},
	}
	initial, applied := NewStateMachine(), NewStateMachine()
	for _, r := range []record{
		{Kind: kindProposed, ID: "p-1", Agent: 3, Now: at, EffectiveAt: at, Document: []byte(goldenDocument), Floor: goldenFloor()},
		{Kind: kindPromised, Version: 1, Agent: 2},
		{Kind: kindPostponed, Version: 1, EffectiveAt: at + time.Second},
		{Kind: kindActivated, Version: 1},
		{
			Kind: kindProposed, ID: "p-2", Agent: 4, BaseVersion: 1, Now: at + time.Minute, EffectiveAt: at + time.Minute,
			Document: []byte(goldenDocument), Floor: goldenFloor(),
		},
		{Kind: kindAbandoned, Version: 2, Agent: 5, Code: BelowFloor, Text: "allows less"},
		{Kind: kindProposed, ID: "p-3", Agent: 4, BaseVersion: 0, Now: at + time.Minute, EffectiveAt: at + time.Minute, Document: []byte("x")},
	} {
		applied.Apply(0, marshal(r))
	}
	stored := requireGolden(t, "snapshots.txt", []goldenForm{
		{"new", initial.Snapshot()},
		{"full", (&StateMachine{state: full}).Snapshot()},
		{"applied", applied.Snapshot()},
	})
	for name, state := range map[string]State{"new": initial.State(), "full": full, "applied": applied.State()} {
		m := NewStateMachine()
		require.NoError(t, m.Restore(stored[name]), name)
		require.Equal(t, state, m.State(), name)
		require.Equal(t, stored[name], m.Snapshot(), name)
	}
}

// TestGoldenAnswers checks the encoding of agents' answers, which lease requests carry.
func TestGoldenAnswers(t *testing.T) {
	answers := []Answer{
		{Version: 1},
		{Version: 300, Code: SharesExceedTotal, Text: "tenants together get 1.1"},
		{Version: 1 << 40, Code: FloorMismatch, Text: strings.Repeat("x", MaxAnswerSize-10-2)},
		{Version: 2, Code: UnreadableDocument, Text: "ä"},
	}
	var forms []goldenForm
	for _, n := range answers {
		forms = append(forms, goldenForm{string(rune('a' + len(forms))), n.Encode()})
	}
	stored := requireGolden(t, "notes.txt", forms)
	for i, n := range answers {
		read, ok := DecodeAnswer(stored[forms[i].name])
		require.True(t, ok)
		require.Equal(t, n, read)
	}
}

// TestGoldenNumbersAndWords checks the enum numbers in messages and in the agreed state, and the words that operators'
// tools read.
func TestGoldenNumbersAndWords(t *testing.T) {
	require.Equal(t, []AnswerCode{0, 1, 2, 3, 4, 5, 6, 7, 8, 9}, []AnswerCode{
		Accepted, UnreadableDocument, UnknownTenant, UnknownClass, SharesExceedTotal, TooManyAttempts, HedgingForbidden, BelowFloor,
		BelowOwnFloor, FloorMismatch,
	})
	require.Equal(t, []RejectionCause{0, 1, 2, 3, 4, 5, 6, 7}, []RejectionCause{
		NotRejected, OtherChangeOpen, StaleBase, VersionNotEffective, FormerFloorInUse, Malformed, RejectedByAgent, ImplausibleTime,
	})
	require.Equal(t, []ProposalStatus{0, 1, 2}, []ProposalStatus{StatusUnknown, StatusAccepted, StatusRejected})
	require.Equal(t, []string{"ask again", "taken", "not taken"},
		[]string{StatusUnknown.String(), StatusAccepted.String(), StatusRejected.String()})
	require.Equal(t, []Mode{0, 1, 2}, []Mode{ModeBottom, ModeFloor, ModeFull})
	require.Equal(t, []string{"bottom", "floor", "full"}, []string{ModeBottom.String(), ModeFloor.String(), ModeFull.String()})
}

// TestGoldenDocument checks the effect of a document that sets each key, with an agent's settings.
func TestGoldenDocument(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/document.toml")
	require.NoError(t, err)
	local := LocalSettings{MaxFailedRatio: 0.9, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}, {Name: "free"}},
		Classes: []balancer.Class{{Name: "find"}, {Name: "book"}},
		Limits:  balancer.Limits{MaxAttempts: 3, Hedging: true},
	}}
	d, err := ParseDocument("document.toml", text)
	require.NoError(t, err)
	e, err := d.Effect(local)
	require.NoError(t, err)
	floor := d.Floor()
	classes := []any{}
	for _, c := range e.Classes {
		classes = append(classes, map[string]any{"attempts": c.MaxAttempts, "copies": c.Hedging, "pace": c.MinAttemptInterval.String()})
	}
	contracts := map[string]any{}
	for name, c := range e.Contracts {
		begins, ends, ok := c.NextRun(1800000000 * time.Second)
		contracts[name] = map[string]any{
			"notice": c.MinNotice().String(), "longest": c.MaxLength().String(), "monthly": c.MaxPerMonth(),
			"keep": c.KeptCapacity(), "served": c.MinServed(), "until": c.RulesEnd().String(),
			"next": []any{begins.String(), ends.String(), ok},
		}
	}
	got, err := json.MarshalIndent(map[string]any{
		"note": d.Note(), "quota": e.Quota, "in_vain": e.MaxFailedRatio, "classes": classes, "contracts": contracts,
		"capacity": map[string]any{
			"load": e.Capacity.PeakLoad, "most": e.Capacity.MaxUtilization, "kinds": e.Capacity.ByKind, "servers": e.Capacity.ByServer,
		},
		"floor": map[string]any{
			"share": floor.QuotaShare, "attempts": floor.MaxAttempts, "copies": floor.Hedging, "pace": floor.MinAttemptInterval.String(),
			"in_vain": floor.MaxFailedRatio,
		},
		"zone_without_rules": d.zoneWithoutRules,
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

// TestGoldenZoneRules checks the section that AddZoneRules adds to a document without rules for its zone. The zone
// has a constant offset, so that the result does not depend on the machine's zone data.
func TestGoldenZoneRules(t *testing.T) {
	const text = "format = 1\n[contracts.east]\nzone = 'Etc/GMT-2'\nhours = ['mon-fri 20:00-06:00']\n"
	filled, err := AddZoneRules([]byte(text), time.Unix(1800000000, 0))
	require.NoError(t, err)
	const path = "testdata/golden/filled.toml"
	if *update {
		require.NoError(t, os.WriteFile(path, filled, 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), string(filled))
	again, err := AddZoneRules(want, time.Unix(1800000000, 0))
	require.NoError(t, err)
	require.Equal(t, string(want), string(again))
}
