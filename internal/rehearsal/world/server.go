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

// server is a booking server as the list knows it: a name, a machine and an address, with a process or
// none.
type server struct {
	w       *world
	number  int
	id      string
	zone    int
	cell    int
	addr    netip.AddrPort
	machine machine
	weight  float64
	chance  stream // what comes by chance while it runs
	process *process
	left    bool // replaced, or on its way out

	// Troubles.
	silent    bool
	refusing  bool
	failing   float64 // part of the requests that it fails at once
	spoiling  float64 // part of the answers that cannot be read
	accepting float64 // part of the usual connections
	fault     scenario.Fault
	faulty    float64 // part of the answers that have it
	mute      bool    // no connection is accepted
	cutUntil  time.Duration
}

// machine is what a booking server's machine is like, as drawn for the day.
type machine struct {
	kind                 string
	cores                int
	speed                float64
	slots, queue, conns  int
	thrash, thrashAt     float64
	fullTax              float64
	coldFrom             float64
	coldFor              time.Duration
	pauseEvery, pause    time.Duration
	errorRate            float64
	dropsWaiting         bool
	dropsExpired         bool
	warmGain             float64
	warmFor              time.Duration
	warmKeys             int
	handshakeWork, trips float64 // seconds on a standard core; round trips
}

// drawMachine draws the figures of a server's machine. Every figure is drawn, in one order, so that a
// change of one leaves the others as they were.
func drawMachine(s *scenario.Scenario, k *scenario.Kind, chance stream) machine {
	draw := func(v scenario.Span) float64 { return v.Draw(chance.Rand) }
	cores := float64(k.Cores)
	perCore := func(v scenario.Span) int { return int(math.Round(draw(v) * cores)) }
	m := machine{
		kind: k.Name, cores: k.Cores, speed: draw(k.Speed), slots: max(perCore(k.SlotsPerCore), 1),
		queue: perCore(k.QueuePerCore), conns: perCore(k.ConnsPerCore), thrash: draw(k.Thrash),
		thrashAt: draw(k.ThrashAt), coldFrom: draw(k.ColdFrom), coldFor: k.Cold.Draw(chance.Rand),
		pauseEvery: k.PauseEvery.Draw(chance.Rand), pause: k.Pause.Draw(chance.Rand),
		errorRate: draw(k.ErrorRate), dropsExpired: k.DropsExpired,
	}
	either := chance.Float64() < 0.5
	m.dropsWaiting = k.Cancel == "queued" || k.Cancel == "either" && either
	return m
}

// drawDay sets those figures that all machines have alike on a day.
func (m *machine) drawDay(s *scenario.Scenario, seed uint64) {
	chance := newStream(seed, "machines")
	cores := float64(m.cores)
	m.fullTax = s.Connections.FullTax.Draw(chance.Rand)
	m.trips = s.Connections.HandshakeTrips.Draw(chance.Rand)
	m.handshakeWork = s.Connections.HandshakeWork.Draw(chance.Rand).Seconds()
	m.warmGain = s.Affinity.Gain.Draw(chance.Rand)
	m.warmFor = s.Affinity.Remembered.Draw(chance.Rand)
	m.warmKeys = int(math.Round(s.Affinity.KeysPerCore.Draw(chance.Rand) * cores))
}

// full is what the machine can do in a second once warm and uncrowded.
func (m *machine) full() float64 { return float64(m.cores) * m.speed }

// roughly is how far a listed size may lie from the true one, either way.
const roughly = 0.2

// newServer puts a booking server on a machine. Its address is drawn from its number where it is not given.
func (w *world) newServer(zone int, m machine, addr netip.AddrPort) *server {
	n := len(w.servers)
	s := &server{
		w: w, number: n, id: fmt.Sprintf("s-%08x", uint32(nameSeed(w.seed, fmt.Sprint("server ", n)))),
		zone: zone, cell: n / max(w.set.Fleet.CellSize, 1), machine: m, addr: addr, weight: 1, accepting: 1,
	}
	if !addr.IsValid() {
		s.addr = serverAddr(n)
	}
	s.chance = newStream(w.seed, "server "+s.id)
	rough := 1 + roughly*(2*s.chance.Float64()-1)
	switch w.set.Fleet.Weights {
	case "nominal":
		s.weight = m.full()
	case "rough":
		s.weight = m.full() * rough
	}
	w.servers = append(w.servers, s)
	w.at[s.addr] = s
	if w.wire != nil && w.now > 0 {
		if err := w.wire.Server(s.addr); err != nil {
			w.failed = err
		}
	}
	w.sink.Server(n, record.Server{
		ID: s.id, Zone: w.set.Network.Zones[zone], Kind: m.kind,
		Addr: s.addr.String(), Cell: s.cell, Capacity: m.full(),
	})
	return s
}

func serverAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(n >> 8), byte(n)}), 9000)
}

// start starts the server's process, cold unless it has run for long. Discovery learns of it when told so.
func (s *server) start(cold bool) {
	w := s.w
	p := &process{w: w, server: s, at: w.now, cold: cold}
	p.seen = keyMemory{most: s.machine.warmKeys, keeps: s.machine.warmFor, met: map[uint32]time.Duration{}}
	s.process = p
	if cold {
		p.started = w.now
		w.after(coldStep, rankServer, (*coldGrows)(p))
	}
	w.record.server(record.ServerUp, p)
	p.planPause()
}

// stop ends the process; discovery notices.
func (s *server) stop() {
	s.w.record.server(record.ServerDown, s.process)
	s.process.die()
	s.w.discovery.hears(s.entry(balancer.Gone), s.w.discovery.notice)
}

// leave has the process take nothing new.
func (s *server) leave() {
	s.left = true
	if p := s.process; p.state == processUp {
		p.state = processDraining
	}
}

// running tells whether the server has a process that takes requests.
func (s *server) running() bool { return s.process != nil && s.process.state == processUp && !s.left }

// standing is how the list should have the server.
func (s *server) standing() balancer.ServerState {
	if s.left {
		return balancer.Draining
	}
	return balancer.Ready
}

// entry is how discovery lists the server.
func (s *server) entry(state balancer.ServerState) listed {
	return listed{server: s, state: state, started: s.process.started}
}
