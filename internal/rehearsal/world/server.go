package world

import (
	"fmt"
	"math"
	"net/netip"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// server is an upstream server as the list names it: an ID, a machine and an address, with or without a
// process.
type server struct {
	w       *world
	number  int
	id      string
	zone    int
	cell    int
	addr    netip.AddrPort
	machine machine
	weight  float64 // as listed by discovery
	rng     stream  // for events while it runs
	process *serverProcess
	leaving bool // replaced or draining

	// Effects of active faults.
	silent           bool
	refusing         bool
	failing          float64 // fraction of attempts that it answers with an error at once
	unreadable       float64 // fraction of answers that cannot be read
	connShare        float64 // fraction of the machine's connection limit
	fault            scenario.ConnFault
	faultShare       float64 // fraction of answers that have it
	ignoringConnects bool    // connection requests get no answer
	cutUntil         time.Duration
}

// machine is an upstream server's hardware and configuration, as drawn for the run.
type machine struct {
	kind                 string
	cores                int
	speed                float64
	slots, queue, conns  int           // limits of running and waiting attempts and of connections
	thrash, thrashAt     float64       // efficiency lost per job per core above thrashAt; jobs per core
	connOverhead         float64       // fraction of capacity lost at the connection limit
	initialCapacity      float64       // fraction of capacity at the start
	warmupTime           time.Duration // with all cores busy
	pauseEvery, pause    time.Duration // mean interval; maximum duration
	errorRate            float64
	dropsWaiting         bool    // waiting attempts whose connection is closed
	dropsExpired         bool    // waiting attempts whose deadline has passed
	cacheSaving          float64 // fraction of work saved on a cached key
	cacheTTL             time.Duration
	cacheKeys            int
	handshakeWork, trips float64 // seconds on a standard core; round trips
}

// drawMachine draws the figures of a server's machine. Every figure is drawn, in a fixed order, so that
// changing one leaves the others unchanged.
func drawMachine(s *scenario.Scenario, k *scenario.Kind, rng stream) machine {
	draw := func(v scenario.Span) float64 { return v.Draw(rng.Rand) }
	cores := float64(k.Cores)
	perCore := func(v scenario.Span) int { return int(math.Round(draw(v) * cores)) }
	m := machine{
		kind: k.Name, cores: k.Cores, speed: draw(k.Speed), slots: max(perCore(k.SlotsPerCore), 1),
		queue: perCore(k.QueuePerCore), conns: perCore(k.ConnsPerCore), thrash: draw(k.Thrash),
		thrashAt: draw(k.ThrashAt), initialCapacity: draw(k.SlowStartFrom),
		warmupTime: k.SlowStartTime.Draw(rng.Rand),
		pauseEvery: k.PauseEvery.Draw(rng.Rand), pause: k.Pause.Draw(rng.Rand),
		errorRate: draw(k.ErrorRate), dropsExpired: k.DropsExpired,
	}
	either := rng.Float64() < 0.5
	m.dropsWaiting = k.Cancel == "queued" || k.Cancel == "either" && either
	return m
}

// drawShared sets the figures that all machines of a run share.
func (m *machine) drawShared(s *scenario.Scenario, seed uint64) {
	rng := newStream(seed, "machines")
	cores := float64(m.cores)
	m.connOverhead = s.Connections.FullTax.Draw(rng.Rand)
	m.trips = s.Connections.HandshakeTrips.Draw(rng.Rand)
	m.handshakeWork = s.Connections.HandshakeWork.Draw(rng.Rand).Seconds()
	m.cacheSaving = s.Affinity.Gain.Draw(rng.Rand)
	m.cacheTTL = s.Affinity.Remembered.Draw(rng.Rand)
	m.cacheKeys = int(math.Round(s.Affinity.KeysPerCore.Draw(rng.Rand) * cores))
}

// capacity is the work that the machine can do per second once warm, at full efficiency.
func (m *machine) capacity() float64 { return float64(m.cores) * m.speed }

// weightError is the maximum relative error of a rough weight, in either direction.
const weightError = 0.2

// newServer puts an upstream server on a machine. Without an address, it gets one from its number.
func (w *world) newServer(zone int, m machine, addr netip.AddrPort) *server {
	n := len(w.servers)
	s := &server{
		w: w, number: n, id: fmt.Sprintf("s-%08x", uint32(nameSeed(w.seed, fmt.Sprint("server ", n)))),
		zone: zone, cell: n / max(w.scenario.Fleet.CellSize, 1), machine: m, addr: addr, weight: 1, connShare: 1,
	}
	if !addr.IsValid() {
		s.addr = serverAddr(n)
	}
	s.rng = newStream(w.seed, "server "+s.id)
	rough := 1 + weightError*(2*s.rng.Float64()-1)
	switch w.scenario.Fleet.Weights {
	case "nominal":
		s.weight = m.capacity()
	case "rough":
		s.weight = m.capacity() * rough
	}
	w.servers = append(w.servers, s)
	w.byAddr[s.addr] = s
	if w.wire != nil && w.now > 0 {
		if err := w.wire.Server(s.addr); err != nil {
			w.failed = err
		}
	}
	w.sink.Server(n, record.Server{
		ID: s.id, Zone: w.scenario.Network.Zones[zone], Kind: m.kind,
		Addr: s.addr.String(), Cell: s.cell, Capacity: m.capacity(),
	})
	return s
}

func serverAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 9000)
}

// start starts the server's process; warming makes it begin in slow start. The caller informs
// discovery.
func (s *server) start(warming bool) {
	w := s.w
	p := &serverProcess{w: w, server: s, updatedAt: w.now, warming: warming}
	p.keys = keyCache{limit: s.machine.cacheKeys, ttl: s.machine.cacheTTL, lastSeen: map[uint32]time.Duration{}}
	s.process = p
	if warming {
		p.started = w.now
		w.scheduleAfter(warmupInterval, rankServer, (*warmupUpdate)(p))
	}
	w.record.server(record.ServerUp, p)
	p.schedulePause()
}

// stop ends the process; discovery learns of it after its notice time.
func (s *server) stop() {
	s.w.record.server(record.ServerDown, s.process)
	s.process.terminate()
	s.w.discovery.learnAfter(s.entry(balancer.Gone), s.w.discovery.noticeDelay)
}

// drain makes the process take no new attempts.
func (s *server) drain() {
	s.leaving = true
	if p := s.process; p.state == processUp {
		p.state = processDraining
	}
}

// running reports whether the server has a process that takes attempts.
func (s *server) running() bool {
	return s.process != nil && s.process.state == processUp && !s.leaving
}

// listState returns the state in which discovery should list the server.
func (s *server) listState() balancer.ServerState {
	if s.leaving {
		return balancer.Draining
	}
	return balancer.Ready
}

// entry returns the server's entry in the endpoint list.
func (s *server) entry(state balancer.ServerState) listEntry {
	return listEntry{server: s, state: state, started: s.process.started}
}
