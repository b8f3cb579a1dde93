package contract

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// rulesFrom and rulesUntil limit the time for which the tests agree on zones' rules.
var (
	rulesFrom  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rulesUntil = time.Date(2028, 1, 1, 0, 0, 0, 0, time.UTC)
)

// TestRulesMatchZoneData checks that a contract with a zone's rules, written and parsed, gives the same
// results as one with the machine's zone data, and that it allows nothing beyond the rules.
func TestRulesMatchZoneData(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		table.Zone = rapid.SampledFrom(append(unusualZones, table.Zone)).Draw(t, "a zone")
		rules, err := ZoneRules(table.Zone, rulesFrom, rulesUntil)
		require.NoError(t, err)
		require.NoError(t, CompareZoneData(table.Zone, rules))
		own, err := table.Contract()
		require.NoError(t, err)
		agreed, err := table.ContractWithRules(rules)
		require.NoError(t, err)
		first, last := time.Duration(rulesFrom.UnixNano()), time.Duration(rulesUntil.UnixNano())
		away := 50 * 24 * time.Hour // distance from the rules' ends, so that runs do not reach them
		for range 30 {
			at := time.Duration(rapid.Int64Range(int64(first+away), int64(last-away)).Draw(t, "at"))
			require.Equal(t, own.Allows(at), agreed.Allows(at), own.InZone(at))
			for _, of := range []func(*Contract) (time.Duration, time.Duration, bool){
				func(c *Contract) (time.Duration, time.Duration, bool) { return c.RunAt(at) },
				func(c *Contract) (time.Duration, time.Duration, bool) { from, to := c.Month(at); return from, to, true },
			} {
				from, to, wanted := of(own)
				begin, end, found := of(agreed)
				require.Equal(t, []any{from, to, wanted}, []any{begin, end, found}, own.InZone(at))
			}
			beyond := first - 1 - at%away
			require.False(t, agreed.Allows(beyond) || agreed.Allows(last+at%away))
			if from, to, ok := agreed.NextRun(beyond); ok {
				require.True(t, from >= first && to <= last && agreed.Allows(from))
			}
			if from, to, ok := agreed.RunAt(last - 1); ok {
				require.True(t, from < to && to == last)
			}
		}
	})
}

// TestDifferingZoneDataAreReported checks that a contract with agreed rules does not depend on the machine's
// zone data, here a zone without clock changes, and that the first moment that differs is reported.
func TestDifferingZoneDataAreReported(t *testing.T) {
	rules, err := ZoneRules("Europe/Bucharest", rulesFrom, rulesUntil)
	require.NoError(t, err)
	fixed, err := parseRules([]string{rules[0], rules[len(rules)-1]})
	require.NoError(t, err)
	table := Table{Zone: "Europe/Bucharest", Hours: []string{"mon-sun 20:00-22:00"}}
	at := time.Duration(time.Date(2026, 7, 2, 17, 30, 0, 0, time.UTC).UnixNano())
	own, err := table.Contract()
	require.NoError(t, err)
	agreed, err := table.ContractWithRules(rules)
	require.NoError(t, err)
	for _, allows := range []bool{true, false} {
		require.Equal(t, allows, agreed.Allows(at) == own.Allows(at))
		own.zone = fixed.zone // zone data without clock changes
	}
	other, err := parseRules(rules)
	require.NoError(t, err)
	require.ErrorIs(t, other.compare(fixed.zone), ErrZoneDataDiffers)
	require.ErrorContains(t, other.compare(fixed.zone), "+02:00 from 2026-03-29T01:00:00Z on, not +03:00")
}

// TestInvalidRulesAreRefused checks that rules that are malformed or out of order are rejected.
func TestInvalidRulesAreRefused(t *testing.T) {
	const first, end = "2026-01-01T00:00:00Z +02:00", "2031-01-01T00:00:00Z end"
	for _, rules := range [][]string{
		nil,
		{end},
		{first},
		{end, first},
		{first, first, end},
		{first, end, end},
		{"2026-01-01T00:00:00Z", end},
		{"2026-01-01T00:00:00Z +15:00", end},
		{"2026-01-01T00:00:00Z -15:00", end},
		{"2026-01-01T00:00:00.5Z +02:00", end},
		{"1969-01-01T00:00:00Z +02:00", end},
		{first, "2027-13-01T00:00:00Z +02:00", end},
		make([]string, maxRules+1),
	} {
		_, err := Table{Zone: "Europe/Bucharest", Hours: []string{"mon 01:00-02:00"}}.ContractWithRules(rules)
		require.Error(t, err, rules)
	}
	_, err := Table{Zone: "Local", Hours: []string{"mon 01:00-02:00"}}.ContractWithRules([]string{first, end})
	require.ErrorContains(t, err, "no time zone")
	c, err := Table{Zone: "Of/A later rule", Hours: []string{"mon 01:00-02:00"}}.ContractWithRules([]string{first, end})
	require.NoError(t, err, "a zone that this machine does not know must be accepted with rules")
	require.Equal(t, time.Duration(time.Date(2031, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano())-1, c.RulesEnd())
}
