package storm

import (
	"math"
	"time"

	"dunestep/decide"
)

// share is a tenant's share of the service, as a bucket of this agent's part of it. After an outage repeats
// are not counted again, or every tenant would look over its share; but those of a tenant whose first tries
// go beyond it are, since they are what it asks too much.
type share struct {
	perSecond float64 // of all agents together
	bucket    float64
	at        time.Duration
	first     faded // tries of late
	beyond    faded // of these, beyond the share
}

const (
	shareLeast  = 3.0 // requests: a small agent meets a tenant now and then, not evenly
	shareHalf   = 2 * time.Second
	beyondShare = 0.1 // of the first tries: a tenant that goes beyond its share
)

func newShare(perSecond float64) *share {
	return &share{perSecond: perSecond, first: faded{half: shareHalf}, beyond: faded{half: shareHalf}}
}

// save adds to the bucket what has come together since the last time, at so many requests a second.
func (s *share) save(now time.Duration, rate float64) {
	s.bucket = min(s.bucket+rate*(now-s.at).Seconds(), max(rate, shareLeast))
	s.at = now
}

// set changes the share, with the bucket as full as before, in proportion: see quota.Book's Set.
func (s *share) set(now time.Duration, perSecond, part float64) {
	if perSecond == s.perSecond || math.IsNaN(perSecond) || math.IsInf(perSecond, 0) {
		return
	}
	full := 1.0
	if s.perSecond > 0 {
		s.save(now, s.perSecond*part)
		full = s.bucket / max(s.perSecond*part, shareLeast)
	}
	s.perSecond, s.at, s.bucket = perSecond, now, full*max(perSecond*part, shareLeast)
}

// overShare tells whether a request is beyond its tenant's share, and whether its repeats are to be counted.
func (g *Gate) overShare(tenant string, repeat bool) (over, counts bool) {
	s := g.shares[tenant]
	if s == nil || s.perSecond <= 0 {
		return false, true
	}
	s.save(g.now, s.perSecond*g.module.ArrivalFraction())
	over = s.bucket < 1
	if !repeat {
		s.first.add(g.now, 1)
		if over {
			s.beyond.add(g.now, 1)
		}
	}
	s.beyond.fade(g.now)
	s.first.fade(g.now)
	counts = !repeat || g.damper.phase == calm || s.beyond.weight > beyondShare*s.first.weight
	if counts && !over {
		s.bucket--
	}
	return over, counts
}

// quota is what a refusal tells of a tenant's share, where that is switched on.
func (g *Gate) quota(tenant string) decide.Quota {
	s := g.shares[tenant]
	if !g.fig.TellQuota || s == nil || s.perSecond <= 0 {
		return decide.Quota{}
	}
	return decide.Quota{PerSecond: s.perSecond * g.module.ArrivalFraction(), Remaining: max(s.bucket, 0)}
}
