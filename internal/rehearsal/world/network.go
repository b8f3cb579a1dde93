package world

import (
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// network holds the delays between zones, as drawn for the run.
type network struct {
	oneWay [][]time.Duration // by the indexes of the two zones
	jitter float64
	client time.Duration // between a client and its agent
}

func newNetwork(s *scenario.Scenario, seed uint64) *network {
	n := &network{}
	zones := len(s.Network.Zones)
	n.oneWay = make([][]time.Duration, zones)
	for i := range n.oneWay {
		n.oneWay[i] = make([]time.Duration, zones)
	}
	for i, a := range s.Network.Zones {
		n.oneWay[i][i] = s.Network.Same.Draw(newStream(seed, "zone "+a).Rand)
		for j, b := range s.Network.Zones[:i] {
			n.oneWay[i][j] = s.Network.Cross.Draw(newStream(seed, "zones "+a+" "+b).Rand)
			n.oneWay[j][i] = n.oneWay[i][j]
		}
	}
	rng := newStream(seed, "network")
	n.jitter = s.Network.Jitter.Draw(rng.Rand)
	n.client = s.Network.Client.Draw(rng.Rand)
	return n
}

// link is the network path between an agent and an upstream server.
type link struct {
	w           *world
	agent       *agent
	server      *server
	rng         stream
	oneWay      time.Duration
	crossesZone bool // to another zone
	gate        Gate // last one set on the wire, with real agents
}

func newLink(w *world, a *agent, s *server) *link {
	return &link{
		w: w, agent: a, server: s, rng: newStream(w.seed, "link "+a.name+" "+s.id),
		oneWay: w.network.oneWay[a.zone][s.zone], crossesZone: a.zone != s.zone,
	}
}

// cutUntil returns until when the path is cut; zero: it is open.
func (l *link) cutUntil() time.Duration {
	until := l.server.cutUntil
	if l.crossesZone {
		until = max(until, l.w.zoneCut[l.agent.zone], l.w.zoneCut[l.server.zone])
	}
	if until <= l.w.now {
		return 0
	}
	return until
}

// arrival returns when data that is sent now arrives, but not before the data sent earlier on the same
// connection, whose arrival is *last; it updates *last. On a cut path, data is retransmitted until it
// passes.
func (l *link) arrival(last *time.Duration, trips float64) time.Duration {
	delay := time.Duration(float64(l.oneWay) * trips * lognormal(l.w.network.jitter, l.rng.NormFloat64()))
	*last = max(max(l.w.now, l.cutUntil())+delay, *last)
	return *last
}

// sendDatagram sends a datagram to one agent or to all others.
func (l *agentProcess) sendDatagram(peer int, data []byte) {
	for _, a := range l.w.agents {
		if a != l.agent && (peer == protocol.AllAgents || peer == a.number) {
			l.w.send(l.agent, a, append([]byte(nil), data...))
		}
	}
}

// send sends a datagram, which may be lost.
func (w *world) send(from, to *agent, data []byte) {
	delay := w.scenario.Network.Datagram.Draw(from.rng.Rand)
	draw := from.rng.Float64()
	cut := from.zone != to.zone && max(w.zoneCut[from.zone], w.zoneCut[to.zone]) > w.now
	if cut || draw < max(w.datagramLoss, w.datagramLossByZone[to.zone]) {
		return
	}
	for _, c := range w.datagramFaults.Transmit(w.now, from.number, to.number, data) {
		w.scheduleAfter(delay+c.Delay, rankArrival, &datagram{from: from, to: to, data: c.Data})
	}
}

// datagram is the arrival of a datagram at an agent.
type datagram struct {
	from, to *agent
	data     []byte
}

func (d *datagram) fire() {
	if l := d.to.proc; l != nil {
		w := l.w
		w.record.add(record.Event{
			Kind: record.Datagram, Agent: int32(d.to.number), From: int32(d.from.number),
			Bytes: uint32(len(d.data)),
		})
		l.post(message{kind: datagramReceived, sender: d.from.number, data: d.data})
	}
}
