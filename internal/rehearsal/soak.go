package rehearsal

import (
	"context"
	"errors"
	"runtime"
	"time"

	"dunestep/internal/rehearsal/record"
	"dunestep/internal/rehearsal/scenario"
	"dunestep/internal/rehearsal/world"
)

// Held is the memory in use at a time of the run.
type Held struct {
	At   time.Duration
	Heap uint64 // heap bytes in use by all agents and the simulated world
}

// Soaked is the memory use over a run.
type Soaked struct {
	Held   []Held // at the end of each tenth of the run
	Agents int
}

// soakSamples is the number of memory samples in a run.
const soakSamples = 10

// Soak runs a scenario and samples the memory in use, which is not part of a report because it varies from
// run to run. No other run may be in progress in the process. Nothing is judged, so no record of the run is
// kept: memory that grows belongs to the agents or the simulated world.
func Soak(ctx context.Context, set *scenario.Scenario, o Options) (*Soaked, error) {
	return soak(ctx, set, o, discardSink{})
}

func soak(ctx context.Context, set *scenario.Scenario, o Options, sink record.Sink) (*Soaked, error) {
	tuning, shedding, err := tuningWithout(o.Without)
	if err != nil {
		return nil, err
	}
	s := &Soaked{Agents: set.Agents.Count}
	progress := func(at time.Duration) {
		if o.Progress != nil {
			o.Progress(at)
		}
		if len(s.Held) < soakSamples && at >= set.Day.Length/soakSamples*time.Duration(len(s.Held)+1) {
			s.sample(at)
		}
	}
	err = world.Play(ctx, set, o.Seed, sink,
		world.Options{Figures: tuning, Storm: shedding, Progress: progress, Log: o.Log})
	if err == nil && len(s.Held) < soakSamples {
		err = errors.New("the run is too short for ten memory samples")
	}
	return s, err
}

func (s *Soaked) sample(at time.Duration) {
	var m runtime.MemStats
	runtime.GC() // the second collection frees what finalizers and pools kept alive
	runtime.GC()
	runtime.ReadMemStats(&m)
	s.Held = append(s.Held, Held{at, m.HeapAlloc})
}

// Growth returns the growth in bytes per agent toward the end of the run: the median of the last three
// samples less the median of the three before. The medians exclude the memory of momentary peaks of
// requests in flight.
func (s *Soaked) Growth() float64 {
	if len(s.Held) < soakSamples {
		return 0
	}
	n := len(s.Held)
	return (medianOfThree(s.Held[n-3:]) - medianOfThree(s.Held[n-6:n-3])) / float64(max(s.Agents, 1))
}

func medianOfThree(samples []Held) float64 {
	a, b, c := samples[0].Heap, samples[1].Heap, samples[2].Heap
	return float64(max(min(a, b), min(max(a, b), c)))
}

// discardSink discards the record of a run.
type discardSink struct{}

func (discardSink) Begin(record.Day)          {}
func (discardSink) Server(int, record.Server) {}
func (discardSink) Take(*record.Event)        {}
func (discardSink) Sample(*record.Sample)     {}
func (discardSink) End(time.Duration)         {}
