// Package live runs a scenario in real time with real agents: processes of the released program that talk to
// stand-ins on loopback sockets. The upstream servers, clients, discovery, network delays and faults are
// simulated by internal/rehearsal/world, as in a virtual-time run; its record goes to the same judge and the
// same report.
package live

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"os"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"dunestep/internal/rehearsal/judge"
	"dunestep/internal/rehearsal/report"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/timeline"
	"dunestep/internal/rehearsal/world"
	"dunestep/internal/standin/program"
)

// Options configures a live run beyond its scenario.
type Options struct {
	Seed     uint64
	Program  string                   // path of the agent program; empty: bin/dunestep
	Progress func(at time.Duration)   // receives the elapsed time; nil: no progress reports
	Log      func(agent, line string) // receives the agents' log lines; nil: discards them
	Lanes    timeline.Reader          // selects log lines for the report's timeline; nil: none
}

// The maximum lateness of the kit itself in a run that is judged. A late kit makes upstream servers slower
// and clients later than the scenario specifies; beyond these limits it distorts the results.
const (
	maxLatenessP99 = 10 * time.Millisecond
	maxLateness    = 250 * time.Millisecond
)

// Play runs a scenario and returns its report. If the context ends first, the report covers the run so far
// and is returned with the context's error; with any other error there is no report. All processes and
// sockets are closed on return.
func Play(ctx context.Context, sc *scenario.Scenario, o Options) (_ *report.Report, err error) {
	path, err := program.FindAgent(o.Program)
	if err != nil {
		return nil, err
	}
	if err := checkPlayable(sc); err != nil {
		return nil, err
	}
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU() * procsPerCore))
	plan := world.NewPlan(sc, o.Seed)
	verdicts, events := judge.New(sc), &timeline.Timeline{}
	env, err := world.NewLiveRun(sc, o.Seed, verdicts, world.Options{Progress: o.Progress, Timeline: events})
	if err != nil {
		return nil, err
	}
	defer env.Close()
	spawn := program.NewSpawner()
	defer spawn.Close()
	agents, err := newAgents(sc, path, spawn, func(agent, text string) {
		events.AddLine(o.Lanes, max(time.Since(env.Zero()), 0), agent, text)
		if o.Log != nil {
			o.Log(agent, text)
		}
	})
	if err != nil {
		return nil, err
	}
	w, err := newWire(sc, env, addresses{os.Getpid()}, agents)
	if err != nil {
		return nil, err
	}
	closed := false
	closeAll := func(gently bool) {
		if !closed {
			closed = true
			program.EndAll(agents, gently)
			w.close()
		}
	}
	defer closeAll(false) // also if the kit itself panics
	cpuBefore := kitCPUTime()
	err = env.Play(ctx, w)
	kitCPU := kitCPUTime() - cpuBefore
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	closeAll(err == nil)
	result := report.New(sc.Name, sc.About, o.Seed, nil, verdicts.Verdict())
	result.SetTimeline(events)
	result.CutShort = err != nil
	result.Live = &report.Live{
		Plan:     planPart(plan),
		Measured: measured(o.Program, env.Lateness(), kitCPU, sc, agents),
	}
	result.Passed = result.Passed && result.Judged() && !result.CutShort
	for _, a := range result.Live.Measured.Agents {
		result.Passed = result.Passed && len(a.Problems) == 0
	}
	return result, err
}

func newAgents(sc *scenario.Scenario, path string, spawn *program.Spawner, log func(string, string)) (
	agents []*program.Agent, err error,
) {
	for i := range sc.Agents.Count {
		a := &program.Agent{
			Name: fmt.Sprint("n", i), Program: path, MaxSockets: sc.Agents.Sockets, Spawner: spawn,
			Log:             log,
			MeasureInterval: usageSamplePeriod * time.Duration(max(sc.Agents.Count/agentsPerSamplePeriod, 1)),
		}
		if a.Addr, err = program.FreeAddr(addresses{os.Getpid()}.agent(i)); err != nil {
			return nil, err
		}
		agents = append(agents, a)
	}
	return agents, nil
}

const (
	usageSamplePeriod     = 100 * time.Millisecond // between samples of a process's resource usage
	agentsPerSamplePeriod = 16                     // with more agents the period grows in proportion
)

// agentUsage returns the resources that an agent used over all its runs, and the problems found.
func agentUsage(a *program.Agent, sc *scenario.Scenario) report.AgentUsage {
	u, memory := a.TotalUsage(), sc.Agents.MemoryMB
	if u.PeakMB > float64(memory) {
		u.Problems = append(u.Problems, fmt.Sprintf("used %.1f MB of %d", u.PeakMB, memory))
	}
	return report.AgentUsage{
		Name: a.Name, Starts: u.Starts, PeakMB: u.PeakMB, LimitMB: memory,
		Descriptors: u.Descriptors, Limit: sc.Agents.Sockets + program.SpareDescriptors, CPUS: u.CPUSeconds,
		Problems: u.Problems,
	}
}

// checkPlayable returns an error if the scenario cannot run live or needs more file descriptors than this
// process may have.
func checkPlayable(sc *scenario.Scenario) error {
	for i, t := range sc.Faults {
		switch t.Kind {
		case scenario.ServersTakenOut, scenario.ClientsRedirected, scenario.AgentsUpgraded, scenario.Window:
			return fmt.Errorf("trouble %d: kind %q is not supported in live runs", i+1, t.Kind)
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if need := descriptorsNeeded(sc); need > limit.Cur {
		return fmt.Errorf("the scenario may need %d file descriptors, but the limit is %d (ulimit -n)", need,
			limit.Cur)
	}
	return nil
}

// descriptorsNeeded estimates the maximum number of file descriptors that the kit needs: sockets for each
// pair of an agent and an upstream server, including servers that a deploy adds, and for the connections
// that the agents may open.
func descriptorsNeeded(sc *scenario.Scenario) uint64 {
	servers := sc.Fleet.Servers
	for _, t := range sc.Faults {
		if t.Kind == scenario.Deploy {
			servers += int(t.Part.High*float64(sc.Fleet.Servers)) + 1
		}
	}
	return uint64(sc.Agents.Count*(servers+8+sc.Agents.Sockets) + 100)
}

// planPart returns the plan section of the report.
func planPart(p *world.Plan) report.PlanPart {
	digest := sha256.New()
	_ = WritePlan(digest, p) // writing to a hash never fails
	part := report.PlanPart{
		Arrivals: len(p.Arrivals), Digest: hex.EncodeToString(digest.Sum(nil)),
		Faults: []report.PlannedFault{},
	}
	for _, t := range p.Faults {
		part.Faults = append(part.Faults, report.PlannedFault{
			Kind: string(t.Kind), AtS: t.At.Seconds(),
			ForS: t.For.Seconds(),
		})
	}
	return part
}

// WritePlan writes a plan as text, one line for each fault and for each client request except retries. The
// output is byte for byte the same for the same scenario and seed.
func WritePlan(w io.Writer, p *world.Plan) error {
	for _, t := range p.Faults {
		if _, err := fmt.Fprintf(w, "trouble %s at %v for %v part %g size %g\n", t.Kind, t.At, t.For, t.Part,
			t.Size); err != nil {
			return err
		}
	}
	for _, a := range p.Arrivals {
		if _, err := fmt.Fprintf(w, "%d n%d class %d tenant %d key %d work %d\n", a.At.Nanoseconds(), a.Agent,
			a.Class, a.Tenant, a.Key, a.Work.Nanoseconds()); err != nil {
			return err
		}
	}
	return nil
}

func measured(path string, late world.Lateness, kit time.Duration, sc *scenario.Scenario,
	agents []*program.Agent,
) report.Measured {
	h := late.Events
	m := report.Measured{Program: path, Cores: runtime.NumCPU(), Kit: report.Kit{
		P50US: h.ValueAtQuantile(50),
		P99US: h.ValueAtQuantile(99), P999US: h.ValueAtQuantile(99.9), MaxMS: late.Max.Seconds() * 1000,
		MaxAtS: late.MaxAt.Seconds(), CPUS: kit.Seconds(),
	}}
	for _, a := range agents {
		m.Agents = append(m.Agents, agentUsage(a, sc))
	}
	switch p99 := time.Duration(m.Kit.P99US) * time.Microsecond; {
	case p99 > maxLatenessP99:
		m.NotJudged = fmt.Sprintf("the kit itself was late by %v at the 99th percentile", p99)
	case late.Max > maxLateness:
		m.NotJudged = fmt.Sprintf("the kit itself was late by %v at %.1f s", late.Max.Round(time.Millisecond),
			late.MaxAt.Seconds())
	}
	return m
}

// kitCPUTime returns the CPU time that this process has used.
func kitCPUTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// gcPercent is the heap growth between garbage collections, in percent. It is high because each collection
// delays the kit.
const gcPercent = 400

// procsPerCore is the ratio of GOMAXPROCS to the number of cores. The goroutine that runs the scenario
// waits in the kernel; without a spare P on its return it would queue behind the goroutines that serve
// sockets.
const procsPerCore = 3
