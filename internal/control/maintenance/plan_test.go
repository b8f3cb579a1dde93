package maintenance

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/control/maintenance/contract"
)

// TestPlanReportsConflict checks, for each rule, the reason that operators get and the next time that fits.
func TestPlanReportsConflict(t *testing.T) {
	hours := contract.Table{Zone: "Europe/Bucharest", Hours: []string{"mon-fri 20:00-06:00"}, MaxPerMonth: 2, MaxLengthMin: 120}
	c, err := hours.Contract()
	require.NoError(t, err)
	at := func(text string) time.Duration {
		moment, err := time.ParseInLocation("2006-01-02 15:04:05", "2026-10-"+text, time.UTC)
		require.NoError(t, err)
		return time.Duration(moment.UnixNano())
	}
	other := &Window{ID: "w1", From: at("20 18:30:00"), To: at("20 19:00:00"), Nodes: []string{"a", "b"}, Tenants: []string{"east"}}
	input := PlanInput{
		Now: at("20 12:00:00"), Windows: []*Window{other}, TenantLoads: map[string]float64{"east": 0.5, "west": 0.2},
		Contracts: map[string]*contract.Contract{"east": c},
		Servers:   []Server{{ID: "a", Zone: "z", Capacity: 1}, {ID: "b", Zone: "z", Capacity: 1}, {ID: "c", Zone: "y", Capacity: 1}, {ID: "d", Zone: "y", Capacity: 1}, {ID: "e", Capacity: 1}, {ID: "f", Capacity: 1}, {ID: "g", Capacity: 1}},
		CountWindows: func(_ string, from, to time.Duration) int {
			if from <= at("21 00:00:00") && at("21 00:00:00") < to {
				return 1
			}
			return 0
		},
	}
	const none = time.Duration(0)
	for name, test := range map[string]struct {
		change func(*WindowRequest, *PlanInput)
		want   string
		next   time.Duration
	}{
		"fits":                             {func(*WindowRequest, *PlanInput) {}, "", none},
		"begins where another window ends": {func(a *WindowRequest, _ *PlanInput) { a.From, a.To = other.To, other.To+time.Hour }, "", none},
		"ends where another window begins": {func(a *WindowRequest, _ *PlanInput) {
			a.Nodes, a.From, a.To = []string{"c", "d"}, other.From-time.Hour, other.From
		}, "", none},
		"ends within the margin of the hours": {
			func(a *WindowRequest, _ *PlanInput) { a.From, a.To = at("21 02:00:00"), at("21 02:59:55") },
			"tenant east: its contract's hours are Tue 2026-10-20 20:00:00 EEST to Wed 2026-10-21 06:00:00 EEST", at("21 17:00:10"),
		},
		"all servers moved": {
			func(a *WindowRequest, s *PlanInput) { a.Nodes, a.Zone, s.Servers = nil, "z", s.Servers[:2] },
			"tenant east: is left without a node", none,
		},
		"a whole zone":                        {func(a *WindowRequest, _ *PlanInput) { a.Nodes, a.Zone = nil, "z" }, "", none},
		"tenant without a contract":           {func(a *WindowRequest, _ *PlanInput) { a.Tenants = []string{"west"} }, "tenant west: has no contract, so its traffic may not be moved", none},
		"all tenants, one without a contract": {func(a *WindowRequest, _ *PlanInput) { a.Tenants = []string{AllTenants} }, "tenant -: has no contract", none},
		"server listed twice":                 {func(_ *WindowRequest, s *PlanInput) { s.Servers = append(s.Servers, Server{ID: "a"}) }, "node a is listed twice", none},
		"too short":                           {func(a *WindowRequest, _ *PlanInput) { a.To = a.From + 4*time.Minute }, "4m0s is too short: at this move rate keys take 1m40s to leave", none},
		"longer than the contract allows":     {func(a *WindowRequest, _ *PlanInput) { a.To = a.From + 3*time.Hour }, "tenant east: its contract limits a window to 2h0m0s", none},
		"too little notice":                   {func(_ *WindowRequest, s *PlanInput) { s.Now = at("20 19:45:01") }, "tenant east: a window must be requested 20m0s in advance", at("20 20:08:00")},
		"outside the hours": {
			func(a *WindowRequest, _ *PlanInput) { a.From, a.To = at("21 08:00:00"), at("21 09:00:00") },
			"tenant east: its contract's hours do not allow Wed 2026-10-21 11:00:00 EEST", at("21 17:00:10"),
		},
		"begins within the margin of the hours": {
			func(a *WindowRequest, _ *PlanInput) { a.From, a.To = at("21 17:00:00"), at("21 18:00:00") },
			"tenant east: its contract's hours are Wed 2026-10-21 20:00:00 EEST to Thu 2026-10-22 06:00:00 EEST, and a window must leave 10s free at both ends", at("21 17:00:10"),
		},
		"too many windows in the month": {func(_ *WindowRequest, s *PlanInput) {
			s.CountWindows = func(string, time.Duration, time.Duration) int { return 2 }
		}, "tenant east: it already has its maximum of 2 windows in 2026-10", none},
		"moved off a server by another window": {
			func(a *WindowRequest, _ *PlanInput) { a.From, a.To = at("20 18:00:00"), at("20 19:00:00") },
			"tenant east: moved off node a by window w1 until 2026-10-20 19:00:00 UTC", other.To,
		},
		"less capacity than the contract requires": {
			func(a *WindowRequest, _ *PlanInput) {
				a.Nodes, a.From, a.To = []string{"c"}, at("20 18:00:00"), at("20 19:00:00")
			},
			"tenant east: 0.571 of the capacity remains, its contract requires 0.7, with windows w1", other.To,
		},
		"utilization too high": {func(_ *WindowRequest, s *PlanInput) { s.PeakLoad = 0.89 }, "node b would use 0.964 of its capacity, which exceeds the limit of 0.9", none},
		"an absent server": {
			func(a *WindowRequest, s *PlanInput) { a.Nodes, s.Servers[6].Absent = []string{"c", "d"}, true },
			"tenant east: 0.571 of the capacity remains", none,
		},
		"a server absent in a window until the beginning": {func(a *WindowRequest, s *PlanInput) {
			a.Nodes, s.Servers[6].Absent = []string{"c", "d"}, true
			s.Windows = []*Window{{ID: "w0", From: s.Now, To: a.From, Nodes: []string{"g", "on no list"}}}
		}, "", none},
		"a server absent in an overlapping window": {func(a *WindowRequest, s *PlanInput) {
			a.Nodes, s.Servers = []string{"c", "d"}, s.Servers[:6]
			s.Windows = []*Window{{ID: "w0", From: s.Now, To: a.To, Nodes: []string{"g"}, Tenants: []string{"east"}}}
		}, "tenant east: 0.571 of the capacity remains", at("20 21:00:00")},
		"server not in its turn": {func(_ *WindowRequest, s *PlanInput) {
			s.IsInTurn = func(n Server, from, _ time.Duration) bool { return n.ID != "a" || from >= at("22 12:00:00") }
		}, "node a is not in its turn at that time", at("22 17:00:10")},
		"unknown server":          {func(a *WindowRequest, _ *PlanInput) { a.Nodes = []string{"a", "q"} }, "not a listed node: q", none},
		"zone without servers":    {func(a *WindowRequest, _ *PlanInput) { a.Zone = "w"; a.Nodes = nil }, "no listed node is in zone w", none},
		"no server":               {func(a *WindowRequest, _ *PlanInput) { a.Nodes = nil }, "a window needs a node or a zone", none},
		"no tenant":               {func(a *WindowRequest, _ *PlanInput) { a.Tenants = nil }, "a window needs a tenant", none},
		"end not after beginning": {func(a *WindowRequest, _ *PlanInput) { a.To = a.From }, "a window must end after it begins", none},
		"too far ahead":           {func(a *WindowRequest, _ *PlanInput) { a.From += 2000 * time.Hour; a.To += 2000 * time.Hour }, "a window must begin within 62 days", none},
		"move rate too low":       {func(a *WindowRequest, _ *PlanInput) { a.MoveRate = 0.0001 }, "the move rate must be a fraction of the keys per second", none},
		"move rate NaN":           {func(a *WindowRequest, _ *PlanInput) { a.MoveRate = math.NaN() }, "the move rate must be a fraction of the keys per second", none},
		"no ID":                   {func(a *WindowRequest, _ *PlanInput) { a.ID = "" }, "a window needs a name of 1 to 64 bytes", none},
		"names too long":          {func(a *WindowRequest, _ *PlanInput) { a.Tenants = append(a.Tenants, strings.Repeat("x", maxNamesSize)) }, "names of 2048 bytes in total", none},
	} {
		request, changed := WindowRequest{ID: "w2", Nodes: []string{"a"}, Tenants: []string{"east"}, From: at("20 20:00:00"), To: at("20 21:00:00")}, input
		changed.Servers = slices.Clone(changed.Servers)
		test.change(&request, &changed)
		w, err := Plan(request, changed)
		if test.want == "" {
			require.NoError(t, err, name)
			require.Equal(t, time.Duration(w.Steps)*time.Second, w.DrainedAt-w.From, name)
			require.Equal(t, []float64{0, 0, 0.01, 0.5, 1, 1, 1, 0.5, 0.01, 0}, []float64{
				w.PlannedFraction(w.From - 1), w.PlannedFraction(w.From),
				w.PlannedFraction(w.From + time.Second), w.PlannedFraction(w.From + 50*time.Second), w.PlannedFraction(w.DrainedAt), w.PlannedFraction(w.ReturnFrom - 1),
				w.PlannedFraction(w.ReturnFrom), w.PlannedFraction(w.To - 50*time.Second), w.PlannedFraction(w.To - 1), w.PlannedFraction(w.To),
			})
			continue
		}
		require.ErrorContains(t, err, test.want, name)
		var conflict Conflict
		if errors.As(err, &conflict) {
			require.NotZero(t, conflict.Kind, name)
		}
		require.Equal(t, time.Unix(0, int64(test.next)).UTC(), time.Unix(0, int64(conflict.NextFit)).UTC(), name)
	}
}

// TestNextFitWhereAnotherWindowBegins checks that NextFit considers the beginning of another window, which
// can free capacity. The request is for the first of three servers while the second carries load moved off
// the third; there is room only once a window on the second server begins too.
func TestNextFitWhereAnotherWindowBegins(t *testing.T) {
	c, err := contract.Table{Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, KeptCapacity: 0.5}.Contract()
	require.NoError(t, err)
	now := time.Duration(time.Date(2026, 3, 23, 12, 0, 0, 0, time.UTC).UnixNano())
	input := PlanInput{
		Now: now, MaxUtilization: 1, TenantLoads: map[string]float64{"east": 0.1, "west": 0.1}, Contracts: map[string]*contract.Contract{NoTenant: c},
		Servers: []Server{{ID: "a", Capacity: 1}, {ID: "b", Capacity: 1}, {ID: "c", Capacity: 1}},
		Windows: []*Window{
			{ID: "east", From: now, To: now + day, Nodes: []string{"c"}, Tenants: []string{"east"}},
			{ID: "west", From: now + 20*time.Hour, To: now + 21*time.Hour, Nodes: []string{"b"}, Tenants: []string{"west"}},
		},
	}
	_, err = Plan(WindowRequest{ID: "request", Nodes: []string{"a"}, Tenants: []string{NoTenant}, From: now + 2*time.Hour, To: now + 150*time.Minute}, input)
	require.ErrorContains(t, err, "node b would use 1.01 of its capacity, which exceeds the limit of 1, with windows east")
	var conflict Conflict
	require.ErrorAs(t, err, &conflict)
	require.Equal(t, 20*time.Hour, conflict.NextFit-now)
}

// withBeginning returns a request with another beginning and the same length.
func withBeginning(a WindowRequest, from time.Duration) WindowRequest {
	a.From, a.To = from, from+a.To-a.From
	return a
}

// BenchmarkPlan plans a window among 300 servers in three zones, 20 tenants and 50 windows: once where the
// requested time fits, and once where another time must be found.
func BenchmarkPlan(b *testing.B) {
	first := time.Duration(time.Date(2026, 10, 19, 12, 0, 0, 0, time.UTC).UnixNano())
	s := PlanInput{Now: first, TenantLoads: map[string]float64{}, Contracts: map[string]*contract.Contract{}, PeakLoad: 0.6}
	for i := range 300 {
		s.Servers = append(s.Servers, Server{ID: fmt.Sprint("server-", i), Zone: fmt.Sprint("z", i%3), Capacity: []float64{1.8, 0.9}[i%2]})
	}
	for i := range 20 {
		c, err := contract.Table{
			Zone: "Europe/Bucharest", MaxPerMonth: 100,
			Hours: []string{fmt.Sprintf("mon-fri %d:00-06:00", 19+i%4), "sat,sun 00:00-24:00"},
		}.Contract()
		require.NoError(b, err)
		s.TenantLoads[fmt.Sprint("t", i)], s.Contracts[fmt.Sprint("t", i)] = 0.04, c
	}
	s.Contracts[NoTenant] = s.Contracts["t0"]
	for i := range 50 {
		w := &Window{ID: fmt.Sprint("w", i), From: first + time.Duration(10+i)*time.Hour, Tenants: []string{fmt.Sprint("t", i%20), NoTenant}}
		for n := range 20 {
			w.Nodes = append(w.Nodes, fmt.Sprint("server-", (i*20+n)%300))
		}
		w.To = w.From + 4*time.Hour
		s.Windows = append(s.Windows, w)
	}
	request := WindowRequest{ID: "w", Tenants: []string{AllTenants}, Nodes: s.Windows[7].Nodes, From: first + 88*time.Hour, To: first + 90*time.Hour}
	for name, from := range map[string]time.Duration{"fits": first + 105*time.Hour, "next": first + 12*time.Hour} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				if _, err := Plan(withBeginning(request, from), s); (err == nil) != (name == "fits") {
					b.Fatal(err)
				}
			}
		})
	}
	_, err := Plan(withBeginning(request, first+12*time.Hour), s)
	var conflict Conflict
	require.ErrorAs(b, err, &conflict)
	b.Log(err, conflict.NextFit-first)
}
