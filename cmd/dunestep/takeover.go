package main

import (
	"errors"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"strings"
	"time"

	"dunestep/internal/handover"
	"dunestep/internal/routing"
	"dunestep/internal/state"
)

// readyPollInterval is how often a process that takes over checks whether it accepts clients.
const readyPollInterval = 5 * time.Millisecond

// The networks in the names of handed-over sockets, where they precede the address.
const (
	networkTCP = "tcp"
	networkUDP = "udp"
)

// takenOver is what a process starts with: the offer of the process from which it takes over, or what an
// earlier process has left in files.
type takenOver struct {
	manual    handover.ManualSettings
	file      *state.File // nil: no state
	listeners map[netip.AddrPort]*net.TCPListener
	datagrams *net.UDPConn // nil: none
	fleet     []byte       // the agreed state; empty: none
}

// takeOver reads the stored manual settings, and takes over from a running process of this agent, if there is
// one. Whatever cannot be taken over is logged, and the process starts without it.
func (p *process) takeOver() (taken takenOver) {
	stored, err := p.manualFile.Read()
	if err != nil {
		slog.Warn("manual settings of the previous process cannot be used", "error", err)
	}
	taken.manual.Disabled = stored.Disabled // a stored drain does not apply: it ended with the previous process
	previous, offer, sockets, err := handover.Connect(os.TempDir(), p.settings.Name, p.settings.Listen)
	if errors.Is(err, handover.ErrNoPeer) {
		return taken
	}
	if err != nil {
		slog.Warn("takeover from the running process failed", "error", err)
		return taken
	}
	p.upgrade.previous = previous
	if offer.AnswersClaims {
		p.requestIDs.follow(previous)
	}
	p.upgrade.share = limitsShare{offer.Descriptors, offer.MemoryMB}
	taken.manual, taken.fleet = offer.Manual, offer.FleetState
	taken.manual.Disabled = routing.MergeDisabled(offer.Manual.Disabled, stored.Disabled)
	if taken.file, err = p.decodeOfferedState(offer.State); err != nil {
		slog.Warn("state not restored", "error", err)
	}
	taken.openSockets(sockets)
	slog.Info("taking over from the running process", "sockets", len(sockets), "descriptors", offer.Descriptors,
		"memory_mb", offer.MemoryMB, "out_by_hand", len(offer.Manual.Disabled))
	return taken
}

// decodeOfferedState decodes the state of an offer, which must be this agent's.
func (p *process) decodeOfferedState(raw []byte) (*state.File, error) {
	file, err := state.Decode(raw)
	if err != nil {
		return nil, err
	}
	if file.Owner != p.settings.stateOwner() {
		return nil, state.ErrOtherOwner
	}
	return file, nil
}

// openSockets opens the handed-over sockets, and closes their files. A socket that cannot be used is logged.
func (t *takenOver) openSockets(sockets map[string]*os.File) {
	t.listeners = map[netip.AddrPort]*net.TCPListener{}
	for name, f := range sockets {
		if err := t.openSocket(name, f); err != nil {
			slog.Warn("handed-over socket cannot be used", "socket", name, "error", err)
		}
		_ = f.Close() // the socket has a descriptor of its own
	}
}

// openSocket opens a socket by its name, which has the network and the address. It ignores a socket that does
// not match its name, and one whose network this build does not know.
func (t *takenOver) openSocket(name string, f *os.File) error {
	network, text, _ := strings.Cut(name, " ")
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return err
	}
	switch network {
	case networkTCP:
		l, err := net.FileListener(f)
		if err != nil {
			return err
		}
		tcp, ok := l.(*net.TCPListener)
		if !ok || l.Addr().String() != text {
			return l.Close()
		}
		t.listeners[addr] = tcp
	case networkUDP:
		c, err := net.FilePacketConn(f)
		if err != nil {
			return err
		}
		udp, ok := c.(*net.UDPConn)
		if !ok || t.datagrams != nil || c.LocalAddr().String() != text {
			return c.Close()
		}
		t.datagrams = udp
	}
	return nil
}

// notifyReady notifies the previous process once this one accepts clients.
func (p *process) notifyReady(previous *handover.Peer) {
	for !p.manual.IsReady() {
		time.Sleep(readyPollInterval)
	}
	previous.Notify(handover.Notification{Ready: true})
}

// followPrevious receives the previous process's notifications until that has exited. Then this process uses
// the full limits and joins the fleet.
func (p *process) followPrevious(previous *handover.Peer) {
	previous.Receive(func(n handover.Notification) {
		if n.ClaimResult != nil {
			p.requestIDs.resolve(*n.ClaimResult)
		}
		if n.Retained != "" {
			p.requestIDs.retainForPrevious(n.Retained)
		}
		p.handleNotification(n)
	})
	p.requestIDs.previousEnded()
	p.upgrade.mu.Lock()
	p.upgrade.previous = nil
	p.upgrade.share = limitsShare{}
	p.upgrade.mu.Unlock()
	p.applyLimits()
	slog.Info("the previous process has exited, this one now uses the full limits")
	if err := p.fleet.start(p.manual); err != nil {
		slog.Error("fleet: cannot join", "error", err)
	}
}

// handleNotification applies a notification of the other process.
func (p *process) handleNotification(n handover.Notification) {
	if n.Manual != nil {
		p.manual.merge(*n.Manual)
	}
	if n.Descriptors > 0 {
		p.upgrade.mu.Lock()
		p.upgrade.share.descriptors = n.Descriptors
		p.upgrade.mu.Unlock()
		p.applyLimits()
	}
}
