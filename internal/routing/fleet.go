package routing

import (
	"context"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/fleet"
	"dunestep/fleet/consensus"
	"dunestep/fleet/lease"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// FleetStore keeps a voter's part of the log; see package fleetstore.
type FleetStore interface {
	// Write writes what a voter asks for as one, and returns once it is safe on disk.
	Write(*consensus.Persist) error
	Close() error
}

// FleetSettings is what a Fleet goes by.
type FleetSettings struct {
	Node      fleet.Settings
	Store     FleetStore // nil: the voter keeps nothing, or this is none
	Datagrams *transport.Datagrams
	// Applied is told, from the actor, that records were applied; nil: nobody is.
	Applied func()
}

// Fleet is the actor of what the agents agree on. It carries out what its node says.
type Fleet struct {
	mail    *mailbox[any]
	store   FleetStore
	agents  *agents
	applied func()
	mu      sync.Mutex  // of node, for those who look beside the actor: what it does takes microseconds
	node    *fleet.Node // the actor's
	wake    *time.Timer
	due     time.Duration // by the steady clock: when wake ends
	knows   atomic.Bool
	ready   atomic.Bool
	began   time.Time
}

// The messages of the actor, beside protocol.Datagram.
type (
	fleetWake      struct{}
	fleetPersisted struct {
		token uint64
		err   error
	}
	fleetAsk struct {
		do   func(*fleet.Node, fleet.Reading)
		done chan<- struct{}
	}
)

// StartFleet starts the actor.
func StartFleet(set FleetSettings) (*Fleet, error) {
	node, err := fleet.New(set.Node, ReadClocks())
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		mail: newMailbox[any](), store: set.Store, agents: startAgents(set.Datagrams), node: node,
		applied: set.Applied, began: time.Now(),
	}
	f.wake = time.AfterFunc(time.Hour, func() { f.mail.put(fleetWake{}) })
	go f.mail.receive(f.handle)
	f.mail.put(fleetWake{})
	return f, nil
}

// ReadClocks reads the machine's clocks: Unix time, and one that runs on while the process and the
// machine stand still.
func ReadClocks() fleet.Reading {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t)
	}
	return fleet.Reading{Unix: time.Duration(time.Now().UnixNano()), Mono: time.Duration(t.Nano())}
}

// Hear takes another agent's datagram in, or drops it where too many messages wait.
func (f *Fleet) Hear(d protocol.Datagram) {
	if f.mail.waiting() < maxDatagramsWaiting {
		f.mail.put(d)
	}
}

// Ready tells whether this process has what was agreed, as far as it can be had; it stays so.
func (f *Fleet) Ready() bool { return f.ready.Load() }

// Knows tells whether this process has what others have agreed on, or has tried for long enough; it stays so.
func (f *Fleet) Knows() bool { return f.knows.Load() }

// Do has something done with the node, in its actor. False: ctx has ended before; it may be done all the
// same.
func (f *Fleet) Do(ctx context.Context, do func(*fleet.Node, fleet.Reading)) bool {
	done := make(chan struct{}, 1)
	f.mail.put(fleetAsk{do, done})
	select {
	case <-done:
		return true
	case <-ctx.Done():
		return false
	}
}

// Look has something read of the node at this moment, beside the actor. It must not change anything that
// is sent or written.
func (f *Fleet) Look(do func(*fleet.Node, fleet.Reading)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	do(f.node, ReadClocks())
}

// Standing is how this agent may act, for what the node itself calls: in Do and Look it is the node's to say.
func (f *Fleet) Standing(now fleet.Reading) lease.Standing { return f.node.Standing(now) }

func (f *Fleet) handle(m any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := ReadClocks()
	switch m := m.(type) {
	case protocol.Datagram:
		f.node.Receive(now, m.Agent, m.Data)
	case fleetWake:
		// The timer has ended. Where it was early by a hair nothing was due, and Next says the same again:
		// unless it is set anew the node sleeps until somebody else says something.
		f.due = -1
		f.node.Wake(now)
	case fleetPersisted:
		f.persisted(now, m)
	case fleetAsk:
		m.do(f.node, now)
		m.done <- struct{}{}
	}
	f.carry(now)
	return true
}

// persisted passes on that what the voter asked for is safe. Where it could not be written the voter
// waits for good: it says nothing more that it might have to take back.
func (f *Fleet) persisted(now fleet.Reading, m fleetPersisted) {
	if m.err != nil {
		slog.Error("fleet: the voter's log can't be written, it takes no part until the next start", "error", m.err)
		return
	}
	f.node.Persisted(now, m.token)
}

// carry does what the node says.
func (f *Fleet) carry(now fleet.Reading) {
	out := f.node.Out(now)
	for _, d := range out.Datagrams {
		f.agents.tell(protocol.Datagram{Agent: int(d.To), Data: d.Bytes})
	}
	if p := out.Persist; p != nil {
		go func() { f.mail.put(fleetPersisted{p.Token, f.store.Write(p)}) }()
	}
	for _, e := range out.Events {
		logFleet(e)
	}
	if out.Applied && f.applied != nil {
		f.applied()
	}
	f.settle(now)
	if next := f.node.Next(); next != f.due {
		f.due = next
		f.wake.Reset(max(next-now.Mono, 0))
	}
}

// settle sees when the process is ready.
func (f *Fleet) settle(now fleet.Reading) {
	if f.ready.Load() {
		return
	}
	if f.node.Knows(now) {
		f.knows.Store(true)
	}
	if ready, caughtUp := f.node.Ready(now); ready {
		f.ready.Store(true)
		s := f.node.Status(now)
		slog.Info("fleet: ready", "caught_up", caughtUp, "epoch", s.At.Epoch, "record", s.At.Seq,
			"after", time.Since(f.began).Round(time.Millisecond))
	}
}

// logFleet tells staff of what the node has seen.
func logFleet(e fleet.Event) {
	switch e.Kind {
	case fleet.Leads:
		slog.Info("fleet: this agent leads the voters", "record", e.At.Seq)
	case fleet.LeadsNot:
		slog.Info("fleet: this agent leads the voters no more", "record", e.At.Seq)
	case fleet.Began:
		slog.Warn("fleet: the log began anew, what was agreed before is gone", "epoch", e.At.Epoch)
	case fleet.Differs:
		slog.Error("fleet: the log differs from another agent's", "agent", e.Agent, "record", e.At.Seq,
			"error", e.Err)
	case fleet.Stopped:
		slog.Error("fleet: the voter has stopped", "error", e.Err)
	case fleet.Unknown:
		slog.Warn("fleet: others agree on something that this build does not know, it is kept for them",
			"record", e.At.Seq, "error", e.Err)
	case fleet.LeaseHeld:
		slog.Info("fleet: a lease holds", "epoch", e.At.Epoch, "record", e.At.Seq)
	case fleet.LeaseEnded:
		slog.Warn("fleet: no lease holds, within the floor only", "epoch", e.At.Epoch, "record", e.At.Seq)
	}
}
