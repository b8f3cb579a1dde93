package outlier

import (
	"math"
	"time"
)

// Snapshot is what a Detector has learned of one server, as plain values that can be kept over a restart. Its
// times are spans from when it was taken. How long answers take is not in it: a few answers tell that anew,
// and what it was before makes the silence of a server that has failed since look like waiting.
type Snapshot struct {
	DeadEvidence    float64         `cbor:"2,keyasint,omitempty" json:"dead"` // evidence, as natural logarithms
	PartialEvidence [2]float64      `cbor:"3,keyasint,omitempty" json:"in_part"`
	Ejected         bool            `cbor:"4,keyasint,omitempty" json:"down"`
	Silent          bool            `cbor:"5,keyasint,omitempty" json:"mute"`   // down because nothing came of it
	NotListening    bool            `cbor:"6,keyasint,omitempty" json:"absent"` // nothing listened there
	ChangedAgo      time.Duration   `cbor:"7,keyasint,omitempty" json:"since_ago_ns"`
	ProbesRequired  int             `cbor:"8,keyasint,omitempty" json:"trials_asked"`
	Reason          string          `cbor:"9,keyasint,omitempty" json:"because"`
	RejectEvidence  float64         `cbor:"10,keyasint,omitempty" json:"turns"` // evidence that it turns away
	HoldFor         time.Duration   `cbor:"11,keyasint,omitempty" json:"hold_ns"`
	AvoidFor        time.Duration   `cbor:"12,keyasint,omitempty" json:"not_now_for_ns"` // from then on
	Ends            float64         `cbor:"13,keyasint,omitempty" json:"ends"`           // of late, and by cause
	EndsByCause     []float64       `cbor:"14,keyasint,omitempty" json:"ends_by_cause,omitempty"`
	Classes         []ClassSnapshot `cbor:"15,keyasint,omitempty" json:"classes,omitempty"`
}

// ClassSnapshot is the evidence that a server hangs on one class.
type ClassSnapshot struct {
	Class           int     `cbor:"1,keyasint" json:"class"` // by number
	SilenceEvidence float64 `cbor:"2,keyasint,omitempty" json:"silence"`
	Missed          int     `cbor:"3,keyasint,omitempty" json:"missed"`
	Ejected         bool    `cbor:"4,keyasint,omitempty" json:"down"`
}

const (
	// faultHalfLife is how soon half of what was known of servers in trouble has spoiled, as evidence does.
	faultHalfLife = 30 * time.Second
	// ejectedForClass is how old the news may be that a server is down: from then on it is evidence like any other.
	maxEjectionAge = 2 * faultHalfLife
	// most evidence that is taken back: it can be more than what takes a server down, until the round ends.
	maxEvidence = 10 * ejectionEvidence
)

// Snapshot returns what was learned of a server.
func (d *Detector) Snapshot(now time.Duration, s *Server) Snapshot {
	m := Snapshot{
		DeadEvidence: s.deadEvidence, PartialEvidence: s.partialEvidence, Ejected: s.isEjected, Silent: s.isEjected && s.isSilent, NotListening: s.notListening,
		RejectEvidence: s.rejectEvidence, AvoidFor: max(s.avoidUntil-now, 0), Ends: s.recent.total,
	}
	if s.rejectEvidence >= rejectingEvidence/2 { // with less, it would not be taken back
		m.HoldFor = s.holdFor
	}
	if s.isEjected {
		m.ChangedAgo, m.ProbesRequired, m.Reason = max(now-s.changedAt, 0), s.probesRequired, s.reason
	}
	for _, n := range s.recent.byCause {
		if n > 0 {
			m.EndsByCause = append([]float64(nil), s.recent.byCause[:]...)
			break
		}
	}
	for class, l := range s.classes {
		if l.silenceEvidence > 0 || l.isEjected {
			m.Classes = append(m.Classes, ClassSnapshot{class, l.silenceEvidence, l.missed, l.isEjected})
		}
	}
	return m
}

// Restore takes back what was learned of a server that long before. What can't have been learned is left out.
func (d *Detector) Restore(now time.Duration, s *Server, m Snapshot, age time.Duration) {
	left := remaining(age)
	s.deadEvidence, s.rejectEvidence = left*validEvidence(m.DeadEvidence, maxEvidence), left*validEvidence(m.RejectEvidence, rejectingEvidence)
	for k := range s.partialEvidence {
		s.partialEvidence[k] = left * validEvidence(m.PartialEvidence[k], maxEvidence)
	}
	d.restoreEjection(now, s, m, age)
	if hold := min(max(m.HoldFor, 0), d.maxHold()); hold > 0 && s.rejectEvidence >= rejectingEvidence/2 {
		s.isDeprioritized, s.holdFor = true, hold
	}
	if until := min(m.AvoidFor, d.maxHold()) - age; until > 0 {
		s.holdUntil, s.avoidUntil = now+until, now+until
	}
	if all := validEvidence(m.Ends, 1e6); !s.isEjected && len(m.EndsByCause) <= len(s.recent.byCause) {
		s.recent.total = left * all
		for c, n := range m.EndsByCause {
			s.recent.byCause[c] = left * min(validEvidence(n, 1e6), all)
		}
		d.fleet.add(s.recent)
	}
	for _, l := range m.Classes {
		if l.Class >= 0 && l.Class < len(s.classes) {
			s.classes[l.Class] = classState{
				silenceEvidence: left * validEvidence(l.SilenceEvidence, maxEvidence), missed: max(l.Missed, 0),
				isEjected: l.Ejected && age < maxEjectionAge,
			}
		}
	}
	d.updateDistrust()
}

// restoreEjection takes back that a server is down, or for how little that stands by now.
func (d *Detector) restoreEjection(now time.Duration, s *Server, m Snapshot, age time.Duration) {
	s.notListening = m.NotListening && age < maxEjectionAge
	if !m.Ejected {
		return
	}
	if age >= maxEjectionAge {
		s.deadEvidence = max(s.deadEvidence, remaining(age)*ejectionEvidence)
		return
	}
	s.isEjected, s.isSilent = true, m.Silent
	s.changedAt = now - age - max(m.ChangedAgo, 0)
	s.probesRequired = min(max(m.ProbesRequired, 1), maxProbes)
	s.probesLeft, s.reason = s.probesRequired, m.Reason
}

func (d *Detector) maxHold() time.Duration {
	return time.Duration(maxHoldObjectives * float64(d.objective))
}

func (s *decayingCounts) add(more decayingCounts) {
	s.total += more.total
	for c := range s.byCause {
		s.byCause[c] += more.byCause[c]
	}
}

// left is what is left of evidence of that age.
func remaining(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(faultHalfLife)) }

// evidence is a value that can be counted with, up to a bound; what can't be is none.
func validEvidence(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, most)
}
