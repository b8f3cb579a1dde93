package search

import (
	"hash/maphash"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// proposerSettings are those of each voter's proposer.
func (s *search) proposerSettings() maintenance.ProposerSettings {
	set := maintenance.ProposerSettings{
		Times: policy.Times{Terms: terms}, MaxInFlight: maxInFlight * 12 * time.Second,
		ClockMargin: clockMargin * 12 * time.Second,
	}
	switch s.setup.Without {
	case "linger":
		set.MaxInFlight = 1
	case "fence":
		set.Times.Terms.Duration, set.Times.Terms.MaxKnowledgeAge = 1, 1
	}
	return set
}

// learn has a proposer learn the agreed state at a time, with the fingerprints that it has later.
func (s *search) learn(c *maintenance.Proposer, p *logPosition, now, later int) voter {
	c = c.Fork()
	c.Learn(reading(now), p.stateMachine)
	return voter{known: p.depth, fingerprints: s.fingerprintsOf(c, later), proposer: c}
}

// fingerprintsOf is the fingerprints of a proposer at a time.
func (s *search) fingerprintsOf(c *maintenance.Proposer, now int) (all fingerprints) {
	for d := range all {
		fingerprint := c.Fingerprint(reading(now), maxAge*stepLength, maintenance.FingerprintDetail(d), nil)
		all[d] = maphash.Bytes(s.seed, fingerprint)
	}
	return all
}

// leaderResult is a proposer after it has checked windows as the leader's.
type leaderResult struct {
	proposer     *maintenance.Proposer
	fingerprints fingerprints
	changed      bool // the council itself
	records      []*proposal
}

// lead has a proposer check windows as the leader's, with a fault where kind is voterSeesFault.
func (s *search) lead(c *maintenance.Proposer, at int, kind stepKind) (l leaderResult) {
	c, now := c.Fork(), reading(at)
	before := s.fingerprintsOf(c, at)
	count := maintenance.TenantCounts{Tenant: "east", Requests: 100, Served: 100}
	if kind == voterSeesFault {
		count.Served, count.Failed = 50, 50
	}
	c.SetReports(now, []maintenance.TenantCounts{count})
	records, _ := c.Due(now, func() maintenance.LeaderView {
		return maintenance.LeaderView{
			Standing: lease.Full, Active: s.active[policy.ModeFull], InForce: 1,
			Servers: []maintenance.Server{{ID: "n", Capacity: 1}, {ID: "m", Capacity: 9}},
		}
	})
	c.ResetRetries()
	l.proposer, l.fingerprints = c, s.fingerprintsOf(c, at)
	l.changed = l.fingerprints != before
	for _, r := range records {
		l.records = append(l.records, s.proposal(r))
	}
	return l
}

// agentAt is an agent that has learnt a state.
func (s *search) agentAt(m *maintenance.StateMachine) *maintenance.Agent {
	turns := 1 // each server has its turn: the window is in it
	if s.setup.Without == "turns" {
		turns = 0
	}
	a := maintenance.NewAgent(turns)
	a.Learn(m)
	return a
}
