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
	watchKeepalive = time.Second // between empty lines on an idle watch
	requestBody    = "chair 4, Monday"
)

// wire connects the simulated world to real agents through stand-ins. It implements world.Wire.
type wire struct {
	scenario *scenario.Scenario
	env      *world.LiveRun
	ips      addresses
	agents   []*agentStandins
	peers    *standin.Peers // nil: the agents exchange no gossip

	mu            sync.Mutex
	closing       bool
	pendingStarts sync.WaitGroup
}

// addresses returns loopback addresses that only this process uses, so that its ports cannot collide with
// others.
type addresses struct{ pid int }

// agent returns the IP address of an agent; standins returns that of its stand-ins.
func (a addresses) agent(agent int) string    { return program.AgentIP(a.pid, agent) }
func (a addresses) standins(agent int) string { return program.StandInIP(a.pid, agent) }

// agentStandins is an agent with its stand-ins.
type agentStandins struct {
	number    int
	agent     *program.Agent
	discovery *standin.Discovery
	servers   map[netip.AddrPort]*standin.Server // by simulated address
}

// newWire opens the stand-ins of each agent.
func newWire(
	sc *scenario.Scenario, env *world.LiveRun, ips addresses, agents []*program.Agent,
) (*wire, error) {
	w := &wire{scenario: sc, env: env, ips: ips}
	for i, a := range agents {
		s := &agentStandins{number: i, agent: a, servers: map[netip.AddrPort]*standin.Server{}}
		w.agents = append(w.agents, s)
		var err error
		s.discovery, err = standin.ListenDiscovery(ips.standins(i)+":0", watchKeepalive,
			func(c *standin.Call) { c.Handle = env.CallStarted(i, c.Watch, c.From, &discoveryCall{c, w, s}) },
			func(c *standin.Call) { env.CallCanceled(c.Handle.(*world.Call)) })
		if err != nil {
			w.close()
			return nil, err
		}
	}
	if !sc.Allow.Peers {
		return w, nil
	}
	var addrs []netip.AddrPort
	for _, a := range agents {
		addrs = append(addrs, netip.MustParseAddrPort(a.Addr))
	}
	var err error
	if w.peers, err = standin.ListenPeers(ips.standins(0), addrs, env.DatagramSent); err != nil {
		w.close()
		return nil, err
	}
	return w, nil
}

// close ends the stand-ins. The agents must have ended before.
func (w *wire) close() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.pendingStarts.Wait()
	if w.peers != nil {
		w.peers.Close()
	}
	for _, s := range w.agents {
		if s.discovery != nil {
			s.discovery.Close()
		}
		for _, server := range s.servers {
			server.Close()
		}
	}
}

// Server implements world.Wire.
func (w *wire) Server(addr netip.AddrPort) error {
	for _, s := range w.agents {
		if s.servers[addr] != nil {
			continue
		}
		server, err := standin.Listen(w.ips.standins(s.number)+":0", standin.Events{
			ConnectionOpened: func(c *standin.Conn) { c.Handle = w.env.Connected(s.number, addr, upstreamConn{c}) },
			RequestReceived: func(c *standin.Conn, r *http.Request, _ []byte) {
				requestID, timeLeft := parseAttempt(r)
				w.env.AttemptArrived(c.Handle.(*world.Conn), requestID, timeLeft)
			},
			ConnectionEnded: func(c *standin.Conn) { w.env.Disconnected(c.Handle.(*world.Conn)) },
		})
		if err != nil {
			return fmt.Errorf("upstream server socket: %w", err)
		}
		s.servers[addr] = server
	}
	return nil
}

// parseAttempt returns the ID of the client's request that an attempt is for, and how long the agent waits
// for the answer. The ID is zero if the header has none.
func parseAttempt(r *http.Request) (requestID uint32, timeLeft time.Duration) {
	id, err := strconv.ParseUint(r.Header.Get("X-Correlation-Id"), 16, 32)
	if err != nil {
		return 0, 0
	}
	ms, _ := strconv.ParseInt(r.Header.Get("X-Time-Left-Ms"), 10, 32)
	return uint32(id), time.Duration(ms) * time.Millisecond
}

// Gate implements world.Wire.
func (w *wire) Gate(agent int, addr netip.AddrPort, state world.Gate) {
	server := w.agents[agent].servers[addr]
	var err error
	switch state {
	case world.Accept:
		err = server.AcceptConnections()
	case world.Refuse:
		server.RefuseConnections()
	case world.Ignore:
		err = server.IgnoreConnections()
	}
	if err != nil {
		w.env.Fail(err)
	}
}

// upstreamConn is an agent's connection to an upstream server.
type upstreamConn struct{ conn *standin.Conn }

func (c upstreamConn) Reset() { c.conn.Reset() }
func (c upstreamConn) Close() { c.conn.Close() }

var replies = map[world.AnswerKind]standin.Reply{
	world.AnswerServed:      {Status: http.StatusOK},
	world.AnswerError:       {Status: http.StatusInternalServerError},
	world.AnswerUnprocessed: {Status: http.StatusServiceUnavailable, Headers: "X-Unprocessed: 1\r\n"},
	world.AnswerUnreadable:  {Status: http.StatusOK},
}

func (c upstreamConn) Answer(a world.Answer) {
	r, fault := replies[a.Kind], a.Fault
	if r.Body = answerBody(a.Op, a.Attempt); a.Kind == world.AnswerUnreadable {
		fault = scenario.Noise
	}
	c.conn.Reply(r, fault)
}

// answerBody returns a response body that identifies the request and the attempt.
func answerBody(requestID uint32, attempt int) string {
	return fmt.Sprintf("booked %d %d\n", requestID, attempt)
}

// parseAnswerBody returns the attempt that produced a response body, or -1 if the body is not an answer to
// the request.
func parseAnswerBody(body []byte, requestID uint32) int {
	var id uint32
	var attempt int
	if n, err := fmt.Sscanf(string(body), "booked %d %d\n", &id, &attempt); n < 2 || err != nil ||
		id != requestID {
		return -1
	}
	return attempt
}

// discoveryCall is an agent's poll or watch of discovery.
type discoveryCall struct {
	call     *standin.Call
	wire     *wire
	standins *agentStandins
}

func (c *discoveryCall) Accept() { c.call.WriteStatus(http.StatusOK) }

func (c *discoveryCall) Send(config protocol.EndpointList) {
	c.call.WriteLine(program.JSON(program.EndpointsObject(config, c.standins.serverAddr, c.wire.env.StartedMS)))
}

func (c *discoveryCall) End(bool) { c.call.End() }

func (c *discoveryCall) Silence() { c.call.StopOutput() }

// serverAddr returns the address at which the agent reaches an upstream server.
func (s *agentStandins) serverAddr(addr netip.AddrPort) string { return s.servers[addr].Addr() }

// Datagram implements world.Wire.
func (w *wire) Datagram(from, to int, data []byte) { w.peers.Send(from, to, data) }

// clientConn is a client's connection to an agent, with its current request.
type clientConn struct {
	conn      *standin.Client
	mu        sync.Mutex
	requestID uint32
}

func (c *clientConn) currentRequest() uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestID
}

// Send implements world.Wire.
func (w *wire) Send(c *world.ClientConn, q *world.ClientRequest) {
	request := requestText(q)
	if client, ok := c.Handle.(*clientConn); ok {
		client.mu.Lock()
		client.requestID = q.RequestID
		client.mu.Unlock()
		client.conn.Send(request)
		return
	}
	client := &clientConn{requestID: q.RequestID}
	c.Handle = client
	client.conn = standin.Dial(w.agents[q.Agent].agent.Addr, request,
		func(r *http.Response, body []byte) { w.env.Answered(c, parseFinal(r, body, client.currentRequest())) },
		func(unread bool) { w.env.ClientConnLost(c, unread) })
}

// CloseConn implements world.Wire.
func (w *wire) CloseConn(c *world.ClientConn) {
	if client, ok := c.Handle.(*clientConn); ok {
		client.conn.Close()
	}
}

// requestText encodes a client's request as HTTP.
func requestText(q *world.ClientRequest) []byte {
	b := make([]byte, 0, 400)
	method := "GET /"
	if q.IsUpdate {
		method = "POST /"
	}
	b = append(append(append(b, method...), q.Class...), "/book HTTP/1.1\r\nHost: backend.local\r\n"...)
	b = fmt.Appendf(b, "X-Correlation-Id: %016x\r\nX-Time-Left-Ms: %d\r\n", q.RequestID,
		q.TimeLeft.Milliseconds())
	if q.Tenant != "" {
		b = append(append(append(b, "X-Account: "...), q.Tenant...), "\r\n"...)
	}
	if q.Key != "" {
		b = append(append(append(b, "Cookie: sid="...), q.Key...), "\r\n"...)
	}
	if q.IsRetry {
		b = append(b, "X-Repeat: 1\r\n"...)
	}
	if q.IsUpdate {
		b = fmt.Appendf(b, "Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(requestBody),
			requestBody)
		return b
	}
	return append(b, "\r\n"...)
}

// parseFinal converts an agent's response to a request into the world's form.
func parseFinal(r *http.Response, body []byte, requestID uint32) world.FinalAnswer {
	answer := world.FinalAnswer{Answer: record.Failed, Attempt: -1, Closes: r.Close}
	switch r.StatusCode {
	case http.StatusOK:
		answer.Answer, answer.Attempt = record.Served, parseAnswerBody(body, requestID)
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		answer.Answer = record.Refused
		seconds, err := strconv.ParseFloat(strings.TrimSpace(r.Header.Get("Retry-After")), 64)
		if err == nil && seconds > 0 {
			answer.RetryAfter = time.Duration(seconds * float64(time.Second))
		}
	}
	return answer
}

// Start implements world.Wire.
func (w *wire) Start(number, run int, known protocol.EndpointList) {
	s := w.agents[number]
	settings := w.env.Deployment(number)
	config := program.Object{
		"name": s.agent.Name, "listen": s.agent.Addr, "discovery": s.discovery.Addr,
		"seed": fmt.Sprintf("%016x", uint64(number)<<32|uint64(run)),
		"limits": program.Object{
			"cores": w.scenario.Agents.Cores, "memory_mb": w.scenario.Agents.MemoryMB,
			"sockets": w.scenario.Agents.Sockets,
		},
		"known":    program.EndpointsObject(known, s.serverAddr, w.env.StartedMS),
		"settings": program.ConfigObject(settings),
	}
	if w.peers != nil {
		config["peer_listen"] = s.agent.Addr
		config["peers"], config["peers_all"] = w.peers.Addrs(number)
	}
	text := program.JSON(config)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closing {
		return
	}
	w.pendingStarts.Go(func() { w.launch(s, run, text) })
}

// launch starts an agent's program and waits until it is ready or has ended.
func (w *wire) launch(s *agentStandins, run int, config string) {
	ready := false
	p, err := s.agent.Start(config, s.discovery.Addr, func(unexpected bool) {
		w.env.AgentEnded(s.number, run, unexpected)
	})
	if err == nil {
		ready = p.WaitReady()
	}
	switch {
	case err != nil:
		w.env.Fail(fmt.Errorf("start agent %s: %w", s.agent.Name, err))
	case ready:
		w.env.AgentReady(s.number, run)
	case run == 1:
		w.env.Fail(fmt.Errorf("agent %s ended before it was ready:\n%s", s.agent.Name, s.agent.LastLogLines()))
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

// SetStreamFault implements world.Wire.
func (w *wire) SetStreamFault(number int, fault scenario.ConnFault, on bool) {
	stream := w.agents[number].discovery.Link()
	if on {
		stream.BeginFault(fault)
	} else {
		stream.EndFault(fault)
	}
}
