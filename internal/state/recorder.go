package state

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/probation"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// Balancer is the part of balancer.Balancer that a Recorder uses.
type Balancer interface {
	Snapshot(now time.Duration) balancer.Snapshot
	Restore(now time.Duration, s balancer.Snapshot, age time.Duration)
	ForgetServer(id string)
	StartProbation(trust float64)
	ConfirmServerList()
}

// OverloadGate is the part of overload.Gate that a Recorder uses.
type OverloadGate interface {
	Snapshot(now time.Duration) overload.Snapshot
	Restore(now time.Duration, s overload.Snapshot, age time.Duration)
}

// IdleLimiter is the part of routing.IdleLimit that a Recorder uses.
type IdleLimiter interface {
	Snapshot(now time.Duration) routing.IdleSnapshot
	Restore(s routing.IdleSnapshot, age time.Duration)
}

// Recorder restores stored statistics into the components of a running agent, and takes snapshots of them.
// Only the agent's actor may use it.
type Recorder struct {
	balancer      Balancer
	gate          OverloadGate
	idleLimit     IdleLimiter
	savedList     *routing.SavedList
	initial       Initial // zero after RestoreLearned
	listTrust     float64 // trust in the initial list, from 0 to 1
	usesProbation bool
}

// ProbationSettings configures whether servers of an unconfirmed list get only few requests at first.
type ProbationSettings struct {
	Enabled bool
	// FullDeploy is the duration of a deployment of all servers. A list of at least this age is not trusted.
	FullDeploy time.Duration
}

// NewRecorder returns a Recorder for the components of an agent that starts with initial.
func NewRecorder(
	initial Initial,
	b Balancer,
	gate OverloadGate,
	idle IdleLimiter,
	p ProbationSettings,
) *Recorder {
	return &Recorder{
		balancer: b, gate: gate, idleLimit: idle,
		savedList: routing.NewSavedList(initial.List, initial.ConfirmedAt),
		initial:   initial, listTrust: probation.Trust(initial.ListAge, p.FullDeploy), usesProbation: p.Enabled,
	}
}

// RestoreLearned restores the stored statistics. It must be called once, right after the balancer has
// received the initial list and before the first request.
func (r *Recorder) RestoreLearned(now time.Duration) {
	if r.initial.Balancer != nil {
		r.balancer.Restore(now, *r.initial.Balancer, r.initial.Age)
	}
	if r.initial.Overload != nil {
		r.gate.Restore(now, *r.initial.Overload, r.initial.Age)
	}
	if r.initial.IdleConnections != nil {
		r.idleLimit.Restore(*r.initial.IdleConnections, r.initial.Age)
	}
	if r.usesProbation {
		r.balancer.StartProbation(r.listTrust)
	}
	r.initial = Initial{} // allows its memory to be reclaimed
}

// ListUpdated applies an update of the endpoint list. It must be called right after the balancer has received
// the update. It reports whether this is discovery's first confirmation of the list.
func (r *Recorder) ListUpdated(now time.Duration, kind balancer.UpdateKind, list protocol.EndpointList,
	confirmation routing.Confirmation,
) (firstConfirmation bool) {
	firstConfirmation = confirmation == routing.Confirmed && !r.savedList.WasConfirmed()
	for _, id := range r.savedList.Update(now, kind, list, confirmation) {
		r.balancer.ForgetServer(id)
	}
	if firstConfirmation {
		r.balancer.ConfirmServerList()
	}
	return firstConfirmation
}

// Snapshot is the list and the statistics at one time. It shares no mutable data, so another goroutine may
// use it.
type Snapshot struct {
	list        protocol.EndpointList
	confirmedAt time.Duration // Unix time
	balancer    balancer.Snapshot
	overload    overload.Snapshot
	idle        routing.IdleSnapshot
}

// Snapshot returns the current list and statistics.
func (r *Recorder) Snapshot(now time.Duration) Snapshot {
	return Snapshot{
		list: r.savedList.List(), confirmedAt: r.savedList.ConfirmedAt(now), balancer: r.balancer.Snapshot(now),
		overload: r.gate.Snapshot(now), idle: r.idleLimit.Snapshot(now),
	}
}

// Content returns the snapshot as the content of a file.
func (s Snapshot) Content() Content {
	return Content{
		List: NewStoredList(s.list, s.confirmedAt.Milliseconds()), Balancer: &s.balancer, Overload: &s.overload,
		IdleConnections: &s.idle,
	}
}

// ListVersion returns the version of the current list.
func (r *Recorder) ListVersion() int64 { return r.savedList.Version() }

// IsListConfirmed reports whether discovery has confirmed the list since the agent started.
func (r *Recorder) IsListConfirmed() bool { return r.savedList.WasConfirmed() }
