package state

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/probation"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// Balancer is what a Recorder needs of balancer.Balancer.
type Balancer interface {
	Snapshot(now time.Duration) balancer.Snapshot
	Restore(now time.Duration, s balancer.Snapshot, age time.Duration)
	ForgetServer(id string)
	StartProbation(trust float64)
	ConfirmServerList()
}

// OverloadGate is what a Recorder needs of overload.Gate.
type OverloadGate interface {
	Snapshot(now time.Duration) overload.Snapshot
	Restore(now time.Duration, s overload.Snapshot, age time.Duration)
}

// IdleLimiter is what a Recorder needs of routing.IdleLimit.
type IdleLimiter interface {
	Snapshot(now time.Duration) routing.IdleSnapshot
	Restore(s routing.IdleSnapshot, age time.Duration)
}

// Recorder restores what was learned into the parts of a running agent, and takes snapshots of them. It
// belongs to the agent's actor.
type Recorder struct {
	balancer      Balancer
	gate          OverloadGate
	idleLimit     IdleLimiter
	savedList     *routing.SavedList
	initial       Initial // until RestoreLearned
	listTrust     float64 // in the list of the start, from 0 to 1
	usesProbation bool
}

// ProbationSettings says whether servers of a list that is not confirmed are tried with few requests first.
type ProbationSettings struct {
	Enabled bool
	// FullDeploy is how long a deployment of all servers takes: a list as old as that is not trusted at all.
	FullDeploy time.Duration
}

// NewRecorder returns a Recorder for the parts of an agent that starts from initial.
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

// RestoreLearned restores what was learned. It is called once, right after the balancer was told the list of
// the start, and before the first request.
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
	r.initial = Initial{} // its memory can be reclaimed
}

// ListUpdated takes an update of the list, right after the balancer was told of it. It returns whether
// discovery has confirmed the list by that for the first time.
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

// Snapshot is what was known at one time. It shares nothing that changes, so another goroutine may use it.
type Snapshot struct {
	list        protocol.EndpointList
	confirmedAt time.Duration // in Unix time
	balancer    balancer.Snapshot
	overload    overload.Snapshot
	idle        routing.IdleSnapshot
}

// Snapshot returns what is known now.
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

// ListVersion returns the version of the list that is known.
func (r *Recorder) ListVersion() int64 { return r.savedList.Version() }

// IsListConfirmed tells whether discovery has confirmed the list since the start.
func (r *Recorder) IsListConfirmed() bool { return r.savedList.WasConfirmed() }
