package fleetlab

import (
	"fmt"
	"time"
)

// RunWithRandomFaults injects random faults, determined by the seed, for the given time. Faults may
// overlap. They are loss, delays of seconds, duplicates, corruption, cuts of one direction, of an agent or
// of a partition, pauses of up to a minute, clocks that are off by up to Options.MaxClockOffset, and
// restarts with or without the disk, sometimes of all processes at once. Disks are erased one at a time.
// Agents continue to propose records.
func (l *Lab) RunWithRandomFaults(length time.Duration) {
	end := l.World.Now().Add(length)
	for l.World.Now().Before(end) {
		l.Run(time.Duration(50+l.rng.IntN(1200)) * time.Millisecond)
		l.injectRandomFault()
		for range l.rng.IntN(3) {
			l.InjectFault(Fault{Kind: Propose, Agent: l.rng.IntN(len(l.hosts))})
		}
		l.UpdateOutcomes()
		l.CheckDecisions()
	}
}

// randomTarget returns a random agent and the random duration of a fault.
func (l *Lab) randomTarget() (a int, length time.Duration) {
	return l.rng.IntN(len(l.hosts)), time.Duration(100+l.rng.IntN(8000)) * time.Millisecond
}

// after schedules a call of do after the given time; the call is omitted if the run ends before.
func (l *Lab) after(d time.Duration, do func()) { l.World.At(l.World.Now().Add(d), do) }

// injectRandomFault injects a fault of a random kind.
func (l *Lab) injectRandomFault() {
	a, length := l.randomTarget()
	b := l.rng.IntN(len(l.hosts))
	switch l.rng.IntN(14) {
	case 0, 1:
		l.InjectFault(Fault{Kind: ClearNetwork})
	case 2:
		l.InjectFault(Fault{Kind: Cut, Agent: a, Other: b, Duration: length})
	case 3:
		l.InjectFault(Fault{Kind: Isolate, Agent: a, Duration: length})
	case 4:
		l.InjectFault(Fault{Kind: Partition, Agents: l.randomPartition(), Duration: length})
	case 5, 6:
		loss := l.rng.Float64() * 0.4
		l.InjectFault(Fault{Kind: Lossy, Loss: loss, Duplicate: l.rng.Float64() * 0.3})
	case 7:
		l.InjectFault(Fault{Kind: Corrupt})
	case 8, 9:
		if l.rng.IntN(8) == 0 {
			length = time.Minute
		}
		l.InjectFault(Fault{Kind: Pause, Agent: a, Duration: length})
	case 10:
		offset := time.Duration((2*l.rng.Float64() - 1) * float64(l.opts.MaxClockOffset))
		l.InjectFault(Fault{Kind: Clock, Agent: a, Duration: offset})
	case 11:
		l.InjectFault(Fault{Kind: Kill, Agent: a, Duration: length})
	case 12:
		l.InjectFault(Fault{Kind: EraseDisk, Agent: a})
	case 13:
		l.killRandomProcesses()
	}
}

// randomPartition returns a random set of about half or a fifth of the agents.
func (l *Lab) randomPartition() (agents []int) {
	fraction := []float64{0.5, 0.2}[l.rng.IntN(2)]
	for a := range l.hosts {
		if l.rng.Float64() < fraction {
			agents = append(agents, a)
		}
	}
	return agents
}

// killRandomProcesses restarts about a tenth or a third of the processes, or all of them. Voters without a
// store are excluded, as the loss of a majority of them loses the log, which is tested elsewhere.
func (l *Lab) killRandomProcesses() {
	fraction := []float64{0.1, 0.33, 1}[l.rng.IntN(3)]
	for a := range l.hosts {
		if l.rng.Float64() >= fraction || l.opts.Volatile && l.isVoter(a) {
			continue
		}
		l.Kill(a)
		f := Fault{Kind: Kill, Agent: a, Duration: time.Duration(l.rng.IntN(1500)) * time.Millisecond}
		l.addToScript(f)
		l.after(f.Duration, func() { l.World.Start(uint32(a)) })
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

// areVotersHealthy reports whether all voters are running and are members of the log.
func (l *Lab) areVotersHealthy() bool {
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

// Report returns a line that summarizes the run.
func (l *Lab) Report() string {
	full, floor, none := l.Decisions()
	return fmt.Sprintf("%d agents, seed %d: %v, decisions %d full %d floor %d new, %d datagrams, %d violations",
		len(l.hosts), l.opts.Seed, l.Results(), full, floor, none,
		l.World.Traffic().Datagrams, len(l.checker.violations))
}
