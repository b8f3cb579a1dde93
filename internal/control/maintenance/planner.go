package maintenance

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/internal/control/maintenance/contract"
)

// Defaults of a PlanInput and of a WindowRequest.
const (
	// MinDrained is the default minimum time for which the servers are without keys.
	MinDrained = time.Minute

	defaultPeakLoad       = 0.7
	defaultMaxUtilization = 0.9
	defaultClockMargin    = 10 * time.Second
	defaultMoveRate       = 0.01
)

const (
	stepInterval = time.Second // time between two steps
	tolerance    = 1e-9        // rounding error allowed in fractions
)

// planner plans one request.
type planner struct {
	request          WindowRequest
	input            PlanInput // with defaults applied and the servers of other windows added
	tenants          []string  // of the request, sorted
	requestedServers []int     // indexes into input.Servers
	steps            int
	length           time.Duration
	contracts        []*contract.Contract // parallel to tenants; nil: the tenant has none
	utilization      utilization
	windowsInMonth   map[month]int
}

type month struct {
	tenant string
	from   time.Duration
}

func newPlanner(r WindowRequest, input PlanInput) (*planner, error) {
	p := &planner{request: r, input: input, length: r.To - r.From, windowsInMonth: map[month]int{}}
	p.input.PeakLoad = cmp.Or(finiteOrZero(input.PeakLoad), defaultPeakLoad)
	p.input.MaxUtilization = cmp.Or(finiteOrZero(input.MaxUtilization), defaultMaxUtilization)
	p.input.ClockMargin = cmp.Or(input.ClockMargin, defaultClockMargin)
	p.input.MinNotice = cmp.Or(input.MinNotice, MinNotice)
	p.input.MinDrained = cmp.Or(input.MinDrained, MinDrained)
	moveRate := cmp.Or(r.MoveRate, defaultMoveRate)
	switch {
	case !isValidName(r.ID):
		return nil, fmt.Errorf("a window needs a name of 1 to %d bytes", maxNameSize)
	case r.From < 0 || r.To <= r.From:
		return nil, errors.New("a window must end after it begins")
	case r.From > input.Now+maxLeadTime:
		return nil, errors.New("a window must begin within 62 days")
	case !(moveRate >= 1.0/MaxSteps && moveRate <= 1): //nolint:staticcheck // QF1001: also rejects NaN
		return nil, fmt.Errorf("the move rate must be a fraction of the keys per second, %g to 1", 1.0/MaxSteps)
	}
	p.steps = int(math.Ceil(1/moveRate - tolerance))
	if err := p.selectTargets(); err != nil {
		return nil, err
	}
	for _, tenant := range p.tenants {
		p.contracts = append(p.contracts, input.Contracts[tenant])
	}
	p.addWindowServers()
	p.utilization = newUtilization(p)
	return p, nil
}

// selectTargets determines the servers and tenants of the request. It returns an error if a requested server
// is not listed, or if there are no servers, no tenants or too many.
func (p *planner) selectTargets() error {
	missing := slices.Clone(p.request.Nodes)
	for i, s := range p.input.Servers {
		if slices.Contains(p.request.Nodes, s.ID) || p.request.Zone != "" && s.Zone == p.request.Zone {
			p.requestedServers = append(p.requestedServers, i)
			missing = slices.DeleteFunc(missing, func(id string) bool { return id == s.ID })
		}
	}
	switch {
	case len(missing) > 0:
		return fmt.Errorf("not a listed node: %.80s", missing[0])
	case len(p.requestedServers) == 0 && p.request.Zone != "":
		return fmt.Errorf("no listed node is in zone %.80s", p.request.Zone)
	case len(p.requestedServers) == 0:
		return errors.New("a window needs a node or a zone")
	}
	p.tenants = p.requestedTenants()
	if len(p.tenants) == 0 {
		return errors.New("a window needs a tenant, or * for all")
	}
	return p.checkSizes()
}

// requestedTenants returns the request's tenants, with AllTenants resolved, sorted and without duplicates.
func (p *planner) requestedTenants() []string {
	tenants := slices.Clone(p.request.Tenants)
	if slices.Contains(tenants, AllTenants) {
		tenants = append(slices.Collect(maps.Keys(p.input.TenantLoads)), NoTenant)
		tenants = slices.AppendSeq(tenants, maps.Keys(p.input.Contracts))
	}
	slices.Sort(tenants)
	return slices.Compact(tenants)
}

// checkSizes returns an error if the request has more servers, tenants or bytes of names than a window may
// have.
func (p *planner) checkSizes() error {
	ids := p.serverIDs()
	if len(ids) > MaxServers || len(p.tenants) > maxTenants || !areValidNames(ids, p.tenants) {
		return fmt.Errorf("a window has at most %d nodes and %d tenants, with names of %d bytes in total and "+
			"1 to %d bytes each: request several windows", MaxServers, maxTenants, maxNamesSize, maxNameSize)
	}
	return nil
}

func (p *planner) serverIDs() (ids []string) {
	for _, i := range p.requestedServers {
		ids = append(ids, p.input.Servers[i].ID)
	}
	return ids
}

// addWindowServers adds the servers of other windows that are not listed, with the mean capacity, and marks
// the servers that are in a window now as not absent.
func (p *planner) addWindowServers() {
	known, inWindow, sum := map[string]bool{}, map[string]bool{}, 0.0
	servers := slices.Clone(p.input.Servers)
	for i := range servers {
		servers[i].Capacity = finiteOrZero(servers[i].Capacity)
		known[servers[i].ID], sum = true, sum+servers[i].Capacity
	}
	mean := sum / float64(len(servers))
	for _, w := range p.input.Windows {
		for _, id := range w.Nodes {
			if !known[id] {
				servers, known[id] = append(servers, Server{ID: id, Capacity: mean}), true
			}
			inWindow[id] = inWindow[id] || w.From <= p.input.Now && p.input.Now < w.To
		}
	}
	for i := range servers {
		servers[i].Absent = servers[i].Absent && !inWindow[servers[i].ID]
	}
	p.input.Servers = servers
}

// finiteOrZero returns v if it is positive and below 1e9, else zero; NaN and infinities give zero.
func finiteOrZero(v float64) float64 {
	if v > 0 && v < 1e9 {
		return v
	}
	return 0
}

// moveTime returns how long keys take to leave; they take as long to return.
func (p *planner) moveTime() time.Duration { return time.Duration(p.steps) * stepInterval }

// window returns the planned window with the requested times.
func (p *planner) window() *Window {
	w := &Window{
		ID: p.request.ID, Agent: p.request.Agent, Nodes: p.serverIDs(), Tenants: p.tenants, Steps: p.steps,
		PolicyVersion: p.input.PolicyVersion, From: p.request.From, DrainedAt: p.request.From + p.moveTime(),
		ReturnFrom: p.request.To - p.moveTime(), To: p.request.To, StateSince: p.input.Now,
	}
	slices.Sort(w.Nodes)
	return w
}

// countInMonth returns the number of a tenant's windows that begin in the calendar month of a moment. The
// tenant is an index in planner.tenants.
func (p *planner) countInMonth(tenant int, at time.Duration) int {
	if p.input.CountWindows == nil {
		return 0
	}
	from, to := p.contracts[tenant].Month(at)
	key := month{p.tenants[tenant], from}
	if _, known := p.windowsInMonth[key]; !known {
		p.windowsInMonth[key] = p.input.CountWindows(key.tenant, from, to)
	}
	return p.windowsInMonth[key]
}
