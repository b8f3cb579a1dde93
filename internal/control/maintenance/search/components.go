package search

import (
	"hash/maphash"
	"time"

	"dunestep/internal/control/maintenance"
	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
)

// proposerSettings returns the settings of all proposers.
func (s *search) proposerSettings() maintenance.ProposerSettings {
	settings := maintenance.ProposerSettings{
		Times: policy.Times{Terms: terms}, MaxInFlight: maxInFlight * 12 * time.Second,
		ClockMargin: clockMargin * 12 * time.Second,
	}
	switch s.setup.Without {
	case "linger":
		settings.MaxInFlight = 1
	case "fence":
		settings.Times.Terms.Duration, settings.Times.Terms.MaxKnowledgeAge = 1, 1
	}
	return settings
}

// learn returns a voter whose proposer has applied the agreed state at time now, with its fingerprints at
// time later. Times are in steps.
func (s *search) learn(c *maintenance.Proposer, p *logPosition, now, later int) voter {
	c = c.Fork()
	c.Learn(reading(now), p.stateMachine)
	return voter{applied: p.depth, fingerprints: s.fingerprintsOf(c, later), proposer: c}
}

// fingerprintsOf returns the fingerprints of a proposer at a time.
func (s *search) fingerprintsOf(c *maintenance.Proposer, now int) (all fingerprints) {
	for d := range all {
		fingerprint := c.Fingerprint(reading(now), maxAge*stepLength, maintenance.FingerprintDetail(d), nil)
		all[d] = maphash.Bytes(s.seed, fingerprint)
	}
	return all
}

// leaderResult is the result of a leader's check of its windows.
type leaderResult struct {
	proposer     *maintenance.Proposer // after the check
	fingerprints fingerprints
	changed      bool // the fingerprints changed
	records      []*proposal
}

// runAsLeader returns the result of a leader's check of its windows, with a fault if kind is voterSeesFault.
func (s *search) runAsLeader(c *maintenance.Proposer, at int, kind stepKind) (result leaderResult) {
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
	result.proposer, result.fingerprints = c, s.fingerprintsOf(c, at)
	result.changed = result.fingerprints != before
	for _, r := range records {
		result.records = append(result.records, s.proposal(r))
	}
	return result
}

// newAgentAt returns an agent that has applied a state.
func (s *search) newAgentAt(m *maintenance.StateMachine) *maintenance.Agent {
	turns := 1 // all servers are in turn, so the window always is
	if s.setup.Without == "turns" {
		turns = 0
	}
	a := maintenance.NewAgent(turns)
	a.Learn(m)
	return a
}
