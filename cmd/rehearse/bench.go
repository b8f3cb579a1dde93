package main

import (
	"fmt"
	"os"
	"time"

	"dunestep/internal/rehearsal/live"
)

type benchCommand struct {
	Agent   []string      `default:"bin/dunestep" help:"An agent's program, or several." placeholder:"FILE"`
	Rounds  int           `default:"1" help:"How often each is measured, in turn."`
	Conns   int           `default:"64" help:"Kept connections to it."`
	Servers int           `default:"8" help:"Stand-ins behind it, which answer at once."`
	Length  time.Duration `default:"5s" help:"Of each measurement."`
	Load    float64       `help:"Measure a live day's load by itself, so many requests a second."`
	Cores   int           `default:"4" help:"That the load by itself may use."`
	Rate    []float64     `help:"Rates to measure latencies at, in place of parts of the agent's."`
}

// Run measures.
func (c *benchCommand) Run(d desk) error {
	if c.Load > 0 {
		return c.load(d)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	b, err := live.RunBench(d.ctx, live.BenchOptions{
		Programs: c.Agent, Rounds: c.Rounds,
		Self: []string{self, "part"}, Conns: c.Conns,
		Servers: c.Servers, Length: c.Length, Rates: c.Rate,
	})
	if b != nil && len(b.Costs) > 0 {
		if err := b.Text(d.stdout); err != nil {
			return err
		}
	}
	return err
}

func (c *benchCommand) load(d desk) error {
	b, err := live.RunLoadBench(d.ctx, c.Load, c.Length, c.Cores)
	if err != nil {
		return err
	}
	h := b.Late.Happenings
	fmt.Fprintf(d.stdout, "%d requests asked for, %d answered, %.0f a second, on %d cores with %.2f s of "+
		"processor time\n", b.Asked, b.Answered, b.PerS, b.Cores, b.CPUS)
	fmt.Fprintf(d.stdout, "late by: half of the time %d us, p99 %d us, p99.9 %d us, most %v\n",
		h.ValueAtQuantile(50), h.ValueAtQuantile(99), h.ValueAtQuantile(99.9), b.Late.Most)
	return nil
}

// partCommand is one of those that a bench compares the agent with.
type partCommand struct {
	Part    string   `arg:""`
	Listen  string   `arg:""`
	Servers []string `arg:""`
}

// Run runs until it is ended.
func (c *partCommand) Run() error { return live.RunPart(c.Part, c.Listen, c.Servers) }
