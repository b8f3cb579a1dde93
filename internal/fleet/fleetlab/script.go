package fleetlab

import (
	"slices"
	"time"

	"dunestep/internal/simnet"
)

// Kind is what a Fault is.
type Kind string

// The kinds, with the fields of Fault that each one uses.
const (
	Calm           Kind = "calm"    // what ails the network ends
	Cut            Kind = "cut"     // Agent, Other, Lasts: that direction
	Isolate        Kind = "isolate" // Agent, Lasts
	Partition      Kind = "part"    // Agents, Lasts
	Lossy          Kind = "lossy"   // Loss, Double
	Damage         Kind = "damage"
	Pause          Kind = "pause" // Agent, Lasts
	Clock          Kind = "clock" // Agent, Lasts: by how much it is ahead
	Kill           Kind = "kill"  // Agent, Lasts: until it is started again
	Lose           Kind = "lose"  // Agent: its disk, where all voters are well
	Propose        Kind = "propose"
	ApplicationAct Kind = "upper" // Agent: Options.Act
)

// Fault is one step of a script. The same options and script are the same course.
type Fault struct {
	At        time.Duration `json:"at"` // since the beginning; times are in nanoseconds
	Kind      Kind          `json:"kind"`
	Agent     int           `json:"agent,omitempty"`
	Other     int           `json:"other,omitempty"`
	Agents    []int         `json:"some,omitempty"`
	Lasts     time.Duration `json:"lasts,omitempty"`
	Loss      float64       `json:"loss,omitempty"`
	Duplicate float64       `json:"twice,omitempty"` // the part that is doubled
}

// Script is what was done so far.
func (l *Lab) Script() []Fault { return l.script }

// Play plays a script, in the order of its times, with a look at all agents every 200 ms.
func (l *Lab) Play(script []Fault) {
	const look = 200 * time.Millisecond
	for _, f := range script {
		for at := l.begin.Add(f.At); l.World.Now().Before(at); l.Decide() {
			l.Run(min(look, at.Sub(l.World.Now())))
		}
		l.Do(f)
	}
}

func (l *Lab) note(f Fault) {
	f.At = l.World.Now().Sub(l.begin)
	l.script = append(l.script, f)
}

// Do has a fault be now, and notes it.
func (l *Lab) Do(f Fault) {
	l.note(f)
	a := uint32(f.Agent)
	switch f.Kind {
	case Calm:
		l.Calm()
	case Cut:
		l.World.Link(a, uint32(f.Other)).Cut = true
		l.after(f.Lasts, func() { l.World.Link(a, uint32(f.Other)).Cut = false })
	case Isolate:
		l.Isolate(f.Agent, true)
		l.after(f.Lasts, func() { l.Isolate(f.Agent, false) })
	case Partition:
		l.Partition(f.Agents, true)
		l.after(f.Lasts, func() { l.Partition(f.Agents, false) })
	case Lossy:
		l.Lossy(f.Loss, f.Duplicate, 3*time.Second)
	case Damage:
		l.World.ChangeAll(func(k *simnet.Link) { k.Corrupt = 0.05 })
	case Pause:
		l.World.Pause(a)
		l.after(f.Lasts, func() { l.World.Resume(a) })
	case Clock:
		l.World.SetClock(a, f.Lasts)
	case Kill:
		l.Kill(f.Agent)
		l.after(f.Lasts, func() { l.World.Start(a) })
	case Lose: // a majority stays
		if l.healthy() {
			l.Lose(f.Agent)
			l.World.Start(a)
		}
	case Propose:
		l.Propose(f.Agent)
	case ApplicationAct:
		l.opts.Act(f.Agent)
	}
}

// Shorten leaves out what a script fails without, and has times be round, as long as it fails still: at first
// halves, then less and less.
func Shorten(script []Fault, fails func([]Fault) bool) []Fault {
	for part := (len(script) + 1) / 2; part > 0; {
		less := false
		for from := 0; from < len(script); {
			to := min(from+part, len(script))
			if without := slices.Delete(slices.Clone(script), from, to); fails(without) {
				script, less = without, true
			} else {
				from = to
			}
		}
		if part == 1 && !less {
			break
		}
		if !less || part > 1 {
			part = max(part/2, 1)
		}
	}
	for _, unit := range []time.Duration{time.Second, 100 * time.Millisecond, 10 * time.Millisecond} {
		for i := range script {
			for _, round := range []func(*Fault){
				func(f *Fault) { f.At = f.At.Round(unit) }, func(f *Fault) { f.Lasts = f.Lasts.Round(unit) },
			} {
				rounder := slices.Clone(script)
				if round(&rounder[i]); rounder[i].At >= script[max(i-1, 0)].At && fails(rounder) {
					script = rounder
				}
			}
		}
	}
	return script
}
