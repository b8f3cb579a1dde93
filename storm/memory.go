package storm

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Memory is what a Gate has learned that takes long to learn, as plain values that can be kept over a
// restart: what is usual. What goes on at the moment is not in it: spells and outages show themselves anew
// within seconds, and one that is over by then must not make the agent refuse.
type Memory struct {
	Kinds   []KindMemory  `cbor:"1,keyasint,omitempty" json:"kinds"`           // by name
	Crowd   float64       `cbor:"2,keyasint,omitempty" json:"crowd"`           // usual, of this agent at servers
	Servers float64       `cbor:"3,keyasint,omitempty" json:"servers"`         // that took requests, at most
	NoPurge time.Duration `cbor:"4,keyasint,omitempty" json:"no_purge_for_ns"` // from then on
	Learned time.Duration `cbor:"5,keyasint,omitempty" json:"learned_for_ns"`  // at most as long as need be
}

// KindMemory is the usual time of work of a kind of machine, by how large the crowd was.
type KindMemory struct {
	Name  string       `cbor:"1,keyasint" json:"name"`
	Steps []PaceMemory `cbor:"2,keyasint,omitempty" json:"steps"`
}

// PaceMemory is the mean time of a step of crowds.
type PaceMemory struct {
	Step    int     `cbor:"1,keyasint" json:"step"`
	Log     float64 `cbor:"2,keyasint" json:"log"` // natural logarithm of seconds
	Answers float64 `cbor:"3,keyasint" json:"answers"`
}

// MemoryVersion tells what the values of a Memory mean.
const MemoryVersion = 1

const (
	speedHalf   = time.Hour        // in which half of what is known of times of work has spoiled
	freshFor    = 20 * time.Minute // in which the usual crowd stays so, and nothing need be learned anew
	noPurgeMost = time.Minute
	// What is more than these can't have been learned, and is of a file that something else wrote.
	mostKinds   = 256
	mostLog     = 12.0 // of seconds: from microseconds to days
	mostSeen    = 1e9
	mostCrowd   = 1e6
	mostServers = 1e4
)

// Remember returns what the Gate has learned.
func (g *Gate) Remember(now time.Duration) Memory {
	g.now = max(g.now, now)
	most := g.most // a copy: to remember changes nothing
	most.fade(g.now)
	m := Memory{
		Crowd: g.damper.usual.weight, Servers: max(most.weight, float64(g.ready())),
		NoPurge: min(max(g.spell.next-g.now, 0), noPurgeMost),
	}
	if g.firstAnswer > 0 {
		m.Learned = min(g.now-g.firstAnswer, learnsFor)
	}
	for _, name := range slices.Sorted(maps.Keys(g.kinds)) {
		k := KindMemory{Name: name}
		for i, seen := range g.kinds[name].seen {
			if s := (PaceMemory{i, g.kinds[name].log[i], seen}); s.can() {
				k.Steps = append(k.Steps, s)
			}
		}
		m.Kinds = append(m.Kinds, k)
	}
	return m
}

// Recall takes back what was learned that long before; it comes before the first request. A negative age is
// of a clock that was set back, so that nothing is known of it, and nothing is taken; what can't have been
// learned is left out.
func (g *Gate) Recall(now time.Duration, m Memory, age time.Duration) {
	g.now = max(g.now, now)
	if age < 0 {
		return
	}
	speed := math.Exp2(-float64(age) / float64(speedHalf))
	for _, k := range m.Kinds[:min(len(m.Kinds), mostKinds)] {
		p := g.kind(k.Name)
		for _, s := range k.Steps {
			if s.can() {
				p.log[s.Step], p.seen[s.Step] = s.Log, speed*min(s.Answers, mostSeen)
			}
		}
	}
	if age < freshFor {
		g.damper.usual.at, g.damper.usual.weight = g.now, counted(m.Crowd, mostCrowd)
		if learned := min(max(m.Learned, 0), learnsFor) - g.settles(); learned > 0 {
			g.firstAnswer = max(g.now-learned, 1)
		}
	}
	g.most.at, g.most.weight = g.now-age, counted(m.Servers, mostServers) // and what is listed, if that is more
	if left := min(max(m.NoPurge, 0), noPurgeMost) - age; left > 0 {
		g.spell.next = g.now + left
	}
}

// settles is how long after a start times of work say nothing, though it is known what is usual: the
// servers still work on what was sent before it, until its aim has passed, and an agent that counts none of
// that takes a full house for a spell.
func (g *Gate) settles() time.Duration { return g.longestAim * 3 / 2 }

// can tells whether a step can have been learned.
func (s PaceMemory) can() bool {
	return s.Step >= 0 && s.Step < paceSteps && s.Answers > 0 && math.Abs(s.Log) < mostLog
}

// counted is a count that can be, or zero.
func counted(v, most float64) float64 {
	if !(v > 0) || v > most {
		return 0
	}
	return v
}
