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

// HeapSample is the memory in use at one time of the run.
type HeapSample struct {
	At   time.Duration
	Heap uint64 // heap bytes in use by all agents and the simulated world
}

// SoakResult is the memory use over a run.
type SoakResult struct {
	Samples []HeapSample // at the end of each tenth of the run
	Agents  int
}

// soakSamples is the number of memory samples in a run.
const soakSamples = 10

// Soak runs a scenario and samples the memory in use, which is not part of a report because it varies from
// run to run. No other run may be in progress in the process. Nothing is judged, so no record of the run is
// kept: memory that grows belongs to the agents or the simulated world.
func Soak(ctx context.Context, sc *scenario.Scenario, o Options) (*SoakResult, error) {
	return soak(ctx, sc, o, discardSink{})
}

func soak(ctx context.Context, sc *scenario.Scenario, o Options, sink record.Sink) (*SoakResult, error) {
	tuning, shedding, err := tuningWithout(o.Without)
	if err != nil {
		return nil, err
	}
	s := &SoakResult{Agents: sc.Agents.Count}
	progress := func(at time.Duration) {
		if o.Progress != nil {
			o.Progress(at)
		}
		if len(s.Samples) < soakSamples && at >= sc.Run.Length/soakSamples*time.Duration(len(s.Samples)+1) {
			s.sample(at)
		}
	}
	err = world.Play(ctx, sc, o.Seed, sink,
		world.Options{Tuning: tuning, Overload: shedding, Progress: progress, Log: o.Log})
	if err == nil && len(s.Samples) < soakSamples {
		err = errors.New("the run is too short for ten memory samples")
	}
	return s, err
}

func (s *SoakResult) sample(at time.Duration) {
	var m runtime.MemStats
	runtime.GC() // the second collection frees what finalizers and pools kept alive
	runtime.GC()
	runtime.ReadMemStats(&m)
	s.Samples = append(s.Samples, HeapSample{at, m.HeapAlloc})
}

// Growth returns the growth in bytes per agent toward the end of the run: the median of the last three
// samples less the median of the three before. The medians exclude the memory of momentary peaks of
// requests in flight.
func (s *SoakResult) Growth() float64 {
	if len(s.Samples) < soakSamples {
		return 0
	}
	n := len(s.Samples)
	return (medianOfThree(s.Samples[n-3:]) - medianOfThree(s.Samples[n-6:n-3])) / float64(max(s.Agents, 1))
}

func medianOfThree(samples []HeapSample) float64 {
	a, b, c := samples[0].Heap, samples[1].Heap, samples[2].Heap
	return float64(max(min(a, b), min(max(a, b), c)))
}

// discardSink discards the record of a run.
type discardSink struct{}

func (discardSink) Begin(record.Run)          {}
func (discardSink) Server(int, record.Server) {}
func (discardSink) Observe(*record.Event)     {}
func (discardSink) Sample(*record.Sample)     {}
func (discardSink) End(time.Duration)         {}
