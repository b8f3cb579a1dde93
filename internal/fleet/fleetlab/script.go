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
	ClearNetwork   Kind = "calm"    // ends all faults of the network
	Cut            Kind = "cut"     // Agent, Other, Duration: the direction from Agent to Other
	Isolate        Kind = "isolate" // Agent, Duration
	Partition      Kind = "part"    // Agents, Duration
	Lossy          Kind = "lossy"   // Loss, Duplicate: at all agents, with delays of up to 3 s
	Corrupt        Kind = "damage"  // corrupts 5% of the datagrams
	Pause          Kind = "pause"   // Agent, Duration
	Clock          Kind = "clock"   // Agent, Duration: offset of its Unix time
	Kill           Kind = "kill"    // Agent, Duration: time until it is restarted
	EraseDisk      Kind = "lose"    // Agent: restarts it without its disk, if all voters are healthy
	Propose        Kind = "propose" // Agent
	ApplicationAct Kind = "upper"   // Agent: calls Options.Act
)

// Fault is a step of a script. Runs with equal options and scripts are equal.
type Fault struct {
	At        time.Duration `json:"at"` // time since the beginning of the run, in nanoseconds
	Kind      Kind          `json:"kind"`
	Agent     int           `json:"agent,omitempty"`
	Other     int           `json:"other,omitempty"`
	Agents    []int         `json:"some,omitempty"`
	Duration  time.Duration `json:"lasts,omitempty"`
	Loss      float64       `json:"loss,omitempty"`
	Duplicate float64       `json:"twice,omitempty"` // fraction of datagrams that are duplicated
}

// Script returns the faults that have been injected so far.
func (l *Lab) Script() []Fault { return l.script }

// Replay injects the faults of a script at their times, and checks a decision of each agent every 200 ms.
func (l *Lab) Replay(script []Fault) {
	const interval = 200 * time.Millisecond
	for _, f := range script {
		for at := l.begin.Add(f.At); l.World.Now().Before(at); l.CheckDecisions() {
			l.Run(min(interval, at.Sub(l.World.Now())))
		}
		l.InjectFault(f)
	}
}

func (l *Lab) addToScript(f Fault) {
	f.At = l.World.Now().Sub(l.begin)
	l.script = append(l.script, f)
}

// InjectFault injects a fault now, and adds it to the script.
func (l *Lab) InjectFault(f Fault) {
	l.addToScript(f)
	a := uint32(f.Agent)
	switch f.Kind {
	case ClearNetwork:
		l.ClearNetworkFaults()
	case Cut:
		l.World.Link(a, uint32(f.Other)).Cut = true
		l.after(f.Duration, func() { l.World.Link(a, uint32(f.Other)).Cut = false })
	case Isolate:
		l.Isolate(f.Agent, true)
		l.after(f.Duration, func() { l.Isolate(f.Agent, false) })
	case Partition:
		l.Partition(f.Agents, true)
		l.after(f.Duration, func() { l.Partition(f.Agents, false) })
	case Lossy:
		l.SetLoss(f.Loss, f.Duplicate, 3*time.Second)
	case Corrupt:
		l.World.ChangeAll(func(k *simnet.Link) { k.Corrupt = 0.05 })
	case Pause:
		l.World.Pause(a)
		l.after(f.Duration, func() { l.World.Resume(a) })
	case Clock:
		l.World.SetClock(a, f.Duration)
	case Kill:
		l.Kill(f.Agent)
		l.after(f.Duration, func() { l.World.Start(a) })
	case EraseDisk: // a majority of the voters keeps its disks
		if l.areVotersHealthy() {
			l.KillAndEraseDisk(f.Agent)
			l.World.Start(a)
		}
	case Propose:
		l.Propose(f.Agent)
	case ApplicationAct:
		l.opts.Act(f.Agent)
	}
}

// MinimizeScript returns a shorter script that still fails: it removes faults that are not needed for the
// failure, at first half of them at a time and then ever fewer, and rounds the times of the others.
func MinimizeScript(script []Fault, fails func([]Fault) bool) []Fault {
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
				func(f *Fault) { f.At = f.At.Round(unit) }, func(f *Fault) { f.Duration = f.Duration.Round(unit) },
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
