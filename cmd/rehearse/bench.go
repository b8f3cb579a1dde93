package main

import (
	"fmt"
	"os"
	"time"

	"dunestep/internal/rehearsal/live"
)

type benchCommand struct {
	Agent   []string      `default:"bin/dunestep" help:"The agent's program, or several." placeholder:"FILE"`
	Rounds  int           `default:"1" help:"How often each program is measured, in turn."`
	Conns   int           `default:"64" help:"Kept-alive connections to the agent."`
	Servers int           `default:"8" help:"Upstream servers behind the agent, which answer at once."`
	Length  time.Duration `default:"5s" help:"Duration of each measurement."`
	Load    float64       `help:"Measure the load generator of live runs alone, at this many requests a second."`
	Cores   int           `default:"4" help:"Cores that the load generator may use with --load."`
	Rate    []float64     `help:"Rates for latencies, instead of fractions of the agent's highest rate."`
}

// Run measures the agent's cost, or the load generator alone, and prints the results.
func (c *benchCommand) Run(inv invocation) error {
	if c.Load > 0 {
		return c.load(inv)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	bench, err := live.RunBench(inv.ctx, live.BenchOptions{
		Programs: c.Agent, Rounds: c.Rounds,
		PartCommand: []string{self, "part"}, Conns: c.Conns,
		Servers: c.Servers, Duration: c.Length, Rates: c.Rate,
	})
	if bench != nil && len(bench.Costs) > 0 {
		if err := bench.Text(inv.stdout); err != nil {
			return err
		}
	}
	return err
}

func (c *benchCommand) load(inv invocation) error {
	bench, err := live.RunLoadBench(inv.ctx, c.Load, c.Length, c.Cores)
	if err != nil {
		return err
	}
	lateness := bench.Lateness.Events
	fmt.Fprintf(inv.stdout, "%d requests scheduled, %d answered, %.0f a second, on %d cores with %.2f s of "+
		"processor time\n", bench.Sent, bench.Answered, bench.AnsweredPerSecond, bench.Cores, bench.CPUSeconds)
	fmt.Fprintf(inv.stdout, "lateness: p50 %d us, p99 %d us, p99.9 %d us, max %v\n",
		lateness.ValueAtQuantile(50), lateness.ValueAtQuantile(99), lateness.ValueAtQuantile(99.9),
		bench.Lateness.Max)
	return nil
}

// partCommand runs, in a process of its own, a part that a bench compares with the agent.
type partCommand struct {
	Part    string   `arg:""`
	Listen  string   `arg:""`
	Servers []string `arg:""`
}

// Run runs the part until the process is ended.
func (c *partCommand) Run() error { return live.RunPart(c.Part, c.Listen, c.Servers) }
