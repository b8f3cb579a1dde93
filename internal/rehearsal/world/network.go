package world

import (
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// network holds the delays between zones, as drawn for the day.
type network struct {
	oneWay [][]time.Duration // by the two zones' numbers
	jitter float64
	client time.Duration // between an application and its agent
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
	chance := newStream(seed, "network")
	n.jitter = s.Network.Jitter.Draw(chance.Rand)
	n.client = s.Network.Client.Draw(chance.Rand)
	return n
}

// link is the way between an agent and a booking server's machine.
type link struct {
	w       *world
	agent   *agent
	server  *server
	chance  stream
	oneWay  time.Duration
	crosses bool // to another zone
	gate    Gate // as a real wire has it
}

func newLink(w *world, a *agent, s *server) *link {
	return &link{
		w: w, agent: a, server: s, chance: newStream(w.seed, "link "+a.name+" "+s.id),
		oneWay: w.network.oneWay[a.zone][s.zone], crosses: a.zone != s.zone,
	}
}

// cutUntil tells until when nothing passes; zero: it does.
func (l *link) cutUntil() time.Duration {
	until := l.server.cutUntil
	if l.crosses {
		until = max(until, l.w.zoneCut[l.agent.zone], l.w.zoneCut[l.server.zone])
	}
	if until <= l.w.now {
		return 0
	}
	return until
}

// arrival is when what is sent now arrives, but not before what was sent on the same connection: that is
// kept in last. What is sent while the way is cut is sent again until it passes.
func (l *link) arrival(last *time.Duration, trips float64) time.Duration {
	delay := time.Duration(float64(l.oneWay) * trips * lognormal(l.w.network.jitter, l.chance.NormFloat64()))
	*last = max(max(l.w.now, l.cutUntil())+delay, *last)
	return *last
}

// tell sends a datagram to an agent, or to all others.
func (l *life) tell(peer int, data []byte) {
	for _, a := range l.w.agents {
		if a != l.agent && (peer == protocol.AllAgents || peer == a.number) {
			l.w.send(l.agent, a, append([]byte(nil), data...))
		}
	}
}

// send sends a datagram, which may be lost.
func (w *world) send(from, to *agent, data []byte) {
	delay := w.set.Network.Datagram.Draw(from.chance.Rand)
	lost := from.chance.Float64()
	cut := from.zone != to.zone && max(w.zoneCut[from.zone], w.zoneCut[to.zone]) > w.now
	if cut || lost < max(w.datagramLoss, w.datagramsLost[to.zone]) {
		return
	}
	for _, c := range w.mishaps.Pass(w.now, from.number, to.number, data) {
		w.after(delay+c.After, rankArrival, &datagram{from: from, to: to, data: c.Data})
	}
}

type datagram struct {
	from, to *agent
	data     []byte
}

func (d *datagram) happen() {
	if l := d.to.life; l != nil {
		w := l.w
		w.record.take(record.Event{
			Kind: record.Datagram, Agent: int32(d.to.number), From: int32(d.from.number),
			Bytes: uint32(len(d.data)),
		})
		l.post(message{kind: datagramCame, from: d.from.number, data: d.data})
	}
}
