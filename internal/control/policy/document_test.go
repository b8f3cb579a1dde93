package policy

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance/contract"
)

// testSettings returns settings with two tenants that have quotas, and one without.
func testSettings() LocalSettings {
	return LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
		Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}, {Name: "free"}},
		Classes: []balancer.Class{{Name: "find"}, {Name: "book"}}, Limits: balancer.Limits{MaxAttempts: 3},
	}}
}

// TestCheckDocument checks that documents within the settings and the floors are accepted, and that others are rejected
// with the position or name of the first problem.
func TestCheckDocument(t *testing.T) {
	for text, want := range map[string]string{
		"":                                                         "",
		"[tenants.east]\nshare = 0.6":                              "",
		"[classes.find]\nattempts = 2":                             "",
		"[tenants.east]\nshare = 1.2":                              "policy:3:1: tenants.east.share: must be a number from 0.001 to 1",
		"[tenants.east]\nshare = 0.7":                              "tenants together get 1.1 of the settings' total",
		"[tenants.free]\nshare = 0.1":                              "the settings give no quota to tenant free",
		"[tenants.north]\nshare = 0.1":                             "not in the settings: tenant north",
		"[classes.buy]\nattempts = 2":                              "not in the settings: class buy",
		"[classes.find]\nattempts = 4":                             "class find: the settings permit 3 attempts",
		"[classes.find]\ncopies = true":                            "class find: the settings forbid hedged requests (copies)",
		"[classes.find]\nattempts = 1":                             "allows less than its own floor: attempts of class find",
		"[classes.find]\npace_ms = 200":                            "allows less than its own floor: pace_ms of class find",
		"[throttle]\nin_vain = 0.05":                               "allows less than its own floor: in_vain",
		"[tenants.west]\nshare = 0.1":                              "allows less than its own floor: the share of tenant west",
		"[floor]\nattempts = 1\n[classes.find]\nattempts = 1":      "allows less than the floor: attempts of class find",
		"[tenants.east]\nshare = 0.6\n[tenants.west]\nshare = 0.5": "policy:2:2: tenants: the shares sum to 1.1; the maximum is 1",
		"[windows]":                                                "policy:2:2: windows: unknown key; there are format",
		"[classes.find]\ntries = 2":                                "policy:3:1: classes.find.tries: unknown key",
		"[contracts.east]\nzone = 'Europe/Bucharest'\nhours = ['mon-fri 20:00-06:00']":  "",
		"contracts.-.zone = 'UTC'\ncontracts.-.hours = ['sun 00:00-04:00']":             "",
		"[contracts.south]\nzone = 'Europe/Bucharest'\nhours = ['mon-fri 20:00-06:00']": "not in the settings: tenant south, which has a contract",
		"[contracts.east]\nzone = 'Bucharest'\nhours = ['mon 20:00-06:00']":             "policy:3:1: contracts.east.zone: \"Bucharest\" is no time zone",
		"[contracts.east]\nzone = 'UTC'\nhours = ['mon 20:00-06:00', 'late']":           "policy:4:1: contracts.east.hours[1]: \"late\" must be as",
		"[contracts.east]\nzone = 'UTC'\nhours = ['mon 01:00-02:00']\nnotice_min = -1":  "policy:5:1: contracts.east.notice_min: must be a whole number from 0 to 43200",
		"[capacity]\nload = 0.01":                             "policy:3:1: capacity.load: must be a number from 0.05 to 1",
		"[capacity]\nkinds = {lent = 0}":                      "policy:3:10: capacity.kinds.lent: must be a number from 0.01 to 100",
		"[capacity]\nkinds = {lent = 1.8}\nservers.a-1 = 1.2": "",
		"note = 1":   "policy:2:1: note: must be a string",
		"format = 2": "policy:2:1:",
		"note = '" + strings.Repeat("x", MaxDocumentSize) + "'": "is longer than",
	} {
		completed, err := AddZoneRules([]byte("format = 1\n"+text), time.Unix(1.8e9, 0))
		require.NoError(t, err)
		err = CheckDocument(completed, testSettings(), InitialFloor())
		if want == "" {
			require.NoError(t, err, text)
			continue
		}
		require.ErrorContains(t, err, want, text)
		require.ErrorAs(t, err, &Rejection{})
	}
	hedgingSettings := testSettings()
	hedgingSettings.Settings.Limits.Hedging = true
	hedgingFloor := InitialFloor()
	hedgingFloor.Hedging = true
	require.ErrorContains(t, CheckDocument([]byte("format = 1\n[classes.find]\ncopies = false\n"), hedgingSettings, hedgingFloor),
		"hedged requests (copies) of class find")
	require.NoError(t, CheckDocument([]byte("format = 1\n[classes.find]\ncopies = true\n"), hedgingSettings, InitialFloor()))
	d, err := ParseDocument("p", []byte("format = 1\n[tenants.east]\nshare = 0.5\n[classes.book]\nattempts = 2\ncopies = false\npace_ms = 5\n"+
		"[throttle]\nin_vain = 0.5"))
	require.NoError(t, err)
	e, err := d.Effect(testSettings())
	require.NoError(t, err)
	require.Equal(t, &Effect{
		Quota: []float64{50, 40, 0}, MaxFailedRatio: 0.25, Capacity: Capacity{PeakLoad: 0.7, MaxUtilization: 0.9},
		Contracts: map[string]*contract.Contract{},
		Classes:   []ClassEffect{{MaxAttempts: 3}, {MaxAttempts: 2, MinAttemptInterval: 5 * time.Millisecond}},
	}, e)
}

// TestLowestFloorIsAlwaysAllowed checks that every accepted document allows the lowest floor, within which an agent acts
// that has been cut off for longer than Times.FloorValidity.
func TestLowestFloorIsAlwaysAllowed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		set := testSettings()
		set.Settings.Limits.MaxAttempts = rapid.IntRange(0, 4).Draw(t, "settings")
		set.Settings.Limits.Hedging = rapid.Bool().Draw(t, "copies")
		num := func(name string, lowest, highest float64) float64 {
			return rapid.Float64Range(lowest, highest).Draw(t, name)
		}
		text := fmt.Sprintf("format = 1\n[tenants.east]\nshare = %f\n[classes.find]\nattempts = %d\ncopies = %t\npace_ms = %f\n"+
			"[throttle]\nin_vain = %f\n[floor]\nshare = %f\nattempts = %d\npace_ms = %f\nin_vain = %f\n",
			num("share", 0.001, 1), rapid.IntRange(1, 4).Draw(t, "attempts"), rapid.Bool().Draw(t, "hedging"),
			num("pace", 0, 1000), num("in vain", 0.05, 1), num("floor's share", 0.001, 1),
			rapid.IntRange(1, 4).Draw(t, "floor's attempts"), num("floor's pace", 0, 1000), num("floor's in vain", 0.05, 1))
		d, err := ParseDocument("p", []byte(text))
		require.NoError(t, err)
		e, err := d.Effect(set)
		if err != nil {
			return
		}
		require.True(t, e.Allows(lowestFloor().Effect(set)), "%s", text)
		require.True(t, e.Allows(d.Floor().Effect(set)), "%s", text)
		require.True(t, d.Floor().Effect(set).Allows(lowestFloor().Effect(set)), "%s", text)
		require.True(t, set.unrestricted().Allows(InitialFloor().Effect(set)))
	})
}

// TestExampleOnThePolicyPage checks that the example in docs/policy.md is accepted and that its floor is the initial one.
func TestExampleOnThePolicyPage(t *testing.T) {
	page, err := os.ReadFile("../../../docs/policy.md")
	require.NoError(t, err)
	_, rest, found := strings.Cut(string(page), "```toml policy\n")
	require.True(t, found)
	example, _, _ := strings.Cut(rest, "```")
	require.NoError(t, CheckDocument([]byte(example), testSettings(), InitialFloor()))
	d, err := ParseDocument("example", []byte(example))
	require.NoError(t, err)
	require.Equal(t, InitialFloor(), d.Floor())
	plain, err := ParseDocument("plain", []byte("format = 1"))
	require.NoError(t, err)
	require.Equal(t, InitialFloor(), plain.Floor())
}

// TestZoneRules checks that AddZoneRules adds the offsets of each zone once, that the next proposal replaces added rules
// and keeps those that the author wrote, and that an agent rejects a document without rules.
func TestZoneRules(t *testing.T) {
	const contracts = "format = 1\n[contracts.east]\nzone = 'Europe/Bucharest'\nhours = ['mon-fri 20:00-06:00']\n"
	first, later := time.Unix(1.8e9, 0), time.Unix(1.9e9, 0)
	require.ErrorContains(t, CheckDocument([]byte(contracts), testSettings(), InitialFloor()), "has no rules for time zone Europe/Bucharest")
	completed, err := AddZoneRules([]byte(contracts), first)
	require.NoError(t, err)
	require.NoError(t, CheckDocument(completed, testSettings(), InitialFloor()))
	again, err := AddZoneRules(completed, later)
	require.NoError(t, err)
	fresh, err := AddZoneRules([]byte(contracts), later)
	require.NoError(t, err)
	require.Equal(t, string(fresh), string(again))
	require.NotEqual(t, string(fresh), string(completed))
	after := string(completed) + "[classes.find]\nattempts = 2\n" // text after the added section is kept
	kept, err := AddZoneRules([]byte(after), later)
	require.NoError(t, err)
	require.Equal(t, after, string(kept))

	const ownRules = "[zones.'Europe/Bucharest']\nchanges = ['2026-01-01T00:00:00Z +02:00', '2031-01-01T00:00:00Z end']\n"
	withOwnRules, err := AddZoneRules([]byte(contracts+ownRules+"[contracts.-]\nzone = 'Asia/Tokyo'\nhours = ['mon 01:00-02:00']\n"), first)
	require.NoError(t, err)
	d, err := ParseDocument("own-rules", withOwnRules)
	require.NoError(t, err)
	require.ErrorContains(t, d.ZoneDifferences(), "Europe/Bucharest: ")
	require.NotContains(t, d.ZoneDifferences().Error(), "Tokyo")
	summer := time.Duration(time.Date(2027, 7, 1, 17, 30, 0, 0, time.UTC).UnixNano()) // 19:30 by the document's rules, 20:30 by the zone data
	require.False(t, d.contracts["east"].Allows(summer))
	fromZoneData, err := ParseDocument("completed", completed)
	require.NoError(t, err)
	require.NoError(t, fromZoneData.ZoneDifferences())
	require.True(t, fromZoneData.contracts["east"].Allows(summer))
	_, err = ParseDocument("wrong", []byte(strings.Replace(contracts+ownRules, "+02:00", "", 1)))
	require.ErrorContains(t, err, "contracts.east.zone: ")
}
