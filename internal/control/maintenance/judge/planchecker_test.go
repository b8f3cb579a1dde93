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

// All times of the inputs are multiples of grid, so that no rule changes its result between two of them.
const (
	grid = 5 * time.Minute
	day  = 24 * time.Hour
)

// pick draws one of the given values.
func pick[T any](t *rapid.T, name string, of ...T) T { return rapid.SampledFrom(of).Draw(t, name) }

// drawPlanChecker draws a valid input of a plan.
func drawPlanChecker(t *rapid.T) *PlanChecker {
	p := &PlanChecker{Tables: map[string]contract.Table{}, Grid: grid}
	input := &p.Input
	start := time.Date(2026, pick(t, "month", time.March, time.October), 20, 0, 0, 0, 0, time.UTC)
	input.Now = time.Duration(start.UnixNano()) + time.Duration(rapid.IntRange(0, 10*288).Draw(t, "now"))*grid
	input.ClockMargin, input.PeakLoad, input.MaxUtilization = grid, pick(t, "load", 0, 0.3, 0.6), pick(t, "max utilization", 0, 0.8, 1)
	for i := range pick(t, "nodes", 6, 5, 9, 4, 2) {
		input.Servers = append(input.Servers, maintenance.Server{
			ID: fmt.Sprint("n", i), Zone: pick(t, "zone", "a", "b", ""), Capacity: pick(t, "capacity", 1, 1.8, 1, 1, 0.9, 0),
			Absent: rapid.IntRange(0, 7).Draw(t, "absent") == 7,
		})
	}
	input.TenantLoads, input.Contracts = map[string]float64{}, map[string]*contract.Contract{}
	for _, name := range []string{"east", "west", maintenance.NoTenant} {
		if name != maintenance.NoTenant && pick(t, "load", true, true, true, false) {
			input.TenantLoads[name] = pick(t, "share", 0, 0.1, 0.45)
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
			p.Tables[name], input.Contracts[name] = table, c
		}
	}
	for i := range pick(t, "windows", 3, 6, 9, 0) {
		window := &maintenance.Window{
			ID: fmt.Sprint("w", i), From: input.Now + time.Duration(rapid.IntRange(0, 288).Draw(t, "from")*pick(t, "days", 1, 2, 10)-10)*grid,
			Nodes: []string{pick(t, "node", "n0", "n1", "n2", "gone")}, Tenants: []string{pick(t, "tenant", "east", "west", maintenance.NoTenant, "gone")},
		}
		window.To = window.From + time.Duration(pick(t, "length", 36, 12, 100, 6, 288))*grid
		if p.Windows = append(p.Windows, window); window.To > input.Now {
			input.Windows = append(input.Windows, window)
		}
	}
	input.CountWindows = func(tenant string, from, to time.Duration) (count int) {
		for _, window := range p.Windows {
			if slices.Contains(window.Tenants, tenant) && from <= window.From && window.From < to {
				count++
			}
		}
		return count
	}
	if rapid.IntRange(0, 3).Draw(t, "turns") == 0 {
		slot := func(at time.Duration) int { return int((at - 12*time.Hour) / (24 * time.Hour)) }
		input.IsInTurn = func(n maintenance.Server, from, to time.Duration) bool {
			return slot(from) == slot(to) && slot(from)%2 == int(n.ID[1])%2
		}
	}
	return p
}

// drawRequest draws a request for the input.
func (p *PlanChecker) drawRequest(t *rapid.T) maintenance.WindowRequest {
	request := maintenance.WindowRequest{ID: "request", MoveRate: pick(t, "move rate", 0, 0.05, 0.003), From: p.Input.Now + time.Duration((rapid.IntRange(0, 288).Draw(t, "from")*pick(t, "days", 1, 2, 10)+pick(t, "ahead", 4, 12, 0)))*grid}
	if windows := p.Input.Windows; len(windows) > 0 && rapid.Bool().Draw(t, "beside another") {
		request.From = max(windows[0].From, p.Input.Now)
	}
	request.To = request.From + time.Duration(pick(t, "length", 12, 6, 24, 48, 2))*grid
	request.Tenants = pick(t, "tenants", []string{"east"}, []string{"west", "east"}, []string{maintenance.NoTenant}, []string{maintenance.AllTenants})
	if request.Nodes = pick(t, "nodes", []string{"n0"}, []string{"n1", "n0"}, nil); request.Nodes == nil {
		request.Zone = p.Input.Servers[0].Zone
	}
	return request
}

// shifted returns the request with another start and the same length.
func shifted(request maintenance.WindowRequest, from time.Duration) maintenance.WindowRequest {
	request.From, request.To = from, from+request.To-request.From
	return request
}

// TestPlanAgreesWithPlanChecker checks that Plan accepts and rejects 1,000 random requests as the PlanChecker does, and that
// the next time that a rejection proposes is the first on the grid that fits.
func TestPlanAgreesWithPlanChecker(t *testing.T) {
	count := map[Rule]int{}
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlanChecker(t)
		for range 10 {
			request := p.drawRequest(t)
			window, err := maintenance.Plan(request, p.Input)
			var conflict maintenance.Conflict
			if err != nil && !errors.As(err, &conflict) {
				count["invalid"]++
				require.True(t, request.Zone == "" && !errors.As(err, &conflict), "%v", err)
				require.Condition(t, func() bool {
					return len(request.Nodes) == 0 || request.Nodes[0] >= fmt.Sprint("n", len(p.Input.Servers))
				}, "%v", err)
				continue
			}
			rule := p.FirstViolatedRule(request)
			count[rule]++
			require.Equal(t, rule == "", err == nil, "%s: %v", rule, err)
			if err == nil {
				require.True(t, window.From == request.From && window.To == request.To && window.DrainedAt-window.From == window.To-window.ReturnFrom && window.ReturnFrom-window.DrainedAt >= maintenance.MinDrained)
				require.LessOrEqual(t, 1/float64(window.Steps), cmp.Or(request.MoveRate, 0.01)+1e-9)
				continue
			}
			require.NotEmpty(t, conflict.Reason)
			p.checkNextFit(t, request, conflict, count)
		}
	})
	t.Log(count)
	for _, rule := range []Rule{RuleLength, RuleContract, RuleMaxLength, RuleNotice, RuleHours, RuleMonthly, RuleTurn, RuleCapacity, "next fit", "no next fit"} {
		require.NotZero(t, count[rule], rule)
	}
}

// checkNextFit checks the next fitting time that a rejection proposes.
func (p *PlanChecker) checkNextFit(t *rapid.T, request maintenance.WindowRequest, conflict maintenance.Conflict, count map[Rule]int) {
	last := min(request.From+60*day, p.Input.Now+62*day)
	if conflict.NextFit != 0 {
		count["next fit"]++
		last = conflict.NextFit
		require.GreaterOrEqual(t, conflict.NextFit, request.From)
		require.Empty(t, p.FirstViolatedRule(shifted(request, conflict.NextFit)), "%v", conflict)
		_, err := maintenance.Plan(shifted(request, conflict.NextFit), p.Input)
		require.NoError(t, err)
	} else {
		count["no next fit"]++
	}
	notice := maintenance.MinNotice
	for name, table := range p.Tables {
		if slices.Contains(request.Tenants, name) || request.Tenants[0] == maintenance.AllTenants {
			notice = max(notice, time.Duration(table.NoticeMin)*time.Minute)
		}
	}
	first := max(request.From, p.Input.Now+notice+grid)
	steps := int((last - first) / grid)
	for i := range min(steps, 400) {
		if steps > 400 { // check random moments instead of all
			i = rapid.IntRange(0, steps-1).Draw(t, "tried")
		}
		at := first + time.Duration(i)*grid
		require.NotEmpty(t, p.FirstViolatedRule(shifted(request, at)), "expected no fit at %v, before the proposed %v", at, conflict.NextFit)
	}
}

// TestPlanHandlesAnyInput checks that Plan returns an error or a valid window for any input.
func TestPlanHandlesAnyInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := drawPlanChecker(t)
		request, input := p.drawRequest(t), &p.Input
		number := rapid.OneOf(rapid.Float64(), rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), 0, 1e300}))
		moment := rapid.OneOf(rapid.Int64(), rapid.Int64Range(int64(input.Now), int64(input.Now+10*day)), rapid.SampledFrom([]int64{math.MaxInt64, math.MinInt64, 0}))
		for range rapid.IntRange(1, 4).Draw(t, "changes") {
			value, at := number.Draw(t, "number"), time.Duration(moment.Draw(t, "moment"))
			switch rapid.IntRange(0, 12).Draw(t, "change") {
			case 0:
				input.Servers[0].Capacity = value
			case 1:
				input.TenantLoads["east"] = value
			case 2:
				input.PeakLoad = value
			case 3:
				input.MaxUtilization = value
			case 4:
				request.MoveRate = value
			case 5:
				request.From = at
			case 6:
				request.To = at
			case 7:
				input.Now = at
			case 8:
				input.ClockMargin = max(at%time.Hour, 0)
			case 9:
				input.Windows = append(input.Windows, &maintenance.Window{From: at, To: time.Duration(moment.Draw(t, "to")), Nodes: request.Nodes, Tenants: request.Tenants})
			case 10:
				input.Servers = append(input.Servers, input.Servers...)
			case 11:
				input.MinNotice = at
			case 12:
				input.Servers, request.Tenants = input.Servers[:1], append(request.Tenants, rapid.String().Draw(t, "name"))
			}
		}
		window, err := maintenance.Plan(request, *input)
		if err != nil {
			require.NotEmpty(t, err.Error())
			return
		}
		require.True(t, window.From >= input.Now+maintenance.MinNotice || input.MinNotice != 0)
		require.True(t, window.From < window.DrainedAt && window.DrainedAt < window.ReturnFrom && window.ReturnFrom < window.To && window.Steps >= 1 && window.Steps <= maintenance.MaxSteps)
		_, err = maintenance.EncodeProposal(maintenance.Proposal{Window: window, Now: input.Now, PolicyVersion: 1, MinNotice: 1})
		require.NoError(t, err)
	})
}
