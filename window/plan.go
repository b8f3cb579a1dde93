package window

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"dunestep/contract"
)

// Node is a booking server as the asking agent's own list has it.
type Node struct {
	ID, Zone string
	Capacity float64 // agreed: 1 for a usual one
	// Absent says that it is listed but not ready: it is of the fleet's capacity, but carries nothing.
	Absent bool
}

// Scene is all that a plan depends on.
type Scene struct {
	Now       time.Duration                 // Unix time
	Nodes     []Node                        // all that are listed
	Contracts map[string]*contract.Contract // by tenant, Rest too
	// Tenants are the parts of the load that they bring at their peak, 1 at most together; the rest is Rest's.
	Tenants map[string]float64
	// Load is the part of the fleet's capacity that all tenants use at their peak; zero: 0.7.
	Load float64
	// Most is how much of a node may be used; zero: 0.9.
	Most    float64
	Windows []*Window // those that are not over
	// Moved counts a tenant's windows, over or not, that begin in a time; nil: none.
	Moved func(tenant string, from, to time.Duration) int
	// Notice is the fleet's least; zero: LeastNotice. Contracts may ask for more.
	Notice time.Duration
	// Margin is left at both ends of the hours, for clocks that differ; zero: 10 s.
	Margin time.Duration
	// Drained is how long the nodes are to be without keys at the least; zero: LeastDrained.
	Drained time.Duration
	// Turn tells whether a node may be in a window at a time; nil: at any. Turns begin at 12:00 UTC.
	Turn   func(node Node, from, to time.Duration) bool
	Policy uint64 // the version that the contracts are of
}

// Misfit is why an ask cannot be met.
type Misfit struct {
	Reason string // for staff
	Tenant string // whose contract or load it is; empty: nobody's
	// Next is the next From, at the one asked for or later, at which the same ask would fit (Unix time); zero:
	// none was found within 60 days.
	Next time.Duration
}

func (m Misfit) Error() string { return m.Reason }

// Fit makes the window that an ask is for. The error is a Misfit, or says that the ask makes no sense. An
// ask fits where
//
//   - each of its tenants has a contract, whose hours allow all of it and Margin to either side, and whose
//     notice, longest time and number of windows in the month (in which it begins) are kept;
//   - keys have time to leave and to return at its pace, and the nodes are free of them for Scene.Drained;
//   - no other window has the same tenant off the same node, each node is in its turn, and at each moment the
//     capacity that each of its tenants has left is what its contract keeps, and no node is used over Most.
//
// A node counts as left from From to To, whatever part of its keys is moved; each tenant's load is spread
// over the nodes that are left to it by their capacity. The fleet's agreed capacity is that of the scene's
// nodes, absent ones too, and of those that other windows hold. What a window holds now is taken to be back
// after it, as a usual node where it is on no list; any other absent one stays away. Next is the first of
// all times that would fit, but for two minutes to ask again in.
func Fit(a Ask, s Scene) (*Window, error) {
	p, err := newPlanner(a, s)
	if err != nil {
		return nil, err
	}
	m := p.never()
	if m == nil {
		if m = p.misfit(a.From); m == nil {
			return p.window(), nil
		}
		m.Next = p.next()
	}
	return nil, *m
}

const (
	// LeastDrained is how long the nodes are to be without keys at the least, unless a Scene says otherwise.
	LeastDrained = time.Minute

	step     = time.Second // how long a part of the keys that leaves at once counts for its pace
	askAgain = 2 * time.Minute
	searched = 60 * 24 * time.Hour
	slack    = 1e-9
)

// planner is one ask in one scene.
type planner struct {
	ask       Ask
	scene     Scene
	tenants   []string // the ask's, sorted
	asked     []int    // nodes of the scene
	steps     int
	length    time.Duration
	contracts []*contract.Contract // by tenants; nil: none
	use       use
	months    map[month]int
}

type month struct {
	tenant string
	from   time.Duration
}

func newPlanner(a Ask, s Scene) (*planner, error) {
	p := &planner{ask: a, scene: s, length: a.To - a.From, months: map[month]int{}}
	p.scene.Load, p.scene.Most = cmp.Or(sound(s.Load), 0.7), cmp.Or(sound(s.Most), 0.9)
	p.scene.Margin, p.scene.Notice = cmp.Or(s.Margin, 10*time.Second), cmp.Or(s.Notice, LeastNotice)
	p.scene.Drained = cmp.Or(s.Drained, LeastDrained)
	pace := cmp.Or(a.Pace, 0.01)
	switch {
	case !named(a.ID):
		return nil, fmt.Errorf("a window needs a name of 1 to %d bytes", maxID)
	case a.From < 0 || a.To <= a.From:
		return nil, errors.New("a window ends after it begins")
	case a.From > s.Now+furthest:
		return nil, errors.New("a window begins within 62 days")
	case !(pace >= 1.0/MaxSteps && pace <= 1):
		return nil, fmt.Errorf("the pace is a part of the keys that moves in a second, %g to 1", 1.0/MaxSteps)
	}
	p.steps = int(math.Ceil(1/pace - slack))
	if err := p.choose(); err != nil {
		return nil, err
	}
	for _, tenant := range p.tenants {
		p.contracts = append(p.contracts, s.Contracts[tenant])
	}
	p.foresee()
	p.use = newUse(p)
	return p, nil
}

// foresee makes of the nodes that are listed now those that are to be reckoned with.
func (p *planner) foresee() {
	known, held, sum := map[string]bool{}, map[string]bool{}, 0.0
	nodes := slices.Clone(p.scene.Nodes)
	for i := range nodes {
		nodes[i].Capacity = sound(nodes[i].Capacity)
		known[nodes[i].ID], sum = true, sum+nodes[i].Capacity
	}
	usual := sum / float64(len(nodes))
	for _, w := range p.scene.Windows {
		for _, id := range w.Nodes {
			if !known[id] {
				nodes, known[id] = append(nodes, Node{ID: id, Capacity: usual}), true
			}
			held[id] = held[id] || w.From <= p.scene.Now && p.scene.Now < w.To
		}
	}
	for i := range nodes {
		nodes[i].Absent = nodes[i].Absent && !held[nodes[i].ID]
	}
	p.scene.Nodes = nodes
}

// sound is a figure that can be reckoned with; else nothing.
func sound(v float64) float64 {
	if v > 0 && v < 1e9 {
		return v
	}
	return 0
}

// choose finds out which nodes and tenants are meant.
func (p *planner) choose() error {
	left := slices.Clone(p.ask.Nodes)
	for i, n := range p.scene.Nodes {
		if slices.Contains(p.ask.Nodes, n.ID) || p.ask.Zone != "" && n.Zone == p.ask.Zone {
			p.asked = append(p.asked, i)
			left = slices.DeleteFunc(left, func(id string) bool { return id == n.ID })
		}
	}
	switch {
	case len(left) > 0:
		return fmt.Errorf("not a listed node: %.80s", left[0])
	case len(p.asked) == 0 && p.ask.Zone != "":
		return fmt.Errorf("no listed node is in zone %.80s", p.ask.Zone)
	case len(p.asked) == 0:
		return errors.New("a window needs a node or a zone")
	}
	for _, tenant := range p.ask.Tenants {
		if p.tenants = append(p.tenants, tenant); tenant == All {
			p.tenants = append(slices.Collect(maps.Keys(p.scene.Tenants)), Rest)
			p.tenants = slices.AppendSeq(p.tenants, maps.Keys(p.scene.Contracts))
			break
		}
	}
	slices.Sort(p.tenants)
	p.tenants = slices.Compact(p.tenants)
	if len(p.tenants) == 0 {
		return errors.New("a window needs a tenant, or * for all")
	}
	return p.bound()
}

func (p *planner) bound() error {
	var nodes []string
	for _, i := range p.asked {
		nodes = append(nodes, p.scene.Nodes[i].ID)
	}
	if len(nodes) > MaxNodes || len(p.tenants) > maxTenants || !allNamed(nodes, p.tenants) {
		return fmt.Errorf("a window has at most %d nodes and %d tenants, with names of %d bytes together, each of "+
			"1 to %d: ask for several", MaxNodes, maxTenants, maxNames, maxID)
	}
	return nil
}

// away is how long keys take to leave, and to return.
func (p *planner) away() time.Duration { return time.Duration(p.steps) * step }

func (p *planner) window() *Window {
	w := &Window{
		ID: p.ask.ID, Who: p.ask.Who, Tenants: p.tenants, Steps: p.steps, Policy: p.scene.Policy,
		From: p.ask.From, Drained: p.ask.From + p.away(), Back: p.ask.To - p.away(), To: p.ask.To,
		Since: p.scene.Now,
	}
	for _, i := range p.asked {
		w.Nodes = append(w.Nodes, p.scene.Nodes[i].ID)
	}
	slices.Sort(w.Nodes)
	return w
}

// never is why the ask fits at no time.
func (p *planner) never() *Misfit {
	if p.length < 2*p.away()+p.scene.Drained {
		return &Misfit{Reason: fmt.Sprintf("%v is too short: keys take %v to leave at this pace and as long to "+
			"return, and the nodes are to be free of them for %v", p.length, p.away(), p.scene.Drained)}
	}
	for i, c := range p.contracts {
		if c == nil {
			return p.of(i, "has no contract, so it may not be moved")
		}
		if p.length > c.Longest() {
			return p.of(i, "by its contract a window lasts %v at most", c.Longest())
		}
	}
	return nil
}

func (p *planner) of(tenant int, format string, args ...any) *Misfit {
	name := p.tenants[tenant]
	return &Misfit{Reason: "tenant " + name + ": " + fmt.Sprintf(format, args...), Tenant: name}
}

// misfit is why the ask does not fit with this beginning; nil: it does.
func (p *planner) misfit(from time.Duration) *Misfit {
	for i, c := range p.contracts {
		if notice := max(c.Notice(), p.scene.Notice); from < p.scene.Now+notice {
			return p.of(i, "a window has to be asked for %v ahead", notice)
		}
	}
	for i, c := range p.contracts {
		begin, end, ok := c.Run(from)
		switch {
		case from > c.Until():
			return p.of(i, "what clocks show in its zone is agreed on until %s: propose the policy anew",
				p.local(i, c.Until()))
		case !ok:
			return p.of(i, "its contract's hours do not allow %s", p.local(i, from))
		case from < begin+p.scene.Margin || from+p.length > end-p.scene.Margin:
			return p.of(i, "its contract's hours are %s to %s, and %v of them are left at both ends",
				p.local(i, begin), p.local(i, end), p.scene.Margin)
		case p.moved(i, from) >= c.Monthly():
			return p.of(i, "it has its %d windows of %s", c.Monthly(), c.Local(from).Format("2006-01"))
		}
	}
	if p.scene.Turn != nil {
		for _, i := range p.asked {
			if n := p.scene.Nodes[i]; !p.scene.Turn(n, from, from+p.length) {
				return &Misfit{Reason: "node " + n.ID + " is not in its turn then"}
			}
		}
	}
	return p.use.misfit(from, from+p.length)
}

func (p *planner) local(tenant int, at time.Duration) string {
	return p.contracts[tenant].Local(at).Format("Mon 2006-01-02 15:04:05 MST")
}

// moved counts a tenant's windows of the month of a moment.
func (p *planner) moved(tenant int, at time.Duration) int {
	if p.scene.Moved == nil {
		return 0
	}
	from, to := p.contracts[tenant].Month(at)
	key := month{p.tenants[tenant], from}
	if _, known := p.months[key]; !known {
		p.months[key] = p.scene.Moved(key.tenant, from, to)
	}
	return p.months[key]
}
