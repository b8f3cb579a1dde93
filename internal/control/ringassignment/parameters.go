package ringassignment

import (
	"time"

	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/fleet/lease"
)

// Parameters are the rules' numbers; zero values stand for the defaults. Those of the leader decide about a
// generation: they are no part of the agreed state.
type Parameters struct {
	Terms     lease.Terms
	SlowStart slowstart.Params // what the settings permit for servers in slow start

	PointsPerCapacity  float64       // points of a server of capacity 1; 200
	MaxMoveRate        float64       // fraction of all keys that may move in a second without need; 0.01
	MaxMoveBurst       time.Duration // for how long unused MaxMoveRate adds up; 10 s
	ActivationLead     time.Duration // from the proposal of a generation to its use; 500 ms
	LossConfirmation   time.Duration // how long a server without flaps has to be lost to be suspect; 1 s
	GatherTime         time.Duration // changes within this time make one generation; 300 ms
	MinReadyTime       time.Duration // how long a server has to be ready without a break after one flap; 3 s
	PenaltyHalfLife    time.Duration // of the penalty for flaps; 60 s
	MaxHoldOff         time.Duration // longest time that a server is held off for its penalty; 5 min
	SuspectRetention   time.Duration // how long the points of a suspect server are kept; 30 s
	OwedValidity       time.Duration // how long lost points may be made up for beyond MaxMoveRate; 60 s
	GoneRetention      time.Duration // how long a server that is gone is remembered; 10 min
	CapacitySettleTime time.Duration // how long a new capacity has to stay the same before it counts; 30 s
	MinCapacityChange  float64       // fraction by which it has to differ; 0.1
	MaxViewAge         time.Duration // an older view does not count; 15 s
	BatchTime          time.Duration // how long changes that move no key wait for others; 60 s
	UsePaces           bool          // whether the measured paces of machine kinds count
}

// WithDefaults returns the parameters with the defaults in place of zero values.
func (f Parameters) WithDefaults() Parameters {
	f.Terms = f.Terms.WithDefaults()
	setDefault(&f.PointsPerCapacity, 200)
	setDefault(&f.MaxMoveRate, 0.01)
	setDefault(&f.MaxMoveBurst, 10*time.Second)
	setDefault(&f.ActivationLead, 500*time.Millisecond)
	setDefault(&f.LossConfirmation, time.Second)
	setDefault(&f.GatherTime, 300*time.Millisecond)
	setDefault(&f.MinReadyTime, 3*time.Second)
	setDefault(&f.PenaltyHalfLife, time.Minute)
	setDefault(&f.MaxHoldOff, 5*time.Minute)
	setDefault(&f.SuspectRetention, 30*time.Second)
	setDefault(&f.OwedValidity, time.Minute)
	setDefault(&f.GoneRetention, 10*time.Minute)
	setDefault(&f.CapacitySettleTime, 30*time.Second)
	setDefault(&f.MinCapacityChange, 0.1)
	setDefault(&f.MaxViewAge, 15*time.Second)
	setDefault(&f.BatchTime, time.Minute)
	return f
}

func setDefault[T time.Duration | float64](v *T, d T) {
	if *v == 0 {
		*v = d
	}
}
