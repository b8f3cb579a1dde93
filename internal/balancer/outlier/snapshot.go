package outlier

import (
	"math"
	"time"
)

// Snapshot is the learned state of one server, kept over a restart. Its times are relative to when it was
// taken. It does not contain the latency: a few responses are enough to learn it again, and an old latency
// would make the silence of a server that has failed since look like slowness. The tags are the stored form
// and must not change.
type Snapshot struct {
	DeadEvidence    float64         `cbor:"2,keyasint,omitempty" json:"dead"`
	PartialEvidence [2]float64      `cbor:"3,keyasint,omitempty" json:"in_part"` // by failureKind
	Ejected         bool            `cbor:"4,keyasint,omitempty" json:"down"`
	Silent          bool            `cbor:"5,keyasint,omitempty" json:"mute"` // ejected for missing responses
	NotListening    bool            `cbor:"6,keyasint,omitempty" json:"absent"`
	ChangedAgo      time.Duration   `cbor:"7,keyasint,omitempty" json:"since_ago_ns"`
	ProbesRequired  int             `cbor:"8,keyasint,omitempty" json:"trials_asked"`
	Reason          string          `cbor:"9,keyasint,omitempty" json:"because"`
	RejectEvidence  float64         `cbor:"10,keyasint,omitempty" json:"turns"`
	HoldFor         time.Duration   `cbor:"11,keyasint,omitempty" json:"hold_ns"`
	AvoidFor        time.Duration   `cbor:"12,keyasint,omitempty" json:"not_now_for_ns"`
	RecentAttempts  float64         `cbor:"13,keyasint,omitempty" json:"ends"` // decayed count of ended attempts
	RecentByCause   []float64       `cbor:"14,keyasint,omitempty" json:"ends_by_cause,omitempty"`
	Classes         []ClassSnapshot `cbor:"15,keyasint,omitempty" json:"classes,omitempty"`
}

// ClassSnapshot is the evidence that a server does not answer one class.
type ClassSnapshot struct {
	Class           int     `cbor:"1,keyasint" json:"class"` // class number
	SilenceEvidence float64 `cbor:"2,keyasint,omitempty" json:"silence"`
	Missed          int     `cbor:"3,keyasint,omitempty" json:"missed"`
	Ejected         bool    `cbor:"4,keyasint,omitempty" json:"down"`
}

const (
	faultHalfLife  = 30 * time.Second      // half-life of stored evidence
	maxEjectionAge = 2 * faultHalfLife     // a stored ejection of this age or older is restored as evidence only
	maxEvidence    = 10 * ejectionEvidence // above ejectionEvidence, as it can grow until the round ends
	maxAttempts    = 1e6                   // maximum of a stored count
)

// Snapshot returns the learned state of a server.
func (d *Detector) Snapshot(now time.Duration, s *Server) Snapshot {
	recent := s.recent
	recent.scale(1 / d.attemptWeight)
	snapshot := Snapshot{
		DeadEvidence: s.deadEvidence, PartialEvidence: s.partialEvidence, Ejected: s.isEjected,
		Silent: s.isEjected && s.isSilent, NotListening: s.notListening, RejectEvidence: s.rejectEvidence,
		AvoidFor: max(s.avoidUntil-now, 0), RecentAttempts: recent.total,
	}
	if s.rejectEvidence >= rejectingEvidence/2 { // Restore ignores the hold at less evidence
		snapshot.HoldFor = s.holdFor
	}
	if s.isEjected {
		snapshot.ChangedAgo = max(now-s.changedAt, 0)
		snapshot.ProbesRequired, snapshot.Reason = s.probesRequired, s.reason
	}
	for _, n := range recent.byCause {
		if n > 0 {
			snapshot.RecentByCause = append([]float64(nil), recent.byCause[:]...)
			break
		}
	}
	for number, c := range s.classes {
		if c.silenceEvidence > 0 || c.isEjected {
			snapshot.Classes = append(snapshot.Classes,
				ClassSnapshot{number, c.silenceEvidence, c.missed, c.isEjected})
		}
	}
	return snapshot
}

// Restore loads a snapshot of the given age into the state of a new server. Values out of range are ignored
// or limited.
func (d *Detector) Restore(now time.Duration, s *Server, snapshot Snapshot, age time.Duration) {
	left := remaining(age)
	s.deadEvidence = left * validEvidence(snapshot.DeadEvidence, maxEvidence)
	s.rejectEvidence = left * validEvidence(snapshot.RejectEvidence, rejectingEvidence)
	for kind := range s.partialEvidence {
		s.partialEvidence[kind] = left * validEvidence(snapshot.PartialEvidence[kind], maxEvidence)
	}
	d.restoreEjection(now, s, snapshot, age)
	d.evidenceAdded(s)
	if hold := min(max(snapshot.HoldFor, 0), d.maxHold()); hold > 0 && s.rejectEvidence >= rejectingEvidence/2 {
		s.isDeprioritized, s.holdFor = true, hold
	}
	if avoid := min(snapshot.AvoidFor, d.maxHold()) - age; avoid > 0 {
		s.holdUntil, s.avoidUntil = now+avoid, now+avoid
	}
	if attempts := validEvidence(snapshot.RecentAttempts, maxAttempts); !s.isEjected &&
		len(snapshot.RecentByCause) <= len(s.recent.byCause) {
		s.recent.total = left * attempts
		for c, n := range snapshot.RecentByCause {
			s.recent.byCause[c] = left * min(validEvidence(n, maxAttempts), attempts)
		}
		s.recent.scale(d.attemptWeight)
		d.fleet.add(s.recent)
	}
	for _, c := range snapshot.Classes {
		if class := s.class(c.Class); class != nil {
			*class = classState{
				silenceEvidence: left * validEvidence(c.SilenceEvidence, maxEvidence), missed: max(c.Missed, 0),
				isEjected: c.Ejected && age < maxEjectionAge, isTallied: class.isTallied,
			}
		}
	}
	d.updateDistrust(s)
}

// restoreEjection restores an ejection, or, from maxEjectionAge on, the evidence that is left of it.
func (d *Detector) restoreEjection(now time.Duration, s *Server, snapshot Snapshot, age time.Duration) {
	s.notListening = snapshot.NotListening && age < maxEjectionAge
	if !snapshot.Ejected {
		return
	}
	if age >= maxEjectionAge {
		s.deadEvidence = max(s.deadEvidence, remaining(age)*ejectionEvidence)
		return
	}
	s.isEjected, s.isSilent = true, snapshot.Silent
	s.changedAt = now - age - max(snapshot.ChangedAgo, 0)
	s.probesRequired = min(max(snapshot.ProbesRequired, 1), maxProbes)
	s.probesLeft, s.reason = s.probesRequired, snapshot.Reason
}

// remaining returns the fraction of stored evidence that is left at an age.
func remaining(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(faultHalfLife)) }

// validEvidence returns a stored value limited to a maximum, or zero if it is negative or not a number.
func validEvidence(v, limit float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, limit)
}
