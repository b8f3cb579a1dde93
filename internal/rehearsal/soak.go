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

// Held is what was held in memory at a time of the day.
type Held struct {
	At   time.Duration
	Heap uint64 // bytes that are in use, of all agents and of the model round them
}

// Soaked is how a day went on the memory of the process that played it.
type Soaked struct {
	Held   []Held // at the end of each tenth of the day
	Agents int
}

// soakParts is how many times a day its memory is looked at.
const soakParts = 10

// Soak plays a day and looks at what is held in memory, which a report can't have: it differs a little from
// run to run. It must be the only day that the process plays meanwhile. Nothing is judged, so that no
// record of the day is held either: what grows is the agents, or the model round them.
func Soak(ctx context.Context, set *scenario.Scenario, o Options) (*Soaked, error) {
	return soak(ctx, set, o, nowhere{})
}

func soak(ctx context.Context, set *scenario.Scenario, o Options, sink record.Sink) (*Soaked, error) {
	figures, gate, err := figuresWithout(o.Without)
	if err != nil {
		return nil, err
	}
	s := &Soaked{Agents: set.Agents.Count}
	progress := func(at time.Duration) {
		if o.Progress != nil {
			o.Progress(at)
		}
		if len(s.Held) < soakParts && at >= set.Day.Length/soakParts*time.Duration(len(s.Held)+1) {
			s.look(at)
		}
	}
	err = world.Play(ctx, set, o.Seed, sink,
		world.Options{Figures: figures, Storm: gate, Progress: progress, Log: o.Log})
	if err == nil && len(s.Held) < soakParts {
		err = errors.New("the day is too short to look at its memory ten times")
	}
	return s, err
}

func (s *Soaked) look(at time.Duration) {
	var m runtime.MemStats
	runtime.GC() // the second one frees what finalizers and pools kept
	runtime.GC()
	runtime.ReadMemStats(&m)
	s.Held = append(s.Held, Held{at, m.HeapAlloc})
}

// Growth is how many bytes were held more at the end than a third of the day before, for each agent: the
// median of the last three looks less that of the three before, so that a moment's requests in flight are
// no growth.
func (s *Soaked) Growth() float64 {
	if len(s.Held) < soakParts {
		return 0
	}
	n := len(s.Held)
	return (middle(s.Held[n-3:]) - middle(s.Held[n-6:n-3])) / float64(max(s.Agents, 1))
}

func middle(h []Held) float64 {
	a, b, c := h[0].Heap, h[1].Heap, h[2].Heap
	return float64(max(min(a, b), min(max(a, b), c)))
}

// nowhere is where the record of a day goes that nobody judges.
type nowhere struct{}

func (nowhere) Begin(record.Day)          {}
func (nowhere) Server(int, record.Server) {}
func (nowhere) Take(*record.Event)        {}
func (nowhere) Sample(*record.Sample)     {}
func (nowhere) End(time.Duration)         {}
