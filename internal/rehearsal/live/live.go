// Package live plays a scenario's day in real time at real agents: processes of the program that ships, with
// stand-ins round them on loopback sockets. Booking servers, clients, discovery, the network's delays and the
// troubles are the rehearsal's world (internal/rehearsal/world), as in a model; its record goes to the same
// judge and the same report.
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

// Options is what a day is played with beside its scenario.
type Options struct {
	Seed     uint64
	Program  string                   // the agent's; empty: bin/dunestep
	Progress func(at time.Duration)   // told how far the day is; nil: nobody is
	Log      func(agent, line string) // told the agents' logs; nil: nobody is
	Lanes    timeline.Reader          // what of the agents' logs goes to the report's timeline; nil: nothing
}

// The kit's own lateness up to which a day is judged. A late kit makes booking servers slower than they
// are, and clients later: beyond these it would be in the figures.
const (
	lateP99  = 10 * time.Millisecond
	lateMost = 250 * time.Millisecond
)

// Play plays a day. Where the context ends first, the report is of the day so far and the context's error
// comes with it; with any other error there is no report. However it ends, no process or socket is left.
func Play(ctx context.Context, set *scenario.Scenario, o Options) (_ *report.Report, err error) {
	path, err := program.Find(o.Program)
	if err != nil {
		return nil, err
	}
	if err := checkPlan(set); err != nil {
		return nil, err
	}
	defer debug.SetGCPercent(debug.SetGCPercent(fewCollections))
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(runtime.NumCPU() * sparePs))
	plan := world.NewPlan(set, o.Seed)
	j, line := judge.New(set), &timeline.Timeline{}
	day, err := world.NewLive(set, o.Seed, j, world.Options{Progress: o.Progress, Timeline: line})
	if err != nil {
		return nil, err
	}
	defer day.Close()
	spawn := program.NewSpawner()
	defer spawn.Close()
	agents, err := newAgents(set, path, spawn, func(agent, text string) {
		line.Read(o.Lanes, max(time.Since(day.Zero()), 0), agent, text)
		if o.Log != nil {
			o.Log(agent, text)
		}
	})
	if err != nil {
		return nil, err
	}
	w, err := newWire(set, day, addresses{os.Getpid()}, agents)
	if err != nil {
		return nil, err
	}
	ended := false
	end := func(gently bool) {
		if !ended {
			ended = true
			program.EndAll(agents, gently)
			w.close()
		}
	}
	defer end(false) // also where the kit itself panics
	began := kitTime()
	err = day.Play(ctx, w)
	kit := kitTime() - began
	if err != nil && ctx.Err() == nil {
		return nil, err
	}
	end(err == nil)
	r := report.New(set.Name, set.About, o.Seed, nil, j.Verdict())
	r.SetTimeline(line)
	r.CutShort = err != nil
	r.Live = &report.Live{Plan: planPart(plan), Measured: measured(o.Program, day.Late(), kit, set, agents)}
	r.Passed = r.Passed && r.Judged() && !r.CutShort
	for _, a := range r.Live.Measured.Agents {
		r.Passed = r.Passed && len(a.Problems) == 0
	}
	return r, err
}

func newAgents(set *scenario.Scenario, path string, spawn *program.Spawner, log func(string, string)) (
	agents []*program.Agent, err error,
) {
	for i := range set.Agents.Count {
		a := &program.Agent{
			Name: fmt.Sprint("n", i), Program: path, Sockets: set.Agents.Sockets, Spawn: spawn,
			Log: log, Look: lookEvery * time.Duration(max(set.Agents.Count/looksAtATime, 1)),
		}
		if a.Addr, err = program.FreeAddr(addresses{os.Getpid()}.of(i)); err != nil {
			return nil, err
		}
		agents = append(agents, a)
	}
	return agents, nil
}

const (
	lookEvery    = 100 * time.Millisecond // at what a process takes, where they are few,
	looksAtATime = 16                     // and of more at so many in that time
)

// used is what an agent took in all, with what was wrong.
func used(a *program.Agent, set *scenario.Scenario) report.AgentUse {
	u, memory := a.Used(), set.Agents.MemoryMB
	if u.PeakMB > float64(memory) {
		u.Problems = append(u.Problems, fmt.Sprintf("took %.1f MB of %d", u.PeakMB, memory))
	}
	return report.AgentUse{
		Name: a.Name, Starts: u.Starts, PeakMB: u.PeakMB, LimitMB: memory,
		Descriptors: u.Descriptors, Limit: set.Agents.Sockets + program.SpareDescriptors, CPUS: u.CPUS,
		Problems: u.Problems,
	}
}

// checkPlan tells whether the day can be played live, on this machine, at all.
func checkPlan(set *scenario.Scenario) error {
	for i, t := range set.Troubles {
		switch t.Kind {
		case scenario.TakenOut, scenario.SentAway, scenario.Upgraded, scenario.Window:
			return fmt.Errorf("trouble %d: %q is not played live yet", i+1, t.Kind)
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return err
	}
	if need := descriptors(set); need > limit.Cur {
		return fmt.Errorf("the plan may need %d descriptors, and this process may have %d (ulimit -n)", need,
			limit.Cur)
	}
	return nil
}

// descriptors is about how many the kit needs at the most: sockets for each agent and booking server, also
// for those that a deploy brings, and both ends of what the agents may open.
func descriptors(set *scenario.Scenario) uint64 {
	servers := set.Fleet.Servers
	for _, t := range set.Troubles {
		if t.Kind == scenario.Deploy {
			servers += int(t.Part.High*float64(set.Fleet.Servers)) + 1
		}
	}
	return uint64(set.Agents.Count*(servers+8+set.Agents.Sockets) + 100)
}

// planPart is the plan's part of the report.
func planPart(p *world.Plan) report.PlanPart {
	digest := sha256.New()
	_ = WritePlan(digest, p) // a hash takes all
	part := report.PlanPart{
		Arrivals: len(p.Arrivals), Digest: hex.EncodeToString(digest.Sum(nil)),
		Troubles: []report.PlanTrouble{},
	}
	for _, t := range p.Troubles {
		part.Troubles = append(part.Troubles, report.PlanTrouble{
			Kind: string(t.Kind), AtS: t.At.Seconds(),
			ForS: t.For.Seconds(),
		})
	}
	return part
}

// WritePlan writes a plan, a line for each trouble and each first try. It is the same, byte for byte, for the
// same scenario and seed.
func WritePlan(w io.Writer, p *world.Plan) error {
	for _, t := range p.Troubles {
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

func measured(path string, late world.Lateness, kit time.Duration, set *scenario.Scenario,
	agents []*program.Agent,
) report.Measured {
	h := late.Happenings
	m := report.Measured{Program: path, Cores: runtime.NumCPU(), Kit: report.Kit{
		P50US: h.ValueAtQuantile(50),
		P99US: h.ValueAtQuantile(99), P999US: h.ValueAtQuantile(99.9), MostMS: late.Most.Seconds() * 1000,
		MostAt: late.MostAt.Seconds(), CPUS: kit.Seconds(),
	}}
	for _, a := range agents {
		m.Agents = append(m.Agents, used(a, set))
	}
	switch p99 := time.Duration(m.Kit.P99US) * time.Microsecond; {
	case p99 > lateP99:
		m.NotJudged = fmt.Sprintf("the kit itself was late by %v at the 99th percentile", p99)
	case late.Most > lateMost:
		m.NotJudged = fmt.Sprintf("the kit itself was late by %v at %.1f s", late.Most.Round(time.Millisecond),
			late.MostAt.Seconds())
	}
	return m
}

// kitTime is the processor time that the kit has used.
func kitTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// fewCollections is how much the heap may grow between collections, in per cent: each makes the kit late.
const fewCollections = 400

// sparePs is by how much more goroutines may run at once than there are cores. The goroutine that plays the
// day comes back from waiting in the kernel; with none to spare it would queue behind those that serve
// sockets.
const sparePs = 3
