package fleetlab

import (
	"slices"
	"time"

	"dunestep/internal/simnet"
)

// Kind is the kind of a Fault.
type Kind string

// The kinds, with the fields of Fault that each one uses.
const (
	Calm           Kind = "calm"    // ends all faults of the network
	Cut            Kind = "cut"     // Agent, Other, Lasts: the direction from the one to the other
	Isolate        Kind = "isolate" // Agent, Lasts
	Partition      Kind = "part"    // Agents, Lasts
	Lossy          Kind = "lossy"   // Loss, Double
	Damage         Kind = "damage"
	Pause          Kind = "pause" // Agent, Lasts
	Clock          Kind = "clock" // Agent, Lasts: the offset of its Unix time
	Kill           Kind = "kill"  // Agent, Lasts: until it is restarted
	Lose           Kind = "lose"  // Agent: its disk, if all voters are healthy
	Propose        Kind = "propose"
	ApplicationAct Kind = "upper" // Agent: Options.Act
)

// Fault is one step of a script. The same options and script give the same run.
type Fault struct {
	At        time.Duration `json:"at"` // since the beginning, in nanoseconds
	Kind      Kind          `json:"kind"`
	Agent     int           `json:"agent,omitempty"`
	Other     int           `json:"other,omitempty"`
	Agents    []int         `json:"some,omitempty"`
	Lasts     time.Duration `json:"lasts,omitempty"`
	Loss      float64       `json:"loss,omitempty"`
	Duplicate float64       `json:"twice,omitempty"` // the fraction that is duplicated
}

// Script returns the faults that were injected so far.
func (l *Lab) Script() []Fault { return l.script }

// Play injects the faults of a script, in the order of their times, and has all agents decide every 200 ms.
func (l *Lab) Play(script []Fault) {
	const interval = 200 * time.Millisecond
	for _, f := range script {
		for at := l.begin.Add(f.At); l.World.Now().Before(at); l.Decide() {
			l.Run(min(interval, at.Sub(l.World.Now())))
		}
		l.Do(f)
	}
}

func (l *Lab) note(f Fault) {
	f.At = l.World.Now().Sub(l.begin)
	l.script = append(l.script, f)
}

// Do injects a fault now, and adds it to the script.
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

// Shorten removes the faults of a failing script that are not needed for the failure, and rounds its times:
// at first half of the faults at a time, then fewer and fewer.
func Shorten(script []Fault, fails func([]Fault) bool) []Fault {
	for size := (len(script) + 1) / 2; size > 0; {
		isShorter := false
		for from := 0; from < len(script); {
			to := min(from+size, len(script))
			if without := slices.Delete(slices.Clone(script), from, to); fails(without) {
				script, isShorter = without, true
			} else {
				from = to
			}
		}
		if size == 1 && !isShorter {
			break
		}
		if !isShorter || size > 1 {
			size = max(size/2, 1)
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
