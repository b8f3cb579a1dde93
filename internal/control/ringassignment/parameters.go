package ringassignment

import (
	"time"

	"dunestep/internal/balancer/slowstart"
	"dunestep/internal/fleet/lease"
)

// Parameters configure the rules. Zero values mean the defaults, which the field comments end with. The
// leader's parameters determine a generation; they are not part of the agreed state.
type Parameters struct {
	Terms     lease.Terms
	SlowStart slowstart.Params // slow start settings

	PointsPerCapacity  float64       // points of a server with capacity 1; 200
	MaxMoveRate        float64       // maximum unneeded moves, as a fraction of all keys per second; 0.01
	MaxMoveBurst       time.Duration // time for which unused MaxMoveRate accumulates; 10 s
	ActivationLead     time.Duration // time from the proposal of a generation to its use; 500 ms
	LossConfirmation   time.Duration // time after which a lost server without flaps is suspect; 1 s
	GatherTime         time.Duration // time for which changes are gathered into one generation; 300 ms
	MinReadyTime       time.Duration // time a server has to be ready without interruption after one flap; 3 s
	PenaltyHalfLife    time.Duration // half-life of the penalty for flaps; 60 s
	MaxHoldOff         time.Duration // maximum time that a penalty keeps a server off the ring; 5 min
	SuspectRetention   time.Duration // time for which the points of a suspect server are kept; 30 s
	OwedValidity       time.Duration // time for which lost points may be replaced beyond MaxMoveRate; 60 s
	GoneRetention      time.Duration // time for which a gone server's penalty is kept; 10 min
	CapacitySettleTime time.Duration // time a new capacity has to stay the same to be applied; 30 s
	MinCapacityChange  float64       // minimum relative change of a capacity to be applied; 0.1
	MaxViewAge         time.Duration // maximum age of a leader's view; 15 s
	BatchTime          time.Duration // time for which changes that move no keys are gathered; 60 s
	UsePaces           bool          // whether measured paces of machine kinds change points; false
}

// WithDefaults returns the parameters with zero values replaced by the defaults.
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
