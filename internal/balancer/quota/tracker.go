package quota

import (
	"cmp"
	"math"
	"time"
)

const (
	roundGain = 0.3 // weight of a round's arrivals in the means
	peerGain  = 0.5 // weight of a mean that another agent sent
	// meanSettleTime is the time from the first request until the mean arrivals over all agents have settled.
	// They start at zero; with too low a total, every tenant would seem to be within its quota.
	meanSettleTime = 8 * time.Second
)

// Tracker tracks the tenants' quotas at one agent.
type Tracker struct {
	balancers float64 // number of agents
	hasGossip bool
	tenants   map[string]*bucket
	inOrder   []*bucket // in the order of Add, so that each sum over them is the same
	totalRate float64   // sum of all quotas, requests a second

	arrivedThisRound    float64 // requests
	localRate, meanRate float64 // requests a second here, and the mean over all agents
	surge               surgeRate
	settledBy           time.Duration // end of meanSettleTime; zero before the first request
}

// New returns the Tracker of one of the given number of agents. With gossip, they exchange their arrivals.
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
// keeps its ratio of tokens to capacity, so that a tenant can neither spend tokens saved under a larger quota
// nor is rejected because its quota has just grown. A tenant that was unlimited starts with a full bucket. An
// unknown tenant, an unchanged quota and a quota that is not a finite number have no effect.
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

// SetBalancers sets the number of live agents, at least one, over which the exchanged mean is taken from now
// on.
func (t *Tracker) SetBalancers(balancers int) { t.balancers = float64(max(balancers, 1)) }

// IsOverQuota counts a request and reports whether it is likely beyond its tenant's quota.
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

// ArrivalFraction returns this agent's fraction of all arrivals, from 0 to 1. Without gossip, it assumes that
// all arrivals together equal the sum of the quotas.
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

// EndRound ends a round of one second. It returns the mean for the other agents, in requests a second, and
// whether to send it, which is false without quotas.
func (t *Tracker) EndRound() (mean float64, send bool) {
	t.localRate += roundGain * (t.arrivedThisRound - t.localRate)
	t.arrivedThisRound = 0
	t.meanRate += roundGain * (t.localRate - t.meanRate)
	return t.meanRate, t.totalRate > 0
}

// RecordPeerMean records the mean that another agent sent, in requests a second.
func (t *Tracker) RecordPeerMean(mean float64) { t.meanRate += peerGain * (mean - t.meanRate) }

// Rates returns the arrivals at this agent and the mean over all agents, in requests a second.
func (t *Tracker) Rates() (local, mean float64) { return t.localRate, t.meanRate }

// Restore restores the rates that Rates returned before a restart.
func (t *Tracker) Restore(now time.Duration, local, mean float64) {
	if t.localRate, t.meanRate = local, mean; mean > 0 {
		t.settledBy = now
	}
}

// Tokens returns the tokens of a tenant, in requests, and the time of their last refill. Both are zero for an
// unknown tenant.
func (t *Tracker) Tokens(tenant string) (requests float64, at time.Duration) {
	if b := t.tenants[tenant]; b != nil {
		return b.tokens, b.updatedAt
	}
	return 0, 0
}

// SetTokens restores what Tokens returned before a restart. It ignores an unknown tenant.
func (t *Tracker) SetTokens(tenant string, requests float64, at time.Duration) {
	if b := t.tenants[tenant]; b != nil {
		b.tokens, b.updatedAt = requests, at
	}
}
