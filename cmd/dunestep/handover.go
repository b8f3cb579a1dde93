package main

import (
	"context"
	"log/slog"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/handover"
	"dunestep/internal/protocol"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

const (
	// shareUpdateInterval is how often it is looked how many descriptors the other process may use.
	shareUpdateInterval = 100 * time.Millisecond
	// spareDescriptors is how many a process that shuts down may open beyond what it has, for further attempts.
	spareDescriptors = 8
	// snapshotTimeout bounds the wait for what was learned.
	snapshotTimeout = 500 * time.Millisecond
)

// upgrade is this process's part in the replacement of one process of the agent by the next: as the one that
// takes over, as the one that hands over, or neither.
type upgrade struct {
	mu        sync.Mutex
	share     limitsShare    // of the agent's limits, while two processes run
	previous  *handover.Peer // this process takes over from it
	next      *handover.Peer // it takes over from this process
	nextReady bool           // the next process accepts clients
	stopping  bool
}

// end tells that this process shuts down, and returns whether the next one accepts its clients.
func (u *upgrade) end() successor {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopping = true
	return successor(u.nextReady)
}

// listenForHandover opens the socket at which a process connects that takes over from this one; nil: that
// can't be had. It comes before clients and operators are told that this process is ready: one that is
// started on their word has to find it.
func (p *process) listenForHandover() *handover.Listener {
	l, err := handover.Listen(os.TempDir(), p.settings.Name, p.settings.Listen)
	if err != nil {
		slog.Warn("handover socket cannot be opened: no process can take over from this one", "error", err)
		return nil
	}
	return l
}

// serveHandover hands over to processes that connect, until this one ends. The previous process, where there
// is one, is notified as soon as this one accepts clients.
func (p *process) serveHandover(l *handover.Listener) {
	if previous := p.upgrade.previous; previous != nil { // the goroutines that change it start here
		go p.notifyReady(previous)
		go p.followPrevious(previous)
	}
	if l != nil {
		go l.Serve(func(err error) {
			slog.Warn("connection to the handover socket rejected", "error", err)
		}, p.handOver)
	}
}

// handOver hands over to a process that takes over from this one. It returns once that has exited, with
// whether this one continues.
func (p *process) handOver(next *handover.Peer) (continues bool) {
	sockets, names := p.socketsToHandOver()
	limits := p.currentLimits()
	offer := handover.Offer{
		SocketNames: names, State: p.encodeState(), MemoryMB: max(limits.MemoryMB/2, 1),
		Descriptors: p.descriptorsForNext(limits),
	}
	p.setNext(next, limitsShare{limits.Sockets - offer.Descriptors, limits.MemoryMB - offer.MemoryMB})
	debug.FreeOSMemory()
	offer.Manual, offer.FleetState = p.manual.current(), p.fleet.encodeState()
	if err := next.SendOffer(offer, sockets); err != nil {
		slog.Warn("handover failed", "error", err)
	} else {
		slog.Info("handing over to a new process", "descriptors", offer.Descriptors, "memory_mb", offer.MemoryMB)
		p.runBeside(next, offer.Descriptors)
	}
	p.setNext(nil, limitsShare{})
	if p.datagrams != nil {
		p.datagrams.Activate()
	}
	p.upgrade.mu.Lock()
	defer p.upgrade.mu.Unlock()
	if !p.upgrade.stopping {
		slog.Info("the new process has exited, this one continues")
	}
	return !p.upgrade.stopping
}

// runBeside receives the next process's notifications until it exits, and shares descriptors with it, of
// which it has been told a number.
func (p *process) runBeside(next *handover.Peer, descriptors int) {
	stop := make(chan struct{})
	defer close(stop)
	go p.shareDescriptors(next, descriptors, stop)
	next.Receive(func(n handover.Notification) {
		if n.Ready {
			p.yieldClients()
		}
		n.Descriptors = 0 // this process decides on them
		p.handleNotification(n)
	})
}

// yieldClients leaves new clients and datagrams to the next process, which accepts them.
func (p *process) yieldClients() {
	p.upgrade.mu.Lock()
	p.upgrade.nextReady = true
	p.upgrade.mu.Unlock()
	if p.datagrams != nil {
		p.datagrams.Deactivate()
	}
	slog.Info("the new process accepts clients")
}

// setNext sets the next process, nil: none, and this one's share of the limits.
func (p *process) setNext(next *handover.Peer, share limitsShare) {
	p.upgrade.mu.Lock()
	p.upgrade.next, p.upgrade.share, p.upgrade.nextReady = next, share, false
	p.upgrade.mu.Unlock()
	p.applyLimits()
	p.agent.ReleaseIdle() // idle connections are what can be closed first
}

// notifyManual notifies the other process, where there is one, of what operators have set.
func (p *process) notifyManual(settings handover.ManualSettings) {
	p.upgrade.mu.Lock()
	others := []*handover.Peer{p.upgrade.previous, p.upgrade.next}
	p.upgrade.mu.Unlock()
	for _, other := range others {
		if other != nil {
			other.Notify(handover.Notification{Manual: &settings})
		}
	}
}

// currentLimits returns the agent's limits, for all its processes together.
func (p *process) currentLimits() protocol.Limits {
	p.upgrade.mu.Lock()
	defer p.upgrade.mu.Unlock()
	return p.settings.Limits
}

// descriptorsForNext returns how many descriptors the next process may use beside this one: half, or, once
// this one shuts down, all that it does not need.
func (p *process) descriptorsForNext(l protocol.Limits) int {
	inUse := p.descriptors.InUse()
	if p.settings.Ops.IsValid() {
		inUse += transport.OpsDescriptors
	}
	p.upgrade.mu.Lock()
	defer p.upgrade.mu.Unlock()
	if p.upgrade.stopping {
		return max(l.Sockets-inUse-spareDescriptors, 1)
	}
	return max(l.Sockets-max(inUse, l.Sockets/2), 1)
}

// shareDescriptors notifies the next process, until stop, of how many descriptors it may use where that has
// changed.
func (p *process) shareDescriptors(next *handover.Peer, notified int, stop <-chan struct{}) {
	interval := time.NewTicker(shareUpdateInterval)
	defer interval.Stop()
	for {
		select {
		case <-interval.C:
		case <-stop:
			return
		}
		limits := p.currentLimits()
		descriptors := p.descriptorsForNext(limits)
		if descriptors == notified {
			continue
		}
		notified = descriptors
		p.upgrade.mu.Lock()
		p.upgrade.share.descriptors = limits.Sockets - descriptors
		p.upgrade.mu.Unlock()
		p.applyLimits()
		next.Notify(handover.Notification{Descriptors: descriptors})
	}
}

// socketsToHandOver returns the sockets that the next process gets, and their names.
func (p *process) socketsToHandOver() (sockets []syscall.Conn, names []string) {
	for addr, l := range p.listener.Sockets() {
		sockets, names = append(sockets, l), append(names, networkTCP+" "+addr.String())
	}
	if p.datagrams != nil {
		s := p.datagrams.Socket()
		sockets, names = append(sockets, s), append(names, networkUDP+" "+s.LocalAddr().String())
	}
	return sockets, names
}

// encodeState returns what was learned, as a state file; empty where it does not come in time. Its owner is
// that of the start, as all that was learned is: the operator file may name another deployment since.
func (p *process) encodeState() []byte {
	ctx, cancel := context.WithTimeout(context.Background(), snapshotTimeout)
	defer cancel()
	content, ok := p.state.snapshot(ctx)
	if !ok {
		return nil
	}
	raw, err := state.Encode(&state.File{Header: state.Header{
		Owner:     p.state.settings.stateOwner(),
		WrittenMS: time.Now().UnixMilli(),
	}, Content: content})
	if err != nil {
		slog.Warn("state not included in the handover", "error", err)
	}
	return raw
}
