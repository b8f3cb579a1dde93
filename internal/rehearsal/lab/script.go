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

// Play plays a script of faults, a scenario's troubles, from now on, and returns when all are over. Figures
// are drawn by the lab's seed and which script of the lab's it is. Where the context ends first, all faults
// end then, and its error is returned; an agent that a fault keeps down is started again.
//
// A lab plays datagrams, streams, agents_paused, agents_slowed, agents_killed and agents_restarted; of the
// others, which need a day's load and servers, the error tells.
func (l *Lab) Play(ctx context.Context, troubles []scenario.Trouble) error {
	troubles, err := scenario.Check(len(l.agents), troubles)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.script++
	chance := rand.New(rand.NewPCG(l.o.Seed, uint64(l.script)))
	l.mu.Unlock()
	var turns []*turn
	for i := range troubles {
		f, err := l.fault(&troubles[i], chance)
		if err != nil {
			return fmt.Errorf("lab: trouble[%d]: %w", i, err)
		}
		turns = append(turns, f.turns(&troubles[i], chance)...)
	}
	slices.SortStableFunc(turns, func(a, b *turn) int { return cmp.Compare(a.at, b.at) })
	began := time.Now()
	var failed error
	for _, t := range turns {
		if failed == nil {
			failed = sleep(ctx, t.at-time.Since(began))
		}
		if failed != nil && t.begins { // only what is there is to be ended
			continue
		}
		if err := t.happen(context.WithoutCancel(ctx)); err != nil && failed == nil {
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

// fault is a trouble that can begin, and then end.
type fault struct {
	begin func() (end func(ctx context.Context) error, err error)
	end   func(context.Context) error // nil: it is not there
}

// turn is when a fault begins or ends.
type turn struct {
	at     time.Duration
	begins bool
	fault  *fault
}

func (t *turn) happen(ctx context.Context) (err error) {
	f := t.fault
	if t.begins {
		f.end, err = f.begin()
		return err
	}
	if end := f.end; end != nil {
		f.end = nil
		return end(ctx)
	}
	return nil
}

// turns are when a trouble comes and goes.
func (f *fault) turns(t *scenario.Trouble, chance *rand.Rand) (turns []*turn) {
	at, lasts := t.At.Draw(chance), t.For.Draw(chance)
	on, off := t.On.Draw(chance), t.Off.Draw(chance)
	over := at + lasts
	if on == 0 {
		on = lasts
	}
	for ; at < over; at += on + off {
		turns = append(turns, &turn{at, true, f}, &turn{min(at+on, over), false, f})
		if off == 0 {
			break
		}
	}
	return turns
}

// fault is what a trouble does in a lab.
func (l *Lab) fault(t *scenario.Trouble, chance *rand.Rand) (*fault, error) {
	who := l.whom(t)
	each := func(begin func(*Agent) (end func())) *fault {
		return &fault{begin: func() (func(context.Context) error, error) {
			var ends []func()
			for _, a := range who {
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
		spoils := mishap.FromTrouble(t, chance)
		return &fault{begin: func() (func(context.Context) error, error) {
			end, err := l.Spoil(spoils)
			if err != nil {
				return nil, err
			}
			return func(context.Context) error { end(); return nil }, nil
		}}, nil
	case scenario.Streams:
		return each(func(a *Agent) func() { return a.Hinder(t.Stream, t.Fault) }), nil
	case scenario.AgentsPaused:
		return each(func(a *Agent) func() { return a.pause() }), nil
	case scenario.AgentsSlowed:
		share := t.Size.Draw(chance)
		return each(func(a *Agent) func() { a.Slow(share); return func() { a.Slow(1) } }), nil
	case scenario.AgentsKilled:
		return l.down(who, func(a *Agent) error {
			a.Kill()
			if t.Folder == "empty" {
				return a.Empty()
			}
			return nil
		}), nil
	case scenario.AgentsRestarted:
		return l.down(who, func(a *Agent) error { a.Drain(); return nil }), nil
	}
	return nil, fmt.Errorf("kind %q needs a day, as rehearse plays it", t.Kind)
}

// down is a fault that ends processes. They are launched again when it ends, and not waited for.
func (l *Lab) down(who []*Agent, stop func(*Agent) error) *fault {
	return &fault{begin: func() (end func(context.Context) error, err error) {
		for _, a := range who {
			err = errors.Join(err, stop(a))
		}
		return func(ctx context.Context) error {
			for _, a := range who {
				if err := l.Wait(ctx, a.Name+" has ended", func() bool { return !a.Runs() }); err != nil {
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

// whom are the agents that a trouble comes over.
func (l *Lab) whom(t *scenario.Trouble) []*Agent {
	if len(t.Agents) > 0 {
		var some []*Agent
		for _, n := range t.Agents {
			some = append(some, l.agents[n])
		}
		return some
	}
	if t.Count > 0 {
		return l.agents[:t.Count]
	}
	return l.agents
}
