package state

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/balancer/probation"
	"dunestep/internal/overload"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
)

// Balancer is the part of balancer.Balancer that is kept.
type Balancer interface {
	Snapshot(now time.Duration) balancer.Snapshot
	Restore(now time.Duration, m balancer.Snapshot, age time.Duration)
	ForgetServer(id string)
	StartProbation(trust float64)
	ConfirmServerList()
}

// OverloadGate is the part of overload.OverloadGate that is kept.
type OverloadGate interface {
	Snapshot(now time.Duration) overload.Snapshot
	Restore(now time.Duration, m overload.Snapshot, age time.Duration)
}

// IdleConnections is the limit on idle connections, as it is kept: routing.IdleLimit.
type IdleLimiter interface {
	Snapshot(now time.Duration) routing.IdleSnapshot
	Restore(m routing.IdleSnapshot, age time.Duration)
}

// Recorder ties what is kept to the parts of a running agent that know it. It is the module's actor's.
type Recorder struct {
	balancer      Balancer
	gate          OverloadGate
	idle          IdleLimiter
	savedList     *routing.SavedList
	initial       Initial
	listTrust     float64
	usesProbation bool
}

// ProbationSettings says how servers of a list that is not confirmed are tried.
type ProbationSettings struct {
	Enabled    bool
	FullDeploy time.Duration // how long a full deploy takes: a list as old as that is all suspicion
}

// NewRecorder begins with what NewInitial has put together.
func NewRecorder(b Initial, module Balancer, gate OverloadGate, idle IdleLimiter, p ProbationSettings) *Recorder {
	return &Recorder{
		balancer: module, gate: gate, idle: idle, savedList: routing.NewSavedList(b.List, b.ConfirmedAt),
		initial: b, listTrust: probation.Trust(b.ListAge, p.FullDeploy), usesProbation: p.Enabled,
	}
}

// RestoreLearned comes right after the module was told the list of the start, and before the first operation.
func (s *Recorder) RestoreLearned(now time.Duration) {
	if s.initial.Balancer != nil {
		s.balancer.Restore(now, *s.initial.Balancer, s.initial.Age)
	}
	if s.initial.Overload != nil {
		s.gate.Restore(now, *s.initial.Overload, s.initial.Age)
	}
	if s.initial.IdleConnections != nil {
		s.idle.Restore(*s.initial.IdleConnections, s.initial.Age)
	}
	if s.usesProbation {
		s.balancer.StartProbation(s.listTrust)
	}
	s.initial = Initial{} // it is not needed any more
}

// ListUpdated comes right after the module was told news of the list, from routing.StoredList. It tells whether discovery has
// confirmed the list for the first time by that.
func (s *Recorder) ListUpdated(now time.Duration, kind balancer.UpdateKind, config protocol.EndpointList,
	confirms bool,
) (first bool) {
	first = confirms && !s.savedList.WasConfirmed()
	for _, id := range s.savedList.Update(now, kind, config, confirms) {
		s.balancer.ForgetServer(id)
	}
	if first {
		s.balancer.ConfirmServerList()
	}
	return first
}

// Snapshot is what was known at a time. It shares nothing that changes, so that it can be worked on
// elsewhere.
type Snapshot struct {
	list        protocol.EndpointList
	confirmedAt time.Duration
	balancer    balancer.Snapshot
	overload    overload.Snapshot
	idle        routing.IdleSnapshot
}

// Snapshot is what is known now.
func (s *Recorder) Snapshot(now time.Duration) Snapshot {
	return Snapshot{
		list: s.savedList.List(), confirmedAt: s.savedList.ConfirmedAt(now), balancer: s.balancer.Snapshot(now),
		overload: s.gate.Snapshot(now), idle: s.idle.Snapshot(now),
	}
}

// Content is the snapshot in the form that is kept.
func (s Snapshot) Content() Content {
	return Content{
		List: NewStoredList(s.list, s.confirmedAt.Milliseconds()), Balancer: &s.balancer, Overload: &s.overload,
		IdleConnections: &s.idle,
	}
}

// ListVersion is the version of the list as it is known.
func (s *Recorder) ListVersion() int64 { return s.savedList.Version() }

// ConfirmedAt tells whether discovery has confirmed the list since the start.
func (s *Recorder) IsListConfirmed() bool { return s.savedList.WasConfirmed() }
