package overload

import "dunestep/internal/balancer"

// SetConfig changes the configuration; states in progress continue under the new one. It fails, and changes
// nothing, if a number is not above zero and finite.
func (c *Controller) SetConfig(config Config) error {
	config, err := config.withDefaults()
	if err != nil {
		return err
	}
	c.configured = config
	c.updateConfig()
	return nil
}

// ApplyFleetPolicy makes the controller and its balancer follow the fleet policy from the next Step on: see
// balancer.Balancer for the tenants' quotas and the classes. The wastedFraction is an upper bound of
// Config.WastedFraction until the next ApplyFleetPolicy, regardless of SetConfig; a value that is not above
// zero sets no bound. ApplyFleetPolicy(nil, nil, 0) withdraws everything.
func (c *Controller) ApplyFleetPolicy(
	quota []float64, classes []balancer.RetryPolicy, wastedFraction float64,
) {
	arrivals := c.balancer.ArrivalFraction()
	for i, t := range c.settings.Tenants {
		perSecond := t.QuotaPerSecond
		if i < len(quota) {
			perSecond = quota[i]
		}
		c.quotas[t.Name].setRate(c.now, perSecond, arrivals)
	}
	c.balancer.ApplyFleetPolicy(quota, classes)
	if c.agreedWastedFraction = 0; wastedFraction > 0 {
		c.agreedWastedFraction = wastedFraction
	}
	c.updateConfig()
}

// updateConfig recomputes the configuration in effect.
func (c *Controller) updateConfig() {
	if c.config = c.configured; c.agreedWastedFraction > 0 {
		c.config.WastedFraction = min(c.configured.WastedFraction, c.agreedWastedFraction)
	}
	if c.config.Disabled {
		c.episode.isShedding, c.episode.announcedStart = false, 0
		c.outage.phase, c.retryStorm.isActive = phaseNormal, false
	}
}

// SetFleetSize sets the number of agents by which the fleet's limits in an outage are divided; zero: the
// settings' number. balancer.EffectiveFleetSize bounds it, so that a wrong number raises what all agents
// together send by at most half.
func (c *Controller) SetFleetSize(agents int) {
	c.agents = balancer.EffectiveFleetSize(agents, c.settings.Balancers)
}

// SetExclusions makes the balancer keep tenants' keys off servers, from the next Step on: see
// balancer.Balancer. The number of requests that the controller admits does not change.
func (c *Controller) SetExclusions(a *balancer.Exclusions) { c.balancer.SetExclusions(a) }

// SetRingAssignment makes the balancer follow an agreed generation of the ring, from the next Step on: see
// balancer.Balancer. The controller still counts all servers of the list.
func (c *Controller) SetRingAssignment(p *balancer.RingAssignment) { c.balancer.SetRingAssignment(p) }

// TenantStats returns the balancer's statistics of tenants, including the requests that the controller
// itself rejected.
func (c *Controller) TenantStats() []balancer.TenantStats {
	all := c.balancer.TenantStats()
	for i := range all {
		n := c.rejected[all[i].Tenant]
		all[i].Requests += n
		all[i].Rejected += n
	}
	return all
}

// countRejected counts a rejected request for its tenant. Tenants that are not in the settings are counted
// together, because clients can invent any number of them.
func (c *Controller) countRejected(tenant string) {
	if _, known := c.rejected[tenant]; !known {
		tenant = balancer.NoTenant
	}
	c.rejected[tenant]++
}
