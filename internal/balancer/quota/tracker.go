package quota

import (
	"cmp"
	"math"
	"time"
)

const (
	roundGain = 0.3 // weight of a round's arrivals in the means
	peerGain  = 0.5 // weight of the mean that another agent sends
	// meanSettleTime is how long the mean arrivals over all agents take, from the first request on, until they
	// can be used: they start at nothing, and by too low a total every tenant would look within its quota.
	meanSettleTime = 8 * time.Second
)

// Tracker tracks the tenants' quotas at one agent.
type Tracker struct {
	balancers float64 // agents
	hasGossip bool
	tenants   map[string]*bucket
	inOrder   []*bucket // in the order of Add, for a total that is the same each time
	totalRate float64   // of all quotas, requests a second

	arrivedThisRound    float64 // requests
	localRate, meanRate float64 // requests a second here, and the mean over all agents
	surge               surgeRate
	settledBy           time.Duration // see meanSettleTime; zero: no request yet
}

// New returns the Tracker of one of so many agents. With gossip, they exchange their arrivals.
func New(balancers int, hasGossip bool) *Tracker {
	return &Tracker{balancers: float64(balancers), hasGossip: hasGossip, tenants: map[string]*bucket{}}
}

// Add adds a tenant with its quota in requests a second; zero or less is unlimited.
func (t *Tracker) Add(tenant string, perSecond float64) {
	b := &bucket{perSecond: perSecond}
	t.tenants[tenant], t.inOrder = b, append(t.inOrder, b)
	t.totalRate += max(perSecond, 0)
}

// SetRate changes a tenant's quota, in requests a second, from now on; zero or less is unlimited. Its bucket
// stays as full as it was, in proportion, so that a tenant can neither spend what it saved by a larger quota
// nor is rejected because its quota has just grown; one that was unlimited starts with a full bucket. An
// unknown tenant, the quota that it has already, and one that is not a finite number change nothing.
func (t *Tracker) SetRate(now time.Duration, tenant string, perSecond float64) {
	b := t.tenants[tenant]
	if b == nil || perSecond == b.perSecond || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return
	}
	fraction, fullness := t.ArrivalFraction(now), 1.0
	if b.perSecond > 0 {
		b.refill(now, b.perSecond*fraction)
		fullness = b.tokens / burst(b.perSecond*fraction)
	}
	b.perSecond, b.updatedAt, b.tokens = perSecond, now, fullness*burst(perSecond*fraction)
	t.totalRate = 0
	for _, b := range t.inOrder {
		t.totalRate += max(b.perSecond, 0)
	}
}

// SetBalancers sets the number of live agents, at least one, from now on: the mean that they tell one another
// is over those.
func (t *Tracker) SetBalancers(balancers int) { t.balancers = float64(max(balancers, 1)) }

// IsOverQuota counts a request, and reports whether it is likely beyond its tenant's quota.
func (t *Tracker) IsOverQuota(now time.Duration, tenant string) bool {
	t.settledBy = cmp.Or(t.settledBy, now+meanSettleTime)
	t.arrivedThisRound++
	t.surge.add(now)
	b := t.tenants[tenant]
	if b == nil || b.perSecond <= 0 {
		return false
	}
	b.refill(now, b.perSecond*t.ArrivalFraction(now))
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}

// ArrivalFraction is this agent's fraction of all arrivals, from 0 to 1. Without gossip it is found as if all
// traffic together were as large as the quotas.
func (t *Tracker) ArrivalFraction(now time.Duration) float64 {
	local := t.localRate
	if now >= t.settledBy {
		local = max(local, t.surge.lowerBound(now))
	}
	switch {
	case t.localRate == 0:
		return 1 / t.balancers
	case t.hasGossip:
		return local / max(t.meanRate*t.balancers, local)
	}
	return min(local/t.totalRate, 1)
}

// EndRound ends a round of a second. It returns the mean to send to other agents, in requests a second, or
// false where there are no quotas.
func (t *Tracker) EndRound() (mean float64, send bool) {
	t.localRate += roundGain * (t.arrivedThisRound - t.localRate)
	t.arrivedThisRound = 0
	t.meanRate += roundGain * (t.localRate - t.meanRate)
	return t.meanRate, t.totalRate > 0
}

// RecordPeerMean takes in the mean that another agent sends, in requests a second.
func (t *Tracker) RecordPeerMean(mean float64) { t.meanRate += peerGain * (mean - t.meanRate) }

// Rates are the arrivals here and the mean over all agents, in requests a second.
func (t *Tracker) Rates() (local, mean float64) { return t.localRate, t.meanRate }

// Restore takes over what Rates returned before a restart.
func (t *Tracker) Restore(now time.Duration, local, mean float64) {
	if t.localRate, t.meanRate = local, mean; mean > 0 {
		t.settledBy = now
	}
}

// Tokens is what a tenant has saved up, in requests, and when that was so; zero for an unknown one.
func (t *Tracker) Tokens(tenant string) (requests float64, at time.Duration) {
	if b := t.tenants[tenant]; b != nil {
		return b.tokens, b.updatedAt
	}
	return 0, 0
}

// SetTokens takes over what Tokens returned before a restart; an unknown tenant's are dropped.
func (t *Tracker) SetTokens(tenant string, requests float64, at time.Duration) {
	if b := t.tenants[tenant]; b != nil {
		b.tokens, b.updatedAt = requests, at
	}
}
