package balancer

import "time"

// RetryPolicy is what a fleet has agreed on for the requests of one class, within the settings.
type RetryPolicy struct {
	MaxAttempts        int           // of a request at most, the first one too; below one: one
	Hedging            bool          // two attempts of a request may be out at once
	MinAttemptInterval time.Duration // least time from an attempt's beginning to the one that follows its failure
}

// maxAttemptInterval bounds what can be counted with; no request lasts as long.
const maxAttemptInterval = time.Hour

// ApplyFleetPolicy has the Balancer go by what its fleet has agreed on, from the next Step on: by the tenants of the
// settings their quotas, in requests a second over the fleet, zero or less for none, and by its classes how
// their requests are repeated. What is left out is as in the settings: ApplyFleetPolicy(nil, nil) takes all back.
// No class gets more attempts than the settings permit, nor second copies that they don't; a quota that can't
// be counted with leaves the tenant's as it is. The same as before changes nothing.
func (b *Balancer) ApplyFleetPolicy(quota []float64, classes []RetryPolicy) {
	for i, t := range b.settings.Tenants {
		perS := t.QuotaPerSecond
		if i < len(quota) {
			perS = quota[i]
		}
		b.quotas.SetRate(b.now, t.Name, perS)
	}
	for _, c := range b.classes { // in any order: each by itself
		c.applyPolicy(b.settings.Limits, classes)
	}
}

// agree takes over what holds for the class among all classes.
func (c *class) applyPolicy(limits Limits, classes []RetryPolicy) {
	c.maxAttempts, c.hedging, c.minAttemptInterval = limits.MaxAttempts, limits.Hedging, 0
	if c.index < len(classes) {
		a := classes[c.index]
		c.maxAttempts, c.hedging = max(min(a.MaxAttempts, c.maxAttempts), 1), a.Hedging && c.hedging
		c.minAttemptInterval = min(max(a.MinAttemptInterval, 0), maxAttemptInterval)
	}
}

// spaced is how long a request waits for its next attempt: so many aims, and what is left of the agreed pace.
// That is kept for whatever else might wake the request up before. A second copy goes out with the first
// attempt, whatever the pace: whether there may be one is agreed by itself.
func (b *Balancer) retryDelay(r *request, aims float64) time.Duration {
	wait := time.Duration(aims * float64(r.class.LatencyObjective))
	if r.class.minAttemptInterval > 0 {
		r.notBefore = r.attempts[len(r.attempts)-1].outlier.StartedAt + r.class.minAttemptInterval
		wait = max(wait, r.notBefore-b.now)
	}
	return wait
}
