package live

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"runtime"
	"runtime/debug"
	"time"

	"dunestep/internal/protocol"
	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/world"
	"dunestep/internal/standin"
	"dunestep/internal/standin/program"
)

// loadScenario measures the load generator alone: it has no faults and no client retries.
const loadScenario = `schema = 1
name = "load"
floor = 0
day = { length_s = %g, from_s = 0 }
load = { per_s = %g, keys = 1000 }
agents = { count = 4, zipf = 0 }
fleet = { servers = 1 }
clients = { impatient = 0, retries = 0 }
kind = [{ name = "any", share = 1, cores = 1, speed = 1 }]

[[class]]
name = "any"
share = 1
work_ms = 1
aim_ms = 500
deadline_ms = 2500
worth = 1
effect = "safe"
`

// LoadBench is the result of running the load generator of a live scenario run by itself.
type LoadBench struct {
	AnsweredPerSecond float64 // answered requests per second
	Sent              int     // requests sent
	Answered          int     // requests answered
	Lateness          world.Lateness
	CPUSeconds        float64 // CPU time of the load generator, in seconds
	Cores             int
}

// RunLoadBench sends the clients' requests of a live scenario run to stand-ins that answer immediately,
// with no agents or upstream servers. It sends perS requests per second on the given number of cores.
func RunLoadBench(ctx context.Context, perS float64, length time.Duration, cores int) (*LoadBench, error) {
	sc, err := scenario.Parse("load", fmt.Appendf(nil, loadScenario, length.Seconds(), perS))
	if err != nil {
		return nil, err
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores * procsPerCore))
	defer debug.SetGCPercent(debug.SetGCPercent(gcPercent))
	counter := &requestCounter{}
	env, err := world.NewLiveRun(sc, 1, counter, world.Options{})
	if err != nil {
		return nil, err
	}
	defer env.Close()
	w := &instantWire{wire: wire{scenario: sc, env: env}}
	for i := range sc.Agents.Count {
		server, err := standin.ListenInstantServer(addresses{os.Getpid()}.agent(i) + ":0")
		if err != nil {
			return nil, err
		}
		defer server.Close()
		w.agents = append(w.agents, &agentStandins{number: i, agent: &program.Agent{Addr: server.Addr()}})
	}
	start, cpuBefore := time.Now(), kitCPUTime()
	err = env.Play(ctx, w)
	elapsed := time.Since(start)
	return &LoadBench{
		AnsweredPerSecond: float64(counter.answered) / min(elapsed, length).Seconds(), Sent: counter.requests,
		Answered: counter.answered, Lateness: env.Lateness(), CPUSeconds: (kitCPUTime() - cpuBefore).Seconds(),
		Cores: cores,
	}, err
}

// instantWire replaces each agent by a stand-in that answers immediately, without upstream servers.
type instantWire struct{ wire }

// Server implements world.Wire.
func (w *instantWire) Server(netip.AddrPort) error { return nil }

// Gate implements world.Wire.
func (w *instantWire) Gate(int, netip.AddrPort, world.Gate) {}

// Start implements world.Wire.
func (w *instantWire) Start(number, run int, _ protocol.EndpointList) { w.env.AgentReady(number, run) }

// requestCounter counts requests and answers.
type requestCounter struct{ requests, answered int }

// Begin implements record.Sink.
func (c *requestCounter) Begin(record.Run) {}

// Server implements record.Sink.
func (c *requestCounter) Server(int, record.Server) {}

// Observe implements record.Sink.
func (c *requestCounter) Observe(e *record.Event) {
	switch e.Kind {
	case record.RequestReceived:
		c.requests++
	case record.Answered:
		c.answered++
	}
}

// Sample implements record.Sink.
func (c *requestCounter) Sample(*record.Sample) {}

// End implements record.Sink.
func (c *requestCounter) End(time.Duration) {}
