package ringassignment

import (
	"math"
	"time"
)

// Phase is a server's phase; the package comment explains them. The numbers are part of the agreed state.
type Phase uint8

const (
	// Complete means that the server has the points of its agreed capacity, or moves from one capacity to
	// another.
	Complete Phase = iota
	// Expected means listed, and not ready yet.
	Expected
	// Joining means that its points grow.
	Joining
	// Suspect means that it vanished or is not ready; its points are kept, off the ring.
	Suspect
	retiredPhase // a number that once had a meaning, and is no phase
	// Away means that it drains, or has long not been ready.
	Away
	// Gone means that it is not listed.
	Gone
)

// String is the word that the operators' interface shows; tools compare it.
func (p Phase) String() string {
	return [...]string{"whole", "expected", "joining", "suspect", "", "away", "gone"}[min(p, Gone)]
}

// unchanged, as the target of a rule, is the phase that the server has.
const unchanged Phase = 255

// DefaultPoints are the points of a server that was not given others yet: as many as on the ring without
// generations, so that the first generation moves nothing.
const DefaultPoints = 100

const (
	minPoints, maxPoints = 8, 2000 // of a server that has its full points

	minPenalty = 0.1 // a penalty that has decayed to less counts as none
	maxPenalty = 20  // flaps
)

// Member is a server in a generation. Numbers of fields are part of its form.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Phase      Phase  `cbor:"2,keyasint,omitempty"`
	Points     uint16 `cbor:"3,keyasint,omitempty"` // of a suspect server: kept, and not on the ring
	FullPoints uint16 `cbor:"4,keyasint,omitempty"` // by its capacity; zero: as many as Points
	Since      uint32 `cbor:"5,keyasint,omitempty"` // Unix seconds; zero: Complete without a penalty
	Penalty    uint16 `cbor:"6,keyasint,omitempty"` // in hundredths of a flap, as of Since
}

// isValid tells whether a member is within its bounds.
func (n *Member) isValid() bool {
	return n.ID != "" && len(n.ID) <= MaxIDSize && n.Phase <= Gone && n.Phase != retiredPhase &&
		n.Points <= maxPoints && n.FullPoints <= maxPoints
}

// OnRing is how many points the server has on the ring.
func (n *Member) OnRing() int {
	if n.Phase == Suspect {
		return 0
	}
	return int(n.Points)
}

// fullPoints is how many points it should have when Complete.
func (n *Member) fullPoints() int {
	if n.FullPoints == 0 {
		return int(n.Points)
	}
	return int(n.FullPoints)
}

func (n *Member) setFullPoints(full int) {
	n.FullPoints = uint16(full)
	if n.Phase == Complete && n.FullPoints == n.Points {
		n.FullPoints = 0
	}
}

// penalty is what is left of the penalty, in flaps.
func (n *Member) penalty(now, halfLife time.Duration) float64 {
	age := max(now-time.Duration(n.Since)*time.Second, 0)
	return float64(n.Penalty) / 100 * math.Exp2(-float64(age)/float64(halfLife))
}

// flap tells whether a change of phase counts as a flap.
type flap uint8

const (
	noFlap flap = iota
	countsAsFlap
)

// enter has a server enter a phase. A flap raises its penalty by one.
func (n *Member) enter(to Phase, f flap, now, halfLife time.Duration) {
	penalty := n.penalty(now, halfLife)
	if f == countsAsFlap {
		penalty = min(penalty+1, maxPenalty)
	}
	if penalty < minPenalty {
		penalty = 0
	}
	if to == unchanged {
		to = n.Phase
	}
	full := n.fullPoints()
	n.Phase, n.Penalty, n.Since = to, uint16(math.Round(100*penalty)), unixSeconds(now)
	if to == Complete && n.Penalty == 0 {
		n.Since = 0
	}
	n.setFullPoints(full)
}
