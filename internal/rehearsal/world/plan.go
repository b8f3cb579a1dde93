package world

import (
	"net/netip"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Plan is the part of a run that depends on its scenario and seed alone, not on the agents: first tries
// and faults.
type Plan struct {
	Arrivals []Arrival
	Faults   []PlannedFault
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

// PlannedFault is a fault injection, as drawn.
type PlannedFault struct {
	Kind    scenario.FaultKind
	At, For time.Duration
	Part    float64
	Size    float64
}

// NewPlan draws a plan. It advances the simulation without agents.
func NewPlan(sc *scenario.Scenario, seed uint64) *Plan {
	p := &Plan{}
	w := &world{
		seed: seed, scenario: sc, sink: discardSink{}, byAddr: map[netip.AddrPort]*server{}, slowdown: 1,
		trafficKept: 1, plan: p,
	}
	w.record.w = w
	w.build()
	for ev, ok := w.next(sc.Run.Length); ok; ev, ok = w.next(sc.Run.Length) {
		ev.fire()
	}
	return p
}

// addArrival adds a request to the plan.
func (p *Plan) addArrival(at time.Duration, q *request) {
	p.Arrivals = append(p.Arrivals, Arrival{
		At: at, Work: seconds(q.work), Key: q.key, Class: uint8(q.class),
		Tenant: q.tenant, Agent: int32(q.client.agent.number),
	})
}

// discardSink is a sink that discards everything.
type discardSink struct{}

func (discardSink) Begin(record.Run)          {}
func (discardSink) Server(int, record.Server) {}
func (discardSink) Observe(*record.Event)     {}
func (discardSink) Sample(*record.Sample)     {}
func (discardSink) End(time.Duration)         {}
