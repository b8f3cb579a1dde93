package policy

import "time"

// Floor is the minimum that every later version has to allow, so that an agent that is cut off can act within
// it. Its tags are those of the document's table; the defaults are the floor of version 0, which has no
// document. It is encoded as an array, so the order of the fields is part of the encoding.
type Floor struct {
	_ struct{} `cbor:",toarray"`
	// QuotaShare is the minimum quota of each tenant, as a fraction of its quota in the settings.
	QuotaShare float64 `toml:"share" range:"0.001..1" default:"0.5"`
	// MaxAttempts is the number of attempts of a request that a policy must allow, if the settings permit them.
	MaxAttempts int `toml:"attempts" range:"1..10" default:"2"`
	// Hedging is whether a policy must allow hedged requests where the settings allow them.
	Hedging bool `toml:"copies"`
	// MinAttemptInterval is the longest minimum interval between attempts that a policy may require.
	MinAttemptInterval time.Duration `toml:"pace_ms" range:"0..1000" default:"100"`
	// MaxFailedRatio is the lowest Effect.MaxFailedRatio that a policy may set.
	MaxFailedRatio float64 `toml:"in_vain" range:"0.05..1" default:"0.1"`
}

// InitialFloor returns the floor of version 0, before any policy was agreed.
func InitialFloor() Floor {
	return Floor{
		QuotaShare: 0.5, MaxAttempts: 2, MinAttemptInterval: 100 * time.Millisecond,
		MaxFailedRatio: 0.1,
	}
}

// lowestFloor returns the floor that no document can forbid, because of the ranges of its keys.
func lowestFloor() Floor {
	return Floor{QuotaShare: 0.001, MaxAttempts: 1, MinAttemptInterval: time.Second, MaxFailedRatio: 0.05}
}

// Effect evaluates the floor alone with an agent's settings.
func (f Floor) Effect(local LocalSettings) *Effect {
	e := local.unrestricted()
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

// withDocument returns the effect of the floor together with the contracts and capacities of the version's
// document, which apply even if the document cannot be used otherwise. The document is nil if this build
// cannot read it.
func (f Floor) withDocument(d *Document, local LocalSettings) *Effect {
	e := f.Effect(local)
	if d != nil {
		e.Contracts, e.Capacity = d.contracts, d.file.Capacity
	}
	return e
}

func (f Floor) encode() []byte { return marshal(f) }

// decodeFloor decodes a floor. It returns false if this build does not know the encoding.
func decodeFloor(data []byte) (f Floor, ok bool) { return f, decoding.Unmarshal(data, &f) == nil }
