package standin

import (
	"net"
	"net/netip"
	"sync"
)

// AllAgents is the receiver's number of a datagram to all other agents.
const AllAgents = -1

// Peers is the network between the agents of a fleet. It has one socket for each agent, which represents it
// to all the others: they send to that socket and receive from it. The sender is known by its own address, so
// that a fleet needs one socket for each agent and one for broadcasts, not one for each pair.
type Peers struct {
	agents      []netip.AddrPort // their own addresses
	agentByAddr map[netip.AddrPort]int
	sockets     []*net.UDPConn // by the agent that each represents
	broadcast   *net.UDPConn   // for datagrams to AllAgents
	wait        sync.WaitGroup
}

// ListenPeers opens the sockets that represent the agents, which listen at these addresses. The sockets are
// at ip, at which no agent listens. handle is called, from several goroutines, with each datagram from one
// agent to another or to AllAgents; datagrams from other senders are dropped.
func ListenPeers(ip string, agents []netip.AddrPort, handle func(from, to int, data []byte)) (*Peers, error) {
	p := &Peers{agents: agents, agentByAddr: make(map[netip.AddrPort]int, len(agents))}
	listen := func(to int) (*net.UDPConn, error) {
		c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.ParseIP(ip)})
		if err == nil {
			p.wait.Go(func() { p.receive(c, to, handle) })
		}
		return c, err
	}
	for i, a := range agents {
		p.agentByAddr[a] = i
	}
	var err error
	for i := 0; i < len(agents) && err == nil; i++ {
		var c *net.UDPConn
		if c, err = listen(i); err == nil {
			p.sockets = append(p.sockets, c)
		}
	}
	if err == nil {
		p.broadcast, err = listen(AllAgents)
	}
	if err != nil {
		p.Close()
		return nil, err
	}
	return p, nil
}

func (p *Peers) receive(c *net.UDPConn, to int, handle func(from, to int, data []byte)) {
	var buf [2048]byte
	for {
		n, addr, err := c.ReadFromUDPAddrPort(buf[:])
		if err != nil {
			return
		}
		from, known := p.agentByAddr[netip.AddrPortFrom(addr.Addr().Unmap(), addr.Port())]
		if known && from != to {
			handle(from, to, append([]byte(nil), buf[:n]...))
		}
	}
}

// Addrs returns the addresses for an agent's configuration: that of each agent, its own included, and the
// broadcast address.
func (p *Peers) Addrs(agent int) (each []string, all string) {
	for i, c := range p.sockets {
		if i == agent {
			each = append(each, p.agents[i].String())
		} else {
			each = append(each, c.LocalAddr().String())
		}
	}
	return each, p.broadcast.LocalAddr().String()
}

// Send sends an agent a datagram from a peer. Like any datagram, it may be lost.
func (p *Peers) Send(from, to int, data []byte) {
	_, _ = p.sockets[from].WriteToUDPAddrPort(data, p.agents[to])
}

// Close closes the sockets.
func (p *Peers) Close() {
	for _, c := range append(p.sockets, p.broadcast) {
		if c != nil {
			_ = c.Close()
		}
	}
	p.wait.Wait()
}
