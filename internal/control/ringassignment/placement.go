// Package ringassignment keeps the fleet's consistent-hash ring the same everywhere, and stable: which servers are
// on it and with how many points is an agreed generation, and the next one follows from it, from what the
// voters' leader sees and from the time, by rules that can be read (rules in rules.go).
//
// # A server's states
//
//	expected  listed, not ready yet; it has no points
//	joining   its points grow, no faster than its warmth permits, nor than the bound on moved keys
//	whole     it has the points of its agreed capacity, or is on the way from one capacity to another
//	suspect   it vanished or is not ready; nobody uses it, and its points are kept for Parameters.SuspectRetention
//	away      it drains, or has long not been ready; it has no points and is known to come back, maybe
//	gone      not listed; only its penalty is remembered, for Parameters.GoneRetention
//
// # What holds
//
// The next generation is proposed only once no agent that holds a lease can go by the one before the present
// (lease.Terms.Passed since the present one was applied), so such agents are never on more than two
// neighbouring ones. DefaultPoints are nested (package ring): a changed number moves that server's own part only.
// What moves keys without need is bounded to Parameters.MaxMoveRate; what servers that were lost had may be made up for
// at once, as far as the others are warm. Each loss of a server that nobody planned is a swing and raises its
// penalty, which decays; one that comes back stays off until it was ready for Parameters.MinReadyTime without a break,
// twice as long for each swing more. So a server that flaps every 2 s moves its keys once.
//
// A server that maintenance windows have emptied (View.FullyDrained) stays on the ring as it is: the windows keep
// all keys off it, and have them back by each agent's own clock, which no generation may stand in the way of.
//
// An agreed generation says only who shares the keys. What the agent's own list says drains or is gone is not
// used whatever the generation says, and a server that the list lacks is not made known by it.
//
// It does no input or output, and knows no clock. Types are not safe for concurrent use. The design is told
// in docs/design/placement.md.
package ringassignment

import (
	"time"

	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/fleet/lease"
)

// Phase is a server's state. Their numbers are part of the state that all agents share.
type Phase uint8

// The states.
const (
	Complete Phase = iota
	Expected
	Joining
	Suspect
	retiredPhase // a number that had a meaning once, and is no state
	Away
	Gone
)

func (p Phase) String() string {
	return [...]string{"whole", "expected", "joining", "suspect", "", "away", "gone"}[min(p, Gone)]
}

// Parameters are the rules' numbers. Only the leader's count for a generation; they are no part of the state.
type Parameters struct {
	Terms     lease.Terms
	SlowStart slowstart.Params // what the settings let cold servers have; Margin and Most are the balancers' figures

	PointsPerCapacity  float64       // points of a server of capacity 1; 200
	MaxMoveRate        float64       // part of all keys that may move a second without need; 0.01
	MaxMoveBurst       time.Duration // as long as this may be saved up; 10 s
	ActivationLead     time.Duration // how long before it is taken up a generation is proposed; 500 ms
	LossConfirmation   time.Duration // for how long a server without swings has to be away to be suspect; 1 s
	GatherTime         time.Duration // what comes within this is one generation; 300 ms
	MinReadyTime       time.Duration // ready without a break for so long, after a swing, to come back; 3 s
	PenaltyHalfLife    time.Duration // of the penalty; 60 s
	MaxHoldOff         time.Duration // that a server is held off for its penalty; 5 min
	SuspectRetention   time.Duration // that a suspect's points are kept; 30 s
	OwedValidity       time.Duration // that what lost servers had may be made up for beyond the rate; 60 s
	GoneRetention      time.Duration // that what is gone is remembered; 10 min
	CapacitySettleTime time.Duration // that another capacity was told without a change before it counts; 30 s
	MinCapacityChange  float64       // part by which it has to differ; 0.1
	MaxViewAge         time.Duration // a view older than this is not gone by; 15 s
	BatchTime          time.Duration // changes that move nothing wait for so long for others; 60 s
	UsePaces           bool          // what agents measure of kinds counts
}

// WithDefaults returns the figures with the defaults for what is zero.
func (f Parameters) WithDefaults() Parameters {
	f.Terms = f.Terms.WithDefaults()
	for v, usual := range map[*time.Duration]time.Duration{
		&f.MaxMoveBurst:   10 * time.Second,
		&f.ActivationLead: 500 * time.Millisecond, &f.GatherTime: 300 * time.Millisecond, &f.LossConfirmation: time.Second,
		&f.MinReadyTime:    3 * time.Second,
		&f.PenaltyHalfLife: time.Minute, &f.MaxHoldOff: 5 * time.Minute, &f.SuspectRetention: 30 * time.Second, &f.OwedValidity: time.Minute,
		&f.GoneRetention: 10 * time.Minute, &f.CapacitySettleTime: 30 * time.Second, &f.MaxViewAge: 15 * time.Second,
		&f.BatchTime: time.Minute,
	} {
		if *v == 0 {
			*v = usual
		}
	}
	for v, usual := range map[*float64]float64{&f.PointsPerCapacity: 200, &f.MaxMoveRate: 0.01, &f.MinCapacityChange: 0.1} {
		if *v == 0 {
			*v = usual
		}
	}
	return f
}

// DefaultPoints are of a server that has not yet been given others: as many as on the ring without generations, so
// that the first generation moves nothing.
const DefaultPoints = 100

const (
	minPoints, maxPoints = 8, 2000
	minCapacity          = 0.05
)

// View is what one agent sees.
type View struct {
	Now     time.Duration // Unix time
	Servers []Server      // of its own list, each once
	// FullyDrained are those that windows keep all keys off now, by id, listed or not.
	FullyDrained map[string]bool
}

// Server is a server as an agent sees it.
type Server struct {
	ID, Zone, Kind  string
	Ready, Draining bool
	StartedAt       time.Duration // Unix time; zero: long ago
	Capacity        float64       // agreed, 1 being usual; nonsense counts as 1
}

// ObservedServer is a server with how long it has been so.
type ObservedServer struct {
	Server
	ReadySince    time.Duration // without a break, Unix time
	Missing       bool          // it is not listed any more, since LostAt
	LostAt        time.Duration // when it was last seen not to be ready, after it had been; zero: never
	CapacitySince time.Duration // since when its capacity has been what it is
	FullyDrained  bool          // see View
}
