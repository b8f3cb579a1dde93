package policy

import "time"

// Floor is what every later version has to allow, so that an agent which is cut off can do it. Its tags are
// those of the document's table; the defaults are the floor of version 0, which has no document. It is
// encoded as an array, so the order of the fields is part of its form.
type Floor struct {
	_ struct{} `cbor:",toarray"`
	// QuotaShare is the fraction of its quota in the settings that each tenant keeps.
	QuotaShare float64 `toml:"share" range:"0.001..1" default:"0.5"`
	// MaxAttempts are the attempts of a request that are allowed, as far as the settings permit them.
	MaxAttempts int `toml:"attempts" range:"1..10" default:"2"`
	// Hedging says whether hedged requests have to be allowed where the settings allow them.
	Hedging bool `toml:"copies"`
	// MinAttemptInterval is the longest interval between attempts that a policy may ask for.
	MinAttemptInterval time.Duration `toml:"pace_ms" range:"0..1000" default:"100"`
	// MaxFailedRatio is the lowest that a policy may ask for.
	MaxFailedRatio float64 `toml:"in_vain" range:"0.05..1" default:"0.1"`
}

// InitialFloor is the floor before any was agreed.
func InitialFloor() Floor {
	return Floor{
		QuotaShare: 0.5, MaxAttempts: 2, MinAttemptInterval: 100 * time.Millisecond,
		MaxFailedRatio: 0.1,
	}
}

// lowestFloor is what no document can forbid, by the ranges of its keys.
func lowestFloor() Floor {
	return Floor{QuotaShare: 0.001, MaxAttempts: 1, MinAttemptInterval: time.Second, MaxFailedRatio: 0.05}
}

// Effect is what an agent does that acts by the floor alone.
func (f Floor) Effect(own LocalSettings) *Effect {
	e := own.unrestricted()
	for i := range e.Quota {
		if e.Quota[i] > 0 {
			e.Quota[i] *= f.QuotaShare
		}
	}
	for i := range e.Classes {
		c := &e.Classes[i]
		c.MaxAttempts = min(c.MaxAttempts, f.MaxAttempts)
		c.Hedging = c.Hedging && f.Hedging
		c.MinAttemptInterval = f.MinAttemptInterval
	}
	e.MaxFailedRatio = min(e.MaxFailedRatio, f.MaxFailedRatio)
	return e
}

// withDocument is the effect of the floor of a version with this document (nil: this build cannot read it).
// The document's contracts and capacities apply, also where the document cannot be used otherwise.
func (f Floor) withDocument(d *Document, own LocalSettings) *Effect {
	e := f.Effect(own)
	if d != nil {
		e.Contracts, e.Capacity = d.contracts, d.file.Capacity
	}
	return e
}

func (f Floor) encode() []byte { return marshal(f) }

// decodeFloor reads a floor; false where it is of a form that this build does not know.
func decodeFloor(data []byte) (f Floor, ok bool) { return f, decoding.Unmarshal(data, &f) == nil }
