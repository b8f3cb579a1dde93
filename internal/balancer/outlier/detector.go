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
	withEvidence       []*Server      // those whose evidence decays
	fleet              decayingCounts // sum over all servers that are not ejected
	attemptWeight      float64        // by which an attempt is counted now
	round              int
	latency            float64 // mean response time over the fleet, in seconds
	localShortages     float64 // decayed count of attempts that failed because the agent lacked a resource
	distrust           distrust
	tally              ringTally
	ejectedForClass    []int  // number of servers ejected for each class
	ignoreClassVerdict []bool // classes that too many servers are ejected for; class verdicts are ignored
}

// New returns a Detector without servers for the given number of classes, which are numbered from zero. The
// objective is the shortest latency objective of the classes.
func New(objective time.Duration, classes int) *Detector {
	return &Detector{
		objective: objective, classes: classes, round: 1, attemptWeight: 1, ejectedForClass: make([]int, classes),
		ignoreClassVerdict: make([]bool, classes),
	}
}

// AddServer adds a server without evidence and returns its state.
func (d *Detector) AddServer() *Server {
	s := &Server{classes: make([]classState, d.classes), index: len(d.servers)}
	d.servers = append(d.servers, s)
	return s
}

// ServerRestarted discards the evidence of a server's previous process. An ejected server stays ejected until
// it serves one probe.
func (d *Detector) ServerRestarted(s *Server) {
	d.removeFromFleet(s)
	*s = Server{
		classes: s.classes, placement: s.placement, isEjected: s.isEjected, changedAt: s.changedAt,
		changedRound: s.changedRound, tallied: s.tallied, index: s.index, hasDecay: s.hasDecay,
		probesRequired: 1, probesLeft: 1, inFlight: s.inFlight,
	}
	for i := range s.classes {
		s.classes[i] = classState{isTallied: s.classes[i].isTallied}
	}
	d.updateDistrust(s)
}

// RemoveServer removes a server. The ends of attempts that are still in flight there are ignored.
func (d *Detector) RemoveServer(s *Server) {
	if s.isRemoved {
		return
	}
	d.removeFromFleet(s)
	s.isRemoved = true
	s.placement = placement{}
	d.updateDistrust(s)
	last := len(d.servers) - 1
	d.servers[s.index] = d.servers[last]
	d.servers[s.index].index = s.index
	d.servers[last] = nil
	d.servers = d.servers[:last]
}

// SetPlacement sets whether a server is on the ring and whether flap damping excludes it.
func (d *Detector) SetPlacement(s *Server, onRing, damped bool) {
	if now := (placement{onRing, damped}); now != s.placement {
		s.placement = now
		d.updateDistrust(s)
	}
}

// EndRound ends a round and decays counts and evidence. The caller must then call Reevaluate for each server
// that NeedsReview.
func (d *Detector) EndRound() {
	d.round++
	d.localShortages *= baselineDecay
	d.decayBaseline()
	d.decayEvidence()
	d.decideDistrust()
}

// decayEvidence applies the decay of one round to the evidence of the servers that have some.
func (d *Detector) decayEvidence() {
	d.withEvidence = slices.DeleteFunc(d.withEvidence, func(s *Server) bool {
		if s.isRemoved || !s.hasEvidence() {
			s.hasDecay = false
			return true
		}
		s.deadEvidence *= evidenceDecay
		for kind := range s.partialEvidence {
			s.partialEvidence[kind] *= evidenceDecay
		}
		return false
	})
}

// evidenceAdded makes the server's evidence decay from the next round on.
func (d *Detector) evidenceAdded(s *Server) {
	if !s.hasDecay && s.hasEvidence() {
		s.hasDecay = true
		d.withEvidence = append(d.withEvidence, s)
	}
}

// seconds converts a duration to seconds. It runs for every attempt and saves the two divisions of
// Duration.Seconds.
func seconds(d time.Duration) float64 { return float64(d) * 1e-9 }
