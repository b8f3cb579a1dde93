package lab

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dunestep/internal/rehearsal/mishap"
	"dunestep/internal/rehearsal/scenario"
)

// Play plays a script of faults, given as for a scenario, and returns when all have ended. Values
// are drawn from the lab's seed and the number of the script. If the context ends first, all faults end
// then, agents that a fault stopped are launched again, and the context's error is returned.
//
// A lab supports the kinds datagrams, streams, agents_paused, agents_slowed, agents_killed and
// agents_restarted. The other kinds need a scenario's load and servers; Play returns an error for them.
func (l *Lab) Play(ctx context.Context, faults []scenario.FaultSpec) error {
	faults, err := scenario.Check(len(l.agents), faults)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.scriptsPlayed++
	random := rand.New(rand.NewPCG(l.options.Seed, uint64(l.scriptsPlayed)))
	l.mu.Unlock()
	var events []*faultEvent
	for i := range faults {
		f, err := l.newFault(&faults[i], random)
		if err != nil {
			return fmt.Errorf("lab: trouble[%d]: %w", i, err)
		}
		events = append(events, f.events(&faults[i], random)...)
	}
	slices.SortStableFunc(events, func(a, b *faultEvent) int { return cmp.Compare(a.at, b.at) })
	start := time.Now()
	var failed error
	for _, event := range events {
		if failed == nil {
			failed = sleep(ctx, event.at-time.Since(start))
		}
		if failed != nil && event.starts { // after an error, only active faults are ended
			continue
		}
		if err := event.run(context.WithoutCancel(ctx)); err != nil && failed == nil {
			failed = err
		}
	}
	return failed
}

func sleep(ctx context.Context, wait time.Duration) error {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
	return ctx.Err()
}

// fault is a fault of a script that can begin and end.
type fault struct {
	begin func() (end func(ctx context.Context) error, err error)
	end   func(context.Context) error // nil: the fault is not active
}

// faultEvent is the start or the end of a fault.
type faultEvent struct {
	at     time.Duration
	starts bool
	fault  *fault
}

func (e *faultEvent) run(ctx context.Context) (err error) {
	f := e.fault
	if e.starts {
		f.end, err = f.begin()
		return err
	}
	if end := f.end; end != nil {
		f.end = nil
		return end(ctx)
	}
	return nil
}

// events draws the times at which a fault starts and ends, in pairs.
func (f *fault) events(t *scenario.FaultSpec, random *rand.Rand) (events []*faultEvent) {
	at, duration := t.At.Draw(random), t.For.Draw(random)
	on, off := t.On.Draw(random), t.Off.Draw(random)
	end := at + duration
	if on == 0 {
		on = duration
	}
	for ; at < end; at += on + off {
		events = append(events, &faultEvent{at, true, f}, &faultEvent{min(at+on, end), false, f})
		if off == 0 {
			break
		}
	}
	return events
}

// newFault returns the fault that a FaultSpec describes.
func (l *Lab) newFault(t *scenario.FaultSpec, random *rand.Rand) (*fault, error) {
	agents := l.targets(t)
	each := func(begin func(*Agent) (end func())) *fault {
		return &fault{begin: func() (func(context.Context) error, error) {
			var ends []func()
			for _, a := range agents {
				ends = append(ends, begin(a))
			}
			return func(context.Context) error {
				for _, end := range ends {
					end()
				}
				return nil
			}, nil
		}}
	}
	switch t.Kind {
	case scenario.Datagrams:
		networkFault := mishap.FromFaultSpec(t, random)
		return &fault{begin: func() (func(context.Context) error, error) {
			end, err := l.InjectNetworkFault(networkFault)
			if err != nil {
				return nil, err
			}
			return func(context.Context) error { end(); return nil }, nil
		}}, nil
	case scenario.Streams:
		return each(func(a *Agent) func() { return a.InjectStreamFault(t.Stream, t.Fault) }), nil
	case scenario.AgentsPaused:
		return each(func(a *Agent) func() { return a.pause() }), nil
	case scenario.AgentsSlowed:
		share := t.Size.Draw(random)
		return each(func(a *Agent) func() { a.SetCPUShare(share); return func() { a.SetCPUShare(1) } }), nil
	case scenario.AgentsKilled:
		return l.processFault(agents, func(a *Agent) error {
			a.Kill()
			if t.StateDir == "empty" {
				return a.ClearTempDir()
			}
			return nil
		}), nil
	case scenario.AgentsRestarted:
		return l.processFault(agents, func(a *Agent) error { a.Drain(); return nil }), nil
	}
	return nil, fmt.Errorf("kind %q needs a scenario run; a lab does not support it", t.Kind)
}

// processFault returns a fault that stops agents. When it ends, they are launched again without waiting until
// they are ready.
func (l *Lab) processFault(agents []*Agent, stop func(*Agent) error) *fault {
	return &fault{begin: func() (end func(context.Context) error, err error) {
		for _, a := range agents {
			err = errors.Join(err, stop(a))
		}
		return func(ctx context.Context) error {
			for _, a := range agents {
				if err := l.Wait(ctx, a.Name+" has ended", func() bool { return !a.IsRunning() }); err != nil {
					return err
				}
				if err := a.Launch(); err != nil {
					return err
				}
			}
			return nil
		}, err
	}}
}

// targets returns the agents that a fault affects.
func (l *Lab) targets(t *scenario.FaultSpec) []*Agent {
	if len(t.Agents) > 0 {
		var agents []*Agent
		for _, n := range t.Agents {
			agents = append(agents, l.agents[n])
		}
		return agents
	}
	if t.Count > 0 {
		return l.agents[:t.Count]
	}
	return l.agents
}
