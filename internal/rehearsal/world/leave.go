package world

import (
	"time"

	"dunestep/internal/rehearsal/scenario"
)

// Faults of clients that leave and of connections that are slow to establish.

// clientsLeave makes a share of the waiting clients leave now, without a retry.
func (t *injection) clientsLeave() {
	for _, a := range t.w.agents {
		if a.proc == nil {
			continue
		}
		for _, waiting := range a.proc.unanswered() {
			if t.rng.Float64() < t.share {
				t.w.scheduleAfter(0, rankClient, (*clientLeaves)(waiting))
			}
		}
	}
}

// connectDelay draws the extra delay of a connection that is opened now.
func (w *world) connectDelay() (delay time.Duration) {
	for _, t := range w.active {
		if t.config.Kind == scenario.LateConnections && t.delayRNG.Float64() < t.share {
			delay = max(delay, t.config.Delay.Draw(t.delayRNG.Rand))
		}
	}
	return delay
}

// connRetransmit sends a connection's first packet again after it was lost, unless the agent has given
// it up.
type connRetransmit conn

func (l *connRetransmit) fire() {
	if c := (*conn)(l); !c.closed {
		c.sendConnect()
	}
}

// connectLossInterval is how long a real agent's connection requests to a server are lost. The agent's
// system retransmits a request after one second.
const connectLossInterval = time.Second

// connectLost reports whether a real agent's connection request to a server is lost now, which delays
// it until a retransmission.
func (l *link) connectLost() bool {
	w := l.w
	slot := uint64(max(w.now, 0) / connectLossInterval)
	for _, t := range w.active {
		if t.config.Kind == scenario.LateConnections &&
			hashedDraw(w.seed, mix(uint64(l.agent.number)<<32+uint64(l.server.number))+slot,
				drawConnectLoss) < t.share {
			return true
		}
	}
	return false
}
