package ringassignment

import (
	"math"
	"time"
)

// Phase is a server's phase; see the package comment. The numbers are part of the agreed state.
type Phase uint8

const (
	// Complete means that the server has the points of its agreed capacity, or is changing from one capacity to
	// another.
	Complete Phase = iota
	// Expected means that the server is listed and not ready yet.
	Expected
	// Joining means that the server's points grow.
	Joining
	// Suspect means that the server is not listed or not ready. Its points are kept, but are not on the ring.
	Suspect
	retiredPhase // the number of a former phase; never valid
	// Away means that the server is draining, or has not been ready for Parameters.SuspectRetention.
	Away
	// Gone means that the server is not listed.
	Gone
)

// String returns the word that the operators' interface shows; operators' tools compare it.
func (p Phase) String() string {
	return [...]string{"whole", "expected", "joining", "suspect", "", "away", "gone"}[min(p, Gone)]
}

// unchanged, as the target phase of a rule, means that the server stays in its phase.
const unchanged Phase = 255

// DefaultPoints is the initial number of points of a server. It is the same as on the ring without
// generations, so that the first generation moves no keys.
const DefaultPoints = 100

const (
	minPoints, maxPoints = 8, 2000 // limits of a server's full points

	minPenalty = 0.1 // flaps; a lower penalty counts as zero
	maxPenalty = 20  // flaps
)

// Member is a server in a generation. The field numbers are part of the encoding.
type Member struct {
	ID         string `cbor:"1,keyasint"`
	Phase      Phase  `cbor:"2,keyasint,omitempty"`
	Points     uint16 `cbor:"3,keyasint,omitempty"` // on the ring, unless the server is Suspect
	FullPoints uint16 `cbor:"4,keyasint,omitempty"` // for the server's capacity; zero means as many as Points
	// Since is the time of the last change of phase or flap, in Unix seconds; zero if Complete and no penalty.
	Since   uint32 `cbor:"5,keyasint,omitempty"`
	Penalty uint16 `cbor:"6,keyasint,omitempty"` // in hundredths of a flap, as of Since
}

// isValid reports whether a member is within its limits.
func (n *Member) isValid() bool {
	return n.ID != "" && len(n.ID) <= MaxIDSize && n.Phase <= Gone && n.Phase != retiredPhase &&
		n.Points <= maxPoints && n.FullPoints <= maxPoints
}

// PointsOnRing returns the number of points that the server has on the ring.
func (n *Member) PointsOnRing() int {
	if n.Phase == Suspect {
		return 0
	}
	return int(n.Points)
}

// fullPoints returns the number of points that the server has when it is fully grown.
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

// penalty returns the decayed penalty, in flaps.
func (n *Member) penalty(now, halfLife time.Duration) float64 {
	age := max(now-time.Duration(n.Since)*time.Second, 0)
	return float64(n.Penalty) / 100 * math.Exp2(-float64(age)/float64(halfLife))
}

// flap is whether a change of phase counts as a flap.
type flap uint8

const (
	noFlap flap = iota
	countsAsFlap
)

// enter moves the server to a phase. A flap raises its penalty by one.
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
