package lab

import (
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/maintenance/contract"
	"dunestep/internal/control/maintenance/judge"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// key is a key of requests, with all servers in its order of preference.
type key struct {
	hash  uint32
	order []string
}

// updateContracts passes the contracts of a version that an agent acts on to the judge.
func (l *Lab) updateContracts(active policy.Active) {
	if active.Mode == policy.ModeFull && active.Version > l.contractsVersion {
		l.contractsVersion = active.Version
	}
	if active.Mode != policy.ModeBottom && active.Effect != nil {
		l.Judge.SetContracts(active.Version, active.Effect.Contracts)
	}
}

// sendRequests sends a round of requests from an agent, one for each key of each tenant, and reports its
// counts.
func (l *Lab) sendRequests(i int, now lease.ClockReading, standing lease.Standing, active policy.Active) {
	n := voters + i
	l.updateContracts(active)
	if standing == lease.Full {
		l.lastLeaseAt[i] = now
	}
	p := l.Application(n).(*application)
	exclusions := p.Exclusions(l.disableProtection(i, now, &active), standing, active)
	if l.focus == olderBuild && i == 0 {
		exclusions = nil
	}
	for _, t := range tenants {
		for _, k := range l.keys[t] {
			l.sendRequest(i, t, k, active, exclusions)
		}
	}
	l.reportCounts(i, now, p)
}

// disableProtection returns the time that an agent uses, and changes its active policy, as the disabled
// protection requires.
func (l *Lab) disableProtection(i int, now lease.ClockReading, active *policy.Active) lease.ClockReading {
	switch l.setup.Without {
	case withoutOwnClock:
		now.Unix = l.lastLeaseAt[i].Unix
	case withoutEarlyReturn:
		for _, w := range l.windows() {
			if now.Unix >= w.ReturnFrom && now.Unix < 2*w.To-w.ReturnFrom {
				now.Unix -= w.To - w.ReturnFrom
			}
		}
	case withoutContract:
		if active.Mode != policy.ModeBottom {
			e := *active.Effect
			e.Contracts = map[string]*contract.Contract{}
			for _, t := range tenants {
				e.Contracts[t] = alwaysAllowed
			}
			active.Effect = &e
		}
	}
	return now
}

// alwaysAllowed is a contract that allows any time. It is not modified.
var alwaysAllowed = func() *contract.Contract {
	c, err := contract.Table{
		Zone: "UTC", Hours: []string{"mon-sun 00:00-24:00"}, NoticeMin: 20, MaxLengthMin: 600,
		MaxPerMonth: 31, KeptCapacity: 0.1, MinServed: 0.9,
	}.Contract()
	if err != nil {
		panic(err) // the values are constants
	}
	return c
}()

// sendRequest sends a request to the first server in its key's order that is listed, not known to be down
// and not excluded. If there is none, it uses the first that is listed and not down, and otherwise the
// first listed.
func (l *Lab) sendRequest(i int, tenant string, k key, active policy.Active,
	exclusions *balancer.Exclusions,
) {
	l.Requests++
	r := judge.Request{
		At: l.Now(), ArrivesAt: l.Now() + 20*time.Millisecond, Agent: i, Incarnation: l.Incarnation(voters + i),
		Tenant: tenant, Hash: k.hash, Mode: active.Mode, Version: active.Version,
	}
	if l.Rand().IntN(10) == 0 {
		r.ArrivesAt = l.Now() + time.Duration(l.Rand().Int64N(int64(maxInFlight)))
	}
	if l.slowUntil > l.Now() {
		r.ArrivesAt = l.Now() + maxInFlight - time.Duration(l.Rand().Int64N(int64(time.Second)))
	}
	excluded, listed := "", ""
	for _, s := range k.order {
		if l.unlistedUntil[s] > l.Now() {
			continue
		}
		r.Listed++
		if listed == "" {
			listed = s
		}
		switch {
		case r.Server != "" || l.downUntil[s] > l.Now():
		case isExcluded(exclusions, tenant, k.hash, s):
			if r.Excluded = append(r.Excluded, s); excluded == "" {
				excluded = s
			}
		default:
			r.Server = s
		}
	}
	if r.Server == "" {
		r.Server, r.OverridesExclusions, r.Excluded = excluded, excluded != "", nil
	}
	if r.Server == "" {
		r.Server = listed
	}
	l.Judge.RequestSent(r)
	l.countRequest(i, r)
}

// isExcluded reports whether a server is excluded for a tenant's key.
func isExcluded(exclusions *balancer.Exclusions, tenant string, hash uint32, server string) bool {
	if exclusions == nil {
		return false
	}
	maxRank := exclusions.Tenants[tenant][server]
	return maxRank > 0 && (maxRank == 1<<32-1 || balancer.KeyRank(hash, server) < maxRank) ||
		exclusions.AllTenants != nil && exclusions.AllTenants(server, "")
}

// countRequest adds a request to the counts of the agent's next report.
func (l *Lab) countRequest(i int, r judge.Request) {
	c := l.counts[i][r.Tenant]
	if c == nil {
		c = &maintenance.TenantCounts{Tenant: r.Tenant}
		l.counts[i][r.Tenant] = c
	}
	c.Requests++
	switch {
	case r.Server == "" || l.downUntil[r.Server] > l.Now() ||
		l.underservedUntil[r.Tenant] > l.Now() && r.Hash%2 == 0:
		c.Failed++
		l.Unserved++
	default:
		c.Served++
	}
	if r.OverridesExclusions {
		c.ExclusionOverrides++
		l.ExclusionOverrides++
	}
}

// reportCounts passes an agent's counts to its application, if the report interval has passed.
func (l *Lab) reportCounts(i int, now lease.ClockReading, p *application) {
	if now.Mono < l.reportedAt[i]+maintenance.ReportInterval && now.Mono >= l.reportedAt[i] {
		return
	}
	l.reportedAt[i] = now.Mono
	var all []maintenance.TenantCounts
	for _, t := range tenants {
		if c := l.counts[i][t]; c != nil {
			all = append(all, *c)
		}
	}
	l.counts[i] = map[string]*maintenance.TenantCounts{}
	p.SetOverloaded(l.overloadedUntil[i] > l.Now())
	p.AddCounts(now, all)
}
