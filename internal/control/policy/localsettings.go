package policy

import "dunestep/internal/balancer"

// LocalSettings are the settings that an agent checks documents against: its own balancer settings, and its
// own limit of failed attempts for the adaptive throttle.
type LocalSettings struct {
	Settings balancer.Settings
	// MaxFailedRatio is the agent's own value of Effect.MaxFailedRatio, 0.05 to 1; zero means 1 (no limit).
	MaxFailedRatio float64
}

// maxAttempts returns the number of attempts of a request that the settings permit. As in the balancer,
// values below 1 count as 1.
func (o LocalSettings) maxAttempts() int { return max(o.Settings.Limits.MaxAttempts, 1) }

func (o LocalSettings) maxFailedRatio() float64 {
	if o.MaxFailedRatio <= 0 {
		return 1
	}
	return o.MaxFailedRatio
}

// totalQuota returns the sum of all tenants' quotas in the settings, in requests per second.
func (o LocalSettings) totalQuota() (sum float64) {
	for _, t := range o.Settings.Tenants {
		sum += max(t.QuotaPerSecond, 0)
	}
	return sum
}

// tenantNames returns the names of the settings' tenants.
func (o LocalSettings) tenantNames() (names []string) {
	for _, t := range o.Settings.Tenants {
		names = append(names, t.Name)
	}
	return names
}

// classNames returns the names of the settings' classes.
func (o LocalSettings) classNames() (names []string) {
	for _, c := range o.Settings.Classes {
		names = append(names, c.Name)
	}
	return names
}

// unrestricted returns the effect without a policy: everything that the settings permit.
func (o LocalSettings) unrestricted() *Effect {
	e := &Effect{MaxFailedRatio: o.maxFailedRatio()}
	for _, t := range o.Settings.Tenants {
		e.Quota = append(e.Quota, t.QuotaPerSecond)
	}
	for range o.Settings.Classes {
		e.Classes = append(e.Classes, ClassEffect{MaxAttempts: o.maxAttempts(), Hedging: o.Settings.Limits.Hedging})
	}
	return e
}
