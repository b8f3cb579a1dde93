// Package judge tells from the outside whether a fleet's ring is what package placement promises: from who
// owned which keys at which agent, when, and which servers were really there. It knows nothing of how the
// agents agreed.
package judge

import (
	"fmt"
	"time"
)

// None owns a key that nobody owns.
const None = -1

// Owners are by key the number of the server that a key goes to, or None. They are not to be changed.
type Owners []int32

// Sample is what an agent goes by at a true time. Samples are to be told in the order of their times.
type Sample struct {
	At     time.Duration
	Agent  int
	Leased bool
	Number uint64  // of the generation; zero: none
	Owners *Owners // the same pointer while nothing changes
}

// Truth is what servers really are at a time.
type Truth interface {
	// Ready tells whether the server runs and takes requests.
	Ready(server int32) bool
	// Told tells whether the agent was told for longer than it may take that the server drains or is gone.
	Told(agent int, server int32) bool
	// Capacity is the server's when warm; Warm is the part of it that its warmth lets it have, as far as the
	// leader could know that as it made a generation that was first taken up at a time.
	Capacity(server int32) float64
	Warm(server int32, made time.Duration) float64
	// Steady tells whether the server has been there and warm for a minute, by the agent's list too, but for
	// between two times.
	Steady(agent int, server int32, from, to time.Duration) bool
}

// Violation is a sample that should not have been.
type Violation struct {
	Sample
	Reason string
}

func (b Violation) String() string {
	return fmt.Sprintf("%v: agent %d, generation %d: %s", b.At, b.Agent, b.Number, b.Reason)
}

// maxViolations are kept; all are counted.
const maxViolations = 20

// Settings are what is promised.
type Settings struct {
	Rate  float64       // part of the keys that may move a second without need
	Burst time.Duration // that may be saved up
	Owed  time.Duration // for how long what was lost may be made up for
	Slack float64       // part of the keys: what the samples' keys are off by
}

// Judge hears of one fleet.
type Judge struct {
	// Violations are the first ones, Count is how many there were.
	Violations []Violation
	Count      int
	// Moved are the parts of all keys that each agent has moved in all, and Needed those of them whose server
	// was lost.
	Moved, Needed map[int]float64
	// Behind counts samples with a lease by how many generations they are behind the newest that was used.
	Behind [3]int

	set     Settings
	truth   Truth
	agents  map[int]*agent
	newest  uint64 // that an agent with a lease has used
	first   map[uint64]time.Duration
	counts  map[*Owners][]count
	windows []*planned
}

type agent struct {
	last   Sample
	is     bool
	passed []passed // of late
}

type passed struct {
	at            time.Duration
	moved, needed float64
}

// New returns a Judge.
func New(set Settings, truth Truth) *Judge {
	return &Judge{
		set: set, truth: truth, Moved: map[int]float64{}, Needed: map[int]float64{},
		agents: map[int]*agent{}, first: map[uint64]time.Duration{},
		counts: map[*Owners][]count{},
	}
}

// Ended takes that an agent's process has ended.
func (j *Judge) Ended(n int) {
	if a := j.agents[n]; a != nil {
		a.is = false
	}
}

// Heard hears of a sample.
func (j *Judge) Heard(s Sample) {
	a := j.agents[s.Agent]
	if a == nil {
		a = &agent{}
		j.agents[s.Agent] = a
	}
	before, was := a.last, a.is
	a.last, a.is = s, true
	if _, is := j.first[s.Number]; !is {
		j.first[s.Number] = s.At
	}
	if s.Leased {
		j.neighbours(s)
	}
	if was && s.Owners != before.Owners {
		j.moves(a, before, s)
	}
	j.told(s)
	j.within(s)
}

// neighbours: after an agent with a lease has used a generation, none with a lease uses one that is older
// than the one before. That holds in true time, whatever clocks show.
func (j *Judge) neighbours(s Sample) {
	j.newest = max(j.newest, s.Number)
	behind := j.newest - s.Number
	j.Behind[min(behind, 2)]++
	if behind > 1 {
		j.breach(s, fmt.Sprintf("generation %d was in use before", j.newest))
	}
}

// moves counts keys that go elsewhere, but for those that windows move. Needed is what a lost server had:
// that may be made up for, and where it was back by when a generation took it off it went and comes back once
// more.
func (j *Judge) moves(a *agent, before, now Sample) {
	moved, needed, all := 0, 0, len(*now.Owners)
	for k, o := range *now.Owners {
		if was := (*before.Owners)[k]; was != o && was != None && !j.byWindow(was, o, now.At) {
			if moved++; !j.truth.Ready(was) {
				needed++
			}
		}
	}
	p := passed{now.At, float64(moved) / float64(all), float64(needed) / float64(all)}
	j.Moved[now.Agent] += p.moved
	j.Needed[now.Agent] += p.needed
	a.passed = append(a.passed, p)
	for now.At-a.passed[0].at > j.set.Owed+2*j.set.Burst {
		a.passed = a.passed[1:]
	}
	if !before.Leased || !now.Leased || now.Number > before.Number+1 || before.Number == 0 {
		// It was away, and takes up at once what it has missed.
		a.passed[len(a.passed)-1].moved = p.needed
		return
	}
	without := 0.0
	for _, p := range a.passed {
		if now.At-p.at < j.set.Burst {
			without += p.moved - p.needed
		}
	}
	most := j.set.Rate * 2 * j.set.Burst.Seconds()
	if without <= most {
		return // whatever was lost of late
	}
	if most += 3*j.owed(now.At, j.set.Owed+2*j.set.Burst) + j.set.Slack; without > most {
		j.breach(now, fmt.Sprintf("%.3f of the keys moved without need within %v, %.3f may", without,
			j.set.Burst, most))
	}
}

// count is how many keys a server has.
type count struct {
	server int32
	keys   int
}

// counted is by server, in the order in which they are met.
func (j *Judge) counted(owners *Owners) []count {
	if all, is := j.counts[owners]; is {
		return all
	}
	at := map[int32]int{}
	var all []count
	for _, o := range *owners {
		if o == None {
			continue
		}
		i, is := at[o]
		if !is {
			i, at[o] = len(all), len(all)
			all = append(all, count{server: o})
		}
		all[i].keys++
	}
	j.counts[owners] = all
	return all
}

// lostMuch is the part of the keys of which the loss leaves so few servers that no generation can have
// divided them rightly before.
const lostMuch = 0.1

// owed is what was lost of late, at the agent that saw most of it.
func (j *Judge) owed(at, within time.Duration) (most float64) {
	for _, a := range j.agents {
		sum := 0.0
		for _, p := range a.passed {
			if at-p.at <= within {
				sum += p.needed
			}
		}
		most = max(most, sum)
	}
	return most
}

// told: nobody uses what its own list took away, nor gives a cold server more than its warmth permits of what
// the fullest warm one has.
func (j *Judge) told(s Sample) {
	counts, densest, made := j.counted(s.Owners), 0.0, j.first[s.Number]
	held := j.held(s.At, counts)
	for _, c := range counts {
		if j.truth.Warm(c.server, made) == 1 {
			densest = max(densest, float64(c.keys)/j.truth.Capacity(c.server))
		}
	}
	for _, c := range counts {
		if j.truth.Told(s.Agent, c.server) {
			j.breach(s, fmt.Sprintf("server %d is used, though the agent's list takes it away", c.server))
		}
		warm, all := j.truth.Warm(c.server, made), float64(len(*s.Owners))
		part := float64(c.keys) / all
		may := 1.75*warm*densest*j.truth.Capacity(c.server)/all*(1+2*held) + j.set.Slack/4
		if warm < 1 && densest > 0 && s.Leased && s.Number > 0 && part > may &&
			j.owed(s.At, 2*j.set.Burst) < lostMuch {
			j.breach(s, fmt.Sprintf("server %d is cold and has %.3f of the keys, %.3f may", c.server, part, may))
		}
	}
}

func (j *Judge) breach(s Sample, text string) {
	if j.Count++; len(j.Violations) < maxViolations {
		j.Violations = append(j.Violations, Violation{s, text})
	}
}
