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

// Of five agents the last is cut off from the fleet, but not from its clients and servers, for 30 s; its lease is over
// after 4 s, and a new policy holds at the others after 5 s.
const (
	cutAgent    = 4
	cutFrom     = 15 * time.Second
	cutTo       = 45 * time.Second
	leaseEnd    = cutFrom + 4*time.Second
	newPolicyAt = cutFrom + 5*time.Second
)

// newPolicy narrows what the settings permit: one attempt less, and no second copies.
const newPolicy = "format = 1\n[classes.consult]\nattempts = 2\ncopies = false\n[throttle]\nin_vain = 0.2\n"

// conducts are what a cut-off agent may do, beside refusing all: that is "not cut off" without what it served.
var policyModes = []string{"not cut off", "floor", "staleness"}

// playCut plays a day in which the agent goes one of the conducts, and returns what part of first tries were served while it
// was cut off: its own, all, and all but its own; whichever try of a request it was that was. Old counts its first tries under the former
// version when the new one held.
func playCut(t *testing.T, day string, seed uint64, way string) (own, all, others float64, old int) {
	set, err := scenario.Load("../../../rehearsals/" + day + ".toml")
	require.NoError(t, err)
	set.Day.Length, set.Agents.Count = time.Minute, 5
	d := &recordingSink{}
	var before, after, floor *policy.Effect
	acting := func(agent int, at time.Duration) *policy.Effect {
		if before == nil {
			before, after, floor = effects(t, set, d.run.Quotas)
		}
		switch isCut := agent == cutAgent && at >= leaseEnd && at < cutTo; {
		case isCut && way == "floor":
			return floor
		case isCut && way == "staleness", at < newPolicyAt:
			return before
		}
		return after
	}
	require.NoError(t, Play(t.Context(), set, seed, d, Options{Acting: acting}))
	served, of := map[uint32]bool{}, map[uint32]int{}
	chain := map[uint32]uint32{}
	for _, e := range d.events {
		switch {
		case e.Kind == record.Asked || e.Kind == record.Unreached:
			chain[e.Op] = e.Chain
			if e.Try == 0 && e.At >= leaseEnd && e.At < cutTo {
				of[e.Chain] = int(e.Agent)
				if e.Agent == cutAgent && e.At >= newPolicyAt && way == "staleness" {
					old++
				}
			}
		case e.Kind == record.Answered && e.Answer == record.Served:
			served[chain[e.Op]] = true
		}
	}
	var ownServed, ownAll, allServed float64
	for c, agent := range of {
		if agent == cutAgent {
			ownAll++
		}
		if served[c] {
			if allServed++; agent == cutAgent {
				ownServed++
			}
		}
	}
	n := float64(len(of))
	return ownServed / max(ownAll, 1), allServed / n, (allServed - ownServed) / n, old
}

// effects are those of the settings as they are, of the new policy, and of its floor.
func effects(t *testing.T, set *scenario.Scenario, quotas []float64) (before, after, floor *policy.Effect) {
	own := policy.LocalSettings{MaxFailedRatio: 0.25, Settings: balancer.Settings{Limits: balancer.Limits{
		MaxAttempts: set.Allow.MaxAttempts,
		Hedging:     set.Allow.SecondCopies,
	}}}
	for i := range set.Tenants {
		own.Settings.Tenants = append(own.Settings.Tenants, balancer.Tenant{Name: set.Tenants[i].Name, QuotaPerSecond: quotas[i]})
	}
	for i := range set.Classes {
		own.Settings.Classes = append(own.Settings.Classes, balancer.Class{Name: set.Classes[i].Name})
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

// A cut-off agent on the floor serves nearly as if it were not cut off, and never by what was replaced; one that refuses all
// loses what it would have served, and one that goes on as before decides by what was replaced. Figures for the design note
// with LONG_TESTS.
func TestCutOffAgentOnPolicyFloor(t *testing.T) {
	days, seeds := []string{"calm-monday"}, uint64(1)
	if os.Getenv("LONG_TESTS") != "" {
		days, seeds = []string{"calm-monday", "fast-failures", "flapping", "one-group-too-much"}, 3
	}
	for _, day := range days {
		own, all, fenced, old := map[string]float64{}, map[string]float64{}, 0.0, 0
		for _, way := range policyModes {
			for seed := range seeds {
				o, a, others, n := playCut(t, day, seed+1, way)
				own[way] += o / float64(seeds)
				all[way] += a / float64(seeds)
				if old += n; way == "not cut off" {
					fenced += others / float64(seeds)
				}
			}
		}
		line := day + ":"
		for _, way := range policyModes {
			line += fmt.Sprintf(" %s %.3f (all %.3f);", way, own[way], all[way])
		}
		t.Logf("%s fencing 0 (all %.3f); first tries by the former version %d", line, fenced, old)
		require.Positive(t, old)
		require.Greater(t, all["floor"], fenced+0.05)
		require.InDelta(t, all["not cut off"], all["floor"], 0.05)
	}
}
