package policylog

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/control/policy/judge"
	"dunestep/internal/fleet"
	"dunestep/internal/fleet/fleetlab"
	"dunestep/internal/fleet/hunting"
	"dunestep/internal/fleet/lease"
)

// played is a fleet of complete nodes with policies, and the judge of what they decide.
type played struct {
	*fleetlab.Lab
	t        *testing.T
	adapters []*Adapter
	judge    *judge.Judge
	history  *judge.History
	known    uint64 // versions that the judge knows
	proposed int
	waiting  []string                     // proposals whose outcome is not known yet
	first    map[uint64]map[int]time.Time // when each agent first acted on a version
	course   uint64                       // a hash of all decisions, which differs between courses
}

var own = policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
	Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}},
	Classes: []balancer.Class{{Name: "find"}, {Name: "book"}},
	Limits:  balancer.Limits{MaxAttempts: 3, Hedging: true},
}}

func document(n int) string {
	return fmt.Sprintf("format = 1\n[tenants.east]\nshare = %.3f\n[tenants.west]\nshare = 0.3\n[classes.find]\nattempts = 2\n",
		0.4+0.001*float64(n%200))
}

func version(t *testing.T, v policy.Version) judge.Version {
	d, err := policy.ParseDocument("test", v.Document)
	require.NoError(t, err)
	effect, err := d.Effect(own)
	require.NoError(t, err)
	return judge.Version{Number: v.Number, EffectiveAt: v.EffectiveAt, Effect: effect, Floor: d.Floor().Effect(own)}
}

func play(t *testing.T, o fleetlab.Options, weaken func(agent int) policy.LocalSettings) *played {
	floor := policy.InitialFloor()
	whole, err := policy.ParseDocument("test", []byte("format = 1\n"))
	require.NoError(t, err)
	effect, err := whole.Effect(own)
	require.NoError(t, err)
	// Clocks may be off by 100 ms each, and by what the judge hears of late.
	p := &played{
		t: t, adapters: make([]*Adapter, o.Agents), first: map[uint64]map[int]time.Time{},
		history: judge.NewHistory(200 * time.Millisecond),
		judge:   judge.New(200*time.Millisecond, judge.Version{Effect: effect, Floor: floor.Effect(own)}),
	}
	o.Application = func(set *fleet.Settings, now fleet.ClockReading) {
		mine := own
		if weaken != nil {
			mine = weaken(set.Self)
		}
		s := New(Settings{
			Self: set.Self, IsVoter: set.IsVoter(), Incarnation: set.Incarnation,
			MachineNumber: uint8(len(set.Machines)), Local: mine, Times: policy.Times{Terms: set.Terms},
		}, now)
		set.Machines, set.Application = append(set.Machines, s), s
		p.adapters[set.Self] = s
	}
	o.OnDecision = p.decided
	o.Act = func(agent int) { p.propose(agent, 1500*time.Millisecond) }
	p.Lab = fleetlab.New(o)
	p.StartAll()
	p.Run(12 * time.Second)
	return p
}

func (p *played) decided(agent int, at time.Time, now fleet.ClockReading, n *fleet.Node) {
	s := p.adapters[agent]
	if s == nil {
		return
	}
	if v := s.State().InForce; v.Number > p.known {
		p.known = v.Number
		p.judge.VersionActivated(time.Duration(at.UnixNano()), version(p.t, v))
	}
	a := s.Active(now, n.Standing(now))
	p.judge.DecisionMade(judge.Decision{At: time.Duration(at.UnixNano()), Agent: agent, Mode: a.Mode, Version: a.Version})
	p.course = (p.course^uint64(at.UnixNano())^uint64(agent)<<48^uint64(a.Mode)<<40^a.Version)*0x9e3779b97f4a7c15 + 1
	if a.Mode == policy.ModeFull {
		p.history.VersionRead(time.Duration(at.UnixNano()), time.Duration(at.UnixNano()), a.Version)
		if p.first[a.Version] == nil {
			p.first[a.Version] = map[int]time.Time{}
		}
		if _, is := p.first[a.Version][agent]; !is {
			p.first[a.Version][agent] = at
		}
	}
}

// propose has an agent propose a document, if it runs.
func (p *played) propose(agent int, within time.Duration) (id string) {
	return p.proposeDocument(agent, document(p.proposed+1), within)
}

func (p *played) proposeDocument(agent int, text string, within time.Duration) (id string) {
	if p.Node(agent) == nil {
		return ""
	}
	p.proposed++
	id = fmt.Sprint("p", p.proposed)
	now := p.Reading(agent)
	record, err := p.adapters[agent].EncodeProposal(now, id, []byte(text), now.Unix+within)
	require.NoError(p.t, err)
	p.history.ProposalMade(time.Duration(p.World.Now().UnixNano()), id)
	p.waiting = append(p.waiting, id)
	p.ProposeRecord(agent, 1, record)
	return id
}

// ask asks some agent for the outcomes of the proposals; at the end one that no agent knows was rejected.
func (p *played) ask(end bool) {
	left := p.waiting[:0]
	for i, id := range p.waiting {
		agent := (i + p.proposed) % len(p.adapters)
		o := policy.Outcome{}
		if p.Node(agent) != nil {
			o = p.adapters[agent].Outcome(id)
		}
		switch now := time.Duration(p.World.Now().UnixNano()); {
		case o.Status == policy.StatusAccepted:
			p.history.ProposalAnswered(now, id, o.Version, o.EffectiveAt)
		case o.Status == policy.StatusRejected || end:
			p.history.ProposalAnswered(now, id, 0, 0)
		default:
			left = append(left, id)
		}
	}
	p.waiting = left
}

// TestEffectiveAtAllAgents: a policy takes effect at all agents at its time. With all up that takes less than a second
// and a half, with a fifth down or cut off until their leases have expired; and these have it before they act again.
func TestEffectiveAtAllAgents(t *testing.T) {
	for name, hurt := range map[string]func(p *played, agent int){
		"all up": nil, "down": func(p *played, a int) { p.Kill(a) }, "cut off": func(p *played, a int) { p.Isolate(a, true) },
	} {
		p := play(t, fleetlab.Options{Agents: 30, Voters: 3, Seed: 2}, nil)
		if hurt != nil {
			for a := 1; a < 30; a += 5 {
				hurt(p, a)
			}
		}
		began := p.World.Now()
		id := p.propose(2, time.Second)
		for range 1200 {
			p.Run(10 * time.Millisecond)
			p.Decide()
		}
		require.Equal(t, policy.StatusAccepted, p.adapters[2].Outcome(id).Status, name)
		last := time.Duration(0)
		for agent, at := range p.first[1] {
			if hurt == nil || agent%5 != 1 {
				last = max(last, at.Sub(began))
			}
		}
		want := 30
		if hurt != nil {
			want = 24
		}
		require.Len(t, p.first[1], want, name)
		t.Logf("%s: in force at all that are there after %v", name, last)
		require.Less(t, last, 8*time.Second, name)
		if hurt == nil {
			require.Less(t, last, 1500*time.Millisecond)
		}
		p.Settle(10 * time.Second)
		p.Decide()
		require.Len(t, p.first[1], 30, name)
		require.Empty(t, p.judge.Violations, name)
		require.Empty(t, p.Violations(), name)
	}
}

// TestOneRejectionIsEnough: where one live agent cannot use a document, it takes effect nowhere, and the outcome has the
// agent's reason.
func TestOneRejectionIsEnough(t *testing.T) {
	p := play(t, fleetlab.Options{Agents: 12, Voters: 3, Seed: 3}, func(agent int) policy.LocalSettings {
		o := own
		if agent == 7 {
			o.Settings.Limits.MaxAttempts = 1
		}
		return o
	})
	id := p.propose(2, time.Second)
	p.Run(8 * time.Second)
	o := p.adapters[2].Outcome(id)
	require.Equal(t, policy.StatusRejected, o.Status)
	require.Equal(t, 7, o.Agent)
	require.Contains(t, o.Reason(), "attempts")
	require.Empty(t, p.first[1])
	require.Empty(t, p.judge.Violations)
}

// TestWrongClock: an agent whose clock is set forward or back by five seconds acts within the floor until it is right
// again, and no other agent is affected; also where it is a voter or the leader.
func TestWrongClock(t *testing.T) {
	for _, off := range []time.Duration{5 * time.Second, -5 * time.Second} {
		for _, leads := range []bool{false, true} {
			p := play(t, fleetlab.Options{Agents: 9, Voters: 3, Seed: 4}, nil)
			agent := 1
			if leads {
				agent = p.Leader()
			}
			p.World.SetClock(uint32(agent), off)
			p.Decide()
			p.propose((agent+1)%9, time.Second)
			for range 800 {
				p.Run(10 * time.Millisecond)
				p.Decide()
			}
			require.Equal(t, lease.Floor, p.Node(agent).Standing(p.Reading(agent)))
			require.Len(t, p.first[1], 8)
			p.Settle(10 * time.Second)
			p.Decide()
			require.Len(t, p.first[1], 9)
			require.Empty(t, p.judge.Violations)
		}
	}
}

// hunt plays a seed with faults, and a proposal every four seconds.
func hunt(t *testing.T, o fleetlab.Options, rounds int) *played {
	o.ClocksWithin = 100 * time.Millisecond
	p := play(t, o, nil)
	for range rounds {
		p.Do(fleetlab.Fault{Kind: fleetlab.ApplicationAct, Agent: int(o.Seed+uint64(p.proposed)) % o.Agents})
		p.Hunt(4 * time.Second)
		p.ask(false)
	}
	return p
}

// TestSafetyUnderFaults: whatever happens to the network, processes, disks and clocks, no decision is made under an older
// version after one under a newer, and none of a cut-off agent that the version in force does not allow; and one register
// that each proposal changes once explains what was seen. Long: LONG_TESTS.
func TestSafetyUnderFaults(t *testing.T) {
	rows := []hunting.Row{{Agents: 7, To: 25}}
	if os.Getenv("LONG_TESTS") != "" {
		rows = []hunting.Row{{Agents: 5, To: 1000}, {Agents: 50, To: 1000}, {Agents: 300, To: 1000}}
	}
	for _, r := range hunting.SelectRows(rows) {
		taken, full, voters := 0, 0, 3
		if r.Agents >= 50 {
			voters = 5
		}
		for seed := r.From; seed < r.To; seed++ {
			p := hunt(t, fleetlab.Options{Agents: r.Agents, Voters: voters, Seed: seed}, 12)
			p.Settle(40 * time.Second)
			p.ask(true)
			require.Empty(t, p.Violations(), seed)
			require.Empty(t, p.judge.Violations, seed)
			require.True(t, p.history.IsLinearizable(), seed)
			require.Nil(t, p.adapters[0].State().OpenChange, seed)
			taken += int(p.adapters[0].State().InForce.Number)
			full += p.judge.Decisions[policy.ModeFull]
			r.Log(t, seed, "%d changes, %d decisions, course %x", p.adapters[0].State().InForce.Number,
				p.judge.Decisions[policy.ModeFull], p.course)
		}
		t.Logf("%d agents: seeds %d to %d, 12 changes tried in each, numbers up to %d in all, %d decisions in full", r.Agents,
			r.From, r.To-1, taken, full)
		require.Positive(t, taken)
	}
}

// weaknesses are protections that complete nodes lack.
var weaknesses = map[string]func(*fleet.Settings){
	"leases last longer than agreed": func(s *fleet.Settings) { s.Terms.Duration = 12 * time.Second },
	"voters grant on what they knew": func(s *fleet.Settings) { s.Terms.MaxKnowledgeAge, s.Terms.MaxPause = time.Minute, time.Hour },
}

// TestMissingProtectionIsFound: a protection that complete nodes lack is missed within 200 seeds, by the judge of
// decisions and by the history.
func TestMissingProtectionIsFound(t *testing.T) {
	for name, weaken := range weaknesses {
		judged, explained := false, true
		seed := uint64(0)
		for ; seed < 200 && (!judged || explained); seed++ {
			p := hunt(t, fleetlab.Options{Agents: 5, Voters: 3, Seed: seed, Weaken: weaken}, 12)
			p.Settle(40 * time.Second)
			p.ask(true)
			judged = judged || len(p.judge.Violations) > 0
			explained = explained && p.history.IsLinearizable()
		}
		t.Logf("%s: missed by both within %d seeds", name, seed)
		require.True(t, judged && !explained, name)
	}
}

// scenario is a script by which a missing protection is found, as it is stored.
type scenario struct {
	Without string           `json:"without"`
	Says    string           `json:"says"` // what the judge reports without the protection
	Agents  int              `json:"agents"`
	Voters  int              `json:"voters"`
	Seed    uint64           `json:"seed"`
	Script  []fleetlab.Fault `json:"script"`
}

// violation plays a scenario and returns what the judge of decisions reports first; empty: nothing.
func (s scenario) violation(t *testing.T, weaken func(*fleet.Settings)) string {
	o := fleetlab.Options{Agents: s.Agents, Voters: s.Voters, Seed: s.Seed, Weaken: weaken, ClocksWithin: 100 * time.Millisecond}
	p := play(t, o, nil)
	p.Play(s.Script)
	for range 75 { // changes that are open go on
		p.Run(200 * time.Millisecond)
		p.Decide()
	}
	if len(p.judge.Violations) == 0 {
		return ""
	}
	return p.judge.Violations[0].Reason
}

func file(name string) string {
	return filepath.Join("testdata", strings.ReplaceAll(name, " ", "-")+".json")
}

// TestScenarios: the shortest script by which a missing protection was found fails without the protection by at least one of
// four seeds, and by none with it.
func TestScenarios(t *testing.T) {
	kept, err := filepath.Glob(file("*"))
	require.NoError(t, err)
	require.NotEmpty(t, kept)
	for _, name := range kept {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		var s scenario
		require.NoError(t, json.Unmarshal(data, &s))
		weaken := weaknesses[s.Without]
		require.NotNil(t, weaken, name)
		missed, first := 0, s.Seed
		for ; s.Seed < first+4; s.Seed++ {
			if s.violation(t, weaken) != "" {
				missed++
			}
			require.Empty(t, s.violation(t, nil), "%s, seed %d", name, s.Seed)
		}
		t.Logf("%s: %d steps, missed by %d of 4 seeds", name, len(s.Script), missed)
		require.Positive(t, missed, "%s: make a new one, see TestShorten", name)
	}
}

// TestShorten makes the scenarios anew: SHORTEN=1. The scripts of the first seeds by which a missing protection is found are
// shortened, and the shortest is stored.
func TestShorten(t *testing.T) {
	if os.Getenv("SHORTEN") == "" {
		t.Skip("it writes testdata; SHORTEN=1")
	}
	for name, weaken := range weaknesses {
		var best scenario
		found := 0
		for seed := uint64(0); found < 3; seed++ {
			s := scenario{Without: name, Agents: 5, Voters: 3, Seed: seed}
			s.Script = hunt(t, fleetlab.Options{Agents: s.Agents, Voters: s.Voters, Seed: seed, Weaken: weaken}, 12).Script()
			fails := func(script []fleetlab.Fault) bool {
				r := s
				r.Script = script
				return r.violation(t, weaken) != "" && r.violation(t, nil) == ""
			}
			if !fails(s.Script) {
				continue
			}
			found++
			s.Script = fleetlab.Shorten(s.Script, fails)
			s.Says = s.violation(t, weaken)
			t.Logf("%s, seed %d: %d steps: %s", name, seed, len(s.Script), s.Says)
			if len(best.Script) == 0 || len(s.Script) < len(best.Script) {
				best = s
			}
		}
		data, err := json.MarshalIndent(best, "", "  ")
		require.NoError(t, err)
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(file(name), append(data, '\n'), 0o644))
	}
}
