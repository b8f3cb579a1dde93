// Package quota says whether a request is likely beyond its tenant's share of the service, at one of several
// balancers that see a part of the traffic each.
//
// A tenant's share is the whole service's. What part of it is this balancer's is its part of all arrivals:
// the mean over all balancers is found by gossip, each one told moves halfway to it. No message makes a
// share larger for good: what is told fades with each round.
//
// It does no input or output, and knows no clock: every call brings the time. The same calls give the same
// answers. A Tracker is not safe for concurrent use.
package quota

import (
	"cmp"
	"math"
	"time"
)

const (
	roundGain     = 0.3 // of a round's arrivals in the mean
	peerGain      = 0.5 // of what another balancer tells
	minBurst      = 3.0 // requests: a small balancer meets a tenant now and then, not evenly
	surgeHalfLife = 250 * time.Millisecond
	// meanSettleTime is how long the mean arrivals over all balancers take, from the first request on, till they
	// can be gone by: they begin at nothing. By too low a total every tenant would look within its share.
	meanSettleTime = 8 * time.Second
)

// Tracker is what one balancer knows of the tenants' shares.
type Tracker struct {
	balancers float64
	hasGossip bool
	tenants   map[string]*bucket
	inOrder   []*bucket // in the order of Add, for a total that is the same each time
	totalRate float64   // of all shares, requests a second

	localRate, arrivedThisRound, meanRate float64 // requests a second, in this round, and the mean over all balancers
	surge                                 surgeRate
	settledBy                             time.Duration // see meanSettleTime; zero: nothing came yet
}

type bucket struct {
	perSecond, tokens float64
	updatedAt         time.Duration
}

// New returns a Tracker of one of so many balancers. Peers tells whether they tell one another of their
// arrivals.
func New(balancers int, peers bool) *Tracker {
	return &Tracker{balancers: float64(balancers), hasGossip: peers, tenants: map[string]*bucket{}}
}

// Add enters a tenant with its share in requests a second; none, zero or less, is never exceeded.
func (b *Tracker) Add(tenant string, perS float64) {
	t := &bucket{perSecond: perS}
	b.tenants[tenant], b.inOrder = t, append(b.inOrder, t)
	b.totalRate += max(perS, 0)
}

// SetRate changes a tenant's share to another one, in requests a second, from now on; as with Add, none is never
// exceeded. Its bucket stays as full as it was, in proportion: guards against a tenant whose share shrinks
// spending what it saved by the larger one, and against refusing one whose share has just grown. One that had
// no share before has saved all it may. An unknown tenant, the share that it has already, and one that is not
// a finite number change nothing.
func (b *Tracker) SetRate(now time.Duration, tenant string, perS float64) {
	t := b.tenants[tenant]
	if t == nil || perS == t.perSecond || math.IsNaN(perS) || math.IsInf(perS, 0) {
		return
	}
	part, full := b.ArrivalFraction(now), 1.0
	if t.perSecond > 0 {
		t.refill(now, t.perSecond*part)
		full = t.tokens / burst(t.perSecond*part)
	}
	t.perSecond, t.updatedAt, t.tokens = perS, now, full*burst(perS*part)
	b.totalRate = 0
	for _, t := range b.inOrder {
		b.totalRate += max(t.perSecond, 0)
	}
}

// SetBalancers has so many balancers be there from now on, at least one: the mean that they tell one another is that
// of those that are there.
func (b *Tracker) SetBalancers(balancers int) { b.balancers = float64(max(balancers, 1)) }

// size is the most that is saved up at so many requests a second.
func burst(rate float64) float64 { return max(rate, minBurst) }

// save adds what has come together since the last time.
func (t *bucket) refill(now time.Duration, rate float64) {
	t.tokens = min(t.tokens+rate*(now-t.updatedAt).Seconds(), burst(rate))
	t.updatedAt = now
}

// IsOverQuota counts a request that came, and tells whether it is likely beyond its tenant's share.
func (b *Tracker) IsOverQuota(now time.Duration, tenant string) bool {
	b.settledBy = cmp.Or(b.settledBy, now+meanSettleTime)
	b.arrivedThisRound++
	b.surge.add(now)
	t := b.tenants[tenant]
	if t == nil || t.perSecond <= 0 {
		return false
	}
	t.refill(now, t.perSecond*b.ArrivalFraction(now))
	if t.tokens < 1 {
		return true
	}
	t.tokens--
	return false
}

// ArrivalFraction is this balancer's part of all arrivals, from 0 to 1: without peers as if all traffic together met the
// shares.
func (b *Tracker) ArrivalFraction(now time.Duration) float64 {
	here := b.localRate
	if now >= b.settledBy {
		here = max(here, b.surge.lowerBound(now))
	}
	switch {
	case b.localRate == 0:
		return 1 / b.balancers
	case b.hasGossip:
		return here / max(b.meanRate*b.balancers, here)
	}
	return min(here/b.totalRate, 1)
}

// EndRound ends a round of a second. It returns the mean to tell other balancers, or false where there are no
// shares.
func (b *Tracker) EndRound() (mean float64, tell bool) {
	b.localRate += roundGain * (b.arrivedThisRound - b.localRate)
	b.arrivedThisRound = 0
	b.meanRate += roundGain * (b.localRate - b.meanRate)
	return b.meanRate, b.totalRate > 0
}

// RecordPeerMean takes in the mean that another balancer tells, in requests a second.
func (b *Tracker) RecordPeerMean(mean float64) { b.meanRate += peerGain * (mean - b.meanRate) }

// Rates are the arrivals a second here, and the mean over all balancers.
func (b *Tracker) Rates() (here, mean float64) { return b.localRate, b.meanRate }

// Restore takes over what Rates gave before a restart.
func (b *Tracker) Restore(now time.Duration, here, mean float64) {
	if b.localRate, b.meanRate = here, mean; mean > 0 {
		b.settledBy = now
	}
}

// Tokens is what a tenant has saved up, in requests, and when that was so; nothing for an unknown one.
func (b *Tracker) Tokens(tenant string) (requests float64, at time.Duration) {
	if t := b.tenants[tenant]; t != nil {
		return t.tokens, t.updatedAt
	}
	return 0, 0
}

// SetTokens takes over what Tokens gave before a restart; an unknown tenant's is dropped.
func (b *Tracker) SetTokens(tenant string, requests float64, at time.Duration) {
	if t := b.tenants[tenant]; t != nil {
		t.tokens, t.updatedAt = requests, at
	}
}

// surge is how many requests came in the last moments. Guards against a mean over rounds that takes seconds
// to follow when clients move here from another balancer: till then their requests would be taken for more
// than their tenants' shares, though all balancers together get no more than before.
type surgeRate struct {
	weight    float64
	updatedAt time.Duration
}

func (s *surgeRate) add(now time.Duration) {
	s.decay(now)
	s.weight++
}

func (s *surgeRate) decay(now time.Duration) {
	if now == s.updatedAt {
		return // asked several times for each request
	}
	s.weight *= math.Exp2(-float64(now-s.updatedAt) / float64(surgeHalfLife))
	s.updatedAt = now
}

// surely is the rate a second that the weight stands for, less two standard deviations of what chance makes
// of it: a balancer that gets a request now and then sees no surge in each.
func (s *surgeRate) lowerBound(now time.Duration) float64 {
	s.decay(now)
	return max(s.weight-math.Sqrt(2*s.weight), 0) * math.Ln2 / surgeHalfLife.Seconds()
}
