package overload

import "dunestep/internal/balancer"

// SetConfig changes the configuration; what is under way goes on by the new one. It fails, and changes
// nothing, where a number cannot be used.
func (c *Controller) SetConfig(config Config) error {
	config, err := config.withDefaults()
	if err != nil {
		return err
	}
	c.configured = config
	c.updateConfig()
	return nil
}

// ApplyFleetPolicy has the controller and its balancer go by what the fleet has agreed on, from the next Step
// on: see balancer.Balancer for the tenants' quotas and the classes. The wastedFraction is an upper bound of
// Config.WastedFraction until the next ApplyFleetPolicy, whatever SetConfig says; one that is not above zero
// is none. ApplyFleetPolicy(nil, nil, 0) withdraws everything.
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

// updateConfig finds the configuration that holds.
func (c *Controller) updateConfig() {
	if c.config = c.configured; c.agreedWastedFraction > 0 {
		c.config.WastedFraction = min(c.configured.WastedFraction, c.agreedWastedFraction)
	}
	if c.config.Disabled {
		c.episode.isShedding, c.episode.announcedStart = false, 0
		c.outage.phase, c.retryStorm.isActive = phaseNormal, false
	}
}

// SetFleetSize has the controller divide what all agents together send in an outage by this number of agents,
// from now on; zero: by the settings' number. balancer.EffectiveFleetSize bounds it, so that together they
// send half as much again at the most, however wrong it is.
func (c *Controller) SetFleetSize(agents int) {
	c.agents = balancer.EffectiveFleetSize(agents, c.settings.Balancers)
}

// SetExclusions has the balancer keep tenants' keys off servers, from the next Step on: see
// balancer.Balancer. The controller admits as many requests as before.
func (c *Controller) SetExclusions(a *balancer.Exclusions) { c.balancer.SetExclusions(a) }

// SetRingAssignment has the balancer go by an agreed generation of the ring, from the next Step on: see
// balancer.Balancer. The controller goes on counting all servers of the list.
func (c *Controller) SetRingAssignment(p *balancer.RingAssignment) { c.balancer.SetRingAssignment(p) }

// TenantStats returns the balancer's statistics of tenants, and with them the requests that the controller
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

// countRejected counts a rejected request for its tenant; names that are not in the settings are counted
// together, as clients can invent any number of them.
func (c *Controller) countRejected(tenant string) {
	if _, known := c.rejected[tenant]; !known {
		tenant = balancer.NoTenant
	}
	c.rejected[tenant]++
}
