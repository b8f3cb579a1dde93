// Package rehearsal rehearses days: it plays a scenario in virtual time, hunts through many seeds for bad
// days, and shrinks a bad day to the smallest scenario that still shows what is wrong.
package rehearsal

import (
	"context"
	"fmt"
	"time"

	"dunestep/internal/balancer"
	"dunestep/internal/overload"
	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/timeline"
	"dunestep/internal/rehearsal/world"
)

// never is a figure so large that what it limits is never limited.
const never = 1e9

// Protections are the agent's protections that a rehearsal can take out, each by its figures.
var Protections = []struct {
	Name, Text string
	takeOut    func(*balancer.Tuning, *overload.Config)
}{
	{
		"damping", "flapping servers are left alone for a while",
		func(f *balancer.Tuning, _ *overload.Config) { f.SuppressLimit = never },
	},
	{
		"cold-budget", "a starting server gets no more than its part",
		func(f *balancer.Tuning, _ *overload.Config) { f.SlowStartMargin, f.SlowStartMax = never, never },
	},
	{
		"spill", "an owner over the bounded load passes its keys on",
		func(f *balancer.Tuning, _ *overload.Config) { f.BoundedLoadFactor = never },
	},
	{
		"retry-budget", "an agent's further sends are a part of its requests",
		func(f *balancer.Tuning, _ *overload.Config) {
			f.RetryRatio, f.RetryBurst, f.UnprocessedRetryRatio, f.UnprocessedRetryBurst = never, never, never, never
		},
	},
	{
		"quota", "traffic beyond a tenant's share waits in shorter queues only",
		func(f *balancer.Tuning, _ *overload.Config) { f.OverQuotaQueueFraction = 1 },
	},
	{
		"throttle", "an agent of a large fleet lets in little more than what is answered",
		func(_ *balancer.Tuning, f *overload.Config) { f.WastedFraction = never },
	},
	{
		"storm", "slow spells are purged, and storms and returning servers met with fewer sends",
		func(_ *balancer.Tuning, f *overload.Config) { f.Disabled = true },
	},
}

// figuresWithout are the figures of the module and of the gate before it, with protections taken out.
func figuresWithout(names []string) (balancer.Tuning, overload.Config, error) {
	f, gate := balancer.DefaultTuning(), overload.DefaultConfig()
	for _, name := range names {
		known := false
		for _, p := range Protections {
			if p.Name == name {
				p.takeOut(&f, &gate)
				known = true
			}
		}
		if !known {
			return f, gate, fmt.Errorf("unknown protection %q", name)
		}
	}
	return f, gate, nil
}

// Options is what a day is played with beside its scenario.
type Options struct {
	Seed     uint64
	Without  []string                                   // names of protections that are taken out
	Placed   bool                                       // agents place by agreed generations in any case
	Late     bool                                       // play it too with late.Policy, to measure the shares by
	Progress func(at time.Duration)                     // told how far the day is; nil: nobody is
	Log      func(at time.Duration, agent, says string) // told what the agents' modules say; nil: nobody is
	Lanes    timeline.Reader                            // what of that goes to the timeline; nil: nothing
}

// Play plays a day. Where the context ends first, the report is of the day so far and the context's error
// comes with it; with any other error there is no report.
func Play(ctx context.Context, set *scenario.Scenario, o Options) (*report.Report, error) {
	figures, gate, err := figuresWithout(o.Without)
	if err != nil {
		return nil, err
	}
	j, line := judge.New(set), &timeline.Timeline{}
	crash, err := play(ctx, set, o.Seed, j,
		world.Options{
			Figures: figures, Storm: gate, Progress: o.Progress, Log: o.reads(line), Timeline: line,
			Placed: o.Placed,
		})
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	r := report.New(set.Name, set.About, o.Seed, o.Without, j.Verdict())
	r.SetTimeline(line)
	if r.CutShort = err != nil || crash != nil; crash != nil {
		r.Crash = crash
	}
	r.Passed = r.Passed && !r.CutShort
	if o.Late && err == nil {
		err = measure(ctx, set, o.Seed, r)
	}
	return r, err
}

// reads is the log's listener, who also puts on the timeline what is to be there.
func (o Options) reads(t *timeline.Timeline) func(at time.Duration, agent, says string) {
	if o.Lanes == nil {
		return o.Log
	}
	return func(at time.Duration, agent, says string) {
		t.Read(o.Lanes, at, agent, says)
		if o.Log != nil {
			o.Log(at, agent, says)
		}
	}
}

// lateBy is how long after the policy that the shares are measured by sees the servers' true state.
const lateBy = 500 * time.Millisecond

// measure plays the day with agents that see the true state late, and asks of the report's shares their parts
// of what those serve.
func measure(ctx context.Context, set *scenario.Scenario, seed uint64, r *report.Report) error {
	j := judge.New(set)
	if err := world.Play(ctx, set, seed, j, world.Options{Late: lateBy}); err != nil {
		return err
	}
	v := j.Verdict()
	r.Measure(&v)
	return nil
}

// play plays a day into a judge. Code that panics ends the day, not the rehearsal: the agents' code runs in
// it, and an agent that crashes is what a hunt is for.
func play(ctx context.Context, set *scenario.Scenario, seed uint64, j *judge.Judge, o world.Options) (
	crash *report.Crash, err error,
) {
	now := time.Duration(0)
	progress := o.Progress
	o.Progress = func(at time.Duration) {
		if now = at; progress != nil {
			progress(at)
		}
	}
	defer func() {
		if cause := recover(); cause != nil {
			crash = report.NewCrash(now, cause)
			j.End(now)
		}
	}()
	return nil, world.Play(ctx, set, seed, j, o)
}
