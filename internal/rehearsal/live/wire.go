package live

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/world"
	"dunestep/internal/standin"
	"dunestep/internal/standin/program"
)

const (
	emptyLines = time.Second // between those on a watch
	body       = "chair 4, Monday"
)

// wire is the world's way to real agents: stand-ins round each of them.
type wire struct {
	set    *scenario.Scenario
	day    *world.Live
	ips    addresses
	agents []*surroundings
	peers  *standin.Peers // nil: the agents send one another nothing

	mu      sync.Mutex
	closing bool
	starts  sync.WaitGroup
}

// addresses are loopback addresses of this kit's own, so that its ports are nobody else's.
type addresses struct{ pid int }

// of is the address of an agent's; round, that of what stands round it.
func (a addresses) of(agent int) string    { return program.OwnIP(a.pid, agent) }
func (a addresses) round(agent int) string { return program.RoundIP(a.pid, agent) }

// surroundings is an agent with what stands round it.
type surroundings struct {
	number    int
	agent     *program.Agent
	discovery *standin.Discovery
	servers   map[netip.AddrPort]*standin.Server // by the address in the world
}

// newWire opens the stand-ins round each agent.
func newWire(set *scenario.Scenario, day *world.Live, ips addresses, agents []*program.Agent) (*wire, error) {
	w := &wire{set: set, day: day, ips: ips}
	for i, a := range agents {
		s := &surroundings{number: i, agent: a, servers: map[netip.AddrPort]*standin.Server{}}
		w.agents = append(w.agents, s)
		var err error
		s.discovery, err = standin.ListenDiscovery(ips.round(i)+":0", emptyLines,
			func(c *standin.Call) { c.Handle = day.Called(i, c.Watch, c.From, &listConn{c, w, s}) },
			func(c *standin.Call) { day.Uncalled(c.Handle.(*world.Call)) })
		if err != nil {
			w.close()
			return nil, err
		}
	}
	if !set.Allow.Peers {
		return w, nil
	}
	var addrs []netip.AddrPort
	for _, a := range agents {
		addrs = append(addrs, netip.MustParseAddrPort(a.Addr))
	}
	var err error
	if w.peers, err = standin.ListenPeers(ips.round(0), addrs, day.Told); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// close ends the stand-ins. The agents are to be ended before.
func (w *wire) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.starts.Wait()
	if w.peers != nil {
		w.peers.Close()
	}
	for _, s := range w.agents {
		if s.discovery != nil {
			s.discovery.Close()
		}
		for _, v := range s.servers {
			v.Close()
		}
	}
}

// Server implements world.Wire.
func (w *wire) Server(addr netip.AddrPort) error {
	for _, s := range w.agents {
		if s.servers[addr] != nil {
			continue
		}
		v, err := standin.Listen(w.ips.round(s.number)+":0", standin.Events{
			Opened: func(c *standin.Conn) { c.Handle = w.day.Connected(s.number, addr, stepConn{c}) },
			Came: func(c *standin.Conn, r *http.Request, _ []byte) {
				op, left := routeStep(r)
				w.day.Sent(c.Handle.(*world.Conn), op, left)
			},
			Ended: func(c *standin.Conn) { w.day.Disconnected(c.Handle.(*world.Conn)) },
		})
		if err != nil {
			return fmt.Errorf("a booking server's socket: %w", err)
		}
		s.servers[addr] = v
	}
	return nil
}

// routeStep reads a route step's head: for which client's try it is, and how long the agent waits. What has
// no such number is for no try.
func routeStep(r *http.Request) (op uint32, left time.Duration) {
	id, err := strconv.ParseUint(r.Header.Get("X-Correlation-Id"), 16, 32)
	if err != nil {
		return 0, 0
	}
	ms, _ := strconv.ParseInt(r.Header.Get("X-Time-Left-Ms"), 10, 32)
	return uint32(id), time.Duration(ms) * time.Millisecond
}

// Gate implements world.Wire.
func (w *wire) Gate(agent int, addr netip.AddrPort, g world.Gate) {
	v := w.agents[agent].servers[addr]
	var err error
	switch g {
	case world.Open:
		err = v.Accept()
	case world.Shut:
		v.Refuse()
	case world.Mute:
		err = v.Mute()
	}
	if err != nil {
		w.day.Fail(err)
	}
}

// stepConn is an agent's connection to a booking server.
type stepConn struct{ conn *standin.Conn }

func (c stepConn) Reset() { c.conn.Reset() }
func (c stepConn) Close() { c.conn.Close() }

var replies = map[world.AnswerKind]standin.Reply{
	world.AnswerServed:      {Status: http.StatusOK},
	world.AnswerError:       {Status: http.StatusInternalServerError},
	world.AnswerUnprocessed: {Status: http.StatusServiceUnavailable, Headers: "X-Unprocessed: 1\r\n"},
	world.AnswerSpoilt:      {Status: http.StatusOK},
}

func (c stepConn) Answer(a world.Answer) {
	r, fault := replies[a.Kind], a.Fault
	if r.Body = answerBody(a.Op, a.Attempt); a.Kind == world.AnswerSpoilt {
		fault = scenario.Noise
	}
	c.conn.Reply(r, fault)
}

// answerBody says whose answer it is.
func answerBody(op uint32, attempt int) string { return fmt.Sprintf("booked %d %d\n", op, attempt) }

// attemptOf is the attempt that has made an answer; below zero: none of that operation's.
func attemptOf(body []byte, op uint32) int {
	var of uint32
	var attempt int
	if n, err := fmt.Sscanf(string(body), "booked %d %d\n", &of, &attempt); n < 2 || err != nil || of != op {
		return -1
	}
	return attempt
}

// listConn is an agent's call to discovery.
type listConn struct {
	call   *standin.Call
	wire   *wire
	around *surroundings
}

func (c *listConn) Begin() { c.call.Begin(http.StatusOK) }

func (c *listConn) Say(config protocol.EndpointList) {
	c.call.Say(program.Line(program.ListObject(config, c.around.where, c.wire.day.StartedMS)))
}

func (c *listConn) End(bool) { c.call.End() }

func (c *listConn) Silence() { c.call.Silence() }

// where is the address at which the agent finds a booking server.
func (s *surroundings) where(addr netip.AddrPort) string { return s.servers[addr].Addr() }

// Datagram implements world.Wire.
func (w *wire) Datagram(from, to int, data []byte) { w.peers.Tell(from, to, data) }

// front is a client's connection, with the operation that is on it.
type front struct {
	conn *standin.Client
	mu   sync.Mutex
	op   uint32
}

func (f *front) operation() uint32 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.op
}

// Ask implements world.Wire.
func (w *wire) Ask(c *world.FrontConn, q *world.Query) {
	request := requestText(q)
	if f, is := c.Handle.(*front); is {
		f.mu.Lock()
		f.op = q.Op
		f.mu.Unlock()
		f.conn.Ask(request)
		return
	}
	f := &front{op: q.Op}
	c.Handle = f
	f.conn = standin.Dial(w.agents[q.Agent].agent.Addr, request,
		func(r *http.Response, body []byte) { w.day.Answered(c, final(r, body, f.operation())) },
		func(unread bool) { w.day.Lost(c, unread) })
}

// HangUp implements world.Wire.
func (w *wire) HangUp(c *world.FrontConn) {
	if f, is := c.Handle.(*front); is {
		f.conn.Close()
	}
}

// requestText is a client's try as its request to the agent.
func requestText(q *world.Query) []byte {
	b := make([]byte, 0, 400)
	method := "GET /"
	if q.Update {
		method = "POST /"
	}
	b = append(append(append(b, method...), q.Class...), "/book HTTP/1.1\r\nHost: backend.local\r\n"...)
	b = fmt.Appendf(b, "X-Correlation-Id: %016x\r\nX-Time-Left-Ms: %d\r\n", q.Op, q.TimeLeft.Milliseconds())
	if q.Tenant != "" {
		b = append(append(append(b, "X-Account: "...), q.Tenant...), "\r\n"...)
	}
	if q.Key != "" {
		b = append(append(append(b, "Cookie: sid="...), q.Key...), "\r\n"...)
	}
	if q.Repeat {
		b = append(b, "X-Repeat: 1\r\n"...)
	}
	if q.Update {
		b = fmt.Appendf(b, "Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		return b
	}
	return append(b, "\r\n"...)
}

// final reads an agent's answer to an operation.
func final(r *http.Response, body []byte, op uint32) world.Final {
	f := world.Final{Answer: record.Failed, Attempt: -1, Closes: r.Close}
	switch r.StatusCode {
	case http.StatusOK:
		f.Answer, f.Attempt = record.Served, attemptOf(body, op)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		f.Answer = record.Refused
		after, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
		if err == nil && after > 0 {
			f.After = time.Duration(after * float64(time.Second))
		}
	}
	return f
}

// Start implements world.Wire.
func (w *wire) Start(number, run int, known protocol.EndpointList) {
	s := w.agents[number]
	deployment := w.day.Deployment(number)
	config := program.Object{
		"name": s.agent.Name, "listen": s.agent.Addr, "discovery": s.discovery.Addr,
		"seed": fmt.Sprintf("%016x", uint64(number)<<32|uint64(run)),
		"limits": program.Object{
			"cores": w.set.Agents.Cores, "memory_mb": w.set.Agents.MemoryMB,
			"sockets": w.set.Agents.Sockets,
		},
		"known":    program.ListObject(known, s.where, w.day.StartedMS),
		"settings": program.SettingsObject(deployment),
	}
	if w.peers != nil {
		config["peer_listen"] = s.agent.Addr
		config["peers"], config["peers_all"] = w.peers.Addrs(number)
	}
	text := program.Line(config)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	w.starts.Go(func() { w.launch(s, run, text) })
}

// launch starts an agent's program and waits until it is ready.
func (w *wire) launch(s *surroundings, run int, config string) {
	ready := false
	p, err := s.agent.Start(config, s.discovery.Addr, func(unasked bool) {
		w.day.AgentEnded(s.number, run, unasked)
	})
	if err == nil {
		ready = p.Ready()
	}
	switch {
	case err != nil:
		w.day.Fail(fmt.Errorf("agent %s can't be started: %w", s.agent.Name, err))
	case ready:
		w.day.AgentReady(s.number, run)
	case run == 1:
		w.day.Fail(fmt.Errorf("agent %s ended before it was ready:\n%s", s.agent.Name, s.agent.LastWords()))
	}
}

// Kill implements world.Wire.
func (w *wire) Kill(number int) {
	if p := w.agents[number].agent.Running(); p != nil {
		p.Kill()
	}
}

// Drain implements world.Wire.
func (w *wire) Drain(number int) {
	if p := w.agents[number].agent.Running(); p != nil {
		p.Drain()
	}
}

// Pause implements world.Wire.
func (w *wire) Pause(number int) {
	if p := w.agents[number].agent.Running(); p != nil {
		p.Pause()
	}
}

// Resume implements world.Wire.
func (w *wire) Resume(number int) {
	if p := w.agents[number].agent.Running(); p != nil {
		p.Resume()
	}
}

// Hinder implements world.Wire.
func (w *wire) Hinder(number int, fault scenario.Fault, on bool) {
	way := w.agents[number].discovery.Way()
	if on {
		way.Begin(fault)
	} else {
		way.End(fault)
	}
}
