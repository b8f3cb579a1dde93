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

// FleetStore stores a voter's part of the log; see package fleetstore. Its methods are not called
// concurrently.
type FleetStore interface {
	// Write writes a voter's state as one, and returns once it is safe on disk.
	Write(*raftlog.Persist) error
	Close() error
}

// FleetSettings are what a FleetActor is started with.
type FleetSettings struct {
	Node      fleet.Settings
	Store     FleetStore // nil: nothing is stored
	Datagrams *transport.Datagrams
	// OnApplied is called by the actor after records were applied; nil: nobody is told.
	OnApplied func()
}

// FleetActor is the actor of a fleet node. Its goroutine ends with the process.
type FleetActor struct {
	mail      *mailbox[any]
	store     FleetStore
	peers     *peerSender
	onApplied func()
	startedAt time.Time
	caughtUp  atomic.Bool
	ready     atomic.Bool

	// of node: held by the actor while it handles a message, which takes microseconds, and by Read
	mu   sync.Mutex
	node *fleet.Node // changed by the actor alone

	// Of the actor.
	wake   *time.Timer
	wakeAt time.Duration // by the steady clock: when wake fires
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

// farFuture is when the timer is set to before the node has said when it is due.
const farFuture = time.Hour

// StartFleet starts the actor of a node.
func StartFleet(set FleetSettings) (*FleetActor, error) {
	node, err := fleet.New(set.Node, ReadClocks())
	if err != nil {
		return nil, err
	}
	f := &FleetActor{
		mail: newMailbox[any](), store: set.Store, peers: startPeerSender(set.Datagrams), node: node,
		onApplied: set.OnApplied, startedAt: time.Now(),
	}
	f.wake = time.AfterFunc(farFuture, func() { f.mail.put(fleetWake{}) })
	go f.mail.receive(f.handle)
	f.mail.put(fleetWake{})
	return f, nil
}

// ReadClocks reads the machine's clocks: Unix time, and one that runs on while the process and the machine
// are paused.
func ReadClocks() fleet.ClockReading {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // which every system has
	}
	return fleet.ClockReading{Unix: time.Duration(time.Now().UnixNano()), Mono: time.Duration(t.Nano())}
}

// ReceiveDatagram takes another agent's datagram, or drops it where too many messages wait.
func (f *FleetActor) ReceiveDatagram(d protocol.Datagram) {
	if f.mail.waiting() < maxDatagramsWaiting {
		f.mail.put(d)
	}
}

// IsReady tells whether this process has what was agreed, as far as it can be had. Once true it stays so.
func (f *FleetActor) IsReady() bool { return f.ready.Load() }

// IsCaughtUp tells whether this process has what others have agreed on, or has tried for long enough. Once
// true it stays so.
func (f *FleetActor) IsCaughtUp() bool { return f.caughtUp.Load() }

// Do has the actor call a function with the node. False: ctx ended before; the function may be called all the
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

// Read calls a function with the node at this moment, beside the actor. It must not change anything that is
// sent or stored.
func (f *FleetActor) Read(read func(*fleet.Node, fleet.ClockReading)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.node, ReadClocks())
}

// LeaseStanding returns this agent's standing, for functions that the node calls. In Do and Read the node
// itself has it.
func (f *FleetActor) LeaseStanding(now fleet.ClockReading) lease.Standing {
	return f.node.Standing(now)
}

// handle handles one message. It never ends the actor.
func (f *FleetActor) handle(m any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := ReadClocks()
	switch m := m.(type) {
	case protocol.Datagram:
		f.node.Receive(now, m.Agent, m.Data)
	case fleetWake:
		// The timer may fire slightly early. Nothing is due then, and the node's next time is the same as before:
		// without this it would not be set again.
		f.wakeAt = -1
		f.node.Wake(now)
	case fleetPersisted:
		f.handlePersisted(now, m)
	case fleetCall:
		m.do(f.node, now)
		m.done <- struct{}{}
	}
	f.carryOut(now)
	return true
}

// handlePersisted tells the node that what the voter asked for is safe. Where it could not be written the
// voter waits for good: it says nothing more that it might have to take back.
func (f *FleetActor) handlePersisted(now fleet.ClockReading, m fleetPersisted) {
	if m.err != nil {
		slog.Error("fleet: the voter's log cannot be written, this voter is inactive until the next start", "error",
			m.err)
		return
	}
	f.node.Persisted(now, m.token)
}

// carryOut carries out what the node asks for. The next write is asked for once the one before was reported.
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

// updateReadiness sees when the process has caught up, and when it is ready.
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
