package world

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"dunestep/internal/balancer"
	"dunestep/internal/control/policy"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
)

// Of five agents the last is cut off from the fleet, but not from its clients and servers, for 30 s; its lease expires
// after 4 s, and a new policy takes effect at the others after 5 s.
const (
	cutAgent    = 4
	cutFrom     = 15 * time.Second
	cutTo       = 45 * time.Second
	leaseEnd    = cutFrom + 4*time.Second
	newPolicyAt = cutFrom + 5*time.Second
)

// newPolicy restricts the settings: one attempt fewer and no hedged requests.
const newPolicy = "format = 1\n[classes.consult]\nattempts = 2\ncopies = false\n[throttle]\nin_vain = 0.2\n"

// policyModes are the ways in which a cut-off agent may act. Rejecting everything is not simulated: it
// is "not cut off" without what that agent served.
var policyModes = []string{"not cut off", "floor", "staleness"}

// playCut simulates a run with the cut-off agent in a policy mode. It returns the fractions of first
// tries during the cut whose request was served, by any of its tries: of the agent's own, of all, and
// of all but its own. old counts its first tries under the replaced policy after the new one
// was in effect.
func playCut(t *testing.T, name string, seed uint64, mode string) (own, all, others float64, old int) {
	sc, err := scenario.Load("../../../rehearsals/" + name + ".toml")
	require.NoError(t, err)
	sc.Run.Length, sc.Agents.Count = time.Minute, 5
	d := &recordingSink{}
	var before, after, floor *policy.Effect
	acting := func(agent int, at time.Duration) *policy.Effect {
		if before == nil {
			before, after, floor = effects(t, sc, d.run.Quotas)
		}
		switch isCut := agent == cutAgent && at >= leaseEnd && at < cutTo; {
		case isCut && mode == "floor":
			return floor
		case isCut && mode == "staleness", at < newPolicyAt:
			return before
		}
		return after
	}
	require.NoError(t, Play(t.Context(), sc, seed, d, Options{FleetPolicy: acting}))
	served, agentOf := map[uint32]bool{}, map[uint32]int{}
	chain := map[uint32]uint32{}
	for _, e := range d.events {
		switch {
		case e.Kind == record.RequestReceived || e.Kind == record.RequestUnreached:
			chain[e.RequestID] = e.Chain
			if e.Try == 0 && e.At >= leaseEnd && e.At < cutTo {
				agentOf[e.Chain] = int(e.Agent)
				if e.Agent == cutAgent && e.At >= newPolicyAt && mode == "staleness" {
					old++
				}
			}
		case e.Kind == record.Answered && e.Answer == record.Served:
			served[chain[e.RequestID]] = true
		}
	}
	var ownServed, ownAll, allServed float64
	for c, agent := range agentOf {
		if agent == cutAgent {
			ownAll++
		}
		if served[c] {
			if allServed++; agent == cutAgent {
				ownServed++
			}
		}
	}
	n := float64(len(agentOf))
	return ownServed / max(ownAll, 1), allServed / n, (allServed - ownServed) / n, old
}

// effects returns the effects of the settings alone, of the new policy, and of the new policy's floor.
func effects(t *testing.T, sc *scenario.Scenario, quotas []float64) (before, after, floor *policy.Effect) {
	own := policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{Limits: balancer.Limits{
		MaxAttempts: sc.Allow.MaxAttempts,
		Hedging:     sc.Allow.SecondCopies,
	}}}
	for i := range sc.Tenants {
		own.Settings.Tenants = append(own.Settings.Tenants, balancer.Tenant{Name: sc.Tenants[i].Name, QuotaPerSecond: quotas[i]})
	}
	for i := range sc.Classes {
		own.Settings.Classes = append(own.Settings.Classes, balancer.Class{Name: sc.Classes[i].Name})
	}
	effect := func(text string) (*policy.Effect, *policy.Effect) {
		d, err := policy.ParseDocument("day", []byte(text))
		require.NoError(t, err)
		e, err := d.Effect(own)
		require.NoError(t, err)
		return e, d.Floor().Effect(own)
	}
	before, _ = effect("format = 1\n")
	after, floor = effect(newPolicy)
	return before, after, floor
}

// TestCutOffAgentOnPolicyFloor checks that a cut-off agent on the policy floor serves nearly as much as
// if it were not cut off, and never under the replaced policy. An agent that rejects everything loses
// its share, and one that continues as before applies the replaced policy. LONG_TESTS covers more
// scenarios and seeds.
func TestCutOffAgentOnPolicyFloor(t *testing.T) {
	names, seeds := []string{"calm-monday"}, uint64(1)
	if os.Getenv("LONG_TESTS") != "" {
		names, seeds = []string{"calm-monday", "fast-failures", "flapping", "one-group-too-much"}, 3
	}
	for _, name := range names {
		own, all, fenced, old := map[string]float64{}, map[string]float64{}, 0.0, 0
		for _, mode := range policyModes {
			for seed := range seeds {
				o, a, others, n := playCut(t, name, seed+1, mode)
				own[mode] += o / float64(seeds)
				all[mode] += a / float64(seeds)
				if old += n; mode == "not cut off" {
					fenced += others / float64(seeds)
				}
			}
		}
		line := name + ":"
		for _, mode := range policyModes {
			line += fmt.Sprintf(" %s %.3f (all %.3f);", mode, own[mode], all[mode])
		}
		t.Logf("%s fencing 0 (all %.3f); first tries under the replaced policy %d", line, fenced, old)
		require.Positive(t, old)
		require.Greater(t, all["floor"], fenced+0.05)
		require.InDelta(t, all["not cut off"], all["floor"], 0.05)
	}
}
