package balancer

import "time"

// RetryPolicy is what a fleet has agreed on for the requests of one class, within the settings.
type RetryPolicy struct {
	MaxAttempts        int           // of a request, the first one included; below one: one
	Hedging            bool          // two attempts of a request may be outstanding at once
	MinAttemptInterval time.Duration // from an attempt's start to that of the retry that follows its failure
}

// maxAttemptInterval bounds RetryPolicy.MinAttemptInterval; no request lasts as long.
const maxAttemptInterval = time.Hour

// ApplyFleetPolicy has the Balancer follow what its fleet has agreed on, from the next Step on: quotas by the
// settings' tenants, in requests a second over the fleet (zero or less: none), and retry policies by the
// settings' classes. What is left out is as in the settings: ApplyFleetPolicy(nil, nil) takes all back. No
// class gets more attempts than the settings permit, nor hedging that they don't; an invalid quota leaves the
// tenant's as it is. Applying the same policy again changes nothing.
func (b *Balancer) ApplyFleetPolicy(quotas []float64, classes []RetryPolicy) {
	for i, t := range b.settings.Tenants {
		perSecond := t.QuotaPerSecond
		if i < len(quotas) {
			perSecond = quotas[i]
		}
		b.quotas.SetRate(b.now, t.Name, perSecond)
	}
	for _, c := range b.classes { // in any order: they are independent
		c.applyPolicy(b.settings.Limits, classes)
	}
}

// applyPolicy sets the class's limits from its entry among the policies of all classes.
func (c *class) applyPolicy(limits Limits, policies []RetryPolicy) {
	c.maxAttempts, c.hedging, c.minAttemptInterval = limits.MaxAttempts, limits.Hedging, 0
	if c.index < len(policies) {
		p := policies[c.index]
		c.maxAttempts, c.hedging = max(min(p.MaxAttempts, c.maxAttempts), 1), p.Hedging && c.hedging
		c.minAttemptInterval = min(max(p.MinAttemptInterval, 0), maxAttemptInterval)
	}
}
