package judge

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
)

// All times of these inputs are multiples of grid, so that nothing changes within it.
const (
	grid = 5 * time.Minute
	day  = 24 * time.Hour
)

func pick[T any](t *rapid.T, name string, of ...T) T { return rapid.SampledFrom(of).Draw(t, name) }

// drawChecker is any valid input of a plan.
func drawChecker(t *rapid.T) *PlanChecker {
	p := &PlanChecker{Tables: map[string]contract.Table{}, Grid: grid}
	s := &p.Input
	begin := time.Date(2026, pick(t, "month", time.March, time.October), 20, 0, 0, 0, 0, time.UTC)
	s.Now = time.Duration(begin.UnixNano()) + time.Duration(rapid.IntRange(0, 10*288).Draw(t, "now"))*grid
	s.ClockMargin, s.PeakLoad, s.MaxUtilization = grid, pick(t, "load", 0, 0.3, 0.6), pick(t, "most", 0, 0.8, 1)
	for i := range pick(t, "nodes", 6, 5, 9, 4, 2) {
		s.Servers = append(s.Servers, maintenance.Server{
			ID: fmt.Sprint("n", i), Zone: pick(t, "zone", "a", "b", ""), Capacity: pick(t, "capacity", 1, 1.8, 1, 1, 0.9, 0),
			Absent: rapid.IntRange(0, 7).Draw(t, "absent") == 7,
		})
	}
	s.TenantLoads, s.Contracts = map[string]float64{}, map[string]*contract.Contract{}
	for _, name := range []string{"east", "west", maintenance.NoTenant} {
		if name != maintenance.NoTenant && pick(t, "load", true, true, true, false) {
			s.TenantLoads[name] = pick(t, "share", 0, 0.1, 0.45)
		}
		if pick(t, "contract", true, true, true, true, true, true, true, false) {
			table := contract.Table{
				Zone: pick(t, "hours' zone", "Europe/Bucharest", "UTC"), ExcludeDayAfter: rapid.Bool().Draw(t, "day after"),
				Hours:    [][]string{{"mon-sun 00:00-24:00"}, {"mon-sun 00:00-24:00"}, {"mon-fri 20:00-06:00", "sat,sun 00:00-24:00"}, {"sun 02:00-05:00", "tue 01:00-02:30"}}[pick(t, "hours", 0, 1, 2, 3)],
				Excluded: pick(t, "excluded", nil, []string{"2026-10-25"}, []string{"2026-03-28", "2026-10-27", "2026-04-01"}), NoticeMin: pick(t, "notice", 0, 0, 60, 1440),
				MaxLengthMin: pick(t, "longest", 0, 0, 1440, 60), MaxPerMonth: pick(t, "monthly", 9, 0, 2, 1), KeptCapacity: pick(t, "keep", 0.05, 0.3, 0.5, 0, 0.9),
			}
			c, err := table.Contract()
			require.NoError(t, err)
			p.Tables[name], s.Contracts[name] = table, c
		}
	}
	for i := range pick(t, "windows", 3, 6, 9, 0) {
		one := &maintenance.Window{
			ID: fmt.Sprint("w", i), From: s.Now + time.Duration(rapid.IntRange(0, 288).Draw(t, "from")*pick(t, "days", 1, 2, 10)-10)*grid,
			Nodes: []string{pick(t, "node", "n0", "n1", "n2", "gone")}, Tenants: []string{pick(t, "tenant", "east", "west", maintenance.NoTenant, "gone")},
		}
		one.To = one.From + time.Duration(pick(t, "length", 36, 12, 100, 6, 288))*grid
		if p.Windows = append(p.Windows, one); one.To > s.Now {
			s.Windows = append(s.Windows, one)
		}
	}
	s.CountWindows = func(tenant string, from, to time.Duration) (count int) {
		for _, one := range p.Windows {
			if slices.Contains(one.Tenants, tenant) && from <= one.From && one.From < to {
				count++
			}
		}
		return count
	}
	if rapid.IntRange(0, 3).Draw(t, "turns") == 0 {
		slot := func(at time.Duration) int { return int((at - 12*time.Hour) / (24 * time.Hour)) }
		s.IsInTurn = func(n maintenance.Server, from, to time.Duration) bool {
			return slot(from) == slot(to) && slot(from)%2 == int(n.ID[1])%2
		}
	}
	return p
}

// drawRequest is any request for an input.
func (p *PlanChecker) drawRequest(t *rapid.T) maintenance.WindowRequest {
	a := maintenance.WindowRequest{ID: "ask", MoveRate: pick(t, "pace", 0, 0.05, 0.003), From: p.Input.Now + time.Duration((rapid.IntRange(0, 288).Draw(t, "from")*pick(t, "days", 1, 2, 10)+pick(t, "ahead", 4, 12, 0)))*grid}
	if all := p.Input.Windows; len(all) > 0 && rapid.Bool().Draw(t, "beside another") {
		a.From = max(all[0].From, p.Input.Now)
	}
	a.To = a.From + time.Duration(pick(t, "length", 12, 6, 24, 48, 2))*grid
	a.Tenants = pick(t, "tenants", []string{"east"}, []string{"west", "east"}, []string{maintenance.NoTenant}, []string{maintenance.AllTenants})
	if a.Nodes = pick(t, "nodes", []string{"n0"}, []string{"n1", "n0"}, nil); a.Nodes == nil {
		a.Zone = p.Input.Servers[0].Zone
	}
	return a
}

// moved is a request with another beginning, and the same length.
func moved(a maintenance.WindowRequest, from time.Duration) maintenance.WindowRequest {
	a.From, a.To = from, from+a.To-a.From
	return a
}

// TestPlanAgainstChecker: 1,000 requests of many kinds are met or rejected as the checker says, which goes through each rule
// moment by moment; the next time that a rejection names would be met, and none on the grid before it.
func TestPlanAgainstChecker(t *testing.T) {
	count := map[Rule]int{}
	rapid.Check(t, func(t *rapid.T) {
		p := drawChecker(t)
		for range 10 {
			a := p.drawRequest(t)
			made, err := maintenance.Plan(a, p.Input)
			var m maintenance.Conflict
			if err != nil && !errors.As(err, &m) {
				count["no sense"]++
				require.True(t, a.Zone == "" && !errors.As(err, &m), "%v", err)
				require.Condition(t, func() bool { return len(a.Nodes) == 0 || a.Nodes[0] >= fmt.Sprint("n", len(p.Input.Servers)) }, "%v", err)
				continue
			}
			broken := p.FirstBroken(a)
			count[broken]++
			require.Equal(t, broken == "", err == nil, "%s: %v", broken, err)
			if err == nil {
				require.True(t, made.From == a.From && made.To == a.To && made.DrainedAt-made.From == made.To-made.ReturnFrom && made.ReturnFrom-made.DrainedAt >= maintenance.MinDrained)
				require.LessOrEqual(t, 1/float64(made.Steps), cmp.Or(a.MoveRate, 0.01)+1e-9)
				continue
			}
			require.NotEmpty(t, m.Reason)
			p.checkNextFit(t, a, m, count)
		}
	})
	t.Log(count)
	for _, rule := range []Rule{RuleLength, RuleContract, RuleMaxLength, RuleNotice, RuleHours, RuleMonthly, RuleTurn, RuleCapacity, "next", "none"} {
		require.NotZero(t, count[rule], rule)
	}
}

// checkNextFit checks the time that a rejection names.
func (p *PlanChecker) checkNextFit(t *rapid.T, a maintenance.WindowRequest, m maintenance.Conflict, count map[Rule]int) {
	last := min(a.From+60*day, p.Input.Now+62*day)
	if m.NextFit != 0 {
		count["next"]++
		last = m.NextFit
		require.GreaterOrEqual(t, m.NextFit, a.From)
		require.Empty(t, p.FirstBroken(moved(a, m.NextFit)), "%v", m)
		_, err := maintenance.Plan(moved(a, m.NextFit), p.Input)
		require.NoError(t, err)
	} else {
		count["none"]++
	}
	lead := maintenance.MinNotice
	for name, table := range p.Tables {
		if slices.Contains(a.Tenants, name) || a.Tenants[0] == maintenance.AllTenants {
			lead = max(lead, time.Duration(table.NoticeMin)*time.Minute)
		}
	}
	first := max(a.From, p.Input.Now+lead+grid)
	steps := int((last - first) / grid)
	for i := range min(steps, 400) {
		if steps > 400 { // too many to try them all
			i = rapid.IntRange(0, steps-1).Draw(t, "tried")
		}
		at := first + time.Duration(i)*grid
		require.NotEmpty(t, p.FirstBroken(moved(a, at)), "%v would do, %v was named", at, m.NextFit)
	}
}

// TestAnyInput: any request with any input gets an answer, and no window is invalid.
func TestAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawChecker(t)
		a, s := p.drawRequest(t), &p.Input
		number := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, 1e300}))
		moment := rapid.OneOf(rapid.Int64(), rapid.Int64Range(int64(s.Now), int64(s.Now+10*day)), rapid.SampledFrom([]int64{math.MaxInt64, math.MinInt64, 0}))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			one, at := number.Draw(t, "number"), time.Duration(moment.Draw(t, "moment"))
			switch rapid.IntRange(0, 12).Draw(t, "change") {
			case 0:
				s.Servers[0].Capacity = one
			case 1:
				s.TenantLoads["east"] = one
			case 2:
				s.PeakLoad = one
			case 3:
				s.MaxUtilization = one
			case 4:
				a.MoveRate = one
			case 5:
				a.From = at
			case 6:
				a.To = at
			case 7:
				s.Now = at
			case 8:
				s.ClockMargin = max(at%time.Hour, 0)
			case 9:
				s.Windows = append(s.Windows, &maintenance.Window{From: at, To: time.Duration(moment.Draw(t, "to")), Nodes: a.Nodes, Tenants: a.Tenants})
			case 10:
				s.Servers = append(s.Servers, s.Servers...)
			case 11:
				s.MinNotice = at
			case 12:
				s.Servers, a.Tenants = s.Servers[:1], append(a.Tenants, rapid.String().Draw(t, "name"))
			}
		}
		made, err := maintenance.Plan(a, *s)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.True(t, made.From >= s.Now+maintenance.MinNotice || s.MinNotice != 0)
		require.True(t, made.From < made.DrainedAt && made.DrainedAt < made.ReturnFrom && made.ReturnFrom < made.To && made.Steps >= 1 && made.Steps <= maintenance.MaxSteps)
		_, err = maintenance.EncodeProposal(maintenance.Proposal{Window: made, Now: s.Now, PolicyVersion: 1, MinNotice: 1})
		require.NoError(t, err)
	})
}
