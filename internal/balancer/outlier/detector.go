package outlier

import (
	"slices"
	"time"
)

const evidenceDecay = 0.977 // factor per round; halves the evidence in thirty rounds

// Detector judges the servers of one agent.
type Detector struct {
	objective          time.Duration
	classes            int
	servers            []*Server
	fleet              decayingCounts // sum over all servers that are not ejected
	round              int
	latency            float64 // mean response time over the fleet, in seconds
	localShortages     float64 // decayed count of attempts that failed because the agent lacked a resource
	distrust           distrust
	ejectedForClass    []int  // number of servers ejected for each class
	ignoreClassVerdict []bool // classes that too many servers are ejected for; class verdicts are ignored
}

// New returns a Detector without servers for the given number of classes, which are numbered from zero. The
// objective is the shortest latency objective of the classes.
func New(objective time.Duration, classes int) *Detector {
	return &Detector{
		objective: objective, classes: classes, round: 1, ejectedForClass: make([]int, classes),
		ignoreClassVerdict: make([]bool, classes),
	}
}

// AddServer adds a server without evidence and returns its state.
func (d *Detector) AddServer() *Server {
	s := &Server{classes: make([]classState, d.classes)}
	d.servers = append(d.servers, s)
	return s
}

// ServerRestarted discards the evidence of a server's previous process. An ejected server stays ejected until
// it serves one probe.
func (d *Detector) ServerRestarted(s *Server) {
	d.removeFromFleet(s)
	*s = Server{
		classes: s.classes, placement: s.placement, isEjected: s.isEjected, changedAt: s.changedAt,
		changedRound: s.changedRound, probesRequired: 1, probesLeft: 1, inFlight: s.inFlight,
	}
	clear(s.classes)
	d.updateDistrust()
}

// RemoveServer removes a server. The ends of attempts that are still in flight there are ignored.
func (d *Detector) RemoveServer(s *Server) {
	d.removeFromFleet(s)
	s.isRemoved = true
	if i := slices.Index(d.servers, s); i >= 0 {
		d.servers = slices.Delete(d.servers, i, i+1)
	}
	d.updateDistrust()
}

// SetPlacement sets whether a server is on the ring and whether flap damping excludes it.
func (d *Detector) SetPlacement(s *Server, onRing, damped bool) {
	if now := (placement{onRing, damped}); now != s.placement {
		s.placement = now
		d.updateDistrust()
	}
}

// EndRound ends a round and decays counts and evidence. The caller must then call Reevaluate for each server.
func (d *Detector) EndRound() {
	d.round++
	d.localShortages *= baselineDecay
	d.decayBaseline()
	for _, s := range d.servers {
		s.deadEvidence *= evidenceDecay
		for kind := range s.partialEvidence {
			s.partialEvidence[kind] *= evidenceDecay
		}
	}
	d.updateDistrust()
}

// seconds converts a duration to seconds. It runs for every attempt and saves the two divisions of
// Duration.Seconds.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
