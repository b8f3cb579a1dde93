package contract

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// allowsByCalendar is an independent implementation of Contract.Allows that uses the standard library's
// calendar.
func allowsByCalendar(t Table, zone *time.Location, at time.Time) bool {
	local := at.In(zone)
	midnight := time.Date(local.Year(), local.Month(), local.Day(), 0, 0, 0, 0, time.UTC)
	minute := local.Hour()*60 + local.Minute()
	excluded := func(date time.Time) bool {
		for _, text := range t.Excluded {
			day, _ := time.Parse(time.DateOnly, text)
			if day.Equal(date) || t.ExcludeDayAfter && day.AddDate(0, 0, 1).Equal(date) {
				return true
			}
		}
		return false
	}
	isInSpan := func(date time.Time, minute int) bool {
		for _, text := range t.Hours {
			days, s, _ := parseSpan(text)
			if days[date.Weekday()] && s.from <= minute && minute < s.to {
				return true
			}
		}
		return false
	}
	before := midnight.AddDate(0, 0, -1)
	return !excluded(midnight) && (isInSpan(midnight, minute) || !excluded(before) && isInSpan(before, minute+24*60))
}

// drawTable draws a valid table.
func drawTable(t *rapid.T) Table {
	clock := rapid.SampledFrom([]string{"00:00", "02:00", "03:00", "03:30", "04:00", "05:00", "12:15", "20:00", "23:59"})
	days := rapid.SampledFrom([]string{"mon-sun", "fri-mon", "sat", "sun", "sat,sun", "mon,wed", "thu-sat,mon"})
	c := Table{
		Zone:            rapid.SampledFrom([]string{"Europe/Bucharest", "America/Havana", "Australia/Lord_Howe", "UTC"}).Draw(t, "zone"),
		ExcludeDayAfter: rapid.Bool().Draw(t, "day after"),
		Excluded:        rapid.SliceOfN(rapid.SampledFrom([]string{"2026-03-28", "2026-03-29", "2026-03-31", "2026-10-24", "2026-10-25", "2026-11-01"}), 0, 3).Draw(t, "excluded"),
	}
	for range rapid.IntRange(1, 4).Draw(t, "spans") {
		from, to := clock.Draw(t, "from"), rapid.OneOf(clock, rapid.Just("24:00")).Draw(t, "to")
		if from != to {
			c.Hours = append(c.Hours, days.Draw(t, "days")+" "+from+"-"+to)
		}
	}
	if c.Hours == nil {
		c.Hours = []string{"sun 02:00-04:00"}
	}
	return c
}

// TestAllowedMinutesMatchCalendar checks, over ten days around each change of clocks, that Allows agrees with
// the calendar for every minute and that runs consist of these minutes.
func TestAllowedMinutesMatchCalendar(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		c, err := table.Contract()
		require.NoError(t, err)
		zone, err := time.LoadLocation(table.Zone)
		require.NoError(t, err)
		first := time.Date(2026, rapid.SampledFrom([]time.Month{3, 10}).Draw(t, "month"), 24, 0, 0, 0, 0, time.UTC)
		at := func(minute int) time.Duration {
			return time.Duration(first.Add(time.Duration(minute) * time.Minute).UnixNano())
		}
		const minutes = 10 * 24 * 60
		allowed := make([]bool, minutes)
		for m := range allowed {
			allowed[m] = allowsByCalendar(table, zone, first.Add(time.Duration(m)*time.Minute))
			if got := c.Allows(at(m)); got != allowed[m] {
				t.Fatalf("%v: %t", c.InZone(at(m)), got)
			}
		}
		for range 20 {
			m := rapid.IntRange(0, minutes-1).Draw(t, "minute")
			begin, end := m, m
			for begin > 0 && allowed[begin-1] {
				begin--
			}
			for end < minutes && allowed[end] {
				end++
			}
			from, to, ok := c.RunAt(at(m) + time.Duration(rapid.IntRange(0, int(time.Minute-1)).Draw(t, "inside")))
			require.Equal(t, allowed[m], ok)
			if ok && begin > 0 {
				require.Equal(t, at(begin), from)
			}
			if ok && end < minutes {
				require.Equal(t, at(end), to)
			}
			for end = m; end < minutes && !allowed[end]; end++ {
			}
			if next, _, _ := c.NextRun(at(m)); end < minutes && end > m {
				require.Equal(t, at(end), next)
			}
		}
	})
}

// unusualZones have clocks that skip or repeat a midnight, a day, half an hour or two hours, or have
// irregular rules.
var unusualZones = []string{
	"Pacific/Apia", "Africa/Cairo", "Asia/Beirut", "America/Sao_Paulo", "Antarctica/Troll",
	"Australia/Lord_Howe", "Africa/Casablanca", "America/Nuuk", "Europe/Bucharest", "Pacific/Kiritimati", "Etc/GMT+12",
}

// TestAnyTableIsRefusedOrUsable checks that an arbitrary table is either rejected or gives a contract that
// returns a consistent result for any moment, and that each search along the calendar terminates.
func TestAnyTableIsRefusedOrUsable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := drawTable(t)
		table.Zone = rapid.SampledFrom(unusualZones).Draw(t, "zone")
		change := func(of []string) []string {
			if rapid.IntRange(0, 3).Draw(t, "any") == 0 {
				return append(of, rapid.OneOf(rapid.String(), rapid.StringMatching(`[a-z,-]{0,9} [0-9:-]{11}`),
					rapid.StringMatching(`[0-9]{4}-[0-9]{2}-[0-9]{2}`)).Draw(t, "text"))
			}
			return of
		}
		table.Hours, table.Excluded = change(table.Hours), change(table.Excluded)
		table.KeptCapacity, table.MinServed = rapid.Float64().Draw(t, "keep"), rapid.SampledFrom([]float64{0, 0.5, math.NaN()}).Draw(t, "served")
		table.MaxPerMonth, table.MaxLengthMin = rapid.IntRange(-1, 200).Draw(t, "monthly"), rapid.IntRange(-1, 2000).Draw(t, "longest")
		c, err := table.Contract()
		if err != nil {
			var problems Problems
			require.ErrorAs(t, err, &problems)
			require.NotEmpty(t, problems.Error())
			table = drawTable(t)
			table.Zone = rapid.SampledFrom(unusualZones).Draw(t, "zone of a valid table")
			c, err = table.Contract()
			require.NoError(t, err)
		}
		require.True(t, c.KeptCapacity() > 0 && c.KeptCapacity() <= 1 && c.MinServed() > 0 && c.MinServed() <= 1 && c.MaxPerMonth() > 0 && c.MaxLength() > 0)
		at := time.Duration(rapid.OneOf(rapid.Int64(), rapid.Int64Range(0, int64(latestMoment))).Draw(t, "at"))
		from, to, ok := c.RunAt(at)
		require.Equal(t, c.Allows(at), ok)
		if ok {
			require.True(t, from <= at && at < to && c.Allows(from) && c.Allows(to-1))
		}
		if nextFrom, nextTo, found := c.NextRun(at); found {
			require.True(t, nextTo > at && c.Allows(nextFrom) && (nextFrom <= at || !c.Allows(nextFrom-1)))
		}
		if at >= 0 && at <= latestMoment {
			require.Greater(t, c.edgeAfter(at), at)
			require.LessOrEqual(t, c.edgeUpTo(at), at)
			from, to = c.Month(at)
			require.True(t, from <= at && at < to, "%v %v %v", c.InZone(from), c.InZone(at), c.InZone(to))
			_, end := c.Month(from)
			require.Equal(t, to, end)
			if again, _ := c.Month(to); to <= latestMoment {
				require.Equal(t, to, again)
			}
		}
	})
}

// TestSearchesAreBounded checks that searches terminate for hours that never end and for hours that never
// begin.
func TestSearchesAreBounded(t *testing.T) {
	all := Table{Zone: "Europe/Bucharest", Hours: []string{"mon-sun 00:00-24:00"}}
	c, err := all.Contract()
	require.NoError(t, err)
	at := 20000 * 24 * time.Hour
	from, to, ok := c.RunAt(at)
	require.True(t, ok)
	require.Equal(t, []time.Duration{at - maxRun, at + maxRun}, []time.Duration{from, to})
	for d := range maxExcluded {
		all.Excluded = append(all.Excluded, time.Unix(0, int64(at)).UTC().AddDate(0, 0, d).Format(time.DateOnly))
	}
	c, err = all.Contract()
	require.NoError(t, err)
	from, _, ok = c.NextRun(at)
	require.True(t, ok)
	require.Equal(t, "00:00", c.InZone(from).Format("15:04"))
	all.ExcludeDayAfter = true
	c, err = all.Contract()
	require.NoError(t, err)
	_, _, ok = c.NextRun(at)
	require.False(t, ok)
	all.Excluded = append(all.Excluded, "2026-01-01")
	_, err = all.Contract()
	require.ErrorContains(t, err, "excluded: must have at most 400 entries")
}

// TestSpansOnClockChanges checks spans on the two nights in Europe/Bucharest on which clocks go forward from
// 03:00 to 04:00 and back from 04:00 to 03:00.
func TestSpansOnClockChanges(t *testing.T) {
	for hours, want := range map[string][2]string{
		"sat 20:00-06:00":        {"20:00 EET - 06:00 EEST, 9h0m0s", "20:00 EEST - 06:00 EET, 11h0m0s"},
		"sun 02:00-03:30":        {"02:00 EET - 04:00 EEST, 1h0m0s", "02:00 EEST - 03:30 EEST, 1h30m0s"},
		"sun 03:30-05:00":        {"04:00 EEST - 05:00 EEST, 1h0m0s", "03:30 EEST - 03:00 EET, 30m0s"},
		"sun 03:00-04:00":        {"", "03:00 EEST - 04:00 EET, 2h0m0s"},
		"sat,sun 00:00-24:00":    {"00:00 EET - 00:00 EEST, 47h0m0s", "00:00 EEST - 00:00 EET, 49h0m0s"},
		"sat 20:00-24:00,sun-no": {"rejected", "rejected"},
	} {
		c, err := Table{Zone: "Europe/Bucharest", Hours: []string{hours}}.Contract()
		for i, day := range []string{"2026-03-28", "2026-10-24"} {
			if err != nil {
				require.Equal(t, "rejected", want[i])
				continue
			}
			saturday, err := time.ParseInLocation(time.DateOnly, day, c.zone)
			require.NoError(t, err)
			from, to, _ := c.NextRun(time.Duration(saturday.UnixNano()))
			got := c.InZone(from).Format("15:04 MST") + " - " + c.InZone(to).Format("15:04 MST") + ", " + (to - from).String()
			if from > time.Duration(saturday.AddDate(0, 0, 2).UnixNano()) {
				got = ""
			}
			require.Equal(t, want[i], got, hours)
		}
	}
}

// TestMonthBeginsOnClockChange checks the first moment of a month where midnight follows a repeated hour and
// where midnight is skipped.
func TestMonthBeginsOnClockChange(t *testing.T) {
	for zone, want := range map[string]string{
		"Africa/Cairo": "2024-11-01 00:00 EET", "America/Asuncion": "2023-10-01 01:00 -03",
		"Europe/Bucharest": "2026-11-01 00:00 EET",
	} {
		c, err := Table{Zone: zone, Hours: []string{"mon 01:00-02:00"}}.Contract()
		require.NoError(t, err)
		first, err := time.ParseInLocation("2006-01-02", want[:10], time.UTC)
		require.NoError(t, err)
		_, to := c.Month(time.Duration(first.AddDate(0, 0, -2).UnixNano()))
		require.Equal(t, want, c.InZone(to).Format("2006-01-02 15:04 MST"))
	}
	for _, zone := range []string{"", "Local", "../etc/passwd", "Mars/Olympus"} {
		_, err := Table{Zone: zone, Hours: []string{"mon 01:00-02:00"}}.Contract()
		require.ErrorContains(t, err, "no time zone")
	}
}

func BenchmarkNext(b *testing.B) {
	c, err := Table{Zone: "Europe/Bucharest", Hours: []string{"mon-fri 20:00-06:00", "sat,sun 00:00-24:00"}}.Contract()
	require.NoError(b, err)
	at := 20000 * 24 * time.Hour
	for b.Loop() {
		c.NextRun(at)
	}
}

func BenchmarkAllows(b *testing.B) {
	c, err := Table{Zone: "Europe/Bucharest", Hours: []string{"mon-fri 20:00-06:00", "sat,sun 00:00-24:00"}}.Contract()
	require.NoError(b, err)
	at := 20000 * 24 * time.Hour
	for b.Loop() {
		c.Allows(at)
	}
}
