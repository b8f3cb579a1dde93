package fleetlab

import (
	"fmt"
	"time"
)

// Hunt injects faults by the seed for a time, one after the other and overlapping: loss, delays of seconds,
// duplicates, corruption, cuts of one direction, of an agent or of a partition, pauses of up to a minute,
// clocks that are off by up to Options.ClocksWithin, and restarts with or without the disk, sometimes of all
// processes at once. Agents keep proposing. Disks are lost one at a time.
func (l *Lab) Hunt(length time.Duration) {
	end := l.World.Now().Add(length)
	for l.World.Now().Before(end) {
		l.Run(time.Duration(50+l.rng.IntN(1200)) * time.Millisecond)
		l.injectFault()
		for range l.rng.IntN(3) {
			l.Do(Fault{Kind: Propose, Agent: l.rng.IntN(len(l.hosts))})
		}
		l.UpdateOutcomes()
		l.Decide()
	}
}

// randomTarget draws an agent and the duration of a fault.
func (l *Lab) randomTarget() (a int, length time.Duration) {
	return l.rng.IntN(len(l.hosts)), time.Duration(100+l.rng.IntN(8000)) * time.Millisecond
}

// after has do called after a time, unless the run ends before.
func (l *Lab) after(d time.Duration, do func()) { l.World.At(l.World.Now().Add(d), do) }

// injectFault injects a fault of a random kind.
func (l *Lab) injectFault() {
	a, length := l.randomTarget()
	b := l.rng.IntN(len(l.hosts))
	switch l.rng.IntN(14) {
	case 0, 1:
		l.Do(Fault{Kind: Calm})
	case 2:
		l.Do(Fault{Kind: Cut, Agent: a, Other: b, Lasts: length})
	case 3:
		l.Do(Fault{Kind: Isolate, Agent: a, Lasts: length})
	case 4:
		l.Do(Fault{Kind: Partition, Agents: l.randomPartition(), Lasts: length})
	case 5, 6:
		loss := l.rng.Float64() * 0.4
		l.Do(Fault{Kind: Lossy, Loss: loss, Duplicate: l.rng.Float64() * 0.3})
	case 7:
		l.Do(Fault{Kind: Damage})
	case 8, 9:
		if l.rng.IntN(8) == 0 {
			length = time.Minute
		}
		l.Do(Fault{Kind: Pause, Agent: a, Lasts: length})
	case 10:
		offset := time.Duration((2*l.rng.Float64() - 1) * float64(l.opts.ClocksWithin))
		l.Do(Fault{Kind: Clock, Agent: a, Lasts: offset})
	case 11:
		l.Do(Fault{Kind: Kill, Agent: a, Lasts: length})
	case 12:
		l.Do(Fault{Kind: Lose, Agent: a})
	case 13:
		l.killMany()
	}
}

// randomPartition draws about half of the agents, or a fifth.
func (l *Lab) randomPartition() (agents []int) {
	fraction := []float64{0.5, 0.2}[l.rng.IntN(2)]
	for a := range l.hosts {
		if l.rng.Float64() < fraction {
			agents = append(agents, a)
		}
	}
	return agents
}

// killMany restarts a tenth, a third or all processes. Voters without a store are spared: the loss of a
// majority is the loss of the log, which is tested elsewhere.
func (l *Lab) killMany() {
	fraction := []float64{0.1, 0.33, 1}[l.rng.IntN(3)]
	for a := range l.hosts {
		if l.rng.Float64() >= fraction || l.opts.Volatile && l.isVoter(a) {
			continue
		}
		l.Kill(a)
		f := Fault{Kind: Kill, Agent: a, Lasts: time.Duration(l.rng.IntN(1500)) * time.Millisecond}
		l.note(f)
		l.after(f.Lasts, func() { l.World.Start(uint32(a)) })
	}
}

// isVoter reports whether an agent is a voter.
func (l *Lab) isVoter(a int) bool {
	for _, v := range l.voters() {
		if v == a {
			return true
		}
	}
	return false
}

// healthy reports whether all voters are running and belong to the log.
func (l *Lab) healthy() bool {
	for _, v := range l.voters() {
		n := l.hosts[v].node
		if n == nil || l.World.IsPaused(uint32(v)) {
			return false
		}
		if s := n.Status(l.Reading(v)).Voter; len(s.Members) != l.opts.Voters || !s.HasLeader {
			return false
		}
	}
	return l.Leader() >= 0
}

// Report returns a line about the run.
func (l *Lab) Report() string {
	full, floor, none := l.Decisions()
	return fmt.Sprintf("%d agents, seed %d: %v, decisions %d full %d floor %d new, %d datagrams, %d breaches",
		len(l.hosts), l.opts.Seed, l.Results(), full, floor, none,
		l.World.Traffic().Datagrams, len(l.judge.violations))
}
