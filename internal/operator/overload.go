package operator

// Overload is the table "storm": overload control, that is overload episodes, outages and retry storms.
type Overload struct {
	// Enabled makes the agent detect overload and shed load.
	Enabled bool `toml:"on"`
	// RateLimitFields adds the header fields RateLimit and RateLimit-Policy to rejections.
	RateLimitFields bool `toml:"rate_limit_fields"`
	// EpisodeFactor is the multiple of its usual duration that work must take at all servers at the same time
	// for an overload episode to begin.
	EpisodeFactor float64 `toml:"spell_factor" min:"1.2" max:"100"`
	// SheddingFraction is the fraction of the servers' capacity up to which load is admitted during load
	// shedding.
	SheddingFraction float64 `toml:"purge_share" min:"0.05" max:"1"`
	// MaxSheddingMS is the maximum duration of load shedding, in milliseconds.
	MaxSheddingMS int64 `toml:"purge_ms" min:"500" max:"60000"`
	// MinSheddingMS is the minimum duration of load shedding that ends an overload episode, in milliseconds.
	MinSheddingMS int64 `toml:"purge_least_ms" min:"100" max:"60000"`
	// SheddingBackoffS is the time in seconds before load is shed again after shedding that did not end the
	// episode. It doubles each time.
	SheddingBackoffS int64 `toml:"purge_again_s" min:"1" max:"3600"`
	// SheddingWhenSparse makes the agents of a large fleet, each of which sends few requests, shed load too.
	SheddingWhenSparse bool `toml:"purge_sparse"`
	// TrialFraction is the number of requests forwarded per first attempt while no request is served.
	TrialFraction float64 `toml:"trial_share" min:"0.001" max:"0.5"`
	// RecoveryHeadroom is the multiple of the usual number of requests that may be in flight while servers
	// recover from an outage.
	RecoveryHeadroom float64 `toml:"return_more" min:"0.5" max:"10"`
	// WastedFraction is the fraction of unsuccessful attempts above which an agent of a large fleet admits
	// hardly more requests than are answered. With 1 it admits everything.
	WastedFraction float64 `toml:"in_vain" min:"0.05" max:"1"`
	// FairnessRotationS is the time in seconds in which each key passes once through all positions in the order
	// of admission.
	FairnessRotationS int64 `toml:"turn_s" min:"1" max:"3600"`
}

func defaultOverload() Overload {
	return Overload{
		Enabled: true, EpisodeFactor: 1.65, SheddingFraction: 0.5, MaxSheddingMS: 3800, MinSheddingMS: 2000,
		SheddingBackoffS: 30, TrialFraction: 0.1, RecoveryHeadroom: 1.25, WastedFraction: 0.25,
		FairnessRotationS: 60,
	}
}

// check returns the first key that contradicts another one, and its requirement; empty strings if there is
// none.
func (o Overload) check() (key, problem string) {
	if o.MinSheddingMS > o.MaxSheddingMS {
		return "purge_least_ms", "must not be above purge_ms"
	}
	return "", ""
}
