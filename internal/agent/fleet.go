package agent

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// FleetStore keeps a voter's part of the log; see package fleetstore.
type FleetStore interface {
	// Write writes what a voter asks for as one, and returns once it is safe on disk.
	Write(*raftlog.Persist) error
	Close() error
}

// FleetSettings is what a FleetActor goes by.
type FleetSettings struct {
	Node      fleet.Settings
	Store     FleetStore // nil: the voter keeps nothing, or this is none
	Datagrams *transport.Datagrams
	// OnApplied is told, from the actor, that records were applied; nil: nobody is.
	OnApplied func()
}

// FleetActor is the actor of what the agents agree on. It carries out what its node says.
type FleetActor struct {
	mail      *mailbox[any]
	store     FleetStore
	peers     *peerSender
	onApplied func()
	mu        sync.Mutex  // of node, for those who look beside the actor: what it does takes microseconds
	node      *fleet.Node // the actor's
	wake      *time.Timer
	wakeAt    time.Duration // by the steady clock: when wake ends
	caughtUp  atomic.Bool
	ready     atomic.Bool
	startedAt time.Time
}

// The messages of the actor, beside protocol.Datagram.
type (
	fleetWake      struct{}
	fleetPersisted struct {
		token uint64
		err   error
	}
	fleetCall struct {
		do   func(*fleet.Node, fleet.ClockReading)
		done chan<- struct{}
	}
)

// StartFleet starts the actor.
func StartFleet(set FleetSettings) (*FleetActor, error) {
	node, err := fleet.New(set.Node, ReadClocks())
	if err != nil {
		return nil, err
	}
	f := &FleetActor{
		mail: newMailbox[any](), store: set.Store, peers: startPeerSender(set.Datagrams), node: node,
		onApplied: set.OnApplied, startedAt: time.Now(),
	}
	f.wake = time.AfterFunc(time.Hour, func() { f.mail.put(fleetWake{}) })
	go f.mail.receive(f.handle)
	f.mail.put(fleetWake{})
	return f, nil
}

// ReadClocks reads the machine's clocks: Unix time, and one that runs on while the process and the
// machine stand still.
func ReadClocks() fleet.ClockReading {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return fleet.ClockReading{Unix: time.Duration(time.Now().UnixNano()), Mono: time.Duration(t.Nano())}
}

// ReceiveDatagram takes another agent's datagram in, or drops it where too many messages wait.
func (f *FleetActor) ReceiveDatagram(d protocol.Datagram) {
	if f.mail.waiting() < maxDatagramsWaiting {
		f.mail.put(d)
	}
}

// IsReady tells whether this process has what was agreed, as far as it can be had; it stays so.
func (f *FleetActor) IsReady() bool { return f.ready.Load() }

// FleetCaughtUp tells whether this process has what others have agreed on, or has tried for long enough; it stays so.
func (f *FleetActor) IsCaughtUp() bool { return f.caughtUp.Load() }

// Do has something done with the node, in its actor. False: ctx has ended before; it may be done all the
// same.
func (f *FleetActor) Do(ctx context.Context, do func(*fleet.Node, fleet.ClockReading)) bool {
	done := make(chan struct{}, 1)
	f.mail.put(fleetCall{do, done})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Read has something read of the node at this moment, beside the actor. It must not change anything that
// is sent or written.
func (f *FleetActor) Read(do func(*fleet.Node, fleet.ClockReading)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.node, ReadClocks())
}

// LeaseStanding is how this agent may act, for what the node itself calls: in Do and Read it is the node's to say.
func (f *FleetActor) LeaseStanding(now fleet.ClockReading) lease.Standing {
	return f.node.Standing(now)
}

func (f *FleetActor) handle(m any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := ReadClocks()
	switch m := m.(type) {
	case protocol.Datagram:
		f.node.Receive(now, m.Agent, m.Data)
	case fleetWake:
		// The timer has ended. Where it was early by a hair nothing was due, and Next says the same again:
		// unless it is set anew the node sleeps until somebody else says something.
		f.wakeAt = -1
		f.node.Wake(now)
	case fleetPersisted:
		f.persisted(now, m)
	case fleetCall:
		m.do(f.node, now)
		m.done <- struct{}{}
	}
	f.carryOut(now)
	return true
}

// persisted passes on that what the voter asked for is safe. Where it could not be written the voter
// waits for good: it says nothing more that it might have to take back.
func (f *FleetActor) persisted(now fleet.ClockReading, m fleetPersisted) {
	if m.err != nil {
		slog.Error("fleet: the voter's log cannot be written, this voter is inactive until the next start", "error", m.err)
		return
	}
	f.node.Persisted(now, m.token)
}

// carry does what the node says.
func (f *FleetActor) carryOut(now fleet.ClockReading) {
	out := f.node.Out(now)
	for _, d := range out.Datagrams {
		f.peers.enqueue(protocol.Datagram{Agent: int(d.To), Data: d.Bytes})
	}
	if p := out.Persist; p != nil {
		go func() { f.mail.put(fleetPersisted{p.Token, f.store.Write(p)}) }()
	}
	for _, e := range out.Events {
		logFleetEvent(e)
	}
	if out.HasApplied && f.onApplied != nil {
		f.onApplied()
	}
	f.updateReadiness(now)
	if next := f.node.Next(); next != f.wakeAt {
		f.wakeAt = next
		f.wake.Reset(max(next-now.Mono, 0))
	}
}

// settle sees when the process is ready.
func (f *FleetActor) updateReadiness(now fleet.ClockReading) {
	if f.ready.Load() {
		return
	}
	if f.node.IsCaughtUp(now) {
		f.caughtUp.Store(true)
	}
	if ready, caughtUp := f.node.Ready(now); ready {
		f.ready.Store(true)
		s := f.node.Status(now)
		slog.Info("fleet: ready", "caught_up", caughtUp, "epoch", s.Applied.Epoch, "record", s.Applied.Seq,
			"after", time.Since(f.startedAt).Round(time.Millisecond))
	}
}

// logFleetEvent tells staff of what the node has seen.
func logFleetEvent(e fleet.Event) {
	switch e.Kind {
	case fleet.LeadershipGained:
		slog.Info("fleet: this agent became the leader", "record", e.Position.Seq)
	case fleet.LeadershipLost:
		slog.Info("fleet: this agent is no longer the leader", "record", e.Position.Seq)
	case fleet.LogRestarted:
		slog.Warn("fleet: the log was restarted, everything agreed before is lost", "epoch", e.Position.Epoch)
	case fleet.LogDiverged:
		slog.Error("fleet: the log diverges from another agent's", "agent", e.Agent, "record", e.Position.Seq,
			"error", e.Err)
	case fleet.VoterStopped:
		slog.Error("fleet: the voter has stopped", "error", e.Err)
	case fleet.UnknownRecord:
		slog.Warn("fleet: the log has records of a type that this build does not know, they are stored unread",
			"record", e.Position.Seq, "error", e.Err)
	case fleet.LeaseAcquired:
		slog.Info("fleet: lease acquired", "epoch", e.Position.Epoch, "record", e.Position.Seq)
	case fleet.LeaseLost:
		slog.Warn("fleet: lease lost, running at the policy floor", "epoch", e.Position.Epoch, "record", e.Position.Seq)
	}
}
