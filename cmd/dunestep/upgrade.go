package main

import (
	"context"
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"dunestep/internal/handover"
	"dunestep/internal/protocol"
	"dunestep/internal/routing"
	"dunestep/internal/state"
	"dunestep/internal/transport"
)

const (
	// roomEvery is how often it is looked what the other process may hold.
	roomEvery = 100 * time.Millisecond
	// ownRoom is what a process that ends may open beyond what it holds, for further route steps.
	ownRoom = 8
	// rememberWait is how long it is waited for what was learned.
	rememberWait = 500 * time.Millisecond
	// readyEvery is how soon it is looked again whether this process takes clients.
	readyEvery = 5 * time.Millisecond
)

// upgrade is this process's part in an upgrade: as the one that takes over, as the one that is taken
// over from, or neither.
type upgrade struct {
	mu     sync.Mutex
	share  share          // of the limits, while two processes run
	old    *handover.Peer // this one takes over from it
	heir   *handover.Peer // that one takes over from this
	taken  bool           // it takes clients
	ending bool
}

// share is a process's part of the limits; zero: all of it.
type share struct {
	sockets  int
	memoryMB int64
}

// of is what a process may use.
func (s share) of(l protocol.Limits) protocol.Limits {
	if s.sockets > 0 {
		l.Sockets = min(l.Sockets, s.sockets)
	}
	if s.memoryMB > 0 {
		l.MemoryMB = min(l.MemoryMB, s.memoryMB)
	}
	return l
}

// inheritance is what a process that takes over begins with.
type takeover struct {
	hand      handover.ManualSettings
	file      *state.File
	listeners map[netip.AddrPort]*net.TCPListener
	datagrams *net.UDPConn // nil: none
	fleet     []byte       // what was agreed; empty: nothing is known of it
}

// meet takes over from a process of this agent that runs, where there is one.
func (p *process) meet() (got takeover) {
	kept, err := p.file.Read()
	if err != nil {
		slog.Warn("manual settings of the previous process cannot be used", "error", err)
	}
	got.hand.Disabled = kept.Disabled // a drain by hand ends with the last process
	old, offer, sockets, err := handover.Connect(os.TempDir(), p.told.Name, p.told.Listen)
	if errors.Is(err, handover.ErrNoPeer) {
		return got
	}
	if err != nil {
		slog.Warn("takeover from the running process failed", "error", err)
		return got
	}
	p.up.old = old
	p.up.share = share{offer.Descriptors, offer.MemoryMB}
	got.hand, got.fleet = offer.Manual, offer.FleetState
	got.hand.Disabled = routing.MergeDisabled(offer.Manual.Disabled, kept.Disabled)
	if got.file, err = state.Decode(offer.State); err == nil && got.file.Owner != p.told.owner() {
		err = state.ErrOtherOwner
	}
	if err != nil {
		slog.Warn("state not restored", "error", err)
		got.file = nil
	}
	got.take(sockets)
	slog.Info("taking over from the running process", "sockets", len(sockets), "descriptors", offer.Descriptors,
		"memory_mb", offer.MemoryMB, "out_by_hand", len(offer.Manual.Disabled))
	return got
}

// take opens the sockets that were handed over. One that is not what it is said to be is left alone.
func (i *takeover) take(sockets map[string]*os.File) {
	i.listeners = map[netip.AddrPort]*net.TCPListener{}
	for name, f := range sockets {
		network, text, _ := cutNetwork(name)
		addr, err := netip.ParseAddrPort(text)
		switch {
		case err != nil:
		case network == "tcp":
			var l net.Listener
			if l, err = net.FileListener(f); err == nil {
				if t, is := l.(*net.TCPListener); is && l.Addr().String() == text {
					i.listeners[addr] = t
				} else {
					_ = l.Close()
				}
			}
		case network == "udp":
			var c net.PacketConn
			if c, err = net.FilePacketConn(f); err == nil {
				if u, is := c.(*net.UDPConn); is && i.datagrams == nil && c.LocalAddr().String() == text {
					i.datagrams = u
				} else {
					_ = c.Close()
				}
			}
		}
		if err != nil {
			slog.Warn("handed-over socket cannot be used", "socket", name, "error", err)
		}
		_ = f.Close()
	}
}

func cutNetwork(name string) (network, addr string, ok bool) {
	if len(name) < 5 || name[3] != ' ' {
		return "", "", false
	}
	return name[:3], name[4:], true
}

// opened has this process be met by one that takes over from it. Guards against a yes to clients or staff
// while the place is not there yet: a process that is started on that yes would meet nobody.
func (p *process) opened() *handover.Listener {
	meeting, err := handover.Listen(os.TempDir(), p.told.Name, p.told.Listen)
	if err != nil {
		slog.Warn("handover socket cannot be opened: no process can take over from this one", "error", err)
		return nil
	}
	return meeting
}

// meets hands over to processes that come to the meeting place; nil: none can come. The process before, where
// there is one, is told that this one takes clients as soon as it does.
func (p *process) meets(meeting *handover.Listener) {
	if old := p.up.old; old != nil { // nothing else looks at it before the next lines
		go p.tellReady(old)
		go p.outlive(old)
	}
	if meeting != nil {
		go meeting.Serve(func(err error) { slog.Warn("connection to the handover socket rejected", "error", err) }, p.hands)
	}
}

// tellReady tells the process before that this one takes clients.
func (p *process) tellReady(old *handover.Peer) {
	for !p.hand.IsReady() {
		time.Sleep(readyEvery)
	}
	old.Notify(handover.Notification{Ready: true})
}

// outlive listens to the process before until that has ended, and takes all of the limits then.
func (p *process) outlive(old *handover.Peer) {
	old.Receive(p.noted)
	p.up.mu.Lock()
	p.up.old = nil
	p.up.share = share{}
	p.up.mu.Unlock()
	p.limit()
	slog.Info("the previous process has exited, this one now uses the full limits")
	if err := p.fleet.begin(p.hand); err != nil {
		slog.Error("fleet: cannot join", "error", err)
	}
}

// noted takes a note from the other process in.
func (p *process) noted(n handover.Notification) {
	if n.Manual != nil {
		p.hand.adopt(*n.Manual)
	}
	if n.Descriptors > 0 {
		p.up.mu.Lock()
		p.up.share.sockets = n.Descriptors
		p.up.mu.Unlock()
		p.limit()
	}
}

// changed tells the other process, where there is one, what staff have set.
func (p *process) changed(h handover.ManualSettings) {
	p.up.mu.Lock()
	others := []*handover.Peer{p.up.old, p.up.heir}
	p.up.mu.Unlock()
	for _, o := range others {
		if o != nil {
			o.Notify(handover.Notification{Manual: &h})
		}
	}
}

// hands hands over to a process that takes over from this one, and returns when it has gone, with whether
// this one goes on.
func (p *process) hands(heir *handover.Peer) (goesOn bool) {
	sockets, names := p.handed()
	limits := p.limits()
	offer := handover.Offer{
		SocketNames: names, State: p.remembered(), MemoryMB: max(limits.MemoryMB/2, 1),
		Descriptors: p.room(limits),
	}
	p.setHeir(heir, share{limits.Sockets - offer.Descriptors, limits.MemoryMB - offer.MemoryMB})
	debug.FreeOSMemory()
	offer.Manual, offer.FleetState = p.hand.now(), p.fleet.handed()
	if err := heir.SendOffer(offer, sockets); err != nil {
		slog.Warn("handover failed", "error", err)
	} else {
		slog.Info("handing over to a new process", "descriptors", offer.Descriptors, "memory_mb", offer.MemoryMB)
		stop := make(chan struct{})
		go p.tellRoom(heir, offer.Descriptors, stop)
		heir.Receive(func(n handover.Notification) {
			if n.Ready {
				p.yield()
			}
			n.Descriptors = 0 // it is for this one to say
			p.noted(n)
		})
		close(stop)
	}
	p.setHeir(nil, share{})
	if p.datagrams != nil {
		p.datagrams.Activate()
	}
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	if !p.up.ending {
		slog.Info("the new process has exited, this one continues")
	}
	return !p.up.ending
}

// yield lets the new process speak for the agent.
func (p *process) yield() {
	p.up.mu.Lock()
	p.up.taken = true
	p.up.mu.Unlock()
	if p.datagrams != nil {
		p.datagrams.Deactivate()
	}
	slog.Info("the new process accepts clients")
}

func (p *process) setHeir(heir *handover.Peer, s share) {
	p.up.mu.Lock()
	p.up.heir, p.up.share, p.up.taken = heir, s, false
	p.up.mu.Unlock()
	p.limit()
	p.agent.ReleaseIdle() // idle connections are the first to be let go
}

// ends tells that this process is ending, and whether a new one takes its clients.
func (p *process) ends() (taken bool) {
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	p.up.ending = true
	return p.up.taken
}

// limits are the agent's, both processes together.
func (p *process) limits() protocol.Limits { return p.instructions().Limits }

// instructions are those that hold now.
func (p *process) instructions() settings {
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	return p.told
}

// room is how many descriptors the new process may hold beside this one: half, or all that this one does not
// need, once it is ending; what it holds stays its own.
func (p *process) room(l protocol.Limits) int {
	held := p.descriptors.InUse()
	if p.told.Ops.IsValid() {
		held += transport.OpsDescriptors
	}
	p.up.mu.Lock()
	defer p.up.mu.Unlock()
	if p.up.ending {
		return max(l.Sockets-held-ownRoom, 1)
	}
	return max(l.Sockets-max(held, l.Sockets/2), 1)
}

// tellRoom tells the new process, until stop, what it may hold.
func (p *process) tellRoom(heir *handover.Peer, told int, stop <-chan struct{}) {
	every := time.NewTicker(roomEvery)
	defer every.Stop()
	for {
		select {
		case <-every.C:
		case <-stop:
			return
		}
		limits := p.limits()
		room := p.room(limits)
		if room == told {
			continue
		}
		told = room
		p.up.mu.Lock()
		p.up.share.sockets = limits.Sockets - room
		p.up.mu.Unlock()
		p.limit()
		heir.Notify(handover.Notification{Descriptors: room})
	}
}

// handed are the sockets that a new process gets, and their names.
func (p *process) handed() (sockets []syscall.Conn, names []string) {
	for addr, l := range p.front.Sockets() {
		sockets, names = append(sockets, l), append(names, "tcp "+addr.String())
	}
	if p.datagrams != nil {
		s := p.datagrams.Socket()
		sockets, names = append(sockets, s), append(names, "udp "+s.LocalAddr().String())
	}
	return sockets, names
}

// remembered is what was learned, in the form that is kept; empty where it does not come in time. Its owner
// is the start's, as all that was learned is: the operator file may name another deployment since.
func (p *process) remembered() []byte {
	ctx, cancel := context.WithTimeout(context.Background(), rememberWait)
	defer cancel()
	content, ok := p.kept.take(ctx)
	if !ok {
		return nil
	}
	raw, err := state.Encode(&state.File{Header: state.Header{
		Owner:     p.kept.told.owner(),
		WrittenMS: time.Now().UnixMilli(),
	}, Content: content})
	if err != nil {
		slog.Warn("state not included in the handover", "error", err)
	}
	return raw
}
