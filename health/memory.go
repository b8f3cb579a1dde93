package health

import (
	"math"
	"time"
)

// Memory is what a Detector has learned of one server, as plain values that can be kept over a restart. Its
// times are spans from when it was taken. How long answers take is not in it: a few answers tell that anew,
// and what it was before makes the silence of a server that has failed since look like waiting.
type Memory struct {
	Dead    float64       `cbor:"2,keyasint,omitempty" json:"dead"` // evidence, as natural logarithms
	Part    [2]float64    `cbor:"3,keyasint,omitempty" json:"in_part"`
	Down    bool          `cbor:"4,keyasint,omitempty" json:"down"`
	Mute    bool          `cbor:"5,keyasint,omitempty" json:"mute"`   // down because nothing came of it
	Absent  bool          `cbor:"6,keyasint,omitempty" json:"absent"` // nothing listened there
	Ago     time.Duration `cbor:"7,keyasint,omitempty" json:"since_ago_ns"`
	Asked   int           `cbor:"8,keyasint,omitempty" json:"trials_asked"`
	Because string        `cbor:"9,keyasint,omitempty" json:"because"`
	Turns   float64       `cbor:"10,keyasint,omitempty" json:"turns"` // evidence that it turns away
	Hold    time.Duration `cbor:"11,keyasint,omitempty" json:"hold_ns"`
	NotNow  time.Duration `cbor:"12,keyasint,omitempty" json:"not_now_for_ns"` // from then on
	All     float64       `cbor:"13,keyasint,omitempty" json:"ends"`           // of late, and by cause
	By      []float64     `cbor:"14,keyasint,omitempty" json:"ends_by_cause,omitempty"`
	Lanes   []LaneMemory  `cbor:"15,keyasint,omitempty" json:"classes,omitempty"`
}

// LaneMemory is the evidence that a server hangs on one class.
type LaneMemory struct {
	Class   int     `cbor:"1,keyasint" json:"class"` // by number
	Silence float64 `cbor:"2,keyasint,omitempty" json:"silence"`
	Missed  int     `cbor:"3,keyasint,omitempty" json:"missed"`
	Down    bool    `cbor:"4,keyasint,omitempty" json:"down"`
}

const (
	// troubleHalf is how soon half of what was known of servers in trouble has spoiled, as evidence does.
	troubleHalf = 30 * time.Second
	// downFor is how old the news may be that a server is down: from then on it is evidence like any other.
	downFor = 2 * troubleHalf
	// most evidence that is taken back: it can be more than what takes a server down, until the round ends.
	most = 10 * proof
)

// Remember returns what was learned of a server.
func (d *Detector) Remember(now time.Duration, s *Server) Memory {
	m := Memory{
		Dead: s.dead, Part: s.part, Down: s.down, Mute: s.down && s.mute, Absent: s.absent,
		Turns: s.turns, NotNow: max(s.notNow-now, 0), All: s.recent.all,
	}
	if s.turns >= turnedProof/2 { // with less, it would not be taken back
		m.Hold = s.hold
	}
	if s.down {
		m.Ago, m.Asked, m.Because = max(now-s.since, 0), s.asked, s.because
	}
	for _, n := range s.recent.by {
		if n > 0 {
			m.By = append([]float64(nil), s.recent.by[:]...)
			break
		}
	}
	for class, l := range s.lanes {
		if l.silence > 0 || l.down {
			m.Lanes = append(m.Lanes, LaneMemory{class, l.silence, l.missed, l.down})
		}
	}
	return m
}

// Recall takes back what was learned of a server that long before. What can't have been learned is left out.
func (d *Detector) Recall(now time.Duration, s *Server, m Memory, age time.Duration) {
	left := left(age)
	s.dead, s.turns = left*evidence(m.Dead, most), left*evidence(m.Turns, turnedProof)
	for k := range s.part {
		s.part[k] = left * evidence(m.Part[k], most)
	}
	d.recallDown(now, s, m, age)
	if hold := min(max(m.Hold, 0), d.holdMost()); hold > 0 && s.turns >= turnedProof/2 {
		s.passed, s.hold = true, hold
	}
	if until := min(m.NotNow, d.holdMost()) - age; until > 0 {
		s.until, s.notNow = now+until, now+until
	}
	if all := evidence(m.All, 1e6); !s.down && len(m.By) <= len(s.recent.by) {
		s.recent.all = left * all
		for c, n := range m.By {
			s.recent.by[c] = left * min(evidence(n, 1e6), all)
		}
		d.fleet.add(s.recent)
	}
	for _, l := range m.Lanes {
		if l.Class >= 0 && l.Class < len(s.lanes) {
			s.lanes[l.Class] = lane{
				silence: left * evidence(l.Silence, most), missed: max(l.Missed, 0),
				down: l.Down && age < downFor,
			}
		}
	}
	d.weigh()
}

// recallDown takes back that a server is down, or for how little that stands by now.
func (d *Detector) recallDown(now time.Duration, s *Server, m Memory, age time.Duration) {
	s.absent = m.Absent && age < downFor
	if !m.Down {
		return
	}
	if age >= downFor {
		s.dead = max(s.dead, left(age)*proof)
		return
	}
	s.down, s.mute = true, m.Mute
	s.since = now - age - max(m.Ago, 0)
	s.asked = min(max(m.Asked, 1), proofMost)
	s.left, s.because = s.asked, m.Because
}

func (d *Detector) holdMost() time.Duration { return time.Duration(holdMost * float64(d.aim)) }

func (s *shares) add(more shares) {
	s.all += more.all
	for c := range s.by {
		s.by[c] += more.by[c]
	}
}

// left is what is left of evidence of that age.
func left(age time.Duration) float64 { return math.Exp2(-float64(age) / float64(troubleHalf)) }

// evidence is a value that can be counted with, up to a bound; what can't be is none.
func evidence(v, most float64) float64 {
	if !(v > 0) {
		return 0
	}
	return min(v, most)
}
