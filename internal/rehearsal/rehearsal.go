// Package rehearsal runs scenarios in virtual time: single runs, searches over many seeds for bad runs,
// searches for the highest load that passes, and reduction of a failing scenario to a small one that fails
// in the same way.
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

// unlimited is a value so large that a limit set to it never applies.
const unlimited = 1e9

// Protections are the agent's protections that a rehearsal can disable through the agent's settings.
var Protections = []struct {
	Name, Text string
	disable    func(*balancer.Tuning, *overload.Config)
}{
	{
		"damping", "a flapping server gets no requests for a while",
		func(t *balancer.Tuning, _ *overload.Config) { t.SuppressLimit = unlimited },
	},
	{
		"cold-budget", "a server in slow start gets a limited part of the load",
		func(t *balancer.Tuning, _ *overload.Config) { t.SlowStartMargin, t.SlowStartMax = unlimited, unlimited },
	},
	{
		"spill", "an owner over the bounded load passes its keys on",
		func(t *balancer.Tuning, _ *overload.Config) { t.BoundedLoadFactor = unlimited },
	},
	{
		"retry-budget", "retries and hedged requests are limited to a part of an agent's requests",
		func(t *balancer.Tuning, _ *overload.Config) {
			t.RetryRatio, t.RetryBurst, t.UnprocessedRetryRatio, t.UnprocessedRetryBurst = unlimited,
				unlimited, unlimited, unlimited
		},
	},
	{
		"quota", "traffic beyond a tenant's quota waits in shorter queues only",
		func(t *balancer.Tuning, _ *overload.Config) { t.OverQuotaQueueFraction = 1 },
	},
	{
		"throttle", "an agent of a large fleet admits little more than what is answered",
		func(_ *balancer.Tuning, c *overload.Config) { c.WastedFraction = unlimited },
	},
	{
		"storm", "load shedding: fewer attempts during overload and while servers recover",
		func(_ *balancer.Tuning, c *overload.Config) { c.Disabled = true },
	},
}

// tuningWithout returns the default settings of the balancer and of load shedding with the named protections
// disabled.
func tuningWithout(names []string) (balancer.Tuning, overload.Config, error) {
	tuning, shedding := balancer.DefaultTuning(), overload.DefaultConfig()
	for _, name := range names {
		known := false
		for _, p := range Protections {
			if p.Name == name {
				p.disable(&tuning, &shedding)
				known = true
			}
		}
		if !known {
			return tuning, shedding, fmt.Errorf("unknown protection %q", name)
		}
	}
	return tuning, shedding, nil
}

// Options configures Play beyond the scenario.
type Options struct {
	Seed           uint64
	Without        []string                                   // names of protections to disable
	RingAssignment bool                                       // enables ring assignment for any scenario
	MeasureShares  bool                                       // also runs late.Policy, the shares' reference
	Progress       func(at time.Duration)                     // receives the elapsed time; may be nil
	Log            func(at time.Duration, agent, line string) // receives the agents' log lines; may be nil
	Lanes          timeline.Reader                            // selects log lines for the timeline; nil: none
}

// Play runs a scenario in virtual time and returns its report. If the context ends first, the report covers
// the run so far and is returned with the context's error; with any other error there is no report.
func Play(ctx context.Context, sc *scenario.Scenario, o Options) (*report.Report, error) {
	tuning, shedding, err := tuningWithout(o.Without)
	if err != nil {
		return nil, err
	}
	verdicts, events := judge.New(sc), &timeline.Timeline{}
	crash, err := play(ctx, sc, o.Seed, verdicts,
		world.Options{
			Tuning: tuning, Overload: shedding, Progress: o.Progress, Log: o.logFunc(events), Timeline: events,
			RingAssignment: o.RingAssignment,
		})
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	r := report.New(sc.Name, sc.About, o.Seed, o.Without, verdicts.Verdict())
	r.SetTimeline(events)
	if r.CutShort = err != nil || crash != nil; crash != nil {
		r.Crash = crash
	}
	r.Passed = r.Passed && !r.CutShort
	if o.MeasureShares && err == nil {
		err = measureShares(ctx, sc, o.Seed, r)
	}
	return r, err
}

// logFunc returns a log function that also adds the selected lines to the timeline.
func (o Options) logFunc(t *timeline.Timeline) func(at time.Duration, agent, line string) {
	if o.Lanes == nil {
		return o.Log
	}
	return func(at time.Duration, agent, line string) {
		t.AddLine(o.Lanes, at, agent, line)
		if o.Log != nil {
			o.Log(at, agent, line)
		}
	}
}

// latePolicyDelay is the delay with which the reference policy sees the servers' true state.
const latePolicyDelay = 500 * time.Millisecond

// measureShares runs the scenario with the reference policy, which sees the servers' true state late, and
// sets what the report's shares must reach from what that policy serves.
func measureShares(ctx context.Context, sc *scenario.Scenario, seed uint64, r *report.Report) error {
	verdicts := judge.New(sc)
	if err := world.Play(ctx, sc, seed, verdicts, world.Options{ViewDelay: latePolicyDelay}); err != nil {
		return err
	}
	v := verdicts.Verdict()
	r.SetMinimums(&v)
	return nil
}

// play runs a scenario and records it with a judge. A panic ends the run and is returned as a crash: the
// agents' code runs in this process, and a hunt must find agents that crash.
func play(ctx context.Context, sc *scenario.Scenario, seed uint64, j *judge.Judge, o world.Options) (
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
	return nil, world.Play(ctx, sc, seed, j, o)
}
