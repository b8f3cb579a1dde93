package balancer

import "time"

// RetryPolicy is the fleet policy for the requests of one class. It can only tighten the settings.
type RetryPolicy struct {
	MaxAttempts        int           // attempts of a request, including the first; below one: one
	Hedging            bool          // two attempts of a request may be in flight at once
	MinAttemptInterval time.Duration // minimum time from an attempt's start to the start of its retry
}

// maxAttemptInterval is the maximum of RetryPolicy.MinAttemptInterval. It is longer than any request lasts.
const maxAttemptInterval = time.Hour

// ApplyFleetPolicy applies a fleet policy from the next Step on. Quotas are in the order of the settings'
// tenants, in requests a second over the whole fleet (zero or less: no quota), and retry policies in the
// order of the settings' classes. Tenants and classes without an entry follow the settings, so
// ApplyFleetPolicy(nil, nil) removes the policy. No class gets more attempts than the settings permit, or
// hedging that they forbid. An invalid quota leaves the tenant's quota unchanged. Applying the same policy
// again changes nothing.
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

// applyPolicy sets the class's limits from the settings and its entry, if any, in the policies of all
// classes.
func (c *class) applyPolicy(limits Limits, policies []RetryPolicy) {
	c.maxAttempts, c.hedging, c.minAttemptInterval = limits.MaxAttempts, limits.Hedging, 0
	if c.index < len(policies) {
		p := policies[c.index]
		c.maxAttempts, c.hedging = max(min(p.MaxAttempts, c.maxAttempts), 1), p.Hedging && c.hedging
		c.minAttemptInterval = min(max(p.MinAttemptInterval, 0), maxAttemptInterval)
	}
}
