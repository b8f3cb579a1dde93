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

// Server is a booking server as the asking agent's own list has it.
type Server struct {
	ID, Zone string
	Capacity float64 // agreed: 1 for a usual one
	// Absent says that it is listed but not ready: it is of the fleet's capacity, but carries nothing.
	Absent bool
}

// PlanInput is all that a plan depends on.
type PlanInput struct {
	Now       time.Duration                 // Unix time
	Servers   []Server                      // all that are listed
	Contracts map[string]*contract.Contract // by tenant, NoTenant too
	// TenantLoads are the parts of the load that they bring at their peak, 1 at most together; the rest is NoTenant's.
	TenantLoads map[string]float64
	// PeakLoad is the part of the fleet's capacity that all tenants use at their peak; zero: 0.7.
	PeakLoad float64
	// MaxUtilization is how much of a node may be used; zero: 0.9.
	MaxUtilization float64
	Windows        []*Window // those that are not over
	// CountWindows counts a tenant's windows, over or not, that begin in a time; nil: none.
	CountWindows func(tenant string, from, to time.Duration) int
	// MinNotice is the fleet's least; zero: MinNotice. Contracts may ask for more.
	MinNotice time.Duration
	// ClockMargin is left at both ends of the hours, for clocks that differ; zero: 10 s.
	ClockMargin time.Duration
	// DrainedAt is how long the nodes are to be without keys at the least; zero: MinDrained.
	MinDrained time.Duration
	// IsInTurn tells whether a node may be in a window at a time; nil: at any. Turns begin at 12:00 UTC.
	IsInTurn      func(node Server, from, to time.Duration) bool
	PolicyVersion uint64 // the version that the contracts are of
}

// Conflict is why an ask cannot be met.
type Conflict struct {
	Reason string // for staff
	Tenant string // whose contract or load it is; empty: nobody's
	// NextFit is the next From, at the one asked for or later, at which the same ask would fit (Unix time); zero:
	// none was found within 60 days.
	NextFit time.Duration
}

func (m Conflict) Error() string { return m.Reason }

// Plan makes the window that an ask is for. The error is a Conflict, or says that the ask makes no sense. An
// ask fits where
//
//   - each of its tenants has a contract, whose hours allow all of it and ClockMargin to either side, and whose
//     notice, longest time and number of windows in the month (in which it begins) are kept;
//   - keys have time to leave and to return at its pace, and the nodes are free of them for PlanInput.DrainedAt;
//   - no other window has the same tenant off the same node, each node is in its turn, and at each moment the
//     capacity that each of its tenants has left is what its contract keeps, and no node is used over MaxUtilization.
//
// A node counts as left from From to To, whatever part of its keys is moved; each tenant's load is spread
// over the nodes that are left to it by their capacity. The fleet's agreed capacity is that of the scene's
// nodes, absent ones too, and of those that other windows hold. What a window holds now is taken to be back
// after it, as a usual node where it is on no list; any other absent one stays away. NextFit is the first of
// all times that would fit, but for two minutes to ask again in.
func Plan(a WindowRequest, s PlanInput) (*Window, error) {
	p, err := newPlanner(a, s)
	if err != nil {
		return nil, err
	}
	m := p.permanentConflict()
	if m == nil {
		if m = p.conflictAt(a.From); m == nil {
			return p.window(), nil
		}
		m.NextFit = p.nextFit()
	}
	return nil, *m
}

const (
	// MinDrained is how long the nodes are to be without keys at the least, unless a PlanInput says otherwise.
	MinDrained = time.Minute

	stepInterval  = time.Second // how long a part of the keys that leaves at once counts for its pace
	replyTime     = 2 * time.Minute
	searchHorizon = 60 * 24 * time.Hour
	tolerance     = 1e-9
)

// planner is one ask in one scene.
type planner struct {
	request          WindowRequest
	input            PlanInput
	tenants          []string // the ask's, sorted
	requestedServers []int    // nodes of the scene
	steps            int
	length           time.Duration
	contracts        []*contract.Contract // by tenants; nil: none
	utilization      utilization
	windowsInMonth   map[month]int
}

type month struct {
	tenant string
	from   time.Duration
}

func newPlanner(a WindowRequest, s PlanInput) (*planner, error) {
	p := &planner{request: a, input: s, length: a.To - a.From, windowsInMonth: map[month]int{}}
	p.input.PeakLoad, p.input.MaxUtilization = cmp.Or(finiteOrZero(s.PeakLoad), 0.7), cmp.Or(finiteOrZero(s.MaxUtilization), 0.9)
	p.input.ClockMargin, p.input.MinNotice = cmp.Or(s.ClockMargin, 10*time.Second), cmp.Or(s.MinNotice, MinNotice)
	p.input.MinDrained = cmp.Or(s.MinDrained, MinDrained)
	pace := cmp.Or(a.MoveRate, 0.01)
	switch {
	case !isValidName(a.ID):
		return nil, fmt.Errorf("a window needs a name of 1 to %d bytes", maxNameSize)
	case a.From < 0 || a.To <= a.From:
		return nil, errors.New("a window ends after it begins")
	case a.From > s.Now+maxLeadTime:
		return nil, errors.New("a window begins within 62 days")
	case !(pace >= 1.0/MaxSteps && pace <= 1):
		return nil, fmt.Errorf("the pace is a part of the keys that moves in a second, %g to 1", 1.0/MaxSteps)
	}
	p.steps = int(math.Ceil(1/pace - tolerance))
	if err := p.selectTargets(); err != nil {
		return nil, err
	}
	for _, tenant := range p.tenants {
		p.contracts = append(p.contracts, s.Contracts[tenant])
	}
	p.addWindowServers()
	p.utilization = newUtilization(p)
	return p, nil
}

// foresee makes of the nodes that are listed now those that are to be reckoned with.
func (p *planner) addWindowServers() {
	known, held, sum := map[string]bool{}, map[string]bool{}, 0.0
	nodes := slices.Clone(p.input.Servers)
	for i := range nodes {
		nodes[i].Capacity = finiteOrZero(nodes[i].Capacity)
		known[nodes[i].ID], sum = true, sum+nodes[i].Capacity
	}
	usual := sum / float64(len(nodes))
	for _, w := range p.input.Windows {
		for _, id := range w.Nodes {
			if !known[id] {
				nodes, known[id] = append(nodes, Server{ID: id, Capacity: usual}), true
			}
			held[id] = held[id] || w.From <= p.input.Now && p.input.Now < w.To
		}
	}
	for i := range nodes {
		nodes[i].Absent = nodes[i].Absent && !held[nodes[i].ID]
	}
	p.input.Servers = nodes
}

// sound is a figure that can be reckoned with; else nothing.
func finiteOrZero(v float64) float64 {
	if v > 0 && v < 1e9 {
		return v
	}
	return 0
}

// choose finds out which nodes and tenants are meant.
func (p *planner) selectTargets() error {
	left := slices.Clone(p.request.Nodes)
	for i, n := range p.input.Servers {
		if slices.Contains(p.request.Nodes, n.ID) || p.request.Zone != "" && n.Zone == p.request.Zone {
			p.requestedServers = append(p.requestedServers, i)
			left = slices.DeleteFunc(left, func(id string) bool { return id == n.ID })
		}
	}
	switch {
	case len(left) > 0:
		return fmt.Errorf("not a listed node: %.80s", left[0])
	case len(p.requestedServers) == 0 && p.request.Zone != "":
		return fmt.Errorf("no listed node is in zone %.80s", p.request.Zone)
	case len(p.requestedServers) == 0:
		return errors.New("a window needs a node or a zone")
	}
	for _, tenant := range p.request.Tenants {
		if p.tenants = append(p.tenants, tenant); tenant == AllTenants {
			p.tenants = append(slices.Collect(maps.Keys(p.input.TenantLoads)), NoTenant)
			p.tenants = slices.AppendSeq(p.tenants, maps.Keys(p.input.Contracts))
			break
		}
	}
	slices.Sort(p.tenants)
	p.tenants = slices.Compact(p.tenants)
	if len(p.tenants) == 0 {
		return errors.New("a window needs a tenant, or * for all")
	}
	return p.checkSizes()
}

func (p *planner) checkSizes() error {
	var nodes []string
	for _, i := range p.requestedServers {
		nodes = append(nodes, p.input.Servers[i].ID)
	}
	if len(nodes) > MaxServers || len(p.tenants) > maxTenants || !areValidNames(nodes, p.tenants) {
		return fmt.Errorf("a window has at most %d nodes and %d tenants, with names of %d bytes together, each of "+
			"1 to %d: ask for several", MaxServers, maxTenants, maxNamesSize, maxNameSize)
	}
	return nil
}

// away is how long keys take to leave, and to return.
func (p *planner) moveTime() time.Duration { return time.Duration(p.steps) * stepInterval }

func (p *planner) window() *Window {
	w := &Window{
		ID: p.request.ID, Agent: p.request.Agent, Tenants: p.tenants, Steps: p.steps, PolicyVersion: p.input.PolicyVersion,
		From: p.request.From, DrainedAt: p.request.From + p.moveTime(), ReturnFrom: p.request.To - p.moveTime(), To: p.request.To,
		StateSince: p.input.Now,
	}
	for _, i := range p.requestedServers {
		w.Nodes = append(w.Nodes, p.input.Servers[i].ID)
	}
	slices.Sort(w.Nodes)
	return w
}

// never is why the ask fits at no time.
func (p *planner) permanentConflict() *Conflict {
	if p.length < 2*p.moveTime()+p.input.MinDrained {
		return &Conflict{Reason: fmt.Sprintf("%v is too short: keys take %v to leave at this pace and as long to "+
			"return, and the nodes are to be free of them for %v", p.length, p.moveTime(), p.input.MinDrained)}
	}
	for i, c := range p.contracts {
		if c == nil {
			return p.tenantConflict(i, "has no contract, so it may not be moved")
		}
		if p.length > c.MaxLength() {
			return p.tenantConflict(i, "by its contract a window lasts %v at most", c.MaxLength())
		}
	}
	return nil
}

func (p *planner) tenantConflict(tenant int, format string, args ...any) *Conflict {
	name := p.tenants[tenant]
	return &Conflict{Reason: "tenant " + name + ": " + fmt.Sprintf(format, args...), Tenant: name}
}

// misfit is why the ask does not fit with this beginning; nil: it does.
func (p *planner) conflictAt(from time.Duration) *Conflict {
	for i, c := range p.contracts {
		if notice := max(c.MinNotice(), p.input.MinNotice); from < p.input.Now+notice {
			return p.tenantConflict(i, "a window has to be asked for %v ahead", notice)
		}
	}
	for i, c := range p.contracts {
		begin, end, ok := c.RunAt(from)
		switch {
		case from > c.RulesEnd():
			return p.tenantConflict(i, "what clocks show in its zone is agreed on until %s: propose the policy anew",
				p.localTime(i, c.RulesEnd()))
		case !ok:
			return p.tenantConflict(i, "its contract's hours do not allow %s", p.localTime(i, from))
		case from < begin+p.input.ClockMargin || from+p.length > end-p.input.ClockMargin:
			return p.tenantConflict(i, "its contract's hours are %s to %s, and %v of them are left at both ends",
				p.localTime(i, begin), p.localTime(i, end), p.input.ClockMargin)
		case p.countInMonth(i, from) >= c.MaxPerMonth():
			return p.tenantConflict(i, "it has its %d windows of %s", c.MaxPerMonth(), c.InZone(from).Format("2006-01"))
		}
	}
	if p.input.IsInTurn != nil {
		for _, i := range p.requestedServers {
			if n := p.input.Servers[i]; !p.input.IsInTurn(n, from, from+p.length) {
				return &Conflict{Reason: "node " + n.ID + " is not in its turn then"}
			}
		}
	}
	return p.utilization.conflictDuring(from, from+p.length)
}

func (p *planner) localTime(tenant int, at time.Duration) string {
	return p.contracts[tenant].InZone(at).Format("Mon 2006-01-02 15:04:05 MST")
}

// moved counts a tenant's windows of the month of a moment.
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
