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

// testFleet is a simulated fleet of complete nodes with policies, and the judge that checks their decisions.
type testFleet struct {
	*fleetlab.Lab
	t            *testing.T
	adapters     []*Adapter
	judge        *judge.Judge
	history      *judge.History
	newestJudged uint64 // the newest version that was passed to the judge
	proposed     int
	pendingIDs   []string                     // IDs of proposals without a known outcome
	firstActedAt map[uint64]map[int]time.Time // when each agent first acted on each version, by version and agent
	decisionHash uint64                       // a hash of all decisions, to compare runs
}

var testSettings = policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{
	Tenants: []balancer.Tenant{{Name: "east", QuotaPerSecond: 60}, {Name: "west", QuotaPerSecond: 40}},
	Classes: []balancer.Class{{Name: "find"}, {Name: "book"}},
	Limits:  balancer.Limits{MaxAttempts: 3, Hedging: true},
}}

func testDocument(n int) string {
	return fmt.Sprintf("format = 1\n[tenants.east]\nshare = %.3f\n[tenants.west]\nshare = 0.3\n[classes.find]\nattempts = 2\n",
		0.4+0.001*float64(n%200))
}

func judgeVersion(t *testing.T, v policy.Version) judge.Version {
	d, err := policy.ParseDocument("test", v.Document)
	require.NoError(t, err)
	effect, err := d.Effect(testSettings)
	require.NoError(t, err)
	return judge.Version{Number: v.Number, EffectiveAt: v.EffectiveAt, Effect: effect, Floor: d.Floor().Effect(testSettings)}
}

func newTestFleet(t *testing.T, o fleetlab.Options, settingsOf func(agent int) policy.LocalSettings) *testFleet {
	floor := policy.InitialFloor()
	empty, err := policy.ParseDocument("test", []byte("format = 1\n"))
	require.NoError(t, err)
	effect, err := empty.Effect(testSettings)
	require.NoError(t, err)
	// The judge tolerates 200 ms: two clocks may each be off by 100 ms, and the judge may receive a version late.
	p := &testFleet{
		t: t, adapters: make([]*Adapter, o.Agents), firstActedAt: map[uint64]map[int]time.Time{},
		history: judge.NewHistory(200 * time.Millisecond),
		judge:   judge.New(200*time.Millisecond, judge.Version{Effect: effect, Floor: floor.Effect(testSettings)}),
	}
	o.Application = func(set *fleet.Settings, now fleet.ClockReading) {
		local := testSettings
		if settingsOf != nil {
			local = settingsOf(set.Self)
		}
		s := New(Settings{
			Self: set.Self, IsVoter: set.IsVoter(), Incarnation: set.Incarnation,
			MachineNumber: uint8(len(set.Machines)), Local: local, Times: policy.Times{Terms: set.Terms},
		}, now)
		set.Machines, set.Application = append(set.Machines, s), s
		p.adapters[set.Self] = s
	}
	o.OnDecision = p.onDecision
	o.Act = func(agent int) { p.propose(agent, 1500*time.Millisecond) }
	p.Lab = fleetlab.New(o)
	p.StartAll()
	p.Run(12 * time.Second)
	return p
}

func (p *testFleet) onDecision(agent int, at time.Time, now fleet.ClockReading, n *fleet.Node) {
	s := p.adapters[agent]
	if s == nil {
		return
	}
	if v := s.State().InForce; v.Number > p.newestJudged {
		p.newestJudged = v.Number
		p.judge.VersionActivated(time.Duration(at.UnixNano()), judgeVersion(p.t, v))
	}
	a := s.Active(now, n.Standing(now))
	p.judge.DecisionMade(judge.Decision{At: time.Duration(at.UnixNano()), Agent: agent, Mode: a.Mode, Version: a.Version})
	p.decisionHash = (p.decisionHash^uint64(at.UnixNano())^uint64(agent)<<48^uint64(a.Mode)<<40^a.Version)*0x9e3779b97f4a7c15 + 1
	if a.Mode == policy.ModeFull {
		p.history.VersionRead(time.Duration(at.UnixNano()), time.Duration(at.UnixNano()), a.Version)
		if p.firstActedAt[a.Version] == nil {
			p.firstActedAt[a.Version] = map[int]time.Time{}
		}
		if _, known := p.firstActedAt[a.Version][agent]; !known {
			p.firstActedAt[a.Version][agent] = at
		}
	}
}

// propose lets an agent propose the next document, if the agent runs. It returns the proposal's ID.
func (p *testFleet) propose(agent int, within time.Duration) (id string) {
	return p.proposeDocument(agent, testDocument(p.proposed+1), within)
}

func (p *testFleet) proposeDocument(agent int, text string, within time.Duration) (id string) {
	if p.Node(agent) == nil {
		return ""
	}
	p.proposed++
	id = fmt.Sprint("p", p.proposed)
	now := p.Reading(agent)
	record, err := p.adapters[agent].EncodeProposal(now, id, []byte(text), now.Unix+within)
	require.NoError(p.t, err)
	p.history.ProposalMade(time.Duration(p.World.Now().UnixNano()), id)
	p.pendingIDs = append(p.pendingIDs, id)
	p.ProposeRecord(agent, 1, record)
	return id
}

// pollOutcomes polls agents for the outcomes of pending proposals and passes them to the history. At the end, a proposal whose
// outcome is unknown counts as rejected.
func (p *testFleet) pollOutcomes(end bool) {
	pending := p.pendingIDs[:0]
	for i, id := range p.pendingIDs {
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
			pending = append(pending, id)
		}
	}
	p.pendingIDs = pending
}

// TestEffectiveAtAllAgents checks that a policy takes effect at all agents: within 1.5 s if all are up, and once the leases
// of the others have expired if a fifth of the agents is down or cut off. These apply the policy before they act again.
func TestEffectiveAtAllAgents(t *testing.T) {
	for name, disable := range map[string]func(p *testFleet, agent int){
		"all up": nil, "down": func(p *testFleet, a int) { p.Kill(a) }, "cut off": func(p *testFleet, a int) { p.Isolate(a, true) },
	} {
		p := newTestFleet(t, fleetlab.Options{Agents: 30, Voters: 3, Seed: 2}, nil)
		if disable != nil {
			for a := 1; a < 30; a += 5 {
				disable(p, a)
			}
		}
		began := p.World.Now()
		id := p.propose(2, time.Second)
		for range 1200 {
			p.Run(10 * time.Millisecond)
			p.CheckDecisions()
		}
		require.Equal(t, policy.StatusAccepted, p.adapters[2].Outcome(id).Status, name)
		last := time.Duration(0)
		for agent, at := range p.firstActedAt[1] {
			if disable == nil || agent%5 != 1 {
				last = max(last, at.Sub(began))
			}
		}
		want := 30
		if disable != nil {
			want = 24
		}
		require.Len(t, p.firstActedAt[1], want, name)
		t.Logf("%s: in effect at all connected agents after %v", name, last)
		require.Less(t, last, 8*time.Second, name)
		if disable == nil {
			require.Less(t, last, 1500*time.Millisecond)
		}
		p.RecoverAndCheck(10 * time.Second)
		p.CheckDecisions()
		require.Len(t, p.firstActedAt[1], 30, name)
		require.Empty(t, p.judge.Violations, name)
		require.Empty(t, p.Violations(), name)
	}
}

// TestOneRejectionIsEnough checks that a document that one live agent cannot use takes effect at no agent, and that the
// outcome contains the agent's reason.
func TestOneRejectionIsEnough(t *testing.T) {
	p := newTestFleet(t, fleetlab.Options{Agents: 12, Voters: 3, Seed: 3}, func(agent int) policy.LocalSettings {
		local := testSettings
		if agent == 7 {
			local.Settings.Limits.MaxAttempts = 1
		}
		return local
	})
	id := p.propose(2, time.Second)
	p.Run(8 * time.Second)
	o := p.adapters[2].Outcome(id)
	require.Equal(t, policy.StatusRejected, o.Status)
	require.Equal(t, 7, o.Agent)
	require.Contains(t, o.Reason(), "attempts")
	require.Empty(t, p.firstActedAt[1])
	require.Empty(t, p.judge.Violations)
}

// TestWrongClock checks that an agent whose clock is set forward or back by 5 s acts within the floor until its clock is
// right again, and that no other agent is affected, even if the agent is a voter or the leader.
func TestWrongClock(t *testing.T) {
	for _, off := range []time.Duration{5 * time.Second, -5 * time.Second} {
		for _, leads := range []bool{false, true} {
			p := newTestFleet(t, fleetlab.Options{Agents: 9, Voters: 3, Seed: 4}, nil)
			agent := 1
			if leads {
				agent = p.Leader()
			}
			p.World.SetClock(uint32(agent), off)
			p.CheckDecisions()
			p.propose((agent+1)%9, time.Second)
			for range 800 {
				p.Run(10 * time.Millisecond)
				p.CheckDecisions()
			}
			require.Equal(t, lease.Floor, p.Node(agent).Standing(p.Reading(agent)))
			require.Len(t, p.firstActedAt[1], 8)
			p.RecoverAndCheck(10 * time.Second)
			p.CheckDecisions()
			require.Len(t, p.firstActedAt[1], 9)
			require.Empty(t, p.judge.Violations)
		}
	}
}

// runWithFaults runs a fleet with the faults of a seed and a proposal every 4 s, for a number of rounds.
func runWithFaults(t *testing.T, o fleetlab.Options, rounds int) *testFleet {
	o.MaxClockOffset = 100 * time.Millisecond
	p := newTestFleet(t, o, nil)
	for range rounds {
		p.InjectFault(fleetlab.Fault{Kind: fleetlab.ApplicationAct, Agent: int(o.Seed+uint64(p.proposed)) % o.Agents})
		p.RunWithRandomFaults(4 * time.Second)
		p.pollOutcomes(false)
	}
	return p
}

// TestSafetyUnderFaults checks that under faults of the network, processes, disks and clocks no decision is made under an
// older version after one under a newer version, that the version in force allows all decisions of cut-off agents, and that
// the history is linearizable for one register that each proposal changes at most once. LONG_TESTS runs more seeds and
// larger fleets instead.
func TestSafetyUnderFaults(t *testing.T) {
	ranges := []hunting.SeedRange{{Agents: 7, To: 25}}
	if os.Getenv("LONG_TESTS") != "" {
		ranges = []hunting.SeedRange{{Agents: 5, To: 1000}, {Agents: 50, To: 1000}, {Agents: 300, To: 1000}}
	}
	for _, r := range hunting.SelectSeedRanges(ranges) {
		versionNumbers, decisions, voters := 0, 0, 3
		if r.Agents >= 50 {
			voters = 5
		}
		for seed := r.From; seed < r.To; seed++ {
			p := runWithFaults(t, fleetlab.Options{Agents: r.Agents, Voters: voters, Seed: seed}, 12)
			p.RecoverAndCheck(40 * time.Second)
			p.pollOutcomes(true)
			require.Empty(t, p.Violations(), seed)
			require.Empty(t, p.judge.Violations, seed)
			require.True(t, p.history.IsLinearizable(), seed)
			require.Nil(t, p.adapters[0].State().OpenChange, seed)
			versionNumbers += int(p.adapters[0].State().InForce.Number)
			decisions += p.judge.Decisions[policy.ModeFull]
			r.Log(t, seed, "%d changes, %d decisions, decision hash %x", p.adapters[0].State().InForce.Number,
				p.judge.Decisions[policy.ModeFull], p.decisionHash)
		}
		t.Logf("%d agents: seeds %d to %d, 12 changes proposed in each, version numbers up to %d in all, %d decisions in full mode", r.Agents,
			r.From, r.To-1, versionNumbers, decisions)
		require.Positive(t, versionNumbers)
	}
}

// removedProtections are changes of settings that each remove one protection from the nodes.
var removedProtections = map[string]func(*fleet.Settings){
	"leases last longer than agreed": func(s *fleet.Settings) { s.Terms.Duration = 12 * time.Second },
	"voters grant on what they knew": func(s *fleet.Settings) { s.Terms.MaxKnowledgeAge, s.Terms.MaxPause = time.Minute, time.Hour },
}

// TestMissingProtectionIsFound checks that each removed protection is detected within 200 seeds, both by the judge of
// decisions and by the linearizability check of the history.
func TestMissingProtectionIsFound(t *testing.T) {
	for name, weaken := range removedProtections {
		judged, linearizable := false, true
		seed := uint64(0)
		for ; seed < 200 && (!judged || linearizable); seed++ {
			p := runWithFaults(t, fleetlab.Options{Agents: 5, Voters: 3, Seed: seed, Weaken: weaken}, 12)
			p.RecoverAndCheck(40 * time.Second)
			p.pollOutcomes(true)
			judged = judged || len(p.judge.Violations) > 0
			linearizable = linearizable && p.history.IsLinearizable()
		}
		t.Logf("%s: both checks detect the missing protection within %d seeds", name, seed)
		require.True(t, judged && !linearizable, name)
	}
}

// scenario is a stored script of faults that reveals a missing protection.
type scenario struct {
	RemovedProtection string           `json:"without"`
	ExpectedViolation string           `json:"says"` // the judge's first violation without the protection
	Agents            int              `json:"agents"`
	Voters            int              `json:"voters"`
	Seed              uint64           `json:"seed"`
	Script            []fleetlab.Fault `json:"script"`
}

// violation plays a scenario and returns the reason of the judge's first violation, or "" if there is none.
func (s scenario) violation(t *testing.T, weaken func(*fleet.Settings)) string {
	o := fleetlab.Options{Agents: s.Agents, Voters: s.Voters, Seed: s.Seed, Weaken: weaken, MaxClockOffset: 100 * time.Millisecond}
	p := newTestFleet(t, o, nil)
	p.Replay(s.Script)
	for range 75 { // 15 s, so that open changes can end
		p.Run(200 * time.Millisecond)
		p.CheckDecisions()
	}
	if len(p.judge.Violations) == 0 {
		return ""
	}
	return p.judge.Violations[0].Reason
}

func scenarioPath(name string) string {
	return filepath.Join("testdata", strings.ReplaceAll(name, " ", "-")+".json")
}

// TestScenarios checks that each stored script violates the judge's rules without its protection for at least one of four
// seeds, and for none with the protection.
func TestScenarios(t *testing.T) {
	paths, err := filepath.Glob(scenarioPath("*"))
	require.NoError(t, err)
	require.NotEmpty(t, paths)
	for _, name := range paths {
		data, err := os.ReadFile(name)
		require.NoError(t, err)
		var s scenario
		require.NoError(t, json.Unmarshal(data, &s))
		weaken := removedProtections[s.RemovedProtection]
		require.NotNil(t, weaken, name)
		detected, first := 0, s.Seed
		for ; s.Seed < first+4; s.Seed++ {
			if s.violation(t, weaken) != "" {
				detected++
			}
			require.Empty(t, s.violation(t, nil), "%s, seed %d", name, s.Seed)
		}
		t.Logf("%s: %d steps, detected by %d of 4 seeds", name, len(s.Script), detected)
		require.Positive(t, detected, "%s: no seed detects the missing protection; make a new script, see TestShorten", name)
	}
}

// TestShorten makes new scenarios if SHORTEN=1. For each removed protection it shortens the scripts of the first three seeds
// that detect it, and stores the shortest script.
func TestShorten(t *testing.T) {
	if os.Getenv("SHORTEN") == "" {
		t.Skip("it writes testdata; set SHORTEN=1 to run it")
	}
	for name, weaken := range removedProtections {
		var best scenario
		found := 0
		for seed := uint64(0); found < 3; seed++ {
			s := scenario{RemovedProtection: name, Agents: 5, Voters: 3, Seed: seed}
			s.Script = runWithFaults(t, fleetlab.Options{Agents: s.Agents, Voters: s.Voters, Seed: seed, Weaken: weaken}, 12).Script()
			fails := func(script []fleetlab.Fault) bool {
				shorter := s
				shorter.Script = script
				return shorter.violation(t, weaken) != "" && shorter.violation(t, nil) == ""
			}
			if !fails(s.Script) {
				continue
			}
			found++
			s.Script = fleetlab.MinimizeScript(s.Script, fails)
			s.ExpectedViolation = s.violation(t, weaken)
			t.Logf("%s, seed %d: %d steps: %s", name, seed, len(s.Script), s.ExpectedViolation)
			if len(best.Script) == 0 || len(s.Script) < len(best.Script) {
				best = s
			}
		}
		data, err := json.MarshalIndent(best, "", "  ")
		require.NoError(t, err)
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(scenarioPath(name), append(data, '\n'), 0o644))
	}
}
