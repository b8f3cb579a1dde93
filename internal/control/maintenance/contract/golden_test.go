package contract

import (
	"encoding/json"
	"flag"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/stricttoml"
)

// update rewrites the golden files. They were made by an earlier build: a change of a golden file is a change of
// the format that other builds read.
var update = flag.Bool("update", false, "rewrite testdata/golden")

func describe(c *Contract) map[string]any {
	runs := []string{}
	for at := 1800000000 * time.Second; len(runs) < 12; {
		from, to, ok := c.NextRun(at)
		if !ok {
			break
		}
		runs = append(runs, c.InZone(from).Format(time.RFC3339)+" "+c.InZone(to).Format(time.RFC3339))
		at = to
	}
	from, to := c.Month(1800000000 * time.Second)
	return map[string]any{
		"notice": c.MinNotice().String(), "longest": c.MaxLength().String(), "monthly": c.MaxPerMonth(), "keep": c.KeptCapacity(),
		"served": c.MinServed(), "until": c.RulesEnd().String(), "runs": runs,
		"month": []string{from.String(), to.String()},
	}
}

// TestGoldenTables checks that each key of a contract's table, the default of each omitted key and the rules
// of a zone are read as before.
func TestGoldenTables(t *testing.T) {
	text, err := os.ReadFile("testdata/golden/contracts.toml")
	require.NoError(t, err)
	var file struct {
		Contracts map[string]Table    `toml:"contracts"`
		Rules     map[string][]string `toml:"rules"`
	}
	require.NoError(t, stricttoml.Read("contracts.toml", text, &file, func(*stricttoml.Document) {}))
	described := map[string]any{}
	for name, table := range file.Contracts {
		var c *Contract
		if rules := file.Rules[name]; rules != nil {
			c, err = table.ContractWithRules(rules)
		} else {
			c, err = table.Contract()
		}
		require.NoError(t, err, name)
		described[name] = map[string]any{"table": map[string]any{
			"zone": table.Zone, "hours": table.Hours, "excluded": table.Excluded, "day_after": table.ExcludeDayAfter,
			"notice_min": table.NoticeMin, "longest_min": table.MaxLengthMin, "monthly": table.MaxPerMonth,
			"keep": table.KeptCapacity, "served": table.MinServed,
		}, "contract": describe(c)}
	}
	got, err := json.MarshalIndent(described, "", "  ")
	require.NoError(t, err)
	const path = "testdata/golden/contracts.json"
	if *update {
		require.NoError(t, os.WriteFile(path, append(got, '\n'), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.JSONEq(t, string(want), string(got))
}

// TestGoldenRules checks the form of rules as written into a policy document. Its zone never changes its
// offset, so the result does not depend on the machine's zone data.
func TestGoldenRules(t *testing.T) {
	rules, err := ZoneRules("Etc/GMT-2", time.Unix(1800000000, 5), time.Unix(1900000000, 5))
	require.NoError(t, err)
	require.Equal(t, []string{"2027-01-15T08:00:00Z +02:00", "2030-03-17T17:46:40Z end"}, rules)
	read, err := parseRules(rules)
	require.NoError(t, err)
	require.True(t, read.from.Equal(time.Unix(1800000000, 0)))
	require.True(t, read.until.Equal(time.Unix(1900000000, 0)))
	require.NoError(t, CompareZoneData("Etc/GMT-2", rules))
}
