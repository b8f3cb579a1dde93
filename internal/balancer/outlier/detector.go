package outlier

import (
	"slices"
	"time"
)

const evidenceDecay = 0.977 // in a round: evidence that was not enough loses half its weight in thirty

// Detector judges the servers of one agent.
type Detector struct {
	objective          time.Duration
	classes            int
	servers            []*Server
	fleet              decayingCounts // of all servers that are not ejected
	round              int
	latency            float64 // mean time that responses take over the fleet, in seconds
	localShortages     float64 // attempts that failed by the agent's own shortage; decays with the rounds
	distrust           distrust
	ejectedForClass    []int  // servers that are ejected for a class
	ignoreClassVerdict []bool // classes that too many servers are ejected for
}

// New returns a Detector without servers, for that many classes, which are numbered from zero. The objective
// is the shortest of their latency objectives.
func New(objective time.Duration, classes int) *Detector {
	return &Detector{
		objective: objective, classes: classes, round: 1, ejectedForClass: make([]int, classes),
		ignoreClassVerdict: make([]bool, classes),
	}
}

// AddServer adds a server of which nothing is known.
func (d *Detector) AddServer() *Server {
	s := &Server{classes: make([]classState, d.classes)}
	d.servers = append(d.servers, s)
	return s
}

// ServerRestarted drops what was known of a server's last process. One that is ejected stays so until a probe
// is served.
func (d *Detector) ServerRestarted(s *Server) {
	d.removeFromFleet(s)
	*s = Server{
		classes: s.classes, placement: s.placement, isEjected: s.isEjected, changedAt: s.changedAt,
		changedRound: s.changedRound, probesRequired: 1, probesLeft: 1, inFlight: s.inFlight,
	}
	clear(s.classes)
	d.updateDistrust()
}

// RemoveServer drops a server. What is still in flight there will say nothing.
func (d *Detector) RemoveServer(s *Server) {
	d.removeFromFleet(s)
	s.isRemoved = true
	if i := slices.Index(d.servers, s); i >= 0 {
		d.servers = slices.Delete(d.servers, i, i+1)
	}
	d.updateDistrust()
}

// SetPlacement sets whether a server is on the ring now, and whether it is left alone for changing too often.
func (d *Detector) SetPlacement(s *Server, onRing, damped bool) {
	if now := (placement{onRing, damped}); now != s.placement {
		s.placement = now
		d.updateDistrust()
	}
}

// EndRound ends a round: what is long past decays. Reevaluate is to be called for each server after it.
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

// seconds is Duration.Seconds without its two divisions: it is called for every attempt.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
