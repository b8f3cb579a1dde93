package main

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"dunestep/internal/fleet"
)

// percent is the unit of agreed paces: 100 is a pace of 1.
const percent = 100

// ringStatus is the JSON of the agreed ring assignment at the operators' socket. Its keys are kept for
// compatibility and differ from the fields' names.
type ringStatus struct {
	Generation  uint64    `json:"generation"`
	EffectiveAt time.Time `json:"by,omitzero"`
	Suspended   bool      `json:"off,omitempty"` // agents place keys by their own lists meanwhile
	Active      uint64    `json:"acting"`        // the generation by which this agent places keys; 0: none
	// Paces are the agreed speeds of machine kinds relative to their configured capacity; those that are 1 are
	// omitted. PaceReporters is how many agents have recently reported theirs to this voter.
	Paces         map[string]float64 `json:"paces,omitempty"`
	PaceReporters int                `json:"tell,omitempty"`
	Servers       []ringServer       `json:"servers"`
}

// ringServer is a server of a generation.
type ringServer struct {
	ID     string `json:"id"`
	Phase  string `json:"phase"`
	Points int    `json:"points"` // on the ring
}

// ringStatus returns the current assignment's status; nil: ring assignments are disabled here.
func (f *fleetMember) ringStatus(n *fleet.Node, now fleet.ClockReading) *ringStatus {
	if f.ring == nil {
		return nil
	}
	s := f.ring.adapter.State()
	out := &ringStatus{
		Generation: s.Number, EffectiveAt: unixTime(s.EffectiveAt), Suspended: s.Suspended, Servers: []ringServer{},
		PaceReporters: f.ring.adapter.PaceReporters(now),
	}
	if active := f.ring.adapter.Assignment(now, n.Standing(now)); active != nil {
		out.Active = active.Generation
	}
	for _, pace := range s.Paces {
		if out.Paces == nil {
			out.Paces = map[string]float64{}
		}
		out.Paces[pace.Kind] = float64(pace.Percent) / percent
	}
	for i := range s.Members {
		m := &s.Members[i]
		out.Servers = append(out.Servers, ringServer{m.ID, m.Phase.String(), m.PointsOnRing()})
	}
	return out
}

// write adds the status to a table; nothing for nil.
func (r *ringStatus) write(t *table) {
	if r == nil {
		return
	}
	active := "this agent places by its own list"
	if r.Active > 0 {
		active = fmt.Sprintf("this agent places by %d", r.Active)
	}
	t.row("ring\tgeneration %d\t%s", r.Generation, active)
	for _, kind := range slices.Sorted(maps.Keys(r.Paces)) {
		t.row("  kind %s\tmeasured %.2f of its capacity", kind, r.Paces[kind])
	}
	for _, s := range r.Servers {
		t.row("  %s\t%s\t%d points", s.ID, s.Phase, s.Points)
	}
}
