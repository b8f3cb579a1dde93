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
	"dunestep/internal/openids"
	"dunestep/internal/protocol"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

const (
	// shareUpdateInterval is how often the other process's share of descriptors is recomputed.
	shareUpdateInterval = 100 * time.Millisecond
	// spareDescriptors is how many more descriptors a process that shuts down may open, for further attempts.
	spareDescriptors = 8
	// snapshotTimeout bounds the wait for the learned state.
	snapshotTimeout = 500 * time.Millisecond
	// listenRetryInterval is how often a socket that could not be opened is tried again.
	listenRetryInterval = time.Second
)

// upgrade is the state of the replacement of one process of the agent by the next. This process may be the
// one that takes over, the one that hands over, or neither.
type upgrade struct {
	mu        sync.Mutex
	share     limitsShare    // this process's share of the agent's limits while two processes run
	previous  *handover.Peer // this process takes over from it
	next      *handover.Peer // this process hands over to it
	nextReady bool           // the next process accepts clients
	stopping  bool
}

// end marks this process as shutting down, and returns whether the next one accepts its clients.
func (u *upgrade) end() successor {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.stopping = true
	return successor(u.nextReady)
}

// listenForHandover opens the socket to which a process that takes over from this one connects. It returns
// nil if the socket cannot be opened. The socket must be open before this process reports that it is ready,
// because the next process may be started as soon as it does.
func (p *process) listenForHandover() *handover.Listener {
	l, err := handover.Listen(os.TempDir(), p.settings.Name, p.settings.Listen)
	if err != nil {
		slog.Warn("handover socket cannot be opened: no process can take over from this one yet", "error", err)
		return nil
	}
	return l
}

// serveHandover starts to hand over to processes that connect, until this one ends. The previous process, if
// any, is notified as soon as this one accepts clients. A nil listener is opened as soon as that is possible.
func (p *process) serveHandover(l *handover.Listener) {
	if previous := p.upgrade.previous; previous != nil { // only these goroutines change it
		go p.notifyReady(previous)
		go p.followPrevious(previous)
	}
	go func() {
		for l == nil {
			time.Sleep(listenRetryInterval)
			l, _ = handover.Listen(os.TempDir(), p.settings.Name, p.settings.Listen) // the first error was logged
		}
		l.Serve(func(err error) {
			slog.Warn("connection to the handover socket rejected", "error", err)
		}, p.handOver)
	}()
}

// handOver hands over to a process that takes over from this one. Once that process has exited, it returns
// whether this one continues to serve.
func (p *process) handOver(next *handover.Peer) (continues bool) {
	sockets, names := p.socketsToHandOver()
	limits := p.currentLimits()
	offer := handover.Offer{
		SocketNames: names, State: p.encodeState(), MemoryMB: max(limits.MemoryMB/2, 1),
		Descriptors: p.descriptorsForNext(limits), AnswersClaims: true,
	}
	p.setNext(next, limitsShare{limits.Sockets - offer.Descriptors, limits.MemoryMB - offer.MemoryMB})
	debug.FreeOSMemory()
	offer.Manual, offer.FleetState = p.manual.current(), p.fleet.encodeState()
	p.requestIDs.lead(next)
	if err := next.SendOffer(offer, sockets); err != nil {
		slog.Warn("handover failed", "error", err)
	} else {
		slog.Info("handing over to a new process", "descriptors", offer.Descriptors, "memory_mb", offer.MemoryMB)
		p.runBeside(next, offer.Descriptors)
	}
	p.requestIDs.nextEnded()
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

// runBeside receives the next process's notifications until it exits, and shares the descriptors with it.
// descriptors is the number that the offer gave it.
func (p *process) runBeside(next *handover.Peer, descriptors int) {
	stop := make(chan struct{})
	defer close(stop)
	go p.shareDescriptors(next, descriptors, stop)
	next.Receive(func(n handover.Notification) {
		if n.Claim != nil {
			p.requestIDs.answer(next, *n.Claim)
		}
		if n.Release != "" {
			p.requestIDs.release(n.Release, openids.NextProcess)
		}
		if n.Retained != "" {
			p.requestIDs.retainForNext(n.Retained)
		}
		if n.Ready {
			p.yieldClients()
		}
		n.Descriptors = 0 // this process decides on them
		p.handleNotification(n)
	})
}

// yieldClients leaves new clients and datagrams to the next process.
func (p *process) yieldClients() {
	p.upgrade.mu.Lock()
	p.upgrade.nextReady = true
	p.upgrade.mu.Unlock()
	if p.datagrams != nil {
		p.datagrams.Deactivate()
	}
	slog.Info("the new process accepts clients")
}

// setNext sets the next process and this one's share of the limits. A nil next means that there is none.
func (p *process) setNext(next *handover.Peer, share limitsShare) {
	p.upgrade.mu.Lock()
	p.upgrade.next, p.upgrade.share, p.upgrade.nextReady = next, share, false
	p.upgrade.mu.Unlock()
	p.applyLimits()
	p.agent.ReleaseIdle() // idle connections are closed first
}

// maxManualWait is how long an operator's call waits until the other process can read its effect.
const maxManualWait = 250 * time.Millisecond

// notifyManual notifies the other process, if any, of the operators' settings.
func (p *process) notifyManual(settings handover.ManualSettings) {
	p.upgrade.mu.Lock()
	others := []*handover.Peer{p.upgrade.previous, p.upgrade.next}
	p.upgrade.mu.Unlock()
	timeout := time.NewTimer(maxManualWait)
	defer timeout.Stop()
	for _, other := range others {
		if other == nil {
			continue
		}
		select { // one that is not scheduled reads it later
		case <-other.Notify(handover.Notification{Manual: &settings}):
		case <-timeout.C:
			return
		}
	}
}

// currentLimits returns the agent's limits, which apply to all its processes together.
func (p *process) currentLimits() protocol.Limits {
	p.upgrade.mu.Lock()
	defer p.upgrade.mu.Unlock()
	return p.settings.Limits
}

// descriptorsForNext returns how many descriptors the next process may use beside this one: at most half, or,
// once this one shuts down, all that it does not need. The result is at least 1.
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

// shareDescriptors notifies the next process of its number of descriptors whenever that changes, until stop
// is closed.
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

// socketsToHandOver returns the sockets for the next process, and their names in the same order.
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

// encodeState returns the learned state as a state file; nil where it is not available in time. Its owner is
// that of the settings at the start, since a reloaded operator file may name another deployment.
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
