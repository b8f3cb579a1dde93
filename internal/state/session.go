package state

import (
	"time"

	"dunestep/decide"
	"dunestep/internal/core"
	"dunestep/internal/protocol"
	"dunestep/proving"
	"dunestep/storm"
)

// Module is the part of decide.Balancer that is kept.
type Module interface {
	Remember(now time.Duration) decide.Memory
	Recall(now time.Duration, m decide.Memory, age time.Duration)
	Disown(id string)
	Doubt(trust float64)
	Confirm()
}

// Gate is the part of storm.Gate that is kept.
type Gate interface {
	Remember(now time.Duration) storm.Memory
	Recall(now time.Duration, m storm.Memory, age time.Duration)
}

// Idle is the limit on idle connections, as it is kept: core.IdleLimit.
type Idle interface {
	Remember(now time.Duration) core.IdleMemory
	Recall(m core.IdleMemory, age time.Duration)
}

// Session ties what is kept to the parts of a running agent that know it. It is the module's actor's.
type Session struct {
	module Module
	gate   Gate
	idle   Idle
	roster *core.Roster
	begin  Beginning
	trust  float64
	proves bool
}

// Proof says how servers of a list that is not confirmed are tried.
type Proof struct {
	Wanted bool
	Deploy time.Duration // how long a full deploy takes: a list as old as that is all suspicion
}

// NewSession begins with what Begin has put together.
func NewSession(b Beginning, module Module, gate Gate, idle Idle, p Proof) *Session {
	return &Session{
		module: module, gate: gate, idle: idle, roster: core.NewRoster(b.List, b.Confirmed),
		begin: b, trust: proving.Trust(b.ListAge, p.Deploy), proves: p.Wanted,
	}
}

// Began comes right after the module was told the list of the start, and before the first operation.
func (s *Session) Began(now time.Duration) {
	if s.begin.Module != nil {
		s.module.Recall(now, *s.begin.Module, s.begin.Age)
	}
	if s.begin.Storm != nil {
		s.gate.Recall(now, *s.begin.Storm, s.begin.Age)
	}
	if s.begin.Idle != nil {
		s.idle.Recall(*s.begin.Idle, s.begin.Age)
	}
	if s.proves {
		s.module.Doubt(s.trust)
	}
	s.begin = Beginning{} // it is not needed any more
}

// News comes right after the module was told news of the list, from core.List. It tells whether discovery has
// confirmed the list for the first time by that.
func (s *Session) News(now time.Duration, kind decide.SyncKind, config protocol.PoolConfig,
	confirms bool,
) (first bool) {
	first = confirms && !s.roster.Told()
	for _, id := range s.roster.Take(now, kind, config, confirms) {
		s.module.Disown(id)
	}
	if first {
		s.module.Confirm()
	}
	return first
}

// Snapshot is what was known at a time. It shares nothing that changes, so that it can be worked on
// elsewhere.
type Snapshot struct {
	list      protocol.PoolConfig
	confirmed time.Duration
	module    decide.Memory
	storm     storm.Memory
	idle      core.IdleMemory
}

// Snapshot is what is known now.
func (s *Session) Snapshot(now time.Duration) Snapshot {
	return Snapshot{
		list: s.roster.Config(), confirmed: s.roster.Confirmed(now), module: s.module.Remember(now),
		storm: s.gate.Remember(now), idle: s.idle.Remember(now),
	}
}

// Content is the snapshot in the form that is kept.
func (s Snapshot) Content() Content {
	return Content{
		List: NewList(s.list, s.confirmed.Milliseconds()), Module: &s.module, Storm: &s.storm,
		Idle: &s.idle,
	}
}

// ListVersion is the version of the list as it is known.
func (s *Session) ListVersion() int64 { return s.roster.Version() }

// Confirmed tells whether discovery has confirmed the list since the start.
func (s *Session) Confirmed() bool { return s.roster.Told() }
