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

// loadDay is a day for the load alone.
const loadDay = `schema = 1
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

// LoadBench is what the load of a live day did by itself.
type LoadBench struct {
	PerS     float64 // answered
	Asked    int
	Answered int
	Late     world.Lateness
	CPUS     float64
	Cores    int
}

// RunLoadBench plays a live day's clients, and nothing else, at stand-ins that answer at once: so many
// requests a second on so many cores.
func RunLoadBench(ctx context.Context, perS float64, length time.Duration, cores int) (*LoadBench, error) {
	set, err := scenario.Parse("load", fmt.Appendf(nil, loadDay, length.Seconds(), perS))
	if err != nil {
		return nil, err
	}
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(cores * sparePs))
	defer debug.SetGCPercent(debug.SetGCPercent(fewCollections))
	counts := &counting{}
	day, err := world.NewLive(set, 1, counts, world.Options{})
	if err != nil {
		return nil, err
	}
	defer day.Close()
	w := &quickWire{wire: wire{set: set, day: day}}
	for i := range set.Agents.Count {
		q, err := standin.ListenQuick(addresses{os.Getpid()}.of(i) + ":0")
		if err != nil {
			return nil, err
		}
		defer q.Close()
		w.agents = append(w.agents, &surroundings{number: i, agent: &program.Agent{Addr: q.Addr()}})
	}
	began, before := time.Now(), kitTime()
	err = day.Play(ctx, w)
	took := time.Since(began)
	return &LoadBench{
		PerS: float64(counts.answered) / min(took, length).Seconds(), Asked: counts.asked,
		Answered: counts.answered, Late: day.Late(), CPUS: (kitTime() - before).Seconds(), Cores: cores,
	}, err
}

// quickWire has a stand-in in place of each agent: there are no booking servers behind it.
type quickWire struct{ wire }

// Server implements world.Wire.
func (w *quickWire) Server(netip.AddrPort) error { return nil }

// Gate implements world.Wire.
func (w *quickWire) Gate(int, netip.AddrPort, world.Gate) {}

// Start implements world.Wire.
func (w *quickWire) Start(number, run int, _ protocol.EndpointList) { w.day.AgentReady(number, run) }

// counting counts what a load comes to.
type counting struct{ asked, answered int }

// Begin implements record.Sink.
func (c *counting) Begin(record.Day) {}

// Server implements record.Sink.
func (c *counting) Server(int, record.Server) {}

// Take implements record.Sink.
func (c *counting) Take(e *record.Event) {
	switch e.Kind {
	case record.Asked:
		c.asked++
	case record.Answered:
		c.answered++
	}
}

// Sample implements record.Sink.
func (c *counting) Sample(*record.Sample) {}

// End implements record.Sink.
func (c *counting) End(time.Duration) {}
