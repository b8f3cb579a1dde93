package agent

import (
	"context"
	"errors"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"dunestep/internal/fleet"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/fleet/raftlog"
	"dunestep/internal/fleetstore"
	"dunestep/internal/protocol"
	"dunestep/internal/transport"
)

// FleetStore stores a voter's log; see package fleetstore. Its methods are not called concurrently.
type FleetStore interface {
	// Write writes a voter's state atomically, and returns once it is durable.
	Write(*raftlog.Persist) error
	Close() error
}

// FleetSettings are the parameters of a FleetActor.
type FleetSettings struct {
	Node      fleet.Settings
	Store     FleetStore // nil: nothing is stored
	Datagrams *transport.Datagrams
	// OnApplied is called by the actor after records were applied; nil: not called.
	OnApplied func()
}

// FleetActor is the actor of a fleet node. Its goroutine runs until the process ends.
type FleetActor struct {
	mail      *mailbox[any]
	store     FleetStore
	peers     *peerSender
	onApplied func()
	startedAt time.Time
	caughtUp  atomic.Bool
	ready     atomic.Bool

	// mu guards node. The actor holds it while it handles a message, which takes microseconds; Read holds
	// it too.
	mu   sync.Mutex
	node *fleet.Node // modified only by the actor

	// Accessed only by the actor's goroutine.
	wake   *time.Timer
	wakeAt time.Duration // when wake fires, on fleet.ClockReading.Mono; negative: it has fired
}

// The messages of the actor, in addition to protocol.Datagram.
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

// initialWakeDelay is the timer's duration until the node's first wake time is known.
const initialWakeDelay = time.Hour

// StartFleet starts the actor of a new node. The error reports invalid settings.
func StartFleet(set FleetSettings) (*FleetActor, error) {
	node, err := fleet.New(set.Node, ReadClocks())
	if err != nil {
		return nil, err
	}
	f := &FleetActor{
		mail: newMailbox[any](), store: set.Store, peers: startPeerSender(set.Datagrams), node: node,
		onApplied: set.OnApplied, startedAt: time.Now(),
	}
	f.wake = time.AfterFunc(initialWakeDelay, func() { f.mail.put(fleetWake{}) })
	go f.mail.receive(f.handle)
	f.mail.put(fleetWake{})
	return f, nil
}

// ReadClocks reads the machine's clocks: Unix time, and a monotonic clock that continues while the process
// or the machine is suspended.
func ReadClocks() fleet.ClockReading {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		_ = unix.ClockGettime(unix.CLOCK_MONOTONIC, &t) // supported by every system
	}
	return fleet.ClockReading{Unix: time.Duration(time.Now().UnixNano()), Mono: time.Duration(t.Nano())}
}

// ReceiveDatagram handles another agent's datagram, or drops it if too many messages are waiting.
func (f *FleetActor) ReceiveDatagram(d protocol.Datagram) {
	if f.mail.waiting() < maxDatagramsWaiting {
		f.mail.put(d)
	}
}

// IsReady reports whether this process has the agreed state, as far as it can be obtained.
// Once true, it stays true.
func (f *FleetActor) IsReady() bool { return f.ready.Load() }

// IsCaughtUp reports whether this process has learned what other agents have agreed on, or has tried for long
// enough. Once true, it stays true.
func (f *FleetActor) IsCaughtUp() bool { return f.caughtUp.Load() }

// Do makes the actor call a function with the node and waits until it has returned. The result is false if
// ctx ended first; the function may still be called.
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

// Read calls a function with the node in the caller's goroutine, while the actor is locked out. The
// function must not change anything that is sent or stored.
func (f *FleetActor) Read(read func(*fleet.Node, fleet.ClockReading)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	read(f.node, ReadClocks())
}

// LeaseStanding returns this agent's lease standing. It takes no lock: it is for functions that the node
// calls while the actor holds its lock. In Do and Read, use the node's Standing.
func (f *FleetActor) LeaseStanding(now fleet.ClockReading) lease.Standing {
	return f.node.Standing(now)
}

// handle handles one message. It returns true: the actor never ends.
func (f *FleetActor) handle(m any) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := ReadClocks()
	switch m := m.(type) {
	case protocol.Datagram:
		f.node.Receive(now, m.Agent, m.Data)
	case fleetWake:
		// The timer may fire slightly early. Nothing is due then, and the node's next wake time is unchanged:
		// without this the timer would not be set again.
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

// The wait before a voter's write is repeated doubles from the first to the second.
const minPersistWait, maxPersistWait = 50 * time.Millisecond, 2 * time.Second

// persist writes until that succeeds: a disk may be full, or fail, for a while. Nothing that depends on the
// write is sent meanwhile. It returns an error if the write can never succeed.
func (f *FleetActor) persist(p *raftlog.Persist) error {
	hasFailed := false
	for wait := minPersistWait; ; wait = min(2*wait, maxPersistWait) {
		err := f.store.Write(p)
		switch {
		case err == nil && hasFailed:
			slog.Info("fleet: the voter's log is written again")
			return nil
		case err == nil || errors.Is(err, fleetstore.ErrClosed):
			return err
		case !hasFailed:
			hasFailed = true
			slog.Warn("fleet: the voter's log cannot be written, trying again", "error", err)
		}
		time.Sleep(wait)
	}
}

// handlePersisted reports to the node that the voter's write is durable. If the write can never be, nothing
// is reported, and the voter waits for it until the process ends: it must not send anything that depends on a
// write that is not durable.
func (f *FleetActor) handlePersisted(now fleet.ClockReading, m fleetPersisted) {
	if m.err != nil {
		slog.Error("fleet: the voter's log cannot be written, this voter is inactive until the next start", "error",
			m.err)
		return
	}
	f.node.Persisted(now, m.token)
}

// carryOut carries out the node's outputs. The node requests a write only after the one before was reported.
func (f *FleetActor) carryOut(now fleet.ClockReading) {
	out := f.node.Out(now)
	for _, d := range out.Datagrams {
		f.peers.enqueue(protocol.Datagram{Agent: int(d.To), Data: d.Bytes})
	}
	if p := out.Persist; p != nil {
		go func() { f.mail.put(fleetPersisted{p.Token, f.persist(p)}) }()
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

// updateReadiness sets caughtUp and ready once the node reports them.
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
