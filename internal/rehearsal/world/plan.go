package world

import (
	"net/netip"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Plan is what of a day is fixed before it is played, by its scenario and seed: the first tries and the
// troubles.
type Plan struct {
	Arrivals []Arrival
	Troubles []Spell
}

// Arrival is a first try.
type Arrival struct {
	At     time.Duration
	Work   time.Duration // on a standard core
	Key    uint32
	Agent  int32
	Class  uint8
	Tenant uint8
}

// Spell is a trouble, as drawn.
type Spell struct {
	Kind    scenario.TroubleKind
	At, For time.Duration
	Part    float64
	Size    float64
}

// NewPlan draws a day's plan. The day is gone through without agents: what they do has no part in it.
func NewPlan(set *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{}
	w := &world{
		seed: seed, set: set, sink: unheard{}, at: map[netip.AddrPort]*server{}, slow: 1,
		keeps: 1, plan: p,
	}
	w.record.w = w
	w.build()
	for what, any := w.next(set.Day.Length); any; what, any = w.next(set.Day.Length) {
		what.happen()
	}
	return p
}

// planned notes a request in the plan that is drawn.
func (p *Plan) planned(at time.Duration, q *request) {
	p.Arrivals = append(p.Arrivals, Arrival{
		At: at, Work: seconds(q.work), Key: q.key, Class: uint8(q.class),
		Tenant: q.tenant, Agent: int32(q.client.agent.number),
	})
}

// unheard is a sink that takes nothing in.
type unheard struct{}

func (unheard) Begin(record.Day)          {}
func (unheard) Server(int, record.Server) {}
func (unheard) Take(*record.Event)        {}
func (unheard) Sample(*record.Sample)     {}
func (unheard) End(time.Duration)         {}
