package lab

import (
	"fmt"
	"math"
	"slices"
	"time"

	"dunestep/internal/control/policy"
	"dunestep/internal/fleet/lease"
	"dunestep/internal/simnet"
)

// Terms are those of the courses: short, so that much happens in little time.
func Terms() policy.Times {
	return policy.Times{Terms: lease.Terms{
		Duration: 2 * time.Second, MaxKnowledgeAge: 500 * time.Millisecond,
		MaxClockError: 100 * time.Millisecond, MaxDrift: 0.01,
	}, ActivationLead: 300 * time.Millisecond, FloorValidity: 2 * time.Second}
}

const (
	troubled = 20 * time.Second // for how long a course has faults
	healed   = 8 * time.Second  // and for how long none
)

// theme is what a course has more of than others.
type theme int

const (
	mixed     theme = iota
	forgotten       // as a change is proposed a voter forgets the leases that it granted
	nobody          // then all agents are cut off: nobody is left who could say no
	narrowed        // the floor is narrowed, and used, while an agent is cut off
)

// quiet tells whether less else goes wrong, so that what the theme is about comes to pass.
func (l *Lab) quiet() bool { return l.theme == forgotten || l.theme == narrowed }

// Course plays changes among all faults, and then a while without.
func Course(seed uint64, agents int, without string) *Lab {
	l := New(Setup{
		Seed: seed, Voters: 3, Agents: agents, Times: Terms(), LeadTime: 800 * time.Millisecond,
		Without: without, Faults: simnet.Faults{
			Loss: 0.1, Duplicate: 0.1, MinDelay: time.Millisecond,
			MaxDelay: 20 * time.Millisecond, Late: 0.05, Lateness: 3 * time.Second,
		},
	})
	begin := l.Now()
	end := begin + troubled
	l.every(begin, end+healed, 100*time.Millisecond, l.Decide)
	l.every(begin+2*time.Second, end, 1500*time.Millisecond, l.askForOne)
	l.every(begin+2*time.Second, end, 800*time.Millisecond, func() { l.fault(end) })
	l.atSteps()
	if l.theme = theme(seed % 4); l.theme == narrowed {
		l.At(begin+2*time.Second, func() { l.cutOff(len(l.voters)+agents-1, end) })
	}
	if l.theme == mixed {
		l.Odd(0)
	}
	l.Run(end)
	l.heal()
	l.Run(end + healed)
	return l
}

func (l *Lab) every(from, to, step time.Duration, do func()) {
	for at := from; at < to; at += step {
		l.At(at+time.Duration(l.Rand().Int64N(int64(step))), do)
	}
}

// askForOne has some node ask for a change.
func (l *Lab) askForOne() {
	n := l.Rand().IntN(len(l.voters) + len(l.agents))
	if l.node(n).life == 0 || l.IsPaused(n) {
		return
	}
	tries := max(1, l.Rand().IntN(4)) // one attempt, less than some floors: half of the time
	floor := min(1+l.Rand().IntN(2), tries)
	switch {
	case l.theme == forgotten: // all can use it
		floor, tries = 2, 2
	case l.theme == narrowed && l.State().InForce.Number == 0:
		floor, tries = 1, 2
	case l.theme == narrowed:
		floor, tries = 1, 1
	}
	l.Propose(n, Document(floor, tries, 0.3+0.4*l.Rand().Float64()))
}

// Document has a floor of so many attempts, so many attempts of a class, and a share of one of the tenants.
func Document(floor, attempts int, share float64) string {
	return fmt.Sprintf("format = 1\n[floor]\nattempts = %d\nshare = 0.4\n[classes.find]\nattempts = %d\n"+
		"[tenants.east]\nshare = %.3f\n[tenants.west]\nshare = %.3f\n", floor, attempts, share, 1-share-0.001)
}

// fault has one thing go wrong, for a while.
func (l *Lab) fault(end time.Duration) {
	rng := l.Rand()
	if l.quiet() && rng.IntN(4) > 0 {
		return
	}
	n := rng.IntN(len(l.voters) + len(l.agents))
	if rng.IntN(3) == 0 {
		n = rng.IntN(len(l.voters))
	}
	other := rng.IntN(len(l.voters) + len(l.agents))
	until := min(l.Now()+time.Duration(rng.Int64N(int64(6*time.Second))), end)
	switch rng.IntN(7) {
	case 0:
		l.Pause(n, until)
	case 1:
		l.cut(n, other, until)
	case 2: // from all, one way
		for i := range len(l.voters) + len(l.agents) {
			l.cut(i, n, until)
		}
	case 3:
		l.cutOff(n, min(l.Now()+time.Duration(rng.Int64N(int64(15*time.Second))), end))
	case 4:
		t := l.set.Times.Terms
		l.SetClock(n, time.Duration((2*rng.Float64()-1)*float64(t.MaxClockError)), 1+(2*rng.Float64()-1)*t.MaxDrift)
	case 5:
		l.restart(n, until)
	case 6:
		if l.leader >= 0 {
			l.restart(l.leader, until)
		}
	}
}

func (l *Lab) restart(n int, until time.Duration) {
	l.Stop(n)
	if l.Rand().IntN(2) == 0 { // at once, while leases that it granted still hold
		until = min(until, l.Now()+200*time.Millisecond)
	}
	keeps := l.Rand().IntN(2) == 0
	l.At(until, func() {
		if l.node(n).life == 0 {
			l.Start(n, keeps)
		}
	})
}

// atSteps has things go wrong right after one of a change's records: the leader or another voter ends, and as
// a change is proposed an agent is cut off that still holds leases, and a voter that granted one forgets it.
func (l *Lab) atSteps() {
	left, was := l.Rand().IntN(6), false
	l.onRecord = func(open bool) {
		if begins := open && !was; begins && (l.theme == forgotten || l.Rand().IntN(2) == 0) {
			l.cutOff(len(l.voters)+l.Rand().IntN(len(l.agents)), l.Now()+3*time.Second)
			switch l.theme {
			case forgotten:
				l.restart((l.leader+1+l.Rand().IntN(len(l.voters)-1))%len(l.voters), l.Now()+50*time.Millisecond)
			case nobody:
				for i := range l.agents {
					l.cutOff(len(l.voters)+i, l.Now()+4*time.Second)
				}
			}
		}
		was = open
		if left--; left > 0 || l.leader < 0 || l.quiet() {
			return
		}
		left = 1 + l.Rand().IntN(8)
		n := l.leader
		if l.Rand().IntN(2) == 0 {
			n = l.Rand().IntN(len(l.voters))
		}
		l.restart(n, l.Now()+time.Duration(l.Rand().Int64N(int64(3*time.Second))))
	}
}

func (l *Lab) cutOff(n int, until time.Duration) {
	for i := range len(l.voters) + len(l.agents) {
		l.cut(i, n, until)
		l.cut(n, i, until)
	}
}

func (l *Lab) cut(from, to int, until time.Duration) {
	l.SetCut(from, to, true)
	l.At(until, func() { l.SetCut(from, to, false) })
}

// heal has all run and reach each other.
func (l *Lab) heal() {
	l.onRecord = nil
	for n := range len(l.voters) + len(l.agents) {
		if l.node(n).life == 0 {
			l.Start(n, false)
		}
		for i := range len(l.voters) + len(l.agents) {
			l.SetCut(n, i, false)
		}
	}
	l.Faults = simnet.Faults{Loss: 0.01, MinDelay: time.Millisecond, MaxDelay: 20 * time.Millisecond}
}

// Spread is how long a change took, from the call, until parts of the agents that run first acted on it;
// below zero where they never did.
type Spread struct{ Half, Most, All time.Duration }

// Trouble is what happens to agents at the moment of the change.
type Trouble struct {
	Down, CutOff float64 // parts of them
}

// Measure plays one change and tells how long it took.
func Measure(seed uint64, agents int, loss float64, within time.Duration, trouble Trouble) Spread {
	l := New(Setup{
		Seed: seed, Voters: 3, Agents: agents, LeadTime: within,
		Faults: simnet.Faults{Loss: loss, MinDelay: time.Millisecond, MaxDelay: 10 * time.Millisecond},
	})
	// Voters report early only once they have run for longer than a lease.
	l.Run(l.Now() + 12*time.Second)
	called := l.Now()
	out := map[int]bool{}
	for i := range int(float64(agents) * (trouble.Down + trouble.CutOff)) {
		out[i] = true
		n := len(l.voters) + i
		if i < int(float64(agents)*trouble.Down) {
			l.Stop(n)
			continue
		}
		for other := range len(l.voters) + agents {
			l.SetCut(n, other, true)
			l.SetCut(other, n, true)
		}
	}
	l.Propose(0, Document(2, 2, 0.5))
	for step := range 6000 {
		l.At(called+time.Duration(step)*10*time.Millisecond, l.Decide)
	}
	l.Run(called + 15*time.Second)
	var took []time.Duration
	for _, at := range l.Acted[1] {
		took = append(took, at-called)
	}
	return spread(took, agents-len(out))
}

func spread(took []time.Duration, of int) Spread {
	slices.Sort(took)
	part := func(p float64) time.Duration {
		if n := int(math.Ceil(p*float64(of))) - 1; n < len(took) {
			return took[n]
		}
		return -1
	}
	return Spread{part(0.5), part(0.99), part(1)}
}
