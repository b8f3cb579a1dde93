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

// readyPollInterval is how often a process that takes over looks whether it accepts clients.
const readyPollInterval = 5 * time.Millisecond

// The networks of sockets that are handed over, as they stand before the address in a socket's name.
const (
	networkTCP = "tcp"
	networkUDP = "udp"
)

// takenOver is what a process starts with that takes over from another, or finds its file.
type takenOver struct {
	manual    handover.ManualSettings
	file      *state.File // nil: no state
	listeners map[netip.AddrPort]*net.TCPListener
	datagrams *net.UDPConn // nil: none
	fleet     []byte       // what was agreed; empty: nothing is known of it
}

// takeOver takes over from a running process of this agent, where there is one, and reads the manual
// settings. What can't be taken over is logged, and the process starts without it.
func (p *process) takeOver() (taken takenOver) {
	stored, err := p.manualFile.Read()
	if err != nil {
		slog.Warn("manual settings of the previous process cannot be used", "error", err)
	}
	taken.manual.Disabled = stored.Disabled // whether it drains is not taken: that ends with the last process
	previous, offer, sockets, err := handover.Connect(os.TempDir(), p.settings.Name, p.settings.Listen)
	if errors.Is(err, handover.ErrNoPeer) {
		return taken
	}
	if err != nil {
		slog.Warn("takeover from the running process failed", "error", err)
		return taken
	}
	p.upgrade.previous = previous
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

// openSockets opens the sockets that were handed over, and closes their files. One that can't be used is
// logged.
func (t *takenOver) openSockets(sockets map[string]*os.File) {
	t.listeners = map[netip.AddrPort]*net.TCPListener{}
	for name, f := range sockets {
		if err := t.openSocket(name, f); err != nil {
			slog.Warn("handed-over socket cannot be used", "socket", name, "error", err)
		}
		_ = f.Close() // the socket has a descriptor of its own
	}
}

// openSocket opens one socket by its name: the network and the address. One that is not what its name says,
// or of a network that this build does not know, is not used.
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
		tcp, is := l.(*net.TCPListener)
		if !is || l.Addr().String() != text {
			return l.Close()
		}
		t.listeners[addr] = tcp
	case networkUDP:
		c, err := net.FilePacketConn(f)
		if err != nil {
			return err
		}
		udp, is := c.(*net.UDPConn)
		if !is || t.datagrams != nil || c.LocalAddr().String() != text {
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

// followPrevious receives what the previous process notifies until that has exited. Then this one uses all of
// the limits, and joins the fleet.
func (p *process) followPrevious(previous *handover.Peer) {
	previous.Receive(p.handleNotification)
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
