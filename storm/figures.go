package storm

import (
	"errors"
	"math"
	"reflect"
	"time"
)

// Figures are the open figures of the storm module. The operator file's table [storm] sets them.
type Figures struct {
	// Off lets all through.
	Off bool
	// SpellFactor is how many times the usual work must take, at every server at once, to be a slow spell.
	SpellFactor float64
	// PurgeShare is the part of what the servers carried that a purge lets through.
	PurgeShare float64
	// PurgeFor is how long a purge lasts at most, and PurgeLeast how long before it may have helped.
	PurgeFor, PurgeLeast time.Duration
	// PurgeAgain is how long a spell that was purged in vain is left alone, twice as long each time.
	PurgeAgain time.Duration
	// TrialShare is how many requests go on for each first try while nothing is served.
	TrialShare float64
	// ReturnMore is how many times the usual may be in flight while what was down comes back.
	ReturnMore float64
	// InVain is the part of its attempts in vain at which an agent of a large fleet lets in hardly more than
	// what is answered; from 1 on it lets all in.
	InVain float64
	// PurgeSparse has agents of a large fleet purge slow spells as well.
	PurgeSparse bool
	// TellQuota has refusals tell of the tenant's quota.
	TellQuota bool
	// Turn is the time in which each key moves once through the order in which requests are let in.
	Turn time.Duration
}

// DefaultFigures are the figures in service. Those of the purge follow the deployment's record of incidents:
// some spells ended once the servers were only about half busy for 2 to 3.5 s, and those were 2 to 2.8 times
// slower.
func DefaultFigures() Figures {
	return Figures{
		SpellFactor: 1.65, PurgeShare: 0.5, PurgeFor: 3800 * time.Millisecond,
		PurgeLeast: 2 * time.Second, PurgeAgain: 30 * time.Second, TrialShare: 0.1, ReturnMore: 1.25, InVain: 0.25,
		Turn: time.Minute,
	}
}

// orDefaults gives the defaults for the zero value, switched off or not, and refuses what can't be counted
// with.
func (f Figures) orDefaults() (Figures, error) {
	if f == (Figures{Off: f.Off}) {
		d := DefaultFigures()
		d.Off = f.Off
		return d, nil
	}
	for v, i := reflect.ValueOf(f), 0; i < v.NumField(); i++ {
		x := 1.0
		if field := v.Field(i); field.CanInt() {
			x = float64(field.Int())
		} else if field.CanFloat() {
			x = field.Float()
		}
		if !(x > 0) || math.IsInf(x, 1) {
			return f, errors.New("storm: the figure " + v.Type().Field(i).Name + " must be above zero")
		}
	}
	return f, nil
}
