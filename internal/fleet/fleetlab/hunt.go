package fleetlab

import (
	"fmt"
	"time"
)

// Hunt plays troubles by the seed for a time, one after the other and over each other: losses, delays by
// seconds, doubles, damage, cuts of one direction, of an agent or of a part, pauses of up to a minute,
// clocks that are off by up to five seconds, processes that end and start again, with their disk or
// without it, all at once at times. Agents propose all the while. Disks are lost one at a time.
func (l *Lab) Hunt(length time.Duration) {
	end := l.World.Now().Add(length)
	for l.World.Now().Before(end) {
		l.Run(time.Duration(50+l.random.IntN(1200)) * time.Millisecond)
		l.injectFault()
		for range l.random.IntN(3) {
			l.Do(Fault{Kind: Propose, Agent: l.random.IntN(len(l.hosts))})
		}
		l.UpdateOutcomes()
		l.Decide()
	}
}

func (l *Lab) some() (a int, length time.Duration) {
	return l.random.IntN(len(l.hosts)), time.Duration(100+l.random.IntN(8000)) * time.Millisecond
}

// after has something done after a time, if that is not past the play's end.
func (l *Lab) after(d time.Duration, do func()) { l.World.At(l.World.Now().Add(d), do) }

func (l *Lab) injectFault() {
	a, length := l.some()
	b := l.random.IntN(len(l.hosts))
	switch l.random.IntN(14) {
	case 0, 1:
		l.Do(Fault{Kind: Calm})
	case 2:
		l.Do(Fault{Kind: Cut, Agent: a, Other: b, Lasts: length})
	case 3:
		l.Do(Fault{Kind: Isolate, Agent: a, Lasts: length})
	case 4:
		l.Do(Fault{Kind: Partition, Agents: l.randomPartition(), Lasts: length})
	case 5, 6:
		loss := l.random.Float64() * 0.4
		l.Do(Fault{Kind: Lossy, Loss: loss, Duplicate: l.random.Float64() * 0.3})
	case 7:
		l.Do(Fault{Kind: Damage})
	case 8, 9:
		if l.random.IntN(8) == 0 {
			length = time.Minute
		}
		l.Do(Fault{Kind: Pause, Agent: a, Lasts: length})
	case 10:
		ahead := time.Duration((2*l.random.Float64() - 1) * float64(l.opts.ClocksWithin))
		l.Do(Fault{Kind: Clock, Agent: a, Lasts: ahead})
	case 11:
		l.Do(Fault{Kind: Kill, Agent: a, Lasts: length})
	case 12:
		l.Do(Fault{Kind: Lose, Agent: a})
	case 13:
		l.killMany()
	}
}

// part is a random half of the agents, or a fifth.
func (l *Lab) randomPartition() (some []int) {
	share := []float64{0.5, 0.2}[l.random.IntN(2)]
	for a := range l.hosts {
		if l.random.Float64() < share {
			some = append(some, a)
		}
	}
	return some
}

// killMany ends a tenth, a third or all processes, and starts them again. Where voters keep nothing those
// are spared: to lose a majority at once is to lose the log, which is another play.
func (l *Lab) killMany() {
	share := []float64{0.1, 0.33, 1}[l.random.IntN(3)]
	for a := range l.hosts {
		if l.random.Float64() >= share || l.opts.Volatile && l.votes(a) {
			continue
		}
		l.Kill(a)
		f := Fault{Kind: Kill, Agent: a, Lasts: time.Duration(l.random.IntN(1500)) * time.Millisecond}
		l.note(f)
		l.after(f.Lasts, func() { l.World.Start(uint32(a)) })
	}
}

func (l *Lab) votes(a int) bool {
	for _, v := range l.voters() {
		if v == a {
			return true
		}
	}
	return false
}

// healthy tells whether all voters run and belong to the log.
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

// Report is a line on a play.
func (l *Lab) Report() string {
	full, floor, fresh := l.Decisions()
	return fmt.Sprintf("%d agents, seed %d: %v, decisions %d full %d floor %d new, %d datagrams, %d breaches",
		len(l.hosts), l.opts.Seed, l.Results(), full, floor, fresh,
		l.World.Traffic().Datagrams, len(l.judge.violations))
}
