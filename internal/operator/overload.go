package operator

// Overload is the table "storm": overload control, that is overload episodes, outages and retry storms.
type Overload struct {
	// Enabled has the agent detect overload and shed load.
	Enabled bool `toml:"on"`
	// RateLimitFields adds the header fields RateLimit and RateLimit-Policy to rejections.
	RateLimitFields bool `toml:"rate_limit_fields"`
	// EpisodeFactor is how many times its usual duration work must take at all servers at once for an
	// overload episode to begin.
	EpisodeFactor float64 `toml:"spell_factor" min:"1.2" max:"100"`
	// SheddingFraction is the fraction of the servers' capacity that is still admitted during load shedding.
	SheddingFraction float64 `toml:"purge_share" min:"0.05" max:"1"`
	// MaxSheddingMS is the longest load shedding, in milliseconds.
	MaxSheddingMS int64 `toml:"purge_ms" min:"500" max:"60000"`
	// MinSheddingMS is the least time that load shedding takes to end an overload episode, in milliseconds.
	MinSheddingMS int64 `toml:"purge_least_ms" min:"100" max:"60000"`
	// SheddingBackoffS is how long, in seconds, no load is shed again after shedding that did not end the
	// episode. It doubles each time.
	SheddingBackoffS int64 `toml:"purge_again_s" min:"1" max:"3600"`
	// SheddingWhenSparse has the agents of a large fleet, each of which sends little, shed load as well.
	SheddingWhenSparse bool `toml:"purge_sparse"`
	// TrialFraction is how many requests are forwarded for each first attempt while no request is served.
	TrialFraction float64 `toml:"trial_share" min:"0.001" max:"0.5"`
	// RecoveryHeadroom is how many times the usual number of requests may be in flight while servers recover
	// from an outage.
	RecoveryHeadroom float64 `toml:"return_more" min:"0.5" max:"10"`
	// WastedFraction is the fraction of unsuccessful attempts above which an agent of a large fleet admits
	// hardly more than what is answered. From 1 on it admits everything.
	WastedFraction float64 `toml:"in_vain" min:"0.05" max:"1"`
	// FairnessRotationS is the time in seconds in which each key moves once through the order of admission.
	FairnessRotationS int64 `toml:"turn_s" min:"1" max:"3600"`
}

func defaultOverload() Overload {
	return Overload{
		Enabled: true, EpisodeFactor: 1.65, SheddingFraction: 0.5, MaxSheddingMS: 3800, MinSheddingMS: 2000,
		SheddingBackoffS: 30, TrialFraction: 0.1, RecoveryHeadroom: 1.25, WastedFraction: 0.25,
		FairnessRotationS: 60,
	}
}

// check returns the first key whose value contradicts another key's, and what is required of it.
func (o Overload) check() (key, problem string) {
	if o.MinSheddingMS > o.MaxSheddingMS {
		return "purge_least_ms", "must not be above purge_ms"
	}
	return "", ""
}
